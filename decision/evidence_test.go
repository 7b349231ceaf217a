package decision

import (
	"testing"
	"time"

	"laurelring/decision/rollout"
	"laurelring/decision/sequentialtest"
)

// A build that began to fail after its release stayed, as thousands of successes hid ten failures. Found on real sockets
// with heavy traffic.
func TestRejectsBuildThatBeginsToFailAfterItsRelease(t *testing.T) {
	gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
	gateway.addEndpoints(8, gateway.now-20*second, 2)
	gateway.endpoints[0].evidence.byOpType[0] = rollout.Counters{Attempts: 1500, Failures: 1}
	for step, tries := range []uint32{4000, 4000, 4225} { // canary, released, later
		if step == 1 {
			gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
		}
		gateway.endpoints[8].evidence.byOpType[0] = rollout.Counters{Attempts: tries, Failures: (tries - 4000) / 22}
		gateway.balancer.sumEvidence(gateway.now)
		if all := gateway.balancer.evidence().All; (all >= sequentialtest.LogThreshold()) != (step == 2) {
			t.Errorf("step %d: e^%.1f against the build", step, all)
		}
	}
}

// A build that fails 15 requests in a thousand is rolled back where failed effects cost much, and stays where serving by
// an earlier build costs as much.
func TestRejectionFollowsLagAndHarmCosts(t *testing.T) {
	for harm, back := range map[float64]bool{8: true, 0.3: false, 0: false} {
		gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
		gateway.balancer.rollout.settings.harmCost = harm
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 1, Phase: PhaseCanary, ExposureCap: 0.5}, gateway.now)
		gateway.addEndpoints(4, gateway.now-20*second, 2)
		for _, endpoint := range gateway.endpoints {
			endpoint.evidence.byOpType[0] = rollout.Counters{Attempts: 1000}
			if endpoint.build == 2 {
				endpoint.evidence.byOpType[0].Failures = 15
			}
		}
		gateway.balancer.sumEvidence(gateway.now)
		if all := gateway.balancer.evidence().All; (all >= sequentialtest.LogThreshold()) != back {
			t.Errorf("harm %v: e^%v against the build", harm, all)
		}
	}
}

// Errors of one canary endpoint among several are its own. All of them failing is the build's fault, though with no
// endpoint of an earlier build left it is found only a while later.
func TestLeavesOutliersOutOfTheEvidence(t *testing.T) {
	for _, c := range []struct{ ill, base int }{{1, 8}, {4, 8}, {4, 0}} {
		gateway := withEndpoints(newTestGateway(4, PromoteByAnyVote), 8)
		gateway.run(4*second, 0)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 3, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
		gateway.addEndpoints(4, gateway.now-10*second, 2)
		gateway.run(2*second, 0)
		for _, endpoint := range gateway.endpoints[c.base:8] {
			gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Build: 1, Size: 2}, gateway.now)
		}
		gateway.run(second, c.ill)
		early := gateway.balancer.currentVerdict(gateway.now) == VerdictRollBack
		gateway.run(3*second, c.ill)
		if late := gateway.balancer.currentVerdict(gateway.now) == VerdictRollBack; early && c.base == 0 || late != (c.ill == 4) {
			t.Errorf("%d of four canary endpoints fail beside %d others: rollback is %v, then %v", c.ill, c.base, early, late)
		}
	}
}

// Incident i1e3b86: every gateway sees the same crash; among them it counts about once.
func TestCrashCountsOnceAmongAllGateways(t *testing.T) {
	gateway := withEndpoints(newTestGateway(8, PromoteByAnyVote), 3)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
	const crashes = 90
	for i := 0; i < crashes; i++ {
		gateway.now += 6 * second
		for n := 0; n < 4; n++ {
			gateway.send(2, 0)
		}
		endpoint := gateway.inFlight[0].Endpoint
		for _, attempt := range append([]*Attempt(nil), endpoint.inFlight...) {
			gateway.finish(attempt, OutcomeConnectionLost)
		}
		gateway.answerAfter(0)
	}
	fails := 0
	for _, endpoint := range gateway.endpoints {
		fails += int(endpoint.evidence.byOpType[2].Failures)
	}
	if fails < crashes/6 || fails > crashes/2 {
		t.Errorf("%d crashes counted %d times by one of three gateways", crashes, fails)
	}
}

// Every gateway restarts, a few at a time, while a canary build slows all endpoints. Those that restart take over what
// requests cost before, and the reports of the gateways that restarted still count: the build is rolled back. A good one
// is not. Found in the long run with rolling restarts.
func TestEvidenceOutlivesGatewayRestarts(t *testing.T) {
	for _, busy := range []float64{0.95, 0.5} {
		fleet := newTestFleet(5, PromoteByAnyVote, 20, 10)
		fleet.run(7*second, 10)
		fleet.changeStage(2, 2, PhaseCanary, 0.4)
		fleet.addEndpoints(4, fleet.now-20*second, 2)
		fleet.run(300*millisecond, 10)
		fleet.utilization = busy
		for i := range fleet.gateways {
			fleet.restart((i*7)%20, 2, 2, 0.4)
			fleet.run(300*millisecond, 10)
		}
		fleet.run(5*second, 10)
		if back := len(fleet.verdicts[VerdictRollBack]) > 0; back != (busy > 0.9) || fleet.violation != "" {
			t.Errorf("utilization %v: rollback is %v (%s)", busy, back, fleet.violation)
		}
	}
	// What a sender reported before its restart still counts, once.
	gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), 8)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.4}, gateway.now)
	for i, n := range []uint32{10, 30, 4, 4, 9} {
		table := rollout.NewTable(len(gateway.opTypes))
		table.At(rollout.Canary, 0).FinishedHalves = n
		gateway.balancer.EvidenceReceived(&EvidenceReport{Sender: 1, CountedAt: gateway.now + time.Duration(i), Build: 2, Counters: table.Encode()}, gateway.now)
	}
	if sum := gateway.balancer.pooledCounters().At(rollout.Canary, 0).FinishedHalves; sum != 39 {
		t.Errorf("pooled %d, want 30 and 9", sum)
	}
}
