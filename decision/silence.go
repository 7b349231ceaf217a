package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	overdueFactor      = 6.0 // an attempt is overdue after this many mean latencies without a response of its endpoint
	silenceMinAttempts = 3   // attempts at an endpoint within canaryShareSpan from which its silence is significant
	cancelCheckTicks   = 10  // ticks between two checks of an endpoint with overdue attempts
)

// isOverdue reports whether the oldest attempt in flight at an endpoint is overdue: it has been in flight for much
// longer than its op type usually takes, and the endpoint has not responded for as long.
func (lb *Balancer) isOverdue(endpoint *Endpoint, now monotonic.Time) bool {
	return len(endpoint.inFlight) > 0 && now >= lb.overdueAt(endpoint.inFlight[0])
}

// overdueAt returns the time at which an attempt becomes overdue if its endpoint does not respond before.
func (lb *Balancer) overdueAt(attempt *Attempt) monotonic.Time {
	return max(attempt.sentAt, attempt.endpoint.lastResponseAt) + time.Duration(overdueFactor*attempt.request.opType.meanLatency)
}

// cancelSilentAttempts adds the overdue attempts at a silent endpoint to due.CancelAttempts if they can be retried in
// time, so that their requests need not wait for the timeout. It guards against endpoints that hang or are cut off. It
// returns the time of the next check.
func (lb *Balancer) cancelSilentAttempts(endpoint *Endpoint, now monotonic.Time, due *DueWork) monotonic.Time {
	if len(endpoint.inFlight) == 0 {
		return now + maxTickInterval
	}
	if at := lb.overdueAt(endpoint.inFlight[0]); now < at {
		return at
	}
	for _, attempt := range endpoint.inFlight {
		if now < lb.overdueAt(attempt) {
			continue
		}
		if !attempt.overdueCounted {
			attempt.overdueCounted = true
			endpoint.recordOwnResults(0, 1, now)
		}
		if !lb.silenceIsSignificant(endpoint, now) {
			continue
		}
		if !attempt.endpointSilent {
			attempt.endpointSilent = true
			lb.admission.window.AttemptAbandoned()
		}
		if lb.mayCancel(attempt, now) {
			attempt.canceled = true
			due.CancelAttempts = append(due.CancelAttempts, attempt)
		}
	}
	return now + cancelCheckTicks*lb.tick
}

// silenceIsSignificant reports whether the silence of an endpoint indicates a fault of the endpoint: the voters
// consider it an outlier, or this gateway sends it enough attempts. Otherwise the silence may as well come from an
// overload, in which canceling attempts only wastes the work that the endpoint has done for them.
func (lb *Balancer) silenceIsSignificant(endpoint *Endpoint, now monotonic.Time) bool {
	return now < endpoint.outlierUntil || endpoint.recentAttempts.CountAfter(now-canaryShareSpan) >= silenceMinAttempts
}

// mayCancel reports whether an attempt may be canceled, and another attempt may follow it in time.
func (lb *Balancer) mayCancel(attempt *Attempt, now monotonic.Time) bool {
	request := attempt.request
	return lb.mayRetryAfterCancel(attempt, now) && lb.attemptLimits.mayCancel && !attempt.canceled && !request.completed &&
		len(request.attempts) < lb.attemptLimits.maxAttempts && request.deadline-now > time.Duration(request.opType.meanLatency)
}
