package decision

import (
	"testing"
	"time"

	"laurelring/decision/discovery"
)

// leased is a world of machines whose list is on a lease, confirmed now.
func withLease(machines int) *testGateway {
	gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), machines)
	gateway.balancer.StartLease(gateway.now)
	gateway.balancer.EndpointListConfirmed(gateway.now)
	return gateway
}

// sendsTo tells which machines would get a command at a moment.
func (gateway *testGateway) allowedEndpoints(now time.Duration) (some []int) {
	request := gateway.balancer.Admit(Arrival{OpType: gateway.opTypes[0], Remaining: gateway.opTypes[0].clientTimeout}, now)
	for i, endpoint := range gateway.endpoints {
		if gateway.balancer.mayAttempt(request, endpoint, now) {
			some = append(some, i)
		}
	}
	return some
}

// Issue 22: a list that nothing confirms is gone by for less than the time after which its changes count as told. Then
// only machines that served lately get commands, each for as long after that; a new confirmation brings the others back.
func TestUnconfirmedEndpointListExpires(t *testing.T) {
	gateway := withLease(3)
	begun := gateway.now
	if n := len(gateway.allowedEndpoints(begun + discovery.LeaseTTL - millisecond)); n != 3 {
		t.Errorf("%d of 3 machines get commands while the lease runs", n)
	}
	gateway.balancer.AttemptServed(&Attempt{Endpoint: gateway.endpoints[0], build: 1, sentAt: begun + 3*second}, begun+millisecond) // opened since
	gateway.balancer.AttemptServed(&Attempt{Endpoint: gateway.endpoints[1], build: 1, sentAt: begun + 3*second}, begun)
	gateway.balancer.AttemptServed(&Attempt{Endpoint: gateway.endpoints[2], build: 2, sentAt: begun + 3*second}, begun) // with another build
	if some := gateway.allowedEndpoints(begun + discovery.LeaseTTL); len(some) != 1 || some[0] != 1 {
		t.Errorf("after the lease %v get commands, want only the one that served on a connection of before", some)
	}
	if some := gateway.allowedEndpoints(begun + 3*second + discovery.LeaseTTL); len(some) != 0 {
		t.Errorf("%v get commands though they have proved nothing lately", some)
	}
	waits := &Attempt{Request: &Request{}, Endpoint: gateway.endpoints[0], build: 1}
	if gateway.balancer.AttemptAllowed(waits, begun+discovery.LeaseTTL) {
		t.Error("a delivery that waits for its connection goes out though its machine is no longer trusted")
	}
	gateway.balancer.EndpointListConfirmed(begun + 4*second)
	if n := len(gateway.allowedEndpoints(begun + 4*second + discovery.LeaseTTL - millisecond)); n != 3 {
		t.Errorf("%d of 3 machines get commands after a peer's confirmation", n)
	}
	if discovery.LeaseTTL >= discovery.ChangeNotifiedWithin {
		t.Error("the lease leaves no time before changes count as told")
	}
}

// A failure of an answer on its way, or a move of discovery, ends the lease early. What machines prove before the change
// may count as told, and confirmations from before, do not bring it back.
func TestSuspectEndpointListExpiresEarly(t *testing.T) {
	for name, suspect := range map[string]struct {
		tell   func(lb *Balancer, now time.Duration)
		stands time.Duration
	}{"begun": {(*Balancer).DiscoveryResponseStarted, discovery.PartialResponseLease}, "broken": {(*Balancer).DiscoveryResponseBroken, discovery.BrokenResponseLease},
		"moved": {(*Balancer).DiscoveryMoved, discovery.MovedLease}} {
		gateway := withLease(2)
		at := gateway.now + second
		served := func(endpoint *Endpoint, sentAt time.Duration) {
			gateway.balancer.AttemptServed(&Attempt{Endpoint: endpoint, build: 1, sentAt: sentAt}, gateway.now)
		}
		gateway.balancer.EndpointListConfirmed(at)
		suspect.tell(gateway.balancer, at)
		served(gateway.endpoints[0], at+discovery.DrainSettleTime)
		gateway.balancer.EndpointListConfirmed(at - millisecond)
		if n := len(gateway.allowedEndpoints(at + suspect.stands - millisecond)); n != 2 {
			t.Errorf("%s: %d of 2 get commands at first", name, n)
		}
		if some := gateway.allowedEndpoints(at + suspect.stands); len(some) != 0 {
			t.Errorf("%s: %v get commands after that", name, some)
		}
		served(gateway.endpoints[1], at+discovery.DrainSettleTime+millisecond)
		if some := gateway.allowedEndpoints(at + suspect.stands); len(some) != 1 || some[0] != 1 {
			t.Errorf("%s: %v get commands, want the one that served since", name, some)
		}
		gateway.balancer.EndpointListConfirmed(at + millisecond)
		if n := len(gateway.allowedEndpoints(at + suspect.stands)); n != 2 {
			t.Errorf("%s: %d of 2 get commands once the list is confirmed", name, n)
		}
	}
}

// A gateway that stood still sends nothing until it can have read what it was told meanwhile; after a long time the list
// has to be confirmed as well.
func TestStalledProcessStartsNoAttempts(t *testing.T) {
	for span, want := range map[time.Duration][2]int{harmlessStall: {2, 2}, harmlessStall + millisecond: {0, 2}, maxTrustedStall + millisecond: {0, 0}} {
		gateway := withLease(2)
		gateway.balancer.ProcessStalled(span, gateway.now)
		if got := [2]int{len(gateway.allowedEndpoints(gateway.now + catchUpPause - millisecond)), len(gateway.allowedEndpoints(gateway.now + catchUpPause))}; got != want {
			t.Errorf("held up for %d ms: %v of 2 machines get commands at once and then, want %v", span/millisecond, got, want)
		}
		gateway.balancer.EndpointListConfirmed(gateway.now + millisecond)
		if n := len(gateway.allowedEndpoints(gateway.now + catchUpPause)); n != 2 {
			t.Errorf("held up for %d ms: %d of 2 get commands once the list is confirmed", span/millisecond, n)
		}
	}
}

// Without a lease, as where discovery tells changes unasked, the list is trusted for good.
func TestEndpointListWithoutLeaseIsTrusted(t *testing.T) {
	gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), 2)
	if n := len(gateway.allowedEndpoints(gateway.now + 3600*second)); n != 2 {
		t.Errorf("%d of 2 machines get commands", n)
	}
}
