package decision

import (
	"testing"
)

// Grown rolls-east, overload: late answers of full machines bound what a gateway has out; of others they
// may be the way's.
func TestLateAnswersOfFullEndpointsNarrowTheWindow(t *testing.T) {
	for _, busy := range []float64{0.5, 1} {
		gateway := withEndpoints(newFleetMember(5, PromoteByQuorum, 0, 100, 30), 8)
		for i := 0; i < 40; i++ {
			gateway.now += 500 * millisecond
			gateway.send(0, 0)
			for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
				gateway.balancer.LoadReported(attempt.Endpoint, busy, gateway.now)
			}
			gateway.answerAfter(900 * millisecond)
			gateway.tick()
		}
		gateway.answerAfter(0)
		gateway.send(0, 0)
		gateway.send(0, 0)
		if paused := len(gateway.inFlight) == 0; paused != (busy == 1) {
			t.Errorf("machines %v busy answer late: all held for a pause is %v", busy, paused)
		}
	}
}
