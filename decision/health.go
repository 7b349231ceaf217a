package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/slidingwindow"
)

const (
	// The first ejection is short, and each further one twice as long as the one before.
	initialEjection      = 300 * time.Millisecond
	maxEjection          = 5 * time.Second
	maxEjectionDoublings = 5
	// At a gateway with few requests an ejection lasts for ejectionRequests of them, or it would be over by the next one,
	// but no longer than maxEjectionByRequests.
	ejectionRequests      = 5
	maxEjectionByRequests = 8 * time.Second

	ejectionErrorRate = 0.3  // smoothed share of errors beyond the median of the build: an endpoint with more is ejected
	errorGain         = 0.15 // of each error in an endpoint's error rate
	errorRateDecay    = 0.85 // of the error rate after a success
)

// endpointHealth is what this gateway's attempts, and the voters, say of an endpoint's health.
type endpointHealth struct {
	lastResponseAt      monotonic.Time // the last sign of life
	consecutiveFailures int            // ejections since the endpoint last counted as healthy
	ejectedUntil        monotonic.Time
	errorRate           float64        // smoothed share of errors
	outlierUntil        monotonic.Time // until then the voters call it an outlier
}

// endpointLoad is what this gateway has at an endpoint, and what the endpoint says of its load.
type endpointLoad struct {
	inFlight        []*Attempt           // in the order of their start
	lastAttemptAt   monotonic.Time       // the last attempt since the endpoint's start became known; 0 for none
	recentAttempts  slidingwindow.Window // within the spans of slow start and of the canary share
	recentSuccesses slidingwindow.Window // within the span of slow start
	limit           concurrencyLimit
	relativeLatency float64        // smoothed latency over the mean latency of the op type
	utilization     float64        // as reported by it, or seen by a peer
	utilizationAt   monotonic.Time // when that was received; 0 for never
}

// isSuspect reports whether an endpoint is ejected, on probation with an attempt in flight, silent, or an outlier by the
// voters' word. A small share of the requests may try an outlier again; each call that gets as far makes a random draw.
func (lb *Balancer) isSuspect(endpoint *Endpoint, now monotonic.Time) bool {
	return now < endpoint.ejectedUntil || endpoint.consecutiveFailures > 0 && len(endpoint.inFlight) > 0 || lb.isOverdue(endpoint, now) ||
		now < endpoint.outlierUntil && float64(lb.random.Below(1000)) >= 1000*outlierProbeShare
}

// updateHealth takes an outcome into what is known of its endpoint, its zone and its op type.
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
	if endpoint.errorRate < ejectionErrorRate { // an endpoint that fails most requests and answers some stays on probation
		endpoint.consecutiveFailures, endpoint.ejectedUntil = 0, 0
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

// recordFailure takes in an attempt that got no answer, or that its endpoint refused.
func (lb *Balancer) recordFailure(attempt *Attempt, outcome Outcome, duration time.Duration, now monotonic.Time) {
	endpoint := attempt.endpoint
	endpoint.limit.decrease(now)
	if outcome == OutcomeTimeout {
		lb.adjustConcurrencyWindow(endpoint, true)
	}
	if outcome == OutcomeTimeout && endpoint.lastResponseAt > attempt.sentAt {
		attempt.request.opType.observeLatency(float64(duration)) // the endpoint was at work, so this is its latency as well
	}
	// The endpoint is full, drains though it is not listed so, crashed, or was silent. Every gateway sees the same crash,
	// so a single one must not count against the build at each.
	if outcome == OutcomeConnectFailed || outcome == OutcomeRejected || outcome == OutcomeConnectionLost || endpoint.lastResponseAt < attempt.sentAt {
		lb.eject(endpoint, now)
	}
}

// eject leaves an endpoint without attempts for a time. After that it is on probation: one attempt at a time, until one
// succeeds.
func (lb *Balancer) eject(endpoint *Endpoint, now monotonic.Time) {
	endpoint.consecutiveFailures++
	byRequests := time.Duration(ejectionRequests) * canaryShareSpan / time.Duration(max(1, lb.slowStart.arrivals.CountAfter(now-canaryShareSpan)))
	backoff := min(maxEjection, initialEjection<<min(endpoint.consecutiveFailures-1, maxEjectionDoublings))
	endpoint.ejectedUntil = now + max(backoff, min(maxEjectionByRequests, byRequests))
}
