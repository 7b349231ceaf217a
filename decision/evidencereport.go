package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

const (
	// evidenceInterval is how often each gateway reports its running totals to the voters.
	evidenceInterval = 500 * time.Millisecond
	// evidenceTTL is how long after its last report a peer counts as heard.
	evidenceTTL = 1500 * time.Millisecond
	// maxClockSkew is how far the clocks of two gateways may lie apart, but for steps before they started.
	maxClockSkew = 100 * time.Millisecond
	// maxObservations bounds the endpoints in one message; the others wait for the next.
	maxObservations = 20
	// Costs are compared only where at least minReporting in minReportingOf of the other gateways are heard.
	minReporting   = 3
	minReportingOf = 4
)

// unreportedResults is what this gateway has seen of an endpoint since its last evidence report.
type unreportedResults struct {
	successes, losses int
	utilization       bool // the endpoint has reported its utilization
}

// peerEvidenceState is what other gateways report.
type peerEvidenceState struct {
	reports         rollout.PeerReports
	reporting       int            // peers heard lately
	underReported   bool           // they are too few to compare costs
	underReportedAt monotonic.Time // when they last were, or when this gateway was last no voter
	nextReportAt    monotonic.Time // when this gateway's own report is due
}

// scheduleFirstReport draws the moment of the first evidence report, so that the gateways of a fleet report in turn.
func (lb *Balancer) scheduleFirstReport(now monotonic.Time) {
	lb.rollout.peers.nextReportAt = now + lb.random.Jitter(evidenceInterval)
}

// reportEvidence lays out this gateway's totals and observations for the voters.
func (lb *Balancer) reportEvidence(build int, voters []int, now monotonic.Time, due *DueWork) {
	if !lb.rollout.settings.peerMessages {
		return
	}
	totals := lb.rollout.evidence.own
	if totals == nil {
		totals = rollout.NewTable(len(lb.opTypes))
	}
	due.EvidenceReport = &EvidenceReport{
		Sender:       lb.rank,
		CountedAt:    now,
		Build:        build,
		Counters:     totals.Encode(),
		Observations: lb.takeObservations(),
	}
	for _, voter := range voters {
		if voter != lb.rank {
			due.EvidenceRecipients = append(due.EvidenceRecipients, voter)
		}
	}
}

// takeObservations returns what this gateway saw of the endpoints since its last report, those with losses first.
func (lb *Balancer) takeObservations() []Observation {
	var all []Observation
	for _, withLosses := range []bool{true, false} {
		for _, endpoint := range lb.endpoints {
			unreported := endpoint.unreported
			nothing := unreported.successes+unreported.losses == 0 && !unreported.utilization
			if len(all) == maxObservations || (unreported.losses > 0) != withLosses || nothing {
				continue
			}
			observation := Observation{Endpoint: endpoint, Utilization: -1, Successes: unreported.successes, Losses: unreported.losses}
			if unreported.utilization {
				observation.Utilization = endpoint.utilization
			}
			all = append(all, observation)
			endpoint.unreported = unreportedResults{}
		}
	}
	return all
}

// EvidenceReceived takes in a peer's evidence report. Of each sender the latest counts.
func (lb *Balancer) EvidenceReceived(report *EvidenceReport, now monotonic.Time) {
	peers := &lb.rollout.peers
	if report.Sender < 0 || report.Sender >= peers.reports.Gateways() || report.Sender == lb.rank {
		return
	}
	counters, ok := rollout.Decode(report.Counters, len(lb.opTypes))
	if !ok {
		return
	}
	lb.recordObservations(report.Observations, now)
	countedAt := lb.rollout.clocks.local(report.Sender, report.CountedAt, now)
	current := &rollout.Report{CountedAt: countedAt, Build: report.Build, Counters: counters}
	previous, accepted := peers.reports.Accept(report.Sender, current)
	// Build 0 stands for no build under judgement: a report that names it is of none, and there are no totals to reconcile.
	if accepted && lb.rollout.judging() && report.Build == lb.rollout.build {
		lb.reconcileTotals(previous, current)
	}
}

// recordObservations takes in what a peer saw of the endpoints.
func (lb *Balancer) recordObservations(observations []Observation, now monotonic.Time) {
	for _, seen := range observations {
		if !seen.Endpoint.listed {
			continue
		}
		seen.Endpoint.recordResults(seen.Successes, seen.Losses, now)
		if seen.Utilization >= 0 {
			seen.Endpoint.utilization, seen.Endpoint.utilizationAt = seen.Utilization, now
		}
	}
}

// reconcileTotals keeps the totals of a peer's earlier incarnation. It leaves those of a peer whose first report comes late out
// of the comparison of costs: the busy time beside its attempts was not counted.
func (lb *Balancer) reconcileTotals(previous, current *rollout.Report) {
	cost := &lb.rollout.cost
	if previous != nil {
		if current.Counters.RestartedSince(previous.Counters) {
			lb.rollout.evidence.restarted.Add(previous.Counters)
		}
	} else if cost.startedLate && cost.start != nil {
		cost.start.Add(current.Counters)
	}
}

// updateReporting finds out whether enough peers are heard to compare costs. Lost messages, and a restart of this gateway
// amid a canary, leave attempts without the busy time beside them: the comparison restarts once enough are heard.
func (lb *Balancer) updateReporting(isVoter bool, now monotonic.Time) {
	state, peers, cost := &lb.rollout, &lb.rollout.peers, &lb.rollout.cost
	peers.reporting = peers.reports.ReportingSince(now - evidenceTTL)
	peers.underReported = minReportingOf*peers.reporting < minReporting*(lb.gateways-1)
	if peers.underReported || !isVoter {
		peers.underReportedAt, cost.pendingFleet = now, nil // what the fleet did meanwhile is not known
	}
	if state.judging() && peers.underReported && now-state.buildSeenAt >= voterReportTTL {
		cost.start = nil
	} else if state.judging() && !peers.underReported && cost.start == nil {
		lb.restartCostComparison(now)
	}
	// A few attempts come in bursts: the comparison needs a whole exposure window.
	cost.comparable = cost.start != nil && now-cost.startedAt >= max(voterReportTTL, lb.canary.exposure.Window())
}
