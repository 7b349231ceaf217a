package rollout

import (
	"slices"
	"testing"

	"laurelring/decision/sequentialtest"
)

func TestTableKeepsItsWireLayout(t *testing.T) {
	table := NewTable(2)
	*table.At(Canary, 0) = Counters{Attempts: 1, Failures: 2, FinishedHalves: 3}
	*table.At(Canary, 1) = Counters{Attempts: 4, Failures: 5, FinishedHalves: 6}
	*table.At(Baseline, 0) = Counters{Attempts: 7, Failures: 8, FinishedHalves: 9}
	*table.At(Baseline, 1) = Counters{Attempts: 10, Failures: 11, FinishedHalves: 12}
	numbers := table.Encode()
	if want := []uint32{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}; !slices.Equal(numbers, want) {
		t.Errorf("the table is laid out as %v, want %v", numbers, want)
	}
	if decoded, ok := Decode(numbers, 2); !ok || !slices.Equal(decoded, table) {
		t.Errorf("decoded %v, %t, want %v", decoded, ok, table)
	}
	if _, ok := Decode(numbers, 3); ok {
		t.Error("a table of two op types was taken for one of three")
	}
}

func TestOnlyFinishedAttemptsTellOfARestart(t *testing.T) {
	earlier, later := NewTable(1), NewTable(1)
	*earlier.At(Canary, 0) = Counters{Attempts: 9, Failures: 4, FinishedHalves: 20}
	*later.At(Canary, 0) = Counters{Attempts: 5, Failures: 0, FinishedHalves: 20}
	if later.RestartedSince(earlier) {
		t.Error("an outlier that is left out was taken for a restart")
	}
	later.At(Canary, 0).FinishedHalves = 19
	if !later.RestartedSince(earlier) {
		t.Error("finished attempts fell, and no restart was seen")
	}
}

func TestFailureMarginFollowsCosts(t *testing.T) {
	for _, c := range []struct{ lag, harm, want float64 }{{0.3, 8, 0.009375}, {0.3, 0.3, 0.02}, {0.3, 0, 0.02}, {0, 8, 0}} {
		if got := FailureMargin(c.lag, c.harm); got != c.want {
			t.Errorf("lag %v, harm %v: margin %v, want %v", c.lag, c.harm, got, c.want)
		}
	}
}

// newCase has a canary and a baseline that served the same, at the same cost.
func newCase() Case {
	c := Case{Pooled: NewTable(2), StageStart: NewTable(2), CostStart: NewTable(2), FailureMargin: 0.02,
		BusyTime: BusyTime{Canary: 100, Baseline: 100}, CostComparable: true, CanaryEndpoints: 4,
		FleetCost: FleetCost{Requests: 400, Cost: 400}}
	for opType := range 2 {
		for _, side := range []Side{Canary, Baseline} {
			*c.Pooled.At(side, opType) = Counters{Attempts: 500, Failures: 1, FinishedHalves: 1000}
		}
	}
	return c
}

func TestCaseNamesEachFault(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(*Case)
		rejected  bool // by all factors
		costAlone bool // by the cost factors alone
	}{
		{"equal builds", func(*Case) {}, false, false},
		{"one op type fails", func(c *Case) { c.Pooled.At(Canary, 1).Failures = 60 }, true, false},
		{"failures since the stage began", func(c *Case) {
			*c.Pooled.At(Canary, 0) = Counters{Attempts: 20500, Failures: 40, FinishedHalves: 1000}
			*c.StageStart.At(Canary, 0) = Counters{Attempts: 20000, Failures: 1}
		}, true, false},
		{"a slow canary", func(c *Case) { c.BusyTime.Canary = 200 }, true, true},
		{"a slow canary that cannot be compared", func(c *Case) { c.BusyTime.Canary, c.CostComparable = 200, false }, false, false},
		{"a slow canary without a start of the count", func(c *Case) { c.BusyTime.Canary, c.CostStart = 200, nil }, false, false},
		{"a slow fleet", func(c *Case) { c.FleetCost.Cost = 900 }, true, true},
		{"a slow fleet whose baseline is slower", func(c *Case) { c.FleetCost.Cost, c.BusyTime.Baseline = 900, 200 }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			one := newCase()
			c.change(&one)
			evidence := one.Evidence()
			if threshold := sequentialtest.LogThreshold(); (evidence.All >= threshold) != c.rejected || (evidence.Cost >= threshold) != c.costAlone {
				t.Errorf("evidence e^%.1f, by cost alone e^%.1f, want rejected %t, by cost alone %t", evidence.All, evidence.Cost, c.rejected, c.costAlone)
			}
		})
	}
}
