package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

const (
	// evidenceWarmUp is the time from the start of an endpoint during which its attempts are not counted as evidence.
	evidenceWarmUp = 3 * time.Second
	// outlierMinEndpoints is the number of other endpoints that an endpoint must be compared with before this gateway
	// can find it to be an outlier.
	outlierMinEndpoints = 2
	// minBaselineDivisor: costs are compared only while at least 1/minBaselineDivisor of the ready endpoints run an
	// earlier build.
	minBaselineDivisor = 5
	// finishedWithAnswer and finishedWithoutAnswer are what a finished attempt adds to Counters.FinishedHalves, which
	// counts in half attempts.
	finishedWithAnswer    = 2
	finishedWithoutAnswer = 1
)

// endpointEvidence is what this gateway has counted at one endpoint since the endpoint started to run its build.
type endpointEvidence struct {
	byOpType          []rollout.Counters
	busyTime          float64        // from the utilization that the endpoint reports, weighted by its relative capacity
	connectionsLostAt monotonic.Time // when its connections last broke
}

// evidenceState is the evidence for and against the build under evaluation.
type evidenceState struct {
	ownTotals           rollout.Table // this gateway's running totals; nil while no build is under evaluation
	departedTotals      rollout.Table // the part of ownTotals from endpoints that have left or changed their build
	restartedPeerTotals rollout.Table // the last totals that peers reported before they restarted
	totalsAtStageStart  rollout.Table // all gateways' totals when the stage or release is first evaluated; nil before
	busyTime            rollout.BusyTime
	previousBusyTime    rollout.BusyTime // busyTime one report earlier, as peers' attempts become known one report late
	departedBusyTime    rollout.BusyTime // the part of busyTime from endpoints that have left or changed their build
}

// newEvidenceState returns an evidenceState with all counts at 0.
func newEvidenceState(opTypes int) evidenceState {
	return evidenceState{
		ownTotals:           rollout.NewTable(opTypes),
		departedTotals:      rollout.NewTable(opTypes),
		restartedPeerTotals: rollout.NewTable(opTypes),
	}
}

// recordEvidence counts an attempt's outcome for or against the build of its endpoint.
func (lb *Balancer) recordEvidence(attempt *Attempt, outcome Outcome, took time.Duration, now monotonic.Time) {
	state, endpoint := &lb.rollout, attempt.endpoint
	if !state.evaluating() || attempt.sentAt < state.buildSeenAt || attempt.build != endpoint.build ||
		outcome == OutcomeRejected || outcome == OutcomeConnectFailed || outcome == OutcomeNotSent {
		return
	}
	counters := &endpoint.evidence.byOpType[attempt.request.opType.index]
	// An attempt is counted when it ends, and only if its endpoint is warm at that time, as busy time is: an attempt
	// that is still queued at the endpoint has cost nothing.
	if lb.isWarm(endpoint, now) {
		counters.FinishedHalves += finishedHalves(outcome)
	}
	// Timeouts and cancelled attempts are signs of latency, not of failure: their number depends on how long this
	// gateway waits, and on load.
	if attempt.duringWarmUp || outcome == OutcomeTimeout || outcome == OutcomeCanceled {
		return
	}
	counters.Attempts++
	if outcome == OutcomeError || outcome == OutcomeConnectionLost && lb.countsAsCrash(attempt, took) {
		counters.Failures++
	}
}

// finishedHalves returns how many half attempts an outcome at a warm endpoint adds to the finished attempts.
func finishedHalves(outcome Outcome) uint32 {
	switch outcome {
	case OutcomeSuccess, OutcomeError:
		return finishedWithAnswer
	case OutcomeConnectionLost:
		return 0
	default:
		return finishedWithoutAnswer // the request may not have been executed
	}
}

// countsAsCrash reports whether a lost connection counts as one more failure. All attempts that one crash breaks count
// as one failure. Every gateway sees the crash, so each counts it with a probability of 1 in the number of gateways,
// and together they count it about once.
func (lb *Balancer) countsAsCrash(attempt *Attempt, took time.Duration) bool {
	evidence := &attempt.endpoint.evidence
	if attempt.sentAt <= evidence.connectionsLostAt {
		return false
	}
	evidence.connectionsLostAt = attempt.sentAt + took
	return lb.random.Below(lb.gateways) == 0
}

