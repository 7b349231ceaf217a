package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// keyedAttempt is an attempt for a request with a key. It waits for its connection until it is sent.
type keyedAttempt struct {
	connectingAttempt
	request AttemptRequest
	key     uint64
	build   int
	sent    bool
}

func (attempt *keyedAttempt) Cancel() (reachedEndpoint, alreadyFinished bool) {
	return attempt.sent, false
}

// succeed gives the router a successful outcome.
func (attempt *keyedAttempt) succeed() {
	attempt.request.Finished(protocol.Response{Outcome: decision.OutcomeSuccess, Value: []byte("value")})
}

// keyedFixture is a fixture whose deployment has sticky keys, with a canary build at one endpoint.
type keyedFixture struct {
	*fixture
	attempts []*keyedAttempt
	requests int
}

func newKeyedFixture(t *testing.T) *keyedFixture {
	env := &keyedFixture{fixture: newFixtureWithSettings(t, 1, strings.Replace(settings, `"one_way":false`, `"one_way":true`, 1))}
	env.members = append(env.members, member{id: "s-8", phase: "up", build: 2})
	env.router.RolloutStatusReceived(decision.RolloutStatus{Build: 2, Stage: 2, Phase: decision.PhaseCanary, ExposureCap: 1})
	env.listMembers(true, env.members...)
	return env
}

// keyedClient records, when it gets its answer, how many attempts with its key may still go to the earlier build.
type keyedClient struct {
	testClient
	env             *keyedFixture
	key             uint64
	waitingAtAnswer int
}

func (client *keyedClient) Respond(value []byte) {
	client.testClient.Respond(value)
	for _, attempt := range client.env.attempts {
		if attempt.build == 1 && attempt.key == client.key && !attempt.withheld {
			client.waitingAtAnswer++
		}
	}
}

// send sends a request with a key and returns its client and its attempt, which is nil if the request is queued.
func (env *keyedFixture) send(key uint64) (*keyedClient, *keyedAttempt) {
	client := &keyedClient{testClient: testClient{env: env.fixture, deadline: env.now + 1500*ms}, env: env, key: key}
	var own *keyedAttempt
	env.router.drivers.StartAttempt = func(request AttemptRequest) AttemptHandle {
		encoded := request.Encode(0)
		attempt := &keyedAttempt{request: request, key: uint64(encoded[0]), build: 1}
		if request.Address == env.members[len(env.members)-1].address() {
			attempt.build = 2
		}
		if int(encoded[1]) == env.requests {
			own = attempt
		}
		env.attempts = append(env.attempts, attempt)
		return attempt
	}
	env.requests++
	number := byte(env.requests)
	env.router.RequestArrived(protocol.Request{OpType: env.opTypes[0], ID: fmt.Sprint("k", number), Key: key,
		Remaining: 1500 * ms, Encode: func(time.Duration) []byte { return []byte{byte(key), number} }}, client)
	env.router.turn()
	env.now += 5 * ms
	return client, own
}

// sendTo sends requests with a key until one goes to a build, and returns that one. Those before it are answered if
// answerOthers is set.
func (env *keyedFixture) sendTo(build int, key uint64, answerOthers bool) (*keyedClient, *keyedAttempt) {
	for range 200 {
		client, attempt := env.send(key)
		if attempt != nil && attempt.build == build {
			return client, attempt
		}
		if answerOthers && attempt != nil {
			attempt.succeed()
			env.router.turn()
		}
	}
	env.t.Fatalf("no request went to build %d", build)
	return nil, nil
}

