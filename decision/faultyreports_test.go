package decision

import (
	"math"
	"testing"
	"time"

	"laurelring/decision/rollout"
)

// attemptsReported is the number of attempts that peer 1 reports for the build under evaluation.
const attemptsReported = 40

// evidenceReport returns an evidence report of peer 1 with a number of attempts at canary endpoints.
func evidenceReport(build int, countedAt time.Duration, attempts uint32) *EvidenceReport {
	table := rollout.NewTable(3)
	table.At(rollout.Canary, 0).Attempts = attempts
	return &EvidenceReport{Sender: 1, CountedAt: countedAt, Build: build, Counters: table.Encode()}
}

// After one faulty report, no later report of the same sender was counted: the report with the newest build and the
// latest time of each sender was kept, and neither the build nor the time was bounded. A peer that once reported build
// 65535, or a time an hour ahead, was excluded from the evidence on a canary build until it or this gateway restarted:
// of 40 attempts reported after the faulty report, none were in the pooled counters.
func TestFaultyReportDoesNotBlockLaterReports(t *testing.T) {
	for _, test := range []struct {
		name   string
		faulty func(now time.Duration) *EvidenceReport
	}{
		{"unknown build", func(now time.Duration) *EvidenceReport { return evidenceReport(math.MaxUint16, now, 7) }},
		{"time one hour ahead", func(now time.Duration) *EvidenceReport { return evidenceReport(2, now+time.Hour, 0) }},
		{"largest possible time", func(now time.Duration) *EvidenceReport { return evidenceReport(2, math.MaxInt64, 0) }},
		{"build 0", func(now time.Duration) *EvidenceReport { return evidenceReport(0, now, 7) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
			gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
			gateway.balancer.EvidenceReceived(test.faulty(gateway.now), gateway.now)
			gateway.now += evidenceInterval
			gateway.balancer.EvidenceReceived(evidenceReport(2, gateway.now, attemptsReported), gateway.now)
			if got := gateway.balancer.pooledCounters().At(rollout.Canary, 0).Attempts; got != attemptsReported {
				t.Errorf("got %d pooled attempts, want %d", got, attemptsReported)
			}
		})
	}
}

// A report on another build replaced its sender's report on the build under evaluation: 40 attempts were in the pooled
// counters before it, and none after it.
func TestReportOnOtherBuildKeepsPooledCounters(t *testing.T) {
	for _, build := range []int{0, 1, 3, math.MaxUint16} {
		gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
		gateway.balancer.EvidenceReceived(evidenceReport(2, gateway.now, attemptsReported), gateway.now)
		gateway.now += evidenceInterval
		gateway.balancer.EvidenceReceived(evidenceReport(build, gateway.now, 7), gateway.now)
		if got := gateway.balancer.pooledCounters().At(rollout.Canary, 0).Attempts; got != attemptsReported {
			t.Errorf("after a report on build %d: got %d pooled attempts, want %d", build, got, attemptsReported)
		}
	}
}

// After one report dated in the future, a voter was no longer followed, as its later reports counted as older ones: no
// verdict was followed although the voter reported a rollback after the faulty report.
func TestFaultyVoterReportDoesNotBlockLaterReports(t *testing.T) {
	gateway := newFleetGateway(9, PromoteByQuorum, 0, 60, 10)
	lb := gateway.balancer
	lb.RolloutChanged(RolloutStatus{Build: 1, Stage: 2, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
	lb.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
	voter := lb.voters(2)[1]
	lb.VoterReportReceived(&VoterReport{Sender: voter, FoundAt: math.MaxInt64, Build: 2, Verdict: VerdictNone}, gateway.now)
	gateway.now += second
	lb.VoterReportReceived(&VoterReport{Sender: voter, FoundAt: gateway.now, Build: 2, Verdict: VerdictRollBack}, gateway.now)
	if verdict, followed := lb.followedVerdict(gateway.now); verdict != VerdictRollBack || !followed {
		t.Errorf("got verdict %v (followed: %t), want a rollback", verdict, followed)
	}
}

// A voter's report on a later build that nobody else knows replaced its verdict on the build under evaluation.
func TestVoterReportOnLaterBuildKeepsVerdict(t *testing.T) {
	gateway := newFleetGateway(9, PromoteByQuorum, 0, 60, 10)
	lb := gateway.balancer
	lb.RolloutChanged(RolloutStatus{Build: 1, Stage: 2, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
	lb.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
	voter, replaced := lb.voters(2)[1], 0
	lb.VoterReportReceived(&VoterReport{Sender: voter, FoundAt: gateway.now, Build: 2, Verdict: VerdictRollBack}, gateway.now)
	for build := 3; build <= math.MaxUint16; build += 7 {
		lb.VoterReportReceived(&VoterReport{Sender: voter, FoundAt: gateway.now + 1, Build: build}, gateway.now)
		if verdict, _ := lb.followedVerdict(gateway.now); verdict != VerdictRollBack {
			replaced++
		}
	}
	if kept := len(lb.rollout.voters.reports); replaced > 0 || kept != 2 {
		t.Errorf("verdict replaced %d times, want 0; got %d kept reports of one voter, want 2", replaced, kept)
	}
}
