package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	// heldUpMost is how long a gateway may be held up without any harm: deadlines, windows and graces allow for it.
	harmlessStall = 150 * time.Millisecond
	// heldUpLong is how long it may be and still take in what was told meanwhile within the grace of a drain.
	maxTrustedStall = 600 * time.Millisecond
	// catchUp is how long no delivery goes out after that, so that what was told meanwhile is read first.
	catchUpPause = 30 * time.Millisecond
)

// ToldHeldUp tells that this gateway has stood still for a while. What it was told meanwhile waits to be read: drains,
// a lower cap. It guards against deliveries by what was known before. After long ones the list has to be confirmed, as
// the call for it may have been given up with its answer unread.
func (lb *Balancer) ProcessStalled(span time.Duration, now monotonic.Time) {
	if span > harmlessStall {
		lb.catchUpUntil = now + catchUpPause
	}
	if span > maxTrustedStall {
		lb.endpointList.lease.suspect(now, now)
	}
}
