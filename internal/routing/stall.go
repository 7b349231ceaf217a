package routing

import (
	"log/slog"
	"time"

	"laurelring/decision/monotonic"
)

// look reads the clock, and notices if the process stood still since the last time, or other work kept the processor.
// Every event is told with a look of its own: a standstill may come amid a turn as well as between two.
func (r *Router) readClock() time.Duration {
	now := r.clock()
	if r.clockReadAt > 0 {
		r.detectStall(now, now-max(r.clockReadAt, r.nextTurnBy))
		r.clockReadAt = now
	}
	return now
}

// noticeHeldUp tells the module how much later than it was due the clock is looked at.
func (r *Router) detectStall(now monotonic.Time, late time.Duration) {
	if late > stallThreshold {
		if late > loggedStallThreshold {
			slog.Warn("the gateway stood still", "for", time.Duration(late).Round(time.Millisecond))
		}
		r.balancer.ProcessStalled(late, now)
		if r.endpointList.exchange != nil && !r.balancer.EndpointListTrusted(now) {
			r.endpointList.exchange.DiscoveryLost(now)
		}
	}
}
