package decision

import (
	"laurelring/decision/monotonic"
)

// candidates are the instances that may have this command; those in doubt only where no other may serve at
// all, and now and then: a machine that fails fast is never full and would draw everything.
func (lb *Balancer) candidates(request *Request, now monotonic.Time) (trial, others, doubtful []*Endpoint) {
	full, pin := false, lb.canary.stickyKeys.MayBind(request.key, lb.canary.cap, lb.rollout.build)
	open, power := lb.stableInFlight()
	for _, endpoint := range lb.endpoints {
		on := lb.isCanary(endpoint.build)
		if on && !pin || !lb.mayAttempt(request, endpoint, now) {
			continue
		}
		room := float64(len(endpoint.inFlight)) < endpoint.concurrencyLimit && !(on && !lb.withinCanaryShare(endpoint, open, power, now))
		sound := !lb.isSuspect(endpoint, now) && !((endpoint.consecutiveFailures > 0 || now < endpoint.outlierUntil) && request.opType.idempotency == NonIdempotent)
		switch {
		case sound && !room:
			full = true
		case sound && on:
			trial = append(trial, endpoint)
		case sound:
			others = append(others, endpoint)
		case room && endpoint.recentAttempts.CountAfter(now-ejectedProbeInterval) == 0 && !(request.opType.idempotency == NonIdempotent && lb.isOverdue(endpoint, now)):
			doubtful = append(doubtful, endpoint)
		}
	}
	if full {
		doubtful = nil
	}
	return lb.preferHealthyZones(lb.preferResponsive(trial, now), now), lb.preferHealthyZones(lb.preferResponsive(others, now), now), doubtful
}

// near leaves out the machines of other zones from which far more of our deliveries come late or never than
// from our own. Guards against ways between zones that are slow, lossy or cut; where our zone is short of
// machines, its own answers come late too, and the others are used again.
func (lb *Balancer) preferHealthyZones(some []*Endpoint, now monotonic.Time) []*Endpoint {
	worse := lb.zoneLateRate(lb.zone, now) + zoneLateMargin
	return filterOrAll(some, func(endpoint *Endpoint) bool {
		return endpoint.zone == lb.zone || lb.zoneLateRate(endpoint.zone, now) < worse
	})
}

// known keeps to the machines that answered us lately where many deliveries find no connection: theirs may
// still be open. Guards against machines that accept few connections and ways that are shut for us alone; a
// gateway may crowd a few machines that way.
func (lb *Balancer) preferResponsive(some []*Endpoint, now monotonic.Time) []*Endpoint {
	if lb.connectFailureRate < connectFailureThreshold {
		return some
	}
	return filterOrAll(some, func(endpoint *Endpoint) bool { return endpoint.lastResponseAt > now-responsiveTTL })
}

// fewer draws two instances and takes the one with fewer of ours in flight for its size and speed.
func (lb *Balancer) leastLoadedOfTwo(some []*Endpoint, request *Request) *Endpoint {
	n := len(some)
	first := lb.random.Below(n)
	a, b := some[first], some[(first+1+lb.random.Below(max(n-1, 1)))%n]
	if lb.loadOf(b, request) < lb.loadOf(a, request) {
		return b
	}
	return a
}

// burden is what decides between two instances: our own in flight there.
func (lb *Balancer) loadOf(endpoint *Endpoint, request *Request) float64 {
	load := float64(len(endpoint.inFlight)+1) * endpoint.relativeLatency / max(endpoint.size, 0.01)
	for _, attempt := range request.attempts {
		if attempt.Endpoint == endpoint {
			load *= 4 // it has failed this command already
		}
	}
	if endpoint.zone != lb.zone {
		load *= 1 + 10*lb.attemptLimits.crossZoneCost
	}
	return load
}

// keep gives those that are wanted, or all where none is.
func filterOrAll(some []*Endpoint, wanted func(*Endpoint) bool) []*Endpoint {
	var kept []*Endpoint
	for _, endpoint := range some {
		if wanted(endpoint) {
			kept = append(kept, endpoint)
		}
	}
	if len(kept) == 0 {
		return some
	}
	return kept
}
