package decision

// This file decides when discovery is called for the list of instances, where a gateway has to ask for it.

const (
	// The first call of a gateway alone comes within firstCallAlone; those of a fleet spread over firstCallEach for each
	// further gateway, but over no more than firstCallMost.
	firstCallAlone = 10 * ms
	firstCallEach  = 100 * ms
	firstCallMost  = 2 * s
	// pauseFirst is the pause after a failed call. It is doubled before each further one, and as much again is added at
	// random: all watches break at once when discovery goes down, and the fleet is not to call in step.
	pauseFirst = 400 * ms
	// A fleet whose calls fail must ask for less than discovery can answer, or its queue never clears: one call of each
	// gateway in eight seconds is the least that it takes. A pause is one and a half times this in the mean.
	pauseMost = 6400 * ms
	// pauseCrowd is the same at once where all gateways are known to go without an answer, less where fewer do.
	pauseCrowd = 5600 * ms
	// doublingsMost keeps the shift from running over.
	doublingsMost = 10
)

// discoveryCalls paces the calls of one gateway.
type discoveryCalls struct {
	needed   bool // the list is not pushed
	due      bool
	at       int64
	failures int     // since the last answer
	crowd    float64 // the share of the gateways that goes without an answer, where it is known
}

// Follow tells whether the list must be asked for its changes.
func (g *Gateway) Follow(mustAsk bool) { g.calls.needed, g.calls.due = mustAsk, mustAsk }

// ToldListFailed tells that a call to discovery failed or its watch broke; it is called again, later each time.
func (g *Gateway) ToldListFailed(now int64) {
	c := &g.calls
	if !c.needed {
		return
	}
	pause := min(pauseMost, pauseFirst<<min(c.failures, doublingsMost))
	pause = max(pause, int64(c.crowd*float64(pauseCrowd)))
	c.failures++
	c.due = true
	c.at = now + pause + g.jitter(pause)
}

// ToldListCrowd tells which share of the gateways, as far as is known, asks for the list without an answer.
func (g *Gateway) ToldListCrowd(share float64) { g.calls.crowd = share }

// firstCall sets when discovery is first called.
func (g *Gateway) firstCall(now int64) {
	if g.calls.needed {
		g.calls.at = now + g.jitter(min(firstCallMost, firstCallAlone+int64(g.peers-1)*firstCallEach))
	}
}

// callDiscovery has the call made if it is due, and tells when it is otherwise.
func (g *Gateway) callDiscovery(now int64, due *Chores, until int64) int64 {
	c := &g.calls
	if !c.due {
		return until
	}
	if now < c.at {
		return min(until, c.at)
	}
	c.due, due.Watch = false, true
	return until
}

// jitter gives a time below a span at random, in whole milliseconds.
func (g *Gateway) jitter(span int64) int64 { return int64(g.draw(int(span/ms))) * ms }
