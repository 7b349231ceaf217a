// Package slidingwindow counts the events within a time span that ends now.
package slidingwindow

import (
	"slices"
	"sort"

	"laurelring/decision/monotonic"
)

// Window holds the times of recent events, oldest first. The zero value is empty and ready for use.
type Window struct{ times []monotonic.Time }

// Add records an event and drops the events that are older than twice the span, so that the caller can also count
// events from slightly further back than the span.
func (w *Window) Add(now, span monotonic.Time) {
	expired := 0
	for expired < len(w.times) && w.times[expired] < now-2*span {
		expired++
	}
	w.times = append(w.times[expired:], now)
}

// Remove removes one event that was recorded at the given time, if it has not been dropped.
func (w *Window) Remove(at monotonic.Time) {
	if i, found := slices.BinarySearch(w.times, at); found {
		w.times = slices.Delete(w.times, i, i+1)
	}
}

// CountAfter returns the number of events after the given time that have not been dropped.
func (w *Window) CountAfter(after monotonic.Time) int {
	return len(w.times) - sort.Search(len(w.times), func(i int) bool { return w.times[i] > after })
}
