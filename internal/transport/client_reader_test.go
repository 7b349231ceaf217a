package transport

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"laurelring/internal/protocol"
)

// awaitUnreadBytes waits until a number of bytes wait to be read from a connection.
func awaitUnreadBytes(t *testing.T, c *clientConnection, want int) {
	t.Helper()
	for end := time.Now().Add(responseTimeout); ; time.Sleep(time.Millisecond) {
		unread := 0
		c.rawConn.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
		if unread == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d bytes in the socket, want %d", unread, want)
		}
	}
}

// Guards against clients that send without a pause and kept others waiting: with one processor a reader that always
// found further bytes ran until it was preempted, 10 ms each time, and beside 100 such clients the others were answered
// up to 1.9 s after their requests. Found by the second review.
func TestReadersOfWaitingBytesTakeTurns(t *testing.T) {
	const requests = 3 // what a socket holds by default
	var mu sync.Mutex
	var order []byte // the first byte of the id of each request
	server := newTestServer(t, 40, func(request protocol.Request, response *PendingResponse) {
		mu.Lock()
		order = append(order, request.ID[0])
		mu.Unlock()
		response.Reject(0)
	}, nil)
	server.memory = newRequestMemory(64 << 20)
	var connections []*clientConnection
	large := readRequestText(largeKeySize)
	for _, id := range []string{"a", "b"} {
		text := strings.Repeat(strings.Replace(large, "$1\r\n1\r\n", "$1\r\n"+id+"\r\n", 1), requests)
		c, client := connectIdleWrapped(t, server, true, func(accepted *net.TCPConn) streamConn {
			accepted.SetReadBuffer(4 * len(text))
			return accepted
		})
		c.lastActive = time.Now()
		go io.WriteString(client, text)
		awaitUnreadBytes(t, c, len(text))
		connections = append(connections, c)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range connections {
		go newClientSession(c).readRequests()
	}
	for end := time.Now().Add(responseTimeout); ; time.Sleep(time.Millisecond) {
		mu.Lock()
		got := string(order)
		mu.Unlock()
		if len(got) == 2*requests {
			if strings.Contains(got, "aaa") || strings.Contains(got, "bbb") {
				t.Errorf("got the requests of two connections in the order %q, want them in turn", got)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d of %d requests", len(got), 2*requests)
		}
	}
}
