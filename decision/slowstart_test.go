package decision

import (
	"testing"
)

// Each gateway used to round a budget below one attempt up, or to multiply it. A warming endpoint must get about its
// share of the requests of all gateways together. Found by the simulator benchmark, deployment lima-horarios, day
// big-1.
func TestFractionalBudgetsOfManyGatewaysAddUp(t *testing.T) {
	fleet := newTestFleet(3, PromoteByAnyVote, 60, 9)
	fleet.run(6*second, 1)
	fleet.addEndpoints(1, fleet.now, 1)
	fleet.run(5*second, 1)
	sent := 0
	for _, gateway := range fleet.gateways {
		sent += len(gateway.warmUpAttempts[gateway.endpoints[9]])
	}
	if sent < 4 || sent > 30 || fleet.violation != "" {
		t.Errorf("new endpoint: got %d attempts in 4 s, want about 15 (violation: %s)", sent, fleet.violation)
	}
}
