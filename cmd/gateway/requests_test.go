package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
)

// The gateway maps each response of an endpoint and each kind of invalid request to an answer to the client. It reports
// evidence about the outcomes to the other gateway.
func TestAnswersByResponseAndRequest(t *testing.T) {
	gateway := startGateway(t, 1024)
	largest := strings.Repeat("x", 64<<10)
	bulk, write := gatewaytest.BulkString, gatewaytest.WriteRequest
	for _, test := range []struct {
		name, want string
		wait       time.Duration
		requests   []string
	}{
		{"value of the maximum size", bulk(largest), 500, []string{write("a", largest)}},
		{"command above the maximum size", "-ERR a command is larger", 300, []string{write("a", largest+"x"), "PING"}},
		{"answers in the order of requests", bulk("one") + "+PONG\r\n", 800, []string{write("slow", "one"), "PING"}},
		{"failed request", "-ERR failed\r\n", 300, []string{write("fails", "x")}},
		{"connection lost after the last byte", "-ERR failed\r\n", 900, []string{write("breaks", "x")}},
		{"malformed response", "-ERR failed\r\n", 900, []string{write("damaged", "x")}},
		{"no response", "-ERR failed\r\n", 900, []string{write("silent", "x")}},
		{"id of a request in flight", bulk("one") + "-ERR failed\r\n", 800,
			[]string{"API.WRITE slow twice c=book,d=600 one", "API.WRITE b twice c=book,d=600 two"}},
		{"unknown op type", "-ERR unknown op type\r\n+PONG\r\n", 300, []string{"API.READ k id c=none,d=5", "PING"}},
		{"no deadline", "-ERR c or d is missing\r\n", 300, []string{"API.READ k id c=look"}},
		{"unknown command", "-ERR unknown command\r\n", 300, []string{"GET k"}},
	} {
		if got := gateway.ask(test.wait*time.Millisecond, test.requests...); !strings.HasPrefix(got, test.want) {
			t.Errorf("%s: got %.200q, want %.200q", test.name, got, test.want)
		}
	}
	// The value of the read is the attribute list that the gateway sent, with the remaining time that the gateway
	// computed.
	ordinary := gateway.ask(300*time.Millisecond, "PING", gatewaytest.ReadRequest("a"), write("a", "body"))
	if want := regexp.MustCompile(`^\+PONG\r\n\$12\r\nc=look,d=[45]\d\d\r\n\$4\r\nbody\r\n$`); !want.MatchString(ordinary) {
		t.Errorf("valid requests: got %q, want %s", ordinary, want)
	}
	select {
	case size := <-gateway.datagrams:
		if size > 256 {
			t.Errorf("got a datagram of %d bytes, want 256 at most", size)
		}
	case <-time.After(2 * time.Second):
		t.Error("no evidence report was sent")
	}
}

// Each misbehaving client gets an error or the end of its connection within 3 s.
func TestMisbehavingClientsGetErrorOrDisconnect(t *testing.T) {
	gateway := startGateway(t, 1024)
	conn := gateway.dial()
	io.WriteString(conn, "*1\r\n$9223372036854775807\r\n")
	if got, err := io.ReadAll(conn); string(got) != "-ERR Protocol error\r\n" || err != nil {
		t.Errorf("invalid framing: got %q and error %v, want a protocol error", got, err)
	}
	for _, test := range []struct{ name, text, want string }{
		{"stops halfway", "*2\r\n$4\r\nAPI", "-ERR a command does not end\r\n"},
		{"sends nothing", "", ""},
		{"sends hundreds of requests at once",
			strings.Repeat("*4\r\n$8\r\nAPI.READ\r\n$6\r\nsilent\r\n$0\r\n\r\n$12\r\nc=look,d=200\r\n", 300), "-ERR no id\r\n"},
	} {
		conn := gateway.dial()
		io.WriteString(conn, test.text)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		line, err := bufio.NewReader(conn).ReadString('\n')
		if line != test.want || test.want == "" && errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("client that %s: got %q and error %v", test.name, line, err)
		}
		conn.Close()
	}
}

// A request that the endpoint turns away, which means that it has not run, is retried and then rejected with a
// Retry-After.
func TestRequestTurnedAwayByEndpointIsRetried(t *testing.T) {
	gateway := startGateway(t, 1024)
	before := gateway.endpoint.Requests()
	if got := gateway.ask(700*time.Millisecond, gatewaytest.WriteRequest("full", "x")); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, want -BUSY", got)
	}
	if gateway.endpoint.Requests() == before {
		t.Error("no attempt of the request arrived at the endpoint")
	}
}

// The gateway uses a new endpoint list at once, and an attempt whose connection is refused does not count as executed.
func TestFollowsEndpointList(t *testing.T) {
	gateway := startGateway(t, 1024)
	dead := gatewaytest.Listen(t)
	gateway.discovery.Lists <- gatewaytest.EndpointList{Revision: 2,
		Endpoints: []gatewaytest.EndpointRecord{gatewaytest.ReadyEndpoint("s-1", dead.Addr().String())}}.Text()
	dead.Close()
	time.Sleep(1200 * time.Millisecond)
	got := gateway.ask(700*time.Millisecond, gatewaytest.WriteRequest("a", "x"))
	if !strings.HasPrefix(got, "-BUSY") || gateway.endpoint.Requests() > 0 {
		t.Errorf("endpoint refuses connections: got %q, want -BUSY and no request at the old endpoint", got)
	}
}

