package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is a stand-in for discovery.
type discovery struct {
	w       *world
	address string

	mu       sync.Mutex
	revision int
	changes  []change
	changed  chan struct{}
}

type change struct {
	revision int
	entry    object
}

func newDiscovery(w *world) *discovery {
	d := &discovery{w: w, revision: 1, changed: make(chan struct{})}
	listener := w.listen()
	d.address = listener.Addr().String()
	go http.Serve(listener, d)
	return d
}

// whole returns the whole list.
func (d *discovery) whole() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := []object{}
	for _, e := range d.w.endpoints {
		if e.phase != "removed" {
			members = append(members, e.entry())
		}
	}
	return object{"revision": d.revision, "complete": true, "members": members}
}

func (d *discovery) since(after int) (object, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := []object{}
	for _, c := range d.changes {
		if c.revision > after {
			members = append(members, c.entry)
		}
	}
	return object{"revision": d.revision, "complete": false, "members": members}, d.changed
}

func (d *discovery) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(out, r)
		return
	}
	answer := d.whole()
	if text := r.URL.Query().Get("after"); text != "" {
		after, _ := strconv.Atoi(text)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		over := time.After(time.Duration(wait) * time.Millisecond)
		for waiting := true; waiting; {
			news, changed := d.since(after)
			answer = news
			if news["revision"].(int) > after {
				break
			}
			select {
			case <-changed:
			case <-over:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
	}
	json.NewEncoder(out).Encode(answer)
}

// platform is a stand-in for the control service.
type platform struct {
	w       *world
	address string

	mu        sync.Mutex
	state     object
	since     time.Time
	listeners map[net.Conn]bool
}

func newPlatform(w *world) *platform {
	p := &platform{w: w, since: time.Now(), listeners: map[net.Conn]bool{},
		state: object{"release": 1, "tranche": 4, "mode": "live", "exposure": 1.0}}
	listener := w.listen()
	p.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	go func() {
		for range time.Tick(time.Second) {
			p.tell(`{"jsonrpc":"2.0","method":"ping"}`)
		}
	}()
	return p
}

// news returns the state of the newest build.
func (p *platform) news() object {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := object{"old_ms": time.Since(p.since).Milliseconds()}
	for name, value := range p.state {
		state[name] = value
	}
	return state
}

func (p *platform) newsText() string {
	text, _ := json.Marshal(p.news())
	return string(text)
}

func (p *platform) tell(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.listeners {
		fmt.Fprintln(conn, line)
	}
}

func (p *platform) serve(conn net.Conn) {
	defer func() {
		p.mu.Lock()
		delete(p.listeners, conn)
		p.mu.Unlock()
		conn.Close()
	}()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		var call struct {
			ID     int    `json:"id"`
			Method string `json:"method"`
		}
		if json.Unmarshal(lines.Bytes(), &call) != nil {
			return
		}
		if call.Method == "listen" {
			fmt.Fprintf(conn, "{\"jsonrpc\":\"2.0\",\"id\":%d,\"result\":true}\n", call.ID)
			fmt.Fprintf(conn, "{\"jsonrpc\":\"2.0\",\"method\":\"news\",\"params\":%s}\n", p.newsText())
			p.mu.Lock()
			p.listeners[conn] = true
			p.mu.Unlock()
			continue
		}
		p.w.note("platform got %s", lines.Text())
		fmt.Fprintf(conn, "{\"jsonrpc\":\"2.0\",\"id\":%d,\"result\":%s}\n", call.ID, p.newsText())
	}
}
