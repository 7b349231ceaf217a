package decision

import (
	"slices"
	"time"

	"laurelring/decision/monotonic"
)

const (
	evidenceWarmUp           = 3 * time.Second // outcomes of an instance this young are no evidence
	singleEndpointCostMargin = 0.4             // more margin, shared by the trial machines: one alone may be a slow machine
	baselineCostGain         = 0.3             // of each new figure of that
	minFailureMargin         = 0.02            // of its tries: what a trial may fail beyond the earlier build's rate,
	harmFailureMargin        = 0.25            // or this share of what being behind costs over what harm does, if that is less
	minBaselineOneIn         = 5               // one machine in so many of an earlier build is enough to compare times with
	costMargin               = 1.2             // times what a command costs the earlier build, or cost the fleet: a good build may
	countersPerOpType        = 3               // counters in a cell: tries, failures, half deliveries ended at warm machines
)

// witness counts an outcome as evidence for or against its build.
func (lb *Balancer) recordEvidence(attempt *Attempt, outcome Outcome, took time.Duration, now monotonic.Time) {
	if lb.rollout.ownCounters == nil || attempt.sentAt < lb.rollout.buildSeenAt || attempt.build != attempt.Endpoint.build ||
		outcome == OutcomeRejected || outcome == OutcomeConnectFailed || outcome == OutcomeNotSent {
		return
	}
	c := &attempt.Endpoint.evidence[attempt.Request.opType.index]
	// At its end, by its machine's age then, as the work counts: what still queues has cost none yet.
	if lb.isWarm(attempt.Endpoint, now) && (outcome == OutcomeSuccess || outcome == OutcomeError) {
		c[2] += 2
	} else if lb.isWarm(attempt.Endpoint, now) && outcome != OutcomeConnectionLost {
		c[2]++ // half, as in the fleet's work: what came late or never may not have been begun
	}
	// Time-outs and deliveries that were called off tell of time, not of failure: how many there are hangs on
	// our own patience, and on load.
	if attempt.duringWarmUp || outcome == OutcomeTimeout || outcome == OutcomeCanceled {
		return
	}
	c[0]++
	if outcome == OutcomeError {
		c[1]++
	}
	// The deliveries that one crash breaks are one failure, not many, and one among all gateways: by lot.
	if outcome == OutcomeConnectionLost && attempt.sentAt > attempt.Endpoint.connectionsLostAt {
		attempt.Endpoint.connectionsLostAt = attempt.sentAt + took
		if lb.random.Below(lb.gateways) == 0 {
			c[1]++
		}
	}
}

// settled tells a machine that is warm: its work and the deliveries it ends are held against each other.
func (lb *Balancer) isWarm(endpoint *Endpoint, now monotonic.Time) bool {
	return endpoint.ready && now-endpoint.startedAt > max(evidenceWarmUp, lb.slowStart.warmUp)
}

// fold sums the evidence over machines. One that the voters name ill, or that fails us far more, speaks of
// itself, not of the build: its failures are left out (guards against a crash, hang or fast errors of
// single trial machines; it may delay the case against a build that ruins some machines before others). Not
// so work and the deliveries that cost it: gateways see these at different times and would hardly leave out
// the same.
func (lb *Balancer) sumEvidence(now monotonic.Time) {
	rollout := &lb.rollout
	if lb.rankEndpoints(); rollout.ownCounters == nil {
		return
	}
	copy(rollout.ownCounters, rollout.departedCounters)
	rollout.previousBusyTime, rollout.busyTime = rollout.busyTime, rollout.departedBusyTime // peers tell of their deliveries half a second late, on average less
	for _, endpoint := range lb.endpoints {
		failing, _, n := lb.medianOfOthers(endpoint)
		lb.addEndpointEvidence(endpoint, rollout.ownCounters, &rollout.busyTime, now < endpoint.outlierUntil || n >= 2 && endpoint.errorRate > ejectionErrorRate+failing)
	}
}

