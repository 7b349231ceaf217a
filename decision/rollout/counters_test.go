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
		t.Errorf("got encoded table %v, want %v", numbers, want)
	}
	if decoded, ok := Decode(numbers, 2); !ok || !slices.Equal(decoded, table) {
		t.Errorf("decoded: got %v, %t, want %v, true", decoded, ok, table)
	}
	if _, ok := Decode(numbers, 3); ok {
		t.Error("an encoded table of two op types was decoded as one of three")
	}
}

func TestRestartIsDetectedByFewerFinishedAttempts(t *testing.T) {
	earlier, later := NewTable(1), NewTable(1)
	*earlier.At(Canary, 0) = Counters{Attempts: 9, Failures: 4, FinishedHalves: 20}
	*later.At(Canary, 0) = Counters{Attempts: 5, Failures: 0, FinishedHalves: 20}
	if later.RestartedSince(earlier) {
		t.Error("lower totals of attempts and failures, as after leaving out an outlier, were taken for a restart")
	}
	later.At(Canary, 0).FinishedHalves = 19
	if !later.RestartedSince(earlier) {
		t.Error("a lower total of finished attempts was not taken for a restart")
	}
}
