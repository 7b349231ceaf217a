package decision

import (
	"testing"
	"time"
)

// After a gateway restarts with its wall clock stepped back, its reports must count at its peers: its clock starts at
// the wall clock time, and its reports are dated by that clock. They were ignored until the clock had passed the time
// of the reports from before the step.
func TestPeerRestartedWithEarlierClockIsCounted(t *testing.T) {
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
		if reporting := gateway.balancer.rollout.peers.reports.ReportingSince(gateway.now - evidenceTTL); reporting != 1 {
			t.Errorf("clock stepped back by %v: got %d reporting peers after %d reports, want 1", step, reporting, reports)
		}
	}
}
