package decision

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

const (
	// evidenceInterval is how often each gateway reports its running totals to the voters.
	evidenceInterval = 500 * time.Millisecond
	// evidenceTTL is the time after its last report for which a peer counts as reporting.
	evidenceTTL = 1500 * time.Millisecond
	// maxClockSkew is the largest difference between the clocks of two gateways, apart from clock steps before the
	// gateways started.
	maxClockSkew = 100 * time.Millisecond
	// maxObservations is the largest number of endpoints in one report. Further endpoints wait for the next report.
	maxObservations = 20
	// Costs are compared only while at least minReportingNumerator/minReportingDenominator of the other gateways are
	// reporting.
	minReportingNumerator   = 3
	minReportingDenominator = 4
)

// unreportedResults is what this gateway has seen of an endpoint since its last evidence report.
type unreportedResults struct {
	successes, losses int
	utilization       bool // the endpoint has reported its utilization
}

// peerEvidenceState is the evidence that other gateways report.
type peerEvidenceState struct {
	reports           rollout.PeerReports
	reportingPeers    int            // number of peers that have reported within evidenceTTL
	tooFewReporting   bool           // reportingPeers is too small to compare costs
	tooFewReportingAt monotonic.Time // when tooFewReporting was last true, or when this gateway was last not a voter
	nextReportAt      monotonic.Time // when this gateway's own report is due
}

// scheduleFirstReport sets a random time for the first evidence report, so that the gateways of a fleet do not all
// report at once.
func (lb *Balancer) scheduleFirstReport(now monotonic.Time) {
	lb.rollout.peers.nextReportAt = now + lb.random.Jitter(evidenceInterval)
}

// reportEvidence adds a report of this gateway's totals and observations for the voters to the due work.
func (lb *Balancer) reportEvidence(build int, voters []int, now monotonic.Time, due *DueWork) {
	if !lb.rollout.settings.peerMessages {
		return
	}
	totals := lb.rollout.evidence.ownTotals
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

// takeObservations returns and clears what this gateway has observed of the endpoints since its last report. Endpoints
// with losses come first.
func (lb *Balancer) takeObservations() []Observation {
	var all []Observation
	for _, withLosses := range []bool{true, false} {
		for _, endpoint := range lb.endpoints {
			unreported := endpoint.unreported
			nothingToReport := unreported.successes+unreported.losses == 0 && !unreported.utilization
			if len(all) == maxObservations || (unreported.losses > 0) != withLosses || nothingToReport {
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

// EvidenceReceived processes a peer's evidence report. Only the latest report of each sender counts.
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
	// Build 0 means that no build is under evaluation: a report for build 0 belongs to no build, and there are no
	// totals to reconcile.
	if accepted && lb.rollout.evaluating() && report.Build == lb.rollout.build {
		lb.reconcileTotals(previous, current)
	}
}

// recordObservations adds what a peer observed of the endpoints to their results.
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

// reconcileTotals handles a peer's totals that do not continue earlier ones. If the peer has restarted, its totals from
// before the restart are kept. If its first report comes late, its totals until then are left out of the cost
// comparison, as the busy time that belongs to them was not counted.
func (lb *Balancer) reconcileTotals(previous, current *rollout.Report) {
	cost := &lb.rollout.cost
	if previous != nil {
		if current.Counters.RestartedSince(previous.Counters) {
			lb.rollout.evidence.restartedPeerTotals.Add(previous.Counters)
		}
	} else if cost.startedLate && cost.totalsAtStart != nil {
		cost.totalsAtStart.Add(current.Counters)
	}
}

// updateReporting determines whether enough peers are reporting to compare costs. After lost messages, or a restart of
// this gateway during a canary phase, attempts were counted without the busy time that belongs to them, so the
// comparison restarts once enough peers are reporting.
func (lb *Balancer) updateReporting(isVoter bool, now monotonic.Time) {
	state, peers, cost := &lb.rollout, &lb.rollout.peers, &lb.rollout.cost
	peers.reportingPeers = peers.reports.ReportingSince(now - evidenceTTL)
	peers.tooFewReporting = minReportingDenominator*peers.reportingPeers < minReportingNumerator*(lb.gateways-1)
	if peers.tooFewReporting || !isVoter {
		peers.tooFewReportingAt, cost.pendingFleetCosts = now, nil // the cost of the fleet in this time is not known
	}
	if state.evaluating() && peers.tooFewReporting && now-state.buildSeenAt >= voterReportTTL {
		cost.totalsAtStart = nil
	} else if state.evaluating() && !peers.tooFewReporting && cost.totalsAtStart == nil {
		lb.restartCostComparison(now)
	}
	// A small number of attempts comes in bursts, so the comparison needs at least one whole exposure window.
	cost.comparable = cost.totalsAtStart != nil && now-cost.startedAt >= max(voterReportTTL, lb.canary.exposure.Window())
}
