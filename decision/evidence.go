package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

const (
	// evidenceWarmUp is the age below which an endpoint's attempts are no evidence.
	evidenceWarmUp = 3 * time.Second
	// outlierMinEndpoints is how many others an endpoint is compared with before it can be an outlier to this gateway.
	outlierMinEndpoints = 2
	// minBaselineOneIn: one endpoint in this many of an earlier build is enough to compare costs with.
	minBaselineOneIn = 5
	// finishedWithAnswer and finishedWithoutAnswer are what an attempt adds to Counters.FinishedHalves.
	finishedWithAnswer    = 2
	finishedWithoutAnswer = 1
)

// endpointEvidence is what this gateway has counted at one endpoint since the endpoint began with its build.
type endpointEvidence struct {
	byOpType          []rollout.Counters
	busyTime          float64        // by the endpoint's own utilization, weighed by its power
	connectionsLostAt monotonic.Time // when it last broke connections
}

// evidenceState is what is counted for and against the build under judgement.
type evidenceState struct {
	own          rollout.Table // this gateway's running totals; nil while no build is under judgement
	departed     rollout.Table // of them, those of endpoints that have left
	restarted    rollout.Table // the last totals of peers' earlier incarnations
	stageStart   rollout.Table // all gateways' totals when the stage or the release was first looked at; nil until then
	busyTime     rollout.BusyTime
	previousBusy rollout.BusyTime // the same at the previous report: peers' attempts are known that much later
	departedBusy rollout.BusyTime // of it, that of endpoints that have left
}

// newEvidenceState starts with nothing counted.
func newEvidenceState(opTypes int) evidenceState {
	return evidenceState{
		own:       rollout.NewTable(opTypes),
		departed:  rollout.NewTable(opTypes),
		restarted: rollout.NewTable(opTypes),
	}
}

// recordEvidence counts an attempt's outcome for or against the build of its endpoint.
func (lb *Balancer) recordEvidence(attempt *Attempt, outcome Outcome, took time.Duration, now monotonic.Time) {
	state, endpoint := &lb.rollout, attempt.endpoint
	if !state.judging() || attempt.sentAt < state.buildSeenAt || attempt.build != endpoint.build ||
		outcome == OutcomeRejected || outcome == OutcomeConnectFailed || outcome == OutcomeNotSent {
		return
	}
	counters := &endpoint.evidence.byOpType[attempt.request.opType.index]
	// An attempt counts at its end, by its endpoint's age then, as busy time does: what is still queued there has cost nothing.
	if lb.isWarm(endpoint, now) {
		counters.FinishedHalves += finishedHalves(outcome)
	}
	// Timeouts and cancelled attempts tell of latency, not of failure: their number depends on this gateway's patience, and on
	// load.
	if attempt.duringWarmUp || outcome == OutcomeTimeout || outcome == OutcomeCanceled {
		return
	}
	counters.Attempts++
	if outcome == OutcomeError || outcome == OutcomeConnectionLost && lb.countsAsCrash(attempt, took) {
		counters.Failures++
	}
}

// finishedHalves returns how many half attempts an outcome at a warm endpoint stands for.
func finishedHalves(outcome Outcome) uint32 {
	switch outcome {
	case OutcomeSuccess, OutcomeError:
		return finishedWithAnswer
	case OutcomeConnectionLost:
		return 0
	default:
		return finishedWithoutAnswer // it may not have been executed
	}
}

// countsAsCrash reports whether a lost connection is a failure of its own. The attempts that one crash breaks are one failure,
// and, as every gateway sees the crash, one among all gateways: a random draw decides.
func (lb *Balancer) countsAsCrash(attempt *Attempt, took time.Duration) bool {
	evidence := &attempt.endpoint.evidence
	if attempt.sentAt <= evidence.connectionsLostAt {
		return false
	}
	evidence.connectionsLostAt = attempt.sentAt + took
	return lb.random.Below(lb.gateways) == 0
}

// WrongAnswerReported counts an endpoint's answer that its client found wrong as a failure of the endpoint's build.
func (lb *Balancer) WrongAnswerReported(endpoint *Endpoint, op *OpType, sentAt monotonic.Time) {
	if sentAt >= lb.rollout.buildSeenAt {
		endpoint.evidence.byOpType[op.index].Failures++
	}
}

// isWarm reports whether an endpoint is old enough for its busy time and finished attempts to be compared.
func (lb *Balancer) isWarm(endpoint *Endpoint, now monotonic.Time) bool {
	return endpoint.ready && now-endpoint.startedAt > max(evidenceWarmUp, lb.slowStart.warmUp)
}

