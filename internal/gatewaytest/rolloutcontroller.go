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

// heartbeatPeriod is the interval between two heartbeats of the rollout controller.
const heartbeatPeriod = time.Second

// RolloutController is a fake rollout controller. It sends each subscribed gateway the rollout status, at once and at
// each change, and a heartbeat every second. It records votes and does not answer them.
type RolloutController struct {
	mu          sync.Mutex
	status      string
	subscribers []net.Conn           // open connections of the gateways that listen for the status
	written     map[string]time.Time // when each status was first written to a gateway
	votes       []string
}

// NewRolloutController starts a rollout controller with the status ReleasedStatus, and returns it and its address.
func NewRolloutController(t *testing.T) (*RolloutController, string) {
	t.Helper()
	c := &RolloutController{status: ReleasedStatus, written: map[string]time.Time{}}
	listener := Listen(t)
	go Serve(listener, c.serve)
	go func() {
		for ticks := time.NewTicker(heartbeatPeriod); t.Context().Err() == nil; <-ticks.C {
			c.broadcast(`{"jsonrpc":"2.0","method":"ping"}`)
		}
	}()
	return c, listener.Addr().String()
}

// SetStatus sends another rollout status to all subscribed gateways. Others receive it when they subscribe.
func (c *RolloutController) SetStatus(status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
	for _, conn := range c.subscribers {
		fmt.Fprintln(conn, statusLine(status))
		c.recordWritten()
	}
}

// recordWritten records that the current status was written to a gateway. The caller holds the lock.
func (c *RolloutController) recordWritten() {
	if _, known := c.written[c.status]; !known {
		c.written[c.status] = time.Now()
	}
}

// FirstWritten returns when a status was first written to a gateway, and whether it was written at all.
func (c *RolloutController) FirstWritten(status string) (at time.Time, written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, written = c.written[status]
	return at, written
}

// Votes returns the votes that gateways cast, each as the line received.
func (c *RolloutController) Votes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.votes)
}

func (c *RolloutController) serve(conn net.Conn) {
	defer c.removeSubscriber(conn)
	for in := bufio.NewScanner(conn); in.Scan(); {
		if !strings.Contains(in.Text(), "listen") {
			c.mu.Lock()
			c.votes = append(c.votes, in.Text())
			c.mu.Unlock()
			continue
		}
		c.mu.Lock()
		fmt.Fprintf(conn, "%s\n%s\n", `{"jsonrpc":"2.0","id":1,"result":true}`, statusLine(c.status))
		c.recordWritten()
		c.subscribers = append(c.subscribers, conn)
		c.mu.Unlock()
	}
}

// removeSubscriber removes a connection that has ended from the subscribers and closes it.
func (c *RolloutController) removeSubscriber(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = slices.DeleteFunc(c.subscribers, func(subscriber net.Conn) bool { return subscriber == conn })
	conn.Close()
}

// broadcast writes a line to all subscribed gateways.
func (c *RolloutController) broadcast(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.subscribers {
		fmt.Fprintln(conn, line)
	}
}

func statusLine(status string) string {
	return `{"jsonrpc":"2.0","method":"news","params":` + status + `}`
}
