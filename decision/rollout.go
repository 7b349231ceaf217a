package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

// rolloutSettings is the rollout configuration of the deployment.
type rolloutSettings struct {
	mode                        PromotionMode
	promoteVotes, rollbackVotes int
	stageShares                 []float64
	voteTTL                     time.Duration
	answerTimeout               time.Duration
	lagCost, harmCost           float64
	peerMessages                bool
}

// rolloutState is what this gateway knows of the build under evaluation, and the state of its own votes.
type rolloutState struct {
	settings       rolloutSettings
	build          int            // the build under evaluation until a later one is seen, 0 for none
	buildSeenAt    monotonic.Time // when the build was first seen, in the endpoint list or in a rollout status
	statusReceived bool           // a rollout status has arrived since this gateway started

	evidence evidenceState
	cost     costState
	peers    peerEvidenceState
	clocks   senderClocks
	voters   voterState
	stage    stageState
	rollback rollbackCondition
	vote     voteState
}

func newRolloutState(config RolloutConfig, costs CostConfig, gateways int) rolloutState {
	peerMessages := config.PeerMessages && gateways > 1
	voters := rollout.VoterCount(gateways, max(config.PromoteVotes, config.RollbackVotes), peerMessages)
	return rolloutState{
		settings: rolloutSettings{
			mode:          config.Mode,
			promoteVotes:  config.PromoteVotes,
			rollbackVotes: config.RollbackVotes,
			stageShares:   config.StageShares,
			voteTTL:       config.VoteTTL,
			answerTimeout: config.AnswerTimeout,
			lagCost:       costs.Lag,
			harmCost:      costs.Harm,
			peerMessages:  peerMessages,
		},
		clocks: newSenderClocks(gateways),
		peers:  peerEvidenceState{reports: rollout.NewPeerReports(gateways)},
		voters: voterState{selection: rollout.NewVoters(gateways, voters)},
		stage:  stageState{promoteCheckAt: noCheck},
	}
}

// evaluating reports whether a build is under evaluation. Evidence is counted only while one is.
func (r *rolloutState) evaluating() bool { return r.evidence.ownTotals != nil }

// startStage resets the state of the stage at the start of a new stage or phase of the newest build.
func (r *rolloutState) startStage(startedAt monotonic.Time, phase RolloutPhase) {
	r.stage.startedAt, r.stage.listed = startedAt, false
	r.vote.nextAt = 0
	r.evidence.totalsAtStageStart = nil
	if r.evaluating() && phase == PhaseCanary {
		// The cost of requests to the fleet at an earlier, smaller stage says little about this one.
		r.cost.fleetCost, r.cost.pendingFleetCosts = rollout.FleetCost{}, nil
	}
}

// startEvaluation starts the evaluation of a canary build when it is first seen. The build that the gateway starts with
// is not evaluated.
func (lb *Balancer) startEvaluation(build int, now monotonic.Time) {
	state := &lb.rollout
	if lb.canary.build < 0 || build <= state.build || !lb.isCanary(build) {
		return
	}
	for _, endpoint := range lb.endpoints {
		lb.retireEvidence(endpoint)
	}
	lb.canary.stickyKeys.CanaryStarted()
	state.build, state.buildSeenAt = build, now
	state.peers.reports.StartEvaluation(build)
	state.evidence = newEvidenceState(len(lb.opTypes))
	var costStart rollout.Table
	if state.statusReceived { // this gateway ran before the build was seen, so it counts all busy time of the build
		costStart = rollout.NewTable(len(lb.opTypes))
	}
	state.cost.restart(costStart)
	state.rollback.met = false
	state.vote.last, state.vote.nextAt = Vote{}, 0
}

// advanceRollout does the work that is due for the build under evaluation and returns the time of the next call.
func (lb *Balancer) advanceRollout(now monotonic.Time, due *DueWork) monotonic.Time {
	peers, stage := &lb.rollout.peers, &lb.rollout.stage
	if now >= peers.nextReportAt {
		peers.nextReportAt = now + evidenceInterval
		lb.learnFleetBaseline(now)
		lb.reportAndVote(now, due)
	} else if now >= stage.promoteCheckAt {
		stage.promoteCheckAt = noCheck
		lb.castVote(lb.currentVerdict(now), now, due)
	}
	return min(peers.nextReportAt, stage.promoteCheckAt)
}
