package decision

import (
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

const (
	// lostAttemptCost is the share of a request's cost that an attempt without a timely answer is assumed to have
	// caused.
	lostAttemptCost = 0.5
	// baselineCostGain is the weight of each new value in the smoothed cost of a request before the build.
	baselineCostGain = 0.3
	// maxCostRatio limits what one interval adds to the fleet's cost, in multiples of the cost before the build.
	maxCostRatio = 10
	// fleetCostDelay is the number of intervals after which the fleet's cost of an interval counts. A loss of messages
	// is noticed within this time.
	fleetCostDelay = evidenceTTL / evidenceInterval
)

// costState is the state of the comparison of request costs. Costs are known only if endpoints report their
// utilization.
type costState struct {
	totalsAtStart     rollout.Table       // all gateways' totals when the comparison started; nil without a comparison
	startedAt         monotonic.Time      // when the comparison started; 0 if that was when the build was first seen
	startedLate       bool                // it started after the build was first seen; see reconcileTotals
	comparable        bool                // the comparison has run long enough to be used
	baselineCost      float64             // cost of a request to the fleet before the build; 0 while unknown
	fleetCost         rollout.FleetCost   // cost of requests to the fleet since the stage began
	pendingFleetCosts []rollout.FleetCost // fleet costs of the latest intervals, not yet counted in fleetCost
}

// restart resets the comparison for a new build. If totalsAtStart is nil, busy time is not counted until most gateways
// are reporting.
func (c *costState) restart(totalsAtStart rollout.Table) {
	c.totalsAtStart, c.startedAt, c.startedLate = totalsAtStart, 0, totalsAtStart == nil
	c.fleetCost = rollout.FleetCost{}
}

// restartCostComparison starts to count busy time, and the finished attempts that belong to it, from now on, as not all
// gateways have counted the busy time before.
func (lb *Balancer) restartCostComparison(now monotonic.Time) {
	cost, evidence := &lb.rollout.cost, &lb.rollout.evidence
	cost.totalsAtStart, cost.startedAt, cost.startedLate = lb.pooledCounters(), now, true
	evidence.previousBusyTime, evidence.busyTime, evidence.departedBusyTime = rollout.BusyTime{}, rollout.BusyTime{}, rollout.BusyTime{}
	for _, endpoint := range lb.endpoints {
		endpoint.evidence.busyTime = 0
	}
}

// learnFleetCost updates the cost of a request before the build while no endpoint runs the build under evaluation, and
// compares the fleet's current cost with it after that. mature reports whether most baseline endpoints have finished
// their slow start: a fleet that has just been replaced still works off a backlog. Only voters receive reports of
// enough gateways to measure costs.
func (lb *Balancer) learnFleetCost(mature bool, now monotonic.Time) {
	state, cost := &lb.rollout, &lb.rollout.cost
	current, answers := lb.requestCost(now)
	// Answers become known later than busy time, so costs are unknown for a while after reports were missing.
	if answers == 0 || now-state.peers.tooFewReportingAt < observationDecay {
		return
	}
	switch {
	case !state.evaluating() && cost.baselineCost == 0:
		cost.baselineCost = current
	case !state.evaluating() || lb.canary.phase == PhaseCanary && lb.canaryEndpoints() == 0:
		// No listed endpoint runs a build under evaluation.
		cost.baselineCost += baselineCostGain * (current - cost.baselineCost)
	case cost.baselineCost > 0 && mature:
		requests := answers * float64(evidenceInterval) / float64(observationDecay) // requests of this interval
		cost.addFleetCost(rollout.FleetCost{Requests: requests, Cost: requests * min(current/cost.baselineCost, maxCostRatio)})
	}
}

// addFleetCost queues the cost of one interval, and counts the cost of the interval fleetCostDelay intervals before it.
func (c *costState) addFleetCost(interval rollout.FleetCost) {
	c.pendingFleetCosts = append(c.pendingFleetCosts, interval)
	if time.Duration(len(c.pendingFleetCosts)) > fleetCostDelay {
		c.fleetCost.Add(c.pendingFleetCosts[0])
		c.pendingFleetCosts = c.pendingFleetCosts[1:]
	}
}

// requestCost returns the recent cost of a request at warm endpoints, in busy time per answer, and the number of
// answers. It uses the utilization that endpoints report and the results of all gateways. Without a utilization report
// it returns 0 answers.
func (lb *Balancer) requestCost(now monotonic.Time) (cost, answers float64) {
	busyTime := 0.0
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && now-endpoint.startedAt > lb.slowStart.warmUp && now-endpoint.utilizationAt < utilizationTTL {
			endpoint.recordResults(0, 0, now)
			busyTime += endpoint.utilization * lb.normalizedCapacity(endpoint)
			// Corrects for the time in which results were not counted, as too few peers were reporting or the endpoint
			// was not yet listed.
			countedFor := max(now-max(lb.rollout.peers.tooFewReportingAt, endpoint.learnedAt), evidenceInterval)
			answers += (endpoint.decayedSuccesses + lostAttemptCost*endpoint.decayedLosses) / (1 - decay.Factor(0, countedFor, observationDecay))
		}
	}
	if busyTime == 0 || answers == 0 {
		return 0, 0
	}
	return busyTime / answers, answers
}
