package decision

import (
	"math"
	"slices"
	"time"

	"laurelring/decision/monotonic"
)

const (
	// promoteWait is the time from the latest listed start of the stage's endpoints until a promotion is voted.
	promoteWait = 3 * time.Second
	// isolatedPromoteWait replaces promoteWait at an isolated gateway, which receives reports from too few other
	// gateways.
	isolatedPromoteWait = 6 * time.Second
	// isolatedMinLagShare is the least lag cost, as a share of the harm cost, at which an isolated gateway votes a
	// promotion.
	isolatedMinLagShare = 0.05
	// isolationDivisor: a voter is isolated if fewer than 1/isolationDivisor of the gateways, itself included, are
	// reporting.
	isolationDivisor = 3
	// stageListedTimeout is the age of a stage from which a promotion is voted even if fewer endpoints than the stage's
	// share are listed.
	stageListedTimeout = 12 * time.Second
	// stageShareTolerance keeps a rounding error in a stage's share from requiring one more endpoint.
	stageShareTolerance = 0.01

	// lostAnswerGrace is the time after the timeout of an unanswered vote during which no other vote is cast.
	lostAnswerGrace = time.Second
	// notSentRetryDelay is the delay before a vote that was not sent is cast again. It is short, but above 0, as all
	// gateways call the same rollout controller.
	notSentRetryDelay = 500 * time.Millisecond
	// uncertainRetryDelay is the shortest delay before a vote that may or may not have counted is cast again, and
	// uncertainRetryJitter is the range of the random delay added to it.
	uncertainRetryDelay  = 300 * time.Millisecond
	uncertainRetryJitter = 400 * time.Millisecond
)

// stageState is the state of the current stage.
type stageState struct {
	startedAt      monotonic.Time // when the stage began: when this gateway was notified of it, less its age then
	listed         bool           // all endpoints of the stage are or were listed
	promoteCheckAt monotonic.Time // when the wait before a promotion ends; noCheck if there is no such wait
}

// noCheck is a time that is never reached.
const noCheck = monotonic.Time(math.MaxInt64)

// voteState is the state of this gateway's last vote.
type voteState struct {
	last     Vote
	castAt   monotonic.Time
	inFlight bool           // the vote is not yet answered
	nextAt   monotonic.Time // when the same vote is to be cast again
}

// currentVerdict returns the verdict for which this gateway votes: a voter's own verdict on the evidence, or the
// verdict that the voters report to this gateway.
func (lb *Balancer) currentVerdict(now monotonic.Time) Verdict {
	state, canary := &lb.rollout, &lb.canary
	if !state.evaluating() || canary.build != state.build || canary.phase == PhaseRollingBack || canary.phase == PhaseRolledBack {
		return VerdictNone
	}
	isolated := state.settings.peerMessages && isolationDivisor*(state.peers.reportingPeers+1) < lb.gateways
	if !slices.Contains(lb.voters(state.build), lb.rank) {
		if verdict, followed := lb.followedVerdict(now); followed {
			return verdict
		}
		// A gateway that receives no voter's report evaluates its own evidence. If many votes are required, it is
		// unlikely that as many gateways are wrong at the same time.
		isolated = true
	}
	state.rollback.update(lb.evidence(), lb.baselineRemains(), state.settings.mode, now)
	if state.rollback.met {
		return VerdictRollBack
	}
	if canary.phase != PhaseCanary || state.settings.mode == PromoteByTimer {
		return VerdictNone
	}
	return lb.promotionVerdict(isolated, now)
}

// promotionVerdict returns VerdictPromote once the stage's endpoints have run for long enough. An isolated gateway
// lacks the other gateways' evidence, so it promotes later, and not at all if a bad build costs far more than a delay.
// A bad build may reach a later stage than it would with the other gateways' evidence.
func (lb *Balancer) promotionVerdict(isolated bool, now monotonic.Time) Verdict {
	state := &lb.rollout
	wait := promoteWait
	if isolated && state.settings.lagCost < isolatedMinLagShare*state.settings.harmCost {
		return VerdictNone
	} else if isolated {
		wait = isolatedPromoteWait
	}
	latest, allListed := lb.latestStart()
	if latest <= 0 {
		return VerdictNone
	}
	if waitEndsAt := max(latest, state.stage.startedAt) + wait; now < waitEndsAt {
		state.stage.promoteCheckAt = waitEndsAt
		return VerdictNone
	}
	if allListed || now-state.stage.startedAt > stageListedTimeout {
		return VerdictPromote
	}
	return VerdictNone
}

// latestStart returns the latest listed start of the build's endpoints, and whether all endpoints of the stage are or
// were listed. Endpoints that crash during a stage do not delay its promotion, as their restarts do not count as
// starts. A build that kills its endpoints slowly is therefore promoted with fewer endpoints.
func (lb *Balancer) latestStart() (latest monotonic.Time, allListed bool) {
	canary, state := &lb.canary, &lb.rollout
	latest, listed := lb.buildStarts(canary.build)
	shares := state.settings.stageShares
	state.stage.listed = state.stage.listed || canary.stage >= len(shares) ||
		float64(listed) >= math.Ceil(shares[canary.stage]*float64(lb.endpointList.maxEndpoints)-stageShareTolerance)
	return latest, state.stage.listed
}

// buildStarts returns the latest start among the ready endpoints of a build, and the number of these endpoints.
func (lb *Balancer) buildStarts(build int) (latest monotonic.Time, listed int) {
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && endpoint.build == build {
			latest = max(latest, endpoint.firstStartedAt)
			listed++
		}
	}
	return latest, listed
}

// castVote casts this gateway's vote if it has changed, before the last vote expires, and again after a lost answer.
func (lb *Balancer) castVote(verdict Verdict, now monotonic.Time, due *DueWork) {
	state, canary := &lb.rollout, &lb.canary
	vote := Vote{Build: state.build, Stage: canary.stage, Verdict: verdict}
	if !state.vote.isDue(vote, state.settings.answerTimeout, now) || verdict == VerdictNone && canary.phase != PhaseCanary {
		return
	}
	due.Votes = append(due.Votes, vote)
	state.vote = voteState{last: vote, castAt: now, inFlight: true, nextAt: now + state.settings.answerTimeout}
}

// isDue reports whether a vote is to be cast now. It is not while the last vote is unanswered, or is the same and has
// not expired. A vote without a verdict is cast only to withdraw an earlier vote.
func (v *voteState) isDue(vote Vote, answerTimeout time.Duration, now monotonic.Time) bool {
	if vote.Verdict == VerdictNone && v.last.Verdict == VerdictNone {
		return false
	}
	if v.inFlight && now < v.castAt+answerTimeout+lostAnswerGrace {
		return false
	}
	return vote != v.last || now >= v.nextAt
}

// VoteAnswered records how the call that cast a vote ended. A vote that did not count, or may not have, is cast again.
func (lb *Balancer) VoteAnswered(outcome Outcome, now monotonic.Time) {
	vote := &lb.rollout.vote
	vote.inFlight = false
	switch outcome {
	case OutcomeSuccess:
		vote.nextAt = vote.castAt + lb.rollout.settings.voteTTL/2
	case OutcomeNotSent:
		vote.last = Vote{}
		vote.nextAt = now + notSentRetryDelay
	default:
		vote.nextAt = now + uncertainRetryDelay + lb.random.Jitter(uncertainRetryJitter)
	}
}
