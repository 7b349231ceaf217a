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
	ms       = time.Duration(time.Millisecond)
	span     = 4000 * ms // over which exposure is counted
	free     = 3
	grace    = 1000 * ms
	settings = `{"rank":0,"balancers":3,"locality":0,"period_ms":5,"areas":["a","b"],"host_types":["m"],"lanes":[
{"name":"look","aim_ms":500,"give_up_ms":2000,"gain":1,"repeat":"repeatable"},
{"name":"book","aim_ms":500,"give_up_ms":1500,"gain":3,"repeat":"once"}],"orgs":[],
"limits":{"max_attempts":5,"may_cancel":true,"retry_after":true,"max_retry_after_ms":500,"peer_messages":true},
"prices":{"cross_zone":0.04},"invariants":{"cold_from":0.31,"cold_ms":4400,"fall_multiple":2,"fall_ms":3000},
"registry_mode":"ask","family_info":{"window_ms":4000,"allowance":3,"per":"all","closed_stages":0,
"one_way":false,"exposure_caps":[0.1,0.5,1],"decided_by":"share","ayes_needed":2,"votes_to_revert":1,
"steps":[0.1,0.5,1],"lag_fee":0.3,"damage_price":8,"vote_ttl_ms":6000,"api_timeout_ms":2000},
"feedback":{"how":"inline","fields":["utilization"]}}`
)

// outside stands in for all that the router reaches, and keeps the rules' own books.
type fixture struct {
	t              *testing.T
	r              *Router
	dice           *rand.Rand
	now            monotonic.Time
	ops            []*decision.OpType
	members        []member
	clients        []*testClient
	unanswered     []*testClient // those without an answer
	attempts       []*fakeAttempt
	arrivals       []monotonic.Time
	canaryAttempts []monotonic.Time
	build          int // the newest
	cap            float64
	violated       string
	datagrams      int
	polls          int
}

type member struct {
	id, phase string
	build     int
	started   time.Duration
	left      time.Duration // when it was told to drain or go
}

func (m member) at() string { return "127.0.0.1:1" + m.id[2:] }

// client is one command's own record.
type testClient struct {
	w       *fixture
	unsafe  bool
	until   monotonic.Time
	answers int
	gone    bool
	mayRun  bool
	out     int
}

func (c *testClient) answer() {
	if c.answers++; c.answers > 1 {
		c.w.violation("a second final answer")
	}
	if c.w.now > c.until+20*ms {
		c.w.violation("an answer after the client's time")
	}
}

func (c *testClient) Respond([]byte) { c.answer() }

func (c *testClient) Fail() { c.answer() }

func (c *testClient) Reject(time.Duration) {
	if c.answer(); c.unsafe && c.mayRun {
		c.w.violation("nacked what may have run")
	}
}

// sent is a delivery that stands out.
type fakeAttempt struct {
	c        *testClient
	reached  bool
	ended    bool // its outcome is on its way
	over     bool
	finished func(protocol.Response)
}

func (s *fakeAttempt) Cancel() (reached, ended bool) {
	if s.over = true; !s.ended {
		s.c.out--
		s.c.mayRun = s.c.mayRun || s.reached
	}
	return s.reached, s.ended
}

func (s *fakeAttempt) ConnectionAge() time.Duration { return time.Hour }

func (s *fakeAttempt) Withhold() bool {
	if s.ended || s.over || s.reached {
		return false
	}
	s.Cancel()
	return true
}

func (w *fixture) violation(why string) {
	if w.violated == "" {
		w.violated = why
	}
}

func newFixture(t *testing.T, seed uint64) *fixture {
	parsed, err := protocol.ParseSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	g, err := decision.New(parsed.BalancerConfig(seed))
	if err != nil {
		t.Fatal(err)
	}
	ops := g.OpTypes()
	w := &fixture{t: t, dice: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000 * ms, ops: ops, build: 1, cap: 1}
	routerConfig := Config{Balancer: g, UtilizationField: parsed.UtilizationField, Clock: func() time.Duration { return w.now },
		Drivers: Drivers{StartAttempt: w.startAttempt, CloseIdleConnections: func(string) {},
			SendDatagram: func(int, []byte) { w.datagrams++ }, CastVote: func(decision.Vote) {}, PollDiscovery: func() { w.polls++ }}}
	if w.r, err = New(routerConfig); err != nil {
		t.Fatal(err)
	}
	for i := range 8 {
		w.members = append(w.members, member{id: fmt.Sprint("s-", i), phase: "up", build: 1})
	}
	w.r.RolloutStatusReceived(decision.RolloutStatus{Build: 1, Stage: 2, Phase: decision.PhaseReleased, ExposureCap: 1})
	w.listMembers(true, w.members...)
	return w
}

