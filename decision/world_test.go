package decision

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"laurelring/decision/rollout"
)

// world drives one gateway and keeps the rules' own books beside it, from what is asked and answered alone.
type world struct {
	g         *Balancer
	now       time.Duration
	instances []*Endpoint
	ops       []*OpType
	out       []*Attempt
	cmds      []*Request
	last      Decision
	taken     []time.Duration
	trial     map[int][]time.Duration
	cold      map[*Endpoint][]time.Duration
	broken    string
	counter   uint64
	seed      uint64
	drained   map[*Endpoint]bool
	most      float64 // the highest cap told lately
	told      uint32  // half deliveries at earlier builds that each peer tells of, from before this gateway's start
}

const (
	ms = time.Millisecond
	s  = time.Second

	testWindow = 2 * s
	testFree   = 2.0
	testSpan   = 1500 * ms
	capacity   = 60.0 // what a warm machine answers in a second in these runs, over all gateways
)

func newWorld(seed uint64, control PromotionMode) *world { return newMember(seed, control, 0, 3, 1) }

// newMember is one gateway of a fleet, where so many votes are required.
func newMember(seed uint64, control PromotionMode, rank, peers, votes int) *world {
	g, err := New(Config{Seed: seed, Rank: rank, Gateways: peers, Tick: 5 * ms,
		OpTypes: []OpTypeConfig{
			{LatencyObjective: s, ClientTimeout: 3 * s, PriorityWeight: 1, LateValueShare: 0.2, Idempotency: Idempotent},
			{LatencyObjective: s, ClientTimeout: 2 * s, PriorityWeight: 2, Idempotency: IdempotentByKey,
				DedupScope: ScopeCell, DedupWindow: s},
			{LatencyObjective: s, ClientTimeout: 2 * s, PriorityWeight: 3, LateValueShare: 0.2, Idempotency: NonIdempotent},
		},
		Attempts:  AttemptConfig{Max: 3, MayCancel: true, MaxRetryAfter: 500 * ms},
		Costs:     CostConfig{Lag: 0.3, Harm: 8},
		SlowStart: SlowStartConfig{InitialCapacity: 0.4, WarmUp: 4 * s, OverloadMultiple: 4, OverloadSpan: testSpan},
		Exposure:  ExposureConfig{Window: testWindow, Allowance: testFree, StageCaps: []float64{0.1, 0.5, 1}},
		Rollout: RolloutConfig{Mode: control, PromoteVotes: votes, RollbackVotes: votes,
			StageShares: []float64{0.1, 0.4, 1}, VoteTTL: 6 * s, AnswerTimeout: s, PeerMessages: true}})
	if err != nil {
		panic(err)
	}
	w := &world{g: g, now: 1000 * s, seed: seed, trial: map[int][]time.Duration{},
		cold: map[*Endpoint][]time.Duration{}, drained: map[*Endpoint]bool{}}
	w.ops = g.OpTypes()
	return w
}

// started has machines of a released build.
func started(w *world, machines int) *world {
	w.list(machines, 0, 1)
	w.g.RolloutChanged(RolloutStatus{Build: 1, Stage: 2, Phase: PhaseReleased, ExposureCap: 1}, w.now)
	return w
}

func (w *world) draw(n int) int {
	w.counter++
	h := fnv.New64a()
	fmt.Fprint(h, w.seed, w.counter)
	return int(h.Sum64() >> 30 % uint64(n))
}

// list adds machines of a build.
func (w *world) list(n int, startedAt time.Duration, build int) {
	for i := 0; i < n; i++ {
		endpoint := &Endpoint{}
		w.instances = append(w.instances, endpoint)
		w.g.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: build, Cell: len(w.instances) % 2, Size: 2, StartedAt: startedAt}, w.now)
	}
	w.g.CommitEndpointList(false, w.now)
}

func (w *world) take(op int, key uint64) *Request {
	request := w.g.Admit(Arrival{OpType: w.ops[op], Key: key, Remaining: w.ops[op].clientTimeout}, w.now)
	w.taken = append(w.taken, w.now)
	w.cmds = append(w.cmds, request)
	w.obey(request, w.g.Route(request, w.now))
	return request
}

// obey carries a decision out and checks the five rules on it.
func (w *world) obey(request *Request, d Decision) {
	w.last = d
	switch d.Action {
	case ActionForward:
		w.checkSend(request, d)
		w.out = append(w.out, d.Attempt)
	case ActionReject:
		for _, attempt := range request.attempts {
			if request.opType.idempotency != Idempotent && attempt.mayHaveExecuted {
				w.fault("nacked a command that may have run")
			}
		}
	}
}

