package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one request of a client.
type request struct {
	id, class, key string
	write          bool
	deadline       time.Duration // time for which the client waits, as it states
	patience       time.Duration // time after which the client closes its connection, if that is sooner
	body           int
}

// result is how a request ended for its client.
type result struct {
	request
	sentAt   time.Time // of the last byte
	endedAt  time.Time // of the answer's last byte, or the end of the connection
	closedAt time.Time // when the client closed the connection, zero if it did not
	kind     string    // served, refused, failed, gone (the client left), lost (ended without an answer)
	text     string
	resent   bool
}

func (r request) encode() []byte {
	words := []string{"API.READ", r.key, r.id, fmt.Sprintf("c=%s,d=%d", r.class, r.deadline.Milliseconds())}
	if r.write {
		words[0] = "API.WRITE"
		words = append(words, strings.Repeat("b", r.body))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(text.String())
}

// clients is a group of usual clients: they hold on to connections and open further ones when every one is busy.
type clients struct {
	w       *world
	address string

	mu   sync.Mutex
	idle []*clientConn
	open int // connections
	most int // of them at any time
	wait sync.WaitGroup

	resultsMu sync.Mutex
	results   []result
}

type clientConn struct {
	net.Conn
	group  *clients
	reader *bufio.Reader
	used   bool
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.group.mu.Lock()
	c.group.open--
	c.group.mu.Unlock()
	return c.Conn.Close()
}

// newClients returns a group of usual clients of a gateway.
func (w *world) newClients(g *gatewayProcess) *clients {
	return &clients{w: w, address: g.address}
}

// sendMixed sends reads and bookings in the shares of the brief, at random times, and waits until all have ended. Each
// states 40 to 100% of its op type's time.
func (c *clients) sendMixed(span time.Duration, rate float64) {
	begin := time.Now()
	for next := begin; next.Sub(begin) < span; next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))) {
		time.Sleep(time.Until(next))
		r := request{id: newID(), class: "roll-read", key: "court", deadline: 2 * time.Second}
		if rand.Float64() < 0.29 {
			r.class, r.write, r.body, r.deadline = "diet-booking", true, 200, 1500*time.Millisecond
		}
		r.deadline = time.Duration((0.4 + 0.6*rand.Float64()) * float64(r.deadline)).Round(time.Millisecond)
		c.send(r)
	}
	c.wait.Wait()
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x7f3a9c21<<32|lastID.Add(1)) }

func (c *clients) take() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return c.dial()
}

func (c *clients) dial() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", c.address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.open++
	c.most = max(c.most, c.open)
	c.mu.Unlock()
	return &clientConn{Conn: conn, group: c, reader: bufio.NewReaderSize(conn, 4<<10)}, nil
}

func (c *clients) put(conn *clientConn) {
	conn.SetDeadline(time.Time{})
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

// send sends a request in the background.
func (c *clients) send(r request) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.ask(r)
	}()
}

// ask sends a request and returns how it ended.
func (c *clients) ask(r request) result {
	res := c.askOnce(r)
	c.resultsMu.Lock()
	c.results = append(c.results, res)
	c.resultsMu.Unlock()
	c.w.noteAt(res.sentAt, "client sent %s c=%s d=%d body=%d", r.id, r.class, r.deadline.Milliseconds(), r.body)
	c.w.noteAt(res.endedAt, "client: %s %s after %.1f ms %s", r.id, res.kind, float64(res.endedAt.Sub(res.sentAt).Microseconds())/1000, res.text)
	return res
}

// answerGrace is how long a client without an early close goes on reading after its time, to see late answers.
const answerGrace = 2 * time.Second

func (c *clients) askOnce(r request) result {
	res := result{request: r, sentAt: time.Now()}
	conn, err := c.take()
	for {
		if err != nil {
			res.kind, res.text, res.endedAt = "unreachable", err.Error(), time.Now()
			return res
		}
		reused := conn.used
		conn.used = true
		limit := r.deadline + answerGrace
		if r.patience > 0 {
			limit = r.patience
		}
		_, writeErr := conn.Write(r.encode())
		res.sentAt = time.Now()
		conn.SetReadDeadline(res.sentAt.Add(limit))
		kind, text, readErr := "", "", writeErr
		if writeErr == nil {
			kind, text, readErr = readAnswer(conn.reader)
		}
		res.endedAt = time.Now()
		var timeout net.Error
		switch {
		case readErr == nil:
			res.kind, res.text = kind, text
			c.put(conn)
			return res
		case errors.As(readErr, &timeout) && timeout.Timeout():
			conn.Close()
			res.closedAt, res.kind = time.Now(), "gone"
			return res
		}
		conn.Close()
		if reused && !res.resent {
			res.resent = true
			conn, err = c.dial()
			continue
		}
		res.kind, res.text = "lost", readErr.Error()
		return res
	}
}

// readAnswer reads the answer to a request.
func readAnswer(r *bufio.Reader) (kind, text string, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "$") && line != "$-1":
		size, err := strconv.Atoi(line[1:])
		if err != nil {
			return "", "", err
		}
		value := make([]byte, size+2)
		if _, err := io.ReadFull(r, value); err != nil {
			return "", "", err
		}
		return "served", strings.TrimRight(string(value[:size]), "."), nil
	case strings.HasPrefix(line, "-BUSY"):
		return "refused", line, nil
	}
	return "failed", line, nil
}

// counts returns the number of results of each kind.
func (c *clients) counts() map[string]int {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	counts := map[string]int{}
	for _, r := range c.results {
		counts[r.kind]++
	}
	return counts
}
