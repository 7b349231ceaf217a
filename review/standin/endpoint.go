package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is one command as a gateway forwarded it.
type request struct {
	endpoint *endpoint
	gateway  int // number of the gateway that sent it
	write    bool
	key, id  string
	attrs    string
	body     string
	at       time.Time // when its last byte was read
}

// reply says what an endpoint does with a request.
type reply struct {
	delay time.Duration // before the answer
	text  string        // the answer as it goes out; nothing is sent if it is empty
	reset bool          // the connection is reset instead of an answer
	ran   bool          // whether the request runs
}

// served is the answer to a request that was served with a value.
func served(value, load string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(load), load)
}

// endpoint is a stand-in for one server. It listens at one address for each gateway.
type endpoint struct {
	id        string
	zone      string
	flavor    string
	cell      int
	size      float64
	addresses []string // by gateway
	record    *record

	// handle decides what becomes of a request. It is called for each request as its last byte has been read.
	handle func(request) reply

	idleLimit time.Duration // after which an idle connection is closed; 0 for never

	mu        sync.Mutex
	listeners []*lateListener
	conns     map[net.Conn]bool
	arrivals  []request
}

func newEndpoint(id, zone, flavor string, size float64, gateways int, rec *record, handle func(request) reply) (*endpoint, error) {
	e := &endpoint{id: id, zone: zone, flavor: flavor, size: size, record: rec, handle: handle, conns: map[net.Conn]bool{}}
	for gateway := range gateways {
		listener, err := newLateListener(func(conn net.Conn) { e.serve(conn, gateway) })
		if err != nil {
			return nil, err
		}
		e.listeners = append(e.listeners, listener)
		e.addresses = append(e.addresses, listener.address())
	}
	return e, nil
}

// serve reads and answers the requests on a connection, one after the other.
func (e *endpoint) serve(conn net.Conn, gateway int) {
	e.mu.Lock()
	e.conns[conn] = true
	e.mu.Unlock()
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		if e.idleLimit > 0 {
			conn.SetReadDeadline(time.Now().Add(e.idleLimit))
		}
		words, err := readCommand(in)
		if err != nil {
			return
		}
		at := time.Now()
		switch {
		case len(words) == 1 && words[0] == "PING":
			io.WriteString(conn, "+PONG\r\n")
			continue
		case len(words) < 4 || words[0] != "API.READ" && words[0] != "API.WRITE":
			io.WriteString(conn, "-SYNTAX\r\n")
			continue
		}
		got := request{endpoint: e, gateway: gateway, write: words[0] == "API.WRITE", key: words[1], id: words[2], attrs: words[3], at: at}
		if len(words) > 4 {
			got.body = words[4]
		}
		e.mu.Lock()
		e.arrivals = append(e.arrivals, got)
		e.mu.Unlock()
		answer := e.handle(got)
		word := "turned away"
		if answer.ran {
			word = "runs"
		}
		e.record.at(at, "endpoint %s got %s %s from gateway %d: %s", e.id, words[0], got.id, gateway, word)
		time.Sleep(answer.delay)
		if answer.reset {
			conn.(*net.TCPConn).SetLinger(0)
			e.record.now("endpoint %s resets the connection of %s", e.id, got.id)
			return
		}
		if _, err := io.WriteString(conn, answer.text); err != nil {
			return
		}
	}
}

// arrived returns the requests that have arrived so far.
func (e *endpoint) arrived() []request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]request(nil), e.arrivals...)
}

// close ends the endpoint as a process that dies does: its connections are reset, and new ones are refused.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, listener := range e.listeners {
		listener.close()
	}
	for conn := range e.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

var errProtocol = errors.New("not a command")

// readCommand reads an array of bulk strings, or a plain line.
func readCommand(in *bufio.Reader) ([]string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimRight(line, "\r\n")
	if !strings.HasPrefix(line, "*") {
		return strings.Fields(line), nil
	}
	count, err := strconv.Atoi(line[1:])
	if err != nil || count < 1 {
		return nil, errProtocol
	}
	words := make([]string, count)
	for i := range words {
		if words[i], err = readBulk(in); err != nil {
			return nil, err
		}
	}
	return words, nil
}

func readBulk(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	length, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "$")))
	if err != nil || !strings.HasPrefix(line, "$") || length < 0 {
		return "", errProtocol
	}
	text := make([]byte, length+2)
	if _, err := io.ReadFull(in, text); err != nil {
		return "", err
	}
	return string(text[:length]), nil
}
