package decision

import (
	"testing"
)

// An endpoint that fails fast or rejects all requests must not get all requests once the others are full (incidents
// i431a84 and i307ef6).
func TestEndpointThatFailsFastGetsFewAttempts(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeError, OutcomeRejected, OutcomeConnectFailed} {
		gateway := withEndpoints(newTestGateway(2, PromoteByAnyVote), 4)
		failing, attempts := gateway.endpoints[0], 0
		for i := 0; i < 3000; i++ {
			gateway.now += 5 * millisecond
			gateway.send(0, 0)
			for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
				if attempt.endpoint == failing {
					attempts++
					gateway.finish(attempt, outcome)
				}
			}
			gateway.answerAfter(100 * millisecond)
			gateway.tick()
		}
		if attempts == 0 || attempts > 150 {
			t.Errorf("endpoint with outcome %d only: got %d attempts in 15 s, want 1 to 150", outcome, attempts)
		}
	}
}
