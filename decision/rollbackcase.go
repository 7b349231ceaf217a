package decision

import (
	"math"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/rollout"
	"laurelring/decision/sequentialtest"
)

const (
	// rollbackConditionHold is how long a case by failures must stand once few baseline endpoints remain.
	rollbackConditionHold = time.Second
	// timerHoldLevel: where a timer promotes, a rollback is voted as long as the evidence stays above this.
	timerHoldLevel = 4.0
)

// rollbackCondition is whether the evidence has rejected the build.
type rollbackCondition struct {
	met              bool
	belowThresholdAt monotonic.Time // when the evidence was last below the threshold
}

// update takes in the evidence as it is now. A case that stands is not dropped, except where a timer promotes and the evidence
// has fallen far. Once few baseline endpoints remain, a case by failures must stand a while: this guards against endpoints that
// begin to fail after a release, until they are found to be outliers, and harms where a build does so.
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
