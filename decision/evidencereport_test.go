package decision

import (
	"testing"
	"time"

	"laurelring/decision/rollout"
)

// Every gateway restarts, a few at a time, while a canary build slows all endpoints. Those that restart take over what
// requests cost before, and the reports of the gateways that restarted still count: the build is rolled back. A good one
// is not. Found in the long run with rolling restarts.
func TestGatewayRestartsKeepTheEvidence(t *testing.T) {
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
