package decision

import (
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
)

// lostAttemptCost is the share of a request's cost that an attempt which was lost or late may have caused.
const lostAttemptCost = 0.5

// learnFleetCost compares what a request costs the fleet now with what it cost before the build under judgement. mature
// tells whether most baseline endpoints are past their slow start: a fleet that has just been replaced works off a backlog.
func (lb *Balancer) learnFleetCost(mature bool, now monotonic.Time) {
	rollout := &lb.rollout
	if work, acked := lb.requestCost(now); acked == 0 || now-rollout.underReportedAt < observationDecay {
		// Nothing to go by: only voters hear all, and answers come after work. Guards against lost messages too.
	} else if rollout.ownCounters == nil && rollout.baselineCost == 0 {
		rollout.baselineCost = work
	} else if rollout.ownCounters == nil || lb.canary.phase == PhaseCanary && lb.canaryEndpoints() == 0 { // none listed yet
		rollout.baselineCost += baselineCostGain * (work - rollout.baselineCost)
	} else if rollout.baselineCost > 0 && mature { // not while the fleet has just gone back from a jam
		// What commands cost the fleet, in those of before the build.
		per := acked * float64(evidenceInterval) / float64(observationDecay) // since the last time
		rollout.pendingFleetCost = append(rollout.pendingFleetCost, [2]float64{per, per * min(work/rollout.baselineCost, 10)})
		if old := rollout.pendingFleetCost[0]; time.Duration(len(rollout.pendingFleetCost)) > evidenceTTL/evidenceInterval { // by now a loss of messages would show
			rollout.fleetCost[0], rollout.fleetCost[1], rollout.pendingFleetCost = rollout.fleetCost[0]+old[0], rollout.fleetCost[1]+old[1], rollout.pendingFleetCost[1:]
		}
	}
}

// work is what a command costs warm machines lately, by their own figures and all gateways' answers, and
// how many answers that was; no answers where none reports a figure.
func (lb *Balancer) requestCost(now monotonic.Time) (work, acked float64) {
	busy := 0.0
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && now-endpoint.startedAt > lb.slowStart.warmUp && now-endpoint.utilizationAt < utilizationTTL {
			endpoint.recordResults(0, 0, now)
			busy += endpoint.utilization * lb.normalizedPower(endpoint)
			// Made up for what nobody could tell before we heard all, or before the machine was known.
			since := max(now-max(lb.rollout.underReportedAt, endpoint.learnedAt), evidenceInterval)
			acked += (endpoint.decayedSuccesses + lostAttemptCost*endpoint.decayedLosses) / (1 - decay.Factor(0, since, observationDecay))
		}
	}
	if busy == 0 || acked == 0 {
		return 0, 0
	}
	return busy / acked, acked
}
