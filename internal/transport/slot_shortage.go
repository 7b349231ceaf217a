package transport

import (
	"sync"
	"time"
)

// shortageCooldown is the time without a wait after which a shortage is over.
const shortageCooldown = 100 * time.Millisecond

// slotShortage tracks whether the accept loop is blocked because all slots beyond the descriptor limit are taken.
type slotShortage struct {
	mu          sync.Mutex
	lastWaitEnd time.Time     // end of the last wait, if the accept loop is not waiting now
	waiting     chan struct{} // closed while the accept loop waits
}

func newSlotShortage() *slotShortage { return &slotShortage{waiting: make(chan struct{})} }

// beginWait records that the accept loop waits for a slot.
func (s *slotShortage) beginWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.waiting)
}

// endWait records that the accept loop has a slot and no longer waits.
func (s *slotShortage) endWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWaitEnd = time.Now()
	s.waiting = make(chan struct{})
}

// waitStarted returns a channel that is closed while the accept loop waits.
func (s *slotShortage) waitStarted() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// ongoing reports whether the accept loop waits, or waited within the last shortageCooldown.
func (s *slotShortage) ongoing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isWaiting() || time.Since(s.lastWaitEnd) <= shortageCooldown
}

// isWaiting reports whether the accept loop waits. The caller holds mu.
func (s *slotShortage) isWaiting() bool {
	select {
	case <-s.waiting:
		return true
	default:
		return false
	}
}
