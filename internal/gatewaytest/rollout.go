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
	listeners []net.Conn
	votes     []string
}

// NewRolloutController starts a rollout controller, whose status is ReleasedStatus, and returns its address.
func NewRolloutController(t *testing.T) (*RolloutController, string) {
	t.Helper()
	c := &RolloutController{status: ReleasedStatus}
	listener := Listen(t)
	go Serve(listener, c.serve)
	go func() {
		for ticks := time.NewTicker(heartbeatPeriod); t.Context().Err() == nil; <-ticks.C {
			c.send(`{"jsonrpc":"2.0","method":"ping"}`)
		}
	}()
	return c, listener.Addr().String()
}

// SetStatus sends another rollout status to all gateways.
func (c *RolloutController) SetStatus(status string) {
	c.mu.Lock()
	c.status = status
	c.mu.Unlock()
	c.send(statusLine(status))
}

// Votes returns the votes that gateways cast, each as it was written.
func (c *RolloutController) Votes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.votes)
}

func (c *RolloutController) serve(conn net.Conn) {
	for in := bufio.NewScanner(conn); in.Scan(); {
		if !strings.Contains(in.Text(), "listen") {
			c.mu.Lock()
			c.votes = append(c.votes, in.Text())
			c.mu.Unlock()
			continue
		}
		c.mu.Lock()
		fmt.Fprintf(conn, "%s\n%s\n", `{"jsonrpc":"2.0","id":1,"result":true}`, statusLine(c.status))
		c.listeners = append(c.listeners, conn)
		c.mu.Unlock()
	}
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
