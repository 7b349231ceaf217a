package seededrand

import (
	"testing"
	"time"
)

func TestDifferentSeedsSpreadAndEqualSeedsRepeat(t *testing.T) {
	var buckets [10]int
	for seed := range uint64(1000) {
		source := New(seed)
		source.Duration(time.Second)
		drawn := source.Duration(time.Second)
		if repeated := New(seed); repeated.Duration(time.Second) < 0 || repeated.Duration(time.Second) != drawn {
			t.Fatal("the same seed does not give the same durations")
		}
		buckets[drawn*10/time.Second]++
	}
	for i, count := range buckets {
		if count < 60 || count > 140 {
			t.Errorf("bucket %d: got %d of 1000 draws, want 60 to 140", i, count)
		}
	}
}

// The sequence of draws must never change, as it determines the order of events in recorded traces.
func TestSequenceIsStable(t *testing.T) {
	source := New(7)
	for i, want := range []int64{535279, 209321, 317974} {
		if got := source.Int64N(1_000_000); got != want {
			t.Errorf("draw %d: got %d, want %d", i, got, want)
		}
	}
	if got := source.Int64N(0); got != 0 {
		t.Errorf("Int64N(0): got %d, want 0", got)
	}
}
