package discovery

import (
	"math"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/seeded"
)

const (
	// The first poll of a gateway alone comes within firstPollAlone; those of a fleet are spread over firstPollPerGateway
	// for each further gateway, up to maxFirstPoll.
	firstPollAlone      = 10 * time.Millisecond
	firstPollPerGateway = 100 * time.Millisecond
	maxFirstPoll        = 2 * time.Second
	// initialBackoff is the pause after a failed poll. It is doubled at each further one, and up to as much again is
	// added at random: all watches break at once when discovery goes down, and the fleet must not poll in step.
	initialBackoff = 400 * time.Millisecond
	// maxBackoff keeps a fleet whose polls all fail below what discovery can answer, or its queue never clears: one poll
	// of each gateway in eight seconds is the least that it takes. With the random part a pause is one and a half times
	// this in the mean.
	maxBackoff = 6400 * time.Millisecond
	// crowdBackoff is the least pause where all gateways are known to be without an answer; less in proportion where
	// fewer are.
	crowdBackoff = 5600 * time.Millisecond
	// maxDoublings keeps the shift from overflowing.
	maxDoublings = 10
)

// Never is a moment that does not come.
const Never = monotonic.Time(math.MaxInt64)

// Pacing decides when one gateway polls discovery for changes of the endpoint list. The zero value never polls, as where
// discovery pushes each change.
type Pacing struct {
	required        bool
	due             bool // a poll is to be made at nextAt; none is in flight
	nextAt          monotonic.Time
	failures        int     // since the last answer
	unansweredShare float64 // the share of the gateways that is without an answer, as far as it is known
}

// NewPacing returns the pacing where discovery has to be polled.
func NewPacing() Pacing { return Pacing{required: true, due: true} }

// Start sets the first poll, at a random moment that is later in larger fleets.
func (p *Pacing) Start(gateways int, random *seeded.Source, now monotonic.Time) {
	if p.required {
		p.nextAt = now + random.Jitter(min(maxFirstPoll, firstPollAlone+time.Duration(gateways-1)*firstPollPerGateway))
	}
}

// Failed sets the next poll after one that failed, or after a watch that broke, later with each failure.
func (p *Pacing) Failed(random *seeded.Source, now monotonic.Time) {
	if !p.required {
		return
	}
	pause := min(maxBackoff, initialBackoff<<min(p.failures, maxDoublings))
	pause = max(pause, time.Duration(p.unansweredShare*float64(crowdBackoff)))
	p.failures++
	p.due = true
	p.nextAt = now + pause + random.Jitter(pause)
}

// Succeeded ends the backoff.
func (p *Pacing) Succeeded() { p.failures = 0 }

// EstimateUnanswered takes in which share of the gateways polls without an answer.
func (p *Pacing) EstimateUnanswered(share float64) { p.unansweredShare = share }

// Poll reports whether a poll is to be made now, once for each poll, and else the moment at which to ask again.
func (p *Pacing) Poll(now monotonic.Time) (poll bool, next monotonic.Time) {
	if !p.due {
		return false, Never
	}
	if now < p.nextAt {
		return false, p.nextAt
	}
	p.due = false
	return true, Never
}
