package transport

import (
	"sync"
)

const (
	// reservedDescriptors are for the standard streams (3), the poller (2), the listener, the next client, peers, discovery (2)
	// and the rollout controller (2), each of the last two while one connection replaces another, and a few for the runtime.
	reservedDescriptors = 16
	// Clients in overflow are beyond the descriptor limit; their requests get their final answer without an attempt. They are
	// a part of all descriptors, within these bounds: in a crowd the others wait until their places become free.
	overflowShare      = 0.125
	minOverflowClients = 8
	maxOverflowClients = 32
	// clientShare is the part of the budget that clients may use: those that send requests need no more than a third,
	// and a crowd of others must not take what attempts need.
	clientShare   = 0.5
	endpointShare = 1.0
)

// DescriptorBudget owns the gateway's file descriptors. Those for discovery, the rollout controller, peers and the
// runtime are reserved from the start; clients and endpoints share the rest, each up to its quota. At the limit idle
// connections are closed: first those of the owner that asks, then those of the other, so that neither starves the
// other.
type DescriptorBudget struct {
	limit    int // of clients within the limit and endpoints together
	overflow int // clients beyond that

	mu        sync.Mutex
	available int
	quotas    []*descriptorQuota
}

// idleCloser holds connections of one kind.
type idleCloser interface {
	// closeIdle closes the connection that has been idle longest and reports whether there was one.
	closeIdle() bool
}

// descriptorQuota is what one owner may use of a budget.
type descriptorQuota struct {
	budget *DescriptorBudget
	owner  idleCloser
	limit  int
	inUse  int // guarded by the lock of the budget
}

// NewDescriptorBudget returns a budget of as many descriptors as the gateway may open in all.
func NewDescriptorBudget(limit int) *DescriptorBudget {
	overflow := min(max(int(overflowShare*float64(limit)), minOverflowClients), maxOverflowClients)
	limit = max(limit-reservedDescriptors-overflow, 2)
	return &DescriptorBudget{limit: limit, overflow: overflow, available: limit}
}

// addQuota adds an owner that may use a part of the budget, from 0 to 1. It is called before any descriptor is
// acquired.
func (b *DescriptorBudget) addQuota(owner idleCloser, share float64) *descriptorQuota {
	q := &descriptorQuota{budget: b, owner: owner, limit: max(1, int(share*float64(b.limit)))}
	b.quotas = append(b.quotas, q)
	return q
}

// acquire takes a descriptor, and closes an idle connection for it if it must.
func (q *descriptorQuota) acquire() bool {
	if q.tryAcquire() || q.owner.closeIdle() && q.tryAcquire() {
		return true
	}
	for _, other := range q.budget.quotas {
		if other != q && q.belowLimit() && other.owner.closeIdle() && q.tryAcquire() {
			return true
		}
	}
	return false
}

func (q *descriptorQuota) belowLimit() bool {
	q.budget.mu.Lock()
	defer q.budget.mu.Unlock()
	return q.inUse < q.limit
}

// tryAcquire takes a descriptor if one is available.
func (q *descriptorQuota) tryAcquire() bool {
	b := q.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available == 0 || q.inUse >= q.limit {
		return false
	}
	b.available--
	q.inUse++
	return true
}

// release gives a descriptor back.
func (q *descriptorQuota) release() {
	b := q.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available++
	q.inUse--
}
