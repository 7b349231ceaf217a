package decision

import (
	"testing"

	"laurelring/decision/exposure"
)

// A canary endpoint that was listed late got its whole unused budget at once. Found on the day "rough-1" of rolls-east.
func TestNewCanaryEndpointGetsNoBurst(t *testing.T) {
	gateway := withEndpoints(newTestGateway(3, PromoteByQuorum), 8)
	for i := 0; i < 1000; i++ {
		gateway.now += 4 * millisecond
		gateway.send(0, 0)
		gateway.answerAfter(40 * millisecond)
	}
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 1, Phase: PhaseCanary, ExposureCap: 0.5}, gateway.now)
	gateway.addEndpoints(1, gateway.now-10*second, 2)
	trial := gateway.endpoints[8]
	for i := 0; i < 10; i++ {
		gateway.send(0, 0)
	}
	if len(trial.inFlight) == 0 || len(trial.inFlight) > 4 {
		t.Errorf("%d attempts in flight at a canary endpoint that was just listed, want a few", len(trial.inFlight))
	}
}

// A sticky key goes to no earlier build, until the new one is rolled back.
func TestStickyKeyGoesToNoEarlierBuild(t *testing.T) {
	gateway := newTestGateway(6, PromoteByAnyVote)
	gateway.balancer.canary.stickyKeys = exposure.NewStickyKeys()
	gateway.addEndpoints(4, 0, 1)
	gateway.addEndpoints(1, gateway.now-10*second, 2)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.5}, gateway.now)
	key := uint64(100)
	request := gateway.send(0, key)
	for ; key < 150 && request.attempts[0].endpoint.build != 2; key++ { // a budget below one starts at a random moment
		gateway.now += 100 * millisecond
		gateway.answerAfter(200 * millisecond)
		request = gateway.send(0, key+1)
	}
	if request.attempts[0].endpoint.build != 2 {
		t.Fatal("the canary build got no attempt")
	}
	gateway.finish(request.attempts[0], OutcomeSuccess)
	gateway.endpoints[4].ready = false
	if next := gateway.send(0, key); len(next.attempts) != 0 {
		t.Error("a key that the canary build has answered went to an earlier build")
	}
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseRollingBack}, gateway.now)
	if next := gateway.send(0, key); len(next.attempts) != 1 {
		t.Error("a key stayed bound to a build that is rolled back")
	}
}
