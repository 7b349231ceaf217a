package seeded

import (
	"testing"
	"time"
)

func TestSameSeedMakesSameDraws(t *testing.T) {
	first, same, other := New(5), New(5), New(6)
	differs := false
	for range 100 {
		drawn := first.Below(1000)
		if again := same.Below(1000); drawn != again || drawn < 0 || drawn >= 1000 {
			t.Fatalf("draws with the same seed: got %d and %d, want equal numbers from 0 to 999", drawn, again)
		}
		differs = differs || drawn != other.Below(1000)
	}
	if !differs {
		t.Error("two different seeds give the same draws")
	}
}

func TestHashOfDoesNotAdvanceTheDraws(t *testing.T) {
	source, same := New(5), New(5)
	if first, second := source.HashOf(1), source.HashOf(1); first != second {
		t.Error("two hashes of a key differ")
	}
	if source.Below(1000) != same.Below(1000) {
		t.Error("HashOf changed the next draw")
	}
}

func TestJitterStaysBelowTheSpanInWholeMilliseconds(t *testing.T) {
	source := New(1)
	for range 1000 {
		if jitter := source.Jitter(7 * time.Millisecond); jitter < 0 || jitter >= 7*time.Millisecond || jitter%time.Millisecond != 0 {
			t.Fatalf("got jitter %v, want whole milliseconds from 0 to 6 ms", jitter)
		}
	}
}