func (w *world) checkSend(request *Request, d Decision) {
	if w.drained[d.Endpoint] || !d.Endpoint.ready {
		w.fault("sent to a machine that drains or is gone")
	}
	if w.now >= request.deadline || request.completed {
		w.fault("sent for a command that is over")
	}
	for _, attempt := range request.attempts[:len(request.attempts)-1] {
		if !attempt.done {
			w.fault("two deliveries out at once")
		}
		if attempt.mayHaveExecuted && (request.opType.idempotency == NonIdempotent ||
			request.opType.idempotency == IdempotentByKey && (attempt.cell != d.Endpoint.cell || w.now >= attempt.sentAt+request.opType.dedupWindow)) {
			w.fault("an effect may happen twice")
		}
	}
	if b := d.Endpoint.build; b > w.g.canary.build || b == w.g.canary.build && w.g.canary.phase != PhaseReleased {
		w.trial[b] = append(w.trial[b], w.now)
		sent, taken := since(w.trial[b], w.now-testWindow), since(w.taken, w.now-testWindow)
		if float64(sent) > testFree+w.most*float64(taken) {
			w.fault("exposure beyond the cap")
		}
	}
	if age := w.now - d.Endpoint.startedAt; d.Endpoint.startedAt > 0 && age < 4*s {
		w.cold[d.Endpoint] = append(w.cold[d.Endpoint], w.now)
		// Three gateways like this one, each with a third of what eight machines of this power can do.
		able := 0.4 + 0.6*float64(age)/float64(4*s)
		if w.g.gateways == 3 && float64(3*since(w.cold[d.Endpoint], w.now-testSpan)) > 4*able*capacity*1.5+3 {
			w.fault("a cold machine pushed over")
		}
	}
}

func since(at []time.Duration, after time.Duration) int {
	from, _ := slices.BinarySearch(at, after+1)
	return len(at) - from
}

func (w *world) fault(what string) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("%s, at %.3f s", what, float64(w.now-1000*s)/1e9)
	}
}

func (w *world) end(attempt *Attempt, outcome Outcome) {
	w.out = slices.DeleteFunc(w.out, func(o *Attempt) bool { return o == attempt })
	w.obey(attempt.Request, w.g.FinishAttempt(attempt, AttemptResult{Outcome: outcome, Duration: w.now - attempt.sentAt, Settled: outcome == OutcomeSuccess}, w.now))
}

// finish acks what has been out for so long.
func (w *world) finish(after time.Duration) {
	for _, attempt := range append([]*Attempt(nil), w.out...) {
		if w.now-attempt.sentAt >= after {
			w.end(attempt, OutcomeSuccess)
		}
	}
}

// run passes time with commands; the first ill machines of the newest build fail a third of them.
func (w *world) run(span time.Duration, ill int) {
	sick := map[*Endpoint]bool{}
	for i := len(w.instances) - 4; i < len(w.instances)-4+ill; i++ {
		sick[w.instances[i]] = true
	}
	for end := w.now + span; w.now < end; w.now += 5 * ms {
		if w.now/(5*ms)%100 == 0 {
			w.hearPeers()
		}
		w.take(0, 0)
		for _, endpoint := range w.instances {
			w.g.LoadReported(endpoint, endpoint.utilization, w.now)
		}
		for _, attempt := range append([]*Attempt(nil), w.out...) {
			if now := w.now; now-attempt.sentAt >= time.Duration(20+w.draw(60))*ms {
				if sick[attempt.Endpoint] && w.draw(3) > 0 {
					w.end(attempt, OutcomeError)
				} else {
					w.end(attempt, OutcomeSuccess)
				}
			}
		}
		w.wait()
	}
}

// hearPeers brings in empty totals of all peers.
func (w *world) hearPeers() {
	for i := 1; i < w.g.gateways; i++ {
		table := rollout.NewTable(len(w.ops))
		table.At(rollout.Baseline, 0).FinishedHalves = w.told
		w.g.EvidenceReceived(&EvidenceReport{Sender: i, CountedAt: w.now, Build: max(w.g.rollout.build, 1), Counters: table.Encode()}, w.now)
	}
}

// wait asks for the chores, carries out those on commands and gives the rest back.
func (w *world) wait() DueWork {
	_, due := w.g.Tick(w.now)
	for _, request := range due.Requests {
		w.obey(request, w.g.Route(request, w.now))
	}
	for _, attempt := range due.CancelAttempts {
		if w.draw(2) == 0 {
			w.end(attempt, OutcomeCanceled)
		}
	}
	return due
}

