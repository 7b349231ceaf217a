package sequentialtest

import (
	"math"
	"testing"
)

// For phi = 1, M(n, L) is n! e^L / (1+L)^(n+1). The expected values are calculated by hand.
func TestMixtureFactorMatchesClosedForm(t *testing.T) {
	for _, c := range []struct{ failures, expected, want float64 }{
		{0, 0, 1},
		{0, 1, math.E / 2},
		{1, 1, math.E / 4},
		{3, 1, 6 * math.E / 16},
		{4, 0, 24},
		{2, 3, 2 * math.Exp(3) / 64},
	} {
		if got := math.Exp(logMixtureFactor(c.failures, c.expected)); math.Abs(got-c.want) > 1e-9*c.want {
			t.Errorf("M(%v, %v): got %v, want %v", c.failures, c.expected, got, c.want)
		}
	}
}

func TestFailureFactorIsNeutralWithoutEvidence(t *testing.T) {
	if logFactor := LogFailureFactor(Counts{50, 10}, Counts{}, 0.02); logFactor != 0 {
		t.Errorf("without baseline attempts: got factor e^%v, want 1", logFactor)
	}
	if logFactor := LogPairFactor(Counts{}, Counts{50, 10}); logFactor != 0 {
		t.Errorf("without canary attempts: got factor e^%v, want 1", logFactor)
	}
	if logFactor := LogFailureFactor(Counts{50, 0}, Counts{50, 10}, 0.02); logFactor > 0 {
		t.Errorf("a canary that fails less often than expected: got factor e^%v, want at most 1", logFactor)
	}
}

// A few endpoints that fail fast do not justify rolling back a build whose other endpoints work (incident i7a8a80).
func TestFailureFactorIgnoresExcessWithinMargin(t *testing.T) {
	few := LogFailureFactor(Counts{4000, 16}, Counts{5000, 2}, 0.01)
	many := LogFailureFactor(Counts{60, 12}, Counts{600, 3}, 0.02)
	if few > 0 || many < LogThreshold() {
		t.Errorf("got factors e^%v for 4 failures in 1000 and e^%v for 1 in 5, want at most 1 and at least the threshold", few, many)
	}
}

func TestMeanOfEqualFactorsIsTheFactor(t *testing.T) {
	for _, logFactor := range []float64{-800, 0, 3, 800} { // e^800 exceeds the range of a float64
		if got := LogMean([]float64{logFactor, logFactor, logFactor}); math.Abs(got-logFactor) > 1e-9 {
			t.Errorf("mean of equal factors e^%v: got e^%v", logFactor, got)
		}
	}
	if got := math.Exp(LogMean([]float64{math.Log(1), math.Log(3)})); math.Abs(got-2) > 1e-9 {
		t.Errorf("mean of 1 and 3: got %v, want 2", got)
	}
}
