package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// keyedAttempt is an attempt for a request with a key. It waits for its connection.
type keyedAttempt struct {
	connectingAttempt
	request AttemptRequest
	key     uint64
	build   int
}

// succeed gives the router a successful outcome.
func (attempt *keyedAttempt) succeed() {
	attempt.request.Finished(protocol.Response{Outcome: decision.OutcomeSuccess, Value: []byte("value")})
}

// keyedFixture is a fixture whose deployment has sticky keys, with a canary build at one endpoint.
type keyedFixture struct {
	*fixture
	attempts []*keyedAttempt
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

// send sends a request with a key and returns its client and its attempt.
func (env *keyedFixture) send(key uint64) (*keyedClient, *keyedAttempt) {
	client := &keyedClient{testClient: testClient{env: env.fixture, deadline: env.now + 1500*ms}, env: env, key: key}
	sent := len(env.attempts)
	env.router.drivers.StartAttempt = func(request AttemptRequest) AttemptHandle {
		attempt := &keyedAttempt{request: request, key: key, build: 1}
		if request.Address == env.members[len(env.members)-1].address() {
			attempt.build = 2
		}
		env.attempts = append(env.attempts, attempt)
		return attempt
	}
	env.router.RequestArrived(protocol.Request{OpType: env.opTypes[0], ID: fmt.Sprint("k", sent), Key: key,
		Remaining: 1500 * ms, Encode: func(time.Duration) []byte { return nil }}, client)
	env.router.turn()
	env.now += 5 * ms
	if len(env.attempts) != sent+1 {
		env.t.Fatalf("got %d attempts for a request, want 1", len(env.attempts)-sent)
	}
	return client, env.attempts[sent]
}

// sendTo sends requests with a key until one goes to a build, and returns that one. Those before it are answered if
// answerOthers is set.
func (env *keyedFixture) sendTo(build int, key uint64, answerOthers bool) (*keyedClient, *keyedAttempt) {
	for range 200 {
		client, attempt := env.send(key)
		if attempt.build == build {
			return client, attempt
		}
		if answerOthers {
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