// list tells members as discovery would.
func (w *fixture) listMembers(whole bool, members ...member) {
	var all []string
	for _, m := range members {
		all = append(all, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m","cell":0,"phase":%q,`+
			`"size":4,"up_since_ms":%d,"build":%d}`, m.id, m.at(), m.phase, m.started/ms, m.build))
	}
	text := fmt.Sprintf(`{"revision":1,"complete":%t,"members":[%s]}`, whole, strings.Join(all, ","))
	if err := w.receiveList(text, false); err != nil {
		w.t.Fatal(err)
	}
}

// tell tells an answer of discovery; Listed waits for the router, so it is called beside it.
func (w *fixture) receiveList(text string, anew bool) error {
	done := make(chan error)
	go func() {
		list, err := protocol.ParseEndpointList([]byte(text), []string{"a", "b"}, []string{"m"})
		if err == nil {
			err = w.r.EndpointListReceived(EndpointListUpdate{List: list, Full: anew})
		}
		done <- err
	}()
	for {
		w.r.turn()
		select {
		case err := <-done:
			return err
		default:
		}
	}
}

func (w *fixture) startAttempt(attempt AttemptRequest) AttemptHandle {
	number := attempt.Encode(0)
	c := w.clients[int(number[0])<<8|int(number[1])]
	s := &fakeAttempt{c: c, reached: w.dice.IntN(10) > 0, finished: attempt.Finished}
	i := slices.IndexFunc(w.members, func(m member) bool { return m.at() == attempt.Address })
	m := w.members[i]
	switch {
	case m.left > 0 && w.now > m.left+grace:
		w.violation("sent to a machine that drains or is gone")
	case c.out > 0:
		w.violation("two deliveries out at once")
	case c.unsafe && c.mayRun:
		w.violation("an effect may happen twice")
	case c.answers > 0 || c.gone || w.now >= c.until:
		w.violation("sent for a command that is over")
	}
	if m.build == w.build && w.build > 1 {
		w.canaryAttempts = append(lately(w.canaryAttempts, w.now), w.now)
		if w.arrivals = lately(w.arrivals, w.now); float64(len(w.canaryAttempts)) > free+w.cap*float64(len(w.arrivals))+2 {
			w.violation("exposure beyond the cap")
		}
	}
	c.out++
	w.attempts = append(w.attempts, s)
	return s
}

// lately keeps the moments within the span of exposure.
func lately(all []monotonic.Time, now monotonic.Time) []monotonic.Time {
	return slices.DeleteFunc(all, func(at monotonic.Time) bool { return at <= now-span })
}

func (w *fixture) sendRequest(op int) *testClient {
	c := &testClient{w: w, unsafe: op == 1, until: w.now + time.Duration(100+w.dice.IntN(1400))*ms}
	n := len(w.clients)
	w.clients, w.unanswered = append(w.clients, c), append(w.unanswered, c)
	w.arrivals = append(w.arrivals, w.now)
	w.r.RequestArrived(protocol.Request{OpType: w.ops[op], ID: fmt.Sprint(n), Remaining: c.until - w.now,
		Encode: func(time.Duration) []byte { return []byte{byte(n >> 8), byte(n)} }}, c)
	return c
}

// end tells how a delivery ended.
func (w *fixture) finishAttempt(s *fakeAttempt, how decision.Outcome) {
	if s.over || s.ended {
		return
	}
	s.ended = true
	s.c.out--
	s.c.mayRun = s.c.mayRun || how == decision.OutcomeError || how == decision.OutcomeConnectionLost || how == decision.OutcomeSuccess
	var value []byte
	if how == decision.OutcomeSuccess {
		value = []byte("value")
	}
	s.finished(protocol.Response{Outcome: how, Value: value, LoadReport: []byte("utilization=0.4")})
}
