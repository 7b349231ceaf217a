package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/internal/gatewaytest"
)

// On SIGTERM the gateway answers accepted requests, serves clients until the end of acceptPeriod, and exits by itself.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	gateway := startGateway(t, 1024)
	early := make(chan string, 1)
	go func() { early <- gateway.ask(5*time.Second, gatewaytest.WriteRequest("slow", "before")) }()
	time.Sleep(50 * time.Millisecond)
	gateway.shutdown <- syscall.SIGTERM
	time.Sleep(300 * time.Millisecond)
	if after := gateway.ask(5*time.Second, gatewaytest.WriteRequest("slow", "after")); after != "$5\r\nafter\r\n" {
		t.Errorf("request within acceptPeriod: got %q, want its value", after)
	}
	quiet := gateway.dial() // closed with a reset, which proves that the gateway has read nothing
	quiet.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := quiet.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection without a request: got error %v, want a reset", err)
	}
	if again := gateway.ask(5*time.Second, gatewaytest.WriteRequest("a", "crossed")); again != "$7\r\ncrossed\r\n" {
		t.Errorf("request on a new connection after the reset: got %q, want its value", again)
	}
	if before := <-early; before != "$6\r\nbefore\r\n" {
		t.Errorf("request accepted before SIGTERM: got %q, want its value", before)
	}
	gateway.awaitShutdown(shutdownLimit)
}

// SIGTERM arrives twice. At the first one, a connection has sent part of its second request. Another connection sends
// its first request in pieces, one after the first SIGTERM and one after the second. Both requests are answered, and
// then their connections are closed.
func TestShutdownAnswersPartialRequests(t *testing.T) {
	gateway := startGateway(t, 1024)
	half := gateway.dial()
	io.WriteString(half, "PING\r\n")
	if line, err := bufio.NewReader(half).ReadString('\n'); line != "+PONG\r\n" {
		t.Fatal(line, err)
	}
	request := gatewaytest.EncodeRequest(gatewaytest.WriteRequest("a", "whole"))
	split := len(request) - 9
	half.Write(request[:split])
	first := gateway.dial() // sends its first request in pieces
	time.Sleep(50 * time.Millisecond)
	gateway.shutdown <- syscall.SIGTERM
	first.Write(redcon.AppendArray(nil, 1))
	time.Sleep(time.Second)
	gateway.shutdown <- syscall.SIGTERM
	io.WriteString(first, "$4\r\nPING\r\n")
	half.Write(request[split:])
	for _, test := range []struct {
		name string
		conn net.Conn
		want string
	}{{"half a request", half, "$5\r\nwhole\r\n"}, {"first request in pieces", first, "+PONG\r\n"}} {
		test.conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if got, err := io.ReadAll(test.conn); string(got) != test.want || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: got %q and error %v, want %q and the end of the connection", test.name, got, err, test.want)
		}
	}
	gateway.awaitShutdown(shutdownLimit)
}

// Guards against the loss of requests with long deadlines in a restart: they were still unanswered when the process was
// killed, 3.7 s after SIGTERM. All requests must get their final answers before that, and the gateway exits by itself.
func TestShutdownAnswersLongDeadlinesBeforeKill(t *testing.T) {
	settings := strings.Replace(gatewaytest.Settings, `"give_up_ms":2000`, `"give_up_ms":20000`, 1)
	gateway := startGatewayWith(t, 1024, settings)
	ask := func() string {
		return gateway.ask(5*time.Second, fmt.Sprintf("API.READ silent %d c=look,d=20000", gatewaytest.NextRequestID()))
	}
	answers := make(chan string, 2)
	go func() { answers <- ask() }()
	time.Sleep(50 * time.Millisecond)
	gateway.shutdown <- syscall.SIGTERM
	signaled := time.Now()
	time.AfterFunc(time.Second, func() { answers <- ask() })
	for range 2 {
		if answer := <-answers; !strings.HasPrefix(answer, "-BUSY") || time.Since(signaled) > 3600*time.Millisecond {
			t.Errorf("got answer %q %v after SIGTERM, want -BUSY within 3.6 s", answer, time.Since(signaled))
		}
	}
	gateway.awaitShutdown(shutdownLimit)
	if time.Since(signaled) > 4200*time.Millisecond {
		t.Errorf("gateway exited %v after SIGTERM, want 4.2 s at most", time.Since(signaled))
	}
}

func TestShutdownAnswerTimeEndsBeforeKill(t *testing.T) {
	for _, test := range []struct {
		name                   string
		maxClientTimeout, want time.Duration
	}{
		{"short deadlines", 1500 * time.Millisecond, 1200 * time.Millisecond},
		{"long deadlines", 20 * time.Second, 2700 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := shutdownAnswerTimeout(test.maxClientTimeout); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
