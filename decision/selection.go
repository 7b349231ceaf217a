package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	// suspectProbeInterval is the shortest time between two attempts at a suspect endpoint, which gets attempts only if
	// no other endpoint is left.
	suspectProbeInterval = 100 * time.Millisecond

	retryPenalty      = 4    // factor on an endpoint's load for each earlier attempt of the same request there
	crossZonePenalty  = 10   // relative increase of the load in another zone, per unit of the cross-zone cost
	minComparableSize = 0.01 // lower bound of an endpoint's size when loads are compared
)

// candidates holds the endpoints that may get an attempt of a request.
type candidates struct {
	canary  []*Endpoint // healthy endpoints of canary builds that are below their limits
	stable  []*Endpoint // healthy endpoints of other builds that are below their limits
	suspect []*Endpoint // suspect endpoints to probe if both other lists are empty; nil if a healthy endpoint is full
}

// candidates returns the endpoints that may get an attempt of a request. Suspect endpoints are for requests that no
// healthy endpoint may serve, not for requests that could be queued until a healthy endpoint has room again, and each
// of them gets at most one attempt per suspectProbeInterval. An endpoint that fails fast is never full and would
// otherwise get all requests.
func (lb *Balancer) candidates(request *Request, now monotonic.Time) candidates {
	var canary, stable, suspect []*Endpoint // local variables, so that the compiler keeps short slices off the heap
	full, mayUseCanary := false, lb.canary.stickyKeys.MayBind(request.key, lb.canary.cap, lb.rollout.build)
	stableInFlight, stableCapacity := lb.stableInFlight()
	for _, endpoint := range lb.endpoints {
		isCanary := lb.isCanary(endpoint.build)
		if isCanary && !mayUseCanary || !lb.mayAttempt(request, endpoint, now) {
			continue
		}
		room := endpoint.limit.allows(len(endpoint.inFlight)) &&
			!(isCanary && !lb.withinCanaryShare(endpoint, stableInFlight, stableCapacity, now))
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

// onProbationFor reports whether an endpoint must not get a request because it failed lately or is an outlier. This
// applies to non-idempotent requests only, as they must not execute twice.
func (lb *Balancer) onProbationFor(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	return (endpoint.consecutiveEjections > 0 || now < endpoint.outlierUntil) && request.opType.idempotency == NonIdempotent
}

// mayProbe reports whether a suspect endpoint may get a request: it has had no attempt within suspectProbeInterval, and
// it is not overdue if the request is non-idempotent.
func (lb *Balancer) mayProbe(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	return endpoint.recentAttempts.CountAfter(now-suspectProbeInterval) == 0 &&
		!(request.opType.idempotency == NonIdempotent && lb.isOverdue(endpoint, now))
}

// leastLoadedOfTwo picks two endpoints at random and returns the one with the lower load.
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

// loadOf returns the load by which endpoints are compared for a request: this gateway's own attempts in flight at the
// endpoint, relative to its size and speed, with penalties for retries and for leaving the zone.
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
