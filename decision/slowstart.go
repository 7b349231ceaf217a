package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/slidingwindow"
)

const (
	utilizationTTL       = 2 * time.Second // an endpoint's report of its utilization is ignored once it is older
	usualThroughputGain  = 0.15            // weight of each new value in the smoothed usual throughput
	slowStartShare       = 0.65            // share of overloadMultiple that is used; the rest is left for random bursts
	maxSlowStartCapacity = 1.1             // limit as a multiple of what a warming endpoint can serve; more would queue
	maxShortageFactor    = 1.5             // limit of shortageFactor
	minBudgetRate        = 1e-9            // requests a second; keeps the gap between attempts finite
	minFleetCapacity     = 0.01            // avoids a division by zero while no endpoint is ready
)

// slowStartState limits the attempts at endpoints that have started recently.
type slowStartState struct {
	initialCapacity  float64       // share of its full capacity that an endpoint has when it starts
	warmUp           time.Duration // time from the start of an endpoint until it has its full capacity
	overloadMultiple float64       // an endpoint with load above this multiple of its current capacity is overloaded
	overloadSpan     time.Duration // time over which the requests at an endpoint are counted for overloadMultiple

	arrivals slidingwindow.Window // this gateway's requests
	// shortageFactor is the factor by which the load on each endpoint exceeds the usual load, as others are missing or
	// warming up. It is at least 1, and raises the limits of warming and canary endpoints.
	shortageFactor float64
	// usualThroughput is how many answers this gateway gets from a warm endpoint within overloadSpan, per unit of
	// relative capacity.
	usualThroughput float64
}

func newSlowStartState(config SlowStartConfig) slowStartState {
	return slowStartState{
		initialCapacity:  config.InitialCapacity,
		warmUp:           config.WarmUp,
		overloadMultiple: config.OverloadMultiple,
		overloadSpan:     config.OverloadSpan,
		shortageFactor:   1,
	}
}

// warmUpCapacity returns the least share of its full capacity that an endpoint has at an age.
func (s *slowStartState) warmUpCapacity(age time.Duration) float64 {
	return s.initialCapacity + (1-s.initialCapacity)*max(0, min(1, float64(age)/float64(max(s.warmUp, 1))))
}

// warmingUp reports whether attempts at an endpoint are limited by slow start: from its start until overloadSpan after
// the end of its warm-up, so that all requests within overloadSpan met a warm endpoint.
func (s *slowStartState) warmingUp(endpoint *Endpoint, now monotonic.Time) bool {
	return endpoint.startedAt > 0 && now-endpoint.startedAt <= s.warmUp+s.overloadSpan
}

// recordArrival counts a request that has arrived at this gateway.
func (s *slowStartState) recordArrival(now monotonic.Time) {
	s.arrivals.Add(now, max(s.overloadSpan, canaryShareSpan))
}

// withinSlowStart reports whether an endpoint may get one more attempt within the budget that its age allows. Gateways
// do not know each other's attempts. But if each limits a warming endpoint to a fraction of the share of its own
// requests that an endpoint of this size would get, all gateways together keep to that fraction as well.
func (lb *Balancer) withinSlowStart(endpoint *Endpoint, now monotonic.Time) bool {
	slowStart := &lb.slowStart
	if !slowStart.warmingUp(endpoint, now) {
		return true
	}
	share := lb.requestShare(endpoint, slowStart.overloadSpan, now)
	if slowStart.usualThroughput > 0 {
		share = min(share, slowStart.usualThroughput*lb.relativeCapacity(endpoint))
	}
	age := now - endpoint.startedAt
	budget := min(slowStart.overloadMultiple*slowStartShare, maxSlowStartCapacity*slowStart.shortageFactor) *
		slowStart.warmUpCapacity(age-slowStart.overloadSpan/2) * share
	return lb.withinBudget(budget, endpoint, slowStart.overloadSpan, now)
}

