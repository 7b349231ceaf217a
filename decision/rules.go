package decision

import (
	"laurelring/decision/monotonic"
)

// mayAttempt reports whether an attempt satisfies all rules, as far as this gateway knows: the request may have one
// more attempt, the endpoint is usable, no effect is repeated, and the exposure cap and slow start allow it.
func (lb *Balancer) mayAttempt(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	return lb.requestMayBeAttempted(request, now) && lb.endpointUsable(endpoint, now) &&
		lb.repeatAllowed(request.opType, request.attempts, endpoint, now) &&
		lb.withinExposureCap(request, endpoint, now) &&
		lb.withinSlowStart(endpoint, now)
}

func (lb *Balancer) requestMayBeAttempted(request *Request, now monotonic.Time) bool {
	return !request.completed && !request.stopped && now < request.deadline && now >= lb.catchUpUntil &&
		len(request.attempts) < lb.attemptLimits.maxAttempts && request.inFlight == 0
}

// endpointUsable reports whether an endpoint may get requests at all: the endpoint list names it as ready and is
// trusted for it, and its build is allowed.
func (lb *Balancer) endpointUsable(endpoint *Endpoint, now monotonic.Time) bool {
	return endpoint.listed && endpoint.ready && lb.trusted(endpoint, now) && lb.buildAllowed(endpoint.build)
}

// AttemptAllowed reports whether an attempt of which nothing has been sent may still be sent. It may not if the request
// is completed, if its client has left or may leave unnoticed, if the endpoint is no longer usable, has restarted or runs
// another build, if the attempt could repeat the effect of an earlier one, if a later build has answered the request's
// sticky key, or if the attempt is at a canary build whose exposure cap has dropped to 0. These things may change while
// the attempt waits for a connection. A cap that was lowered, but not to 0, takes effect when the attempt is connected.
func (lb *Balancer) AttemptAllowed(attempt *Attempt, now monotonic.Time) bool {
	request, endpoint := attempt.request, attempt.endpoint
	return !request.completed && !request.stopped && lb.endpointUsable(endpoint, now) &&
		endpoint.build == attempt.build && endpoint.startedAt == attempt.endpointStartedAt &&
		lb.repeatAllowed(request.opType, request.attempts[:attempt.number], endpoint, now) &&
		lb.canary.stickyKeys.Allows(request.key, attempt.build) &&
		!(lb.isCanary(attempt.build) && attempt.build <= lb.canary.build && lb.canary.cap <= 0)
}

// AttemptConnected decides again on an attempt that has waited for its connection, and reports whether it may be sent
// now: it is still allowed, its deadline has not passed, no messages that could forbid it are still unread, and the
// exposure cap has room for it. From then on the attempt counts as made now.
func (lb *Balancer) AttemptConnected(attempt *Attempt, now monotonic.Time) (maySend bool) {
	if now < lb.catchUpUntil || now >= attempt.request.deadline || !lb.AttemptAllowed(attempt, now) {
		return false
	}
	lb.discountExposure(attempt)
	if !lb.withinExposureCap(attempt.request, attempt.endpoint, now) {
		return false
	}
	lb.countExposure(attempt, now)
	return true
}

// RequireVerifiedBuilds restricts attempts to verified builds. No build counts as verified until BuildVerified is
// called.
func (lb *Balancer) RequireVerifiedBuilds() { lb.verifiedBuilds = map[int]bool{} }

// BuildVerified records whether a build is the one that was signed. It has no effect unless RequireVerifiedBuilds was
// called.
func (lb *Balancer) BuildVerified(build int, verified bool) {
	if lb.verifiedBuilds == nil {
		return
	}
	if delete(lb.verifiedBuilds, build); verified {
		lb.verifiedBuilds[build] = true
	}
}

// buildAllowed reports whether a build may get requests. If verification is required and no build is verified, all
// requests are queued, and rejected once too little time is left.
func (lb *Balancer) buildAllowed(build int) bool {
	return lb.verifiedBuilds == nil || lb.verifiedBuilds[build]
}
