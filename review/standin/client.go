package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// kinds of answers.
const (
	answerServed  = "served"
	answerRefused = "refused"
	answerFailed  = "failed"
	answerNone    = "no answer"
	answerClosed  = "closed without an answer"
)

// answer is what a client got for a request.
type answer struct {
	kind  string
	value string
	took  time.Duration
}

// client sends requests to one gateway. It holds on to its connections and opens a further one when all are busy.
type client struct {
	gateway string // address
	record  *record
	number  int
	lastID  atomic.Int64

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func (c *client) connect() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", c.gateway, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// take returns an idle connection, or nil.
func (c *client) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

func (c *client) put(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// newID returns a new request id.
func (c *client) newID() string { return fmt.Sprintf("%04x%012x", c.number, c.lastID.Add(1)) }

// encode returns a command as an array of bulk strings.
func encode(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

// ask sends a request and waits for its answer for up to half a second after its time. A request that crosses the end of
// a resting connection is sent once more, on a new one.
func (c *client) ask(opType, key string, write bool, wait time.Duration) (id string, got answer) {
	id = c.newID()
	words := []string{"API.READ", key, id, fmt.Sprintf("c=%s,d=%d", opType, wait.Milliseconds())}
	if write {
		words[0] = "API.WRITE"
		words = append(words, "body-"+id)
	}
	started := time.Now()
	c.record.at(started, "client %d sends %s %s key %s d=%d", c.number, words[0], id, key, wait.Milliseconds())
	conn, resting := c.take(), true
	for {
		if conn == nil {
			resting = false
			var err error
			if conn, err = c.connect(); err != nil {
				got.kind = answerClosed
				break
			}
		}
		conn.SetDeadline(started.Add(wait + 500*time.Millisecond))
		got = conn.exchange(encode(words...))
		if got.kind == answerClosed && resting {
			conn.Close()
			conn = nil
			continue
		}
		break
	}
	got.took = time.Since(started)
	c.record.now("client %d got for %s: %s after %d ms", c.number, id, got.kind, got.took.Milliseconds())
	switch {
	case conn == nil:
	case got.kind == answerClosed || got.kind == answerNone:
		conn.Close()
	default:
		c.put(conn)
	}
	return id, got
}

// exchange writes a command and reads its answer.
func (c *clientConn) exchange(text string) answer {
	if _, err := io.WriteString(c, text); err != nil {
		return answer{kind: answerClosed}
	}
	line, err := c.in.ReadString('\n')
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return answer{kind: answerNone}
	case err != nil:
		return answer{kind: answerClosed}
	case strings.HasPrefix(line, "-BUSY"):
		return answer{kind: answerRefused}
	case !strings.HasPrefix(line, "$"):
		return answer{kind: answerFailed}
	}
	var length int
	if _, err := fmt.Sscanf(line, "$%d", &length); err != nil || length < 0 {
		return answer{kind: answerFailed}
	}
	value := make([]byte, length+2)
	if _, err := io.ReadFull(c.in, value); err != nil {
		return answer{kind: answerClosed}
	}
	return answer{kind: answerServed, value: string(value[:length])}
}
