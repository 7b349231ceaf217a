package routing

import (
	"log/slog"
	"time"

	"laurelring/decision/monotonic"
)

const (
	// stallThreshold is how late the clock may be read before the balancer is notified of a stall.
	stallThreshold = 100 * time.Millisecond
	// loggedStallThreshold is the same for the log.
	loggedStallThreshold = 500 * time.Millisecond
	// maxCanaryHold is how long a canary build gets no attempts at the most because something is unread.
	maxCanaryHold = time.Second
)

// stallDetector knows when the clock was last read and when it is to be read again at the latest. Until it is started,
// as where a test takes the turns, it detects nothing.
type stallDetector struct {
	clockReadAt monotonic.Time // 0 before the start
	nextTurnBy  monotonic.Time
}

func (d *stallDetector) start(now monotonic.Time) { d.clockReadAt = now }

// expectTurnWithin sets the wait for the next turn, from the latest reading of the clock on.
func (d *stallDetector) expectTurnWithin(wait time.Duration) { d.nextTurnBy = d.clockReadAt + wait }

// delay returns how much later than due the clock is read now.
func (d *stallDetector) delay(now monotonic.Time) time.Duration {
	if d.clockReadAt <= 0 {
		return 0
	}
	late := now - max(d.clockReadAt, d.nextTurnBy)
	d.clockReadAt = now
	return late
}

// readClock returns the present moment. It notices where the process stood still since the clock was last read, or other
// work kept the processor. The clock is read for each event, as a stall may come amid a turn as well as between two.
func (r *Router) readClock() monotonic.Time {
	now := r.clock()
	if late := r.stall.delay(now); late > stallThreshold {
		r.processStalled(late, now)
	}
	r.holdCanaryWhileUnread(now)
	return now
}

// holdCanaryWhileUnread keeps new attempts from a canary build while something that discovery or the rollout controller has sent
// is unread, as it may lower the cap, which binds from its writing on: beside load their readers may get the processor much
// later than this goroutine. What does not become complete is not waited for without end.
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

// endCatchUp lets attempts start again after a stall once all that discovery and the rollout controller sent meanwhile has
// been read and processed, or has not been for longer than is waited for it. A fixed pause alone would not do: beside load
// their readers may take their turn later than that.
func (r *Router) endCatchUp(now monotonic.Time) {
	if r.drivers.HasUnhandledNotice == nil || !r.balancer.CatchingUp(now) || !r.balancer.CatchUpPauseOver(now) ||
		r.drivers.HasUnhandledNotice() {
		return
	}
	r.processWaitingEvents() // what was posted before the look
	r.balancer.CaughtUp(now)
}

// processStalled notifies the balancer of a stall. Where the endpoint list's lease is over by now, gossip is to help.
func (r *Router) processStalled(late time.Duration, now monotonic.Time) {
	if late > loggedStallThreshold {
		slog.Warn("process stalled", "duration", late.Round(time.Millisecond))
	}
	r.balancer.ProcessStalled(late, now)
	if r.drivers.HasUnhandledNotice != nil {
		r.balancer.AwaitCatchUp(now)
	}
	if r.list.exchange != nil && !r.balancer.EndpointListTrusted(now) {
		r.list.exchange.DiscoveryLost(now)
	}
}
