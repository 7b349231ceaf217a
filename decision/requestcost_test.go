package decision

import (
	"math"
	"testing"
	"time"
)

// Day ha18a08: the utilization of a slow build's endpoints shows that a request costs them more; queues, as on ib4b670, do
// not show there. Incident i70baa1: a gateway that started during the canary phase has not seen the busy time that belongs
// to its peers' totals, and counts both from when it does. Incident i673f1d: a build that slows all endpoints shows in the
// cost to the fleet, unless only the endpoints of earlier builds slow down, as on real sockets.
func TestRejectsBuildWhoseRequestsCostMore(t *testing.T) {
	for _, c := range []struct {
		name        string
		trial, base float64
		late, back  bool
		restarts    bool
	}{{"slow", 0.5, 0.3, false, true, false}, {"as fast", 0.22, 0.3, false, false, false},
		{"slows all", 0.9, 0.9, false, true, false}, {"started during the canary phase", 0.5, 0.3, true, true, false},
		{"started during the canary phase, as fast", 0.22, 0.3, true, false, false},
		{"after an overload", 0.9, 0.9, false, false, true}, {"earlier builds slow down", 0.3, 0.9, false, false, false}} {
		gateway := newTestGateway(7, PromoteByAnyVote)
		gateway.addEndpoints(8, 0, 1)
		if gateway.peerFinishedHalves = 5000; !c.late {
			gateway.balancer.RolloutChanged(RolloutStatus{Build: 1, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
			gateway.peerFinishedHalves = 0
		}
		for _, endpoint := range gateway.endpoints {
			gateway.balancer.LoadReported(endpoint, 0.3, gateway.now)
		}
		gateway.run(6*second, 0)
		// The backlog of an overload is not the build's doing: the endpoints that came with the rollback are young.
		if c.restarts {
			gateway.balancer.slowStart.warmUp, gateway.balancer.slowStart.overloadSpan = 500*millisecond, 10*second
			for _, endpoint := range gateway.endpoints {
				gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: 1, Cell: endpoint.cell, Size: 2, StartedAt: gateway.now}, gateway.now)
			}
		}
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 0.25}, gateway.now)
		gateway.addEndpoints(4, gateway.now-20*second, 2)
		for _, endpoint := range gateway.endpoints {
			if gateway.balancer.LoadReported(endpoint, c.base, gateway.now); endpoint.build == 2 {
				gateway.balancer.LoadReported(endpoint, c.trial, gateway.now)
			}
		}
		gateway.run(6*second, 0)
		if back := gateway.balancer.currentVerdict(gateway.now) == VerdictRollBack; back != c.back {
			t.Errorf("%s: rollback is %v", c.name, back)
		}
	}
}

// Canary endpoints that became warm just before a report was due showed the busy time of the whole interval beside the few
// requests since, and good builds were rolled back. Found on real sockets with churn.
func TestBusyTimeCountsOverWholeIntervals(t *testing.T) {
	gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), 8)
	gateway.run(6*second, 0)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, gateway.now)
	gateway.addEndpoints(2, gateway.now-4*second-100*millisecond, 2) // warm since 0.1 s
	for tick, counts := range []bool{false, true, true} {
		for _, endpoint := range gateway.endpoints {
			gateway.balancer.LoadReported(endpoint, 0.5, gateway.now)
		}
		gateway.endpoints[0].evidence.byOpType[0].FinishedHalves += 100 // beside the requests of earlier builds
		gateway.endpoints[8].evidence.byOpType[0].FinishedHalves += 2
		gateway.balancer.learnFleetBaseline(gateway.now)
		gateway.balancer.sumEvidence(gateway.now)
		if shown := gateway.endpoints[8].evidence.busyTime; (shown > 0) != counts {
			t.Errorf("interval %d: a busy time of %.1f", tick, shown)
		}
		gateway.now += evidenceInterval
	}
}

// The fleet's cost is compared with what it was. That moved with the relative latency of machine types, was taken from the
// first seconds alone, and rose where endpoints were new. Found on real sockets.
func TestLearnsRequestCostBeforeTheCanary(t *testing.T) {
	gateway := withEndpoints(newTestGateway(17, PromoteByAnyVote), 8)
	busy := func(span time.Duration, busy float64) float64 {
		for _, endpoint := range gateway.endpoints {
			endpoint.utilization = busy
		}
		gateway.run(span, 0)
		work, _ := gateway.balancer.requestCost(gateway.now)
		return work
	}
	before := busy(8*second, 0.3)
	gateway.balancer.machineType(0).relativeLatency, gateway.balancer.machineType(1).relativeLatency, gateway.balancer.machines.meanRelativeLatency = 1.4, 1.4, 1.4
	if work, _ := gateway.balancer.requestCost(gateway.now); math.Abs(work/before-1) > 0.01 {
		t.Errorf("the cost is %.3f of what it was once all answers are slower", work/before)
	}
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
	if busy(4*second, 0.6); math.Abs(gateway.balancer.rollout.cost.perRequest/before-2) > 0.3 {
		t.Errorf("before the build's first endpoint %.2f of the old cost is learned", gateway.balancer.rollout.cost.perRequest/before)
	}
	gateway.addEndpoints(1, gateway.now-9*second, 2)
	if busy(4*second, 1.2); math.Abs(gateway.balancer.rollout.cost.perRequest/before-2) > 0.3 {
		t.Errorf("during the canary phase %.2f of the old cost is learned", gateway.balancer.rollout.cost.perRequest/before)
	}
	for _, endpoint := range gateway.endpoints { // others replace all
		gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Build: endpoint.build, Size: 2}, gateway.now)
	}
	gateway.addEndpoints(9, gateway.now-9*second, 1)
	for range 4 {
		if work := busy(second/2, 0.3); math.Abs(work/before-1) > 0.3 {
			t.Errorf("new endpoints of the same cost show %.2f of it", work/before)
		}
	}
}

// An endpoint that nobody reaches reports the same for ever: that is no busy time of its build. Found on the day "big-2" of
// the grown deployment lima-horarios.
func TestIgnoresStaleUtilization(t *testing.T) {
	gateway := withEndpoints(newTestGateway(8, PromoteByAnyVote), 6)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
	gateway.balancer.LoadReported(gateway.endpoints[0], 0.9, gateway.now)
	for i := 0; i < 20; i++ {
		gateway.now += 500 * millisecond
		gateway.balancer.LoadReported(gateway.endpoints[1], 0.9, gateway.now)
		gateway.tick()
	}
	if old, fresh := gateway.endpoints[0].evidence.busyTime, gateway.endpoints[1].evidence.busyTime; old > fresh/2 {
		t.Errorf("a report that is never renewed counts %v beside %v of one that is", old, fresh)
	}
	// Expired requests may never have been executed, and count half against busy time.
	answered, expired := gateway.send(0, 0).attempts[0], gateway.send(0, 0).attempts[0]
	gateway.finish(answered, OutcomeSuccess)
	if gateway.finish(expired, OutcomeTimeout); answered.Endpoint.evidence.byOpType[0].FinishedHalves+expired.Endpoint.evidence.byOpType[0].FinishedHalves != 3 {
		t.Error("an answer and a timeout do not count as one and a half")
	}
}
