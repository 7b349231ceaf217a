// Package slidingwindow counts the events within a time span that ends now.
package slidingwindow

import (
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

// CountAfter returns the number of events after the given time that have not been dropped.
func (w *Window) CountAfter(after monotonic.Time) int {
	return len(w.times) - sort.Search(len(w.times), func(i int) bool { return w.times[i] > after })
}
