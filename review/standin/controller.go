package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// status is the state of the newest build.
type status struct {
	Release  int     `json:"release"`
	Tranche  int     `json:"tranche"`
	Mode     string  `json:"mode"`
	Exposure float64 `json:"exposure"`
	OldMs    int64   `json:"old_ms"`
}

// controller is a stand-in for the rollout controller, at one address for all gateways.
type controller struct {
	record  *record
	address string

	mu     sync.Mutex
	status status
	since  time.Time
	conns  map[net.Conn]bool // those that have asked for news
	votes  map[net.Conn]vote // the vote of each gateway, which has one connection
}

// vote is a gateway's vote, which stands for some seconds.
type vote struct {
	build, stage int
	ruling       string
	at           time.Time
}

const voteStands = 6 * time.Second

// promotions returns the number of gateways that stand for moving a build on from a stage.
func (c *controller) promotions(build, stage int) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.votes {
		if v.build == build && v.stage == stage && v.ruling == "promote" && time.Since(v.at) < voteStands {
			count++
		}
	}
	return count
}

func newController(first status, rec *record) (*controller, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &controller{record: rec, address: listener.Addr().String(), status: first, since: time.Now(), conns: map[net.Conn]bool{}, votes: map[net.Conn]vote{}}
	go c.accept(listener)
	go c.tick()
	return c, nil
}

func (c *controller) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

// tick sends a sign of life each second and the state every two seconds.
func (c *controller) tick() {
	for n := 0; ; n++ {
		time.Sleep(time.Second)
		c.mu.Lock()
		for conn := range c.conns {
			fmt.Fprintln(conn, `{"jsonrpc":"2.0","method":"ping"}`)
			if n%2 == 0 {
				fmt.Fprintln(conn, c.news())
			}
		}
		c.mu.Unlock()
	}
}

// state returns the status as it stands now. The caller holds mu.
func (c *controller) state() status {
	now := c.status
	now.OldMs = time.Since(c.since).Milliseconds()
	return now
}

func (c *controller) news() string {
	text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": "news", "params": c.state()})
	return string(text)
}

// set changes the state and tells it to all who have asked for news.
func (c *controller) set(next status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.since = next, time.Now()
	for conn := range c.conns {
		fmt.Fprintln(conn, c.news())
	}
	c.record.now("controller tells build %d stage %d %s cap %g", next.Release, next.Tranche, next.Mode, next.Exposure)
}

func (c *controller) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		delete(c.votes, conn)
		c.mu.Unlock()
	}()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		var call struct {
			ID     int
			Method string
			Params struct {
				Release, Tranche int
				Ruling           string
			}
		}
		if json.Unmarshal(lines.Bytes(), &call) != nil {
			return
		}
		c.mu.Lock()
		switch call.Method {
		case "listen":
			fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":%d,"result":true}`+"\n%s\n", call.ID, c.news())
			c.conns[conn] = true
		case "verdict":
			c.record.now("controller gets a vote: %s on build %d stage %d", call.Params.Ruling, call.Params.Release, call.Params.Tranche)
			c.votes[conn] = vote{call.Params.Release, call.Params.Tranche, call.Params.Ruling, time.Now()}
			text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": call.ID, "result": c.state()})
			fmt.Fprintln(conn, string(text))
		}
		c.mu.Unlock()
	}
}
