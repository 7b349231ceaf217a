package decay

import (
	"math"
	"testing"
	"time"
)

func TestFactorDecreasesByEPerTimeConstant(t *testing.T) {
	start := 7 * time.Second
	for age, want := range map[time.Duration]float64{0: 1, time.Second: math.Exp(-0.5), 2 * time.Second: 1 / math.E} {
		if got := Factor(start, start+age, 2*time.Second); math.Abs(got-want) > 1e-12 {
			t.Errorf("after %v: got factor %v, want %v", age, got, want)
		}
	}
}
