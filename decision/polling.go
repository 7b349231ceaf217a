package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	// The first call of a gateway alone comes within firstCallAlone; those of a fleet spread over firstCallEach for each
	// further gateway, but over no more than firstCallMost.
	firstPollAlone      = 10 * time.Millisecond
	firstPollPerGateway = 100 * time.Millisecond
	maxFirstPoll        = 2 * time.Second
	// pauseFirst is the pause after a failed call. It is doubled before each further one, and as much again is added at
	// random: all watches break at once when discovery goes down, and the fleet is not to call in step.
	initialBackoff = 400 * time.Millisecond
	// A fleet whose calls fail must ask for less than discovery can answer, or its queue never clears: one call of each
	// gateway in eight seconds is the least that it takes. A pause is one and a half times this in the mean.
	maxBackoff = 6400 * time.Millisecond
	// pauseCrowd is the same at once where all gateways are known to go without an answer, less where fewer do.
	crowdBackoff = 5600 * time.Millisecond
	// doublingsMost keeps the shift from running over.
	maxDoublings = 10
)

// discoveryCalls paces the calls of one gateway.
type pollPacing struct {
	required        bool // the list is not pushed
	due             bool
	nextAt          monotonic.Time
	failures        int     // since the last answer
	unansweredShare float64 // the share of the gateways that goes without an answer, where it is known
}

// Follow tells whether the list must be asked for its changes.
func (lb *Balancer) setPollDiscovery(mustAsk bool) {
	lb.discoveryPolling.required, lb.discoveryPolling.due = mustAsk, mustAsk
}

// ToldListFailed tells that a call to discovery failed or its watch broke; it is called again, later each time.
func (lb *Balancer) DiscoveryFailed(now monotonic.Time) {
	polling := &lb.discoveryPolling
	if !polling.required {
		return
	}
	pause := min(maxBackoff, initialBackoff<<min(polling.failures, maxDoublings))
	pause = max(pause, time.Duration(polling.unansweredShare*float64(crowdBackoff)))
	polling.failures++
	polling.due = true
	polling.nextAt = now + pause + lb.random.Jitter(pause)
}

// ToldListCrowd tells which share of the gateways, as far as is known, asks for the list without an answer.
func (lb *Balancer) UnansweredShareEstimated(share float64) {
	lb.discoveryPolling.unansweredShare = share
}

// firstCall sets when discovery is first called.
func (lb *Balancer) scheduleFirstPoll(now monotonic.Time) {
	if lb.discoveryPolling.required {
		lb.discoveryPolling.nextAt = now + lb.random.Jitter(min(maxFirstPoll, firstPollAlone+time.Duration(lb.gateways-1)*firstPollPerGateway))
	}
}

// callDiscovery has the call made if it is due, and tells when it is otherwise.
func (lb *Balancer) pollDiscovery(now monotonic.Time, due *DueWork, until monotonic.Time) time.Duration {
	polling := &lb.discoveryPolling
	if !polling.due {
		return until
	}
	if now < polling.nextAt {
		return min(until, polling.nextAt)
	}
	polling.due, due.PollDiscovery = false, true
	return until
}
