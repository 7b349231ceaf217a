package decision

import (
	"testing"
)

// A few voters judge for all; the others follow their reports, and no gateway votes for a promotion before 3 s, or to roll a
// good build back. Found on the grown deployment rolls-east, where 360 voters each heard 600 gateways.
func TestFleetFollowsAFewVoters(t *testing.T) {
	for _, fails := range []int{0, 60} {
		fleet := newTestFleet(1, PromoteByQuorum, 60, 10)
		fleet.canaryErrorPercent = fails
		fleet.run(5*second, 3)
		fleet.changeStage(2, 0, PhaseCanary, 0.2)
		fleet.addEndpoints(2, fleet.now, 2)
		fleet.run(2900*millisecond, 3)
		if n := len(fleet.verdicts[VerdictPromote]); n > 0 {
			t.Errorf("%d gateways voted for a promotion before 3 s", n)
		}
		fleet.run(9*second, 3)
		on, back := len(fleet.verdicts[VerdictPromote]), len(fleet.verdicts[VerdictRollBack])
		if fails == 0 && (on < 30 || back > 0) || fails > 0 && back < 30 {
			t.Errorf("%d%% fail: %d gateways voted to promote, %d to roll back, of which 30 are required", fails, on, back)
		}
		if n := len(fleet.gateways[7].balancer.voters(2)); n != voterCount {
			t.Errorf("%d voters of 60 gateways", n)
		}
	}
}

// While all messages are lost no gateway calls a build slow, and where harm costs much more than a lag none promotes it.
// Found on the day "rough-2" of the grown deployment lima-horarios.
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
		byWork := fleet.gateways[fleet.gateways[0].balancer.voters(2)[0]].balancer.rollout.cost.start != nil // for a time in which a voter heard nothing
		if early > 0 || (late > 20) != (harm < 6) || len(fleet.verdicts[VerdictRollBack]) > 0 || byWork {
			t.Errorf("harm %v: %d voted to promote within 5.5 s, %d within 8.5 s: %v", harm, early, late, fleet.verdicts)
		}
	}
}
