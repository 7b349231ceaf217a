package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// newTestServer returns a server with one op type and the given number of descriptors in addition to the reserved ones
// and the overflow slots. A nil callback does nothing.
func newTestServer(t *testing.T, descriptors int, onRequest func(protocol.Request, *PendingResponse),
	onDisconnect func(*PendingResponse)) *ClientServer {
	t.Helper()
	if onRequest == nil {
		onRequest = func(protocol.Request, *PendingResponse) {}
	}
	if onDisconnect == nil {
		onDisconnect = func(*PendingResponse) {}
	}
	server, err := NewClientServer(ClientServerConfig{
		Budget:           NewDescriptorBudget(reservedDescriptors + minOverflowClients + descriptors),
		Log:              &RateLimitedLog{},
		MaxRequestBytes:  1 << 20,
		MaxRemaining:     time.Minute,
		OpTypes:          map[string]*decision.OpType{"API.READ look": {}},
		OnRequest:        onRequest,
		OnDisconnect:     onDisconnect,
		OnReadingStopped: func(*PendingResponse) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// connectIdle returns a connection that has sent a request and has been idle for a minute, within the descriptor limit
// or beyond it, and the client's end of the connection.
func connectIdle(t *testing.T, server *ClientServer, hasDescriptor bool) (*clientConnection, *net.TCPConn) {
	t.Helper()
	return connectIdleWrapped(t, server, hasDescriptor, func(accepted *net.TCPConn) streamConn { return accepted })
}

// connectIdleWrapped is connectIdle with a wrapper around the connection that the server accepted.
func connectIdleWrapped(t *testing.T, server *ClientServer, hasDescriptor bool,
	wrap func(accepted *net.TCPConn) streamConn) (*clientConnection, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, err := newClientConnection(wrap(accepted.(*net.TCPConn)), server)
	if err != nil {
		t.Fatal(err)
	}
	c.hasDescriptor, c.hasRequested, c.answered, c.lastActive = hasDescriptor, true, true, time.Now().Add(-time.Minute)
	c.releaseSlot = server.quota.release
	if !hasDescriptor {
		server.overflow <- struct{}{}
		c.releaseSlot = func() { <-server.overflow }
	} else if !server.quota.tryAcquire() {
		t.Fatal("no descriptor left for the connection")
	}
	server.mu.Lock()
	server.connections = append(server.connections, c)
	server.mu.Unlock()
	t.Cleanup(func() { c.Close(); client.Close() })
	return c, client.(*net.TCPConn)
}

// Guards against the loss of a complete request that arrives during an orderly close of its connection, as the client
// could not know that the request was not read. A reset proves that, but must not overtake a response. Found by the
// socket benchmark, with 64 and 100 descriptors.
func TestResetsIdleConnectionUnlessResponseIsUnacknowledged(t *testing.T) {
	for _, unacknowledged := range []bool{false, true} {
		server := newTestServer(t, 4, nil, nil)
		c, client := connectIdle(t, server, true)
		if unacknowledged {
			go c.Write(make([]byte, 1<<20)) // more than the client's receive buffer holds
		}
		time.Sleep(10 * time.Millisecond)
		if !server.closeIdle() || server.closeIdle() {
			t.Fatal("closeIdle did not close the idle connection exactly once")
		}
		available := 0
		for available < 4 && server.quota.tryAcquire() {
			available++
		}
		if available != 2 || len(server.connections) > 0 {
			t.Errorf("got %d descriptors available and %d connections in the table, want 2 and 0", available, len(server.connections))
		}
		if _, err := io.ReadAll(client); errors.Is(err, syscall.ECONNRESET) == unacknowledged {
			t.Errorf("response unacknowledged %t: got %v at the client, want a reset only if it is acknowledged", unacknowledged, err)
		}
		if _, err := c.readRequest(); err == nil || errors.As(err, new(malformedRequestError)) {
			t.Error("got a request from a closed connection, want an error")
		}
	}
}

// A connection with a pending request, or with a request a moment ago, is not closed to make room. In overflow, an idle
// connection is closed when a further connection is accepted.
func TestClosesIdleConnectionsOnlyToMakeRoom(t *testing.T) {
	server := newTestServer(t, 6, nil, nil)
	busy, _ := connectIdle(t, server, true)
	recent, _ := connectIdle(t, server, true)
	idle, _ := connectIdle(t, server, true)
	busy.pending, recent.lastActive = 1, time.Now()
	if !server.quota.acquire() || !idle.closing || busy.closing || recent.closing {
		t.Errorf("got closed: busy %v, recent %v, idle %v, want only idle, for a descriptor",
			busy.closing, recent.closing, idle.closing)
	}
	if server.quota.acquire() {
		t.Error("got a descriptor beyond the limit")
	}
	var inOverflow []*clientConnection
	for range minOverflowClients {
		c, _ := connectIdle(t, server, false)
		inOverflow = append(inOverflow, c)
	}
	inOverflow[0].pending = 1
	next := &clientConnection{server: server}
	server.awaitSlot(next)
	next.releaseSlot()
	if inOverflow[0].closing || !inOverflow[1].closing || inOverflow[2].closing {
		t.Error("want exactly the first idle connection in overflow closed")
	}
}

// Guards against clients that send one request and keep their connections open. They held all descriptors for clients,
// and eight in ten requests found no connection. Beyond idleConnectionShare the connections idle longest are closed,
// busy connections never. Found by the socket benchmark, on a recorded day.
func TestClosesLongestIdleConnectionsBeyondShare(t *testing.T) {
	server := newTestServer(t, 40, nil, nil)
	var all []*clientConnection
	for range 12 {
		c, _ := connectIdle(t, server, true)
		all = append(all, c)
	}
	all[0].pending, all[1].hasRequested, all[11].lastActive = 1, false, time.Now()
	server.closeExcessIdle()
	for i, c := range all {
		if want := i == 2 || i == 3; c.closing != want { // of 11 that have sent a request, 8 may stay, and the first is busy
			t.Errorf("connection %d closing: %t, want %t", i, c.closing, want)
		}
	}
}

// startTestServer runs a server with one op type on the loopback interface and returns its address. The server itself
// responds to no request.
func startTestServer(t *testing.T, onRequest, onDisconnect func(*PendingResponse)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	server := newTestServer(t, 40,
		func(_ protocol.Request, response *PendingResponse) { onRequest(response) }, onDisconnect)
	go server.Serve(listener)
	return listener.Addr().String()
}

// Each pending request is reported exactly once and promptly when its client disconnects, however the client does so.
func TestReportsPendingRequestsWhenClientDisconnects(t *testing.T) {
	const request = "*4\r\n$8\r\nAPI.READ\r\n$1\r\nk\r\n$2\r\n%02d\r\n$11\r\nc=look,d=99\r\n"
	for name, disconnect := range map[string]func(c *net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"close after further requests": func(c *net.TCPConn) {
			io.WriteString(c, fmt.Sprintf(request, 2)+fmt.Sprintf(request, 3))
			c.Close()
		},
		"close after malformed bytes": func(c *net.TCPConn) {
			io.WriteString(c, "*9999\r\n$$$\r\n")
			time.Sleep(50 * time.Millisecond)
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			accepted, disconnected := make(chan *PendingResponse, 9), make(chan *PendingResponse, 9)
			address := startTestServer(t, func(r *PendingResponse) { accepted <- r }, func(r *PendingResponse) { disconnected <- r })
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, request, 1)
			unreported := map[*PendingResponse]bool{<-accepted: true}
			disconnect(conn.(*net.TCPConn))
			time.Sleep(250 * time.Millisecond)
			for len(accepted) > 0 {
				unreported[<-accepted] = true
			}
			for len(disconnected) > 0 {
				response := <-disconnected
				if !unreported[response] {
					t.Error("a disconnect was reported twice, or for a request that was never accepted")
				}
				delete(unreported, response)
			}
			if len(unreported) > 0 {
				t.Errorf("got no report of the disconnect for %d requests, want all reported", len(unreported))
			}
		})
	}
}

// Guards against new connections whose requests were never answered while many clients held all descriptors. A
// connection beyond the descriptor limit was closed as soon as the next one arrived, although its first request was in
// the socket. The client retries such a request once, on another new connection, which was closed the same way. Found
// by TestSoak with 300 connections at once, seed 18: 336 requests without a response, both of whose connections were
// reset within 20 ms.
func TestConnectionsBeyondDescriptorLimitAreAnswered(t *testing.T) {
	const clients = 200
	server := newTestServer(t, 20, nil, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go server.Serve(listener)
	results := make(chan error, clients)
	for range clients {
		go func() {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err == nil {
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(5 * time.Second))
				io.WriteString(conn, "PING\r\n")
				_, err = conn.Read(make([]byte, 1))
				time.Sleep(50 * time.Millisecond) // keeps the connection open for a while
			}
			results <- err
		}()
	}
	unanswered := 0
	for range clients {
		if err := <-results; err != nil {
			unanswered++
		}
	}
	if unanswered > 0 {
		t.Errorf("%d of %d requests on new connections got no response, want 0", unanswered, clients)
	}
}
