package decision

import "testing"

// Replays of the recorded sessions and histories do not detect a 10 % change of these values. This test pins them, so
// that each change is deliberate: measure its effect first, then update the value here as well.
func TestTunedValuesNotCoveredByRecordings(t *testing.T) {
	for name, value := range map[string]struct{ got, want float64 }{
		"isolatedMinLagShare": {float64(isolatedMinLagShare), 0.05},
		"timerHoldLevel":      {float64(timerHoldLevel), 4},
		"maxConcurrencyLimit": {float64(maxConcurrencyLimit), 200},
		"lateValueThreshold":  {float64(lateValueThreshold), 0.5},
	} {
		if value.got != value.want {
			t.Errorf("%s: got %v, want %v", name, value.got, value.want)
		}
	}
}
