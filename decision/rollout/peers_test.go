package rollout

import (
	"testing"
	"time"
)

// report returns a report of a number of canary failures in the only op type. The time is in seconds.
func report(build int, countedAt int, failures uint32) *Report {
	counters := NewTable(1)
	counters.At(Canary, 0).Failures = failures
	return &Report{CountedAt: time.Duration(countedAt) * time.Second, Build: build, Counters: counters}
}

func TestOnlyTheLatestReportOfEachSenderCounts(t *testing.T) {
	peers := NewPeerReports(3)
	peers.StartEvaluation(2)
	for _, c := range []struct {
		name     string
		rank     int
		report   *Report
		accepted bool
	}{
		{"first report", 1, report(2, 5, 10), true},
		{"older report", 1, report(2, 4, 9), false},
		{"duplicate report", 1, report(2, 5, 10), false},
		{"report on an earlier build", 1, report(1, 9, 99), false},
		{"next report", 1, report(2, 6, 11), true},
		{"report of another sender", 2, report(2, 1, 100), true},
		{"report of another sender on a later build", 0, report(3, 1, 1000), true},
	} {
		before := peers.senders[c.rank].current
		if previous, accepted := peers.Accept(c.rank, c.report); accepted != c.accepted || previous != before {
			t.Errorf("%s: got accepted %t, previous report %v, want %t, %v", c.name, accepted, previous, c.accepted, before)
		}
	}
	sum := NewTable(1)
	if peers.AddTo(sum); sum.At(Canary, 0).Failures != 111 {
		t.Errorf("got %d pooled failures, want 111, the sum of 11 and 100", sum.At(Canary, 0).Failures)
	}
	if n := peers.ReportingSince(time.Second); n != 1 {
		t.Errorf("got %d gateways that reported after 1 s, want 1", n)
	}
}

// A gateway may learn of a build from its peers before discovery or the rollout controller names it. Their reports on
// that build count as soon as its evaluation starts. Until then their reports on the build under evaluation count.
func TestReportsOnLaterBuildCountFromStartOfEvaluation(t *testing.T) {
	peers := NewPeerReports(2)
	failures := func() uint32 {
		sum := NewTable(1)
		peers.AddTo(sum)
		return sum.At(Canary, 0).Failures
	}
	for _, step := range []struct {
		name     string
		evaluate int // a build that is under evaluation from now on, 0 for none
		report   *Report
		want     uint32
	}{
		{"report before the first evaluation", 0, report(2, 5, 10), 0},
		{"evaluation of the reported build", 2, nil, 10},
		{"report on the next build", 0, report(3, 6, 1), 10},
		{"later report on the current build", 0, report(2, 7, 11), 11},
		{"report on the build after the next", 0, report(4, 8, 2), 11},
		{"evaluation of the next build", 3, nil, 0},
		{"evaluation of the build after the next", 4, nil, 2},
	} {
		if step.evaluate > 0 {
			peers.StartEvaluation(step.evaluate)
		}
		if step.report != nil {
			peers.Accept(1, step.report)
		}
		if got := failures(); got != step.want {
			t.Errorf("%s: got %d pooled failures, want %d", step.name, got, step.want)
		}
	}
}
