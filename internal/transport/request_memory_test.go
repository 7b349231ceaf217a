package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"laurelring/internal/protocol"
)

// largeKeySize is the size of the key of a large request, which holds most of the largest buffer.
const largeKeySize = 60_000

// readRequestText encodes a read request with a key of the given size.
func readRequestText(keySize int) string {
	return fmt.Sprintf("*4\r\n$8\r\nAPI.READ\r\n$%d\r\n%s\r\n$1\r\n1\r\n$14\r\nc=look,d=20000\r\n", keySize, strings.Repeat("k", keySize))
}

// heapInUse returns the size of the reachable objects on the heap in bytes.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against a gateway that exceeds its memory limit and is killed: what had been received of requests that were
// not complete was not bounded, nor were complete requests that waited for the bound on requests in flight. With 100
// connections, that held 12.2 MB here beside a bound of 1 MiB. Found by the second review.
func TestPartialRequestsStayWithinMemoryBound(t *testing.T) {
	const clients, perConnection = 100, 16 << 10 // the latter in bytes, for goroutines, sockets and a small buffer
	server := newTestServer(t, 4*clients, nil, nil)
	large := readRequestText(largeKeySize)
	text := large + large[:len(large)-100]
	before := heapInUse()
	for range clients {
		c, client := connectIdle(t, server, true)
		c.lastActive = time.Now()
		go newClientSession(c).readRequests()
		client.SetWriteDeadline(time.Now().Add(responseTimeout))
		go io.WriteString(client, text)
	}
	bound := int64(1<<20 + clients*perConnection)
	time.Sleep(300 * time.Millisecond) // until all that can be received is
	if used := heapInUse() - before; used > bound {
		t.Errorf("got %d bytes in use for %d partial requests, want at most %d", used, clients, bound)
	}
}

// While large requests take all the memory that they may, a further one is rejected without waiting, and small ones are
// served. The connection of the rejected request stays usable.
func TestLargeRequestsAreRejectedWithoutMemory(t *testing.T) {
	accepted := make(chan protocol.Request, 99)
	server := newTestServer(t, 40, func(request protocol.Request, _ *PendingResponse) { accepted <- request }, nil)
	server.retryAfter = 300 * time.Millisecond
	send := func(text string) net.Conn {
		c, client := connectIdle(t, server, true)
		c.lastActive = time.Now()
		go newClientSession(c).readRequests()
		client.SetDeadline(time.Now().Add(responseTimeout))
		io.WriteString(client, text)
		return client
	}
	held := 0
	for ; server.memory.used() < server.memory.limit-server.memory.reserved-2*protocol.MaxRequestSize; held++ {
		send(readRequestText(largeKeySize))
		<-accepted
	}
	if held < 8 {
		t.Errorf("got %d large requests accepted of a bound of 1 MiB, want at least 8", held)
	}
	server.memory.growBuffer(0, server.memory.limit-server.memory.reserved-server.memory.used())
	client := send(readRequestText(largeKeySize) + readRequestText(1))
	want := "-BUSY 300\r\n"
	got := make([]byte, len(want))
	if _, err := io.ReadFull(client, got); string(got) != want {
		t.Errorf("large request: got %q and error %v, want %q", got, err, want)
	}
	select {
	case <-accepted:
	case <-time.After(responseTimeout):
		t.Error("the small request on the same connection was not accepted")
	}
}

// However a connection ends, it gives back all the memory that its requests took.
func TestConnectionsReturnRequestMemory(t *testing.T) {
	large, small := readRequestText(largeKeySize), readRequestText(1)
	server := newTestServer(t, 40, func(request protocol.Request, response *PendingResponse) {
		if request.ID == "1" {
			response.Reject(0)
		}
	}, nil)
	for name, text := range map[string]string{
		"served":                   large + small,
		"partial":                  small + large[:len(large)-100],
		"pending":                  strings.Replace(large, "$1\r\n1\r\n", "$1\r\n2\r\n", 1),
		"more than without memory": strings.Repeat(large, 20),
		"malformed":                strings.Replace(large, "c=look", "c=none", 1) + small,
		"framing lost":             small + "*1\r\n$9999999\r\n",
		"rest behind a large one":  large + large[:30_000],
		"too many":                 strings.Repeat(strings.Replace(small, "$1\r\n1\r\n", "$1\r\n2\r\n", 1), 40),
	} {
		for _, reset := range []bool{false, true} {
			c, client := connectIdle(t, server, true)
			c.lastActive = time.Now()
			done := make(chan struct{})
			go func() {
				newClientSession(c).readRequests()
				close(done)
			}()
			client.SetDeadline(time.Now().Add(responseTimeout))
			go io.Copy(io.Discard, client)
			io.WriteString(client, text)
			time.Sleep(20 * time.Millisecond)
			if reset {
				client.SetLinger(0)
			}
			client.Close()
			select {
			case <-done:
			case <-time.After(responseTimeout):
				t.Fatalf("%s: the session did not end", name)
			}
			for end := time.Now().Add(responseTimeout); server.memory.used() != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%s, reset %t: got %d bytes still in use after the connection ended, want 0", name, reset, server.memory.used())
				}
			}
		}
	}
}

// Guards against clients that send hundreds of large requests at once and kept the gateway's processor busy: without
// memory for them, each was read to its end and rejected, 200 on one connection, and usual clients went unanswered.
// Found by the second review.
func TestConnectionIsClosedAfterManyRequestsWithoutMemory(t *testing.T) {
	server := newTestServer(t, 4, nil, nil)
	server.memory.growBuffer(0, server.memory.limit-server.memory.reserved)
	c, client := connectIdle(t, server, true)
	c.lastActive = time.Now()
	go newClientSession(c).readRequests()
	client.SetDeadline(time.Now().Add(responseTimeout))
	large := readRequestText(largeKeySize)
	go func() {
		for range 200 {
			if _, err := io.WriteString(client, large); err != nil {
				return
			}
		}
	}()
	responses := bufio.NewReader(client)
	for rejected := 0; ; rejected++ {
		line, err := responses.ReadString('\n')
		if rejected > 0 && (err == io.EOF || errors.Is(err, syscall.ECONNRESET)) {
			return
		}
		if line != "-BUSY\r\n" || rejected >= maxRejectedAtOnce {
			t.Fatalf("after %d rejections: got %q and error %v, want 1 to %d rejections and the end of the connection",
				rejected, line, err, maxRejectedAtOnce)
		}
	}
}
