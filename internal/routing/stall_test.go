package routing

import (
	"testing"
	"time"

	"laurelring/decision/monotonic"
)

// The router expects to wait for a second, but an event arrives at once, and the process stalls while it is handled.
// Guards against attempts that follow what was known before a stall: the stall was excused up to the wait that had
// ended early, so attempts started before what had come meanwhile was read.
func TestStallAfterWaitThatEndedEarlyIsMeasuredWhole(t *testing.T) {
	const start = monotonic.Time(1000 * time.Second)
	var detector stallDetector
	detector.start(start)
	detector.expectTurnWithin(time.Second)
	if delay := detector.delay(start + 10*ms); delay > 0 {
		t.Errorf("got a delay of %v for an event that ended the wait early, want none", delay)
	}
	if delay := detector.delay(start + 210*ms); delay != 200*ms {
		t.Errorf("got a delay of %v for a stall of 200 ms while the event was handled, want 200ms", delay)
	}
	detector.expectTurnWithin(time.Second)
	if delay := detector.delay(start + 1510*ms); delay != 300*ms {
		t.Errorf("got a delay of %v for a wait of 1 s that took 1.3 s, want 300ms", delay)
	}
}
