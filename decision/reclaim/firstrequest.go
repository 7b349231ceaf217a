package reclaim

import "time"

const (
	// maxFirstRequestDelay bounds the time that slow clients obtain for all new connections in a crowd. A connection that
	// waits to be accepted waits no longer than that, and an answer that is half a second late counts as lost.
	maxFirstRequestDelay = 450 * time.Millisecond
	// firstRequestMargin is how many times the longest observed delay a client may take.
	firstRequestMargin = 2
	// firstRequestMemory is how long an observed delay counts.
	firstRequestMemory = time.Second
)

// FirstRequestDelay tracks how long clients take from connecting until their first request. On a busy machine that can
// be hundreds of milliseconds, and slow clients must not be taken for silent ones. The zero value has observed nothing.
type FirstRequestDelay struct {
	longest    time.Duration
	observedAt time.Time
}

// Record adds the delay of a connection whose first request arrived after it was accepted.
func (d *FirstRequestDelay) Record(delay time.Duration, now time.Time) {
	if delay >= d.longest || d.isOutdated(now) {
		d.longest, d.observedAt = delay, now
	}
}

// Bound returns a time within which a client that sends a request has begun it, at most maxFirstRequestDelay. It returns
// 0 if no delay was recorded lately.
func (d *FirstRequestDelay) Bound(now time.Time) time.Duration {
	if d.isOutdated(now) {
		return 0
	}
	return min(maxFirstRequestDelay, firstRequestMargin*d.longest)
}

func (d *FirstRequestDelay) isOutdated(now time.Time) bool {
	return now.Sub(d.observedAt) > firstRequestMemory
}
