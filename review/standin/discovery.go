package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of the endpoint list, without its address.
type member struct {
	endpoint *endpoint
	phase    string
	upSince  int64 // ms since 1970; 0 means long ago
	build    int
	revision int64 // of its last change
}

// discovery is a stand-in for discovery. It listens at one address for each gateway.
type discovery struct {
	record    *record
	addresses []string // by gateway

	mu       sync.Mutex
	members  []*member
	revision int64
	changed  chan struct{} // closed at the next change of the list
	servers  []*http.Server
	crowded  bool // each call waits too long
}

// crowdedWait is how long a call waits before it fails while there are too many callers.
const crowdedWait = time.Second

// setCrowded makes each call fail after crowdedWait, or answers calls at once again.
func (d *discovery) setCrowded(crowded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowded = crowded
}

func newDiscovery(gateways int, members []*member, rec *record) (*discovery, error) {
	d := &discovery{record: rec, members: members, revision: 1, changed: make(chan struct{})}
	for _, m := range members {
		m.revision = 1
	}
	for range gateways {
		d.addresses = append(d.addresses, "127.0.0.1:0")
	}
	return d, d.start()
}

// start begins to listen at all addresses.
func (d *discovery) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for gateway, address := range d.addresses {
		listener, err := listenAgain(address)
		if err != nil {
			return err
		}
		d.addresses[gateway] = listener.Addr().String()
		server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { d.serve(out, in, gateway) })}
		d.servers = append(d.servers, server)
		go server.Serve(listener)
	}
	return nil
}

// listenAgain listens at an address that may just have been closed.
func listenAgain(address string) (net.Listener, error) {
	for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		listener, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// stop ends discovery as a process that goes down does.
func (d *discovery) stop() {
	d.mu.Lock()
	servers := d.servers
	d.servers = nil
	d.mu.Unlock()
	for _, server := range servers {
		server.Close()
	}
}

// change applies a change to the list and counts its revision.
func (d *discovery) change(apply func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := map[*member]member{}
	for _, m := range d.members {
		before[m] = *m
	}
	apply()
	d.revision++
	for _, m := range d.members {
		if before[m] != *m {
			m.revision = d.revision
			d.record.now("discovery lists %s as %s in revision %d", m.endpoint.id, m.phase, d.revision)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) serve(out http.ResponseWriter, in *http.Request, gateway int) {
	d.mu.Lock()
	crowded := d.crowded
	d.mu.Unlock()
	if crowded {
		d.record.now("discovery lets gateway %d wait, and answers 503", gateway)
		time.Sleep(crowdedWait)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := in.URL.Query()
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		fmt.Fprint(out, d.list(gateway, 0, true))
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		newer, changed := d.revision > after, d.changed
		d.mu.Unlock()
		if newer {
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout:
		case <-in.Context().Done():
			return
		}
		break
	}
	text := d.list(gateway, after, false)
	d.record.now("discovery answers gateway %d, which has revision %d: %s", gateway, after, revisionOf(text))
	fmt.Fprint(out, text)
}

// list returns the list as a gateway gets it: all of it, or the entries that changed after a revision.
func (d *discovery) list(gateway int, after int64, complete bool) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := []map[string]any{}
	for _, m := range d.members {
		if m.revision <= after || complete && m.phase == "removed" {
			continue
		}
		e := m.endpoint
		entries = append(entries, map[string]any{"id": e.id, "host_port": e.addresses[gateway], "locality": e.zone, "flavor": e.flavor,
			"cell": e.cell, "phase": m.phase, "size": e.size, "up_since_ms": m.upSince, "build": m.build})
	}
	text, _ := json.Marshal(map[string]any{"revision": d.revision, "complete": complete, "members": entries})
	return string(text)
}

func revisionOf(text string) string {
	var list struct{ Revision int64 }
	json.Unmarshal([]byte(text), &list)
	return fmt.Sprint("revision ", list.Revision)
}
