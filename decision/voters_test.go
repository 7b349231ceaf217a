package decision

import "testing"

// In a large fleet only a few voters evaluate the build, and the other gateways follow them. Without followers, 360
// voters each received the reports of 600 gateways. No gateway votes to promote before 3 s, or to roll back a good
// build. Found by the simulator benchmark, deployment rolls-east-later.
func TestFleetFollowsAFewVoters(t *testing.T) {
	for _, fails := range []int{0, 60} {
		fleet := newTestFleet(1, PromoteByQuorum, 60, 10)
		fleet.canaryErrorPercent = fails
		fleet.run(5*second, 3)
		fleet.changeStage(2, 0, PhaseCanary, 0.2)
		fleet.addEndpoints(2, fleet.now, 2)
		fleet.run(2900*millisecond, 3)
		if n := len(fleet.verdicts[VerdictPromote]); n > 0 {
			t.Errorf("%d gateways voted to promote before 3 s, want none", n)
		}
		fleet.run(9*second, 3)
		promote, rollBack := len(fleet.verdicts[VerdictPromote]), len(fleet.verdicts[VerdictRollBack])
		if fails == 0 && (promote < 30 || rollBack > 0) || fails > 0 && rollBack < 30 {
			t.Errorf("%d%% of attempts fail: %d gateways voted to promote and %d to roll back, 30 votes are required", fails, promote, rollBack)
		}
		if n := len(fleet.gateways[7].balancer.voters(2)); n != 3 {
			t.Errorf("got %d voters of 60 gateways, want 3", n)
		}
	}
}

// While all messages are lost, no gateway finds that a build is slow, and none promotes it if the harm cost is much
// higher than the lag cost. Found by the simulator benchmark, deployment lima-horarios-later, day rough-2.
func TestLostMessagesDelayPromotion(t *testing.T) {
	for _, harm := range []float64{8, 2} {
		fleet := newTestFleet(2, PromoteByQuorum, 40, 10)
		for _, gateway := range fleet.gateways {
			gateway.balancer.rollout.settings.harmCost = harm
		}
		fleet.run(5*second, 1)
		fleet.lostMessagePercent = 100
		fleet.changeStage(2, 0, PhaseCanary, 0.2)
		fleet.addEndpoints(2, fleet.now, 2)
		fleet.run(5500*millisecond, 1)
		early := len(fleet.verdicts[VerdictPromote])
		fleet.run(3*second, 1)
		late := len(fleet.verdicts[VerdictPromote])
		comparesCosts := fleet.gateways[fleet.gateways[0].balancer.voters(2)[0]].balancer.rollout.cost.totalsAtStart != nil
		if early > 0 || (late > 20) != (harm < 6) || len(fleet.verdicts[VerdictRollBack]) > 0 || comparesCosts {
			t.Errorf("harm cost %v: %d gateways voted to promote within 5.5 s and %d within 8.5 s; all votes: %v", harm, early, late, fleet.verdicts)
		}
	}
}
