package seeded

import (
	"testing"
	"time"
)

func TestSameSeedMakesSameDraws(t *testing.T) {
	one, same, other := New(5), New(5), New(6)
	differs := false
	for range 100 {
		drawn := one.Below(1000)
		if again := same.Below(1000); drawn != again || drawn < 0 || drawn >= 1000 {
			t.Fatalf("draws of the same seed: %d and %d, want the same below 1000", drawn, again)
		}
		differs = differs || drawn != other.Below(1000)
	}
	if !differs {
		t.Error("another seed makes the same draws")
	}
}

func TestHashOfAKeyIsNoDraw(t *testing.T) {
	one, same := New(5), New(5)
	if first, second := one.HashOf(1), one.HashOf(1); first != second {
		t.Error("the hash of a key changes")
	}
	if one.Below(1000) != same.Below(1000) {
		t.Error("the hash of a key moved the draws on")
	}
}

func TestJitterStaysBelowTheSpanInWholeMilliseconds(t *testing.T) {
	source := New(1)
	for range 1000 {
		if jitter := source.Jitter(7 * time.Millisecond); jitter < 0 || jitter >= 7*time.Millisecond || jitter%time.Millisecond != 0 {
			t.Fatalf("jitter of %v within 7 ms", jitter)
		}
	}
}
