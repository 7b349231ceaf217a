package rollout

import "laurelring/decision/monotonic"

// Report is one gateway's running totals on a build.
type Report struct {
	CountedAt monotonic.Time // when the sender counted them, converted to this gateway's clock
	Build     int
	Counters  Table
}

// PeerReports holds the latest reports of the other gateways. A report on an earlier build than the one under
// evaluation only shows that its sender is running. A report on a later build, which this gateway may not know yet, is
// stored separately: it neither replaces its sender's report on the build under evaluation nor prevents a later report
// on that build from being counted.
type PeerReports struct {
	build   int // the build under evaluation, 0 for none
	senders []senderReports
}

// senderReports holds the latest reports of one gateway.
type senderReports struct {
	current         *Report        // latest report on the build under evaluation, nil if none was received
	laterBuild      *Report        // latest report on a later build, nil if none was received since the current one
	latestCountedAt monotonic.Time // when the latest report on any build was counted, 0 if there is none
}

// NewPeerReports returns a PeerReports for a fleet of gateways without any report and without a build under evaluation.
func NewPeerReports(gateways int) PeerReports {
	return PeerReports{senders: make([]senderReports, gateways)}
}

// Gateways returns the number of gateways in the fleet, including this one.
func (p *PeerReports) Gateways() int { return len(p.senders) }

// StartEvaluation puts a later build under evaluation. Reports on it that were received earlier count from now on.
func (p *PeerReports) StartEvaluation(build int) {
	p.build = build
	for rank := range p.senders {
		sender := &p.senders[rank]
		sender.current = nil
		if sender.laterBuild != nil && sender.laterBuild.Build <= build {
			if sender.laterBuild.Build == build {
				sender.current = sender.laterBuild
			}
			sender.laterBuild = nil
		}
	}
}

// Accept stores a report of the gateway with the given rank if it is newer than that gateway's previous one, and
// returns the report that it replaces. The rank must be less than Gateways.
func (p *PeerReports) Accept(rank int, report *Report) (previous *Report, accepted bool) {
	sender := &p.senders[rank]
	if report.Build < p.build {
		sender.latestCountedAt = max(sender.latestCountedAt, report.CountedAt)
		return sender.current, false
	}
	latest := &sender.current
	if report.Build > p.build || p.build == 0 {
		latest = &sender.laterBuild
	}
	previous = *latest
	if previous != nil && report.CountedAt <= previous.CountedAt {
		return previous, false
	}
	*latest = report
	if latest == &sender.current && sender.laterBuild != nil && sender.laterBuild.CountedAt < report.CountedAt {
		sender.laterBuild = nil
	}
	sender.latestCountedAt = max(sender.latestCountedAt, report.CountedAt)
	return previous, true
}

// AddTo adds the totals of all reports on the build under evaluation to a table.
func (p *PeerReports) AddTo(sum Table) {
	for rank := range p.senders {
		if current := p.senders[rank].current; current != nil {
			sum.Add(current.Counters)
		}
	}
}

// ReportingSince returns the number of gateways whose latest report was counted after the given time.
func (p *PeerReports) ReportingSince(after monotonic.Time) int {
	n := 0
	for rank := range p.senders {
		if sender := &p.senders[rank]; sender.latestCountedAt != 0 && sender.latestCountedAt > after {
			n++
		}
	}
	return n
}
