package decision

import (
	"math"
	"testing"
	"time"

	"laurelring/decision/rollout"
)

// A slow build is rejected because its requests cost its endpoints more busy time (incident ha18a08); queues do not
// change the cost (incident ib4b670). A gateway that restarted during the canary phase has not counted the busy time
// that belongs to its peers' totals, and compares both from the time it receives their reports (incident i70baa1). A
// build that slows all endpoints raises the cost of the whole fleet (incident i673f1d). If only the baseline endpoints
// slow down, this is no evidence against the canary build (found by the socket benchmark, run 25).
func TestRejectsBuildWhoseRequestsCostMore(t *testing.T) {
	for _, c := range []struct {
		name             string
		canary, baseline float64 // utilization
		gatewayRestarted bool    // during the canary phase
		fleetReplaced    bool    // just before the canary phase
		rejected         bool
	}{
		{name: "slow canary", canary: 0.5, baseline: 0.3, rejected: true},
		{name: "quick canary", canary: 0.22, baseline: 0.3},
		{name: "canary slows all endpoints", canary: 0.9, baseline: 0.9, rejected: true},
		{name: "slow canary, gateway restarted", canary: 0.5, baseline: 0.3, gatewayRestarted: true, rejected: true},
		{name: "quick canary, gateway restarted", canary: 0.22, baseline: 0.3, gatewayRestarted: true},
		{name: "fleet just replaced", canary: 0.9, baseline: 0.9, fleetReplaced: true},
		{name: "baseline slows down", canary: 0.3, baseline: 0.9},
	} {
		gateway := newTestGateway(7, PromoteByAnyVote)
		gateway.addEndpoints(8, 0, 1)
		if gateway.peerFinishedHalves = 5000; !c.gatewayRestarted {
			gateway.balancer.RolloutChanged(RolloutStatus{Build: 1, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
			gateway.peerFinishedHalves = 0
		}
		for _, endpoint := range gateway.endpoints {
			gateway.balancer.LoadReported(endpoint, 0.3, gateway.now)
		}
		gateway.run(6*second, 0)
		// The backlog after an overload is not caused by any build: the endpoints that came with the last rollback have
		// just started.
		if c.fleetReplaced {
			gateway.balancer.slowStart.warmUp, gateway.balancer.slowStart.overloadSpan = 500*millisecond, 10*second
			for _, endpoint := range gateway.endpoints {
				gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: 1, Cell: endpoint.cell, Size: 2, StartedAt: gateway.now}, gateway.now)
			}
		}
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 0.25}, gateway.now)
		gateway.addEndpoints(4, gateway.now-20*second, 2)
		for _, endpoint := range gateway.endpoints {
			if gateway.balancer.LoadReported(endpoint, c.baseline, gateway.now); endpoint.build == 2 {
				gateway.balancer.LoadReported(endpoint, c.canary, gateway.now)
			}
		}
		gateway.run(6*second, 0)
		if rejected := gateway.balancer.currentVerdict(gateway.now) == VerdictRollBack; rejected != c.rejected {
			t.Errorf("%s: got rejected %v, want the opposite", c.name, rejected)
		}
	}
}

// Canary endpoints that became warm just before a report added the busy time of the whole interval, but only the few
// attempts since they were warm, so good builds were rolled back. Found by the socket benchmark, scenarios churn, long
// day and reload.
func TestBusyTimeCountsOverWholeIntervals(t *testing.T) {
	gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), 8)
	gateway.run(6*second, 0)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, gateway.now)
	gateway.addEndpoints(2, gateway.now-4*second-100*millisecond, 2) // warm for 0.1 s
	for tick, counts := range []bool{false, true, true} {
		for _, endpoint := range gateway.endpoints {
			gateway.balancer.LoadReported(endpoint, 0.5, gateway.now)
		}
		gateway.endpoints[0].evidence.byOpType[0].FinishedHalves += 100 // besides the attempts of the other baseline endpoints
		gateway.endpoints[8].evidence.byOpType[0].FinishedHalves += 2
		gateway.balancer.learnFleetBaseline(gateway.now)
		gateway.balancer.sumEvidence(gateway.now)
		if counted := gateway.endpoints[8].evidence.busyTime; (counted > 0) != counts {
			t.Errorf("interval %d: got busy time %.1f, want it above 0 from interval 1 on", tick, counted)
		}
		gateway.now += evidenceInterval
	}
}

