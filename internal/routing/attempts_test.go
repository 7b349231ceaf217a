package routing

import (
	"fmt"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// An outcome that is still on its way when the attempt's timer expires counts, and a response without a value is no
// success.
func TestLateOutcomeCountsAndEmptyResponseFails(t *testing.T) {
	env := newFixture(t, 1)
	client := env.sendRequest(1)
	env.router.turn()
	fake := env.attempts[0]
	fake.finishing = true
	env.now = client.deadline + ms
	env.router.turn()
	if client.answers != 0 {
		t.Fatal("the client was answered before the outcome arrived")
	}
	fake.onFinished(protocol.Response{Outcome: decision.OutcomeSuccess, Value: []byte("value")})
	env.router.turn()
	empty := env.sendRequest(1)
	env.router.turn()
	fake = env.attempts[len(env.attempts)-1]
	fake.client.attemptsInFlight--
	fake.onFinished(protocol.Response{Outcome: decision.OutcomeSuccess})
	env.router.turn()
	if client.answers != 1 || empty.answers != 1 || env.violation != "" {
		t.Errorf("got %d and %d answers, want 1 and 1; violation: %s", client.answers, empty.answers, env.violation)
	}
}

// The time that a request waits in the event queue counts against its deadline. The attempt gets the remaining time.
func TestTimeInEventQueueCountsAgainstDeadline(t *testing.T) {
	env := newFixture(t, 1)
	got := time.Duration(0)
	env.router.drivers.StartAttempt = func(attempt AttemptRequest) AttemptHandle {
		got = attempt.Deadline - env.now
		return &fakeAttempt{client: &testClient{env: env}}
	}
	env.router.RequestArrived(protocol.Request{OpType: env.opTypes[0], ID: "a", Remaining: 1500 * ms,
		Encode: func(time.Duration) []byte { return nil }}, &testClient{env: env, deadline: env.now + 1500*ms})
	env.now += 400 * ms // the process stalls
	env.router.turn()
	if got != 1100*time.Millisecond {
		t.Errorf("remaining time of 1.5 s after 0.4 s in the event queue: got %v, want 1.1s", got)
	}
}

// connectingAttempt is an attempt that waits for its connection.
type connectingAttempt struct{ withheld, proceeded bool }

func (c *connectingAttempt) Cancel() (bool, bool) { return false, false }

func (c *connectingAttempt) Proceed(monotonic.Time) { c.proceeded = true }

func (c *connectingAttempt) ConnectedAt() monotonic.Time { return 0 }

func (c *connectingAttempt) Withhold() bool { c.withheld = true; return true }

// While attempts wait for their connections, the disconnection of a client withholds its own attempt, the drain of an
// endpoint withholds the attempts at it and sends the requests elsewhere, and an exposure cap of 0 withholds the
// attempts at the canary build.
func TestWithholdsAttemptsNoLongerAllowed(t *testing.T) {
	type startedAttempt struct {
		address string
		attempt *connectingAttempt
	}
	for name, event := range map[string]func(env *fixture, first *testClient, at string){
		"client disconnects": func(env *fixture, first *testClient, _ string) { env.router.ClientDisconnected(first) },
		"endpoint drains": func(env *fixture, _ *testClient, at string) {
			for i := range env.members {
				if env.members[i].address() == at {
					env.members[i].phase = "draining"
				}
			}
			env.listMembers(true, env.members...)
		},
		"canary is rolled back": func(env *fixture, _ *testClient, _ string) {
			env.router.RolloutStatusReceived(decision.RolloutStatus{Build: 2, Stage: 0, Phase: decision.PhaseRollingBack, ExposureCap: 0})
		},
	} {
		env := newFixture(t, 3)
		if name == "canary is rolled back" { // all endpoints run the canary build
			for i := range env.members {
				env.members[i].build = 2
			}
			env.router.RolloutStatusReceived(decision.RolloutStatus{Build: 2, Stage: 0, Phase: decision.PhaseCanary, ExposureCap: 1})
			env.listMembers(true, env.members...)
		}
		var started []startedAttempt
		var first *testClient
		for i := 0; len(started) < 2 && i < 200; i++ { // repeated because a canary endpoint accepts no bursts
			client := &testClient{env: env, deadline: env.now + 1500*ms}
			env.router.drivers.StartAttempt = func(attempt AttemptRequest) AttemptHandle {
				if attempt.Encode(0); first == nil {
					first = env.clients[0]
				}
				started = append(started, startedAttempt{attempt.Address, &connectingAttempt{}})
				return started[len(started)-1].attempt
			}
			env.router.RequestArrived(protocol.Request{OpType: env.opTypes[1], ID: fmt.Sprint("w", i), Remaining: 1500 * ms,
				Encode: func(time.Duration) []byte { env.clients = []*testClient{client}; return nil }}, client)
			env.router.turn()
			env.now += 20 * ms
		}
		if len(started) != 2 {
			t.Fatalf("%s: got %d attempts, want 2", name, len(started))
		}
		event(env, first, started[0].address)
		env.router.turn()
		if !started[0].attempt.withheld || started[1].attempt.withheld != (name == "canary is rolled back" || name == "endpoint drains" && started[1].address == started[0].address) {
			t.Errorf("%s: wrong attempts were withheld: first %t, second %t", name, started[0].attempt.withheld, started[1].attempt.withheld)
		}
		if elsewhere := len(started) > 2; elsewhere != (name == "endpoint drains") || elsewhere && started[2].address == started[0].address {
			t.Errorf("%s: wrong attempts were started: %v", name, started)
		}
	}
}
