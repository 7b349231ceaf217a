package routing

import (
	"log/slog"
	"slices"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// maxKnownBuilds bounds the builds that are remembered as listed. One that is forgotten is verified again.
const maxKnownBuilds = 64

// rolloutState is what the router remembers of builds and their rollout.
type rolloutState struct {
	knownBuilds []int           // given to VerifyBuild, the earliest first
	logged      rolloutPosition // the latest that was logged
	unreadSince monotonic.Time  // since when something that may lower the cap is unread; 0 if nothing is
}

// rolloutPosition is where a build stands in its rollout.
type rolloutPosition struct {
	build, stage int
	phase        decision.RolloutPhase
}

// noteBuild remembers a build as listed, and reports whether it was not known.
func (s *rolloutState) noteBuild(build int) bool {
	if slices.Contains(s.knownBuilds, build) {
		return false
	}
	s.knownBuilds = append(s.knownBuilds, build)
	if len(s.knownBuilds) > maxKnownBuilds {
		s.knownBuilds = s.knownBuilds[1:]
	}
	return true
}

// RolloutStatusReceived posts where the newest build stands.
func (r *Router) RolloutStatusReceived(status decision.RolloutStatus) {
	r.post(func(now monotonic.Time) {
		r.logRolloutStatus(status)
		r.balancer.RolloutChanged(status, now)
		r.withholdDisallowed(now)
	})
}

// logRolloutStatus logs a status where its build, stage or phase differs from the latest.
func (r *Router) logRolloutStatus(status decision.RolloutStatus) {
	position := rolloutPosition{build: status.Build, stage: status.Stage, phase: status.Phase}
	if position == r.rollout.logged {
		return
	}
	r.rollout.logged = position
	slog.Info("rollout status changed", "build", status.Build, "stage", status.Stage, "phase", status.Phase,
		"exposure_cap", status.ExposureCap)
}

// verifyBuild has a build verified when it is first listed.
func (r *Router) verifyBuild(build int) {
	if r.drivers.VerifyBuild != nil && r.rollout.noteBuild(build) {
		r.drivers.VerifyBuild(build)
	}
}

// BuildVerified posts whether a build is what was signed.
func (r *Router) BuildVerified(build int, verified bool) {
	r.post(func(now monotonic.Time) {
		r.balancer.BuildVerified(build, verified)
		r.withholdDisallowed(now)
	})
}

// castVotes has votes cast at the rollout controller.
func (r *Router) castVotes(votes []decision.Vote, now monotonic.Time) {
	for _, vote := range votes {
		slog.Info("vote cast", "build", vote.Build, "stage", vote.Stage, "verdict", vote.Verdict)
		r.drivers.CastVote(vote, now)
	}
}

// VoteAnswered posts the outcome of a vote.
func (r *Router) VoteAnswered(outcome decision.Outcome) {
	r.post(func(now monotonic.Time) {
		if outcome != decision.OutcomeSuccess {
			slog.Warn("vote not counted", "outcome", outcome)
		}
		r.balancer.VoteAnswered(outcome, now)
	})
}

// sendEvidence sends the reports on builds that are due to other gateways.
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

// evidenceReceived takes in another gateway's report on a build. Any other datagram is ignored.
func (r *Router) evidenceReceived(sender int, datagram []byte, now monotonic.Time) {
	if report := protocol.DecodeEvidenceReport(datagram, sender, r.endpoints.endpointByHash); report != nil {
		r.balancer.EvidenceReceived(report, now)
	} else if report := protocol.DecodeVoterReport(datagram, sender, r.endpoints.endpointByHash); report != nil {
		r.balancer.VoterReportReceived(report, now)
	}
}
