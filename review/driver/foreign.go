package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = playForeign }

const (
	secondCopyShare = 0.1 // of the answers
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
		e.after = e.sendsSecondCopies(secondCopyShare, &copies)
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
