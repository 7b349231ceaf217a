package decision

import (
	"testing"
	"time"

	"laurelring/decision/discovery"
)

// leased is a world of machines whose list is on a lease, confirmed now.
func leased(machines int) *world {
	w := started(newWorld(3, PromoteByAnyVote), machines)
	w.g.StartLease(w.now)
	w.g.EndpointListConfirmed(w.now)
	return w
}

// sendsTo tells which machines would get a command at a moment.
func (w *world) sendsTo(now time.Duration) (some []int) {
	request := w.g.Admit(Arrival{OpType: w.ops[0], Remaining: w.ops[0].clientTimeout}, now)
	for i, endpoint := range w.instances {
		if w.g.mayAttempt(request, endpoint, now) {
			some = append(some, i)
		}
	}
	return some
}

// Issue 22: a list that nothing confirms is gone by for less than the time after which its changes count as told. Then
// only machines that served lately get commands, each for as long after that; a new confirmation brings the others back.
func TestUnconfirmedListRunsOut(t *testing.T) {
	w := leased(3)
	begun := w.now
	if n := len(w.sendsTo(begun + discovery.LeaseTTL - ms)); n != 3 {
		t.Errorf("%d of 3 machines get commands while the lease runs", n)
	}
	w.g.AttemptServed(&Attempt{Endpoint: w.instances[0], build: 1, sentAt: begun + 3*s}, begun+ms) // opened since
	w.g.AttemptServed(&Attempt{Endpoint: w.instances[1], build: 1, sentAt: begun + 3*s}, begun)
	w.g.AttemptServed(&Attempt{Endpoint: w.instances[2], build: 2, sentAt: begun + 3*s}, begun) // with another build
	if some := w.sendsTo(begun + discovery.LeaseTTL); len(some) != 1 || some[0] != 1 {
		t.Errorf("after the lease %v get commands, want only the one that served on a connection of before", some)
	}
	if some := w.sendsTo(begun + 3*s + discovery.LeaseTTL); len(some) != 0 {
		t.Errorf("%v get commands though they have proved nothing lately", some)
	}
	waits := &Attempt{Request: &Request{}, Endpoint: w.instances[0], build: 1}
	if w.g.AttemptAllowed(waits, begun+discovery.LeaseTTL) {
		t.Error("a delivery that waits for its connection goes out though its machine is no longer trusted")
	}
	w.g.EndpointListConfirmed(begun + 4*s)
	if n := len(w.sendsTo(begun + 4*s + discovery.LeaseTTL - ms)); n != 3 {
		t.Errorf("%d of 3 machines get commands after a peer's confirmation", n)
	}
	if discovery.LeaseTTL >= discovery.ChangeNotifiedWithin {
		t.Error("the lease leaves no time before changes count as told")
	}
}

// A failure of an answer on its way, or a move of discovery, ends the lease early. What machines prove before the change
// may count as told, and confirmations from before, do not bring it back.
func TestListUnderSuspicion(t *testing.T) {
	for name, suspect := range map[string]struct {
		tell   func(lb *Balancer, now time.Duration)
		stands time.Duration
	}{"begun": {(*Balancer).DiscoveryResponseStarted, discovery.PartialResponseLease}, "broken": {(*Balancer).DiscoveryResponseBroken, discovery.BrokenResponseLease},
		"moved": {(*Balancer).DiscoveryMoved, discovery.MovedLease}} {
		w := leased(2)
		at := w.now + s
		served := func(endpoint *Endpoint, sentAt time.Duration) {
			w.g.AttemptServed(&Attempt{Endpoint: endpoint, build: 1, sentAt: sentAt}, w.now)
		}
		w.g.EndpointListConfirmed(at)
		suspect.tell(w.g, at)
		served(w.instances[0], at+discovery.DrainSettleTime)
		w.g.EndpointListConfirmed(at - ms)
		if n := len(w.sendsTo(at + suspect.stands - ms)); n != 2 {
			t.Errorf("%s: %d of 2 get commands at first", name, n)
		}
		if some := w.sendsTo(at + suspect.stands); len(some) != 0 {
			t.Errorf("%s: %v get commands after that", name, some)
		}
		served(w.instances[1], at+discovery.DrainSettleTime+ms)
		if some := w.sendsTo(at + suspect.stands); len(some) != 1 || some[0] != 1 {
			t.Errorf("%s: %v get commands, want the one that served since", name, some)
		}
		w.g.EndpointListConfirmed(at + ms)
		if n := len(w.sendsTo(at + suspect.stands)); n != 2 {
			t.Errorf("%s: %d of 2 get commands once the list is confirmed", name, n)
		}
	}
}

// A gateway that stood still sends nothing until it can have read what it was told meanwhile; after a long time the list
// has to be confirmed as well.
func TestHeldUp(t *testing.T) {
	for span, want := range map[time.Duration][2]int{harmlessStall: {2, 2}, harmlessStall + ms: {0, 2}, maxTrustedStall + ms: {0, 0}} {
		w := leased(2)
		w.g.ProcessStalled(span, w.now)
		if got := [2]int{len(w.sendsTo(w.now + catchUpPause - ms)), len(w.sendsTo(w.now + catchUpPause))}; got != want {
			t.Errorf("held up for %d ms: %v of 2 machines get commands at once and then, want %v", span/ms, got, want)
		}
		w.g.EndpointListConfirmed(w.now + ms)
		if n := len(w.sendsTo(w.now + catchUpPause)); n != 2 {
			t.Errorf("held up for %d ms: %d of 2 get commands once the list is confirmed", span/ms, n)
		}
	}
}

// Without a lease, as where discovery tells changes unasked, the list is trusted for good.
func TestNoLease(t *testing.T) {
	w := started(newWorld(3, PromoteByAnyVote), 2)
	if n := len(w.sendsTo(w.now + 3600*s)); n != 2 {
		t.Errorf("%d of 2 machines get commands", n)
	}
}
