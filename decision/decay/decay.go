// Package decay weighs past figures by their age.
package decay

import (
	"math"
	"time"

	"laurelring/decision/monotonic"
)

// Factor returns the share of a figure of an earlier moment that counts now: 1 at once, 1/e after the time constant.
func Factor(then, now monotonic.Time, timeConstant time.Duration) float64 {
	return math.Exp(-float64(now-then) / float64(timeConstant))
}