// The gateway notices that a client disconnects while its request is in flight, and frees the connection's descriptor.
func TestDisconnectedClientsFreeDescriptors(t *testing.T) {
	gateway := startGateway(t, 32) // eight descriptors for clients and endpoints together
	for range 40 {
		conn, err := net.Dial("tcp", gateway.address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "*4\r\n$8\r\nAPI.READ\r\n$6\r\nsilent\r\n$5\r\n%05d\r\n$12\r\nc=look,d=200\r\n",
			gatewaytest.NextRequestID())
		time.Sleep(2 * time.Millisecond)
		conn.Close()
	}
	time.Sleep(400 * time.Millisecond)
	if got := gateway.ask(300*time.Millisecond, gatewaytest.WriteRequest("a", "x")); got != "$1\r\nx\r\n" {
		t.Errorf("request after clients disconnected: got %q, want its value", got)
	}
	// At the descriptor limit, connections of quiet clients are closed first. If there are none, a new connection is
	// rejected or closed.
	for range 60 {
		gateway.dial()
	}
	time.Sleep(3 * time.Second) // connections beyond the limit wait until they are accepted, and are closed
	if got := gateway.ask(300*time.Millisecond, "PING"); got != "+PONG\r\n" {
		t.Errorf("PING with quiet clients connected: got %q, want PONG", got)
	}
	// With all descriptors in use, a request is rejected at once with a Retry-After.
	for range 4 {
		go gateway.ask(900*time.Millisecond, gatewaytest.ReadRequest("silent"))
	}
	time.Sleep(200 * time.Millisecond)
	got := gateway.ask(250*time.Millisecond, gatewaytest.ReadRequest("a"), gatewaytest.ReadRequest("a"))
	if strings.Count(got, "-BUSY 1") != 2 {
		t.Errorf("requests at the descriptor limit: got %q, want two rejections with a Retry-After", got)
	}
}

// requestDeadline is the deadline of requests to a countingEndpoint. Some of its answers arrive at about that time.
const requestDeadline = 300 * time.Millisecond

// countingEndpoint is a fake endpoint that counts how often each request was started. Depending on the request's number
// it turns the request away, answers at about its deadline, or resets the connection after all, a part or none of the
// answer.
type countingEndpoint struct {
	begun sync.Map // *atomic.Int64 by the request's body, which is its number
}

func (e *countingEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	for in := bufio.NewReader(conn); ; {
		body, err := gatewaytest.ReadLastWord(in)
		if err != nil {
			return
		}
		counter, _ := e.begun.LoadOrStore(body, new(atomic.Int64))
		begun := counter.(*atomic.Int64)
		number, _ := strconv.Atoi(body)
		if number%4 == 3 && begun.CompareAndSwap(0, -1) { // turned away, which proves that it never ran
			io.WriteString(conn, "-BUSY\r\n")
			continue
		}
		begun.Add(1)
		answer := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(body), body)
		switch number % 3 {
		case 1: // at about the time when the client gives up
			time.Sleep(requestDeadline + time.Duration(number%50-40)*time.Millisecond)
		case 2: // with time left for a retry: all, a part or none of the answer, and then a reset
			io.WriteString(conn, answer[:number%5*len(answer)/4])
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		io.WriteString(conn, answer)
	}
}

// An answer, a reset and a timeout arrive at about the same time, in varying order. Each non-idempotent request runs at
// most once, even if an endpoint turned it away before, and gets exactly one final answer, its own.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	const requests, endpoints = 240, 12
	gateway := startGateway(t, 1024)
	var endpoint countingEndpoint
	list := gatewaytest.EndpointList{Revision: 2, Complete: true}
	for i := range endpoints {
		listener := gatewaytest.Listen(t)
		list.Endpoints = append(list.Endpoints, gatewaytest.ReadyEndpoint(fmt.Sprint("s-", i), listener.Addr().String()))
		go gatewaytest.Serve(listener, endpoint.serve)
	}
	gateway.discovery.Lists <- list.Text()
	time.Sleep(1300 * time.Millisecond)
	var clients sync.WaitGroup
	for number := range requests {
		clients.Go(func() {
			deadline := requestDeadline
			if number%3 == 2 {
				deadline *= 4
			}
			text := fmt.Sprintf("API.WRITE k once-%d c=book,d=%d %d", number, deadline.Milliseconds(), number)
			got := gateway.ask(deadline+300*time.Millisecond, text)
			own := gatewaytest.BulkString(fmt.Sprint(number))
			if got != own && got != "-ERR failed\r\n" && !strings.HasPrefix(got, "-BUSY") || strings.Count(got, "\n") > 2 {
				t.Errorf("request %d got %q", number, got)
			}
		})
		if number%6 == 5 {
			time.Sleep(40 * time.Millisecond)
		}
	}
	clients.Wait()
	reached := 0
	endpoint.begun.Range(func(body, counter any) bool {
		reached++
		if times := counter.(*atomic.Int64).Load(); times > 1 {
			t.Errorf("request %s ran %d times, want at most once", body, times)
		}
		return true
	})
	if reached < 15 { // a low bound, as the gateway stops using endpoints that reset connections
		t.Errorf("%d of %d requests reached an endpoint, want at least 15", reached, requests)
	}
}
