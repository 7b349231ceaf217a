package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	overdueFactor      = 6.0 // an attempt is overdue after so many mean latencies without a sign of life
	silenceMinAttempts = 3   // attempts at an endpoint within canaryShareSpan for its silence to mean anything
	cancelCheckTicks   = 10  // ticks until silent endpoints are looked at again
)

// isOverdue reports whether the oldest attempt in flight at an endpoint has been out for far longer than its op type takes,
// and nothing came back since.
func (lb *Balancer) isOverdue(endpoint *Endpoint, now monotonic.Time) bool {
	return len(endpoint.inFlight) > 0 && now >= lb.overdueAt(endpoint.inFlight[0])
}

// overdueAt is when an attempt becomes overdue if nothing comes back from its endpoint.
func (lb *Balancer) overdueAt(attempt *Attempt) monotonic.Time {
	return max(attempt.sentAt, attempt.endpoint.lastResponseAt) + time.Duration(overdueFactor*attempt.request.opType.meanLatency)
}

// cancelSilentAttempts has the overdue attempts at a silent endpoint canceled that can be repeated in time, so that they
// need not wait for their timeout. It guards against endpoints that hang or are cut off. It returns when to look again.
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

// silenceIsSignificant reports whether silence says something about an endpoint: the voters call it an outlier, or this gateway
// meets it often. Else it says little: an overload looks the same, and work that is canceled for it is done in vain.
func (lb *Balancer) silenceIsSignificant(endpoint *Endpoint, now monotonic.Time) bool {
	return now < endpoint.outlierUntil || endpoint.recentAttempts.CountAfter(now-canaryShareSpan) >= silenceMinAttempts
}

// mayCancel reports whether an attempt may be canceled, and another one may follow it in time.
func (lb *Balancer) mayCancel(attempt *Attempt, now monotonic.Time) bool {
	request := attempt.request
	return lb.mayRetryAfterCancel(attempt, now) && lb.attemptLimits.mayCancel && !attempt.canceled && !request.completed &&
		len(request.attempts) < lb.attemptLimits.maxAttempts && request.deadline-now > time.Duration(request.opType.meanLatency)
}
