package decision

import (
	"laurelring/decision/monotonic"
)

// mayAttempt checks an attempt against all rules, each on this gateway's own knowledge.
func (lb *Balancer) mayAttempt(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	return lb.requestMayBeAttempted(request, now) && lb.endpointUsable(endpoint, now) &&
		lb.repeatAllowed(request, endpoint, now) &&
		lb.withinExposureCap(request, endpoint, now) &&
		lb.withinSlowStart(endpoint, now)
}

func (lb *Balancer) requestMayBeAttempted(request *Request, now monotonic.Time) bool {
	return !request.completed && now < request.deadline && now >= lb.catchUpUntil &&
		len(request.attempts) < lb.attemptLimits.maxAttempts && request.inFlight == 0
}

// endpointUsable reports whether an endpoint may get any request: the list, as far as it is trusted, names it as ready, and
// its build is allowed.
func (lb *Balancer) endpointUsable(endpoint *Endpoint, now monotonic.Time) bool {
	return endpoint.listed && endpoint.ready && lb.trusted(endpoint, now) && lb.buildAllowed(endpoint.build)
}

// AttemptAllowed reports whether an attempt of which nothing has gone out may still go: not once its client has left, its
// endpoint is no longer usable or runs another build, or a canary build's exposure cap has come down to 0. It guards
// against connections that come up late; a lower cap above 0 binds the attempts that follow, with the window.
func (lb *Balancer) AttemptAllowed(attempt *Attempt, now monotonic.Time) bool {
	endpoint := attempt.endpoint
	return !attempt.request.completed && lb.endpointUsable(endpoint, now) && endpoint.build == attempt.build &&
		!(lb.isCanary(attempt.build) && attempt.build <= lb.canary.build && lb.canary.cap <= 0)
}

// MaySend reports whether an attempt of which nothing has gone out may go out now: it is still allowed, its time is not over,
// and what may speak against it has been read.
func (lb *Balancer) MaySend(attempt *Attempt, now monotonic.Time) bool {
	held := now < lb.catchUpUntil || lb.isCanary(attempt.build) && now < lb.canary.heldUntil
	return lb.AttemptAllowed(attempt, now) && now < attempt.request.deadline && !held
}

// RequireVerifiedBuilds lets attempts go to verified builds only, of which none is known yet.
func (lb *Balancer) RequireVerifiedBuilds() { lb.verifiedBuilds = map[int]bool{} }

// BuildVerified takes in whether a build is what was signed. Without RequireVerifiedBuilds it has no effect.
func (lb *Balancer) BuildVerified(build int, verified bool) {
	if lb.verifiedBuilds == nil {
		return
	}
	if delete(lb.verifiedBuilds, build); verified {
		lb.verifiedBuilds[build] = true
	}
}

// buildAllowed reports whether a build may get requests. Where verification is required and nothing is verified, all
// requests are queued, and refused when their time runs out.
func (lb *Balancer) buildAllowed(build int) bool {
	return lb.verifiedBuilds == nil || lb.verifiedBuilds[build]
}
