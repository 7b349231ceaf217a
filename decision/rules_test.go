package decision

import (
	"testing"
)

// If builds have to be verified, exactly the verified builds get attempts, whatever their stage. Otherwise every build
// is allowed.
func TestOnlyVerifiedBuildsGetRequests(t *testing.T) {
	for _, verificationRequired := range []bool{false, true} {
		gateway := withEndpoints(newTestGateway(4, PromoteByAnyVote), 6)
		gateway.addEndpoints(6, 0, 2)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
		gateway.exposureCap = 1
		if verificationRequired {
			gateway.balancer.RequireVerifiedBuilds()
			if gateway.send(0, 0); gateway.lastDecision.Action != ActionQueue {
				t.Error("an attempt started before any build was verified")
			}
			gateway.balancer.BuildVerified(1, true)
		} else {
			gateway.balancer.BuildVerified(1, false) // no effect
		}
		attemptsAtBuild2 := func() int {
			n := len(gateway.canaryAttempts[2])
			gateway.run(3*second, 0)
			return len(gateway.canaryAttempts[2]) - n
		}
		if n := attemptsAtBuild2(); (n == 0) != verificationRequired {
			t.Errorf("verification required %t: got %d attempts at an unverified build", verificationRequired, n)
		}
		if gateway.balancer.BuildVerified(2, true); attemptsAtBuild2() == 0 {
			t.Error("got no attempt at a verified build")
		}
		waiting := &Attempt{request: &Request{opType: gateway.opTypes[0]}, endpoint: gateway.endpoints[6], build: 2}
		if gateway.balancer.BuildVerified(2, false); gateway.balancer.AttemptAllowed(waiting, gateway.now) == verificationRequired {
			t.Error("got the wrong AttemptAllowed for a waiting attempt whose build is no longer verified")
		}
		if gateway.violation != "" {
			t.Error(gateway.violation)
		}
	}
}
