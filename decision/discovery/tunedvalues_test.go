package discovery

import "testing"

// No recorded session or history reaches what these values decide closely enough to notice a change of a tenth. A change
// is to be measured, and then made here as well.
func TestTunedValuesThatNoRecordingHolds(t *testing.T) {
	for name, value := range map[string]struct{ got, want float64 }{
		"maxDoublings":    {float64(maxDoublings), 10},
		"DrainSettleTime": {float64(DrainSettleTime), 1e9},
		"InitialLease":    {float64(InitialLease), 1e9},
	} {
		if value.got != value.want {
			t.Errorf("%s is %v, want %v", name, value.got, value.want)
		}
	}
}
