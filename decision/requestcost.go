package decision

import (
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

const (
	// lostAttemptCost is the share of a request's cost that an attempt which was lost or late may have caused.
	lostAttemptCost = 0.5
	// baselineCostGain is the weight of each new figure in the smoothed cost of a request before the build.
	baselineCostGain = 0.3
	// maxCostRatio bounds what one interval adds to the fleet's cost, in multiples of the cost before the build.
	maxCostRatio = 10
	// fleetCostDelay is how many intervals the fleet's cost waits before it counts: by then a loss of messages would show.
	fleetCostDelay = evidenceTTL / evidenceInterval
)

// costState compares what requests cost, as far as endpoints report how busy they are.
type costState struct {
	totalsAtStart     rollout.Table  // all gateways' totals when busy time began to be counted; nil while it is not
	startedAt         monotonic.Time // when that was; 0 where it was as the build was first seen
	startedLate       bool           // after the build was first seen: totals of peers heard later count from then on
	comparable        bool           // long enough ago
	baselineCost      float64        // what a request cost the fleet before the build; 0 while it is not known
	fleetCost         rollout.FleetCost
	pendingFleetCosts []rollout.FleetCost // the latest of the same, not yet counted
}

// restart begins a new build: without start, busy time is not counted until most gateways are heard.
func (c *costState) restart(start rollout.Table) {
	c.totalsAtStart, c.startedAt, c.startedLate = start, 0, start == nil
	c.fleetCost = rollout.FleetCost{}
}

// restartCostComparison begins to count busy time and finished attempts beside it: busy time before now was not seen by all.
func (lb *Balancer) restartCostComparison(now monotonic.Time) {
	cost, evidence := &lb.rollout.cost, &lb.rollout.evidence
	cost.totalsAtStart, cost.startedAt, cost.startedLate = lb.pooledCounters(), now, true
	evidence.previousBusyTime, evidence.busyTime, evidence.departedBusyTime = rollout.BusyTime{}, rollout.BusyTime{}, rollout.BusyTime{}
	for _, endpoint := range lb.endpoints {
		endpoint.evidence.busyTime = 0
	}
}

// learnFleetCost learns what a request costs the fleet while no endpoint runs the build under judgement, and compares what it
// costs after that. mature reports whether most baseline endpoints are past their slow start: a fleet that has just been
// replaced works off a backlog. Only voters hear enough gateways to learn anything.
func (lb *Balancer) learnFleetCost(mature bool, now monotonic.Time) {
	state, cost := &lb.rollout, &lb.rollout.cost
	current, answers := lb.requestCost(now)
	if answers == 0 || now-state.peers.tooFewReportingAt < observationDecay { // answers are known later than busy time
		return
	}
	switch {
	case !state.evaluating() && cost.baselineCost == 0:
		cost.baselineCost = current
	case !state.evaluating() || lb.canary.phase == PhaseCanary && lb.canaryEndpoints() == 0: // none listed yet
		cost.baselineCost += baselineCostGain * (current - cost.baselineCost)
	case cost.baselineCost > 0 && mature:
		requests := answers * float64(evidenceInterval) / float64(observationDecay) // of this interval
		cost.addFleetCost(rollout.FleetCost{Requests: requests, Cost: requests * min(current/cost.baselineCost, maxCostRatio)})
	}
}

// addFleetCost takes in one interval, and counts the one of fleetCostDelay intervals before.
func (c *costState) addFleetCost(interval rollout.FleetCost) {
	c.pendingFleetCosts = append(c.pendingFleetCosts, interval)
	if time.Duration(len(c.pendingFleetCosts)) > fleetCostDelay {
		c.fleetCost.Add(c.pendingFleetCosts[0])
		c.pendingFleetCosts = c.pendingFleetCosts[1:]
	}
}

// requestCost returns what a request costs warm endpoints lately, by their own utilization and all gateways' results, and how
// many answers that was; no answers where no endpoint reports a utilization.
func (lb *Balancer) requestCost(now monotonic.Time) (cost, answers float64) {
	busy := 0.0
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && now-endpoint.startedAt > lb.slowStart.warmUp && now-endpoint.utilizationAt < utilizationTTL {
			endpoint.recordResults(0, 0, now)
			busy += endpoint.utilization * lb.normalizedPower(endpoint)
			// Compensates for results that were not known before this gateway heard most others, or the endpoint was listed.
			since := max(now-max(lb.rollout.peers.tooFewReportingAt, endpoint.learnedAt), evidenceInterval)
			answers += (endpoint.decayedSuccesses + lostAttemptCost*endpoint.decayedLosses) / (1 - decay.Factor(0, since, observationDecay))
		}
	}
	if busy == 0 || answers == 0 {
		return 0, 0
	}
	return busy / answers, answers
}