// fleet is many gateways with the same machines, each with objects of its own; messages may be lost.
type fleet struct {
	all      []*world
	now      time.Duration
	lost     int     // of a hundred messages
	fails    int     // of a hundred deliveries at the newest build
	busy     float64 // what machines say of themselves
	broken   string
	verdicts map[Verdict]map[int]bool // which gateways have voted so
}

func newFleet(seed uint64, control PromotionMode, gateways, machines int) *fleet {
	f := &fleet{now: 1000 * s, busy: 0.5, verdicts: map[Verdict]map[int]bool{VerdictPromote: {}, VerdictRollBack: {}}}
	for i := 0; i < gateways; i++ {
		w := newMember(seed*1000+uint64(i), control, i, gateways, gateways/2)
		f.all = append(f.all, started(w, machines))
	}
	return f
}

// restart has a gateway start anew, with what the platform and the list tell it then.
func (f *fleet) restart(i, build, stage int, most float64) {
	old := f.all[i]
	w := newMember(old.seed+500, old.g.rollout.settings.mode, i, len(f.all), len(f.all)/2)
	w.now = f.now
	w.g.RolloutChanged(RolloutStatus{Build: build, Stage: stage, Phase: PhaseCanary, ExposureCap: most}, f.now)
	for _, endpoint := range old.instances {
		w.list(1, endpoint.startedAt, endpoint.build)
	}
	w.g.CommitEndpointList(true, f.now)
	w.most, f.all[i] = most, w
}

func (f *fleet) list(n int, startedAt time.Duration, build int) {
	for _, w := range f.all {
		w.list(n, startedAt, build)
	}
}

func (f *fleet) stage(build, stage int, phase RolloutPhase, most float64) {
	for _, w := range f.all {
		w.most = most
		w.g.RolloutChanged(RolloutStatus{Build: build, Stage: stage, Phase: phase, ExposureCap: most}, w.now)
	}
}

// step lets time pass, with so many commands a second at each gateway.
func (f *fleet) step(rate int) {
	f.now += 10 * ms
	for i, w := range f.all {
		if w.now = f.now; w.draw(1000) < rate*10 {
			w.take(w.draw(3), 0)
		}
		for _, attempt := range append([]*Attempt(nil), w.out...) {
			switch {
			case attempt.done || w.now-attempt.sentAt < time.Duration(30+w.draw(60))*ms:
			case attempt.build > 1 && w.draw(100) < f.fails:
				w.end(attempt, OutcomeError)
			default:
				w.g.LoadReported(attempt.Endpoint, f.busy, w.now)
				w.end(attempt, OutcomeSuccess)
			}
		}
		due := w.wait()
		for _, v := range due.Votes {
			if f.verdicts[v.Verdict] != nil {
				f.verdicts[v.Verdict][i] = true
			}
			w.g.VoteAnswered(OutcomeSuccess, w.now)
		}
		f.deliver(w, due)
		f.broken += w.broken
	}
	// All gateways together must not push a cold machine over; warm ones are at most about 0.7 busy here.
	for m, endpoint := range f.all[0].instances {
		age, sent := f.now-endpoint.startedAt, 0
		for _, w := range f.all {
			sent += since(w.cold[w.instances[m]], f.now-testSpan)
		}
		able := (0.4 + 0.6*float64(age)/float64(4*s)) * float64(2*rate*len(f.all))
		if age <= 4*s && float64(sent*len(f.all[0].instances)) > 4*able+40 {
			f.broken = fmt.Sprintf("machine %d got %d in 1.5 s, %.0f s old", m, sent, float64(age)/1e9)
		}
	}
}

// deliver passes messages on, with the receiver's own objects.
func (f *fleet) deliver(from *world, due DueWork) {
	same := func(to *world, endpoint *Endpoint) *Endpoint {
		return to.instances[slices.Index(from.instances, endpoint)]
	}
	if due.EvidenceReport != nil {
		for _, v := range due.EvidenceRecipients {
			report := *due.EvidenceReport
			report.Observations = nil
			for _, one := range due.EvidenceReport.Observations {
				one.Endpoint = same(f.all[v], one.Endpoint)
				report.Observations = append(report.Observations, one)
			}
			if from.draw(100) >= f.lost {
				f.all[v].g.EvidenceReceived(&report, f.now)
			}
		}
	}
	for _, to := range f.all {
		if due.VoterReport != nil && to != from && from.draw(100) >= f.lost {
			found := *due.VoterReport
			found.Outliers = nil
			for _, endpoint := range due.VoterReport.Outliers {
				found.Outliers = append(found.Outliers, same(to, endpoint))
			}
			to.g.VoterReportReceived(&found, f.now)
		}
	}
}

func (f *fleet) run(span time.Duration, rate int) {
	for end := f.now + span; f.now < end; {
		f.step(rate)
	}
}
