// Package admission decides which requests go first and how many attempts are in flight at once: the queue of pending
// requests by priority, the quotas of tenants, the rate of arrivals, and the concurrency window over all endpoints.
package admission

import (
	"slices"
	"sort"
)

// Queue holds pending requests by falling priority, and of equal ones the newest first: in an overload the oldest would
// all be served just too late. The zero value is empty and ready for use.
type Queue[T comparable] struct{ entries []entry[T] }

type entry[T comparable] struct {
	request  T
	priority float64
}

// Add queues a request, which must not be queued already.
func (q *Queue[T]) Add(request T, priority float64) {
	at := sort.Search(len(q.entries), func(i int) bool { return q.entries[i].priority <= priority })
	q.entries = slices.Insert(q.entries, at, entry[T]{request, priority})
}

// Remove takes a request out of the queue.
func (q *Queue[T]) Remove(request T) {
	at := slices.IndexFunc(q.entries, func(queued entry[T]) bool { return queued.request == request })
	if at >= 0 {
		q.entries = slices.Delete(q.entries, at, at+1)
	}
}

// Len returns how many requests are queued.
func (q *Queue[T]) Len() int { return len(q.entries) }

// At returns the request at a place, which is below Len; the first in the queue is at 0.
func (q *Queue[T]) At(place int) T { return q.entries[place].request }
