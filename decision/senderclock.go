package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

// maxReportDelay is how late a report of another gateway may come. One that seems to be older, or of later on, was dated by a
// clock that reads otherwise: that of a gateway whose wall clock had been stepped before it or this one started.
const maxReportDelay = 30 * time.Second

// senderClocks translates the moments by which other gateways date their reports into this one's. Each gateway's clock begins
// with its wall clock.
type senderClocks struct {
	offsets []time.Duration // to be added, by the rank of the sender
}

func newSenderClocks(gateways int) senderClocks {
	return senderClocks{offsets: make([]time.Duration, gateways)}
}

// toLocal returns the moment of a report that comes now, by this gateway's clock. It is not long after now: a report must not
// outlast those that follow it. The sender must be one of the fleet's.
func (c *senderClocks) toLocal(sender int, at, now monotonic.Time) monotonic.Time {
	local := at + c.offsets[sender]
	if local < now-maxReportDelay || local > now+maxReportDelay {
		c.offsets[sender] = now - at
		local = now
	}
	return min(local, now+maxClockSkew)
}
