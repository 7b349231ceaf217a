package admission

import "testing"

// No recorded session or history reaches what these values decide closely enough to notice a change of a tenth. A change
// is to be measured, and then made here as well.
func TestTunedValuesThatNoRecordingHolds(t *testing.T) {
	for name, value := range map[string]struct{ got, want float64 }{
		"minFloor": {float64(minFloor), 0.4},
	} {
		if value.got != value.want {
			t.Errorf("%s is %v, want %v", name, value.got, value.want)
		}
	}
}
