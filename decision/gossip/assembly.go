package gossip

import (
	"time"
)

// partsMost bounds how many parts one view has: more instances than a fleet has do not fit.
const maxParts = 255

// assembly puts the parts of one sender's view of one revision together. A newer revision, or another sender's view
// once it is whole first, takes its place.
type assembly struct {
	views map[int]*partialView // by sender
}

// sendersMost bounds the views that are put together at once.
const maxSenders = 8

// partial is a view of which some parts have come.
type partialView struct {
	revision int64
	parts    int
	received map[int][]uint32
}

// add takes a part in. It gives the incarnations that are ready once all parts are there, or nil.
func (a *assembly) add(from int, v View) map[uint32]bool {
	if v.Parts <= 0 || v.Parts > maxParts || v.Part < 0 || v.Part >= v.Parts {
		return nil
	}
	p := a.views[from]
	if p == nil || p.revision != v.Revision || p.parts != v.Parts {
		if p == nil && len(a.views) >= maxSenders {
			a.views = nil
		}
		if a.views == nil {
			a.views = map[int]*partialView{}
		}
		p = &partialView{revision: v.Revision, parts: v.Parts, received: map[int][]uint32{}}
		a.views[from] = p
	}
	p.received[v.Part] = v.Ready
	if len(p.received) < p.parts {
		return nil
	}
	a.views = nil
	ready := map[uint32]bool{}
	for _, some := range p.received {
		for _, one := range some {
			ready[one] = true
		}
	}
	return ready
}

// Split divides a view into parts of so many incarnations at most. One of no incarnations is one part.
func SplitView(revision int64, age time.Duration, ready []uint32, each int) []View {
	parts := max(1, (len(ready)+each-1)/each)
	if parts > maxParts {
		return nil
	}
	views := make([]View, parts)
	for i := range views {
		some := ready[min(i*each, len(ready)):min((i+1)*each, len(ready))]
		views[i] = View{Revision: revision, Age: age, Part: i, Parts: parts, Ready: some}
	}
	return views
}
