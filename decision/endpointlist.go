package decision

import (
	"time"

	"laurelring/decision/discovery"
	"laurelring/decision/monotonic"
)

const (
	// maxHarmlessStall is the longest process stall that needs no reaction: deadlines, windows and grace periods allow
	// for it.
	maxHarmlessStall = 150 * time.Millisecond
	// maxTrustedStall is the longest process stall after which the endpoint list stays trusted: what arrived during the
	// stall is still processed within the grace period of a drain.
	maxTrustedStall = 600 * time.Millisecond
	// minCatchUpPause is the shortest time after a stall during which no attempt starts, so that what arrived during
	// the stall is read first.
	minCatchUpPause = 30 * time.Millisecond
	// maxCatchUpPause is the longest such time. A response may go on arriving for longer, and the lease on the endpoint
	// list limits how long the gateway acts on the list from before that response.
	maxCatchUpPause = time.Second
)

// StartLease starts the first lease on the endpoint list. From then on the list is trusted only while a lease is valid.
// Without a call of StartLease the list is trusted indefinitely, as is right if discovery pushes each change and
// reports when it cannot.
func (lb *Balancer) StartLease(now monotonic.Time) {
	lb.endpointList.lease.Start(lb.endpointList.terms, now)
}

// WatchPushedList schedules the calls that open the watch over which discovery pushes changes of the endpoint list, the
// first one at once, and open it again when it has broken. Without a call of WatchPushedList changes are pushed without
// a watch.
func (lb *Balancer) WatchPushedList() {
	lb.endpointList.polling = discovery.NewPushPacing(lb.endpointList.terms.DrainGrace)
}

// EndpointListConfirmed renews the lease: according to an answer of discovery, or to a peer that got one, the current
// list was up to date at the given time, as far as drains and removals go. An answer that is read while the gateway
// catches up after a stall may have been sent before the stall, so it renews the lease only from the beginning of the
// stall.
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

// AttemptServed records that an endpoint served an attempt on a connection that was opened at the given time. If the
// connection is old enough (see discovery.Lease), this proves that the endpoint was not draining when the attempt
// started.
func (lb *Balancer) AttemptServed(attempt *Attempt, openedAt monotonic.Time) {
	if attempt.build == attempt.endpoint.build && lb.endpointList.lease.ProvesReady(openedAt) {
		attempt.endpoint.provedReadyAt = max(attempt.endpoint.provedReadyAt, attempt.sentAt)
	}
}

// DiscoveryResponseStarted shortens the lease because a response of discovery has begun to arrive.
func (lb *Balancer) DiscoveryResponseStarted(now monotonic.Time) {
	lb.endpointList.lease.ResponseStarted(now)
}

// DiscoveryResponseBroken shortens the lease because a response of discovery began and did not become complete.
func (lb *Balancer) DiscoveryResponseBroken(now monotonic.Time) {
	lb.endpointList.lease.ResponseBroken(now)
}

// DiscoveryMoved shortens the lease because discovery is called at another address from now on.
func (lb *Balancer) DiscoveryMoved(now monotonic.Time) {
	lb.endpointList.lease.DiscoveryMoved(now)
}

// DiscoveryFailed records that a call to discovery failed or a watch broke. The next call comes after a pause.
func (lb *Balancer) DiscoveryFailed(now monotonic.Time) {
	lb.endpointList.polling.Failed(&lb.random, now)
}

// UnansweredShareEstimated sets the estimated share of the gateways whose polls of discovery get no answer.
func (lb *Balancer) UnansweredShareEstimated(share float64) {
	lb.endpointList.polling.EstimateUnanswered(share)
}

// ProcessStalled records that this process did not run for the given span. Messages that arrived during the stall are
// still unread, and a drain or a lower exposure cap may be among them, so after a stall longer than maxHarmlessStall no
// attempt starts for minCatchUpPause. After a stall longer than maxTrustedStall the endpoint list is not trusted until
// it is confirmed again, as the call for the list may have timed out with its answer unread.
func (lb *Balancer) ProcessStalled(span time.Duration, now monotonic.Time) {
	if beganAt := now - span; beganAt >= lb.catchUpUntil { // otherwise, messages from an earlier stall may be unread too
		lb.stallBeganAt = beganAt
	}
	if span > maxHarmlessStall {
		lb.stallNoticedAt, lb.catchUpUntil = now, now+minCatchUpPause
	}
	if span > maxTrustedStall {
		lb.endpointList.lease.Suspect(now, 0)
	}
}

// AwaitCatchUp lets no attempt start until CaughtUp is called, as messages that arrived during the latest stall may be
// unread. It waits no longer than maxCatchUpPause after the stall, or one tick from now if that is later.
func (lb *Balancer) AwaitCatchUp(now monotonic.Time) {
	lb.catchUpUntil = max(lb.catchUpUntil, lb.stallNoticedAt+maxCatchUpPause, now+lb.tick)
}

// CatchingUp reports whether messages that arrived during a stall may still be unread. While it does, no attempt
// starts, and a message that is read may have been sent before or during the stall.
func (lb *Balancer) CatchingUp(now monotonic.Time) bool { return now < lb.catchUpUntil }

// CatchUpPauseOver reports whether minCatchUpPause has passed since the latest stall.
func (lb *Balancer) CatchUpPauseOver(now monotonic.Time) bool {
	return now >= lb.stallNoticedAt+minCatchUpPause
}

// CaughtUp records that all messages that arrived during the latest stall have been read, so that attempts may start
// again.
func (lb *Balancer) CaughtUp(now monotonic.Time) { lb.catchUpUntil = min(lb.catchUpUntil, now) }

// trusted reports whether the endpoint list is trusted for an endpoint: by its lease, or because the endpoint has
// proved lately that it does not drain.
func (lb *Balancer) trusted(endpoint *Endpoint, now monotonic.Time) bool {
	return lb.endpointList.lease.Trusted(endpoint.provedReadyAt, now)
}

// endpointListState is the state of the endpoint list as a whole.
type endpointListState struct {
	terms            discovery.Terms
	lease            discovery.Lease
	polling          discovery.Pacing
	maxFleetCapacity float64 // largest total relative capacity of the ready endpoints so far, see updateFleetSize
	maxEndpoints     int     // largest number of ready endpoints so far, see updateFleetSize
}
