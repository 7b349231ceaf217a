package gatewaytest

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// heartbeatPeriod is the time between two heartbeats of the rollout controller.
const heartbeatPeriod = time.Second

// RolloutController is a fake rollout controller: it sends the rollout status to each gateway that listens, at once
// and at each change, and a heartbeat every second. It keeps votes and does not answer them.
type RolloutController struct {
	mu        sync.Mutex
	status    string
	listeners []net.Conn // open ones
	written   map[string]time.Time
	votes     []string
}

// NewRolloutController starts a rollout controller, whose status is ReleasedStatus, and returns its address.
func NewRolloutController(t *testing.T) (*RolloutController, string) {
	t.Helper()
	c := &RolloutController{status: ReleasedStatus, written: map[string]time.Time{}}
	listener := Listen(t)
	go Serve(listener, c.serve)
	go func() {
		for ticks := time.NewTicker(heartbeatPeriod); t.Context().Err() == nil; <-ticks.C {
			c.send(`{"jsonrpc":"2.0","method":"ping"}`)
		}
	}()
	return c, listener.Addr().String()
}

// SetStatus sends another rollout status to all gateways that listen. Others get it as they do.
func (c *RolloutController) SetStatus(status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
	for _, conn := range c.listeners {
		fmt.Fprintln(conn, statusLine(status))
		c.noteWritten()
	}
}

// noteWritten notes that the present status was written to a gateway. The caller holds the lock.
func (c *RolloutController) noteWritten() {
	if _, known := c.written[c.status]; !known {
		c.written[c.status] = time.Now()
	}
}

// FirstWritten returns when a status was first written to a gateway, and whether it was.
func (c *RolloutController) FirstWritten(status string) (at time.Time, written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, written = c.written[status]
	return at, written
}

// Votes returns the votes that gateways cast, each as it was written.
func (c *RolloutController) Votes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.votes)
}

func (c *RolloutController) serve(conn net.Conn) {
	defer c.forget(conn)
	for in := bufio.NewScanner(conn); in.Scan(); {
		if !strings.Contains(in.Text(), "listen") {
			c.mu.Lock()
			c.votes = append(c.votes, in.Text())
			c.mu.Unlock()
			continue
		}
		c.mu.Lock()
		fmt.Fprintf(conn, "%s\n%s\n", `{"jsonrpc":"2.0","id":1,"result":true}`, statusLine(c.status))
		c.noteWritten()
		c.listeners = append(c.listeners, conn)
		c.mu.Unlock()
	}
}

// forget takes a connection that has ended off the listeners.
func (c *RolloutController) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = slices.DeleteFunc(c.listeners, func(listener net.Conn) bool { return listener == conn })
	conn.Close()
}

// send writes a line to all gateways that listen.
func (c *RolloutController) send(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.listeners {
		fmt.Fprintln(conn, line)
	}
}

func statusLine(status string) string {
	return `{"jsonrpc":"2.0","method":"news","params":` + status + `}`
}
