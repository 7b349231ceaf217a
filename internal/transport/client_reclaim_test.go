package transport

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"laurelring/decision/reclaim"
)

// fillWithMisbehaving opens connections that hold all remaining descriptors for clients and have requests pending, the
// latest of which did not fit in memory.
func fillWithMisbehaving(t *testing.T, server *ClientServer) (all []*clientConnection) {
	t.Helper()
	for server.quota.belowLimit() {
		c, _ := connectIdle(t, server, true)
		c.pending, c.answered, c.misbehaving = 2, false, true
		all = append(all, c)
	}
	return all
}

// Guards against requests of usual clients that were lost while bad clients came and went: the resting connections of
// usual clients were closed to make room for them, by the accept loop and by the sweep of idle connections, and the
// connections that these clients opened instead were closed before they had sent anything. Found by the second review.
func TestUsualConnectionIsKeptBesideMisbehavingOnes(t *testing.T) {
	server := newTestServer(t, 2*10, nil, nil) // half of them for clients
	usual, _ := connectIdle(t, server, true)
	misbehaving := fillWithMisbehaving(t, server)
	if server.closeIdle() {
		t.Error("the accept loop closed the connection of a usual client, or one with pending requests")
	}
	server.closeExcessIdle()
	server.maxIdle = 1
	server.closeExcessIdle()
	if usual.closing {
		t.Error("the sweep closed the connection of a usual client, though no others rest")
	}
	resting := misbehaving[3]
	resting.pending, resting.lastActive = 0, time.Now().Add(-reclaim.MinIdle)
	if !server.closeIdle() || !resting.closing || usual.closing {
		t.Errorf("got closed: misbehaving connection that rests %t, that of the usual client %t, want only the former",
			resting.closing, usual.closing)
	}
}

// Guards against requests that were lost as the resting connection of a usual client was closed after idleTimeout amid a
// crowd, and its client could not come again in time.
func TestIdleTimeoutKeepsUsualConnectionAmidCrowd(t *testing.T) {
	for _, crowd := range []bool{false, true} {
		server := newTestServer(t, 2*4, nil, nil) // half of them for clients
		c, client := connectIdle(t, server, true)
		if crowd {
			fillWithMisbehaving(t, server)
		}
		c.setReadDeadline()
		if c.closing == crowd {
			t.Errorf("crowd %t: got the idle connection closed %t, want it kept only amid a crowd", crowd, c.closing)
		}
		if crowd {
			go newClientSession(c).readRequests()
			io.WriteString(client, "PING\r\n")
			expectPong(t, client, bufio.NewReader(client))
		}
	}
}

// Guards against clients that are slow to send their first request, as their machine is busy, and were taken for a crowd
// of silent ones: their new connections were closed 50 ms after they were established.
func TestSlowClientsAreNoSilentCrowd(t *testing.T) {
	const delay = 200 * time.Millisecond
	server := newTestServer(t, 2*4, nil, nil) // half of them for clients
	slow, slowClient := connectIdle(t, server, true)
	slow.hasRequested, slow.answered, slow.lastActive, slow.silentAtStart = false, false, time.Now().Add(-delay), true
	go newClientSession(slow).readRequests()
	io.WriteString(slowClient, "PING\r\n")
	expectPong(t, slowClient, bufio.NewReader(slowClient))

	silent := fillDescriptors(t, server, 3)
	for _, c := range silent {
		c.hasRequested, c.answered, c.lastActive = false, false, time.Now().Add(-delay)
	}
	slow.mu.Lock()
	slow.pending = 1
	slow.mu.Unlock()
	if server.closeIdle() {
		t.Errorf("a connection was closed %v after it was established, though another client took as long", delay)
	}
	for _, c := range silent {
		c.lastActive = time.Now().Add(-time.Second)
	}
	if !server.closeIdle() {
		t.Error("no silent connection was closed after 1s, want slow clients to extend the time by less")
	}
}

// A new connection in overflow that has sent nothing is kept while nobody needs its slot.
func TestSilentConnectionInOverflowIsKeptWithoutShortage(t *testing.T) {
	server := newTestServer(t, 2*2, nil, nil)
	for _, c := range fillDescriptors(t, server, 2) {
		c.pending = 1
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go server.Serve(listener)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	time.Sleep(nextRequestWindow + 100*time.Millisecond)
	io.WriteString(client, "PING\r\n")
	expectPong(t, client, bufio.NewReader(client))
}
