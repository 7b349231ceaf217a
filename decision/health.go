package decision

import (
	"slices"
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
)

const (
	observationDecay  = 2 * time.Second // over which what the gateways see of a machine fades
	outlierMinLosses  = 3.0             // deliveries lost lately, and more than this share of all beyond what others
	outlierLossMargin = 0.5             // of its build lose: the voters tell all gateways to leave a machine alone
	outlierProbeShare = 0.04            // of the commands may try such a machine again
	// Health.
	overdueFactor           = 6.0                    // a delivery is overdue after this many mean times
	silenceMinAttempts      = 3                      // deliveries to a machine within a trial span that make its silence tell
	initialEjection         = 300 * time.Millisecond // an instance set aside is tried again after this, doubled at each further failure
	maxEjection             = 5 * time.Second
	ejectionRequests        = 5               // or for so many of our commands, where that is longer
	maxEjectionByRequests   = 8 * time.Second // but no longer than this
	connectFailureThreshold = 0.3             // of our deliveries find no connection: keep to machines that answered within
	zoneLateMargin          = 0.2             // more late or lost than in our zone: a bad way
	zoneLateGain            = 0.15
	zoneLateDecay           = 15 * time.Second
	responsiveTTL           = 10 * time.Second
	ejectedProbeInterval    = 100 * time.Millisecond // where all are in doubt, each gets a delivery this often
	ejectionErrorRate       = 0.3                    // smoothed share of errors, beyond that of its build, that sets an instance aside
	initialConcurrencyLimit = 12.0                   // of our own deliveries that an instance may hold at first
	maxConcurrencyLimit     = 200.0
	congestedShare          = 0.35 // of the service target: an answer slower than this lowers the limit
	limitDecrease           = 0.85
	limitIncrease           = 0.15 // small, so that about one answer in ten may be congested and not one in two
)

// overdue: our oldest delivery there has been out for far longer than its kind takes, and nothing came back
// since.
func (lb *Balancer) isOverdue(endpoint *Endpoint, now monotonic.Time) bool {
	return len(endpoint.inFlight) > 0 && now >= lb.overdueAt(endpoint.inFlight[0])
}

// overdueAt is when a delivery becomes overdue if nothing comes back from its instance.
func (lb *Balancer) overdueAt(attempt *Attempt) time.Duration {
	return max(attempt.sentAt, attempt.Endpoint.lastResponseAt) + time.Duration(overdueFactor*attempt.Request.opType.meanLatency)
}

// tendIll tells which machines most gateways lose deliveries at: one gateway among hundreds meets a machine
// too seldom to find out in time. Guards against machines that hang, die or fail; where most machines of a
// build suffer, or only some gateways, it says nothing. A machine that lost much stays out a while.
func (lb *Balancer) detectOutliers(now monotonic.Time) []*Endpoint {
	var ill []*Endpoint
	for _, endpoint := range lb.endpoints {
		endpoint.recordResults(0, 0, now)
		if _, others, n := lb.medianOfOthers(endpoint); endpoint.ready && n >= 2 && len(ill) < maxObservations &&
			(endpoint.decayedLosses >= outlierMinLosses || now < endpoint.outlierUntil) && endpoint.lossRate() > outlierLossMargin+others {
			endpoint.outlierUntil = now + voterReportTTL
			ill = append(ill, endpoint)
		}
	}
	return ill
}

// doubted: set aside, or on probation with a delivery out, or silent, or said to be ill by the voters.
func (lb *Balancer) isSuspect(endpoint *Endpoint, now monotonic.Time) bool {
	return now < endpoint.ejectedUntil || endpoint.consecutiveFailures > 0 && len(endpoint.inFlight) > 0 || lb.isOverdue(endpoint, now) ||
		now < endpoint.outlierUntil && float64(lb.random.Below(1000)) >= 1000*outlierProbeShare
}

