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
		env := newFixture(t, seed)
		stage := 2
		for step := range 2500 {
			env.now += time.Duration(env.random.IntN(10)) * ms
			var leaves *testClient
			switch env.random.IntN(60) {
			case 0: // an endpoint drains, is removed, or restarts
				m := &env.members[env.random.IntN(len(env.members))]
				switch m.phase = []string{"up", "up", "draining", "removed"}[env.random.IntN(4)]; {
				case m.phase != "up" && m.downSince == 0:
					m.downSince = env.now
				case m.phase == "up" && m.downSince > 0:
					m.downSince, m.startedAt = 0, env.now
					if env.random.IntN(2) == 0 {
						m.build = env.newestBuild // the id and its address return with another build
					}
				}
				env.listMembers(false, *m)
			case 1: // an endpoint of the newest build is listed
				m := member{id: fmt.Sprint("s-", len(env.members)), phase: "up", build: env.newestBuild, startedAt: env.now}
				env.members = append(env.members, m)
				env.listMembers(false, m)
			case 2:
				if stage == 2 {
					env.newestBuild, stage, env.exposureCap, env.canaryAttempts = env.newestBuild+1, 0, 0.1, nil
				} else {
					stage++
					env.exposureCap = []float64{0.1, 0.5, 1}[stage]
				}
				env.router.RolloutStatusReceived(decision.RolloutStatus{Build: env.newestBuild, Stage: stage, Phase: decision.PhaseCanary, ExposureCap: env.exposureCap})
			case 3:
				for range env.random.IntN(30) {
					env.sendRequest(env.random.IntN(2))
				}
			case 4:
				env.router.DiscoveryFailed(nil)
				env.router.VoteAnswered(decision.Outcome(env.random.IntN(8)))
				env.router.DatagramReceived(env.random.IntN(5)-1, []byte{byte(env.random.IntN(3)), 9, 9})
			case 5:
				if c := len(env.clients); c > 0 {
					leaves = env.clients[env.random.IntN(c)]
					env.router.ClientDisconnected(leaves)
				}
			default:
				env.sendRequest(env.random.IntN(2))
			}
			for _, fake := range slices.Clone(env.attempts) {
				if env.random.IntN(25) == 0 {
					env.finishAttempt(fake, []decision.Outcome{decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeError,
						decision.OutcomeRejected, decision.OutcomeConnectFailed, decision.OutcomeConnectionLost, decision.OutcomeNotSent}[env.random.IntN(9)])
				}
			}
			env.router.turn()
			if leaves != nil {
				leaves.disconnected = true
			}
			env.attempts = slices.DeleteFunc(env.attempts, func(fake *fakeAttempt) bool { return fake.finished || fake.finishing })
			env.unanswered = slices.DeleteFunc(env.unanswered, func(client *testClient) bool { return client.answers > 0 || client.disconnected })
			for _, client := range env.unanswered {
				if env.now > client.deadline+20*ms {
					env.violate("no final answer in time")
				}
			}
			if env.violation != "" {
				t.Fatalf("step %d: %s", step, env.violation)
			}
		}
		for range 800 { // all requests complete, and their records are removed
			env.now += 5 * ms
			env.router.turn()
		}
		if n := len(env.router.requests.byDecision) + len(env.router.requests.byID) + len(env.router.requests.byClient) + len(env.router.timers.heap); n > 0 {
			t.Errorf("%d records of completed requests are left", n)
		}
		if env.datagrams == 0 || env.polls == 0 {
			t.Errorf("%d datagrams were sent, discovery was polled %d times", env.datagrams, env.polls)
		}
	})
}
