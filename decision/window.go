package decision

import (
	"math"
	"sort"
	"time"

	"laurelring/decision/monotonic"
)

// faded is what is left by now of a figure of then, where a span leaves one in e.
func decay(then, now monotonic.Time, span time.Duration) float64 {
	return math.Exp(-float64(now-then) / float64(span))
}

// add books an event and forgets those older than the span, with some to spare.
func (w *slidingWindow) add(now monotonic.Time, span time.Duration) {
	cut := 0
	for cut < len(w.times) && w.times[cut] < now-2*span {
		cut++
	}
	w.times = append(w.times[cut:], now)
}

// count tells how many events came after a moment.
func (w *slidingWindow) count(after monotonic.Time) int {
	return len(w.times) - sort.Search(len(w.times), func(i int) bool { return w.times[i] > after })
}

// window holds the moments of events within a sliding span.
type slidingWindow struct{ times []monotonic.Time }
