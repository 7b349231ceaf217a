// Package transport holds the drivers that read and write sockets. They carry bytes between the sockets and
// the state machines of package protocol, and decide nothing.
package transport

import "sync"

// Budget owns the gateway's descriptors. What discovery, the platform, peers and the runtime need is kept
// back from the start; clients and instances share the rest, and idle connections go first at the limit.
type Budget struct {
	mu      sync.Mutex
	left    int
	reclaim []func() bool // each closes an idle connection, if it has one
}

// reserve is for the standard streams (3), the poller (2), the listener, the accepted connection that is
// turned away, peers, discovery (2) and the platform (2), each of the last two while one replaces another,
// and a few for the runtime.
const reserve = 16

// NewBudget takes the number of descriptors that the gateway may hold.
func NewBudget(most int) *Budget { return &Budget{left: max(most-reserve, 2)} }

// Reclaim adds a way to win a descriptor back; those added first are tried first.
func (b *Budget) Reclaim(idle func() bool) { b.reclaim = append(b.reclaim, idle) }

// Take takes a descriptor, closing an idle connection if it must.
func (b *Budget) Take() bool {
	for try := 0; ; try++ {
		b.mu.Lock()
		ok := b.left > 0
		if ok {
			b.left--
		}
		b.mu.Unlock()
		if ok || try == len(b.reclaim) {
			return ok
		}
		b.reclaim[try]()
	}
}

// Give gives a descriptor back.
func (b *Budget) Give() {
	b.mu.Lock()
	b.left++
	b.mu.Unlock()
}
