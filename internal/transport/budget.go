// Package transport holds the drivers that read and write sockets. They carry bytes between the sockets and
// the state machines of package protocol, and decide nothing.
package transport

import "sync"

// Budget owns the gateway's descriptors. What discovery, the platform, peers and the runtime need is kept
// back from the start; clients and instances share the rest, and at the limit idle connections go first:
// those of the side that asks, then the other's, so that neither side starves the other.
type Budget struct {
	mu    sync.Mutex
	left  int
	sides []Side
}

// Side holds connections of one kind.
type Side interface {
	closeIdle() bool // closes the connection that has been idle for longest, if there is one
}

// reserve is for the standard streams (3), the poller (2), the listener, clients beyond the limit and the next
// of them, peers, discovery (2) and the platform (2), each of the last two while one replaces another, and a
// few for the runtime.
const reserve = 16 + beyondMost

// NewBudget takes the number of descriptors that the gateway may hold.
func NewBudget(most int) *Budget { return &Budget{left: max(most-reserve, 2)} }

// join adds a side, before any descriptor is taken.
func (b *Budget) join(s Side) { b.sides = append(b.sides, s) }

// take takes a descriptor for a side, closing an idle connection if it must.
func (b *Budget) take(own Side) bool {
	if b.free() || own.closeIdle() && b.free() {
		return true
	}
	for _, s := range b.sides {
		if s != own && s.closeIdle() && b.free() {
			return true
		}
	}
	return false
}

// free takes a descriptor if one is left.
func (b *Budget) free() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// give gives a descriptor back.
func (b *Budget) give() {
	b.mu.Lock()
	b.left++
	b.mu.Unlock()
}
