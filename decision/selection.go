package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	// ejectedProbeInterval is how often a suspect endpoint gets an attempt where no other endpoint is left.
	ejectedProbeInterval = 100 * time.Millisecond

	retryPenalty      = 4    // times the load that an endpoint counts with for a request that it has failed already
	crossZonePenalty  = 10   // how much the load in another zone counts more, for each unit of a crossing's cost
	minComparableSize = 0.01 // an endpoint counts as no smaller
)

// candidates are the endpoints that may get an attempt of a request.
type candidates struct {
	canary  []*Endpoint // healthy endpoints with room that run a canary build
	stable  []*Endpoint // and those of other builds
	suspect []*Endpoint // for a rare probe, where no healthy endpoint may serve the request at all
}

// candidates returns the endpoints that may get an attempt of a request. Suspect ones are among them only while no healthy
// one may serve it, full or not, and each only now and then: an endpoint that fails fast is never full and would get all.
func (lb *Balancer) candidates(request *Request, now monotonic.Time) candidates {
	var canary, stable, suspect []*Endpoint // local, so that the compiler keeps the short ones off the heap
	full, mayUseCanary := false, lb.canary.stickyKeys.MayBind(request.key, lb.canary.cap, lb.rollout.build)
	stableInFlight, stablePower := lb.stableInFlight()
	for _, endpoint := range lb.endpoints {
		isCanary := lb.isCanary(endpoint.build)
		if isCanary && !mayUseCanary || !lb.mayAttempt(request, endpoint, now) {
			continue
		}
		room := endpoint.limit.allows(len(endpoint.inFlight)) &&
			!(isCanary && !lb.withinCanaryShare(endpoint, stableInFlight, stablePower, now))
		healthy := !lb.isSuspect(endpoint, now) && !lb.onProbationFor(request, endpoint, now)
		switch {
		case healthy && !room:
			full = true
		case healthy && isCanary:
			canary = append(canary, endpoint)
		case healthy:
			stable = append(stable, endpoint)
		case room && lb.mayProbe(request, endpoint, now):
			suspect = append(suspect, endpoint)
		}
	}
	if full {
		suspect = nil
	}
	return candidates{
		canary:  lb.preferHealthyZones(lb.preferResponsive(canary, now), now),
		stable:  lb.preferHealthyZones(lb.preferResponsive(stable, now), now),
		suspect: suspect,
	}
}

// onProbationFor reports whether an endpoint that failed lately is not to get a request that must not execute twice.
func (lb *Balancer) onProbationFor(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	return (endpoint.consecutiveFailures > 0 || now < endpoint.outlierUntil) && request.opType.idempotency == NonIdempotent
}

// mayProbe reports whether a suspect endpoint may get a request.
func (lb *Balancer) mayProbe(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	return endpoint.recentAttempts.CountAfter(now-ejectedProbeInterval) == 0 &&
		!(request.opType.idempotency == NonIdempotent && lb.isOverdue(endpoint, now))
}

// leastLoadedOfTwo draws two endpoints at random and returns the one with the lower load.
func (lb *Balancer) leastLoadedOfTwo(endpoints []*Endpoint, request *Request) *Endpoint {
	n := len(endpoints)
	first := lb.random.Below(n)
	second := (first + 1 + lb.random.Below(max(n-1, 1))) % n
	a, b := endpoints[first], endpoints[second]
	if lb.loadOf(b, request) < lb.loadOf(a, request) {
		return b
	}
	return a
}

// loadOf is the load by which two endpoints are compared for a request: this gateway's own attempts in flight there, by
// the endpoint's size and speed.
func (lb *Balancer) loadOf(endpoint *Endpoint, request *Request) float64 {
	load := float64(len(endpoint.inFlight)+1) * endpoint.relativeLatency / max(endpoint.size, minComparableSize)
	for _, attempt := range request.attempts {
		if attempt.endpoint == endpoint {
			load *= retryPenalty
		}
	}
	if endpoint.zone != lb.zone {
		load *= 1 + crossZonePenalty*lb.attemptLimits.crossZoneCost
	}
	return load
}
