package routing

import (
	"log/slog"
	"slices"

	"laurelring/decision"
	"laurelring/decision/monotonic"
)

// meet tells of builds as they are first listed.
func (r *Router) verifyBuild(build int) {
	if r.drivers.VerifyBuild == nil || slices.Contains(r.knownBuilds, build) {
		return
	}
	if r.knownBuilds = append(r.knownBuilds, build); len(r.knownBuilds) > maxKnownBuilds {
		r.knownBuilds = r.knownBuilds[1:]
	}
	r.drivers.VerifyBuild(build)
}

// Vouched tells whether a build is what was signed.
func (r *Router) BuildVerified(build int, so bool) {
	select {
	case r.events <- func(now monotonic.Time) {
		r.balancer.BuildVerified(build, so)
		r.withholdDisallowed(now)
	}:
	case <-r.done: // whoever tells is waited for at the end
	}
}

// News tells where the newest build stands.
func (r *Router) RolloutStatusReceived(status decision.RolloutStatus) {
	r.events <- func(now monotonic.Time) {
		if here := [3]int{status.Build, status.Stage, int(status.Phase)}; here != r.loggedStatus {
			slog.Info("news", "build", status.Build, "stage", status.Stage, "phase", status.Phase, "cap", status.ExposureCap)
			r.loggedStatus = here
		}
		r.balancer.RolloutChanged(status, now)
		r.withholdDisallowed(now)
	}
}

// Voted tells the answer to a vote.
func (r *Router) VoteAnswered(how decision.Outcome) {
	r.events <- func(now monotonic.Time) {
		if how != decision.OutcomeSuccess {
			slog.Warn("a vote did not count", "outcome", how)
		}
		r.balancer.VoteAnswered(how, now)
	}
}
