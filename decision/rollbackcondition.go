package decision

import (
	"math"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
	"laurelring/decision/sequentialtest"
)

const (
	// rollbackConditionHold is the time for which evidence by failures must stay above the threshold once few baseline
	// endpoints remain.
	rollbackConditionHold = time.Second
	// timerHoldLevel is the e-value below which the evidence must fall before a rollback is no longer voted, if a timer
	// promotes.
	timerHoldLevel = 4.0
)

// rollbackCondition records whether the evidence has rejected the build.
type rollbackCondition struct {
	met              bool
	belowThresholdAt monotonic.Time // when the evidence was last below the threshold
}

// update evaluates the current evidence. Once met, the condition stays met, except if a timer promotes and the evidence
// has fallen below timerHoldLevel. Once few baseline endpoints remain, evidence by failures must stay above the
// threshold for rollbackConditionHold, whereas evidence by cost counts at once. This guards against single endpoints
// that begin to fail after a release, until they are found to be outliers. It delays the rollback of a build that does
// so itself.
func (r *rollbackCondition) update(evidence rollout.Evidence, baselineRemains bool, mode PromotionMode, now monotonic.Time) {
	threshold := sequentialtest.LogThreshold()
	if evidence.All >= threshold {
		r.met = r.met || baselineRemains || evidence.Cost >= threshold || now-r.belowThresholdAt >= rollbackConditionHold
		return
	}
	r.belowThresholdAt = now
	if mode == PromoteByTimer && evidence.All < math.Log(timerHoldLevel) {
		r.met = false
	}
}
