package routing

// timers is a heap of what is out, by the moment until which it may be.
type attemptTimers []*activeAttempt

func (t attemptTimers) Len() int { return len(t) }

func (t attemptTimers) Less(a, b int) bool {
	return t[a].cancelAt < t[b].cancelAt || t[a].cancelAt == t[b].cancelAt && t[a].sequence < t[b].sequence
}

func (t attemptTimers) Swap(a, b int) {
	t[a], t[b] = t[b], t[a]
	t[a].heapIndex, t[b].heapIndex = a, b
}

func (t *attemptTimers) Push(f any) {
	f.(*activeAttempt).heapIndex = len(*t)
	*t = append(*t, f.(*activeAttempt))
}

func (t *attemptTimers) Pop() any {
	last := len(*t) - 1
	f := (*t)[last]
	*t = (*t)[:last]
	return f
}
