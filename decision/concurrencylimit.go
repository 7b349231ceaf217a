package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	initialConcurrencyLimit = 12.0 // of this gateway's attempts at an endpoint
	minConcurrencyLimit     = 1
	maxConcurrencyLimit     = 200.0
	congestedShare          = 0.35 // an answer that takes longer than this share of the latency objective is congested
	limitDecrease           = 0.85 // factor on the limit after a congested answer or a failed attempt
	limitIncrease           = 0.15 // small, so that about one answer in ten may be congested, and not one in two
	limitDecreaseInterval   = 100 * time.Millisecond
)

// concurrencyLimit limits how many of this gateway's attempts may be in flight at an endpoint. It grows with timely
// answers and shrinks with congested answers and failed attempts, so that the endpoint's queue stays short.
type concurrencyLimit struct {
	size        float64 // 0 before the endpoint is first listed
	decreasedAt monotonic.Time
}

// allows reports whether one more attempt may start while inFlight attempts are in flight.
func (l *concurrencyLimit) allows(inFlight int) bool { return float64(inFlight) < l.size }

// increase raises the limit if, with the attempt that was just answered, more than half of it was in use.
func (l *concurrencyLimit) increase(inFlight int) {
	if float64(inFlight+1) > l.size/2 {
		l.size = min(maxConcurrencyLimit, l.size+limitIncrease/l.size)
	}
}

// decrease lowers the limit, at most once within limitDecreaseInterval.
func (l *concurrencyLimit) decrease(now monotonic.Time) {
	if now-l.decreasedAt > limitDecreaseInterval {
		l.size, l.decreasedAt = max(minConcurrencyLimit, l.size*limitDecrease), now
	}
}