// The baseline cost of a request changed with the learned latency of the machine types, was taken from the first
// seconds alone, and rose if endpoints were new. Found by the socket benchmark, runs 6, 9, 16 and 49.
func TestLearnsBaselineRequestCost(t *testing.T) {
	gateway := withEndpoints(newTestGateway(17, PromoteByAnyVote), 8)
	busy := func(span time.Duration, busy float64) float64 {
		for _, endpoint := range gateway.endpoints {
			endpoint.utilization = busy
		}
		gateway.run(span, 0)
		cost, _ := gateway.balancer.requestCost(gateway.now)
		return cost
	}
	before := busy(8*second, 0.3)
	gateway.balancer.machineType(0).relativeLatency, gateway.balancer.machineType(1).relativeLatency, gateway.balancer.machines.meanRelativeLatency = 1.4, 1.4, 1.4
	if cost, _ := gateway.balancer.requestCost(gateway.now); math.Abs(cost/before-1) > 0.01 {
		t.Errorf("cost is %.3f times the earlier cost once all answers are slower, want 1", cost/before)
	}
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
	if busy(4*second, 0.6); math.Abs(gateway.balancer.rollout.cost.baselineCost/before-2) > 0.3 {
		t.Errorf("learned cost is %.2f times the earlier cost before the build's first endpoint, want about 2", gateway.balancer.rollout.cost.baselineCost/before)
	}
	gateway.addEndpoints(1, gateway.now-9*second, 2)
	if busy(4*second, 1.2); math.Abs(gateway.balancer.rollout.cost.baselineCost/before-2) > 0.3 {
		t.Errorf("learned cost is %.2f times the earlier cost during the canary phase, want about 2", gateway.balancer.rollout.cost.baselineCost/before)
	}
	for _, endpoint := range gateway.endpoints { // all endpoints are replaced
		gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Build: endpoint.build, Size: 2}, gateway.now)
	}
	gateway.addEndpoints(9, gateway.now-9*second, 1)
	for range 4 {
		if cost := busy(second/2, 0.3); math.Abs(cost/before-1) > 0.3 {
			t.Errorf("cost is %.2f times the earlier cost with new endpoints of the same speed, want about 1", cost/before)
		}
	}
}

// The last reported utilization of an endpoint that nobody reaches never changes, and must not be counted as busy time.
// Found by the simulator benchmark, deployment lima-horarios-later, day big-2.
func TestIgnoresStaleUtilization(t *testing.T) {
	gateway := withEndpoints(newTestGateway(8, PromoteByAnyVote), 6)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
	gateway.balancer.LoadReported(gateway.endpoints[0], 0.9, gateway.now)
	for i := 0; i < 20; i++ {
		gateway.now += 500 * millisecond
		gateway.balancer.LoadReported(gateway.endpoints[1], 0.9, gateway.now)
		gateway.tick()
	}
	if stale, fresh := gateway.endpoints[0].evidence.busyTime, gateway.endpoints[1].evidence.busyTime; stale > fresh/2 {
		t.Errorf("got busy time %v from a stale utilization, want at most half of %v from a fresh one", stale, fresh)
	}
}

// An attempt that timed out may not have been executed, so it counts as half a finished attempt.
func TestTimeoutCountsAsHalfAFinishedAttempt(t *testing.T) {
	gateway := withEndpoints(newTestGateway(8, PromoteByAnyVote), 6)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
	gateway.now += 10 * second
	answered, timedOut := gateway.send(0, 0).attempts[0], gateway.send(0, 0).attempts[0]
	gateway.finish(answered, OutcomeSuccess)
	if gateway.finish(timedOut, OutcomeTimeout); answered.endpoint.evidence.byOpType[0].FinishedHalves+timedOut.endpoint.evidence.byOpType[0].FinishedHalves != 3 {
		t.Error("an answer and a timeout do not count as one and a half finished attempts")
	}
}

// The cost of an interval counts once three later intervals are known: by then a loss of messages would have been
// noticed, and the pending intervals would have been dropped.
func TestFleetCostCountsAfterADelay(t *testing.T) {
	var cost costState
	for i, want := range []float64{0, 0, 0, 1, 3, 6} { // intervals of 1, 2, 3... requests
		requests := float64(i + 1)
		cost.addFleetCost(rollout.FleetCost{Requests: requests, Cost: 2 * requests})
		if cost.fleetCost.Requests != want || cost.fleetCost.Cost != 2*want {
			t.Errorf("after %d intervals: got fleet cost %+v, want %v requests", i+1, cost.fleetCost, want)
		}
	}
}

// Busy time is compared from the start of a build only if the gateway ran before the build was seen.
func TestCostComparisonRestartsWithTheBuild(t *testing.T) {
	for _, ranBefore := range []bool{true, false} {
		gateway := newTestGateway(3, PromoteByAnyVote)
		gateway.addEndpoints(4, 0, 1)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 1, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
		gateway.balancer.rollout.statusReceived = ranBefore
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.5}, gateway.now)
		if cost := gateway.balancer.rollout.cost; (cost.totalsAtStart != nil) != ranBefore || cost.startedLate == ranBefore {
			t.Errorf("gateway ran before the build %v: got %+v", ranBefore, cost)
		}
	}
}
