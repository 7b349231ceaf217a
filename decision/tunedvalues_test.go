package decision

import "testing"

// These values affect no recorded session or history strongly enough for a change of a tenth to be noticed. Measure a
// change of such a value, and then make it here as well.
func TestTunedValuesThatNoRecordingHolds(t *testing.T) {
	for name, value := range map[string]struct{ got, want float64 }{
		"blindMinLagShare":    {float64(blindMinLagShare), 0.05},
		"timerHoldLevel":      {float64(timerHoldLevel), 4},
		"maxConcurrencyLimit": {float64(maxConcurrencyLimit), 200},
		"lateValueThreshold":  {float64(lateValueThreshold), 0.5},
	} {
		if value.got != value.want {
			t.Errorf("%s: got %v, want %v", name, value.got, value.want)
		}
	}
}
