package routing

import "testing"

// Replays of the recorded sessions and histories do not detect a 10 % change of these values. This test pins them, so
// that each change is deliberate: measure its effect first, then update the value here as well.
func TestTunedValuesNotCoveredByRecordings(t *testing.T) {
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
