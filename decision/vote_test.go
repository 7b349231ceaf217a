package decision

import (
	"testing"
	"time"

	"laurelring/decision/rollout"
)

// With no endpoint of an earlier build left a case by failures must hold a while, as single endpoints may fail; one by the
// fleet's cost leads to a vote at once.
func TestCaseByCostNeedNotStand(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
		for _, endpoint := range gateway.endpoints {
			gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: 2, Cell: endpoint.cell, Size: 2, StartedAt: gateway.now - 20*second}, gateway.now)
			endpoint.evidence.byOpType[0] = rollout.Counters{Attempts: 300, Failures: 90}
		}
		gateway.balancer.CommitEndpointList(false, gateway.now)
		gateway.balancer.rollout.evidence.departed.At(rollout.Baseline, 0).Attempts = 1000
		if byWork {
			gateway.balancer.rollout.cost.fleet = rollout.FleetCost{Requests: 300, Cost: 900}
		}
		gateway.balancer.sumEvidence(gateway.now)
		gateway.balancer.rollout.rollback.clearAt = gateway.now
		first := gateway.balancer.currentVerdict(gateway.now)
		gateway.now += rollbackCaseHold
		if then := gateway.balancer.currentVerdict(gateway.now); first == VerdictRollBack != byWork || then != VerdictRollBack {
			t.Errorf("by cost %v: %v at once, then %v", byWork, first, then)
		}
	}
}

// A promotion waits for 3 s after the latest listed start and for all of the stage's endpoints; votes are renewed.
func TestPromotesThreeSecondsAfterTheLatestStart(t *testing.T) {
	gateway := newTestGateway(5, PromoteByAnyVote)
	gateway.balancer.gateways = 1
	gateway.addEndpoints(10, 0, 1)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 1, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
	gateway.run(2*second, 0)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, gateway.now)
	start := gateway.now + second
	var votes []time.Duration
	for i := 0; i < 2000; i++ {
		gateway.now += 5 * millisecond
		if gateway.now == start+second {
			gateway.addEndpoints(2, start, 2)
		}
		for _, v := range gateway.tick().Votes {
			if v.Verdict != VerdictPromote {
				t.Fatalf("voted %v", v)
			}
			votes = append(votes, gateway.now)
			gateway.balancer.VoteAnswered(OutcomeSuccess, gateway.now)
		}
	}
	if len(votes) < 2 || votes[0] < start+promoteWait || votes[0] > start+promoteWait+10*millisecond {
		t.Errorf("the promotion came at %v after a start at %v", votes, start)
	}
}

// A crash during a stage whose endpoints had all been listed delayed the promotion until they were back and 3 s old; the
// rollout controller withdrew a good build by then. Found on real sockets.
func TestCrashDoesNotDelayPromotion(t *testing.T) {
	for _, shown := range []int{2, 1} { // of two endpoints of the stage
		gateway := newTestGateway(5, PromoteByAnyVote)
		gateway.balancer.gateways = 1
		withEndpoints(gateway, 20)
		gateway.run(2*second, 0)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, gateway.now)
		start := gateway.now
		gateway.addEndpoints(shown, start, 2)
		gateway.run(second, 0)
		gateway.balancer.UpdateEndpoint(gateway.endpoints[20], EndpointStatus{Ready: true, Present: true, Build: 2, Size: 2, StartedAt: gateway.now}, gateway.now) // it restarts
		if shown == 2 {
			gateway.balancer.UpdateEndpoint(gateway.endpoints[21], EndpointStatus{Build: 2, Size: 2, StartedAt: start}, gateway.now)
		}
		gateway.balancer.CommitEndpointList(false, gateway.now)
		gateway.run(promoteWait-second-100*millisecond, 0)
		early := gateway.balancer.currentVerdict(gateway.now)
		gateway.run(200*millisecond, 0)
		if late := gateway.balancer.currentVerdict(gateway.now); early != VerdictNone || (late == VerdictPromote) != (shown == 2) {
			t.Errorf("%d of two endpoints were listed: votes %v, then %v", shown, early, late)
		}
	}
}
