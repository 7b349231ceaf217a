package gossip

import "testing"

// Replays of the recorded sessions and histories do not detect a 10 % change of these values. This test pins them, so
// that each change is deliberate: measure its effect first, then update the value here as well.
func TestTunedValuesNotCoveredByRecordings(t *testing.T) {
	for name, value := range map[string]struct{ got, want float64 }{
		"maxParts":        {float64(maxParts), 255},
		"maxSenders":      {float64(maxSenders), 8},
		"NewerViewTTL":    {float64(NewerViewTTL), 6e9},
		"broadcastWindow": {float64(broadcastWindow), 1e9},
		"minAgeGain":      {float64(minAgeGain), 300e6},
		"replyReuseSpan":  {float64(replyReuseSpan), 300e6},
	} {
		if value.got != value.want {
			t.Errorf("%s: got %v, want %v", name, value.got, value.want)
		}
	}
}