// withinBudget reports whether an endpoint's budget of attempts for a span allows one more. If the budget is below one
// attempt, the attempts are spaced further apart than the span, and the first one is due at a random time, so that the
// budgets of many gateways with few requests each add up to the intended total. If each of hundreds of gateways rounded
// its budget up to one attempt, the endpoint would be overloaded. The request rate is smoothed, as a random burst would
// make the budget look larger.
func (lb *Balancer) withinBudget(budget float64, endpoint *Endpoint, span time.Duration, now monotonic.Time) bool {
	if budget >= 1 {
		return float64(endpoint.recentAttempts.CountAfter(now-span-lb.tick)+1) <= budget
	}
	gap := float64(max(1, lb.slowStart.arrivals.CountAfter(now-span))) / max(budget*lb.requestRate(now), minBudgetRate) * float64(time.Second)
	if endpoint.lastAttemptAt == 0 {
		return float64(now-endpoint.learnedAt) >= gap*float64(lb.random.HashOf(endpoint.hashKey)>>40)/(1<<24)
	}
	return float64(now-endpoint.lastAttemptAt) >= gap
}

// requestShare returns how many of this gateway's requests within the last span an endpoint would get if they were
// distributed by relative capacity over the largest fleet seen so far.
func (lb *Balancer) requestShare(endpoint *Endpoint, span time.Duration, now monotonic.Time) float64 {
	relativeCapacity := lb.relativeCapacity(endpoint)
	return float64(lb.slowStart.arrivals.CountAfter(now-span)) * relativeCapacity / max(lb.endpointList.maxFleetCapacity, relativeCapacity)
}

// learnFleetBaseline learns the usual throughput, busy time and request cost of the fleet. Slow start uses the first,
// and the evaluation of a canary build the others.
func (lb *Balancer) learnFleetBaseline(now monotonic.Time) {
	lb.learnUsualThroughput(now)
	lb.recordBusyTime(now)
	lb.learnFleetCost(lb.baselineMostlyWarm(now), now)
}

// learnUsualThroughput learns how many answers per unit of relative capacity warm endpoints usually give this gateway,
// and updates shortageFactor. Answers are limited by what endpoints can serve. Requests and attempts are not, if
// clients retry or endpoints fail fast. While most of the fleet is warming up or missing, the earlier throughput is
// kept.
func (lb *Balancer) learnUsualThroughput(now monotonic.Time) {
	slowStart := &lb.slowStart
	warmCapacity, answers, capacity := 0.0, 0.0, 0.0
	for _, endpoint := range lb.endpoints {
		if !endpoint.ready {
			continue
		}
		capacity += slowStart.warmUpCapacity(now-endpoint.startedAt) * lb.relativeCapacity(endpoint)
		if !slowStart.warmingUp(endpoint, now) {
			warmCapacity += lb.relativeCapacity(endpoint)
			answers += float64(endpoint.recentSuccesses.CountAfter(now - slowStart.overloadSpan))
		}
	}
	if warmCapacity > lb.endpointList.maxFleetCapacity/2 {
		if slowStart.usualThroughput == 0 {
			slowStart.usualThroughput = answers / warmCapacity
		}
		slowStart.usualThroughput += usualThroughputGain * (answers/warmCapacity - slowStart.usualThroughput)
	}
	slowStart.shortageFactor = max(1, min(maxShortageFactor, lb.endpointList.maxFleetCapacity/max(capacity, minFleetCapacity)))
}

// recordBusyTime adds the busy time of each endpoint since the last call to the endpoint's evidence, based on the
// utilization that the endpoint reports. It skips endpoints without a recent report, as an endpoint that nobody reaches
// would keep its last utilization for ever. It also skips endpoints that became warm less than evidenceInterval ago,
// as their utilization covers work from before they were warm.
func (lb *Balancer) recordBusyTime(now monotonic.Time) {
	for _, endpoint := range lb.endpoints {
		if lb.isWarm(endpoint, now-evidenceInterval) && now-endpoint.utilizationAt < utilizationTTL {
			endpoint.evidence.busyTime += endpoint.utilization * lb.normalizedCapacity(endpoint)
		}
	}
}

// baselineMostlyWarm reports whether at least half of the ready endpoints of builds before the one under evaluation
// have finished their slow start.
func (lb *Balancer) baselineMostlyWarm(now monotonic.Time) bool {
	warming, warm := 0, 0
	for _, endpoint := range lb.endpoints {
		if !endpoint.ready || endpoint.build >= lb.rollout.build {
			continue
		}
		if lb.slowStart.warmingUp(endpoint, now) {
			warming++
		} else {
			warm++
		}
	}
	return warming <= warm
}
