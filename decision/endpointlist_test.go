package decision

import (
	"testing"
	"time"

	"laurelring/decision/discovery"
)

// withLease returns a gateway with a number of endpoints whose list has a lease, confirmed now.
func withLease(endpoints int) *testGateway {
	gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), endpoints)
	gateway.balancer.StartLease(gateway.now)
	gateway.balancer.EndpointListConfirmed(gateway.now)
	return gateway
}

// allowedEndpoints returns the indices of the endpoints that may get a request at the given time.
func (gateway *testGateway) allowedEndpoints(now time.Duration) (allowed []int) {
	request := gateway.balancer.Admit(Arrival{OpType: gateway.opTypes[0], Remaining: gateway.opTypes[0].clientTimeout}, now)
	for i, endpoint := range gateway.endpoints {
		if gateway.balancer.mayAttempt(request, endpoint, now) {
			allowed = append(allowed, i)
		}
	}
	return allowed
}

// A list that nothing confirms must lose its lease before its changes count as notified. After that only endpoints that
// served an attempt lately get requests, each for the span of a lease after that attempt. A new confirmation makes the
// other endpoints available again. Found with issue 22.
func TestUnconfirmedEndpointListExpires(t *testing.T) {
	gateway := withLease(3)
	begun := gateway.now
	if n := len(gateway.allowedEndpoints(begun + discovery.LeaseTTL - millisecond)); n != 3 {
		t.Errorf("%d endpoints get requests while the lease is valid, want 3", n)
	}
	gateway.balancer.AttemptServed(&Attempt{endpoint: gateway.endpoints[0], build: 1, sentAt: begun + 3*second}, begun+millisecond) // on a connection opened after the confirmation
	gateway.balancer.AttemptServed(&Attempt{endpoint: gateway.endpoints[1], build: 1, sentAt: begun + 3*second}, begun)
	gateway.balancer.AttemptServed(&Attempt{endpoint: gateway.endpoints[2], build: 2, sentAt: begun + 3*second}, begun) // by another build
	if allowed := gateway.allowedEndpoints(begun + discovery.LeaseTTL); len(allowed) != 1 || allowed[0] != 1 {
		t.Errorf("after the lease endpoints %v get requests, want only endpoint 1, which served on an earlier connection", allowed)
	}
	if allowed := gateway.allowedEndpoints(begun + 3*second + discovery.LeaseTTL); len(allowed) != 0 {
		t.Errorf("endpoints %v get requests a lease after they last served, want none", allowed)
	}
	waiting := &Attempt{request: &Request{opType: gateway.opTypes[0]}, endpoint: gateway.endpoints[0], build: 1}
	if gateway.balancer.AttemptAllowed(waiting, begun+discovery.LeaseTTL) {
		t.Error("an attempt that waits for its connection is allowed although its endpoint is no longer trusted")
	}
	gateway.balancer.EndpointListConfirmed(begun + 4*second)
	if n := len(gateway.allowedEndpoints(begun + 4*second + discovery.LeaseTTL - millisecond)); n != 3 {
		t.Errorf("%d endpoints get requests after a peer's confirmation, want 3", n)
	}
	if discovery.LeaseTTL >= discovery.ChangeNotifiedWithin {
		t.Error("the lease is not shorter than the time after which changes count as notified")
	}
}

// A response of discovery that begins or breaks off, or a move of discovery, shortens the lease. Confirmations from
// before that event do not renew it. An endpoint that serves an attempt proves that it is ready only once the changes
// may count as notified.
func TestSuspectEndpointListExpiresEarly(t *testing.T) {
	for name, suspect := range map[string]struct {
		apply     func(lb *Balancer, now time.Duration)
		remaining time.Duration
	}{"response started": {(*Balancer).DiscoveryResponseStarted, discovery.PartialResponseLease}, "response broken off": {(*Balancer).DiscoveryResponseBroken, discovery.BrokenResponseLease},
		"discovery moved": {(*Balancer).DiscoveryMoved, discovery.MovedLease}} {
		gateway := withLease(2)
		at := gateway.now + second
		served := func(endpoint *Endpoint, sentAt time.Duration) {
			gateway.balancer.AttemptServed(&Attempt{endpoint: endpoint, build: 1, sentAt: sentAt}, gateway.now)
		}
		gateway.balancer.EndpointListConfirmed(at)
		suspect.apply(gateway.balancer, at)
		served(gateway.endpoints[0], at+discovery.DrainSettleTime)
		gateway.balancer.EndpointListConfirmed(at - millisecond)
		if n := len(gateway.allowedEndpoints(at + suspect.remaining - millisecond)); n != 2 {
			t.Errorf("%s: %d endpoints get requests during the shortened lease, want 2", name, n)
		}
		if allowed := gateway.allowedEndpoints(at + suspect.remaining); len(allowed) != 0 {
			t.Errorf("%s: endpoints %v get requests after the shortened lease, want none", name, allowed)
		}
		served(gateway.endpoints[1], at+discovery.DrainSettleTime+millisecond)
		if allowed := gateway.allowedEndpoints(at + suspect.remaining); len(allowed) != 1 || allowed[0] != 1 {
			t.Errorf("%s: endpoints %v get requests, want only endpoint 1, which has served since", name, allowed)
		}
		gateway.balancer.EndpointListConfirmed(at + millisecond)
		if n := len(gateway.allowedEndpoints(at + suspect.remaining)); n != 2 {
			t.Errorf("%s: %d endpoints get requests once the list is confirmed, want 2", name, n)
		}
	}
}

