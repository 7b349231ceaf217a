package decision

import (
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
)

const (
	// voterReportInterval is the interval at which a voter repeats an unchanged report.
	voterReportInterval = time.Second
	// voterReportTTL is the age above which a voter's report is no longer followed.
	voterReportTTL = 3 * time.Second
)

// voterState is which gateways vote on a build, and what they report.
type voterState struct {
	selection rollout.Voters
	reports   []*VoterReport // the latest of each voter on the newest known build, and on any later build

	// What this gateway last reported as a voter, and when it repeats the report.
	reportedVerdict  Verdict
	reportedOutliers int
	nextReportAt     monotonic.Time
}

// voters returns the ranks of the gateways that vote on a build by their own evaluation of the evidence.
func (lb *Balancer) voters(build int) []int { return lb.rollout.voters.selection.On(build) }

// followedVerdict returns the verdict that the voters last reported: a rollback if any voter reports one, else a
// promotion if a voter reports one for the current stage. Following voters allows fleets that are too large for every
// gateway to receive all others' reports. The cost is that one faulty voter decides for the whole fleet. followed
// reports whether any voter's report is recent enough to be followed.
func (lb *Balancer) followedVerdict(now monotonic.Time) (verdict Verdict, followed bool) {
	for _, report := range lb.rollout.voters.reports {
		if report.Build != lb.canary.build || now-report.receivedAt > voterReportTTL {
			continue
		}
		followed = true
		if report.Verdict == VerdictRollBack {
			return VerdictRollBack, true
		}
		if report.Verdict == VerdictPromote && report.Stage == lb.canary.stage {
			verdict = VerdictPromote
		}
	}
	return verdict, followed
}

// reportAndVote sends this gateway's totals to the voters, evaluates the build, casts a vote, and reports to the other
// gateways if this gateway is a voter.
func (lb *Balancer) reportAndVote(now monotonic.Time, due *DueWork) {
	state := &lb.rollout
	build := max(state.build, lb.canary.build)
	voters := lb.voters(build)
	isVoter := slices.Contains(voters, lb.rank)
	lb.sumEvidence(now)
	lb.reportEvidence(build, voters, now, due)
	lb.updateReporting(isVoter, now)
	verdict := VerdictNone
	// The votes of the few voters suffice if no more votes than voters are required.
	followersVote := max(state.settings.promoteVotes, state.settings.rollbackVotes) > len(voters)
	if state.evaluating() && (isVoter || followersVote) {
		verdict = lb.currentVerdict(now)
		lb.castVote(verdict, now, due)
	}
	if isVoter {
		lb.reportVerdict(build, verdict, len(voters) < lb.gateways, now, due)
	}
}

// reportVerdict reports a voter's verdict and outliers to all other gateways, if any follow it: when they change, and
// again every voterReportInterval.
func (lb *Balancer) reportVerdict(build int, verdict Verdict, hasFollowers bool, now monotonic.Time, due *DueWork) {
	voters := &lb.rollout.voters
	outliers := lb.detectOutliers(now)
	unchanged := verdict == voters.reportedVerdict && len(outliers) == voters.reportedOutliers && now < voters.nextReportAt
	if !hasFollowers || unchanged {
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

// VoterReportReceived processes a voter's report. Of each voter, the latest report on the newest build that is known
// here counts, and the latest report on a later build. Reports of other gateways are ignored.
func (lb *Balancer) VoterReportReceived(report *VoterReport, now monotonic.Time) {
	state := &lb.rollout
	newest := max(state.build, lb.canary.build)
	if report.Sender == lb.rank || report.Build < newest ||
		!slices.Contains(lb.voters(report.Build), report.Sender) {
		return
	}
	report.receivedAt = now
	report.FoundAt = state.clocks.local(report.Sender, report.FoundAt, now)
	for _, endpoint := range report.Outliers {
		endpoint.outlierUntil = now + voterReportInterval + evidenceInterval
	}
	// A gateway that restarted during a canary phase has not measured the baseline cost itself.
	if report.BaselineCost > 0 && (!state.evaluating() || state.cost.baselineCost == 0) {
		state.cost.baselineCost = report.BaselineCost
	}
	state.voters.store(report, newest)
}

// store keeps a report if it is its sender's latest on the newest known build, or its latest on any later build. So at
// most two reports of each voter are kept, and a report on a later build that nobody else knows does not replace the
// report on the newest known build.
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
