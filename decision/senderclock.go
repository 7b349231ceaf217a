package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

// maxReportDelay is the longest delay of a report from another gateway. If a report seems to be older than this, or is
// dated further than this in the future, the sender's clock differs from this gateway's, because the wall clock of one
// of them was stepped before that gateway started.
const maxReportDelay = 30 * time.Second

// senderClocks converts the times in other gateways' reports to this gateway's clock. The clock of each gateway starts
// at its wall clock time.
type senderClocks struct {
	offsets []time.Duration // offset to add to a sender's time, by the rank of the sender
}

func newSenderClocks(gateways int) senderClocks {
	return senderClocks{offsets: make([]time.Duration, gateways)}
}

// local converts a time in a report that arrives now to this gateway's clock. The result is at most maxClockSkew after
// now, as a report with a later time would outrank the reports that follow it. sender must be the rank of a gateway of
// the fleet.
func (c *senderClocks) local(sender int, senderTime, now monotonic.Time) monotonic.Time {
	local := senderTime + c.offsets[sender]
	if local < now-maxReportDelay || local > now+maxReportDelay {
		c.offsets[sender] = now - senderTime
		local = now
	}
	return min(local, now+maxClockSkew)
}
