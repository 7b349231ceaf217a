package decision

import (
	"testing"
	"time"

	"laurelring/decision/rollout"
)

// Once no baseline endpoint remains, a case by failures must stand for a while, as single endpoints may fail; one by the
// fleet's cost is voted at once.
func TestCaseByCostNeedNotStand(t *testing.T) {
	for _, byCost := range []bool{true, false} {
		w := started(newWorld(9, PromoteByAnyVote), 8)
		w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, w.now)
		for _, endpoint := range w.instances {
			w.g.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: 2, Cell: endpoint.cell, Size: 2, StartedAt: w.now - 20*s}, w.now)
			endpoint.evidence.byOpType[0] = rollout.Counters{Attempts: 300, Failures: 90}
		}
		w.g.CommitEndpointList(false, w.now)
		w.g.rollout.evidence.departed.At(rollout.Baseline, 0).Attempts = 1000
		if byCost {
			w.g.rollout.cost.fleet = rollout.FleetCost{Requests: 300, Cost: 900}
		}
		w.g.sumEvidence(w.now)
		w.g.rollout.rollback.clearAt = w.now
		first := w.g.currentVerdict(w.now)
		w.now += rollbackCaseHold
		if then := w.g.currentVerdict(w.now); first == VerdictRollBack != byCost || then != VerdictRollBack {
			t.Errorf("by cost %v: %v at once, then %v", byCost, first, then)
		}
	}
}

// A promotion is voted 3 s after the latest listed start, once all of the stage's endpoints are listed; votes are renewed.
func TestPromotesThreeSecondsAfterTheLatestStart(t *testing.T) {
	w := newMember(5, PromoteByAnyVote, 0, 1, 1)
	w.list(10, 0, 1)
	w.g.RolloutChanged(RolloutStatus{Build: 1, Phase: PhaseReleased, ExposureCap: 1}, w.now)
	w.run(2*s, 0)
	w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, w.now)
	start := w.now + s
	var votes []time.Duration
	for i := 0; i < 2000; i++ {
		w.now += 5 * ms
		if w.now == start+s {
			w.list(2, start, 2)
		}
		for _, v := range w.wait().Votes {
			if v.Verdict != VerdictPromote {
				t.Fatalf("voted %v", v)
			}
			votes = append(votes, w.now)
			w.g.VoteAnswered(OutcomeSuccess, w.now)
		}
	}
	if len(votes) < 2 || votes[0] < start+promoteWait || votes[0] > start+promoteWait+10*ms {
		t.Errorf("voted to promote at %v after a start at %v", votes, start)
	}
}

// Socket bench, fleet runs 32, 37 and 53: a crash during a stage whose endpoints had all been listed delayed the promotion
// until they were back and 3 s old; by then the rollout controller had rolled back a good build.
func TestCrashDoesNotDelayPromotion(t *testing.T) {
	for _, listed := range []int{2, 1} { // of the stage's two endpoints
		w := newMember(5, PromoteByAnyVote, 0, 1, 1)
		started(w, 20)
		w.run(2*s, 0)
		w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, w.now)
		start := w.now
		w.list(listed, start, 2)
		w.run(s, 0)
		w.g.UpdateEndpoint(w.instances[20], EndpointStatus{Ready: true, Present: true, Build: 2, Size: 2, StartedAt: w.now}, w.now) // it restarts
		if listed == 2 {
			w.g.UpdateEndpoint(w.instances[21], EndpointStatus{Build: 2, Size: 2, StartedAt: start}, w.now)
		}
		w.g.CommitEndpointList(false, w.now)
		w.run(promoteWait-s-100*ms, 0)
		early := w.g.currentVerdict(w.now)
		w.run(200*ms, 0)
		if late := w.g.currentVerdict(w.now); early != VerdictNone || (late == VerdictPromote) != (listed == 2) {
			t.Errorf("%d of two endpoints were listed: votes %v, then %v", listed, early, late)
		}
	}
}

// A vote is not repeated while the one before is unanswered, nor while it stands.
func TestVoteIsDueWhenItChangesOrLapses(t *testing.T) {
	const answerTimeout = s
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
		{"nothing to say", voteState{}, none, 100 * s, false},
		{"the first vote", voteState{}, promote, 100 * s, true},
		{"the same vote while it stands", voteState{last: promote, castAt: 100 * s, nextAt: 103 * s}, promote, 103*s - ms, false},
		{"the same vote before it lapses", voteState{last: promote, castAt: 100 * s, nextAt: 103 * s}, promote, 103 * s, true},
		{"another vote", voteState{last: promote, castAt: 100 * s, nextAt: 103 * s}, rollBack, 101 * s, true},
		{"a withdrawn vote", voteState{last: promote, castAt: 100 * s, nextAt: 103 * s}, none, 101 * s, true},
		{"another vote, one unanswered", voteState{last: promote, castAt: 100 * s, inFlight: true}, rollBack, 102*s - ms, false},
		{"another vote, the answer lost", voteState{last: promote, castAt: 100 * s, inFlight: true}, rollBack, 102 * s, true},
	} {
		if got := c.state.isDue(c.vote, answerTimeout, c.now); got != c.want {
			t.Errorf("%s: due is %v, want %v", c.name, got, c.want)
		}
	}
}

// A vote that counted is renewed at half its life; one that did not, or may not have, is cast again soon.
func TestAnswerDecidesWhenTheVoteIsCastAgain(t *testing.T) {
	promote := Vote{Build: 2, Verdict: VerdictPromote}
	for _, c := range []struct {
		outcome          Outcome
		earliest, latest time.Duration // after the answer, which comes 0.2 s after the vote
		last             Vote
	}{
		{OutcomeSuccess, 2800 * ms, 2800 * ms, promote},
		{OutcomeNotSent, 500 * ms, 500 * ms, Vote{}},
		{OutcomeTimeout, 300 * ms, 699 * ms, promote},
		{OutcomeConnectionLost, 300 * ms, 699 * ms, promote},
	} {
		w := newWorld(3, PromoteByAnyVote)
		vote := &w.g.rollout.vote
		*vote = voteState{last: promote, castAt: w.now, inFlight: true}
		answered := w.now + 200*ms
		w.g.VoteAnswered(c.outcome, answered)
		if wait := vote.nextAt - answered; wait < c.earliest || wait > c.latest || vote.inFlight || vote.last != c.last {
			t.Errorf("after %v: %+v, cast again after %v", c.outcome, *vote, wait)
		}
	}
}
