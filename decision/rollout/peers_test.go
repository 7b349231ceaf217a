package rollout

import (
	"testing"
	"time"
)

// report returns a report with a number of failures of the canary in the only op type.
func report(build int, countedAt int, failures uint32) *Report {
	counters := NewTable(1)
	counters.At(Canary, 0).Failures = failures
	return &Report{CountedAt: time.Duration(countedAt) * time.Second, Build: build, Counters: counters}
}

func TestOnlyTheLatestReportOfASenderCounts(t *testing.T) {
	peers := make(PeerReports, 3)
	for _, c := range []struct {
		name     string
		rank     int
		report   *Report
		accepted bool
	}{
		{"the first", 1, report(2, 5, 10), true},
		{"one that was overtaken", 1, report(2, 4, 9), false},
		{"one that came twice", 1, report(2, 5, 10), false},
		{"one of an earlier build", 1, report(1, 9, 99), false},
		{"the next", 1, report(2, 6, 11), true},
		{"another sender's", 2, report(2, 1, 100), true},
		{"another sender's of a later build", 0, report(3, 1, 1000), true},
	} {
		before := peers[c.rank]
		if previous, accepted := peers.Accept(c.rank, c.report); accepted != c.accepted || previous != before {
			t.Errorf("%s: accepted %t after %v, want %t after %v", c.name, accepted, previous, c.accepted, before)
		}
	}
	sum := NewTable(1)
	if peers.AddTo(sum, 2); sum.At(Canary, 0).Failures != 111 {
		t.Errorf("pooled %d failures, want 11 and 100", sum.At(Canary, 0).Failures)
	}
	if n := peers.CountedSince(time.Second); n != 1 {
		t.Errorf("%d reports counted after a second, want 1", n)
	}
}
