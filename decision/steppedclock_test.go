package decision

import (
	"testing"
	"time"
)

// A gateway that restarts after its wall clock was stepped back must be heard by its peers: its clock begins with the wall
// clock, and reports are dated by it. Its reports go unheard until its clock has caught up with those of before the step.
func TestPeerRestartedWithEarlierClockIsHeard(t *testing.T) {
	const reports = 10
	for _, step := range []time.Duration{time.Second, time.Hour} {
		gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
		gateway.now += 2 * time.Hour
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
		gateway.balancer.EvidenceReceived(evidenceReport(2, gateway.now, attemptsReported), gateway.now)
		for range reports {
			gateway.now += evidenceInterval
			gateway.balancer.EvidenceReceived(evidenceReport(2, gateway.now-step, attemptsReported), gateway.now)
		}
		if heard := gateway.balancer.rollout.peers.reports.ReportingSince(gateway.now - evidenceTTL); heard != 1 {
			t.Errorf("clock stepped back by %v: %d peers are heard after %d reports, want 1", step, heard, reports)
		}
	}
}