// tend keeps an instance's health: its limit, its speed, and whether it is set aside.
func (lb *Balancer) updateHealth(attempt *Attempt, outcome Outcome, took time.Duration, now monotonic.Time) {
	endpoint, op := attempt.Endpoint, attempt.Request.opType
	time := float64(took)
	if outcome == OutcomeSuccess || outcome == OutcomeError || outcome == OutcomeRejected {
		endpoint.lastResponseAt = now
	}
	if outcome != OutcomeSuccess && outcome != OutcomeRejected && outcome != OutcomeNotSent && !attempt.overdueCounted {
		endpoint.recordOwnResults(0, 1, now)
	}
	if outcome != OutcomeError && outcome != OutcomeRejected && outcome != OutcomeNotSent {
		lb.recordZoneResult(endpoint.zone, outcome == OutcomeSuccess && time <= lateShare*float64(op.latencyObjective), now)
	}
	if outcome == OutcomeConnectFailed || outcome == OutcomeConnectionLost {
		lb.connectFailureRate += 0.1 * (1 - lb.connectFailureRate)
	}
	switch outcome {
	case OutcomeSuccess:
		lb.connectFailureRate *= 0.9
		endpoint.recordOwnResults(1, 0, now)
		endpoint.recentSuccesses.Add(now, lb.slowStart.overloadSpan)
		endpoint.errorRate *= 0.85
		if endpoint.errorRate < ejectionErrorRate { // a machine that fails most and answers some stays on probation
			endpoint.consecutiveFailures, endpoint.ejectedUntil = 0, 0
		}
		op.meanLatency += 0.05 * (time - op.meanLatency)
		pace := min(time/max(op.meanLatency, 1), 8)
		endpoint.relativeLatency = max(0.3, min(6, endpoint.relativeLatency+0.08*(pace-endpoint.relativeLatency)))
		if m := lb.machineType(endpoint.machineType); endpoint.build < lb.rollout.build || lb.rollout.ownCounters == nil {
			m.relativeLatency = max(0.3, min(6, m.relativeLatency+0.01*(pace-m.relativeLatency)))
			lb.meanRelativeLatency = max(0.3, min(6, lb.meanRelativeLatency+0.01*(pace-lb.meanRelativeLatency)))
		}
		lb.adjustConcurrencyWindow(endpoint, time > lateShare*float64(op.latencyObjective))
		if time > congestedShare*float64(op.latencyObjective) {
			lb.decreaseLimit(endpoint, now)
		} else if float64(len(endpoint.inFlight)+1) > endpoint.concurrencyLimit/2 {
			endpoint.concurrencyLimit = min(maxConcurrencyLimit, endpoint.concurrencyLimit+limitIncrease/endpoint.concurrencyLimit)
		}
	case OutcomeError:
		endpoint.errorRate += 0.15 * (1 - endpoint.errorRate)
		lb.rankEndpoints()
		if others, _, _ := lb.medianOfOthers(endpoint); endpoint.errorRate > ejectionErrorRate+others {
			lb.eject(endpoint, now)
		}
	case OutcomeTimeout, OutcomeConnectionLost, OutcomeConnectFailed, OutcomeCanceled, OutcomeRejected:
		lb.decreaseLimit(endpoint, now)
		if outcome == OutcomeTimeout {
			lb.adjustConcurrencyWindow(endpoint, true)
		}
		if outcome == OutcomeTimeout && endpoint.lastResponseAt > attempt.sentAt {
			op.meanLatency += 0.05 * (time - op.meanLatency) // it was at work: learn from it as well as from those that made it
		}
		// Full, or draining unlisted, or its process died: each gateway sees the same crash, and as an odd
		// machine it does not speak against its build seven times.
		if outcome == OutcomeConnectFailed || outcome == OutcomeRejected || outcome == OutcomeConnectionLost || endpoint.lastResponseAt < attempt.sentAt {
			lb.eject(endpoint, now)
		}
	}
}

// aside leaves a machine alone for a time, then on probation, one delivery at a time. A gateway with little
// traffic counts in commands, or the time would be over by its next one.
func (lb *Balancer) eject(endpoint *Endpoint, now monotonic.Time) {
	endpoint.consecutiveFailures++
	turns := time.Duration(ejectionRequests) * canaryShareSpan / time.Duration(max(1, lb.slowStart.arrivals.CountAfter(now-canaryShareSpan)))
	endpoint.ejectedUntil = now + max(min(maxEjection, initialEjection<<min(endpoint.consecutiveFailures-1, 5)), min(maxEjectionByRequests, turns))
}

func (lb *Balancer) decreaseLimit(endpoint *Endpoint, now monotonic.Time) {
	if now-endpoint.limitDecreasedAt > 100*time.Millisecond {
		endpoint.concurrencyLimit, endpoint.limitDecreasedAt = max(1, endpoint.concurrencyLimit*limitDecrease), now
	}
}

// rescue calls off what lies with a silent instance, where it may be delivered again in time, so that it
// need not wait for a time-out: this guards against machines that hang, go silent or are cut off. It tells
// when to look again.
func (lb *Balancer) cancelSilentAttempts(endpoint *Endpoint, now monotonic.Time, due *DueWork) time.Duration {
	if len(endpoint.inFlight) == 0 {
		return now + 10*time.Second
	}
	if at := lb.overdueAt(endpoint.inFlight[0]); now < at {
		return at
	}
	for _, attempt := range endpoint.inFlight {
		request := attempt.Request
		if now < lb.overdueAt(attempt) {
			continue
		}
		if !attempt.overdueCounted {
			attempt.overdueCounted = true
			endpoint.recordOwnResults(0, 1, now)
		}
		// Where we meet a machine seldom, that nothing came back says little unless the voters name it ill: a jam
		// looks the same, and work called off for it is done in vain.
		if now >= endpoint.outlierUntil && endpoint.recentAttempts.CountAfter(now-canaryShareSpan) < silenceMinAttempts {
			continue
		}
		if !attempt.endpointSilent {
			attempt.endpointSilent = true
			lb.inFlight--
		}
		again := request.opType.safeToRepeat() && (request.opType.idempotency == Idempotent || now+lb.tick < attempt.sentAt+request.opType.dedupWindow)
		if again && lb.attemptLimits.mayCancel && !attempt.canceled && !request.completed && len(request.attempts) < lb.attemptLimits.maxAttempts &&
			request.deadline-now > time.Duration(request.opType.meanLatency) {
			attempt.canceled = true
			due.CancelAttempts = append(due.CancelAttempts, attempt)
		}
	}
	return now + 10*lb.tick
}

