package decision

import "testing"

// leased is a world of machines whose list is on a lease, confirmed now.
func leased(machines int) *world {
	w := started(newWorld(3, ControlAny), machines)
	w.g.LeaseList(w.now)
	w.g.ToldListConfirmed(w.now)
	return w
}

// sendsTo tells which machines would get a command at a moment.
func (w *world) sendsTo(now int64) (some []int) {
	cmd := w.g.Take(w.ops[0], nil, 0, 0, w.ops[0].timeout, now)
	for i, it := range w.instances {
		if w.g.allowed(cmd, it, now) {
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
	if n := len(w.sendsTo(begun + listLease - ms)); n != 3 {
		t.Errorf("%d of 3 machines get commands while the lease runs", n)
	}
	w.g.ToldServed(&Delivery{To: w.instances[0], build: 1, sentAt: begun + 3*s}, begun+ms) // opened since
	w.g.ToldServed(&Delivery{To: w.instances[1], build: 1, sentAt: begun + 3*s}, begun)
	w.g.ToldServed(&Delivery{To: w.instances[2], build: 2, sentAt: begun + 3*s}, begun) // with another build
	if some := w.sendsTo(begun + listLease); len(some) != 1 || some[0] != 1 {
		t.Errorf("after the lease %v get commands, want only the one that served on a connection of before", some)
	}
	if some := w.sendsTo(begun + 3*s + listLease); len(some) != 0 {
		t.Errorf("%v get commands though they have proved nothing lately", some)
	}
	waits := &Delivery{Cmd: &Command{}, To: w.instances[0], build: 1}
	if w.g.Stands(waits, begun+listLease) {
		t.Error("a delivery that waits for its connection goes out though its machine is no longer trusted")
	}
	w.g.ToldListConfirmed(begun + 4*s)
	if n := len(w.sendsTo(begun + 4*s + listLease - ms)); n != 3 {
		t.Errorf("%d of 3 machines get commands after a peer's confirmation", n)
	}
	if listLease >= LearnWithin {
		t.Error("the lease leaves no time before changes count as told")
	}
}

// A failure of an answer on its way, or a move of discovery, ends the lease early. What machines prove before the change
// may count as told, and confirmations from before, do not bring it back.
func TestListUnderSuspicion(t *testing.T) {
	for name, suspect := range map[string]struct {
		tell   func(g *Gateway, now int64)
		stands int64
	}{"begun": {(*Gateway).ToldListBegun, begunAnswer}, "broken": {(*Gateway).ToldListBroken, brokenAnswer},
		"moved": {(*Gateway).ToldListMoved, movedLease}} {
		w := leased(2)
		at := w.now + s
		served := func(it *Instance, sentAt int64) {
			w.g.ToldServed(&Delivery{To: it, build: 1, sentAt: sentAt}, w.now)
		}
		w.g.ToldListConfirmed(at)
		suspect.tell(w.g, at)
		served(w.instances[0], at+drainSettles)
		w.g.ToldListConfirmed(at - ms)
		if n := len(w.sendsTo(at + suspect.stands - ms)); n != 2 {
			t.Errorf("%s: %d of 2 get commands at first", name, n)
		}
		if some := w.sendsTo(at + suspect.stands); len(some) != 0 {
			t.Errorf("%s: %v get commands after that", name, some)
		}
		served(w.instances[1], at+drainSettles+ms)
		if some := w.sendsTo(at + suspect.stands); len(some) != 1 || some[0] != 1 {
			t.Errorf("%s: %v get commands, want the one that served since", name, some)
		}
		w.g.ToldListConfirmed(at + ms)
		if n := len(w.sendsTo(at + suspect.stands)); n != 2 {
			t.Errorf("%s: %d of 2 get commands once the list is confirmed", name, n)
		}
	}
}

// A gateway that stood still sends nothing until it can have read what it was told meanwhile; after a long time the list
// has to be confirmed as well.
func TestHeldUp(t *testing.T) {
	for span, want := range map[int64][2]int{heldUpMost: {2, 2}, heldUpMost + ms: {0, 2}, heldUpLong + ms: {0, 0}} {
		w := leased(2)
		w.g.ToldHeldUp(span, w.now)
		if got := [2]int{len(w.sendsTo(w.now + catchUp - ms)), len(w.sendsTo(w.now + catchUp))}; got != want {
			t.Errorf("held up for %d ms: %v of 2 machines get commands at once and then, want %v", span/ms, got, want)
		}
		w.g.ToldListConfirmed(w.now + ms)
		if n := len(w.sendsTo(w.now + catchUp)); n != 2 {
			t.Errorf("held up for %d ms: %d of 2 get commands once the list is confirmed", span/ms, n)
		}
	}
}

// Without a lease, as where discovery tells changes unasked, the list is trusted for good.
func TestNoLease(t *testing.T) {
	w := started(newWorld(3, ControlAny), 2)
	if n := len(w.sendsTo(w.now + 3600*s)); n != 2 {
		t.Errorf("%d of 2 machines get commands", n)
	}
}
