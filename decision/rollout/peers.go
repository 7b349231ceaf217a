package rollout

import "laurelring/decision/monotonic"

// Report is one gateway's running totals on a build.
type Report struct {
	CountedAt monotonic.Time // by the sender's clock
	Build     int
	Counters  Table
}

// PeerReports has what the other gateways last reported. A report on an earlier build than the one under judgement says that
// its sender is there, and nothing else. One on a later build, of which this gateway may learn next, is kept apart: it neither displaces its sender's
// report on the build under judgement nor keeps a later one from being counted.
type PeerReports struct {
	build   int // under judgement, 0 for none
	senders []senderReports
}

// senderReports is what one gateway last reported.
type senderReports struct {
	current *Report        // on the build under judgement, nil where none has come
	ahead   *Report        // on a later build, the latest; nil where none has come since the latest on the present one
	heardAt monotonic.Time // when its latest was counted, on whatever build; 0 before that
}

// NewPeerReports returns the reports of a fleet's gateways, none of which has come and with no build under judgement.
func NewPeerReports(gateways int) PeerReports {
	return PeerReports{senders: make([]senderReports, gateways)}
}

// Gateways returns how many gateways the reports are of, this one included.
func (p *PeerReports) Gateways() int { return len(p.senders) }

// Judge puts a later build under judgement. Reports on it that came before count from now on.
func (p *PeerReports) Judge(build int) {
	p.build = build
	for rank := range p.senders {
		sender := &p.senders[rank]
		sender.current = nil
		if sender.ahead != nil && sender.ahead.Build <= build {
			if sender.ahead.Build == build {
				sender.current = sender.ahead
			}
			sender.ahead = nil
		}
	}
}

// Accept stores a report if it is the latest of the gateway of a rank, and returns the one that it replaces. The rank must
// be one of the fleet's.
func (p *PeerReports) Accept(rank int, report *Report) (previous *Report, accepted bool) {
	sender := &p.senders[rank]
	if report.Build < p.build {
		sender.heardAt = max(sender.heardAt, report.CountedAt)
		return sender.current, false
	}
	latest := &sender.current
	if report.Build > p.build || p.build == 0 {
		latest = &sender.ahead
	}
	previous = *latest
	if previous != nil && report.CountedAt <= previous.CountedAt {
		return previous, false
	}
	*latest = report
	if latest == &sender.current && sender.ahead != nil && sender.ahead.CountedAt < report.CountedAt {
		sender.ahead = nil
	}
	sender.heardAt = max(sender.heardAt, report.CountedAt)
	return previous, true
}

// AddTo adds the totals of all reports on the build under judgement to a table.
func (p *PeerReports) AddTo(sum Table) {
	for rank := range p.senders {
		if current := p.senders[rank].current; current != nil {
			sum.Add(current.Counters)
		}
	}
}

// ReportingSince returns how many gateways' latest reports were counted after a moment.
func (p *PeerReports) ReportingSince(after monotonic.Time) int {
	n := 0
	for rank := range p.senders {
		if sender := &p.senders[rank]; sender.heardAt != 0 && sender.heardAt > after {
			n++
		}
	}
	return n
}
