package decision

import (
	"testing"
)

// Incidents i431a84 and i307ef6: endpoints that failed fast or rejected all requests got all of them once others were full.
func TestEndpointThatFailsFastGetsFewAttempts(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeError, OutcomeRejected, OutcomeConnectFailed} {
		gateway := withEndpoints(newTestGateway(2, PromoteByAnyVote), 4)
		bad, hits := gateway.endpoints[0], 0
		for i := 0; i < 3000; i++ {
			gateway.now += 5 * millisecond
			gateway.send(0, 0)
			for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
				if attempt.endpoint == bad {
					hits++
					gateway.finish(attempt, outcome)
				}
			}
			gateway.answerAfter(100 * millisecond)
			gateway.tick()
		}
		if hits == 0 || hits > 150 {
			t.Errorf("an endpoint that ends all with outcome %d got %d attempts in 15 s", outcome, hits)
		}
	}
}
