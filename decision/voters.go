package decision

import (
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

const (
	// voterReportInterval is how often a voter repeats its report.
	voterReportInterval = time.Second
	// voterReportTTL is the age from which a voter's report is not followed.
	voterReportTTL = 3 * time.Second
)

// voterState is who judges a build, and what they report.
type voterState struct {
	selection rollout.Voters
	reports   []*VoterReport // the latest of each voter, on the newest build and on one after it

	// What this gateway last reported as a voter, and when it repeats that.
	reportedVerdict  Verdict
	reportedOutliers int
	nextReportAt     monotonic.Time
}

// voters returns the ranks of the gateways that judge a build.
func (lb *Balancer) voters(build int) []int { return lb.rollout.voters.selection.On(build) }

// followedVerdict returns the voters' verdict as last reported: a rollback where one of them reports it, else a promotion
// where one reports it of the present stage. It guards against a fleet too large for every gateway to hear all others; a
// faulty voter would take the fleet with it. It also reports whether any voter is heard.
func (lb *Balancer) followedVerdict(now monotonic.Time) (verdict Verdict, heard bool) {
	for _, report := range lb.rollout.voters.reports {
		if report.Build != lb.canary.build || now-report.receivedAt > voterReportTTL {
			continue
		}
		heard = true
		if report.Verdict == VerdictRollBack {
			return VerdictRollBack, true
		}
		if report.Verdict == VerdictPromote && report.Stage == lb.canary.stage {
			verdict = VerdictPromote
		}
	}
	return verdict, heard
}

// reportAndVote sends this gateway's totals to the voters, judges, votes, and reports as a voter to the others.
func (lb *Balancer) reportAndVote(now monotonic.Time, due *DueWork) {
	state := &lb.rollout
	build := max(state.build, lb.canary.build)
	voters := lb.voters(build)
	isVoter := slices.Contains(voters, lb.rank)
	lb.sumEvidence(now)
	lb.reportEvidence(build, voters, now, due)
	lb.updateReporting(isVoter, now)
	verdict := VerdictNone
	// One vote of a few voters is enough where no more are required.
	followersVote := max(state.settings.promoteVotes, state.settings.rollbackVotes) > len(voters)
	if state.evaluating() && (isVoter || followersVote) {
		verdict = lb.currentVerdict(now)
		lb.castVote(verdict, now, due)
	}
	if isVoter {
		lb.reportVerdict(build, verdict, len(voters) < lb.gateways, now, due)
	}
}

// reportVerdict reports a voter's verdict and outliers to all other gateways, if there are any that follow it: when they
// change, and again at intervals.
func (lb *Balancer) reportVerdict(build int, verdict Verdict, followed bool, now monotonic.Time, due *DueWork) {
	voters := &lb.rollout.voters
	outliers := lb.detectOutliers(now)
	unchanged := verdict == voters.reportedVerdict && len(outliers) == voters.reportedOutliers && now < voters.nextReportAt
	if !followed || unchanged {
		return
	}
	voters.reportedVerdict, voters.reportedOutliers, voters.nextReportAt = verdict, len(outliers), now+voterReportInterval
	due.VoterReport = &VoterReport{
		Sender:       lb.rank,
		FoundAt:      now,
		Build:        build,
		Stage:        lb.canary.stage,
		Verdict:      verdict,
		Outliers:     outliers,
		BaselineCost: lb.rollout.cost.baselineCost,
	}
}

// VoterReportReceived takes in a voter's report. Of each voter the latest counts, of those on the newest build that is known here
// and of those on later ones; other gateways are not heard.
func (lb *Balancer) VoterReportReceived(report *VoterReport, now monotonic.Time) {
	state := &lb.rollout
	newest := max(state.build, lb.canary.build)
	if report.Sender == lb.rank || report.Build < newest ||
		!slices.Contains(lb.voters(report.Build), report.Sender) {
		return
	}
	report.receivedAt = now
	report.FoundAt = state.clocks.toLocal(report.Sender, report.FoundAt, now)
	for _, endpoint := range report.Outliers {
		endpoint.outlierUntil = now + voterReportInterval + evidenceInterval
	}
	// A gateway that restarted amid a canary has no figure of its own.
	if report.BaselineCost > 0 && (!state.evaluating() || state.cost.baselineCost == 0) {
		state.cost.baselineCost = report.BaselineCost
	}
	state.voters.store(report, newest)
}

// store keeps a report if it is its sender's latest: on the newest build known, or on one after that. So each voter has two at
// most, and a report on a build that nobody else knows displaces none on the present one.
func (v *voterState) store(report *VoterReport, newest int) {
	v.reports = slices.DeleteFunc(v.reports, func(previous *VoterReport) bool {
		return previous.Sender == report.Sender && previous.Build < newest
	})
	for i, previous := range v.reports {
		if previous.Sender == report.Sender && (previous.Build == newest) == (report.Build == newest) {
			if report.FoundAt > previous.FoundAt {
				v.reports[i] = report
			}
			return
		}
	}
	v.reports = append(v.reports, report)
}
