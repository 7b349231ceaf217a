package decision

import (
	"testing"
	"time"

	"laurelring/decision/rollout"
)

func TestRollbackConditionMet(t *testing.T) {
	clean := rollout.Evidence{}
	weak := rollout.Evidence{All: 2}              // above timerHoldLevel, below the threshold
	byFailures := rollout.Evidence{All: 4}        // above the threshold
	byCost := rollout.Evidence{All: 4, Cost: 3.5} // above the threshold even without any failure
	type evaluation struct {
		after           time.Duration
		evidence        rollout.Evidence
		baselineRemains bool
		met             bool
	}
	for _, c := range []struct {
		name        string
		mode        PromotionMode
		evaluations []evaluation
	}{
		{"failures with baseline endpoints: met at once", PromoteByQuorum, []evaluation{{0, clean, true, false}, {second, weak, true, false}, {2 * second, byFailures, true, true}}},
		{"failures without baseline endpoints: met after the hold time", PromoteByQuorum, []evaluation{
			{0, clean, false, false}, {second - millisecond, byFailures, false, false}, {second, byFailures, false, true}}},
		{"weaker evidence in between restarts the hold time", PromoteByQuorum, []evaluation{
			{0, clean, false, false}, {second / 2, byFailures, false, false}, {second, weak, false, false}, {2*second - millisecond, byFailures, false, false}}},
		{"cost without baseline endpoints: met at once", PromoteByQuorum, []evaluation{{0, clean, false, false}, {millisecond, byCost, false, true}}},
		{"quorum promotes: stays met after evidence has fallen", PromoteByQuorum, []evaluation{{0, byFailures, true, true}, {second, clean, true, true}}},
		{"timer promotes: met until evidence falls below timerHoldLevel", PromoteByTimer, []evaluation{
			{0, byFailures, true, true}, {second, weak, true, true}, {2 * second, clean, true, false}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var condition rollbackCondition
			for i, step := range c.evaluations {
				condition.update(step.evidence, step.baselineRemains, c.mode, 1000*second+step.after)
				if condition.met != step.met {
					t.Errorf("evaluation %d: got met %v, want %v", i, condition.met, step.met)
				}
			}
		})
	}
}
