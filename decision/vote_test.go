package decision

import (
	"testing"
	"time"

	"laurelring/decision/rollout"
)

// Once no baseline endpoint remains, evidence by failures must hold for a while before a rollback is voted, as single
// endpoints may fail. Evidence by the cost of the fleet leads to a rollback vote at once.
func TestCostEvidenceLeadsToRollbackVoteAtOnce(t *testing.T) {
	for _, byCost := range []bool{true, false} {
		gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, gateway.now)
		for _, endpoint := range gateway.endpoints {
			gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: 2, Cell: endpoint.cell, Size: 2, StartedAt: gateway.now - 20*second}, gateway.now)
			endpoint.evidence.byOpType[0] = rollout.Counters{Attempts: 300, Failures: 90}
		}
		gateway.balancer.CommitEndpointList(false, gateway.now)
		gateway.balancer.rollout.evidence.departedTotals.At(rollout.Baseline, 0).Attempts = 1000
		if byCost {
			gateway.balancer.rollout.cost.fleetCost = rollout.FleetCost{Requests: 300, Cost: 900}
		}
		gateway.balancer.sumEvidence(gateway.now)
		gateway.balancer.rollout.rollback.belowThresholdAt = gateway.now
		atOnce := gateway.balancer.currentVerdict(gateway.now)
		gateway.now += rollbackConditionHold
		if afterHold := gateway.balancer.currentVerdict(gateway.now); atOnce == VerdictRollBack != byCost || afterHold != VerdictRollBack {
			t.Errorf("by cost %v: got verdict %v at once and %v after the hold", byCost, atOnce, afterHold)
		}
	}
}

// A promotion is voted 3 s after the latest listed start, once all endpoints of the stage are listed. The vote is
// renewed.
func TestPromotesThreeSecondsAfterTheLatestStart(t *testing.T) {
	gateway := newFleetGateway(5, PromoteByAnyVote, 0, 1, 1)
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
				t.Fatalf("got vote %v, want a promotion", v)
			}
			votes = append(votes, gateway.now)
			gateway.balancer.VoteAnswered(OutcomeSuccess, gateway.now)
		}
	}
	if len(votes) < 2 || votes[0] < start+promoteWait || votes[0] > start+promoteWait+10*millisecond {
		t.Errorf("got promotion votes at %v, want the first 3 s after the start at %v, and a second one", votes, start)
	}
}

// A crash during a stage whose endpoints had all been listed delayed the promotion until the endpoints had restarted
// and were 3 s old. By then the rollout controller had rolled back a good build. Found by the socket benchmark, runs
// 32, 37 and 53.
func TestCrashDoesNotDelayPromotion(t *testing.T) {
	for _, listed := range []int{2, 1} { // of the stage's two endpoints
		gateway := newFleetGateway(5, PromoteByAnyVote, 0, 1, 1)
		withEndpoints(gateway, 20)
		gateway.run(2*second, 0)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, gateway.now)
		start := gateway.now
		gateway.addEndpoints(listed, start, 2)
		gateway.run(second, 0)
		gateway.balancer.UpdateEndpoint(gateway.endpoints[20], EndpointStatus{Ready: true, Present: true, Build: 2, Size: 2, StartedAt: gateway.now}, gateway.now) // the endpoint restarts
		if listed == 2 {
			gateway.balancer.UpdateEndpoint(gateway.endpoints[21], EndpointStatus{Build: 2, Size: 2, StartedAt: start}, gateway.now)
		}
		gateway.balancer.CommitEndpointList(false, gateway.now)
		gateway.run(promoteWait-second-100*millisecond, 0)
		early := gateway.balancer.currentVerdict(gateway.now)
		gateway.run(200*millisecond, 0)
		if late := gateway.balancer.currentVerdict(gateway.now); early != VerdictNone || (late == VerdictPromote) != (listed == 2) {
			t.Errorf("%d of 2 endpoints were listed: got verdict %v before and %v after the promotion wait", listed, early, late)
		}
	}
}

// A vote is not cast while the last one is unanswered, or is the same and has not expired.
func TestVoteIsDueWhenItChangesOrExpires(t *testing.T) {
	const answerTimeout = second
	promote := Vote{Build: 2, Stage: 1, Verdict: VerdictPromote}
	rollBack := Vote{Build: 2, Stage: 1, Verdict: VerdictRollBack}
	none := Vote{Build: 2, Stage: 1}
	for _, c := range []struct {
		name  string
		state voteState
		vote  Vote
		now   time.Duration
		want  bool
	}{
		{"no verdict", voteState{}, none, 100 * second, false},
		{"first vote", voteState{}, promote, 100 * second, true},
		{"same vote before its renewal time", voteState{last: promote, castAt: 100 * second, nextAt: 103 * second}, promote, 103*second - millisecond, false},
		{"same vote at its renewal time", voteState{last: promote, castAt: 100 * second, nextAt: 103 * second}, promote, 103 * second, true},
		{"changed vote", voteState{last: promote, castAt: 100 * second, nextAt: 103 * second}, rollBack, 101 * second, true},
		{"withdrawn vote", voteState{last: promote, castAt: 100 * second, nextAt: 103 * second}, none, 101 * second, true},
		{"changed vote, last vote unanswered", voteState{last: promote, castAt: 100 * second, inFlight: true}, rollBack, 102*second - millisecond, false},
		{"changed vote, answer to the last vote lost", voteState{last: promote, castAt: 100 * second, inFlight: true}, rollBack, 102 * second, true},
	} {
		if got := c.state.isDue(c.vote, answerTimeout, c.now); got != c.want {
			t.Errorf("%s: got due %v, want %v", c.name, got, c.want)
		}
	}
}

// A vote that counted is renewed at half its lifetime. A vote that did not count, or may not have, is cast again soon.
func TestVoteOutcomeDeterminesTimeOfNextVote(t *testing.T) {
	promote := Vote{Build: 2, Verdict: VerdictPromote}
	for _, c := range []struct {
		outcome          Outcome
		earliest, latest time.Duration // after the answer, which comes 0.2 s after the vote
		last             Vote
	}{
		{OutcomeSuccess, 2800 * millisecond, 2800 * millisecond, promote},
		{OutcomeNotSent, 500 * millisecond, 500 * millisecond, Vote{}},
		{OutcomeTimeout, 300 * millisecond, 699 * millisecond, promote},
		{OutcomeConnectionLost, 300 * millisecond, 699 * millisecond, promote},
	} {
		gateway := newTestGateway(3, PromoteByAnyVote)
		vote := &gateway.balancer.rollout.vote
		*vote = voteState{last: promote, castAt: gateway.now, inFlight: true}
		answered := gateway.now + 200*millisecond
		gateway.balancer.VoteAnswered(c.outcome, answered)
		if wait := vote.nextAt - answered; wait < c.earliest || wait > c.latest || vote.inFlight || vote.last != c.last {
			t.Errorf("after outcome %v: got %+v, cast again after %v", c.outcome, *vote, wait)
		}
	}
}
