package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

// rolloutSettings is what the deployment says of rollouts.
type rolloutSettings struct {
	mode                        PromotionMode
	promoteVotes, rollbackVotes int
	stageShares                 []float64
	voteTTL                     time.Duration
	answerTimeout               time.Duration
	lagCost, harmCost           float64
	peerMessages                bool
}

// rolloutState is what this gateway knows of the build under judgement, and its part in the verdict.
type rolloutState struct {
	settings       rolloutSettings
	build          int            // the build under judgement, 0 for none
	buildSeenAt    monotonic.Time // when the endpoint list or the rollout controller first named it
	statusReceived bool           // a rollout status has come since this gateway started

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

// evaluating reports whether a build is under judgement, and evidence on it is counted.
func (r *rolloutState) evaluating() bool { return r.evidence.ownTotals != nil }

// startStage begins a stage or a phase of the newest build.
func (r *rolloutState) startStage(startedAt monotonic.Time, phase RolloutPhase) {
	r.stage.startedAt, r.stage.allListed = startedAt, false
	r.vote.nextAt = 0
	r.evidence.totalsAtStageStart = nil
	if r.evaluating() && phase == PhaseCanary {
		// What the fleet's requests cost at a smaller stage says little about this one.
		r.cost.fleetCost, r.cost.pendingFleetCosts = rollout.FleetCost{}, nil
	}
}

// beginCanary puts a build under judgement when it is first seen. The build that the gateway starts with is not judged.
func (lb *Balancer) beginCanary(build int, now monotonic.Time) {
	state := &lb.rollout
	if lb.canary.build < 0 || build <= state.build || !lb.isCanary(build) {
		return
	}
	for _, endpoint := range lb.endpoints {
		lb.retireEvidence(endpoint)
	}
	lb.canary.stickyKeys.CanaryStarted()
	state.build, state.buildSeenAt = build, now
	state.peers.reports.Judge(build)
	state.evidence = newEvidenceState(len(lb.opTypes))
	var costStart rollout.Table
	if state.statusReceived { // this gateway ran before the build was seen, and so counts all of its busy time
		costStart = rollout.NewTable(len(lb.opTypes))
	}
	state.cost.restart(costStart)
	state.rollback.met = false
	state.vote.last, state.vote.nextAt = Vote{}, 0
}

// advanceRollout does what is due for the build under judgement and returns when it is to be called again.
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
