package transport

import (
	"sync"
)

const (
	// reservedDescriptors is the number of descriptors reserved for the standard streams (3), the poller (2), the
	// listener, the next client, peers, discovery (2), the rollout controller (2) and, with the rest, the runtime.
	// Discovery and the rollout controller need two each while one connection replaces another.
	reservedDescriptors = 16
	// Clients in overflow are beyond the descriptor limit, and their requests get their final response without an
	// attempt. The overflow slots are a share of all descriptors, within these bounds. When many clients connect at
	// once, the others wait to be accepted until slots become free.
	overflowShare      = 0.125
	minOverflowClients = 8
	maxOverflowClients = 32
	// clientShare is the share of the budget that clients may use. Clients that send requests need no more than a
	// third, and a large number of other clients must not take the descriptors that attempts need.
	clientShare   = 0.5
	endpointShare = 1.0
)

// DescriptorBudget manages the gateway's file descriptors. Descriptors for discovery, the rollout controller, peers and
// the runtime are reserved from the start. Clients and endpoints share the rest, each up to its quota. At the limit,
// idle connections are closed: first connections of the owner that requests a descriptor, then connections of the other
// owner, so that neither starves the other.
type DescriptorBudget struct {
	limit    int // descriptors for clients within the limit and endpoints together
	overflow int // slots for clients beyond the limit

	mu        sync.Mutex
	available int
	quotas    []*descriptorQuota
}

// idleCloser is an owner of connections of one kind, which hold descriptors of the budget.
type idleCloser interface {
	// closeIdle closes an idle connection, usually the one that has been idle longest, and reports whether it closed
	// one.
	closeIdle() bool
}

// descriptorQuota is the part of a budget that one owner may use.
type descriptorQuota struct {
	budget *DescriptorBudget
	owner  idleCloser
	limit  int
	inUse  int // guarded by budget.mu
}

// NewDescriptorBudget returns a budget for a gateway that may open limit descriptors in total.
func NewDescriptorBudget(limit int) *DescriptorBudget {
	overflow := min(max(int(overflowShare*float64(limit)), minOverflowClients), maxOverflowClients)
	limit = max(limit-reservedDescriptors-overflow, 2)
	return &DescriptorBudget{limit: limit, overflow: overflow, available: limit}
}

// addQuota adds an owner that may use a share of the budget, from 0 to 1. All owners are added before any descriptor is
// acquired.
func (b *DescriptorBudget) addQuota(owner idleCloser, share float64) *descriptorQuota {
	q := &descriptorQuota{budget: b, owner: owner, limit: max(1, int(share*float64(b.limit)))}
	b.quotas = append(b.quotas, q)
	return q
}

// acquire takes a descriptor, closing an idle connection to free one if necessary, and reports whether it got one.
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

// tryAcquire takes a descriptor if one is available, and reports whether it did.
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

// release returns a descriptor to the budget.
func (q *descriptorQuota) release() {
	b := q.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available++
	q.inUse--
}
