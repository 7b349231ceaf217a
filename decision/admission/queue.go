// Package admission decides which requests are served first and how many attempts are in flight at once. It has the
// priority queue of pending requests, the quotas of tenants, the arrival rate, and the concurrency window over all
// endpoints.
package admission

import (
	"slices"
	"sort"
)

// Queue holds pending requests in order of decreasing priority, with the newest first among requests of equal priority:
// oldest-first order would in an overload serve all of them just too late. The zero value is empty and ready for use.
type Queue[T comparable] struct{ entries []entry[T] }

type entry[T comparable] struct {
	request  T
	priority float64
}

// Add queues a request that is not queued yet.
func (q *Queue[T]) Add(request T, priority float64) {
	at := sort.Search(len(q.entries), func(i int) bool { return q.entries[i].priority <= priority })
	q.entries = slices.Insert(q.entries, at, entry[T]{request, priority})
}

// Remove removes a request from the queue, if it is queued.
func (q *Queue[T]) Remove(request T) {
	at := slices.IndexFunc(q.entries, func(queued entry[T]) bool { return queued.request == request })
	if at >= 0 {
		q.entries = slices.Delete(q.entries, at, at+1)
	}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return len(q.entries) }

// At returns the request at an index below Len. The first request in the queue is at index 0.
func (q *Queue[T]) At(index int) T { return q.entries[index].request }
