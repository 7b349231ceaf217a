package rollout

import "laurelring/decision/sequentialtest"

const (
	// maxFailureMargin is the share of attempts that a canary may fail beyond the baseline's rate.
	maxFailureMargin = 0.02
	// harmFailureMargin is the margin as a share of what lagging behind costs over what harm does, where that is less.
	harmFailureMargin = 0.25
	// minHarmCost keeps the quotient of both costs finite.
	minHarmCost = 1e-9
	// costMargin is how many times what a request costs the baseline, or cost the fleet before, a good build may need.
	costMargin = 1.2
	// singleEndpointCostMargin is a further margin, shared by the canary endpoints: a single one may be slow by itself.
	singleEndpointCostMargin = 0.4
)

// FailureMargin returns the share of attempts that a canary may fail beyond the baseline's rate, from what it costs to lag
// behind a good build and to serve by a harmful one. Less is borne where harm is dear.
func FailureMargin(lagCost, harmCost float64) float64 {
	return min(maxFailureMargin, harmFailureMargin*lagCost/max(harmCost, minHarmCost))
}

// Comparison is all that speaks against a canary build at one moment.
type Comparison struct {
	// Pooled is the sum of all gateways' counters, StageStart the same when the stage or the release was first looked at.
	Pooled, StageStart Table
	// CostStart is the same when busy time began to be counted, nil while it is not.
	CostStart Table
	// FailureMargin is the share of attempts that a canary may fail beyond the baseline's rate.
	FailureMargin float64
	// BusyTime stands beside the attempts finished since CostStart. CostComparable reports whether enough is known of both
	// sides to compare the cost of their requests.
	BusyTime       BusyTime
	CostComparable bool
	// CanaryEndpoints is the number of the canary's ready endpoints.
	CanaryEndpoints int
	// FleetCost is what requests cost the fleet since the stage began.
	FleetCost FleetCost
}

// Evidence is the logarithm of an e-process against the canary: by all factors, and with every failure factor taken as 1.
type Evidence struct {
	All  float64
	Cost float64
}

// Evidence averages the factors of all looks at the case. The average keeps the level of the sequential test, so a look at
// each op type and at costs is paid for.
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

// opTypes is how many op types the case has.
func (c *Comparison) opTypes() int { return len(c.Pooled) / sides }

// failureFactors returns two factors for each op type and one for all. Beside all of the canary's attempts those since its
// stage or its release are tested: else many successes would hide a build that begins to fail once its endpoints have run
// for a while.
func (c *Comparison) failureFactors() []float64 {
	var canaryTotal, baselineTotal sequentialtest.Counts
	factors := make([]float64, 0, 2*c.opTypes()+3) // with room for the total and both costs
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

// finishedBySide is how many attempts finished at each side's warm endpoints.
type finishedBySide struct {
	canary, baseline float64
}

// finishedAttempts returns the attempts finished since busy time began to be counted.
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

// costFactor compares the cost of the canary's requests with that of the baseline's, in the baseline's requests. Busy time
// tells a slow build from queues, which load, cold keys and bursts make as well. It says nothing once few baseline endpoints
// are left, as the canary's cost is then of another period, or while reports are missing.
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

// fleetCostFactor compares the fleet's cost with that before the build, at equal exposure. It says nothing where the canary's
// requests cost less than the baseline's: then it is the baseline that turned slow.
func (c *Comparison) fleetCostFactor(finished finishedBySide) float64 {
	busy, cost := c.BusyTime, c.FleetCost
	if busy.Canary == 0 || busy.Canary*finished.baseline*costMargin >= busy.Baseline*finished.canary {
		return sequentialtest.LogPairFactor(
			sequentialtest.Counts{Attempts: cost.Requests * costMargin, Failures: cost.Cost},
			sequentialtest.Counts{Attempts: cost.Requests, Failures: cost.Requests})
	}
	return 0
}