// WrongAnswerReported counts an answer that its client found to be wrong as a failure of the endpoint's build.
func (lb *Balancer) WrongAnswerReported(endpoint *Endpoint, op *OpType, sentAt monotonic.Time) {
	if sentAt >= lb.rollout.buildSeenAt {
		endpoint.evidence.byOpType[op.index].Failures++
	}
}

// isWarm reports whether an endpoint has run long enough for its busy time and finished attempts to be compared.
func (lb *Balancer) isWarm(endpoint *Endpoint, now monotonic.Time) bool {
	return endpoint.ready && now-endpoint.startedAt > max(evidenceWarmUp, lb.slowStart.warmUp)
}

// sideOf returns the side of the comparison, canary or baseline, to which an endpoint's evidence belongs.
func (lb *Balancer) sideOf(endpoint *Endpoint) rollout.Side {
	if endpoint.build >= lb.rollout.build {
		return rollout.Canary
	}
	return rollout.Baseline
}

// sumEvidence sums the evidence of all endpoints. The attempts and failures of an outlier, reported by the voters or
// detected by this gateway, are left out, as they are caused by the endpoint and not by its build. This guards against
// crashes, hangs and fast errors of single canary endpoints. It may delay the rollback of a build that breaks some
// endpoints before others. Busy time and finished attempts of outliers are kept: gateways learn them at different times
// and would hardly leave out the same ones.
func (lb *Balancer) sumEvidence(now monotonic.Time) {
	lb.updateRatesByBuild()
	if !lb.rollout.evaluating() {
		return
	}
	evidence := &lb.rollout.evidence
	copy(evidence.ownTotals, evidence.departedTotals)
	evidence.previousBusyTime, evidence.busyTime = evidence.busyTime, evidence.departedBusyTime
	for _, endpoint := range lb.endpoints {
		errorRateOfOthers, _, others := lb.medianRatesOfOthers(endpoint)
		outlier := now < endpoint.outlierUntil ||
			others >= outlierMinEndpoints && endpoint.errorRate > ejectionErrorRate+errorRateOfOthers
		lb.addEndpointEvidence(endpoint, evidence.ownTotals, &evidence.busyTime, outlier)
	}
}

// addEndpointEvidence adds an endpoint's counters and busy time to the totals. Of an outlier it adds only busy time and
// finished attempts, which measure cost.
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

// retireEvidence moves the counters of an endpoint that leaves or changes its build into the totals of departed
// endpoints, and clears them at the endpoint.
func (lb *Balancer) retireEvidence(endpoint *Endpoint) {
	if evidence := &lb.rollout.evidence; endpoint.evidence.byOpType != nil && lb.rollout.evaluating() {
		lb.addEndpointEvidence(endpoint, evidence.departedTotals, &evidence.departedBusyTime, false)
	}
	endpoint.evidence.byOpType, endpoint.evidence.busyTime = make([]rollout.Counters, len(lb.opTypes)), 0
}

// pooledCounters returns the sum of all gateways' totals for the build under evaluation.
func (lb *Balancer) pooledCounters() rollout.Table {
	sum := lb.rollout.evidence.ownTotals.Clone()
	sum.Add(lb.rollout.evidence.restartedPeerTotals)
	lb.rollout.peers.reports.AddTo(sum)
	return sum
}

// evidence returns the current evidence against the build under evaluation.
func (lb *Balancer) evidence() rollout.Evidence {
	state := &lb.rollout
	pooled := lb.pooledCounters()
	if state.evidence.totalsAtStageStart == nil {
		state.evidence.totalsAtStageStart = pooled.Clone()
	}
	current := rollout.Comparison{
		Pooled:          pooled,
		StageStart:      state.evidence.totalsAtStageStart,
		CostStart:       state.cost.totalsAtStart,
		FailureMargin:   rollout.FailureMargin(state.settings.lagCost, state.settings.harmCost),
		BusyTime:        state.evidence.previousBusyTime,
		CostComparable:  state.cost.comparable && !state.peers.tooFewReporting && lb.baselineRemains(),
		CanaryEndpoints: lb.canaryEndpoints(),
		FleetCost:       state.cost.fleetCost,
	}
	return current.Evidence()
}

// canaryEndpoints returns the number of ready endpoints that run the build under evaluation.
func (lb *Balancer) canaryEndpoints() int {
	n := 0
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && lb.sideOf(endpoint) == rollout.Canary {
			n++
		}
	}
	return n
}

// baselineRemains reports whether at least 1/minBaselineDivisor of the ready endpoints run an earlier build.
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
	return baseline*minBaselineDivisor >= all
}
