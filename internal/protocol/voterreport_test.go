package protocol

import (
	"math"
	"testing"

	"laurelring/decision"
)

// A voter report whose cost of a request is no finite number, or below zero, was taken in: a gateway that knew no cost of its
// own learned "infinite" from it, its next figure was not a number, and it never compared costs again, nor did those to
// which it reported that as a voter.
func TestRefusesVoterReportWithImpossibleCost(t *testing.T) {
	noEndpoint := func(uint32) *decision.Endpoint { return nil }
	for _, test := range []struct {
		cost  float64
		taken bool
	}{{0, true}, {0.5, true}, {-1, false}, {math.Inf(1), false}, {math.Inf(-1), false}, {math.NaN(), false}} {
		datagram := EncodeVoterReport(&decision.VoterReport{Build: 2, BaselineCost: test.cost}, nil)
		if taken := DecodeVoterReport(datagram, 1, noEndpoint) != nil; taken != test.taken {
			t.Errorf("a cost of %v: taken %t, want %t", test.cost, taken, test.taken)
		}
	}
}
