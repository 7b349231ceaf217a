package decision

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"laurelring/decision/rollout"
)

// testGateway drives one balancer and checks its decisions by its own records of requests and attempts. It checks the
// main rules of Balancer.mayAttempt, and that a request that is not idempotent is rejected only if it cannot have
// executed.
type testGateway struct {
	balancer           *Balancer
	now                time.Duration
	endpoints          []*Endpoint
	opTypes            []*OpType
	inFlight           []*Attempt
	requests           []*Request
	lastDecision       Decision
	arrivals           []time.Duration
	canaryAttempts     map[int][]time.Duration
	warmUpAttempts     map[*Endpoint][]time.Duration
	violation          string
	draws              uint64
	seed               uint64
	drained            map[*Endpoint]bool
	exposureCap        float64 // the highest recent cap
	peerFinishedHalves uint32  // baseline FinishedHalves that each peer reports, from before this gateway's start
}

const (
	millisecond = time.Millisecond
	second      = time.Second

	testWindow       = 2 * second
	testAllowance    = 2.0
	testOverloadSpan = 1500 * millisecond
	testCapacity     = 60.0 // answers per second of a warm endpoint in these tests, to all gateways together
)

func newTestGateway(seed uint64, mode PromotionMode) *testGateway {
	return newFleetGateway(seed, mode, 0, 3, 1)
}

// newFleetGateway returns one gateway of a fleet of the given size, in which a promotion or a rollback takes a number
// of votes.
func newFleetGateway(seed uint64, mode PromotionMode, rank, peers, votes int) *testGateway {
	lb, err := New(Config{Seed: seed, Rank: rank, Gateways: peers, Tick: 5 * millisecond,
		OpTypes: []OpTypeConfig{
			{LatencyObjective: second, ClientTimeout: 3 * second, PriorityWeight: 1, LateValueShare: 0.2, Idempotency: Idempotent},
			{LatencyObjective: second, ClientTimeout: 2 * second, PriorityWeight: 2, Idempotency: IdempotentByKey,
				DedupScope: ScopeCell, DedupWindow: second},
			{LatencyObjective: second, ClientTimeout: 2 * second, PriorityWeight: 3, LateValueShare: 0.2, Idempotency: NonIdempotent},
		},
		Attempts:   AttemptConfig{Max: 3, MayCancel: true, MaxRetryAfter: 500 * millisecond},
		Costs:      CostConfig{Lag: 0.3, Harm: 8},
		DrainGrace: second,
		SlowStart:  SlowStartConfig{InitialCapacity: 0.4, WarmUp: 4 * second, OverloadMultiple: 4, OverloadSpan: testOverloadSpan},
		Exposure:   ExposureConfig{Window: testWindow, Allowance: testAllowance, StageCaps: []float64{0.1, 0.5, 1}},
		Rollout: RolloutConfig{Mode: mode, PromoteVotes: votes, RollbackVotes: votes,
			StageShares: []float64{0.1, 0.4, 1}, VoteTTL: 6 * second, AnswerTimeout: second, PeerMessages: true}})
	if err != nil {
		panic(err)
	}
	gateway := &testGateway{balancer: lb, now: 1000 * second, seed: seed, canaryAttempts: map[int][]time.Duration{},
		warmUpAttempts: map[*Endpoint][]time.Duration{}, drained: map[*Endpoint]bool{}}
	gateway.opTypes = lb.OpTypes()
	return gateway
}

// withEndpoints adds a number of endpoints of build 1, which is released, to a gateway.
func withEndpoints(gateway *testGateway, endpoints int) *testGateway {
	gateway.addEndpoints(endpoints, 0, 1)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 1, Stage: 2, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
	return gateway
}

func (gateway *testGateway) draw(n int) int {
	gateway.draws++
	h := fnv.New64a()
	fmt.Fprint(h, gateway.seed, gateway.draws)
	return int(h.Sum64() >> 30 % uint64(n))
}

// addEndpoints adds n new endpoints of a build to the endpoint list.
func (gateway *testGateway) addEndpoints(n int, startedAt time.Duration, build int) {
	for i := 0; i < n; i++ {
		endpoint := &Endpoint{}
		gateway.endpoints = append(gateway.endpoints, endpoint)
		gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: build, Cell: len(gateway.endpoints) % 2, Size: 2, StartedAt: startedAt}, gateway.now)
	}
	gateway.balancer.CommitEndpointList(false, gateway.now)
}

func (gateway *testGateway) send(op int, key uint64) *Request {
	request := gateway.balancer.Admit(Arrival{OpType: gateway.opTypes[op], Key: key, Remaining: gateway.opTypes[op].clientTimeout}, gateway.now)
	gateway.arrivals = append(gateway.arrivals, gateway.now)
	gateway.requests = append(gateway.requests, request)
	gateway.apply(request, gateway.balancer.Route(request, gateway.now))
	return request
}

// apply carries out a decision and checks the rules on it.
func (gateway *testGateway) apply(request *Request, d Decision) {
	gateway.lastDecision = d
	switch d.Action {
	case ActionForward:
		gateway.checkAttempt(request, d)
		gateway.inFlight = append(gateway.inFlight, d.Attempt)
	case ActionReject:
		for _, attempt := range request.attempts {
			if request.opType.idempotency != Idempotent && attempt.mayHaveExecuted {
				gateway.recordViolation("rejected a request that may have executed")
			}
		}
	}
}

