package routing

import (
	"container/heap"
	"time"

	"laurelring/decision/monotonic"
)

// attemptTimers holds the attempts in flight, ordered by when they are to be canceled and then by when they were started,
// so that the same events lead to the same actions.
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

// reset gives an attempt another moment to be canceled at.
func (t *attemptTimers) reset(attempt *activeAttempt, cancelAt monotonic.Time) {
	attempt.cancelAt = cancelAt
	heap.Fix(&t.heap, attempt.heapIndex)
}

// limit has every attempt canceled at a moment at the latest.
func (t *attemptTimers) limit(cancelAt monotonic.Time) {
	for _, attempt := range t.heap {
		attempt.cancelAt = min(attempt.cancelAt, cancelAt)
	}
	heap.Init(&t.heap)
}

// overdue returns the first attempt that is to be canceled by now, or nil.
func (t *attemptTimers) overdue(now monotonic.Time) *activeAttempt {
	if len(t.heap) == 0 || t.heap[0].cancelAt > now {
		return nil
	}
	return t.heap[0]
}

// limitWait returns a wait, cut short by the first timer.
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
