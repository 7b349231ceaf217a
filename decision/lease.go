package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	// LearnWithin is how long after discovery had a change, and could be reached, it counts as told.
	ChangeNotifiedWithin = 6 * time.Second
	// drainSettles is how long an instance that is listed as draining may still serve new commands. Half a second was
	// seen; an answer from before that proves nothing.
	drainSettleTime = time.Second
	// listLease is how long the list, or an instance's own proof, stands from the moment for which it was confirmed.
	leaseTTL = ChangeNotifiedWithin - drainSettleTime/2
	// begunAnswer is how long the list stands after an answer of discovery has begun, until it is there whole: what it
	// brings counts as told when it was written. With the time for which a gateway may be held up it is under the grace
	// of a drain. brokenAnswer is the same from the end of one that never came whole.
	partialResponseLease = 700 * time.Millisecond
	brokenResponseLease  = 200 * time.Millisecond
	// firstLease is how long the list that a gateway starts with stands: it may be old, and its changes may count as
	// told from the first moment on.
	initialLease = time.Second
	// movedLease is how long the list stands after discovery has moved: from then on its changes count as told.
	movedDiscoveryLease = 4 * time.Second
)

// lease is how long the list held is trusted.
type listLease struct {
	enabled     bool
	expiresAt   monotonic.Time
	confirmedAt monotonic.Time // the latest moment for which the list held was confirmed
	suspectAt   monotonic.Time // changes from before this moment count as told by then, unheard: older confirmations are void
}

// LeaseList has the list trusted for no longer than a lease. The first one is short and begins now. Without it the list
// is trusted for good, as where discovery tells each change unasked and says when it cannot.
func (lb *Balancer) StartLease(now monotonic.Time) {
	lb.endpointList.lease = listLease{enabled: true, expiresAt: now + initialLease}
}

// ToldListConfirmed tells that the list held, as far as drains and removals go, was current at a moment: by an answer
// of discovery, or by a peer that got one.
func (lb *Balancer) EndpointListConfirmed(at monotonic.Time) {
	lease := &lb.endpointList.lease
	if at > lease.suspectAt {
		lease.expiresAt = max(lease.expiresAt, at+leaseTTL)
		lease.confirmedAt = max(lease.confirmedAt, at)
	}
}

// ToldServed tells that an instance served a delivery on a connection that was opened at a moment: it did not drain when
// that was sent. This proves something only on a connection that stood when the list was last confirmed: the id and the
// address of an instance that has gone may have returned with another process, of which nobody has told.
func (lb *Balancer) AttemptServed(attempt *Attempt, openedAt monotonic.Time) {
	if attempt.build == attempt.Endpoint.build && openedAt <= lb.endpointList.lease.confirmedAt {
		attempt.Endpoint.provedReadyAt = max(attempt.Endpoint.provedReadyAt, attempt.sentAt)
	}
}

// ToldListBegun tells that an answer of discovery has begun to come.
func (lb *Balancer) DiscoveryResponseStarted(now monotonic.Time) {
	lb.endpointList.lease.suspect(now, now+partialResponseLease)
}

// ToldListBroken tells that an answer of discovery began and did not come whole.
func (lb *Balancer) DiscoveryResponseBroken(now monotonic.Time) {
	lb.endpointList.lease.suspect(now, now+brokenResponseLease)
}

// ToldListMoved tells that discovery is asked at another address from now on.
func (lb *Balancer) DiscoveryMoved(now monotonic.Time) {
	lb.endpointList.lease.suspect(now, now+movedDiscoveryLease)
}

// suspect ends the lease early. What instances prove until shortly after that says nothing any more.
func (lease *listLease) suspect(now, until monotonic.Time) {
	lease.expiresAt = min(lease.expiresAt, until)
	lease.suspectAt = max(lease.suspectAt, now)
}

// trusted tells whether the list's word that an instance is ready may be gone by: while the lease runs, or for as long
// after the instance served a command of ours.
func (lb *Balancer) trusted(endpoint *Endpoint, now monotonic.Time) bool {
	lease := &lb.endpointList.lease
	if !lease.enabled || now < lease.expiresAt {
		return true
	}
	return endpoint.provedReadyAt > lease.suspectAt+drainSettleTime && now < endpoint.provedReadyAt+leaseTTL
}

// ListTrusted tells whether the list is confirmed at present, for the log.
func (lb *Balancer) EndpointListTrusted(now monotonic.Time) bool {
	return !lb.endpointList.lease.enabled || now < lb.endpointList.lease.expiresAt
}
