// Package decay weights past values by their age.
package decay

import (
	"math"
	"time"

	"laurelring/decision/monotonic"
)

// Factor returns the weight that a value recorded at then has at now. The weight decays exponentially, from 1 at then
// to 1/e after one time constant.
func Factor(then, now monotonic.Time, timeConstant time.Duration) float64 {
	return math.Exp(-float64(now-then) / float64(timeConstant))
}