// While attempts at the earlier build wait for their connections, the canary build answers another request with their
// key. Guards against requests that reach the earlier build after the client has the canary build's answer: the sticky
// keys were looked at only before the wait.
func TestWaitingAttemptIsWithheldOnceLaterBuildHasAnsweredItsKey(t *testing.T) {
	const noKey, key, otherKey = 0, 7, 8
	env := newKeyedFixture(t)
	_, last := env.sendTo(2, noKey, true)
	last.succeed()
	env.router.turn()
	_, waiting := env.sendTo(1, key, false)
	_, other := env.sendTo(1, otherKey, false)
	client, canary := env.sendTo(2, key, false)
	canary.succeed()
	env.router.turn()
	if client.answers != 1 || client.waitingAtAnswer > 0 {
		t.Errorf("got %d answers, and %d attempts at the earlier build could still be sent at that time, want 1 and 0",
			client.answers, client.waitingAtAnswer)
	}
	waiting.request.Connected()
	other.request.Connected()
	env.router.turn()
	if waiting.proceeded {
		t.Error("an attempt went to the earlier build after the canary build had answered its key")
	}
	if !other.proceeded {
		t.Error("an attempt with another key was not sent")
	}
}

// An attempt at the canary build ends without an answer. Unless the endpoint has certainly not answered, the key stays
// with the build. Guards against requests that reach the earlier build after the canary build has answered their key
// with what was lost on its way, was too late or could not be read.
func TestKeyStaysWithBuildThatMayHaveAnsweredIt(t *testing.T) {
	const noKey, key = 0, 7
	finish := func(response protocol.Response) func(*keyedFixture, *keyedAttempt) {
		return func(_ *keyedFixture, attempt *keyedAttempt) { attempt.request.Finished(response) }
	}
	for name, test := range map[string]struct {
		end   func(*keyedFixture, *keyedAttempt)
		bound bool
	}{
		"malformed answer":     {finish(protocol.Response{Outcome: decision.OutcomeError, Malformed: true}), true},
		"answer without value": {finish(protocol.Response{Outcome: decision.OutcomeSuccess}), true},
		"connection lost":      {finish(protocol.Response{Outcome: decision.OutcomeConnectionLost}), true},
		"no answer in time":    {func(env *keyedFixture, attempt *keyedAttempt) { env.now = attempt.request.Deadline }, true},
		"error":                {finish(protocol.Response{Outcome: decision.OutcomeError}), false},
		"rejected":             {finish(protocol.Response{Outcome: decision.OutcomeRejected}), false},
		"no connection":        {finish(protocol.Response{Outcome: decision.OutcomeConnectFailed}), false},
	} {
		t.Run(name, func(t *testing.T) {
			env := newKeyedFixture(t)
			_, attempt := env.sendTo(2, noKey, true)
			attempt.succeed()
			env.router.turn()
			_, attempt = env.sendTo(2, key, true)
			attempt.sent = true
			test.end(env, attempt)
			env.router.turn()
			bound := true
			for range 20 {
				if _, next := env.send(key); next != nil && next.build == 1 {
					bound = false
				}
			}
			if bound != test.bound {
				t.Errorf("got a key that stays with the build %t, want %t", bound, test.bound)
			}
		})
	}
}

// While an attempt at the canary build is in flight, no attempt with its key goes to the earlier build: the answer may
// be on its way. Guards against requests that reach the earlier build after the canary build has written its answer and
// before the gateway has read it.
func TestKeyOfAttemptInFlightGoesToNoEarlierBuild(t *testing.T) {
	const noKey, key, otherKey = 0, 7, 8
	env := newKeyedFixture(t)
	_, attempt := env.sendTo(2, noKey, true)
	attempt.succeed()
	env.router.turn()
	_, inFlight := env.sendTo(2, key, true)
	for range 20 {
		if _, next := env.send(key); next != nil && next.build == 1 {
			t.Fatal("an attempt went to the earlier build while one at the canary build was in flight")
		}
	}
	if _, next := env.sendTo(1, otherKey, true); next == nil {
		t.Error("a request with another key was not sent to the earlier build")
	}
	released := false
	for at := slices.Index(env.attempts, inFlight); at < len(env.attempts) && !released; at++ {
		attempt := env.attempts[at]
		released = attempt.key == key && attempt.build == 1
		attempt.request.Finished(protocol.Response{Outcome: decision.OutcomeRejected})
		for range 5 {
			env.router.turn()
			env.now += 5 * ms
		}
	}
	if !released {
		t.Error("no queued request with the key went to the earlier build after the attempts had ended without an answer")
	}
}
