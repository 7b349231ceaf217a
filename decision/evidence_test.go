package decision

import (
	"testing"
	"time"

	"laurelring/decision/rollout"
	"laurelring/decision/sequentialtest"
)

// A build that began to fail after its release was not rolled back, as thousands of earlier successful attempts
// outweighed ten failures. Found by the socket benchmark, under heavy traffic.
func TestRejectsBuildThatBeginsToFailAfterItsRelease(t *testing.T) {
	gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
	gateway.addEndpoints(8, gateway.now-20*second, 2)
	gateway.endpoints[0].evidence.byOpType[0] = rollout.Counters{Attempts: 1500, Failures: 1}
	for step, attempts := range []uint32{4000, 4000, 4225} { // canary, released, later
		if step == 1 {
			gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
		}
		gateway.endpoints[8].evidence.byOpType[0] = rollout.Counters{Attempts: attempts, Failures: (attempts - 4000) / 22}
		gateway.balancer.sumEvidence(gateway.now)
		if all := gateway.balancer.evidence().All; (all >= sequentialtest.LogThreshold()) != (step == 2) {
			t.Errorf("step %d: e-value against the build is e^%.1f, want rejection in step 2 only", step, all)
		}
	}
}

// A build that fails 15 of 1000 requests is rejected if the harm cost is high, and not if the lag cost is as high.
func TestRejectionFollowsLagAndHarmCosts(t *testing.T) {
	for harm, rejected := range map[float64]bool{8: true, 0.3: false, 0: false} {
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
		if all := gateway.balancer.evidence().All; (all >= sequentialtest.LogThreshold()) != rejected {
			t.Errorf("harm cost %v: e-value against the build is e^%v", harm, all)
		}
	}
}

// Errors of one canary endpoint among several do not count against the build. If all canary endpoints fail, the build
// is rejected, but only after a hold time if no baseline endpoint remains.
func TestEvidenceExcludesOutliers(t *testing.T) {
	for _, c := range []struct{ failing, baseline int }{{1, 8}, {4, 8}, {4, 0}} {
		gateway := withEndpoints(newTestGateway(4, PromoteByAnyVote), 8)
		gateway.run(4*second, 0)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 3, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
		gateway.addEndpoints(4, gateway.now-10*second, 2)
		gateway.run(2*second, 0)
		for _, endpoint := range gateway.endpoints[c.baseline:8] {
			gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Build: 1, Size: 2}, gateway.now)
		}
		gateway.run(second, c.failing)
		early := gateway.balancer.currentVerdict(gateway.now) == VerdictRollBack
		gateway.run(3*second, c.failing)
		if late := gateway.balancer.currentVerdict(gateway.now) == VerdictRollBack; early && c.baseline == 0 || late != (c.failing == 4) {
			t.Errorf("%d of 4 canary endpoints fail beside %d baseline endpoints: rejected after 1 s: %v, after 4 s: %v", c.failing, c.baseline, early, late)
		}
	}
}

// Every gateway sees the same crash, but all of them together must count it about once (incident i1e3b86).
func TestCrashCountsOnceAmongAllGateways(t *testing.T) {
	gateway := withEndpoints(newTestGateway(8, PromoteByAnyVote), 3)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
	const crashes = 90
	for i := 0; i < crashes; i++ {
		gateway.now += 6 * second
		for n := 0; n < 4; n++ {
			gateway.send(2, 0)
		}
		endpoint := gateway.inFlight[0].endpoint
		for _, attempt := range append([]*Attempt(nil), endpoint.inFlight...) {
			gateway.finish(attempt, OutcomeConnectionLost)
		}
		gateway.answerAfter(0)
	}
	failures := 0
	for _, endpoint := range gateway.endpoints {
		failures += int(endpoint.evidence.byOpType[2].Failures)
	}
	if failures < crashes/6 || failures > crashes/2 {
		t.Errorf("one of 3 gateways counted %d crashes %d times, want between a sixth and a half of them", crashes, failures)
	}
}

// Every gateway restarts, one after another, during the canary phase of a build that slows all endpoints. Restarted
// gateways take over the baseline cost of a request from the voters' reports, and the totals that they had reported
// before stay counted: the build is rejected, and a good build is not. Found by the simulator, scenario roll+mass.
func TestEvidenceSurvivesGatewayRestarts(t *testing.T) {
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
		if rejected := len(fleet.verdicts[VerdictRollBack]) > 0; rejected != (busy > 0.9) || fleet.violation != "" {
			t.Errorf("utilization %v: rejected is %v, want rejection at 0.95 only (%s)", busy, rejected, fleet.violation)
		}
	}
}

func TestTotalsOfRestartedPeerCountOnce(t *testing.T) {
	gateway := withEndpoints(newTestGateway(3, PromoteByAnyVote), 8)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.4}, gateway.now)
	for i, n := range []uint32{10, 30, 4, 4, 9} {
		table := rollout.NewTable(len(gateway.opTypes))
		table.At(rollout.Canary, 0).FinishedHalves = n
		gateway.balancer.EvidenceReceived(&EvidenceReport{Sender: 1, CountedAt: gateway.now + time.Duration(i), Build: 2, Counters: table.Encode()}, gateway.now)
	}
	if sum := gateway.balancer.pooledCounters().At(rollout.Canary, 0).FinishedHalves; sum != 39 {
		t.Errorf("got %d pooled half attempts, want 39: 30 from before the restart of the peer and 9 from after it", sum)
	}
}
