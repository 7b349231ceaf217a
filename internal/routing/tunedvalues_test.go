package routing

import "testing"

// No recorded session or history depends on these values closely enough to detect a change of a tenth. Measure the
// effect of a change before making it, and then change the value here as well.
func TestTunedValuesThatNoRecordingHolds(t *testing.T) {
	for name, value := range map[string]struct{ got, want float64 }{
		"removedEndpointTTL":   {float64(removedEndpointTTL), 60e9},
		"maxKnownBuilds":       {float64(maxKnownBuilds), 64},
		"eventQueueSize":       {float64(eventQueueSize), 1024},
		"loggedStallThreshold": {float64(loggedStallThreshold), 500e6},
	} {
		if value.got != value.want {
			t.Errorf("%s: got %v, want %v", name, value.got, value.want)
		}
	}
}
