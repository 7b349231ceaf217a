package routing

import (
	"fmt"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// An outcome that is on its way when its time runs out stands; and an answer that holds no value is none.
func TestLateOutcomeStandsAndEmptyResponseIsNoSuccess(t *testing.T) {
	w := newFixture(t, 1)
	c := w.sendRequest(1)
	w.r.turn()
	s := w.attempts[0]
	s.ended = true
	w.now = c.until + ms
	w.r.turn()
	if c.answers != 0 {
		t.Fatal("answered before the outcome came")
	}
	s.finished(protocol.Response{Outcome: decision.OutcomeSuccess, Value: []byte("value")})
	w.r.turn()
	empty := w.sendRequest(1)
	w.r.turn()
	s = w.attempts[len(w.attempts)-1]
	s.c.out--
	s.finished(protocol.Response{Outcome: decision.OutcomeSuccess})
	w.r.turn()
	if c.answers != 1 || empty.answers != 1 || w.violated != "" {
		t.Errorf("%d and %d answers, %s", c.answers, empty.answers, w.violated)
	}
}

// What a command waits in the queue is its client's time too: the delivery waits for no more than what is left.
func TestTimeInEventQueueCountsAgainstDeadline(t *testing.T) {
	w := newFixture(t, 1)
	got := time.Duration(0)
	w.r.drivers.StartAttempt = func(attempt AttemptRequest) AttemptHandle {
		got = time.Until(attempt.Deadline)
		return &fakeAttempt{c: &testClient{w: w}}
	}
	w.r.RequestArrived(protocol.Request{OpType: w.ops[0], ID: "a", Remaining: 1500 * ms,
		Encode: func(time.Duration) []byte { return nil }}, &testClient{w: w, until: w.now + 1500*ms})
	w.now += 400 * ms // the gateway stands still
	w.r.turn()
	if got > 1101*time.Millisecond || got < 900*time.Millisecond {
		t.Errorf("of 1.5 s, after 0.4 s in the queue, %v are left", got)
	}
}

// connecting is a delivery that waits for its connection.
type connectingAttempt struct{ withheld bool }

func (c *connectingAttempt) Cancel() (bool, bool) { return false, false }

func (c *connectingAttempt) ConnectionAge() time.Duration { return 0 }

func (c *connectingAttempt) Withhold() bool { c.withheld = true; return true }

// While deliveries wait for their connections: a client that leaves takes its own along; a drain sends the others
// elsewhere; a cap that comes down to nothing takes the trial's back.
func TestWithholdsAttemptsNoLongerAllowed(t *testing.T) {
	type one struct {
		address string
		of      *connectingAttempt
	}
	for name, event := range map[string]func(w *fixture, first *testClient, at string){
		"gone": func(w *fixture, first *testClient, _ string) { w.r.ClientDisconnected(first) },
		"drain": func(w *fixture, _ *testClient, at string) {
			for i := range w.members {
				if w.members[i].at() == at {
					w.members[i].phase = "draining"
				}
			}
			w.listMembers(true, w.members...)
		},
		"back": func(w *fixture, _ *testClient, _ string) {
			w.r.RolloutStatusReceived(decision.RolloutStatus{Build: 2, Stage: 0, Phase: decision.PhaseRollingBack, ExposureCap: 0})
		},
	} {
		w := newFixture(t, 3)
		if name == "back" { // all run the trial's build
			for i := range w.members {
				w.members[i].build = 2
			}
			w.r.RolloutStatusReceived(decision.RolloutStatus{Build: 2, Stage: 0, Phase: decision.PhaseCanary, ExposureCap: 1})
			w.listMembers(true, w.members...)
		}
		var all []one
		var first *testClient
		for i := 0; len(all) < 2 && i < 200; i++ { // a trial's machine takes no burst
			c := &testClient{w: w, until: w.now + 1500*ms}
			w.r.drivers.StartAttempt = func(attempt AttemptRequest) AttemptHandle {
				if attempt.Encode(0); first == nil {
					first = w.clients[0]
				}
				all = append(all, one{attempt.Address, &connectingAttempt{}})
				return all[len(all)-1].of
			}
			w.r.RequestArrived(protocol.Request{OpType: w.ops[1], ID: fmt.Sprint("w", i), Remaining: 1500 * ms,
				Encode: func(time.Duration) []byte { w.clients = []*testClient{c}; return nil }}, c)
			w.r.turn()
			w.now += 20 * ms
		}
		if len(all) != 2 {
			t.Fatalf("%s: %d deliveries", name, len(all))
		}
		event(w, first, all[0].address)
		w.r.turn()
		if !all[0].of.withheld || all[1].of.withheld != (name == "back" || name == "drain" && all[1].address == all[0].address) {
			t.Errorf("%s: withheld %t and %t", name, all[0].of.withheld, all[1].of.withheld)
		}
		if elsewhere := len(all) > 2; elsewhere != (name == "drain") || elsewhere && all[2].address == all[0].address {
			t.Errorf("%s: delivered again: %v", name, all)
		}
	}
}
