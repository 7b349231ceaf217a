package slidingwindow

import (
	"testing"
	"time"
)

func TestWindowCountsEventsAfterGivenTime(t *testing.T) {
	var window Window
	for _, at := range []time.Duration{1, 2, 2, 3} {
		window.Add(at*time.Second, 10*time.Second)
	}
	for moment, want := range map[time.Duration]int{0: 4, 1: 3, 2: 1, 3: 0} {
		if got := window.CountAfter(moment * time.Second); got != want {
			t.Errorf("got %d events after %d s, want %d", got, moment, want)
		}
	}
}

func TestDropsEventsOlderThanTwiceTheSpan(t *testing.T) {
	var window Window
	window.Add(1*time.Second, time.Second)
	window.Add(2*time.Second, time.Second)
	window.Add(4*time.Second, time.Second)
	if got := window.CountAfter(0); got != 2 {
		t.Errorf("got %d events, want 2: the one from exactly twice the span ago and the latest", got)
	}
}

func TestRemovesOneEvent(t *testing.T) {
	var window Window
	for _, at := range []time.Duration{1, 2, 2, 3} {
		window.Add(at*time.Second, 10*time.Second)
	}
	window.Remove(2 * time.Second)
	window.Remove(4 * time.Second) // was never recorded
	if got := window.CountAfter(0); got != 3 {
		t.Errorf("got %d events, want 3", got)
	}
	if got := window.CountAfter(1500 * time.Millisecond); got != 2 {
		t.Errorf("got %d events after 1.5 s, want 2: one from 2 s and the one from 3 s", got)
	}
}