func (gateway *testGateway) checkAttempt(request *Request, d Decision) {
	if gateway.drained[d.Endpoint] || !d.Endpoint.ready {
		gateway.recordViolation("attempt at a draining or removed endpoint")
	}
	if gateway.now >= request.deadline || request.completed {
		gateway.recordViolation("attempt for a completed or expired request")
	}
	for _, attempt := range request.attempts[:len(request.attempts)-1] {
		if !attempt.done {
			gateway.recordViolation("two attempts of a request in flight at the same time")
		}
		if attempt.mayHaveExecuted && (request.opType.idempotency == NonIdempotent ||
			request.opType.idempotency == IdempotentByKey && (attempt.cell != d.Endpoint.cell || gateway.now >= attempt.sentAt+request.opType.dedupWindow)) {
			gateway.recordViolation("request may take effect twice")
		}
	}
	if b := d.Endpoint.build; b > gateway.balancer.canary.build || b == gateway.balancer.canary.build && gateway.balancer.canary.phase != PhaseReleased {
		gateway.canaryAttempts[b] = append(gateway.canaryAttempts[b], gateway.now)
		sent, arrived := countAfter(gateway.canaryAttempts[b], gateway.now-testWindow), countAfter(gateway.arrivals, gateway.now-testWindow)
		if float64(sent) > testAllowance+gateway.exposureCap*float64(arrived) {
			gateway.recordViolation("exposure above the cap")
		}
	}
	if age := gateway.now - d.Endpoint.startedAt; d.Endpoint.startedAt > 0 && age < 4*second {
		gateway.warmUpAttempts[d.Endpoint] = append(gateway.warmUpAttempts[d.Endpoint], gateway.now)
		// The limit assumes three gateways like this one, each with a third of what eight endpoints of this capacity
		// can serve.
		capacity := 0.4 + 0.6*float64(age)/float64(4*second)
		if gateway.balancer.gateways == 3 && float64(3*countAfter(gateway.warmUpAttempts[d.Endpoint], gateway.now-testOverloadSpan)) > 4*capacity*testCapacity*1.5+3 {
			gateway.recordViolation("warming endpoint overloaded")
		}
	}
}

func countAfter(at []time.Duration, after time.Duration) int {
	from, _ := slices.BinarySearch(at, after+1)
	return len(at) - from
}

func (gateway *testGateway) recordViolation(description string) {
	if gateway.violation == "" {
		gateway.violation = fmt.Sprintf("%s, at %.3f s", description, float64(gateway.now-1000*second)/1e9)
	}
}

func (gateway *testGateway) finish(attempt *Attempt, outcome Outcome) {
	gateway.inFlight = slices.DeleteFunc(gateway.inFlight, func(o *Attempt) bool { return o == attempt })
	gateway.apply(attempt.request, gateway.balancer.FinishAttempt(attempt, AttemptResult{Outcome: outcome, Duration: gateway.now - attempt.sentAt, RequestCompleted: outcome == OutcomeSuccess}, gateway.now))
}

// answerAfter finishes successfully all attempts that have been in flight for at least a given time.
func (gateway *testGateway) answerAfter(after time.Duration) {
	for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
		if gateway.now-attempt.sentAt >= after {
			gateway.finish(attempt, OutcomeSuccess)
		}
	}
}

// run simulates a span of time with a request every 5 ms. Of the four newest endpoints, the first ones, in the number
// given by outliers, fail two thirds of their attempts.
func (gateway *testGateway) run(span time.Duration, outliers int) {
	failing := map[*Endpoint]bool{}
	for i := len(gateway.endpoints) - 4; i < len(gateway.endpoints)-4+outliers; i++ {
		failing[gateway.endpoints[i]] = true
	}
	for end := gateway.now + span; gateway.now < end; gateway.now += 5 * millisecond {
		if gateway.now/(5*millisecond)%100 == 0 {
			gateway.receivePeerReports()
		}
		gateway.send(0, 0)
		for _, endpoint := range gateway.endpoints {
			gateway.balancer.LoadReported(endpoint, endpoint.utilization, gateway.now)
		}
		for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
			if now := gateway.now; now-attempt.sentAt >= time.Duration(20+gateway.draw(60))*millisecond {
				if failing[attempt.endpoint] && gateway.draw(3) > 0 {
					gateway.finish(attempt, OutcomeError)
				} else {
					gateway.finish(attempt, OutcomeSuccess)
				}
			}
		}
		gateway.tick()
	}
}

// receivePeerReports delivers an almost empty evidence report of each peer.
func (gateway *testGateway) receivePeerReports() {
	for i := 1; i < gateway.balancer.gateways; i++ {
		table := rollout.NewTable(len(gateway.opTypes))
		table.At(rollout.Baseline, 0).FinishedHalves = gateway.peerFinishedHalves
		gateway.balancer.EvidenceReceived(&EvidenceReport{Sender: i, CountedAt: gateway.now, Build: max(gateway.balancer.rollout.build, 1), Counters: table.Encode()}, gateway.now)
	}
}

// tick calls Tick, routes the due requests, cancels about half of the attempts that are to be canceled, and returns the
// due work.
func (gateway *testGateway) tick() DueWork {
	_, due := gateway.balancer.Tick(gateway.now)
	for _, request := range due.Requests {
		gateway.apply(request, gateway.balancer.Route(request, gateway.now))
	}
	for _, attempt := range due.CancelAttempts {
		if gateway.draw(2) == 0 {
			gateway.finish(attempt, OutcomeCanceled)
		}
	}
	return due
}
