package rollout

import (
	"testing"

	"laurelring/decision/sequentialtest"
)

func TestFailureMarginFollowsCosts(t *testing.T) {
	for _, c := range []struct{ lag, harm, want float64 }{{0.3, 8, 0.009375}, {0.3, 0.3, 0.02}, {0.3, 0, 0.02}, {0, 8, 0}} {
		if got := FailureMargin(c.lag, c.harm); got != c.want {
			t.Errorf("lag cost %v, harm cost %v: got margin %v, want %v", c.lag, c.harm, got, c.want)
		}
	}
}

// newComparison returns a comparison of a canary with a baseline that has the same counters and the same cost.
func newComparison() Comparison {
	c := Comparison{Pooled: NewTable(2), StageStart: NewTable(2), CostStart: NewTable(2), FailureMargin: 0.02,
		BusyTime: BusyTime{Canary: 100, Baseline: 100}, CostComparable: true, CanaryEndpoints: 4,
		FleetCost: FleetCost{Requests: 400, Cost: 400}}
	for opType := range 2 {
		for _, side := range []Side{Canary, Baseline} {
			*c.Pooled.At(side, opType) = Counters{Attempts: 500, Failures: 1, FinishedHalves: 1000}
		}
	}
	return c
}

func TestEvidenceDetectsEachFault(t *testing.T) {
	for _, c := range []struct {
		name               string
		modify             func(*Comparison)
		rejected           bool // by all factors
		rejectedByCostOnly bool // by the cost factors alone
	}{
		{"equal builds", func(*Comparison) {}, false, false},
		{"one op type fails", func(c *Comparison) { c.Pooled.At(Canary, 1).Failures = 60 }, true, false},
		{"failures since the start of the stage", func(c *Comparison) {
			*c.Pooled.At(Canary, 0) = Counters{Attempts: 20500, Failures: 40, FinishedHalves: 1000}
			*c.StageStart.At(Canary, 0) = Counters{Attempts: 20000, Failures: 1}
		}, true, false},
		{"slow canary", func(c *Comparison) { c.BusyTime.Canary = 200 }, true, true},
		{"slow canary, cost not comparable", func(c *Comparison) { c.BusyTime.Canary, c.CostComparable = 200, false }, false, false},
		{"slow canary, busy time not counted", func(c *Comparison) { c.BusyTime.Canary, c.CostStart = 200, nil }, false, false},
		{"slow fleet", func(c *Comparison) { c.FleetCost.Cost = 900 }, true, true},
		{"slow fleet with slower baseline", func(c *Comparison) { c.FleetCost.Cost, c.BusyTime.Baseline = 900, 200 }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			comparison := newComparison()
			c.modify(&comparison)
			evidence := comparison.Evidence()
			if threshold := sequentialtest.LogThreshold(); (evidence.All >= threshold) != c.rejected || (evidence.Cost >= threshold) != c.rejectedByCostOnly {
				t.Errorf("got evidence e^%.1f, by cost alone e^%.1f, want rejected %t, by cost alone %t", evidence.All, evidence.Cost, c.rejected, c.rejectedByCostOnly)
			}
		})
	}
}
