package decision

import (
	"testing"
)

// Where builds are vouched for, one that is not gets nothing, whatever its stage; all others as ever. Without that any
// build is taken, as before.
func TestOnlyVerifiedBuildsGetRequests(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		gateway := withEndpoints(newTestGateway(4, PromoteByAnyVote), 6)
		gateway.addEndpoints(6, 0, 2)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
		gateway.exposureCap = 1
		if guarded {
			gateway.balancer.RequireVerifiedBuilds()
			if gateway.send(0, 0); gateway.lastDecision.Action != ActionQueue {
				t.Error("sent before any build is vouched for")
			}
			gateway.balancer.BuildVerified(1, true)
		} else {
			gateway.balancer.BuildVerified(1, false) // nobody asked
		}
		trial := func() int {
			n := len(gateway.canaryAttempts[2])
			gateway.run(3*second, 0)
			return len(gateway.canaryAttempts[2]) - n
		}
		if n := trial(); (n == 0) != guarded {
			t.Errorf("guarded %t: %d deliveries to a build that nobody vouches for", guarded, n)
		}
		if gateway.balancer.BuildVerified(2, true); trial() == 0 {
			t.Error("a build that is vouched for gets nothing")
		}
		waits := &Attempt{Request: &Request{}, Endpoint: gateway.endpoints[6], build: 2}
		if gateway.balancer.BuildVerified(2, false); gateway.balancer.AttemptAllowed(waits, gateway.now) == guarded {
			t.Error("what waits for its connection goes to a build that is no longer vouched for")
		}
		if gateway.violation != "" {
			t.Error(gateway.violation)
		}
	}
}