// evidence pools the totals of all gateways on the build and averages the products: an average of such
// products keeps the level alpha, so a look at each op type and at work is paid for. Beside it, work alone.
func (lb *Balancer) evidence() (all, work float64) {
	rollout := &lb.rollout
	sum := lb.pooledCounters()
	if rollout.stageBaseline == nil {
		rollout.stageBaseline = slices.Clone(sum)
	}
	margin := min(minFailureMargin, harmFailureMargin*rollout.lagCost/max(rollout.harmCost, 1e-9))
	var tt, tf, bt, bf, tw, bw float64
	var logs []float64
	for _, op := range lb.opTypes {
		t, b := sum[lb.counterIndex(true, op):], sum[lb.counterIndex(false, op):]
		tt, tf, bt, bf = tt+float64(t[0]), tf+float64(t[1]), bt+float64(b[0]), bf+float64(b[1])
		if rollout.costBaseline != nil {
			tw += max(0, float64(t[2])-float64(rollout.costBaseline[lb.counterIndex(true, op)+2])) / 2
			bw += max(0, float64(b[2])-float64(rollout.costBaseline[lb.counterIndex(false, op)+2])) / 2
		}
		// Beside all of the trial's tries those since its stage or its release: guards against builds that begin
		// to fail once their machines have run for a while, which many clean tries would hide.
		was := rollout.stageBaseline[lb.counterIndex(true, op):]
		tries, fails := max(0, float64(t[0])-float64(was[0])), float64(t[1])-float64(was[1])
		logs = append(logs, logFailureFactor(float64(t[0]), float64(t[1]), float64(b[0]), float64(b[1]), margin),
			logFailureFactor(tries, fails, float64(b[0]), float64(b[1]), margin))
	}
	// Slowness by work, counted in commands of the earlier build, where machines tell how busy they are: it
	// tells a slow build from queues, which load, cold keys and bursts make as well. It says nothing once few
	// earlier machines are left, as the trial's work is then of another period, or while totals are missing; after
	// that, and at a gateway that started amid a trial, both count from when the work is seen. The fleet's work
	// is held against that before, as with equal exposure, unless the trial's commands cost less than others.
	slower, fleet, w := 0.0, 0.0, rollout.previousBusyTime
	if lb.baselineRemains() && !rollout.underReported && rollout.costComparable && w[0] > 0 && w[1] > 0 && tw > 0 && bw > 0 {
		may := tw * costMargin * (1 + singleEndpointCostMargin/float64(max(1, lb.canaryEndpoints())))
		slower = logPairFactor(may, w[0]*bw/w[1], bw, bw)
	}
	if w[0] == 0 || w[0]*bw*costMargin >= w[1]*tw {
		fleet = logPairFactor(rollout.fleetCost[0]*costMargin, rollout.fleetCost[1], rollout.fleetCost[0], rollout.fleetCost[0])
	}
	logs = append(logs, logFailureFactor(tt, tf, bt, bf, margin))
	return logMeanExp(append(logs, slower, fleet)), logMeanExp(append(make([]float64, len(logs)), slower, fleet))
}

// trialMachines counts the ready machines of the build under judgement.
func (lb *Balancer) canaryEndpoints() int {
	n := 0
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && endpoint.build >= lb.rollout.build {
			n++
		}
	}
	return n
}

// pooled sums the totals of all gateways on the build.
func (lb *Balancer) pooledCounters() []uint32 {
	sum := slices.Clone(lb.rollout.ownCounters)
	addCounters(sum, lb.rollout.restartedCounters)
	for _, report := range lb.rollout.reports {
		if report != nil && report.Build == lb.rollout.build {
			addCounters(sum, report.Counters)
		}
	}
	return sum
}

func (lb *Balancer) counterCount() int { return 2 * len(lb.opTypes) * countersPerOpType }

func (lb *Balancer) counterIndex(trial bool, op *OpType) int {
	return (lb.side(trial)*len(lb.opTypes) + op.index) * countersPerOpType
}

func (lb *Balancer) side(trial bool) int {
	if trial {
		return 0
	}
	return 1
}

