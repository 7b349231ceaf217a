// Package rollout evaluates the evidence for and against a canary build: the attempts that all gateways have counted
// at its endpoints and at those of earlier builds, and how busy the endpoints of both were. It also selects the
// gateways that evaluate a build as voters, and keeps the latest totals that each gateway has reported. The package
// does not handle individual endpoints, reads no clock, and uses no random numbers.
package rollout

import "slices"

// Counters holds the counts of one op type's attempts at the endpoints on one side of the comparison.
type Counters struct {
	// Attempts and Failures count only attempts whose outcome shows whether requests succeed.
	Attempts uint32
	Failures uint32
	// FinishedHalves is twice the number of attempts that ended at warm endpoints. An attempt that ended without an
	// answer counts as half an attempt, as it may never have been executed.
	FinishedHalves uint32
}

// Add adds other to c.
func (c *Counters) Add(other Counters) {
	c.Attempts += other.Attempts
	c.Failures += other.Failures
	c.FinishedHalves += other.FinishedHalves
}

// Side is one side of the comparison.
type Side int

// Canary is the build under evaluation. Baseline is all earlier builds.
const (
	Canary Side = iota
	Baseline
)

// sideCount is the number of sides of a comparison.
const sideCount = 2

// numbersPerCounters is the length of one encoded Counters in an evidence report.
const numbersPerCounters = 3

// Table holds the counters of both sides by op type, those of the canary first. A nil table holds no counters.
type Table []Counters

// NewTable returns a table with all counters at zero.
func NewTable(opTypes int) Table { return make(Table, sideCount*opTypes) }

// At returns the counters of one side and op type.
func (t Table) At(side Side, opType int) *Counters { return &t[int(side)*(len(t)/sideCount)+opType] }

// Clone returns a copy of the table.
func (t Table) Clone() Table { return slices.Clone(t) }

// Add adds the counters of other, which must not be longer, to the table.
func (t Table) Add(other Table) {
	for i, counters := range other {
		t[i].Add(counters)
	}
}

// RestartedSince reports whether the sender has restarted since it sent an earlier table, which shows in lower totals
// of finished attempts. Attempts and failures may also decrease without a restart, when an endpoint is found to be an
// outlier and left out. Finished attempts never do.
func (t Table) RestartedSince(earlier Table) bool {
	for i, counters := range t {
		if counters.FinishedHalves < earlier[i].FinishedHalves {
			return true
		}
	}
	return false
}

// WireLength returns the length of an encoded table in an evidence report.
func WireLength(opTypes int) int { return sideCount * opTypes * numbersPerCounters }

// Encode returns the table in the layout of an evidence report: the canary's counters by op type, then the
// baseline's, with attempts, failures and finished halves for each op type.
func (t Table) Encode() []uint32 {
	numbers := make([]uint32, 0, len(t)*numbersPerCounters)
	for _, counters := range t {
		numbers = append(numbers, counters.Attempts, counters.Failures, counters.FinishedHalves)
	}
	return numbers
}

// Decode returns the table that Encode has encoded. It returns false if the length does not match the number of op
// types.
func Decode(numbers []uint32, opTypes int) (Table, bool) {
	if len(numbers) != WireLength(opTypes) {
		return nil, false
	}
	table := NewTable(opTypes)
	for i := range table {
		n := numbers[i*numbersPerCounters:]
		table[i] = Counters{Attempts: n[0], Failures: n[1], FinishedHalves: n[2]}
	}
	return table, true
}

// BusyTime is the time that the endpoints of each side were busy, according to their reported utilization, weighted
// by their relative capacity.
type BusyTime struct {
	Canary, Baseline float64
}

// Add adds time to one side.
func (b *BusyTime) Add(side Side, time float64) {
	if side == Canary {
		b.Canary += time
	} else {
		b.Baseline += time
	}
}

// FleetCost is the number of requests to the whole fleet and their cost, in multiples of the cost per request before
// the build.
type FleetCost struct {
	Requests float64
	Cost     float64
}

// Add adds other to c.
func (c *FleetCost) Add(other FleetCost) {
	c.Requests += other.Requests
	c.Cost += other.Cost
}
