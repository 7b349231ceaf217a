package discovery

import (
	"math"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/seeded"
)

const (
	// A single gateway makes its first poll within firstPollSingleGateway. For each further gateway of a fleet this
	// time is longer by firstPollPerGateway, up to maxFirstPoll, to spread the first polls.
	firstPollSingleGateway = 10 * time.Millisecond
	firstPollPerGateway    = 100 * time.Millisecond
	maxFirstPoll           = 2 * time.Second
	// initialBackoff is the pause after a first failed poll. It doubles with each further failure, and a random time
	// of up to the pause itself is added: when discovery goes down all watches break at once, and the gateways must
	// not poll at the same time.
	initialBackoff = 400 * time.Millisecond
	// maxBackoff keeps the poll rate of a fleet whose polls all fail below the rate that discovery can answer, as
	// otherwise the queue at discovery never drains. Discovery answers at least one poll of each gateway every
	// eight seconds. Including the random part, the mean pause is one and a half times maxBackoff.
	maxBackoff = 6400 * time.Millisecond
	// fullOutageBackoff is the minimum pause if all gateways are known to be without an answer. If fewer are, the
	// minimum is proportionally shorter.
	fullOutageBackoff = 5600 * time.Millisecond
	// maxDoublings keeps the shift of the backoff from overflowing.
	maxDoublings = 10
	// maxWriteDelay is the longest time for which the process may be held up between reading the clock and writing. The
	// grace period of a drain has to cover it.
	maxWriteDelay = 150 * time.Millisecond
	// minReopenDelay bounds the rate of calls where the grace period of a drain leaves no time for a pause.
	minReopenDelay = 10 * time.Millisecond
)

// Never is a time that is never reached.
const Never = monotonic.Time(math.MaxInt64)

// Pacing decides when one gateway polls discovery for changes of the endpoint list, or opens the watch over which
// discovery pushes them. The zero value does neither. It is used where a change is pushed without a call.
type Pacing struct {
	enabled         bool
	reopenDelay     time.Duration // longest pause before a broken watch of a pushed list is opened again; 0 if it is polled
	scheduled       bool          // a poll is scheduled for nextAt and none is in flight
	nextAt          monotonic.Time
	failures        int     // number of failed polls since the last answer
	unansweredShare float64 // estimated share of the gateways that get no answer
}

// NewPacing returns the pacing of a gateway that has to poll discovery.
func NewPacing() Pacing { return Pacing{enabled: true, scheduled: true} }

// NewPushPacing returns the pacing of a gateway to which discovery pushes changes over a watch. Gateways are considered
// notified of what discovery has, even if the watch is broken, and discovery that was down is back without notice. So a
// broken watch is opened again and again, and the pause leaves half of the grace period of a drain, less maxWriteDelay,
// for the call itself.
func NewPushPacing(drainGrace time.Duration) Pacing {
	return Pacing{enabled: true, scheduled: true, reopenDelay: max(minReopenDelay, (drainGrace-maxWriteDelay)/2)}
}

// Start schedules the first poll of a polled list at a random time, drawn from a longer interval in larger fleets. The
// watch of a pushed list is opened at once.
func (p *Pacing) Start(gateways int, random *seeded.Source, now monotonic.Time) {
	if p.enabled && p.reopenDelay == 0 {
		p.nextAt = now + random.Jitter(min(maxFirstPoll, firstPollSingleGateway+time.Duration(gateways-1)*firstPollPerGateway))
	}
}

// Failed schedules the next call after a failed call or a broken watch. For a polled list the pause grows with each
// failure.
func (p *Pacing) Failed(random *seeded.Source, now monotonic.Time) {
	if !p.enabled {
		return
	}
	if p.reopenDelay > 0 {
		p.scheduled = true
		p.nextAt = now + p.reopenDelay/2 + random.Jitter(p.reopenDelay/2)
		return
	}
	pause := min(maxBackoff, initialBackoff<<min(p.failures, maxDoublings))
	pause = max(pause, time.Duration(p.unansweredShare*float64(fullOutageBackoff)))
	p.failures++
	p.scheduled = true
	p.nextAt = now + pause + random.Jitter(pause)
}

// Succeeded resets the backoff.
func (p *Pacing) Succeeded() { p.failures = 0 }

// EstimateUnanswered sets the estimated share of the gateways that poll discovery without an answer.
func (p *Pacing) EstimateUnanswered(share float64) { p.unansweredShare = share }

// Poll reports whether to make a poll now, and otherwise returns the time at which to call it again, which is Never
// if no poll is scheduled. It returns true only once for each scheduled poll.
func (p *Pacing) Poll(now monotonic.Time) (poll bool, next monotonic.Time) {
	if !p.scheduled {
		return false, Never
	}
	if now < p.nextAt {
		return false, p.nextAt
	}
	p.scheduled = false
	return true, Never
}
