package routing

import (
	"container/heap"
	"time"

	"laurelring/decision/monotonic"
)

// attemptTimers holds the attempts in flight, ordered by their cancellation times and then by the order in which they
// were started. The second criterion makes the router deterministic: equal sequences of events lead to equal actions.
type attemptTimers struct {
	heap         attemptHeap
	nextSequence int
}

func (t *attemptTimers) add(attempt *activeAttempt) {
	attempt.sequence = t.nextSequence
	t.nextSequence++
	heap.Push(&t.heap, attempt)
}

func (t *attemptTimers) remove(attempt *activeAttempt) { heap.Remove(&t.heap, attempt.heapIndex) }

// reset changes the cancellation time of an attempt.
func (t *attemptTimers) reset(attempt *activeAttempt, cancelAt monotonic.Time) {
	attempt.cancelAt = cancelAt
	heap.Fix(&t.heap, attempt.heapIndex)
}

// limit brings the cancellation times of all attempts forward to cancelAt if they are later.
func (t *attemptTimers) limit(cancelAt monotonic.Time) {
	for _, attempt := range t.heap {
		attempt.cancelAt = min(attempt.cancelAt, cancelAt)
	}
	heap.Init(&t.heap)
}

// overdue returns the attempt with the earliest cancellation time if that time has come, and nil otherwise.
func (t *attemptTimers) overdue(now monotonic.Time) *activeAttempt {
	if len(t.heap) == 0 || t.heap[0].cancelAt > now {
		return nil
	}
	return t.heap[0]
}

// limitWait returns the given wait, or the time until the first timer expires if that is less.
func (t *attemptTimers) limitWait(wait time.Duration, now monotonic.Time) time.Duration {
	if len(t.heap) == 0 {
		return wait
	}
	return min(wait, t.heap[0].cancelAt-now)
}

// attemptHeap implements heap.Interface.
type attemptHeap []*activeAttempt

func (h attemptHeap) Len() int { return len(h) }

func (h attemptHeap) Less(i, j int) bool {
	if h[i].cancelAt != h[j].cancelAt {
		return h[i].cancelAt < h[j].cancelAt
	}
	return h[i].sequence < h[j].sequence
}

func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *attemptHeap) Push(element any) {
	attempt := element.(*activeAttempt)
	attempt.heapIndex = len(*h)
	*h = append(*h, attempt)
}

func (h *attemptHeap) Pop() any {
	last := len(*h) - 1
	attempt := (*h)[last]
	*h = (*h)[:last]
	return attempt
}
