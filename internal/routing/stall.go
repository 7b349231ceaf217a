package routing

import (
	"log/slog"
	"time"

	"laurelring/decision/monotonic"
)

const (
	// stallThreshold is the longest delay in reading the clock that is not reported to the balancer as a stall.
	stallThreshold = 100 * time.Millisecond
	// loggedStallThreshold is the longest stall that is not logged.
	loggedStallThreshold = 500 * time.Millisecond
	// maxCanaryHold is the longest time for which unread messages keep new attempts from a canary build.
	maxCanaryHold = time.Second
)

// stallDetector detects stalls from the time at which the clock was last read and the time by which it should be read
// again. It detects nothing until start is called, for example in tests that call turn themselves.
type stallDetector struct {
	clockReadAt monotonic.Time // 0 before the start
	nextTurnBy  monotonic.Time // 0 if the clock has been read since the end of the latest turn
}

func (d *stallDetector) start(now monotonic.Time) { d.clockReadAt = now }

// expectTurnWithin sets the longest wait for the next turn, counted from the latest reading of the clock.
func (d *stallDetector) expectTurnWithin(wait time.Duration) { d.nextTurnBy = d.clockReadAt + wait }

// delay records a reading of the clock and returns how much later than expected it is.
func (d *stallDetector) delay(now monotonic.Time) time.Duration {
	if d.clockReadAt <= 0 {
		return 0
	}
	lateBy := now - max(d.clockReadAt, d.nextTurnBy)
	d.clockReadAt = now
	d.nextTurnBy = 0 // the wait is over, even if an event ended it early
	return lateBy
}

// readClock returns the current time, and detects whether the process stalled or other work occupied the processor
// since the clock was last read. The clock is read for each event, as a stall may occur during a turn or between two
// turns.
func (r *Router) readClock() monotonic.Time {
	now := r.clock()
	if span := r.stall.delay(now); span > stallThreshold {
		r.processStalled(span, now)
	}
	r.holdCanaryWhileUnread(now)
	return now
}

// holdCanaryWhileUnread keeps new attempts from a canary build while a message from discovery or the rollout controller
// is unread. Such a message may lower the exposure cap, and the lower cap applies from the time at which the message
// was written. Under load, the goroutines that read these messages may get the processor much later than this one. The
// hold ends after maxCanaryHold, as an incomplete message may never become complete.
func (r *Router) holdCanaryWhileUnread(now monotonic.Time) {
	if r.drivers.HasUnhandledNotice == nil || !r.balancer.CanaryExposed() {
		return
	}
	if !r.drivers.HasUnhandledNotice() {
		r.rollout.unreadSince = 0
		return
	}
	if r.rollout.unreadSince == 0 {
		r.rollout.unreadSince = now
	}
	if now-r.rollout.unreadSince < maxCanaryHold {
		r.balancer.HoldCanary(now)
	}
}

// endCatchUp lets attempts start again after a stall once all messages that discovery and the rollout controller sent
// during the stall have been read and processed. If that takes too long, the balancer ends the pause by itself. A fixed
// pause alone is not enough: under load, the goroutines that read these messages may run only after it.
func (r *Router) endCatchUp(now monotonic.Time) {
	if r.drivers.HasUnhandledNotice == nil || !r.balancer.CatchingUp(now) || !r.balancer.CatchUpPauseOver(now) ||
		r.drivers.HasUnhandledNotice() {
		return
	}
	r.processWaitingEvents() // process what was posted before HasUnhandledNotice was called
	r.balancer.CaughtUp(now)
}

// processStalled notifies the balancer of a stall. If the lease on the endpoint list has expired by now, it lets gossip
// query the peers for their views.
func (r *Router) processStalled(span time.Duration, now monotonic.Time) {
	if span > loggedStallThreshold {
		slog.Warn("process stalled", "duration", span.Round(time.Millisecond))
	}
	r.balancer.ProcessStalled(span, now)
	if r.drivers.HasUnhandledNotice != nil {
		r.balancer.AwaitCatchUp(now)
	}
	if r.list.exchange != nil && !r.balancer.EndpointListTrusted(now) {
		r.list.exchange.DiscoveryLost(now)
	}
}
