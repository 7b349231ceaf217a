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
		for step := range 2500 {
			env.now += time.Duration(env.random.IntN(10)) * ms
			disconnecting := env.randomEvent()
			env.finishRandomAttempts()
			env.router.turn()
			if disconnecting != nil {
				disconnecting.disconnected = true
			}
			if env.checkDeadlines(); env.violation != "" {
				t.Fatalf("step %d: %s", step, env.violation)
			}
		}
		for range 800 { // time enough for all requests to complete and for their records to be removed
			env.now += 5 * ms
			env.router.turn()
		}
		requests := &env.router.requests
		if n := len(requests.byState) + len(requests.byID) + len(requests.byClient) + len(env.router.timers.heap); n > 0 {
			t.Errorf("got %d records of completed requests left, want 0", n)
		}
		if env.datagrams == 0 || env.polls == 0 {
			t.Errorf("got %d datagrams sent and %d polls of discovery, want both above 0", env.datagrams, env.polls)
		}
	})
}

// randomEvent simulates a random event, in most cases a request. It returns the client that disconnects, if the event
// is a disconnection.
func (env *fixture) randomEvent() (disconnecting *testClient) {
	switch env.random.IntN(60) {
	case 0:
		env.changeMember()
	case 1: // an endpoint of the newest build is listed
		added := member{id: fmt.Sprint("s-", len(env.members)), phase: "up", build: env.newestBuild, startedAt: env.now}
		env.members = append(env.members, added)
		env.listMembers(false, added)
	case 2:
		env.advanceRollout()
	case 3:
		for range env.random.IntN(30) {
			env.sendRequest(env.random.IntN(2))
		}
	case 4:
		env.router.DiscoveryFailed(nil)
		env.router.VoteAnswered(decision.Outcome(env.random.IntN(8)))
		env.router.DatagramReceived(env.random.IntN(5)-1, []byte{byte(env.random.IntN(3)), 9, 9})
	case 5:
		if n := len(env.clients); n > 0 {
			disconnecting = env.clients[env.random.IntN(n)]
			env.router.ClientDisconnected(disconnecting)
		}
	default:
		env.sendRequest(env.random.IntN(2))
	}
	return disconnecting
}

// changeMember drains, removes or restarts a random endpoint.
func (env *fixture) changeMember() {
	changed := &env.members[env.random.IntN(len(env.members))]
	changed.phase = []string{"up", "up", "draining", "removed"}[env.random.IntN(4)]
	switch {
	case changed.phase != "up" && changed.downSince == 0:
		changed.downSince = env.now
	case changed.phase == "up" && changed.downSince > 0:
		changed.downSince, changed.startedAt = 0, env.now
		if env.random.IntN(2) == 0 {
			changed.build = env.newestBuild // the endpoint returns with the same id and address and another build
		}
	}
	env.listMembers(false, *changed)
}

// advanceRollout moves the newest build to its next stage, or starts the rollout of the next build after the last
// stage.
func (env *fixture) advanceRollout() {
	if env.stage == 2 {
		env.newestBuild, env.stage, env.exposureCap, env.canaryAttempts = env.newestBuild+1, 0, 0.1, nil
	} else {
		env.stage++
		env.exposureCap = []float64{0.1, 0.5, 1}[env.stage]
	}
	env.router.RolloutStatusReceived(decision.RolloutStatus{Build: env.newestBuild, Stage: env.stage,
		Phase: decision.PhaseCanary, ExposureCap: env.exposureCap})
}

// finishRandomAttempts finishes one attempt in 25 with a random outcome.
func (env *fixture) finishRandomAttempts() {
	outcomes := []decision.Outcome{
		decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess,
		decision.OutcomeError, decision.OutcomeRejected, decision.OutcomeConnectFailed,
		decision.OutcomeConnectionLost, decision.OutcomeNotSent,
	}
	for _, fake := range slices.Clone(env.attempts) {
		if env.random.IntN(25) == 0 {
			env.finishAttempt(fake, outcomes[env.random.IntN(len(outcomes))])
		}
	}
}

// checkDeadlines checks that no client waits beyond its deadline, and removes finished attempts and answered or
// disconnected clients from the records.
func (env *fixture) checkDeadlines() {
	env.attempts = slices.DeleteFunc(env.attempts, func(fake *fakeAttempt) bool {
		return fake.finished || fake.finishing
	})
	env.unanswered = slices.DeleteFunc(env.unanswered, func(client *testClient) bool {
		return client.answers > 0 || client.disconnected
	})
	for _, client := range env.unanswered {
		if env.now > client.deadline+20*ms {
			env.violate("request without a final answer in time")
		}
	}
}
