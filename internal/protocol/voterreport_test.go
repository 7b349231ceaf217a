package protocol

import (
	"math"
	"testing"

	"laurelring/decision"
)

// Voter reports with a negative or non-finite cost of a request are rejected. They used to be accepted: a gateway
// without a cost of its own adopted an infinite cost from one, its next cost was not a number, and it never compared
// costs again. The gateways to which it reported that cost as a voter did not either.
func TestRejectsVoterReportWithInvalidCost(t *testing.T) {
	noEndpoint := func(uint32) *decision.Endpoint { return nil }
	for _, test := range []struct {
		cost     float64
		accepted bool
	}{{0, true}, {0.5, true}, {-1, false}, {math.Inf(1), false}, {math.Inf(-1), false}, {math.NaN(), false}} {
		datagram := EncodeVoterReport(&decision.VoterReport{Build: 2, BaselineCost: test.cost}, nil)
		if accepted := DecodeVoterReport(datagram, 1, noEndpoint) != nil; accepted != test.accepted {
			t.Errorf("cost %v: got accepted %t, want %t", test.cost, accepted, test.accepted)
		}
	}
}