// sideOf returns the side that an endpoint's evidence belongs to.
func (lb *Balancer) sideOf(endpoint *Endpoint) rollout.Side {
	if endpoint.build >= lb.rollout.build {
		return rollout.Canary
	}
	return rollout.Baseline
}

// sumEvidence sums the evidence of all endpoints. The attempts and failures of an outlier, named by the voters or found by
// this gateway, speak of the endpoint and not of its build: they are left out, which guards against a crash, hang or fast
// errors of single canary endpoints and may delay the case against a build that ruins some endpoints before others. Busy
// time and finished attempts stay: gateways see these at different times and would hardly leave out the same.
func (lb *Balancer) sumEvidence(now monotonic.Time) {
	lb.rankEndpoints()
	if !lb.rollout.judging() {
		return
	}
	evidence := &lb.rollout.evidence
	copy(evidence.own, evidence.departed)
	evidence.previousBusy, evidence.busyTime = evidence.busyTime, evidence.departedBusy
	for _, endpoint := range lb.endpoints {
		errorRateOfOthers, _, others := lb.medianOfOthers(endpoint)
		outlier := now < endpoint.outlierUntil ||
			others >= outlierMinEndpoints && endpoint.errorRate > ejectionErrorRate+errorRateOfOthers
		lb.addEndpointEvidence(endpoint, evidence.own, &evidence.busyTime, outlier)
	}
}

// addEndpointEvidence adds what was counted at an endpoint; of an outlier only what tells of cost.
func (lb *Balancer) addEndpointEvidence(endpoint *Endpoint, table rollout.Table, busyTime *rollout.BusyTime, outlier bool) {
	side := lb.sideOf(endpoint)
	busyTime.Add(side, endpoint.evidence.busyTime)
	for i, counters := range endpoint.evidence.byOpType {
		if outlier {
			counters = rollout.Counters{FinishedHalves: counters.FinishedHalves}
		}
		table.At(side, i).Add(counters)
	}
}

// retireEvidence keeps what was counted at an endpoint that leaves or changes its build, and clears the endpoint's counters.
func (lb *Balancer) retireEvidence(endpoint *Endpoint) {
	if evidence := &lb.rollout.evidence; endpoint.evidence.byOpType != nil && lb.rollout.judging() {
		lb.addEndpointEvidence(endpoint, evidence.departed, &evidence.departedBusy, false)
	}
	endpoint.evidence.byOpType, endpoint.evidence.busyTime = make([]rollout.Counters, len(lb.opTypes)), 0
}

// pooledCounters sums the totals of all gateways on the build under judgement.
func (lb *Balancer) pooledCounters() rollout.Table {
	sum := lb.rollout.evidence.own.Clone()
	sum.Add(lb.rollout.evidence.restarted)
	lb.rollout.peers.reports.AddTo(sum)
	return sum
}

// evidence weighs all that speaks against the build under judgement.
func (lb *Balancer) evidence() rollout.Evidence {
	state := &lb.rollout
	pooled := lb.pooledCounters()
	if state.evidence.stageStart == nil {
		state.evidence.stageStart = pooled.Clone()
	}
	current := rollout.Comparison{
		Pooled:          pooled,
		StageStart:      state.evidence.stageStart,
		CostStart:       state.cost.start,
		FailureMargin:   rollout.FailureMargin(state.settings.lagCost, state.settings.harmCost),
		BusyTime:        state.evidence.previousBusy,
		CostComparable:  state.cost.comparable && !state.peers.underReported && lb.baselineRemains(),
		CanaryEndpoints: lb.canaryEndpoints(),
		FleetCost:       state.cost.fleet,
	}
	return current.Evidence()
}

// canaryEndpoints counts the ready endpoints of the build under judgement.
func (lb *Balancer) canaryEndpoints() int {
	n := 0
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && lb.sideOf(endpoint) == rollout.Canary {
			n++
		}
	}
	return n
}

// baselineRemains reports whether enough of the ready endpoints run an earlier build.
func (lb *Balancer) baselineRemains() bool {
	baseline, all := 0, 0
	for _, endpoint := range lb.endpoints {
		if endpoint.ready {
			all++
			if lb.sideOf(endpoint) == rollout.Baseline {
				baseline++
			}
		}
	}
	return baseline*minBaselineOneIn >= all
}
