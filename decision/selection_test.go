package decision

import (
	"testing"
)

// If all endpoints run the canary build and the healthy ones have used up their share, requests must be queued and not
// go to suspect endpoints. Such requests used to go to silent endpoints. Found by the socket benchmark, with damaged
// answers and a hang.
func TestRequestsAvoidSuspectEndpointsWhileHealthyOnesAreFull(t *testing.T) {
	gateway := withEndpoints(newTestGateway(8, PromoteByAnyVote), 0)
	gateway.addEndpoints(8, 0, 2)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
	gateway.exposureCap = 1
	for range 4 * second / (20 * millisecond) {
		gateway.now += 20 * millisecond
		gateway.send(0, 0)
		gateway.answerAfter(20 * millisecond)
	}
	for _, endpoint := range gateway.endpoints[:3] {
		gateway.balancer.eject(endpoint, gateway.now)
		endpoint.ejectedUntil = gateway.now + 60*second
	}
	for range 200 {
		gateway.now += 20 * millisecond
		if gateway.send(0, 0); gateway.lastDecision.Action == ActionForward && gateway.lastDecision.Endpoint.consecutiveEjections > 0 {
			t.Fatal("an attempt went to a suspect endpoint while healthy endpoints are full")
		}
		gateway.answerAfter(20 * millisecond)
	}
}
