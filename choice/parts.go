package choice

import (
	"encoding/binary"
	"hash/fnv"
	"sort"
)

// This file only takes in what a deployment states and keeps the books that choice.go reads: no decision is here.

// Bound tells what is permitted of deliveries.
func (g *Gateway) Bound(deliveries int, copies, cancel, probes, advice bool, comeBack int64) {
	g.limits = limits{deliveries: deliveries, copies: copies, cancel: cancel, probes: probes}
	if advice {
		g.limits.comeBack = comeBack
	}
}

// Price tells what crossing zones and wasted work cost.
func (g *Gateway) Price(cross, waste float64) { g.limits.cross, g.limits.waste = cross, waste }

// Chill tells how instances warm up and what pushes a cold one over.
func (g *Gateway) Chill(from float64, warm int64, multiple float64, span int64) {
	g.cold.from, g.cold.warm, g.cold.multiple, g.cold.span = from, warm, multiple, span
}

// Follow tells whether the list must be asked for its changes.
func (g *Gateway) Follow(mustAsk bool, within int64) {
	g.list.mustAsk, g.list.within, g.list.due = mustAsk, within, mustAsk
}

// Expose tells how deliveries to a build on trial are bounded.
func (g *Gateway) Expose(window int64, allowance float64, byOp bool, closed int, oneWay bool, caps []float64) {
	e := &g.exposure
	e.window, e.allowance, e.byOp, e.closed, e.oneWay, e.caps = window, allowance, byOp, closed, oneWay, caps
}

// Judge tells how votes move builds.
func (g *Gateway) Judge(control Control, on, back int, shares []float64, bake, life, answerIn int64, rate float64,
	messages bool) {
	j := &g.judge
	j.control, j.on, j.back, j.shares, j.bake, j.life = control, on, back, shares, bake, life
	j.answerIn, j.rate, j.messages = answerIn, rate, messages && g.peers > 1
}

// mix hashes two numbers.
func mix(a, b uint64) uint64 {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], b)
	binary.LittleEndian.PutUint64(text[8:], a)
	h := fnv.New64a()
	h.Write(text[:])
	return h.Sum64()
}

// add books an event and forgets those older than the span, with some to spare.
func (w *window) add(now, span int64) {
	cut := 0
	for cut < len(w.at) && w.at[cut] < now-2*span {
		cut++
	}
	w.at = append(w.at[cut:], now)
}

// count tells how many events came after a moment.
func (w *window) count(after int64) int {
	return len(w.at) - sort.Search(len(w.at), func(i int) bool { return w.at[i] > after })
}
