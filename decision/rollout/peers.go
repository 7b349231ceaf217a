package rollout

import "laurelring/decision/monotonic"

// Report is one gateway's running totals on a build.
type Report struct {
	CountedAt monotonic.Time // by the sender's clock
	Build     int
	Counters  Table
}

// PeerReports has the latest report of each gateway by its rank; nil where none has come.
type PeerReports []*Report

// Accept stores a report if it is its sender's latest, and returns the one before it.
func (p PeerReports) Accept(rank int, report *Report) (previous *Report, accepted bool) {
	previous = p[rank]
	if previous != nil && (report.Build < previous.Build || report.Build == previous.Build && report.CountedAt <= previous.CountedAt) {
		return previous, false
	}
	p[rank] = report
	return previous, true
}

// AddTo adds the totals of all reports on a build to a table.
func (p PeerReports) AddTo(sum Table, build int) {
	for _, report := range p {
		if report != nil && report.Build == build {
			sum.Add(report.Counters)
		}
	}
}

// CountedSince returns how many of the reports were counted after a moment.
func (p PeerReports) CountedSince(after monotonic.Time) int {
	n := 0
	for _, report := range p {
		if report != nil && report.CountedAt > after {
			n++
		}
	}
	return n
}
