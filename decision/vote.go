package decision

import (
	"math"
	"slices"
	"time"

	"laurelring/decision/monotonic"
)

const (
	promoteWait        = 3 * time.Second         // 'on' comes this long after the stage's latest listed start
	blindPromoteWait   = 6 * time.Second         // a blind one votes 'on' this late
	blindMinLagShare   = 0.05                    // and only if being behind costs this share of what harm does
	rollbackCaseHold   = 1000 * time.Millisecond // a case must stand so long once few earlier machines are left
	timerHoldLevel     = 4.0                     // under a clock a back vote is kept while the product stays above this
	stageListedTimeout = 12 * time.Second        // by then a stage is judged by the machines that the list shows
)

// ToldVote tells the answer to a vote. One that was not counted is cast again, soon but not at once: the
// platform's calls are shared by all gateways. One that may have counted is repeated too.
func (lb *Balancer) VoteAnswered(outcome Outcome, now monotonic.Time) {
	rollout := &lb.rollout
	rollout.voteInFlight = false
	switch outcome {
	case OutcomeSuccess:
		rollout.nextVoteAt = rollout.votedAt + rollout.voteTTL/2
	case OutcomeNotSent:
		rollout.lastVote = Vote{}
		rollout.nextVoteAt = now + 500*time.Millisecond
	default:
		rollout.nextVoteAt = now + 300*time.Millisecond + time.Duration(lb.random.Below(400))*time.Millisecond
	}
}

// opinion is this gateway's vote now: a voter's own finding, or what the voters told.
func (lb *Balancer) currentVerdict(now monotonic.Time) Verdict {
	rollout, canary := &lb.rollout, &lb.canary
	if rollout.ownCounters == nil || canary.build != rollout.build || canary.phase == PhaseRollingBack || canary.phase == PhaseRolledBack {
		return VerdictNone
	}
	blind := rollout.peerMessages && minReportingOneIn*(rollout.reportingPeers+1) < lb.gateways
	if !slices.Contains(lb.voters(rollout.build), lb.rank) {
		if word, heard := lb.followedVerdict(now); heard {
			return word
		}
		blind = true
	}
	// With few earlier machines left a case by failures must stand a while (guards against machines that begin
	// to fail after a release, until they are named ill; harms where a build does so).
	if level, work := lb.evidence(); level >= math.Log(1/alpha) {
		rollout.rollbackCase = rollout.rollbackCase || lb.baselineRemains() || work >= math.Log(1/alpha) || now-rollout.rollbackCaseClearAt >= rollbackCaseHold
	} else if rollout.rollbackCaseClearAt = now; rollout.mode == PromoteByTimer && level < math.Log(timerHoldLevel) {
		rollout.rollbackCase = false
	}
	if rollout.rollbackCase {
		return VerdictRollBack
	}
	if canary.phase != PhaseCanary || rollout.mode == PromoteByTimer {
		return VerdictNone
	}
	// Guards against lost messages: without the others' totals a build is moved on later, and not at all where
	// a bad one costs far more than a wait. A gateway that hears no voter judges by its own: where many votes
	// are required, so many would hardly err at once. A bad build may come further than it would with
	// messages.
	wait := promoteWait
	if blind && rollout.lagCost < blindMinLagShare*rollout.harmCost {
		return VerdictNone
	} else if blind {
		wait = blindPromoteWait
	}
	latest, all := lb.latestStart()
	if over := max(latest, rollout.stageStartedAt) + wait; latest > 0 && now < over {
		rollout.promoteCheckAt = over
	} else if latest > 0 && (all || now-rollout.stageStartedAt > stageListedTimeout) {
		return VerdictPromote
	}
	return VerdictNone
}

// latestStart is the latest listed start of the build's machines, and whether all of the stage's are listed
// or were. Guards against machines that die amid a stage: their restarts are no starts of it. Harms where a
// build kills its machines slowly: it moves on with fewer.
func (lb *Balancer) latestStart() (latest monotonic.Time, all bool) {
	canary, rollout := &lb.canary, &lb.rollout
	latest, shown := lb.buildStarts(canary.build)
	rollout.stageListed = rollout.stageListed || canary.stage >= len(rollout.stageShares) ||
		float64(shown) >= math.Ceil(rollout.stageShares[canary.stage]*float64(lb.endpointList.maxEndpoints)-0.01)
	return latest, rollout.stageListed
}

