package transport

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
	"laurelring/internal/protocol"
)

// maxAttemptDelay is how long after its client left an attempt of a request may begin at most.
const maxAttemptDelay = 100 * time.Millisecond

// lookRequest is a complete read of the op type of newTestServer.
const lookRequest = "*4\r\n$8\r\nAPI.READ\r\n$1\r\nk\r\n$1\r\n1\r\n$14\r\nc=look,d=20000\r\n"

// serveOne starts the session of one connection whose requests get no response, and returns the client's end.
func serveOne(t *testing.T, config func(server *ClientServer)) *net.TCPConn {
	t.Helper()
	server := newTestServer(t, 4, nil, nil)
	config(server)
	c, client := connectIdle(t, server, true)
	c.lastActive = time.Now() // it is not closed as idle before the client sends
	go newClientSession(c).readRequests()
	return client
}

// expectReport waits for a response to arrive on the channel.
func expectReport(t *testing.T, reported <-chan *PendingResponse, what string) {
	t.Helper()
	select {
	case <-reported:
	case <-time.After(responseTimeout):
		t.Fatalf("%s: not reported", what)
	}
}

// Guards against attempts that began up to 0.3 s after their client had left: the client sent more than is read behind
// its pending requests, so that its disconnect was not seen.
func TestRequestsOfFloodingClientAreReported(t *testing.T) {
	stopped := make(chan *PendingResponse, maxPipelinedRequests)
	client := serveOne(t, func(server *ClientServer) {
		server.onReadingStopped = func(response *PendingResponse) { stopped <- response }
	})
	io.WriteString(client, strings.Repeat(lookRequest, maxPipelinedRequests+1))
	go client.Write(make([]byte, 8<<20)) // and does not close the connection
	for range maxPipelinedRequests {
		expectReport(t, stopped, "request whose connection is not read any further")
	}
}

// Guards against attempts that began up to 0.3 s after their client had left: the client sent malformed requests behind
// its pending ones, and each of them paused the reading for 0.1 s.
func TestDisconnectIsSeenBehindMalformedRequests(t *testing.T) {
	const malformed = "UNKNOWN\r\n"
	for _, behind := range []string{strings.Repeat(malformed, 30), malformed + strings.Repeat(malformed, 1<<20)} {
		requests := make(chan protocol.Request, 1)
		reported := make(chan *PendingResponse, 1)
		client := serveOne(t, func(server *ClientServer) {
			server.onRequest = func(request protocol.Request, _ *PendingResponse) { requests <- request }
			server.onDisconnect = func(response *PendingResponse) { reported <- response }
			server.onReadingStopped = func(response *PendingResponse) { reported <- response }
		})
		io.WriteString(client, lookRequest)
		<-requests
		client.SetWriteDeadline(time.Now().Add(malformedRequestDelay / 2))
		io.WriteString(client, behind)
		before := gatewaytest.ReadProcessorTime(t, os.Getpid())
		closedAt := time.Now()
		client.Close()
		expectReport(t, reported, "pending request before malformed ones")
		took := time.Since(closedAt)
		waited := gatewaytest.ReadProcessorTime(t, os.Getpid()).Since(before).Sum().Waited
		if took > maxAttemptDelay+waited {
			t.Errorf("reported %v after the client left, want %v at most and the %v that threads waited for a processor",
				took, maxAttemptDelay, waited)
		}
	}
}