// Discovery that pushes changes has listed a drain before this gateway starts. Guards against attempts at the endpoint
// after the grace period, which counts from the start: the list that a gateway starts with was trusted for a second,
// whatever the grace period.
func TestInitialPushedListIsTrustedWithinDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{200 * millisecond, 250 * millisecond, 700 * millisecond, second} {
		gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), 2)
		gateway.balancer.endpointList.terms.DrainGrace = grace
		gateway.balancer.StartLease(gateway.now)
		latest := gateway.now + grace - maxHarmlessStall // an attempt may be written this much later
		if n := len(gateway.allowedEndpoints(latest)); n != 0 {
			t.Errorf("grace period %v: %d endpoints get requests at the end of the grace period by an unconfirmed list, want none", grace, n)
		}
		gateway.balancer.EndpointListConfirmed(latest)
		if n := len(gateway.allowedEndpoints(latest)); n != 2 {
			t.Errorf("grace period %v: %d endpoints get requests once the list is confirmed, want 2", grace, n)
		}
	}
}

// A response of discovery begins to arrive and is not completed, or breaks off. Guards against attempts at an endpoint
// that it lists as draining: the list before it was trusted for a fixed time, whatever the grace period.
func TestListIsTrustedWithinDrainGraceOfIncompleteResponse(t *testing.T) {
	for name, suspect := range map[string]func(lb *Balancer, now time.Duration){
		"started": (*Balancer).DiscoveryResponseStarted, "broken off": (*Balancer).DiscoveryResponseBroken,
	} {
		for _, grace := range []time.Duration{200 * millisecond, 250 * millisecond, 700 * millisecond, second} {
			gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), 2)
			gateway.balancer.endpointList.terms.DrainGrace = grace
			gateway.balancer.StartLease(gateway.now)
			gateway.balancer.EndpointListConfirmed(gateway.now)
			at := gateway.now + second
			suspect(gateway.balancer, at)
			if n := len(gateway.allowedEndpoints(at + grace - maxHarmlessStall)); n != 0 {
				t.Errorf("response %s, grace period %v: %d endpoints get requests at the end of the grace period, want none", name, grace, n)
			}
		}
	}
}

// Discovery has moved and does not answer. Guards against attempts at an endpoint that began to drain after it had proved
// its readiness: what the moved discovery has to tell counts as notified MovedLease after the move, but a proof from
// before that was trusted for as long as any other.
func TestProofFromBeforeMoveCountsAsNotifiedEndsWithDrainGrace(t *testing.T) {
	gateway := withLease(3)
	movedAt := gateway.now + second
	notifiedAt := movedAt + discovery.MovedLease
	gateway.balancer.DiscoveryMoved(movedAt)
	served := func(endpoint int, sentAt time.Duration) {
		gateway.balancer.AttemptServed(&Attempt{endpoint: gateway.endpoints[endpoint], build: 1, sentAt: sentAt}, gateway.now)
	}
	served(0, movedAt+2*second)
	served(1, notifiedAt+400*millisecond) // may still serve although it began to drain just before notifiedAt
	served(2, notifiedAt+discovery.DrainSettleTime/2)
	if allowed := gateway.allowedEndpoints(notifiedAt + 500*millisecond); len(allowed) != 3 {
		t.Errorf("endpoints %v get requests within the grace period, want all", allowed)
	}
	if allowed := gateway.allowedEndpoints(notifiedAt + second - maxHarmlessStall); len(allowed) != 1 || allowed[0] != 2 {
		t.Errorf("endpoints %v get requests at the end of the grace period, want only endpoint 2, which served since", allowed)
	}
	gateway.balancer.EndpointListConfirmed(notifiedAt + second)
	if allowed := gateway.allowedEndpoints(notifiedAt + second); len(allowed) != 3 {
		t.Errorf("endpoints %v get requests once the list is confirmed, want all", allowed)
	}
}

