package rollout

import "laurelring/decision/sequentialtest"

const (
	// maxFailureMargin is the largest tolerated excess of the canary's failure rate over the baseline's.
	maxFailureMargin = 0.02
	// harmFailureMargin times the ratio of lag cost to harm cost is the tolerated excess where that is less than
	// maxFailureMargin.
	harmFailureMargin = 0.25
	// minHarmCost keeps the ratio of lag cost to harm cost finite.
	minHarmCost = 1e-9
	// costMargin is the cost per request that a good build may have, as a multiple of the baseline's cost, or of the
	// fleet's cost before the build.
	costMargin = 1.2
	// singleEndpointCostMargin is an additional cost margin that is divided by the number of canary endpoints: a single
	// endpoint may be slow for reasons of its own.
	singleEndpointCostMargin = 0.4
)

// FailureMargin returns the tolerated excess of the canary's failure rate over the baseline's. It is computed from
// the cost of delaying a good build and the cost of serving with a harmful one: the more harm costs, the smaller the
// margin.
func FailureMargin(lagCost, harmCost float64) float64 {
	return min(maxFailureMargin, harmFailureMargin*lagCost/max(harmCost, minHarmCost))
}

// Comparison holds the data by which a canary build is compared with the baseline at one moment.
type Comparison struct {
	// Pooled is the sum of all gateways' counters. StageStart is the same sum at the first evaluation in the current
	// stage, or after the release.
	Pooled, StageStart Table
	// CostStart is the same sum at the start of the busy time count. It is nil while busy time is not counted.
	CostStart Table
	// FailureMargin is the tolerated excess of the canary's failure rate over the baseline's.
	FailureMargin float64
	// BusyTime covers the same period as the attempts finished since CostStart. CostComparable reports whether enough
	// is known about both sides to compare the cost of their requests.
	BusyTime       BusyTime
	CostComparable bool
	// CanaryEndpoints is the number of the canary's ready endpoints.
	CanaryEndpoints int
	// FleetCost is the fleet's cost of requests since the stage began.
	FleetCost FleetCost
}

// Evidence holds logarithms of e-processes against the canary: All from all factors, Cost with each failure factor
// set to 1.
type Evidence struct {
	All  float64
	Cost float64
}

// Evidence averages the factors of all tests of the comparison. A mean of e-processes keeps the significance level of
// the sequential test, so testing each op type and the costs separately needs no further correction.
func (c *Comparison) Evidence() Evidence {
	failures := c.failureFactors()
	finished := c.finishedAttempts()
	cost, fleetCost := c.costFactor(finished), c.fleetCostFactor(finished)
	return Evidence{
		All:  sequentialtest.LogMean(append(failures, cost, fleetCost)),
		Cost: sequentialtest.LogMean(append(make([]float64, len(failures)), cost, fleetCost)),
	}
}

// counts returns the side's attempts and failures of one op type.
func (t Table) counts(side Side, opType int) sequentialtest.Counts {
	counters := t.At(side, opType)
	return sequentialtest.Counts{Attempts: float64(counters.Attempts), Failures: float64(counters.Failures)}
}

// opTypes returns the number of op types in the comparison.
func (c *Comparison) opTypes() int { return len(c.Pooled) / sideCount }

// failureFactors returns two factors for each op type and one for all op types together. Per op type it tests all of
// the canary's attempts, and separately those since the stage or the release began: otherwise many earlier successes
// would hide a build that begins to fail only after its endpoints have run for a while.
func (c *Comparison) failureFactors() []float64 {
	var canaryTotal, baselineTotal sequentialtest.Counts
	factors := make([]float64, 0, 2*c.opTypes()+3) // room for the total factor and both cost factors
	for opType := range c.opTypes() {
		canary, baseline := c.Pooled.counts(Canary, opType), c.Pooled.counts(Baseline, opType)
		canaryTotal, baselineTotal = canaryTotal.Add(canary), baselineTotal.Add(baseline)
		before := c.StageStart.counts(Canary, opType)
		recent := sequentialtest.Counts{
			Attempts: max(0, canary.Attempts-before.Attempts),
			Failures: canary.Failures - before.Failures,
		}
		factors = append(factors,
			sequentialtest.LogFailureFactor(canary, baseline, c.FailureMargin),
			sequentialtest.LogFailureFactor(recent, baseline, c.FailureMargin))
	}
	return append(factors, sequentialtest.LogFailureFactor(canaryTotal, baselineTotal, c.FailureMargin))
}

// finishedBySide is the number of attempts that finished at the warm endpoints of each side.
type finishedBySide struct {
	canary, baseline float64
}

// finishedAttempts returns the number of attempts that finished since the start of the busy time count.
func (c *Comparison) finishedAttempts() (finished finishedBySide) {
	if c.CostStart == nil {
		return finished
	}
	since := func(side Side, opType int) float64 {
		now, before := c.Pooled.At(side, opType), c.CostStart.At(side, opType)
		return max(0, float64(now.FinishedHalves)-float64(before.FinishedHalves)) / 2
	}
	for opType := range c.opTypes() {
		finished.canary += since(Canary, opType)
		finished.baseline += since(Baseline, opType)
	}
	return finished
}

// costFactor compares the busy time per request of the canary with that of the baseline, with the baseline's cost per
// request as the unit. Busy time distinguishes a slow build from queueing, which load, cold keys and bursts cause as
// well. The factor is neutral once few baseline endpoints are left, as the canary's cost then belongs to another
// period, and while reports are missing.
func (c *Comparison) costFactor(finished finishedBySide) float64 {
	busy := c.BusyTime
	if c.CostComparable && busy.Canary > 0 && busy.Baseline > 0 && finished.canary > 0 && finished.baseline > 0 {
		allowed := finished.canary * costMargin * (1 + singleEndpointCostMargin/float64(max(1, c.CanaryEndpoints)))
		return sequentialtest.LogPairFactor(
			sequentialtest.Counts{Attempts: allowed, Failures: busy.Canary * finished.baseline / busy.Baseline},
			sequentialtest.Counts{Attempts: finished.baseline, Failures: finished.baseline})
	}
	return 0
}

// fleetCostFactor compares the fleet's cost of requests with the cost of as many requests before the build, times
// costMargin. The factor is neutral where the canary's requests cost less than the baseline's by more than costMargin:
// then the baseline is what has become slow.
func (c *Comparison) fleetCostFactor(finished finishedBySide) float64 {
	busy, cost := c.BusyTime, c.FleetCost
	if busy.Canary == 0 || busy.Canary*finished.baseline*costMargin >= busy.Baseline*finished.canary {
		return sequentialtest.LogPairFactor(
			sequentialtest.Counts{Attempts: cost.Requests * costMargin, Failures: cost.Cost},
			sequentialtest.Counts{Attempts: cost.Requests, Failures: cost.Requests})
	}
	return 0
}
