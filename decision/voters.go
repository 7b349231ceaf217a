package decision

import (
	"cmp"
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/seeded"
)

const (
	evidenceInterval    = 500 * time.Millisecond  // running totals go out this often
	voterCount          = 3                       // voters hashed by build, or one more than votes are required if no more than
	maxPoolingVoters    = 5                       // so many; in larger fleets the others follow what the three find
	voterReportInterval = time.Second             // a voter repeats what it found this often
	voterReportTTL      = 3 * time.Second         // a finding older than this is not followed
	minReportingOneIn   = 3                       // of the gateways one in so many must be heard, or a voter is blind
	maxObservations     = 20                      // machines told of in one message; the others wait for the next
	evidenceTTL         = 1500 * time.Millisecond // a peer that sent no totals for this long is not heard
)

// voters are drawn by hash of the build: a few, whatever the size of the fleet.
func (lb *Balancer) voters(build int) []int {
	n := max(voterCount, lb.rollout.promoteVotes+1, lb.rollout.rollbackVotes+1) // one may be cut off, stopped or late
	if !lb.rollout.peerMessages {
		n = lb.gateways
	} else if n > maxPoolingVoters {
		n = voterCount
	}
	return lb.hashedGateways(build, min(n, lb.gateways))
}

// followed is what the voters found, as last heard: back if one says so, else on if one says so of this
// stage. Guards against a fleet too large for everyone to pool with everyone; a voter that lost its mind
// would take the fleet with it. It tells whether any was heard.
func (lb *Balancer) followedVerdict(now monotonic.Time) (word Verdict, heard bool) {
	for _, report := range lb.rollout.voterReports {
		if report.Build != lb.canary.build || now-report.receivedAt > voterReportTTL {
			continue
		}
		heard = true
		if report.Verdict == VerdictRollBack {
			return VerdictRollBack, true
		}
		if report.Verdict == VerdictPromote && report.Stage == lb.canary.stage {
			word = VerdictPromote
		}
	}
	return word, heard
}

// pool sends this gateway's totals to the voters; a voter tells the others what it found.
func (lb *Balancer) shareEvidence(now monotonic.Time, due *DueWork) {
	rollout, canary := &lb.rollout, &lb.canary
	build := max(rollout.build, canary.build)
	voters := lb.voters(build)
	lb.sumEvidence(now)
	lb.reportEvidence(build, voters, now, due)
	voter := slices.Contains(voters, lb.rank)
	rollout.reportingPeers = lb.peersHeardSince(now - evidenceTTL)
	deaf := 4*rollout.reportingPeers < 3*(lb.gateways-1)
	if deaf || !voter {
		rollout.underReportedAt, rollout.pendingFleetCost = now, nil // what the fleet did meanwhile is not known
	}
	// Guards against lost messages and restarts amid a trial: the tries told of meanwhile have no work beside them.
	if rollout.underReported = deaf; rollout.ownCounters != nil && deaf && now-rollout.buildSeenAt >= voterReportTTL {
		rollout.costBaseline = nil
	} else if rollout.ownCounters != nil && !deaf && rollout.costBaseline == nil {
		lb.restartCostBaseline(now)
	}
	rollout.costComparable = rollout.costBaseline != nil && now-rollout.costBaselineAt >= max(voterReportTTL, canary.exposure.Window()) // a few deliveries come in bursts
	found := VerdictNone
	// One vote of a few is enough where no more are required.
	if rollout.ownCounters != nil && (voter || max(rollout.promoteVotes, rollout.rollbackVotes) > len(voters)) {
		found = lb.currentVerdict(now)
		lb.castVote(found, now, due)
	}
	if !voter {
		return
	}
	ill := lb.detectOutliers(now)
	if len(voters) < lb.gateways && (found != rollout.lastReportedVerdict || len(ill) != rollout.lastReportedOutliers || now >= rollout.nextVoterReportAt) {
		rollout.lastReportedVerdict, rollout.lastReportedOutliers, rollout.nextVoterReportAt = found, len(ill), now+voterReportInterval
		due.VoterReport = &VoterReport{Sender: lb.rank, FoundAt: now, Build: build, Stage: canary.stage, Verdict: found, Outliers: ill,
			BaselineCost: rollout.baselineCost}
	}
}

