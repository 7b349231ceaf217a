package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

const (
	ms                = time.Duration(time.Millisecond)
	exposureWindow    = 4000 * ms // window over which exposure is counted
	exposureAllowance = 3
	drainGrace        = 1000 * ms
	settings          = `{"rank":0,"balancers":3,"locality":0,"period_ms":5,"areas":["a","b"],"host_types":["m"],"lanes":[
{"name":"look","aim_ms":500,"give_up_ms":2000,"gain":1,"repeat":"repeatable"},
{"name":"book","aim_ms":500,"give_up_ms":1500,"gain":3,"repeat":"once"}],"orgs":[],
"limits":{"max_attempts":5,"may_cancel":true,"retry_after":true,"max_retry_after_ms":500,"peer_messages":true},
"prices":{"cross_zone":0.04},"invariants":{"cold_from":0.31,"cold_ms":4400,"fall_multiple":2,"fall_ms":3000},
"registry_mode":"ask","family_info":{"window_ms":4000,"allowance":3,"per":"all","closed_stages":0,
"one_way":false,"exposure_caps":[0.1,0.5,1],"decided_by":"share","ayes_needed":2,"votes_to_revert":1,
"steps":[0.1,0.5,1],"lag_fee":0.3,"damage_price":8,"vote_ttl_ms":6000,"api_timeout_ms":2000},
"feedback":{"how":"inline","fields":["utilization"]}}`
)

// fixture simulates everything with which a router interacts, and checks the rules on its own records.
type fixture struct {
	t              *testing.T
	router         *Router
	random         *rand.Rand
	now            monotonic.Time
	opTypes        []*decision.OpType
	members        []member
	clients        []*testClient
	unanswered     []*testClient // clients without an answer
	attempts       []*fakeAttempt
	arrivals       []monotonic.Time
	canaryAttempts []monotonic.Time
	newestBuild    int
	stage          int // of the newest build
	exposureCap    float64
	violation      string
	datagrams      int
	polls          int
}

type member struct {
	id, phase string
	build     int
	startedAt time.Duration
	downSince time.Duration // time at which the member was listed as draining or removed; 0 while it is up
}

func (m member) address() string { return "127.0.0.1:1" + m.id[2:] }

// testClient is the client of one request.
type testClient struct {
	env              *fixture
	nonIdempotent    bool
	deadline         monotonic.Time
	answers          int
	disconnected     bool
	mayHaveExecuted  bool
	attemptsInFlight int
}

func (client *testClient) answer() {
	if client.answers++; client.answers > 1 {
		client.env.violate("request answered twice")
	}
	if client.env.now > client.deadline+20*ms {
		client.env.violate("request answered after its deadline")
	}
}

func (client *testClient) Respond([]byte) { client.answer() }

func (client *testClient) Fail() { client.answer() }

func (client *testClient) Reject(time.Duration) {
	if client.answer(); client.nonIdempotent && client.mayHaveExecuted {
		client.env.violate("rejected a request that may have executed")
	}
}

// fakeAttempt is an attempt in flight.
type fakeAttempt struct {
	client          *testClient
	reachedEndpoint bool
	finishing       bool // the outcome has been posted
	finished        bool
	onFinished      func(protocol.Response)
}

func (fake *fakeAttempt) Cancel() (reached, ended bool) {
	if fake.finished = true; !fake.finishing {
		fake.client.attemptsInFlight--
		fake.client.mayHaveExecuted = fake.client.mayHaveExecuted || fake.reachedEndpoint
	}
	return fake.reachedEndpoint, fake.finishing
}

func (fake *fakeAttempt) Proceed(monotonic.Time) {}

func (fake *fakeAttempt) ConnectedAt() monotonic.Time { return fake.client.env.now - time.Hour }

func (fake *fakeAttempt) Withhold() bool {
	if fake.finishing || fake.finished || fake.reachedEndpoint {
		return false
	}
	fake.Cancel()
	return true
}

// violate records a violation of a rule. Only the first one is kept.
func (env *fixture) violate(description string) {
	if env.violation == "" {
		env.violation = description
	}
}

func newFixture(t *testing.T, seed uint64) *fixture { return newFixtureWithSettings(t, seed, settings) }

func newFixtureWithSettings(t *testing.T, seed uint64, settings string) *fixture {
	parsed, err := protocol.ParseSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	balancer, err := decision.New(parsed.BalancerConfig(seed))
	if err != nil {
		t.Fatal(err)
	}
	ops := balancer.OpTypes()
	env := &fixture{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000 * ms, opTypes: ops, newestBuild: 1, stage: 2,
		exposureCap: 1}
	routerConfig := Config{Balancer: balancer, UtilizationField: parsed.UtilizationField, Clock: func() time.Duration { return env.now },
		Drivers: Drivers{StartAttempt: env.startAttempt, CloseIdleConnections: func(string) {},
			SendDatagram: func(int, []byte, monotonic.Time) { env.datagrams++ }, CastVote: func(decision.Vote, monotonic.Time) {}, PollDiscovery: func() { env.polls++ }}}
	if env.router, err = New(routerConfig); err != nil {
		t.Fatal(err)
	}
	for i := range 8 {
		env.members = append(env.members, member{id: fmt.Sprint("s-", i), phase: "up", build: 1})
	}
	env.router.RolloutStatusReceived(decision.RolloutStatus{Build: 1, Stage: 2, Phase: decision.PhaseReleased, ExposureCap: 1})
	env.listMembers(true, env.members...)
	return env
}