// After a stall no attempt starts until messages that arrived during the stall can have been read. After a long stall
// the endpoint list must be confirmed as well.
func TestStalledProcessStartsNoAttempts(t *testing.T) {
	for span, want := range map[time.Duration][2]int{maxHarmlessStall: {2, 2}, maxHarmlessStall + millisecond: {0, 2}, maxTrustedStall + millisecond: {0, 0}} {
		gateway := withLease(2)
		gateway.balancer.ProcessStalled(span, gateway.now)
		if got := [2]int{len(gateway.allowedEndpoints(gateway.now + minCatchUpPause - millisecond)), len(gateway.allowedEndpoints(gateway.now + minCatchUpPause))}; got != want {
			t.Errorf("stalled for %d ms: %v endpoints get requests during the pause and after it, want %v", span/millisecond, got, want)
		}
		gateway.balancer.EndpointListConfirmed(gateway.now + millisecond)
		if n := len(gateway.allowedEndpoints(gateway.now + minCatchUpPause)); n != 2 {
			t.Errorf("stalled for %d ms: %d endpoints get requests once the list is confirmed, want 2", span/millisecond, n)
		}
	}
}

// An answer of discovery that was unread during a stall describes the list as it was before the stall. It renewed the
// lease from the time it was read, so after a stall of over a second followed by an outage of discovery, endpoints got
// requests although their drain counted as notified.
func TestAnswerReadAfterStallRenewsLeaseFromStartOfStall(t *testing.T) {
	const span = 3 * second
	gateway := withLease(2)
	began := gateway.now + second
	gateway.balancer.ProcessStalled(span, began+span)
	gateway.balancer.EndpointListConfirmed(began + span + millisecond)
	if n := len(gateway.allowedEndpoints(began + discovery.LeaseTTL - millisecond)); n != 2 {
		t.Errorf("%d endpoints get requests while the lease renewed by the answer is valid, want 2", n)
	}
	if allowed := gateway.allowedEndpoints(began + discovery.LeaseTTL); len(allowed) != 0 {
		t.Errorf("endpoints %v get requests because of an answer from before the stall, want none", allowed)
	}
	gateway.balancer.EndpointListConfirmed(began + span + minCatchUpPause)
	if n := len(gateway.allowedEndpoints(began + span + minCatchUpPause + discovery.LeaseTTL - millisecond)); n != 2 {
		t.Errorf("%d endpoints get requests once discovery has answered after the stall, want 2", n)
	}
}

// An answer of discovery that is read after a harmless stall must renew the lease from the time it is read. As the
// start of a harmless stall is not recorded, the answer is dated from before an earlier stall, or from the start of the
// process, and its renewal is lost.
func TestAnswerReadAfterHarmlessStallRenewsLease(t *testing.T) {
	gateway := withLease(2)
	at := gateway.now + 2*second
	gateway.balancer.ProcessStalled(maxHarmlessStall, at)
	gateway.balancer.AwaitCatchUp(at)
	gateway.balancer.EndpointListConfirmed(at + millisecond)
	gateway.balancer.CaughtUp(at + millisecond)
	if n := len(gateway.allowedEndpoints(at + discovery.LeaseTTL - maxHarmlessStall - millisecond)); n != 2 {
		t.Errorf("%d endpoints get requests while the lease renewed by the answer is valid, want 2", n)
	}
}

// Without a lease, as when discovery pushes changes, the list is trusted indefinitely.
func TestEndpointListWithoutLeaseIsTrusted(t *testing.T) {
	gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), 2)
	if n := len(gateway.allowedEndpoints(gateway.now + 3600*second)); n != 2 {
		t.Errorf("%d endpoints get requests without a lease, want 2", n)
	}
}

// A second stall begins while messages from the first are unread. An answer that is read then may have been sent before
// the first stall, so it renews the lease from the beginning of that one.
func TestAnswerReadAfterTwoStallsRenewsLeaseFromStartOfFirst(t *testing.T) {
	gateway := withLease(2)
	began := gateway.now + second
	first, second := began+400*millisecond, began+700*millisecond
	gateway.balancer.ProcessStalled(400*millisecond, first)
	gateway.balancer.AwaitCatchUp(first)
	gateway.balancer.ProcessStalled(200*millisecond, second)
	gateway.balancer.AwaitCatchUp(second)
	gateway.balancer.EndpointListConfirmed(second + millisecond)
	gateway.balancer.CaughtUp(second + millisecond)
	if n := len(gateway.allowedEndpoints(began + discovery.LeaseTTL - millisecond)); n != 2 {
		t.Errorf("%d endpoints get requests while the lease renewed by the answer is valid, want 2", n)
	}
	if allowed := gateway.allowedEndpoints(began + discovery.LeaseTTL); len(allowed) != 0 {
		t.Errorf("endpoints %v get requests because of an answer from before the first stall, want none", allowed)
	}
}
