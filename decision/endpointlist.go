package decision

import (
	"time"

	"laurelring/decision/discovery"
	"laurelring/decision/monotonic"
)

const (
	// harmlessStall is how long the process may stand still without harm: deadlines, windows and graces allow for it.
	harmlessStall = 150 * time.Millisecond
	// maxTrustedStall is how long it may and still take in what arrived meanwhile within the grace of a drain.
	maxTrustedStall = 600 * time.Millisecond
	// catchUpPause is how long no attempt starts after a stall at the least, so that what arrived meanwhile is read first.
	catchUpPause = 30 * time.Millisecond
	// maxCatchUp is how long it is waited for that at the most: a response may go on arriving for longer, and the lease on
	// the endpoint list bounds what is done by the list before it.
	maxCatchUp = time.Second
)

// StartLease has the endpoint list trusted for no longer than a lease, of which the first begins now. Without it the list
// is trusted for good, as where discovery pushes each change and reports when it cannot.
func (lb *Balancer) StartLease(now monotonic.Time) { lb.endpointList.lease.Start(now) }

// EndpointListConfirmed renews the lease: by an answer of discovery, or by a peer that got one, the current list was up to
// date at a moment, as far as drains and removals go. What is read while the process catches up after a stall may have been
// sent before that.
func (lb *Balancer) EndpointListConfirmed(at monotonic.Time) {
	if at >= lb.stallNoticedAt && lb.CatchingUp(at) {
		lb.endpointList.lease.ConfirmAfterStall(at, lb.stallBeganAt)
	} else {
		lb.endpointList.lease.Confirm(at)
	}
}

// EndpointListTrusted reports whether the lease on the endpoint list is valid.
func (lb *Balancer) EndpointListTrusted(now monotonic.Time) bool {
	return lb.endpointList.lease.Valid(now)
}

// AttemptServed takes in that an endpoint served an attempt on a connection that was opened at a moment: it did not drain
// when the attempt started, if the connection is old enough to prove that (see discovery.Lease).
func (lb *Balancer) AttemptServed(attempt *Attempt, openedAt monotonic.Time) {
	if attempt.build == attempt.endpoint.build && lb.endpointList.lease.ProvesReady(openedAt) {
		attempt.endpoint.provedReadyAt = max(attempt.endpoint.provedReadyAt, attempt.sentAt)
	}
}

// DiscoveryResponseStarted takes in that a response of discovery has begun to arrive.
func (lb *Balancer) DiscoveryResponseStarted(now monotonic.Time) {
	lb.endpointList.lease.Suspect(now, discovery.PartialResponseLease)
}

// DiscoveryResponseBroken takes in that a response of discovery began and did not become complete.
func (lb *Balancer) DiscoveryResponseBroken(now monotonic.Time) {
	lb.endpointList.lease.Suspect(now, discovery.BrokenResponseLease)
}

// DiscoveryMoved takes in that discovery is called at another address from now on.
func (lb *Balancer) DiscoveryMoved(now monotonic.Time) {
	lb.endpointList.lease.Suspect(now, discovery.MovedLease)
}

// DiscoveryFailed takes in that a poll failed or a watch broke. The next poll comes after a backoff.
func (lb *Balancer) DiscoveryFailed(now monotonic.Time) {
	lb.endpointList.polling.Failed(&lb.random, now)
}

// UnansweredShareEstimated takes in which share of the gateways, as far as is known, polls discovery without an answer.
func (lb *Balancer) UnansweredShareEstimated(share float64) {
	lb.endpointList.polling.EstimateUnanswered(share)
}

// ProcessStalled takes in that this process stood still for a while. What arrived meanwhile waits to be read, drains and a
// lower exposure cap among it, so no attempt starts for a moment. After a long stall the list has to be confirmed too, as
// the call for it may have been given up with its answer unread.
func (lb *Balancer) ProcessStalled(span time.Duration, now monotonic.Time) {
	if span > harmlessStall {
		lb.stallBeganAt, lb.stallNoticedAt, lb.catchUpUntil = now-span, now, now+catchUpPause
	}
	if span > maxTrustedStall {
		lb.endpointList.lease.Suspect(now, 0)
	}
}

// AwaitUnread has no attempt start after a stall until CaughtUp is called, as what arrived meanwhile may be unread, or until it
// was waited for that long enough.
func (lb *Balancer) AwaitUnread(now monotonic.Time) {
	lb.catchUpUntil = max(lb.catchUpUntil, lb.stallNoticedAt+maxCatchUp, now+lb.tick)
}

// CatchingUp reports whether what arrived during a stall may still be unread: no attempt starts, and nothing that is read now
// is known to have been sent lately.
func (lb *Balancer) CatchingUp(now monotonic.Time) bool { return now < lb.catchUpUntil }

// CatchUpPauseOver reports whether the least pause after the latest stall is over.
func (lb *Balancer) CatchUpPauseOver(now monotonic.Time) bool {
	return now >= lb.stallNoticedAt+catchUpPause
}

// CaughtUp takes in that what arrived during the latest stall has been read: attempts may start again.
func (lb *Balancer) CaughtUp(now monotonic.Time) { lb.catchUpUntil = min(lb.catchUpUntil, now) }

// trusted reports whether the list may be relied on for an endpoint.
func (lb *Balancer) trusted(endpoint *Endpoint, now monotonic.Time) bool {
	return lb.endpointList.lease.Trusted(endpoint.provedReadyAt, now)
}

// endpointListState is what is known of the endpoint list as a whole.
type endpointListState struct {
	lease        discovery.Lease
	polling      discovery.Pacing
	maxPower     float64 // the largest power that was ready at once, canary endpoints left out
	maxEndpoints int     // the same in endpoints
}