// rankPeers sorts what the ready machines of each build show, as far as anything is known of them.
func (lb *Balancer) rankEndpoints() {
	all := lb.rollout.rankings[:0]
	for _, endpoint := range lb.endpoints {
		if !endpoint.ready || endpoint.decayedSuccesses+endpoint.decayedLosses < 0.5 { // of one that nobody heard of lately nothing is known
			continue
		}
		i := slices.IndexFunc(all, func(ranking buildRanking) bool { return ranking.build == endpoint.build })
		if i < 0 {
			i, all = len(all), append(all, buildRanking{build: endpoint.build})
		}
		ranking := &all[i]
		ranking.errorRates, ranking.lossRates = append(ranking.errorRates, endpoint.errorRate), append(ranking.lossRates, endpoint.lossRate())
	}
	for _, ranking := range all {
		slices.Sort(ranking.errorRates)
		slices.Sort(ranking.lossRates)
	}
	lb.rollout.rankings = all
}

// peersOf gives the medians over the other ready machines of an instance's build, when they were last
// ranked: what most of them suffer is the build's, and no ground to set one aside.
func (lb *Balancer) medianOfOthers(endpoint *Endpoint) (failing, lossy float64, n int) {
	for _, ranking := range lb.rollout.rankings {
		if n = len(ranking.errorRates) - 1; ranking.build == endpoint.build && n > 0 {
			return medianWithout(ranking.errorRates, endpoint.errorRate), medianWithout(ranking.lossRates, endpoint.lossRate()), n
		}
	}
	return 1, 1, 0
}

// without is the median of sorted figures but one.
func medianWithout(sorted []float64, own float64) float64 {
	at := (len(sorted) - 1) / 2
	if own <= sorted[at] {
		at++
	}
	return sorted[at]
}

// note books answers and losses at a machine, ours or a peer's.
func (endpoint *Endpoint) recordResults(acked, lost int, now monotonic.Time) {
	left := decay.Factor(endpoint.decayedAt, now, observationDecay)
	endpoint.decayedSuccesses, endpoint.decayedLosses, endpoint.decayedAt = endpoint.decayedSuccesses*left+float64(acked), endpoint.decayedLosses*left+float64(lost), now
}

// saw books our own, to be told to the voters as well.
func (endpoint *Endpoint) recordOwnResults(acked, lost int, now monotonic.Time) {
	endpoint.recordResults(acked, lost, now)
	endpoint.unreported.Successes, endpoint.unreported.Losses = endpoint.unreported.Successes+acked, endpoint.unreported.Losses+lost
}

// lossy is the share of deliveries lost lately.
func (endpoint *Endpoint) lossRate() float64 {
	return endpoint.decayedLosses / (endpoint.decayedSuccesses + endpoint.decayedLosses + 1)
}

// way is the share of deliveries to a zone that came late or never, forgotten with time.
func (lb *Balancer) zoneLateRate(zone int, now monotonic.Time) float64 {
	if zone >= len(lb.zoneHealth) {
		return 0
	}
	return lb.zoneHealth[zone].lateRate * decay.Factor(lb.zoneHealth[zone].updatedAt, now, zoneLateDecay)
}

// bookWay books a delivery to a zone.
func (lb *Balancer) recordZoneResult(zone int, inTime bool, now monotonic.Time) {
	for len(lb.zoneHealth) <= zone {
		lb.zoneHealth = append(lb.zoneHealth, zoneHealth{})
	}
	share := lb.zoneLateRate(zone, now) * (1 - zoneLateGain)
	if !inTime {
		share += zoneLateGain
	}
	lb.zoneHealth[zone] = zoneHealth{share, now}
}

// way is how our deliveries to a zone fare.
type zoneHealth struct {
	lateRate  float64 // smoothed share late or without an answer
	updatedAt monotonic.Time
}

// ranks holds the sorted figures of one build's ready machines.
type buildRanking struct {
	build                 int
	errorRates, lossRates []float64
}
