// Package rollout weighs the evidence for and against a canary build: what all gateways have counted of attempts at its
// endpoints and at those of earlier builds, and how busy both kept their endpoints. It also selects the gateways that judge a
// build, and keeps the latest totals of each. It knows no single endpoint, reads no clock, and draws nothing at random.
package rollout

import "slices"

// Counters is what was counted of one op type's attempts at endpoints on one side of the comparison.
type Counters struct {
	// Attempts and Failures are those that tell whether requests succeed.
	Attempts uint32
	Failures uint32
	// FinishedHalves is twice the number of attempts that ended at warm endpoints, of which those that ended without an answer
	// count half: they may never have been executed.
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

// The sides: the build under judgement, and all builds before it.
const (
	Canary Side = iota
	Baseline
)

// sides is how many sides there are.
const sides = 2

// countersOnWire is how many numbers of a report one Counters takes.
const countersOnWire = 3

// Table has the counters of both sides by op type: the canary's first. A nil table counts nothing.
type Table []Counters

// NewTable returns a table of zeros.
func NewTable(opTypes int) Table { return make(Table, sides*opTypes) }

// At returns the counters of one side and op type.
func (t Table) At(side Side, opType int) *Counters { return &t[int(side)*(len(t)/sides)+opType] }

// Clone returns a copy of the table.
func (t Table) Clone() Table { return slices.Clone(t) }

// Add adds other, which must not be larger, to the table.
func (t Table) Add(other Table) {
	for i, counters := range other {
		t[i].Add(counters)
	}
}

// RestartedSince reports whether running totals fell since an earlier table of the same sender: it has restarted. Attempts and
// failures may fall without that, as an endpoint is found to be an outlier and left out; finished attempts never do.
func (t Table) RestartedSince(earlier Table) bool {
	for i, counters := range t {
		if counters.FinishedHalves < earlier[i].FinishedHalves {
			return true
		}
	}
	return false
}

// WireLength is how many numbers a table takes in an evidence report.
func WireLength(opTypes int) int { return sides * opTypes * countersOnWire }

// Encode lays the table out as in an evidence report: the canary's counters by op type, then the baseline's; for each op type
// attempts, failures and finished halves.
func (t Table) Encode() []uint32 {
	numbers := make([]uint32, 0, len(t)*countersOnWire)
	for _, counters := range t {
		numbers = append(numbers, counters.Attempts, counters.Failures, counters.FinishedHalves)
	}
	return numbers
}

// Decode reads what Encode laid out. It returns false where the length is not that of a table for this number of op types.
func Decode(numbers []uint32, opTypes int) (Table, bool) {
	if len(numbers) != WireLength(opTypes) {
		return nil, false
	}
	table := NewTable(opTypes)
	for i := range table {
		n := numbers[i*countersOnWire:]
		table[i] = Counters{Attempts: n[0], Failures: n[1], FinishedHalves: n[2]}
	}
	return table, true
}

// BusyTime is the time that the endpoints of each side were busy, by their own utilization, weighted by their relative capacity.
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

// FleetCost is what requests cost the whole fleet, in multiples of what one cost before the build.
type FleetCost struct {
	Requests float64
	Cost     float64
}

// Add adds other to c.
func (c *FleetCost) Add(other FleetCost) {
	c.Requests += other.Requests
	c.Cost += other.Cost
}
