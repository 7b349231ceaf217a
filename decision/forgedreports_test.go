package decision

import (
	"math"
	"testing"
	"time"

	"laurelring/decision/rollout"
)

// attemptsReported are those that peer 1 reports in these tests, of the build under judgement.
const attemptsReported = 40

// evidenceReport is an evidence report of peer 1.
func evidenceReport(build int, countedAt time.Duration, attempts uint32) *EvidenceReport {
	table := rollout.NewTable(3)
	table.At(rollout.Canary, 0).Attempts = attempts
	return &EvidenceReport{Sender: 1, CountedAt: countedAt, Build: build, Counters: table.Encode()}
}

// One faulty report kept every later one of its sender from being counted: of each sender the report of the newest build
// and the latest moment stood, and nothing bounded either. So a peer that once named build 65535, or a moment of the next
// hour, was out of the evidence on a canary build until it or this gateway restarted. Seen as: 40 attempts reported after
// the faulty report, none in the pooled counters.
func TestFaultyReportSilencesNoPeer(t *testing.T) {
	for _, test := range []struct {
		name   string
		faulty func(now time.Duration) *EvidenceReport
	}{
		{"a build that nobody knows", func(now time.Duration) *EvidenceReport { return evidenceReport(math.MaxUint16, now, 7) }},
		{"a moment of the next hour", func(now time.Duration) *EvidenceReport { return evidenceReport(2, now+time.Hour, 0) }},
		{"the last moment of all", func(now time.Duration) *EvidenceReport { return evidenceReport(2, math.MaxInt64, 0) }},
		{"no build", func(now time.Duration) *EvidenceReport { return evidenceReport(0, now, 7) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
			gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
			gateway.balancer.EvidenceReceived(test.faulty(gateway.now), gateway.now)
			gateway.now += evidenceInterval
			gateway.balancer.EvidenceReceived(evidenceReport(2, gateway.now, attemptsReported), gateway.now)
			if got := gateway.balancer.pooledCounters().At(rollout.Canary, 0).Attempts; got != attemptsReported {
				t.Errorf("%d attempts are counted, want %d", got, attemptsReported)
			}
		})
	}
}

// A report of a build that is not under judgement changed what was known of the one that is: it took the place of its
// sender's report on that. Seen as: 40 attempts in the pooled counters before, none after.
func TestReportOnOtherBuildChangesNothing(t *testing.T) {
	for _, build := range []int{0, 1, 3, math.MaxUint16} {
		gateway := withEndpoints(newTestGateway(9, PromoteByAnyVote), 8)
		gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
		gateway.balancer.EvidenceReceived(evidenceReport(2, gateway.now, attemptsReported), gateway.now)
		gateway.now += evidenceInterval
		gateway.balancer.EvidenceReceived(evidenceReport(build, gateway.now, 7), gateway.now)
		if got := gateway.balancer.pooledCounters().At(rollout.Canary, 0).Attempts; got != attemptsReported {
			t.Errorf("after a report on build %d: %d attempts are counted, want %d", build, got, attemptsReported)
		}
	}
}

// A voter whose report once bore a moment of the future was not followed any more: its later reports counted as older.
// Seen as: no verdict followed, though the voter reports a rollback after the faulty report.
func TestFaultyVoterReportSilencesNoVoter(t *testing.T) {
	gateway := newFleetGateway(9, PromoteByQuorum, 0, 60, 10)
	lb := gateway.balancer
	lb.RolloutChanged(RolloutStatus{Build: 1, Stage: 2, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
	lb.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
	voter := lb.voters(2)[1]
	lb.VoterReportReceived(&VoterReport{Sender: voter, FoundAt: math.MaxInt64, Build: 2, Verdict: VerdictNone}, gateway.now)
	gateway.now += second
	lb.VoterReportReceived(&VoterReport{Sender: voter, FoundAt: gateway.now, Build: 2, Verdict: VerdictRollBack}, gateway.now)
	if verdict, heard := lb.followedVerdict(gateway.now); verdict != VerdictRollBack || !heard {
		t.Errorf("the verdict %v is followed (heard: %t), want a rollback", verdict, heard)
	}
}

// A voter's report on a build that nobody else knows displaced its verdict on the present one.
func TestVoterReportOnOtherBuildDisplacesNone(t *testing.T) {
	gateway := newFleetGateway(9, PromoteByQuorum, 0, 60, 10)
	lb := gateway.balancer
	lb.RolloutChanged(RolloutStatus{Build: 1, Stage: 2, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
	lb.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, gateway.now)
	voter, displaced := lb.voters(2)[1], 0
	lb.VoterReportReceived(&VoterReport{Sender: voter, FoundAt: gateway.now, Build: 2, Verdict: VerdictRollBack}, gateway.now)
	for build := 3; build <= math.MaxUint16; build += 7 {
		lb.VoterReportReceived(&VoterReport{Sender: voter, FoundAt: gateway.now + 1, Build: build}, gateway.now)
		if verdict, _ := lb.followedVerdict(gateway.now); verdict != VerdictRollBack {
			displaced++
		}
	}
	if kept := len(lb.rollout.voters.reports); displaced > 0 || kept != 2 {
		t.Errorf("displaced %d times; %d reports of one voter are kept, want 2", displaced, kept)
	}
}
