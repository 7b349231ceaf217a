package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/slidingwindow"
)

const (
	// The first ejection lasts for initialEjection, and each further one twice as long, up to maxEjection.
	initialEjection      = 300 * time.Millisecond
	maxEjection          = 5 * time.Second
	maxEjectionDoublings = 5
	// At a gateway with few requests, an ejection lasts for the time in which ejectionRequests arrive, as it would
	// otherwise be over before the next request, but no longer than maxEjectionByRequests.
	ejectionRequests      = 5
	maxEjectionByRequests = 8 * time.Second

	ejectionErrorRate = 0.3  // an endpoint whose error rate exceeds the median of its build by more is ejected
	errorGain         = 0.15 // weight of each error in the smoothed error rate of an endpoint
	errorRateDecay    = 0.85 // factor on the error rate after each success
)

// endpointHealth is the health of an endpoint, according to this gateway's attempts and to the voters.
type endpointHealth struct {
	lastResponseAt       monotonic.Time // when this gateway last received anything from the endpoint
	consecutiveEjections int            // number of ejections since the endpoint last counted as healthy
	ejectedUntil         monotonic.Time
	errorRate            float64        // smoothed share of errors
	outlierUntil         monotonic.Time // the voters consider the endpoint an outlier until this time
}

// endpointLoad is the load that this gateway puts on an endpoint, and the load that the endpoint reports.
type endpointLoad struct {
	inFlight        []*Attempt           // in the order of their start
	lastAttemptAt   monotonic.Time       // latest attempt since this gateway learned of the endpoint's start; 0 if none
	recentAttempts  slidingwindow.Window // covers both slowStartState.overloadSpan and canaryShareSpan
	recentSuccesses slidingwindow.Window // covers slowStartState.overloadSpan
	limit           concurrencyLimit
	relativeLatency float64        // smoothed ratio of the latency to the mean latency of the op type
	utilization     float64        // reported by the endpoint to this gateway or to a peer
	utilizationAt   monotonic.Time // when utilization was received; 0 if never
}

// isSuspect reports whether an endpoint is ejected, on probation with an attempt in flight, overdue, or an outlier
// according to the voters. To let outliers be tried again, it returns false for a random outlierProbeShare of the calls
// for an endpoint that is an outlier and nothing else. Each of these calls draws a random number.
func (lb *Balancer) isSuspect(endpoint *Endpoint, now monotonic.Time) bool {
	return now < endpoint.ejectedUntil || endpoint.consecutiveEjections > 0 && len(endpoint.inFlight) > 0 || lb.isOverdue(endpoint, now) ||
		now < endpoint.outlierUntil && float64(lb.random.Below(1000)) >= 1000*outlierProbeShare
}

// updateHealth updates the health data of the endpoint, the zone and the op type with the outcome of an attempt.
func (lb *Balancer) updateHealth(attempt *Attempt, outcome Outcome, duration time.Duration, now monotonic.Time) {
	endpoint, op := attempt.endpoint, attempt.request.opType
	if outcome == OutcomeSuccess || outcome == OutcomeError || outcome == OutcomeRejected {
		endpoint.lastResponseAt = now
	}
	if outcome != OutcomeSuccess && outcome != OutcomeRejected && outcome != OutcomeNotSent && !attempt.overdueCounted {
		endpoint.recordOwnResults(0, 1, now)
	}
	if outcome != OutcomeError && outcome != OutcomeRejected && outcome != OutcomeNotSent {
		lb.paths.recordZoneResult(endpoint.zone, outcome == OutcomeSuccess && !op.isLate(duration), now)
	}
	if outcome == OutcomeConnectFailed || outcome == OutcomeConnectionLost {
		lb.paths.recordConnectFailure()
	}
	switch outcome {
	case OutcomeSuccess:
		lb.recordSuccess(endpoint, op, duration, now)
	case OutcomeError:
		lb.recordError(endpoint, now)
	case OutcomeTimeout, OutcomeConnectionLost, OutcomeConnectFailed, OutcomeCanceled, OutcomeRejected:
		lb.recordFailure(attempt, outcome, duration, now)
	}
}

func (lb *Balancer) recordSuccess(endpoint *Endpoint, op *OpType, duration time.Duration, now monotonic.Time) {
	lb.paths.recordConnected()
	endpoint.recordOwnResults(1, 0, now)
	endpoint.recentSuccesses.Add(now, lb.slowStart.overloadSpan)
	endpoint.errorRate *= errorRateDecay
	// An endpoint that answers some requests but fails most of them stays on probation.
	if endpoint.errorRate < ejectionErrorRate {
		endpoint.consecutiveEjections, endpoint.ejectedUntil = 0, 0
	}
	latency := float64(duration)
	op.observeLatency(latency)
	lb.observeRelativeLatency(endpoint, latency/max(op.meanLatency, 1))
	lb.adjustConcurrencyWindow(endpoint, op.isLate(duration))
	if latency > congestedShare*float64(op.latencyObjective) {
		endpoint.limit.decrease(now)
	} else {
		endpoint.limit.increase(len(endpoint.inFlight))
	}
}

func (lb *Balancer) recordError(endpoint *Endpoint, now monotonic.Time) {
	endpoint.errorRate += errorGain * (1 - endpoint.errorRate)
	lb.updateRatesByBuild()
	if others, _, _ := lb.medianRatesOfOthers(endpoint); endpoint.errorRate > ejectionErrorRate+others {
		lb.eject(endpoint, now)
	}
}

// recordFailure records an attempt that got no answer or that the endpoint rejected.
func (lb *Balancer) recordFailure(attempt *Attempt, outcome Outcome, duration time.Duration, now monotonic.Time) {
	endpoint := attempt.endpoint
	endpoint.limit.decrease(now)
	if outcome == OutcomeTimeout {
		lb.adjustConcurrencyWindow(endpoint, true)
	}
	if outcome == OutcomeTimeout && endpoint.lastResponseAt > attempt.sentAt {
		attempt.request.opType.observeLatency(float64(duration)) // a latency sample, as the endpoint was responding
	}
	// The endpoint is full, is draining although the list does not say so, has crashed, or was silent. Every gateway
	// sees the same crash, so it must not count against the build at each of them.
	if outcome == OutcomeConnectFailed || outcome == OutcomeRejected || outcome == OutcomeConnectionLost || endpoint.lastResponseAt < attempt.sentAt {
		lb.eject(endpoint, now)
	}
}

// eject takes an endpoint out of normal selection for a time. It is then on probation, with one attempt at a time,
// until it counts as healthy again after a success.
func (lb *Balancer) eject(endpoint *Endpoint, now monotonic.Time) {
	endpoint.consecutiveEjections++
	byRequests := time.Duration(ejectionRequests) * canaryShareSpan / time.Duration(max(1, lb.slowStart.arrivals.CountAfter(now-canaryShareSpan)))
	backoff := min(maxEjection, initialEjection<<min(endpoint.consecutiveEjections-1, maxEjectionDoublings))
	endpoint.ejectedUntil = now + max(backoff, min(maxEjectionByRequests, byRequests))
}
