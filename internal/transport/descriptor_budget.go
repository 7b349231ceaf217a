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
	mu        sync.Mutex
	limit     int
	available int
	quotas    []*descriptorQuota
}

// idleCloser holds connections of one kind.
type idleCloser interface {
	closeIdle() bool // closes the connection that has been idle for longest, if there is one
}

// descriptorQuota is what one side may hold of a budget.
type descriptorQuota struct {
	budget *DescriptorBudget
	owner  idleCloser
	limit  int
	inUse  int
}

const (
	// reserve is for the standard streams (3), the poller (2), the listener, clients beyond the limit and the next
	// of them, peers, discovery (2) and the platform (2), each of the last two while one replaces another, and a
	// few for the runtime.
	reservedDescriptors = 16 + maxOverflowClients
	// Clients that mean it hold no more than a third; a crowd of others may not take what deliveries need.
	clientShare   = 0.5
	endpointShare = 1.0
)

// NewDescriptorBudget takes the number of descriptors that the gateway may hold.
func NewDescriptorBudget(most int) *DescriptorBudget {
	most = max(most-reservedDescriptors, 2)
	return &DescriptorBudget{limit: most, available: most}
}

// join adds a side, before any descriptor is taken.
func (b *DescriptorBudget) addQuota(side idleCloser, part float64) *descriptorQuota {
	s := &descriptorQuota{budget: b, owner: side, limit: max(1, int(part*float64(b.limit)))}
	b.quotas = append(b.quotas, s)
	return s
}

// take takes a descriptor, closing an idle connection if it must.
func (s *descriptorQuota) acquire() bool {
	if s.tryAcquire() || s.owner.closeIdle() && s.tryAcquire() {
		return true
	}
	for _, o := range s.budget.quotas {
		if o != s && s.belowLimit() && o.owner.closeIdle() && s.tryAcquire() {
			return true
		}
	}
	return false
}

func (s *descriptorQuota) belowLimit() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.inUse < s.limit
}

// free takes a descriptor if one is left.
func (s *descriptorQuota) tryAcquire() bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available == 0 || s.inUse >= s.limit {
		return false
	}
	b.available--
	s.inUse++
	return true
}

// give gives a descriptor back.
func (s *descriptorQuota) release() {
	b := s.budget
	b.mu.Lock()
	b.available++
	s.inUse--
	b.mu.Unlock()
}
