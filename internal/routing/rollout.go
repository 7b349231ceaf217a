package routing

import (
	"log/slog"
	"slices"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// maxKnownBuilds is the maximum number of listed builds that are remembered. A build that was dropped is verified again
// when it is listed again.
const maxKnownBuilds = 64

// rolloutState is the router's state of builds and their rollout.
type rolloutState struct {
	knownBuilds []int           // builds passed to VerifyBuild, the earliest first
	lastLogged  rolloutPosition // the latest position that was logged
	unreadSince monotonic.Time  // since when a message that may lower the exposure cap is unread; 0 if none is
}

// rolloutPosition is the stage and phase that the rollout of a build has reached.
type rolloutPosition struct {
	build, stage int
	phase        decision.RolloutPhase
}

// addKnownBuild records a build as listed, and reports whether it was unknown before.
func (s *rolloutState) addKnownBuild(build int) bool {
	if slices.Contains(s.knownBuilds, build) {
		return false
	}
	s.knownBuilds = append(s.knownBuilds, build)
	if len(s.knownBuilds) > maxKnownBuilds {
		s.knownBuilds = s.knownBuilds[1:]
	}
	return true
}

// RolloutStatusReceived posts the rollout status of the newest build.
func (r *Router) RolloutStatusReceived(status decision.RolloutStatus) {
	r.post(func(now monotonic.Time) {
		r.logRolloutStatus(status)
		r.balancer.RolloutChanged(status, now)
		r.withholdDisallowed(now)
	})
}

// logRolloutStatus logs a status if its build, stage or phase differs from the status logged before.
func (r *Router) logRolloutStatus(status decision.RolloutStatus) {
	position := rolloutPosition{build: status.Build, stage: status.Stage, phase: status.Phase}
	if position == r.rollout.lastLogged {
		return
	}
	r.rollout.lastLogged = position
	slog.Info("rollout status changed", "build", status.Build, "stage", status.Stage, "phase", status.Phase,
		"exposure_cap", status.ExposureCap)
}

// verifyBuild starts the verification of a build when the build is first listed.
func (r *Router) verifyBuild(build int) {
	if r.drivers.VerifyBuild != nil && r.rollout.addKnownBuild(build) {
		r.drivers.VerifyBuild(build)
	}
}

// BuildVerified posts whether a build is the one that was signed.
func (r *Router) BuildVerified(build int, verified bool) {
	r.post(func(now monotonic.Time) {
		r.balancer.BuildVerified(build, verified)
		r.withholdDisallowed(now)
	})
}

// castVotes casts votes at the rollout controller.
func (r *Router) castVotes(votes []decision.Vote, now monotonic.Time) {
	for _, vote := range votes {
		slog.Info("vote cast", "build", vote.Build, "stage", vote.Stage, "verdict", vote.Verdict)
		r.drivers.CastVote(vote, now)
	}
}

// VoteAnswered posts the outcome of the call that cast a vote.
func (r *Router) VoteAnswered(outcome decision.Outcome) {
	r.post(func(now monotonic.Time) {
		if outcome != decision.OutcomeSuccess {
			slog.Warn("vote not counted", "outcome", outcome)
		}
		r.balancer.VoteAnswered(outcome, now)
	})
}

// sendEvidence sends the evidence and voter reports that are due to other gateways.
func (r *Router) sendEvidence(due *decision.DueWork, now monotonic.Time) {
	if due.EvidenceReport != nil {
		datagram := protocol.EncodeEvidenceReport(due.EvidenceReport, r.endpoints.hashOf)
		for _, recipient := range due.EvidenceRecipients {
			r.drivers.SendDatagram(recipient, datagram, now)
		}
	}
	if due.VoterReport != nil {
		datagram := protocol.EncodeVoterReport(due.VoterReport, r.endpoints.hashOf)
		r.drivers.SendDatagram(gossip.AllGateways, datagram, now)
	}
}

// handleEvidence processes another gateway's evidence or voter report on a build. Any other datagram is ignored.
func (r *Router) handleEvidence(sender int, datagram []byte, now monotonic.Time) {
	if report := protocol.DecodeEvidenceReport(datagram, sender, r.endpoints.endpointByHash); report != nil {
		r.balancer.EvidenceReceived(report, now)
	} else if report := protocol.DecodeVoterReport(datagram, sender, r.endpoints.endpointByHash); report != nil {
		r.balancer.VoterReportReceived(report, now)
	}
}
