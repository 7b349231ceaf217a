package rollout

import (
	"slices"
	"testing"
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
