package transport

import (
	"sync"
	"time"

	"laurelring/decision/reclaim"
)

// firstRequestDelay is a reclaim.FirstRequestDelay for concurrent use.
type firstRequestDelay struct {
	mu    sync.Mutex
	delay reclaim.FirstRequestDelay
}

// record adds the delay of a connection whose first request arrived after it was accepted.
func (d *firstRequestDelay) record(delay time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay.Record(delay, now)
}

// bound returns a time within which nearly all clients that send a request have begun it, 0 if it is not known.
func (d *firstRequestDelay) bound(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delay.Bound(now)
}
