package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/slidingwindow"
)

const (
	utilizationTTL       = 2 * time.Second // an older report of an endpoint's utilization does not count
	usualThroughputGain  = 0.15            // of each new figure in the usual throughput
	slowStartShare       = 0.65            // of the multiple that overloads a warming endpoint; the rest is left for random bursts
	maxSlowStartCapacity = 1.1             // times what a warming endpoint can serve: more would only queue there
	maxShortageFactor    = 1.5             // times the usual for warming and canary endpoints while others are missing
	minBudgetRate        = 1e-9            // requests a second; keeps the gap between attempts finite
	minFleetCapacity     = 0.01
)

// slowStartState bounds the attempts at endpoints that have started lately.
type slowStartState struct {
	initialCapacity  float64       // share of its capacity that an endpoint has at its start
	warmUp           time.Duration // until it has all of it
	overloadMultiple float64       // of its present capacity: with more requests it is overloaded
	overloadSpan     time.Duration // over which those are counted

	arrivals        slidingwindow.Window // this gateway's requests
	shortageFactor  float64              // from 1 on: how much more than usual falls to each endpoint, as others are missing or warming up
	usualThroughput float64              // this gateway's answers from a warm endpoint within overloadSpan, per unit of relative capacity
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

// warmUpCapacity is the share of its capacity that an endpoint of an age has at least.
func (s *slowStartState) warmUpCapacity(age time.Duration) float64 {
	return s.initialCapacity + (1-s.initialCapacity)*max(0, min(1, float64(age)/float64(max(s.warmUp, 1))))
}

// warmingUp reports whether attempts at an endpoint are bounded: from its start until all requests of a span of overload
// came after it was warm.
func (s *slowStartState) warmingUp(endpoint *Endpoint, now monotonic.Time) bool {
	return endpoint.startedAt > 0 && now-endpoint.startedAt <= s.warmUp+s.overloadSpan
}

// recordArrival counts a request.
func (s *slowStartState) recordArrival(now monotonic.Time) {
	s.arrivals.Add(now, max(s.overloadSpan, canaryShareSpan))
}

// withinSlowStart reports whether an endpoint may get one more attempt within the budget that its age allows. Gateways do
// not know each other's attempts: if each keeps to a fraction of what an endpoint of that size would get of its own
// requests, the sum keeps to that fraction as well.
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

// withinBudget reports whether an endpoint's budget of attempts for a span allows one more. A budget below one attempt
// spaces them out over more than the span, from a random first moment, so that the budgets of many gateways that see little
// each add up to what they should. It guards against hundreds of gateways that each think one attempt little. The rate of
// requests is smoothed, as a random burst would make the share look larger.
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

// requestShare is how many of this gateway's requests of the last span fall to an endpoint by its capacity.
func (lb *Balancer) requestShare(endpoint *Endpoint, span time.Duration, now monotonic.Time) float64 {
	relativeCapacity := lb.relativeCapacity(endpoint)
	return float64(lb.slowStart.arrivals.CountAfter(now-span)) * relativeCapacity / max(lb.endpointList.maxFleetCapacity, relativeCapacity)
}

// learnFleetBaseline learns what the fleet usually does, for slow start and for the verdict on a canary build.
func (lb *Balancer) learnFleetBaseline(now monotonic.Time) {
	lb.learnUsualThroughput(now)
	lb.recordBusyTime(now)
	lb.learnFleetCost(lb.baselineMostlyWarm(now), now)
}

// learnUsualThroughput learns what warm endpoints usually answer this gateway for their relative capacity. Answers are bounded by what
// endpoints can serve; requests and attempts are not, where clients retry or endpoints fail fast. While most of the fleet
// is warming up or missing, the earlier figure stands.
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

// recordBusyTime adds each endpoint's busy time since the last call, by its own report, to its evidence. An endpoint that
// nobody reaches reports the same for ever, and one that has just become warm the work of the whole interval: neither
// counts.
func (lb *Balancer) recordBusyTime(now monotonic.Time) {
	for _, endpoint := range lb.endpoints {
		if lb.isWarm(endpoint, now-evidenceInterval) && now-endpoint.utilizationAt < utilizationTTL {
			endpoint.evidence.busyTime += endpoint.utilization * lb.normalizedCapacity(endpoint)
		}
	}
}

// baselineMostlyWarm reports whether most ready endpoints of builds before the one under judgement have finished their slow start.
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
