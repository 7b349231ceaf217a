package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"laurelring/internal/protocol"
)

const (
	responseTimeout = 5 * time.Second // how long a test's client waits for a response
	idleDuration    = time.Second     // enough to be closed to make room, below the connection's own idle timeout
)

// haltingConn blocks its reader once, after bytes have been read from the socket and before the reader gets them.
type haltingConn struct {
	*net.TCPConn
	once      sync.Once
	bytesRead chan struct{} // closed when bytes have been read from the socket
	resume    chan struct{} // closed by the test to continue the reader
}

func newHaltingConn(conn *net.TCPConn) *haltingConn {
	return &haltingConn{TCPConn: conn, bytesRead: make(chan struct{}), resume: make(chan struct{})}
}

func (c *haltingConn) halt() {
	c.once.Do(func() {
		close(c.bytesRead)
		<-c.resume
	})
}

// Read reads from the connection, and halts once it has read bytes.
func (c *haltingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.halt()
	}
	return n, err
}

// SyscallConn returns a raw connection whose Read halts in the same way.
func (c *haltingConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return haltingRawConn{raw, c.halt}, err
}

type haltingRawConn struct {
	syscall.RawConn
	halt func()
}

// Read reads from the raw connection, and halts unless that fails.
func (r haltingRawConn) Read(read func(fd uintptr) bool) error {
	err := r.RawConn.Read(read)
	if err == nil {
		r.halt()
	}
	return err
}

// idleCloseTriggers are the ways in which a server closes idle connections.
var idleCloseTriggers = []struct {
	name  string
	scope connectionScope
	close func(s *ClientServer, c *clientConnection)
}{
	{"drain", anyConnection, func(s *ClientServer, _ *clientConnection) { s.Drain() }},
	{"make room for another connection", withinLimit, func(s *ClientServer, _ *clientConnection) { s.closeIdle() }},
	{"make room in overflow", overflow, func(s *ClientServer, _ *clientConnection) { s.closeIdleInOverflow() }},
	{"share of idle connections exceeded", withinLimit, func(s *ClientServer, _ *clientConnection) {
		s.maxIdle = 0
		s.closeExcessIdle()
	}},
	{"idle timeout in overflow", overflow, func(_ *ClientServer, c *clientConnection) {
		c.scheduleIdleClose()
		time.Sleep(nextRequestWindow + 50*time.Millisecond)
	}},
}

// forEachIdleCloseTrigger runs a test for each of idleCloseTriggers, with a connection within the descriptor limit and
// with one beyond it. A trigger is not tested with connections outside its scope.
func forEachIdleCloseTrigger(t *testing.T, test func(t *testing.T, hasDescriptor bool, closeIdle func(*ClientServer, *clientConnection))) {
	for _, trigger := range idleCloseTriggers {
		for _, hasDescriptor := range []bool{true, false} {
			if trigger.scope.includes(hasDescriptor) {
				t.Run(fmt.Sprintf("%s, descriptor %t", trigger.name, hasDescriptor), func(t *testing.T) {
					t.Parallel()
					test(t, hasDescriptor, trigger.close)
				})
			}
		}
	}
}

// expectPong reads one response and fails the test unless it is the response to a PING.
func expectPong(t *testing.T, client net.Conn, responses *bufio.Reader) {
	t.Helper()
	client.SetReadDeadline(time.Now().Add(responseTimeout))
	if line, err := responses.ReadString('\n'); line != "+PONG\r\n" {
		t.Errorf("got response %q and error %v, want +PONG", line, err)
	}
}

// Guards against the loss of a request that was read: another goroutine closed its connection as idle after the bytes
// had been read from the socket and before they were counted as a request. With the reader halted at that point, each
// way to close an idle connection closed it, and the client read the end of the stream.
func TestIdleCloseKeepsConnectionWithUncountedBytes(t *testing.T) {
	const request = "PING\r\n"
	for _, test := range []struct {
		name string
		used bool // the connection has sent a request before
		sent int  // bytes that are read before the idle close is triggered
	}{
		{"complete request", true, len(request)},
		{"partial request", true, 3},
		{"first request of the connection", false, len(request)},
	} {
		t.Run(test.name, func(t *testing.T) {
			forEachIdleCloseTrigger(t, func(t *testing.T, hasDescriptor bool, closeIdle func(*ClientServer, *clientConnection)) {
				server := newTestServer(t, 4, nil, nil)
				var halting *haltingConn
				c, client := connectIdleWrapped(t, server, hasDescriptor, func(accepted *net.TCPConn) streamConn {
					halting = newHaltingConn(accepted)
					return halting
				})
				c.hasRequested, c.lastActive = test.used, time.Now().Add(-idleDuration)
				go newClientSession(c).readRequests()
				io.WriteString(client, request[:test.sent])
				select {
				case <-halting.bytesRead:
				case <-time.After(responseTimeout):
					t.Fatal("no bytes were read from the connection before the timeout")
				}
				closeIdle(server, c)
				close(halting.resume)
				io.WriteString(client, request[test.sent:])
				expectPong(t, client, bufio.NewReader(client))
			})
		})
	}
}

// Guards against the same loss for a request that arrived together with the previous one: it has been read, and waits
// in the buffer while the previous request is passed on.
func TestIdleCloseKeepsConnectionWithPipelinedRequest(t *testing.T) {
	const request = "*4\r\n$8\r\nAPI.READ\r\n$1\r\nk\r\n$1\r\n1\r\n$11\r\nc=look,d=99\r\n"
	forEachIdleCloseTrigger(t, func(t *testing.T, hasDescriptor bool, closeIdle func(*ClientServer, *clientConnection)) {
		var server *ClientServer
		var c *clientConnection
		server = newTestServer(t, 4, func(_ protocol.Request, response *PendingResponse) {
			response.Fail()
			for answered := false; !answered; time.Sleep(time.Millisecond) {
				c.mu.Lock()
				answered = c.pending == 0
				c.lastActive = time.Now().Add(-idleDuration)
				c.mu.Unlock()
			}
			closeIdle(server, c)
		}, nil)
		c, client := connectIdle(t, server, hasDescriptor)
		c.lastActive = time.Now()
		io.WriteString(client, request+"PING\r\n")
		go newClientSession(c).readRequests()
		client.SetReadDeadline(time.Now().Add(responseTimeout))
		responses := bufio.NewReader(client)
		if line, err := responses.ReadString('\n'); err != nil || line[0] != '-' {
			t.Errorf("first request: got response %q and error %v, want an error response", line, err)
		}
		expectPong(t, client, responses)
	})
}