// ToldTotals tells a peer's running totals; the latest of each sender stands.
func (lb *Balancer) EvidenceReceived(report *EvidenceReport, now monotonic.Time) {
	if report.Sender < 0 || report.Sender >= len(lb.rollout.reports) || report.Sender == lb.rank || len(report.Counters) != lb.counterCount() {
		return
	}
	for _, seen := range report.Observations {
		if seen.Endpoint.listed {
			seen.Endpoint.recordResults(seen.Successes, seen.Losses, now)
			if seen.Utilization >= 0 {
				seen.Endpoint.utilization, seen.Endpoint.utilizationAt = seen.Utilization, now
			}
		}
	}
	had := lb.rollout.reports[report.Sender]
	if had != nil && (report.Build < had.Build || report.Build == had.Build && report.CountedAt <= had.CountedAt) {
		return
	}
	if rollout := &lb.rollout; report.Build == rollout.build && had != nil && had.Build == report.Build && lb.senderRestarted(report.Counters, had.Counters) {
		addCounters(rollout.restartedCounters, had.Counters)
	} else if report.Build == rollout.build && (had == nil || had.Build != report.Build) && rollout.joinedMidCanary && rollout.costBaseline != nil {
		addCounters(rollout.costBaseline, report.Counters) // first heard of now: the work of its tries was not seen
	}
	lb.rollout.reports[report.Sender] = report
}

// ToldFinding tells what a voter found; the latest of each stands, and only a voter's counts.
func (lb *Balancer) VoterReportReceived(report *VoterReport, now monotonic.Time) {
	rollout := &lb.rollout
	if report.Sender == lb.rank || report.Build < max(rollout.build, lb.canary.build) ||
		!slices.Contains(lb.voters(report.Build), report.Sender) {
		return
	}
	report.receivedAt = now
	for _, endpoint := range report.Outliers {
		endpoint.outlierUntil = now + voterReportInterval + evidenceInterval
	}
	if report.BaselineCost > 0 && (rollout.ownCounters == nil || rollout.baselineCost == 0) { // also to one that has started anew amid a trial
		rollout.baselineCost = report.BaselineCost
	}
	for i, had := range rollout.voterReports {
		if had.Sender == report.Sender {
			if report.FoundAt > had.FoundAt || report.Build > had.Build {
				rollout.voterReports[i] = report
			}
			return
		}
	}
	rollout.voterReports = append(rollout.voterReports, report)
}

// sights takes what we saw of the machines since last told, those with losses first.
func (lb *Balancer) takeObservations() []Observation {
	var all []Observation
	for _, lost := range []bool{true, false} {
		for _, endpoint := range lb.endpoints {
			one := endpoint.unreported
			if len(all) == maxObservations || (one.Losses > 0) != lost || one.Successes+one.Losses == 0 && !endpoint.utilizationUnreported {
				continue
			}
			if one.Endpoint, one.Utilization = endpoint, -1; endpoint.utilizationUnreported {
				one.Utilization = endpoint.utilization
			}
			all = append(all, one)
			endpoint.unreported, endpoint.utilizationUnreported = Observation{}, false
		}
	}
	return all
}

// hashed orders the gateways by a hash with the build and gives the first of them.
func (lb *Balancer) hashedGateways(build, n int) []int {
	rollout := &lb.rollout
	if rollout.voters == nil || rollout.votersBuild != build {
		all, order := make([]int, lb.gateways), make([]uint64, lb.gateways)
		for i := range all {
			all[i], order[i] = i, seeded.Hash(uint64(build), uint64(i))
		}
		slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(order[a], order[b]) })
		rollout.voters, rollout.votersBuild = all[:n], build
	}
	return rollout.voters
}

// tell lays out our totals and sights for the voters.
func (lb *Balancer) reportEvidence(build int, voters []int, now monotonic.Time, due *DueWork) {
	if !lb.rollout.peerMessages {
		return
	}
	due.EvidenceReport = &EvidenceReport{Sender: lb.rank, CountedAt: now, Build: build, Counters: make([]uint32, lb.counterCount()),
		Observations: lb.takeObservations()}
	copy(due.EvidenceReport.Counters, lb.rollout.ownCounters)
	for _, v := range voters {
		if v != lb.rank {
			due.EvidenceRecipients = append(due.EvidenceRecipients, v)
		}
	}
}

// heardSince counts the gateways whose totals came after a moment.
func (lb *Balancer) peersHeardSince(after monotonic.Time) int {
	n := 0
	for _, report := range lb.rollout.reports {
		if report != nil && report.CountedAt > after {
			n++
		}
	}
	return n
}