// ToldWrong tells that a client judged an answer of an instance wrong.
func (lb *Balancer) WrongAnswerReported(endpoint *Endpoint, op *OpType, sentAt, now monotonic.Time) {
	if sentAt >= lb.rollout.buildSeenAt {
		endpoint.evidence[op.index][1]++
	}
}

// regard begins to judge a build when it is first heard of.
func (lb *Balancer) beginCanary(build int, now monotonic.Time) {
	rollout := &lb.rollout
	if lb.canary.build < 0 || build <= rollout.build || !lb.isCanary(build) {
		return // the build of the start is not on trial
	}
	for _, endpoint := range lb.endpoints {
		lb.retireEvidence(endpoint)
	}
	rollout.build, rollout.buildSeenAt, rollout.rollbackCase = build, now, false
	lb.canary.stickyKeys.CanaryStarted()
	rollout.previousBusyTime, rollout.busyTime, rollout.costBaseline = [2]float64{}, [2]float64{}, nil
	if rollout.joinedMidCanary, rollout.costBaselineAt = !rollout.statusReceived, 0; rollout.statusReceived { // we ran before the build was heard of
		rollout.costBaseline = make([]uint32, lb.counterCount())
	}
	rollout.departedBusyTime, rollout.departedCounters, rollout.fleetCost = [2]float64{}, make([]uint32, lb.counterCount()), [2]float64{}
	rollout.restartedCounters = make([]uint32, lb.counterCount())
	rollout.ownCounters = make([]uint32, lb.counterCount())
	rollout.lastVote, rollout.nextVoteAt, rollout.stageBaseline = Vote{}, 0, nil
}

func addCounters(sum, more []uint32) {
	for i, n := range more {
		sum[i] += n
	}
}

// anew tells whether running totals fell: their sender has started anew. Tries and failures may fall as well, as a
// machine is found to speak of itself; the deliveries ended at warm machines never do.
func (lb *Balancer) senderRestarted(cells, had []uint32) bool {
	for i := 2; i < len(cells); i += countersPerOpType {
		if cells[i] < had[i] {
			return true
		}
	}
	return false
}

// seeWork begins to hold work against tries anew: those so far stand beside work that was not seen.
func (lb *Balancer) restartCostBaseline(now monotonic.Time) {
	rollout := &lb.rollout
	rollout.costBaseline, rollout.joinedMidCanary, rollout.costBaselineAt = lb.pooledCounters(), true, now
	rollout.previousBusyTime, rollout.busyTime, rollout.departedBusyTime = [2]float64{}, [2]float64{}, [2]float64{}
	for _, endpoint := range lb.endpoints {
		endpoint.busyTime = 0
	}
}

// credit adds what a machine has shown to its build's evidence, or its work and the deliveries that cost it
// alone.
func (lb *Balancer) addEndpointEvidence(endpoint *Endpoint, cells []uint32, work *[2]float64, workOnly bool) {
	trial := endpoint.build >= lb.rollout.build
	work[lb.side(trial)] += endpoint.busyTime
	for i, op := range lb.opTypes {
		for k, n := range endpoint.evidence[i] {
			if k >= 2 || !workOnly {
				cells[lb.counterIndex(trial, op)+k] += n
			}
		}
	}
}

// retire keeps what a machine that leaves has shown, and starts it anew.
func (lb *Balancer) retireEvidence(endpoint *Endpoint) {
	if endpoint.evidence != nil && lb.rollout.ownCounters != nil {
		lb.addEndpointEvidence(endpoint, lb.rollout.departedCounters, &lb.rollout.departedBusyTime, false)
	}
	endpoint.evidence, endpoint.busyTime = make([][countersPerOpType]uint32, len(lb.opTypes)), 0
}

// baseLeft tells whether enough of the ready machines run an earlier build.
func (lb *Balancer) baselineRemains() bool {
	left, all := 0, 0
	for _, endpoint := range lb.endpoints {
		if endpoint.ready {
			all++
			left += lb.side(endpoint.build >= lb.rollout.build)
		}
	}
	return left*minBaselineOneIn >= all
}
