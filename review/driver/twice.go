package main

import (
	"fmt"
	"math/rand"
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["twice"] = playTwice }

const (
	turnedAwayShare = 0.1 // of the requests, by instances with a full queue
	secondBusyShare = 1.0 // of these answers
	twiceSpan       = 100 * time.Second
	twiceRate       = 120.0 // requests a second
)

// playTwice plays instances that turn requests away, and follow some of these answers with a second copy, some
// milliseconds later and when nothing else waits on the connection. No booking may run twice.
func playTwice(w *world) (held bool, err error) {
	var copies atomic.Int64
	for i := range 8 {
		e := w.newEndpoint(fmt.Sprintf("s-%d", i), 4, 70*time.Millisecond)
		e.turnsAway = func() bool { return rand.Float64() < turnedAwayShare }
		e.zone, e.address = "sighthill", w.link(e.address, zoneDelay)
		if !troubled() {
			continue
		}
		repeat := e.sendsSecondCopies(secondBusyShare, &copies)
		e.after = func(c command, conn net.Conn, answer []byte) {
			if answer[0] == '-' {
				repeat(c, conn, answer)
			}
		}
	}
	g := w.newGateway(nil)
	if err := g.start(); err != nil {
		return false, err
	}
	usual := w.newClients(g)
	usual.sendMixed(twiceSpan, twiceRate)
	bookings, twice := 0, 0
	w.mu.Lock()
	runs := w.runs
	w.mu.Unlock()
	for _, r := range usual.results {
		if !r.write {
			continue
		}
		bookings++
		if len(runs[r.id]) > 1 || len(runs[r.id]) > 0 && r.kind == "refused" {
			twice++
			w.say("booking %s was begun by %v and %s", r.id, runs[r.id], r.kind)
		}
	}
	w.say("%d requests: %v, %d second answers, of %d bookings %d ran twice or were refused after they ran",
		len(usual.results), usual.counts(), copies.Load(), bookings, twice)
	if bookings < 1000 || troubled() && copies.Load() == 0 {
		return false, fmt.Errorf("too few bookings or second answers")
	}
	return twice == 0, nil
}
