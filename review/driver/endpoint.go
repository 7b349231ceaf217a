package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// command is a request as read from a connection.
type command struct {
	words []string
}

func (c command) name() string { return c.words[0] }
func (c command) id() string   { return c.words[2] }

// attribute returns a value of the list of names and values.
func (c command) attribute(name string) string {
	for _, pair := range strings.Split(c.words[3], ",") {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}

// readCommand reads an array of bulk strings.
func readCommand(r *bufio.Reader) (command, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return command{}, err
	}
	count, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "*")))
	if err != nil || line[0] != '*' {
		return command{}, fmt.Errorf("not an array: %q", line)
	}
	var c command
	for range count {
		line, err := r.ReadString('\n')
		if err != nil {
			return command{}, err
		}
		size, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "$")))
		if err != nil {
			return command{}, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(r, word); err != nil {
			return command{}, err
		}
		c.words = append(c.words, string(word[:size]))
	}
	return c, nil
}

// endpoint is a stand-in for an instance.
type endpoint struct {
	w       *world
	id      string
	address string
	zone    string
	build   int
	started int64 // Unix time in ms, 0 if long ago
	phase   string

	cores     chan struct{}
	work      func(class string) time.Duration
	size      func(c command) int // of the value
	hanging   atomic.Bool         // takes commands and answers none
	after     func(c command, conn net.Conn, answer []byte)
	turnsAway func() bool // whether the queue is full, nil for never
	busy      atomic.Int64
	requests  sync.Map // by connection, the number of requests that have come on it
}

// requestsOn returns how many requests have come on a connection, or -1 if it has ended.
func (e *endpoint) requestsOn(conn net.Conn) int64 {
	if requests, ok := e.requests.Load(conn); ok {
		return requests.(*atomic.Int64).Load()
	}
	return -1
}

// newEndpoint starts an instance that serves, and lists it in discovery.
func (w *world) newEndpoint(id string, cores int, work time.Duration) *endpoint {
	e := &endpoint{w: w, id: id, zone: "leith", build: 1, phase: "up", cores: make(chan struct{}, cores),
		work: func(string) time.Duration { return work }, size: func(command) int { return 0 }}
	listener := w.listen()
	e.address = listener.Addr().String()
	w.endpoints = append(w.endpoints, e)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	requests := new(atomic.Int64)
	e.requests.Store(conn, requests)
	defer e.requests.Delete(conn)
	reader := bufio.NewReaderSize(conn, 32<<10)
	for {
		c, err := readCommand(reader)
		if err != nil {
			return
		}
		if c.name() == "PING" {
			conn.Write([]byte("+PONG\r\n"))
			continue
		}
		if len(c.words) < 4 {
			conn.Write([]byte("-SYNTAX\r\n"))
			continue
		}
		now := time.Now()
		told, _ := strconv.Atoi(c.attribute("d"))
		requests.Add(1)
		e.w.arrived(c.id(), arrival{at: now, endpoint: e.id, told: told})
		e.w.noteAt(now, "%s got %s %s %s", e.id, c.name(), c.id(), c.words[3])
		if e.hanging.Load() {
			io.Copy(io.Discard, reader)
			return
		}
		if e.turnsAway != nil && e.turnsAway() {
			answer := []byte("-BUSY\r\n")
			e.w.note("%s turns %s away", e.id, c.id())
			conn.Write(answer)
			if e.after != nil {
				e.after(c, conn, answer)
			}
			continue
		}
		e.cores <- struct{}{}
		if time.Since(now) > time.Duration(told)*time.Millisecond {
			<-e.cores
			conn.Write([]byte("-BUSY\r\n"))
			continue
		}
		e.w.began(c.id(), e.id)
		e.busy.Add(1)
		time.Sleep(e.work(c.attribute("c")))
		load := float64(e.busy.Load()) / float64(cap(e.cores))
		e.busy.Add(-1)
		<-e.cores
		answer := e.answer(c, load)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if e.after != nil {
			e.after(c, conn, answer)
		}
	}
}

// valueOf returns the value that instances make for a request.
func valueOf(c command, size int) string {
	value := "value of " + c.id()
	if size > len(value) {
		value += strings.Repeat(".", size-len(value))
	}
	return value
}

func (e *endpoint) answer(c command, load float64) []byte {
	value, report := valueOf(c, e.size(c)), fmt.Sprintf("utilization=%.2f", load)
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(report), report)
}

// entry returns the entry of the instance in discovery's list.
func (e *endpoint) entry() object {
	return object{"id": e.id, "host_port": e.address, "locality": e.zone, "flavor": "std-4", "cell": 0, "phase": e.phase,
		"size": 4.0, "up_since_ms": e.started, "build": e.build}
}
