package decision

import (
	"testing"

	"laurelring/decision/exposure"
)

// An endpoint that was listed late got its whole unused budget of attempts at once. Found by the simulator benchmark,
// deployment rolls-east, day rough-1.
func TestNewCanaryEndpointGetsFewAttemptsAtOnce(t *testing.T) {
	gateway := withEndpoints(newTestGateway(3, PromoteByQuorum), 8)
	for i := 0; i < 1000; i++ {
		gateway.now += 4 * millisecond
		gateway.send(0, 0)
		gateway.answerAfter(40 * millisecond)
	}
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 1, Phase: PhaseCanary, ExposureCap: 0.5}, gateway.now)
	gateway.addEndpoints(1, gateway.now-10*second, 2)
	newEndpoint := gateway.endpoints[8]
	for i := 0; i < 10; i++ {
		gateway.send(0, 0)
	}
	if len(newEndpoint.inFlight) == 0 || len(newEndpoint.inFlight) > 4 {
		t.Errorf("got %d attempts in flight at a canary endpoint that was just listed, want 1 to 4", len(newEndpoint.inFlight))
	}
}

// A sticky key that a build has answered goes to no earlier build until that build is rolled back.
func TestRequestWithStickyKeyAvoidsEarlierBuilds(t *testing.T) {
	gateway := newTestGateway(6, PromoteByAnyVote)
	gateway.balancer.canary.stickyKeys = exposure.NewStickyKeys()
	gateway.addEndpoints(4, 0, 1)
	gateway.addEndpoints(1, gateway.now-10*second, 2)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.5}, gateway.now)
	key := uint64(100)
	request := gateway.send(0, key)
	for ; key < 150 && request.attempts[0].endpoint.build != 2; key++ { // a budget below one attempt starts at a random time
		gateway.now += 100 * millisecond
		gateway.answerAfter(200 * millisecond)
		request = gateway.send(0, key+1)
	}
	if request.attempts[0].endpoint.build != 2 {
		t.Fatal("no request got an attempt at the canary build")
	}
	gateway.finish(request.attempts[0], OutcomeSuccess)
	gateway.endpoints[4].ready = false
	if next := gateway.send(0, key); len(next.attempts) != 0 {
		t.Error("a request with a key that the canary build has answered got an attempt at an earlier build")
	}
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseRollingBack}, gateway.now)
	if next := gateway.send(0, key); len(next.attempts) != 1 {
		t.Error("a request with a key bound to a build that is rolled back got no attempt")
	}
}
