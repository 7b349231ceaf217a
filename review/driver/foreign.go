package main

import (
	"fmt"
	"math/rand"
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = playForeign }

const (
	secondCopyDelay = 22 * time.Millisecond  // from an answer to its second copy
	secondCopyShare = 0.1                    // of the answers
	zoneDelay       = 780 * time.Microsecond // one way to the other site
	foreignSpan     = 45 * time.Second
	foreignRate     = 120.0 // requests a second
)

// playForeign plays instances some of whose answers are followed by a second copy, some milliseconds later and when
// nothing else waits on the connection. Each client must get the value made for its request, or none.
func playForeign(w *world) (held bool, err error) {
	var copies atomic.Int64
	for i := range 8 {
		e := w.newEndpoint(fmt.Sprintf("s-%d", i), 4, 70*time.Millisecond)
		if i%2 == 1 {
			e.zone, e.address = "sighthill", w.link(e.address, zoneDelay)
		}
		if !troubled() {
			continue
		}
		e.after = func(c command, conn net.Conn, answer []byte) {
			if rand.Float64() >= secondCopyShare {
				return
			}
			requests := e.requestsOn(conn)
			time.AfterFunc(secondCopyDelay, func() {
				if e.requestsOn(conn) != requests {
					return // the next request has come: the second copy is no longer one of a resting connection
				}
				copies.Add(1)
				w.note("%s sends a second answer to %s", e.id, c.id())
				conn.Write(answer)
			})
		}
	}
	g := w.newGateway(nil)
	if err := g.start(); err != nil {
		return false, err
	}
	usual := w.newClients(g)
	usual.sendMixed(foreignSpan, foreignRate)
	foreign := 0
	for _, r := range usual.results {
		if r.kind == "served" && r.text != "value of "+r.id {
			foreign++
			w.say("%s (%s) was answered with the %s", r.id, r.class, r.text)
		}
	}
	w.say("%d requests: %v, %d second answers, %d requests served with the value of another", len(usual.results),
		usual.counts(), copies.Load(), foreign)
	if len(usual.results) < 1000 || troubled() && copies.Load() == 0 {
		return false, fmt.Errorf("too few requests or second answers")
	}
	return foreign == 0, nil
}
