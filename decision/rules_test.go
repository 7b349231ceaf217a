package decision

import (
	"testing"
)

// Where builds are verified, one that is not gets no attempt, whatever its stage, and all others do. Without that every
// build is allowed.
func TestOnlyVerifiedBuildsGetRequests(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		gateway := withEndpoints(newTestGateway(4, PromoteByAnyVote), 6)
		gateway.addEndpoints(6, 0, 2)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
		gateway.exposureCap = 1
		if guarded {
			gateway.balancer.RequireVerifiedBuilds()
			if gateway.send(0, 0); gateway.lastDecision.Action != ActionQueue {
				t.Error("an attempt started before any build is verified")
			}
			gateway.balancer.BuildVerified(1, true)
		} else {
			gateway.balancer.BuildVerified(1, false) // without effect
		}
		trial := func() int {
			n := len(gateway.canaryAttempts[2])
			gateway.run(3*second, 0)
			return len(gateway.canaryAttempts[2]) - n
		}
		if n := trial(); (n == 0) != guarded {
			t.Errorf("guarded %t: %d attempts at a build that is not verified", guarded, n)
		}
		if gateway.balancer.BuildVerified(2, true); trial() == 0 {
			t.Error("a verified build gets no attempt")
		}
		waits := &Attempt{request: &Request{}, endpoint: gateway.endpoints[6], build: 2}
		if gateway.balancer.BuildVerified(2, false); gateway.balancer.AttemptAllowed(waits, gateway.now) == guarded {
			t.Error("an attempt that waits for its connection goes to a build that is no longer verified")
		}
		if gateway.violation != "" {
			t.Error(gateway.violation)
		}
	}
}