// listMembers gives the router an endpoint list with the given members.
func (env *fixture) listMembers(complete bool, members ...member) {
	var all []string
	for _, m := range members {
		all = append(all, encodeMember(m))
	}
	text := fmt.Sprintf(`{"revision":1,"complete":%t,"members":[%s]}`, complete, strings.Join(all, ","))
	if err := env.receiveList(text, false); err != nil {
		env.t.Fatal(err)
	}
}

// encodeMember returns the JSON entry of a member as discovery lists it.
func encodeMember(m member) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m","cell":0,"phase":%q,`+
		`"size":4,"up_since_ms":%d,"build":%d}`, m.id, m.address(), m.phase, m.startedAt/ms, m.build)
}

// receiveList gives the router an endpoint list. EndpointListReceived waits for the router, so it is called on another
// goroutine.
func (env *fixture) receiveList(text string, full bool) error {
	done := make(chan error)
	go func() {
		list, err := protocol.ParseEndpointList([]byte(text), []string{"a", "b"}, []string{"m"})
		if err == nil {
			err = env.router.EndpointListReceived(EndpointListUpdate{List: list, Full: full})
		}
		done <- err
	}()
	for {
		env.router.turn()
		select {
		case err := <-done:
			return err
		default:
		}
	}
}

func (env *fixture) startAttempt(attempt AttemptRequest) AttemptHandle {
	number := attempt.Encode(0)
	client := env.clients[int(number[0])<<8|int(number[1])]
	fake := &fakeAttempt{client: client, reachedEndpoint: env.random.IntN(10) > 0, onFinished: attempt.Finished}
	i := slices.IndexFunc(env.members, func(m member) bool { return m.address() == attempt.Address })
	m := env.members[i]
	switch {
	case m.downSince > 0 && env.now > m.downSince+drainGrace:
		env.violate("attempt sent to a draining or removed endpoint")
	case client.attemptsInFlight > 0:
		env.violate("two attempts of a request in flight at the same time")
	case client.nonIdempotent && client.mayHaveExecuted:
		env.violate("non-idempotent request may execute twice")
	case client.answers > 0 || client.disconnected || env.now >= client.deadline:
		env.violate("attempt sent for a completed, disconnected or expired request")
	}
	if m.build == env.newestBuild && env.newestBuild > 1 {
		env.canaryAttempts = append(withinWindow(env.canaryAttempts, env.now), env.now)
		if env.arrivals = withinWindow(env.arrivals, env.now); float64(len(env.canaryAttempts)) > exposureAllowance+env.exposureCap*float64(len(env.arrivals))+2 {
			env.violate("exposure above the cap")
		}
	}
	client.attemptsInFlight++
	env.attempts = append(env.attempts, fake)
	return fake
}

// withinWindow returns the given times without those before the exposure window.
func withinWindow(all []monotonic.Time, now monotonic.Time) []monotonic.Time {
	return slices.DeleteFunc(all, func(at monotonic.Time) bool { return at <= now-exposureWindow })
}

func (env *fixture) sendRequest(op int) *testClient {
	client := &testClient{env: env, nonIdempotent: op == 1, deadline: env.now + time.Duration(100+env.random.IntN(1400))*ms}
	n := len(env.clients)
	env.clients, env.unanswered = append(env.clients, client), append(env.unanswered, client)
	env.arrivals = append(env.arrivals, env.now)
	env.router.RequestArrived(protocol.Request{OpType: env.opTypes[op], ID: fmt.Sprint(n), Remaining: client.deadline - env.now,
		Encode: func(time.Duration) []byte { return []byte{byte(n >> 8), byte(n)} }}, client)
	return client
}

// finishAttempt gives the router the outcome of an attempt.
func (env *fixture) finishAttempt(fake *fakeAttempt, outcome decision.Outcome) {
	if fake.finished || fake.finishing {
		return
	}
	fake.finishing = true
	fake.client.attemptsInFlight--
	fake.client.mayHaveExecuted = fake.client.mayHaveExecuted || outcome == decision.OutcomeError || outcome == decision.OutcomeConnectionLost || outcome == decision.OutcomeSuccess
	var value []byte
	if outcome == decision.OutcomeSuccess {
		value = []byte("value")
	}
	fake.onFinished(protocol.Response{Outcome: outcome, Value: value, LoadReport: []byte("utilization=0.4")})
}
