package decision

import (
	"math"
	"slices"
	"time"

	"laurelring/decision/monotonic"
)

const (
	// promoteWait is how long after the latest listed start of the stage's endpoints a promotion is voted.
	promoteWait = 3 * time.Second
	// isolatedPromoteWait is the same for a gateway that hears too few others.
	isolatedPromoteWait = 6 * time.Second
	// isolatedMinLagShare is the share of the harm cost that the lag cost must be for such a gateway to vote a promotion.
	isolatedMinLagShare = 0.05
	// isolationDivisor: one gateway in this many must be heard, or a voter is blind.
	isolationDivisor = 3
	// stageListedTimeout is the age at which a stage is judged by the endpoints listed, though fewer than its share.
	stageListedTimeout = 12 * time.Second
	// stageShareTolerance keeps rounding errors in a stage's share from asking for one endpoint more.
	stageShareTolerance = 0.01

	// lostAnswerGrace is how long after its timeout an unanswered vote blocks the next.
	lostAnswerGrace = time.Second
	// notSentRetryDelay is the delay before a vote that was not sent is cast again: soon, but not at once, as all gateways
	// share the rollout controller.
	notSentRetryDelay = 500 * time.Millisecond
	// uncertainRetryDelay and uncertainRetryJitter space out the repetition of a vote that may or may not have counted.
	uncertainRetryDelay  = 300 * time.Millisecond
	uncertainRetryJitter = 400 * time.Millisecond
)

// stageState is what is known of the present stage.
type stageState struct {
	startedAt      monotonic.Time // when this gateway was notified of it, less its age then
	allListed      bool           // all of its endpoints are or were listed
	promoteCheckAt monotonic.Time // when the wait before a promotion is over; noCheck where none is awaited
}

// noCheck is a moment that never comes.
const noCheck = monotonic.Time(math.MaxInt64)

// voteState is this gateway's last vote.
type voteState struct {
	last     Vote
	castAt   monotonic.Time
	inFlight bool // not yet answered
	nextAt   monotonic.Time
}

// currentVerdict returns what this gateway votes: a voter by its own evidence, another by the voters' reports.
func (lb *Balancer) currentVerdict(now monotonic.Time) Verdict {
	state, canary := &lb.rollout, &lb.canary
	if !state.evaluating() || canary.build != state.build || canary.phase == PhaseRollingBack || canary.phase == PhaseRolledBack {
		return VerdictNone
	}
	blind := state.settings.peerMessages && isolationDivisor*(state.peers.reportingPeers+1) < lb.gateways
	if !slices.Contains(lb.voters(state.build), lb.rank) {
		if verdict, heard := lb.followedVerdict(now); heard {
			return verdict
		}
		// A gateway that hears no voter judges by its own evidence: where many votes are required, so many would hardly err
		// at once.
		blind = true
	}
	state.rollback.update(lb.evidence(), lb.baselineRemains(), state.settings.mode, now)
	if state.rollback.met {
		return VerdictRollBack
	}
	if canary.phase != PhaseCanary || state.settings.mode == PromoteByTimer {
		return VerdictNone
	}
	return lb.promotionVerdict(blind, now)
}

// promotionVerdict promotes the build once the stage's endpoints have run for a while. A blind gateway lacks the others'
// evidence: it promotes later, and not at all where a bad build costs far more than a wait. A bad build may come further than
// it would with messages.
func (lb *Balancer) promotionVerdict(blind bool, now monotonic.Time) Verdict {
	state := &lb.rollout
	wait := promoteWait
	if blind && state.settings.lagCost < isolatedMinLagShare*state.settings.harmCost {
		return VerdictNone
	} else if blind {
		wait = isolatedPromoteWait
	}
	latest, allListed := lb.latestStart()
	if latest <= 0 {
		return VerdictNone
	}
	if over := max(latest, state.stage.startedAt) + wait; now < over {
		state.stage.promoteCheckAt = over
		return VerdictNone
	}
	if allListed || now-state.stage.startedAt > stageListedTimeout {
		return VerdictPromote
	}
	return VerdictNone
}

// latestStart returns the latest listed start of the build's endpoints, and whether all of the stage's are listed or were. It
// guards against endpoints that crash during a stage, whose restarts are no starts of it, and harms where a build kills its
// endpoints slowly: it is promoted with fewer.
func (lb *Balancer) latestStart() (latest monotonic.Time, allListed bool) {
	canary, state := &lb.canary, &lb.rollout
	latest, listed := lb.buildStarts(canary.build)
	shares := state.settings.stageShares
	state.stage.allListed = state.stage.allListed || canary.stage >= len(shares) ||
		float64(listed) >= math.Ceil(shares[canary.stage]*float64(lb.endpointList.maxEndpoints)-stageShareTolerance)
	return latest, state.stage.allListed
}

// buildStarts returns the latest start of a build's ready endpoints, and how many there are.
func (lb *Balancer) buildStarts(build int) (latest monotonic.Time, listed int) {
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && endpoint.build == build {
			latest = max(latest, endpoint.firstStartedAt)
			listed++
		}
	}
	return latest, listed
}

// castVote casts this gateway's vote when it has changed, before it lapses, and again after a lost answer.
func (lb *Balancer) castVote(verdict Verdict, now monotonic.Time, due *DueWork) {
	state, canary := &lb.rollout, &lb.canary
	vote := Vote{Build: state.build, Stage: canary.stage, Verdict: verdict}
	if !state.vote.isDue(vote, state.settings.answerTimeout, now) || verdict == VerdictNone && canary.phase != PhaseCanary {
		return
	}
	due.Votes = append(due.Votes, vote)
	state.vote = voteState{last: vote, castAt: now, inFlight: true, nextAt: now + state.settings.answerTimeout}
}

// isDue reports whether a vote is to be cast: not while the one before is unanswered, and not while it says the same and stands.
func (v *voteState) isDue(vote Vote, answerTimeout time.Duration, now monotonic.Time) bool {
	if vote.Verdict == VerdictNone && v.last.Verdict == VerdictNone {
		return false
	}
	if v.inFlight && now < v.castAt+answerTimeout+lostAnswerGrace {
		return false
	}
	return vote != v.last || now >= v.nextAt
}

// VoteAnswered takes in how the casting of a vote ended. One that was not counted, or may not have been, is cast again.
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
