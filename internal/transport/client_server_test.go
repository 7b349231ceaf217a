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

// newTestServer returns a server of one op type with room for so many descriptors beyond the reserve. A callback
// that is not given does nothing.
func newTestServer(t *testing.T, descriptors int, onRequest func(protocol.Request, *PendingResponse),
	onDisconnect func(*PendingResponse)) *ClientServer {
	t.Helper()
	if onRequest == nil {
		onRequest = func(protocol.Request, *PendingResponse) {}
	}
	if onDisconnect == nil {
		onDisconnect = func(*PendingResponse) {}
	}
	server, err := NewClientServer(ClientServerConfig{Budget: NewDescriptorBudget(reservedDescriptors + descriptors), Log: &RateLimitedLog{},
		MaxRequestBytes: 1 << 20, MaxRemaining: time.Minute, OpTypes: map[string]*decision.OpType{"API.READ look": {}},
		OnRequest: onRequest, OnDisconnect: onDisconnect})
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// pair is a connection of a client as the front holds it, and the client's side of it.
func pair(t *testing.T, f *ClientServer, within bool) (*clientConnection, *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	outer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	inner, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &clientConnection{Conn: inner, server: f, buffer: protocol.NewBuffer(protocol.MaxRequestSize), hasDescriptor: within,
		hasRequested: true, lastActive: time.Now().Add(-time.Minute), releasePlace: f.quota.release}
	if !within {
		f.overflow <- struct{}{}
		c.releasePlace = func() { <-f.overflow }
	} else if !f.quota.tryAcquire() {
		t.Fatal("no descriptor")
	}
	f.connections = append(f.connections, c)
	t.Cleanup(func() { c.Close(); outer.Close() })
	return c, outer.(*net.TCPConn)
}

// Socket bench, 64 and 100 descriptors: a whole command that crossed an orderly end was lost, as the client could not
// know that nobody had read it. A reset tells it so; but none may overtake an answer.
func TestEndsInAReset(t *testing.T) {
	for _, answered := range []bool{false, true} {
		f := newTestServer(t, 4, nil, nil)
		c, outer := pair(t, f, true)
		if answered {
			go c.Conn.Write(make([]byte, 1<<20)) // more than the other side holds
		}
		time.Sleep(10 * time.Millisecond)
		if !f.closeIdle() || f.closeIdle() {
			t.Fatal("a quiet connection is to end once")
		}
		free := 0
		for free < 4 && f.quota.tryAcquire() { // each takes a descriptor
			free++
		}
		if free != 2 || len(f.connections) > 0 {
			t.Error("its descriptor is to come back, once")
		}
		if _, err := io.ReadAll(outer); errors.Is(err, syscall.ECONNRESET) == answered {
			t.Errorf("answers are on their way: %t; the client saw %v", answered, err)
		}
		if _, err := c.readRequest(); err == nil || errors.As(err, new(malformedRequestError)) {
			t.Error("a command was taken after the end")
		}
	}
}

// Who is asked to make room: not a client with a command in hand, nor one that had one just now, and of those
// beyond the limit whoever is quiet once a further one comes.
func TestWhoMakesRoom(t *testing.T) {
	f := newTestServer(t, 6, nil, nil)
	busy, _ := pair(t, f, true)
	recent, _ := pair(t, f, true)
	quiet, _ := pair(t, f, true)
	busy.pending, recent.lastActive = 1, time.Now()
	if !f.quota.acquire() || !quiet.closing || busy.closing || recent.closing {
		t.Errorf("shut: busy %v, recent %v, quiet %v", busy.closing, recent.closing, quiet.closing)
	}
	if f.quota.acquire() {
		t.Error("a descriptor beyond the limit")
	}
	var others []*clientConnection
	for range maxOverflowClients {
		c, _ := pair(t, f, false)
		others = append(others, c)
	}
	others[0].pending = 1
	in, _ := net.Pipe()
	next := &clientConnection{Conn: in, server: f}
	f.placeInOverflow(next)
	if next.releasePlace(); others[0].closing || !others[1].closing || others[2].closing {
		t.Error("the first quiet one beyond the limit is to go, and no other")
	}
}

// Socket bench, a recorded day: clients that ask once and stay held all that clients may have, and eight in ten commands
// found no connection. Of many that have brought a command the longest quiet ones go, those at work never.
func TestManyQuietEnd(t *testing.T) {
	f := newTestServer(t, 40, nil, nil)
	var all []*clientConnection
	for range 12 {
		c, _ := pair(t, f, true)
		all = append(all, c)
	}
	all[0].pending, all[1].hasRequested, all[11].lastActive = 1, false, time.Now()
	f.closeExcessIdle()
	for i, c := range all {
		if ended := i == 2 || i == 3; c.closing != ended { // of eleven, eight may stay; the first is at work
			t.Errorf("connection %d has ended: %t", i, c.closing)
		}
	}
}

// serve has a front of one op type on loopback, whose commands nobody answers, and gives its address.
func serve(t *testing.T, take, gone func(to *PendingResponse)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f := newTestServer(t, 40, func(_ protocol.Request, response *PendingResponse) { take(response) }, gone)
	go f.Serve(ln)
	return ln.Addr().String()
}

// A client leaves while its command waits, in each way there is: an end, a half-close, a reset, an end behind further
// commands, one behind bytes that no framing fits. Its commands are told as gone at once, each once.
func TestLeavingIsSeenAtOnce(t *testing.T) {
	const ask = "*4\r\n$8\r\nAPI.READ\r\n$1\r\nk\r\n$2\r\n%02d\r\n$11\r\nc=look,d=99\r\n"
	type far = *net.TCPConn
	ways := map[string]func(c far){
		"end":        func(c far) { c.Close() },
		"half-close": func(c far) { c.CloseWrite() },
		"reset":      func(c far) { c.SetLinger(0); c.Close() },
		"behind":     func(c far) { io.WriteString(c, fmt.Sprintf(ask, 2)+fmt.Sprintf(ask, 3)); c.Close() },
		"noise":      func(c far) { io.WriteString(c, "*9999\r\n$$$\r\n"); time.Sleep(50 * time.Millisecond); c.Close() },
	}
	for name, leave := range ways {
		taken, gone := make(chan *PendingResponse, 9), make(chan *PendingResponse, 9)
		address := serve(t, func(to *PendingResponse) { taken <- to }, func(to *PendingResponse) { gone <- to })
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, ask, 1)
		all := map[*PendingResponse]bool{<-taken: true}
		leave(conn.(far))
		time.Sleep(250 * time.Millisecond)
		for len(taken) > 0 {
			all[<-taken] = true
		}
		for len(gone) > 0 {
			if a := <-gone; !all[a] {
				t.Errorf("%s: told as gone again, or never taken", name)
			} else {
				delete(all, a)
			}
		}
		if len(all) > 0 {
			t.Errorf("%s: of %d commands nobody knows that the client has left", name, len(all))
		}
	}
}
