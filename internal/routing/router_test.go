package routing

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"laurelring/decision"
)

// FuzzHistory plays seeded random histories and checks the rules after every step.
func FuzzHistory(f *testing.F) {
	for seed := uint64(1); seed <= 5; seed++ {
		f.Add(seed)
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	f.Fuzz(func(t *testing.T, seed uint64) {
		w := newFixture(t, seed)
		stage := 2
		for step := range 2500 {
			w.now += time.Duration(w.dice.IntN(10)) * ms
			var leaves *testClient
			switch w.dice.IntN(60) {
			case 0: // one drains, is removed, or restarts
				m := &w.members[w.dice.IntN(len(w.members))]
				switch m.phase = []string{"up", "up", "draining", "removed"}[w.dice.IntN(4)]; {
				case m.phase != "up" && m.left == 0:
					m.left = w.now
				case m.phase == "up" && m.left > 0:
					m.left, m.started = 0, w.now
					if w.dice.IntN(2) == 0 {
						m.build = w.build // the id and its address return with another build
					}
				}
				w.listMembers(false, *m)
			case 1: // one of the newest build comes
				m := member{id: fmt.Sprint("s-", len(w.members)), phase: "up", build: w.build, started: w.now}
				w.members = append(w.members, m)
				w.listMembers(false, m)
			case 2:
				if stage == 2 {
					w.build, stage, w.cap, w.canaryAttempts = w.build+1, 0, 0.1, nil
				} else {
					stage++
					w.cap = []float64{0.1, 0.5, 1}[stage]
				}
				w.r.RolloutStatusReceived(decision.RolloutStatus{Build: w.build, Stage: stage, Phase: decision.PhaseCanary, ExposureCap: w.cap})
			case 3:
				for range w.dice.IntN(30) {
					w.sendRequest(w.dice.IntN(2))
				}
			case 4:
				w.r.DiscoveryFailed(nil)
				w.r.VoteAnswered(decision.Outcome(w.dice.IntN(8)))
				w.r.DatagramReceived(w.dice.IntN(5)-1, []byte{byte(w.dice.IntN(3)), 9, 9})
			case 5:
				if c := len(w.clients); c > 0 {
					leaves = w.clients[w.dice.IntN(c)]
					w.r.ClientDisconnected(leaves)
				}
			default:
				w.sendRequest(w.dice.IntN(2))
			}
			for _, s := range slices.Clone(w.attempts) {
				if w.dice.IntN(25) == 0 {
					w.finishAttempt(s, []decision.Outcome{decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeError,
						decision.OutcomeRejected, decision.OutcomeConnectFailed, decision.OutcomeConnectionLost, decision.OutcomeNotSent}[w.dice.IntN(9)])
				}
			}
			w.r.turn()
			if leaves != nil {
				leaves.gone = true
			}
			w.attempts = slices.DeleteFunc(w.attempts, func(s *fakeAttempt) bool { return s.over || s.ended })
			w.unanswered = slices.DeleteFunc(w.unanswered, func(c *testClient) bool { return c.answers > 0 || c.gone })
			for _, c := range w.unanswered {
				if w.now > c.until+20*ms {
					w.violation("no final answer in time")
				}
			}
			if w.violated != "" {
				t.Fatalf("step %d: %s", step, w.violated)
			}
		}
		for range 800 { // all that is in hand ends, and is let go of
			w.now += 5 * ms
			w.r.turn()
		}
		if n := len(w.r.requests.byDecision) + len(w.r.requests.byID) + len(w.r.requests.byClient) + len(w.r.timers.heap); n > 0 {
			t.Errorf("%d records are left of what is over", n)
		}
		if w.datagrams == 0 || w.polls == 0 {
			t.Errorf("chores: %d posts, %d watches", w.datagrams, w.polls)
		}
	})
}
