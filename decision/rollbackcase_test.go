package decision

import (
	"testing"
	"time"

	"laurelring/decision/rollout"
)

func TestRollbackCaseStands(t *testing.T) {
	clean := rollout.Evidence{}
	weak := rollout.Evidence{All: 2}              // above the level at which a timer holds, below the threshold
	byFailures := rollout.Evidence{All: 4}        // above the threshold
	byCost := rollout.Evidence{All: 4, Cost: 3.5} // without any failure as well
	type look struct {
		after           time.Duration
		evidence        rollout.Evidence
		baselineRemains bool
		met             bool
	}
	for _, c := range []struct {
		name  string
		mode  PromotionMode
		looks []look
	}{
		{"at once while the baseline remains", PromoteByQuorum, []look{{0, clean, true, false}, {second, weak, true, false}, {2 * second, byFailures, true, true}}},
		{"by failures alone after a while", PromoteByQuorum, []look{
			{0, clean, false, false}, {second - millisecond, byFailures, false, false}, {second, byFailures, false, true}}},
		{"not where it was clear in between", PromoteByQuorum, []look{
			{0, clean, false, false}, {second / 2, byFailures, false, false}, {second, weak, false, false}, {2*second - millisecond, byFailures, false, false}}},
		{"by cost at once", PromoteByQuorum, []look{{0, clean, false, false}, {millisecond, byCost, false, true}}},
		{"for good where votes promote", PromoteByQuorum, []look{{0, byFailures, true, true}, {second, clean, true, true}}},
		{"until far below where a timer promotes", PromoteByTimer, []look{
			{0, byFailures, true, true}, {second, weak, true, true}, {2 * second, clean, true, false}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var one rollbackCondition
			for i, at := range c.looks {
				one.update(at.evidence, at.baselineRemains, c.mode, 1000*second+at.after)
				if one.met != at.met {
					t.Errorf("look %d: stands is %v, want %v", i, one.met, at.met)
				}
			}
		})
	}
}
