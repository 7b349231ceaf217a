// Package transport holds the drivers that read and write sockets. They carry bytes between the sockets and
// the state machines of package protocol, and decide nothing.
package transport

import (
	"sync"
)

// DescriptorBudget owns the gateway's descriptors. What discovery, the platform, peers and the runtime need is kept
// back from the start; clients and instances share the rest, each up to its part, and at the limit idle
// connections go first: those of the side that asks, then the other's, so that neither side starves the other.
type DescriptorBudget struct {
	mu     sync.Mutex
	most   int
	left   int
	shares []*descriptorQuota
}

// idleCloser holds connections of one kind.
type idleCloser interface {
	closeIdle() bool // closes the connection that has been idle for longest, if there is one
}

// descriptorQuota is what one side may hold of a budget.
type descriptorQuota struct {
	budget *DescriptorBudget
	side   idleCloser
	most   int
	held   int
}

const (
	// reserve is for the standard streams (3), the poller (2), the listener, clients beyond the limit and the next
	// of them, peers, discovery (2) and the platform (2), each of the last two while one replaces another, and a
	// few for the runtime.
	reserve = 16 + beyondMost
	// Clients that mean it hold no more than a third; a crowd of others may not take what deliveries need.
	clientsPart   = 0.5
	instancesPart = 1.0
)

// NewDescriptorBudget takes the number of descriptors that the gateway may hold.
func NewDescriptorBudget(most int) *DescriptorBudget {
	most = max(most-reserve, 2)
	return &DescriptorBudget{most: most, left: most}
}

// join adds a side, before any descriptor is taken.
func (b *DescriptorBudget) join(side idleCloser, part float64) *descriptorQuota {
	s := &descriptorQuota{budget: b, side: side, most: max(1, int(part*float64(b.most)))}
	b.shares = append(b.shares, s)
	return s
}

// take takes a descriptor, closing an idle connection if it must.
func (s *descriptorQuota) take() bool {
	if s.free() || s.side.closeIdle() && s.free() {
		return true
	}
	for _, o := range s.budget.shares {
		if o != s && s.within() && o.side.closeIdle() && s.free() {
			return true
		}
	}
	return false
}

func (s *descriptorQuota) within() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.held < s.most
}

// free takes a descriptor if one is left.
func (s *descriptorQuota) free() bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 || s.held >= s.most {
		return false
	}
	b.left--
	s.held++
	return true
}

// give gives a descriptor back.
func (s *descriptorQuota) give() {
	b := s.budget
	b.mu.Lock()
	b.left++
	s.held--
	b.mu.Unlock()
}
