package decision

import (
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
	"laurelring/decision/slidingwindow"
)

const (
	utilizationTTL       = 2 * time.Second // a machine's figure is stale after this
	usualThroughputGain  = 0.15            // of each new figure of what a warm machine answers us
	lostAttemptCost      = 0.5             // of a command's work that one which came late or never may have cost
	slowStartShare       = 0.65            // of the multiple that pushes a cold instance over; the rest is left for chance
	maxSlowStartCapacity = 1.1             // of what a cold instance can do: more would only queue there
	maxShortage          = 1.5             // times as much for cold and trial machines while others are gone or cold: all share it
)

// coldRoom bounds what a fresh instance gets, as a budget over the stated span. The gateways do not hear of
// each other's deliveries; if each keeps to a fraction of what an instance of that size would get of its
// own commands, the sum keeps to that fraction as well.
func (lb *Balancer) withinSlowStart(endpoint *Endpoint, now monotonic.Time) bool {
	slowStart := &lb.slowStart
	age := now - endpoint.startedAt
	if endpoint.startedAt <= 0 || age > slowStart.warmUp+slowStart.overloadSpan {
		return true
	}
	share := lb.requestShare(endpoint, slowStart.overloadSpan, now)
	if slowStart.usualThroughput > 0 {
		share = min(share, slowStart.usualThroughput*lb.power(endpoint))
	}
	quota := min(slowStart.overloadMultiple*slowStartShare, maxSlowStartCapacity*slowStart.shortage) * lb.warmUpCapacity(age-slowStart.overloadSpan/2) * share
	return lb.withinBudget(quota, endpoint, slowStart.overloadSpan, now)
}

// within tells whether a machine's budget for a span allows another delivery. One below a single delivery
// spaces them out over more than the span, from a first moment by lot, so that the budgets of many gateways
// that see little each add up to what they should. Guards against hundreds of gateways that each think one
// delivery little. The rate of our commands is smoothed, as in a chance burst the share would look larger.
func (lb *Balancer) withinBudget(budget float64, endpoint *Endpoint, span time.Duration, now monotonic.Time) bool {
	if budget >= 1 {
		return float64(endpoint.recentAttempts.CountAfter(now-span-lb.tick)+1) <= budget
	}
	gap := float64(max(1, lb.slowStart.arrivals.CountAfter(now-span))) / max(budget*lb.requestRate(now), 1e-9) * float64(time.Second)
	if endpoint.lastAttemptAt == 0 {
		return float64(now-endpoint.learnedAt) >= gap*float64(lb.random.HashOf(endpoint.drawKey)>>40)/(1<<24)
	}
	return float64(now-endpoint.lastAttemptAt) >= gap
}

// recall learns what warm machines usually answer us for their power within the cold span. Answers are
// bounded by what machines can do; what is asked or sent is not, where clients retry or machines fail fast.
// While most of the fleet is cold or gone, what it did before stands. It also keeps what the judging holds
// the fleet against.
func (lb *Balancer) learnFleetBaseline(now monotonic.Time) {
	power, acked, there := 0.0, 0.0, 0.0
	young, grown := 0, 0 // machines of earlier builds
	for _, endpoint := range lb.endpoints {
		if !endpoint.ready {
			continue
		}
		there += lb.warmUpCapacity(now-endpoint.startedAt) * lb.power(endpoint)
		// One that nobody reaches says the same for ever; one just warm shows the work of the whole interval.
		if lb.isWarm(endpoint, now-evidenceInterval) && now-endpoint.utilizationAt < utilizationTTL {
			endpoint.busyTime += endpoint.utilization * lb.normalizedPower(endpoint)
		}
		fresh := endpoint.startedAt > 0 && now-endpoint.startedAt <= lb.slowStart.warmUp+lb.slowStart.overloadSpan
		if !fresh {
			power += lb.power(endpoint)
			acked += float64(endpoint.recentSuccesses.CountAfter(now - lb.slowStart.overloadSpan))
		}
		if endpoint.build < lb.rollout.build && fresh {
			young++
		} else if endpoint.build < lb.rollout.build {
			grown++
		}
	}
	if power > lb.endpointList.maxPower/2 {
		if lb.slowStart.usualThroughput == 0 {
			lb.slowStart.usualThroughput = acked / power
		}
		lb.slowStart.usualThroughput += usualThroughputGain * (acked/power - lb.slowStart.usualThroughput)
	}
	lb.slowStart.shortage = max(1, min(maxShortage, lb.endpointList.maxPower/max(there, 0.01)))
	rollout := &lb.rollout
	if work, acked := lb.requestCost(now); acked == 0 || now-rollout.underReportedAt < observationDecay {
		// Nothing to go by: only voters hear all, and answers come after work. Guards against lost messages too.
	} else if rollout.ownCounters == nil && rollout.baselineCost == 0 {
		rollout.baselineCost = work
	} else if rollout.ownCounters == nil || lb.canary.phase == PhaseCanary && lb.canaryEndpoints() == 0 { // none listed yet
		rollout.baselineCost += baselineCostGain * (work - rollout.baselineCost)
	} else if rollout.baselineCost > 0 && young <= grown { // not while the fleet has just gone back from a jam
		// What commands cost the fleet, in those of before the build.
		per := acked * float64(evidenceInterval) / float64(observationDecay) // since the last time
		rollout.pendingFleetCost = append(rollout.pendingFleetCost, [2]float64{per, per * min(work/rollout.baselineCost, 10)})
		if old := rollout.pendingFleetCost[0]; time.Duration(len(rollout.pendingFleetCost)) > evidenceTTL/evidenceInterval { // by now a loss of messages would show
			rollout.fleetCost[0], rollout.fleetCost[1], rollout.pendingFleetCost = rollout.fleetCost[0]+old[0], rollout.fleetCost[1]+old[1], rollout.pendingFleetCost[1:]
		}
	}
}

// share is the number of this gateway's commands of the last span that fall to an instance by its power.
func (lb *Balancer) requestShare(endpoint *Endpoint, span time.Duration, now monotonic.Time) float64 {
	power := lb.power(endpoint)
	return float64(lb.slowStart.arrivals.CountAfter(now-span)) * power / max(lb.endpointList.maxPower, power)
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

// able is the share of its capacity that an instance of this age has at least.
func (lb *Balancer) warmUpCapacity(age time.Duration) float64 {
	return lb.slowStart.initialCapacity + (1-lb.slowStart.initialCapacity)*max(0, min(1, float64(age)/float64(max(lb.slowStart.warmUp, 1))))
}

// cold bounds deliveries to an instance that has just started.
type slowStartState struct {
	initialCapacity  float64
	warmUp           time.Duration
	overloadMultiple float64
	overloadSpan     time.Duration
	arrivals         slidingwindow.Window
	shortage         float64 // times its usual share that a machine gets as far as it can, as others are gone or cold
	usualThroughput  float64 // what a warm machine answers us for its power within the span
}
