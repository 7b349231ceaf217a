// Package slidingwindow counts events within a span that ends now.
package slidingwindow

import (
	"sort"

	"laurelring/decision/monotonic"
)

// Window holds the moments of recent events, oldest first. The zero value is empty and ready for use.
type Window struct{ times []monotonic.Time }

// Add records an event and forgets the events that are older than twice the span, so that those within the span are
// there even where the caller counts a little further back.
func (w *Window) Add(now, span monotonic.Time) {
	cut := 0
	for cut < len(w.times) && w.times[cut] < now-2*span {
		cut++
	}
	w.times = append(w.times[cut:], now)
}

// CountAfter returns how many of the events that are still held came after a moment.
func (w *Window) CountAfter(moment monotonic.Time) int {
	return len(w.times) - sort.Search(len(w.times), func(i int) bool { return w.times[i] > moment })
}