// vote casts this gateway's vote when it has changed, before it lapses, and again after a lost answer.
func (lb *Balancer) castVote(found Verdict, now monotonic.Time, due *DueWork) {
	rollout, canary := &lb.rollout, &lb.canary
	v := Vote{Build: rollout.build, Stage: canary.stage, Verdict: found}
	if v.Verdict == VerdictNone && rollout.lastVote.Verdict == VerdictNone || rollout.voteInFlight && now < rollout.votedAt+rollout.answerTimeout+time.Second {
		return
	}
	if v == rollout.lastVote && now < rollout.nextVoteAt || v.Verdict == VerdictNone && canary.phase != PhaseCanary {
		return
	}
	due.Votes = append(due.Votes, v)
	rollout.lastVote, rollout.votedAt, rollout.voteInFlight, rollout.nextVoteAt = v, now, true, now+rollout.answerTimeout
}

// starts gives the latest start of a build's ready machines, and how many there are.
func (lb *Balancer) buildStarts(build int) (latest monotonic.Time, shown int) {
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && endpoint.build == build {
			latest = max(latest, endpoint.firstStartedAt)
			shown++
		}
	}
	return latest, shown
}

// judge is the pair test and the vote.
type rolloutState struct {
	mode                        PromotionMode
	promoteVotes, rollbackVotes int
	stageShares                 []float64
	voteTTL                     time.Duration
	answerTimeout               time.Duration
	lagCost, harmCost           float64 // what it costs to serve all by an earlier build, and to fail all effects
	peerMessages                bool

	build                int // the build under judgement, 0 for none
	ownCounters          []uint32
	stageBaseline        []uint32          // all totals when the stage began, or the release, were first looked at
	departedCounters     []uint32          // of it, what machines showed that have left
	busyTime             [2]float64        // busy time by the machines' own figures: trial, earlier builds
	previousBusyTime     [2]float64        // the same when totals were last due
	departedBusyTime     [2]float64        // of it, that of machines that have left
	statusReceived       bool              // a stage has been told
	costBaseline         []uint32          // all totals when their work began to be seen; nil while it is not
	costBaselineAt       monotonic.Time    // when that was, if it was
	joinedMidCanary      bool              // after the build was first heard of
	costComparable       bool              // and long enough ago
	restartedCounters    []uint32          // totals of gateways that have started anew
	baselineCost         float64           // what a command cost the machines before the build
	fleetCost            [2]float64        // answers since the stage began, and their cost in those of before
	pendingFleetCost     [][2]float64      // the latest of the same, not yet added
	reports              []*EvidenceReport // each sender's latest, by number
	reportingPeers       int               // senders heard lately
	underReported        bool              // they are too few
	underReportedAt      monotonic.Time    // since then this voter has heard most gateways
	voters               []int
	votersBuild          int            // the build whose voters these are
	voterReports         []*VoterReport // each voter's latest
	lastReportedVerdict  Verdict        // what was last told to the others
	lastReportedOutliers int            // machines it named
	nextVoterReportAt    monotonic.Time // when that is told again
	rankings             []buildRanking
	buildSeenAt          monotonic.Time // when the list first showed the build
	stageStartedAt       monotonic.Time // when the present stage was first heard of
	stageListed          bool           // the present stage was, in full
	nextEvidenceAt       monotonic.Time // when totals are next due
	promoteCheckAt       monotonic.Time // when the wait before 'on' is over, far off where none is
	rollbackCase         bool           // the product has reached its level
	rollbackCaseClearAt  monotonic.Time // when it last had not
	lastVote             Vote           // the last one cast
	votedAt              monotonic.Time
	voteInFlight         bool // for its answer
	nextVoteAt           monotonic.Time
}
