package transport

import (
	"sync"
	"time"
)

const (
	// longShortageThreshold is how long a shortage lasts before connections that send nothing get less time.
	longShortageThreshold = 100 * time.Millisecond
	// shortageCooldown is the time without a wait after which a shortage is over.
	shortageCooldown = 100 * time.Millisecond
	// shortFirstRequestGrace is how long a connection in overflow is kept without a first request during a long
	// shortage. This is enough: connections accepted then have waited in the accept queue, together with what their
	// clients have sent.
	shortFirstRequestGrace = 5 * time.Millisecond
)

// slotShortage tracks whether the accept loop is blocked because all slots beyond the descriptor limit are taken. n
// connections that send nothing block it for at most longShortageThreshold, and after that for shortFirstRequestGrace
// for each batch of them that fills the overflow slots.
type slotShortage struct {
	mu          sync.Mutex
	startedAt   time.Time     // start of the current or last shortage
	lastWaitEnd time.Time     // end of the last wait, if the accept loop is not waiting now
	waiting     chan struct{} // closed while the accept loop waits
}

func newSlotShortage() *slotShortage { return &slotShortage{waiting: make(chan struct{})} }

// beginWait records that the accept loop waits for a slot.
func (s *slotShortage) beginWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastWaitEnd) > shortageCooldown {
		s.startedAt = now
	}
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

// firstRequestGrace returns how long a connection in overflow that has sent nothing is kept before it may be closed.
func (s *slotShortage) firstRequestGrace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isWaiting() && time.Since(s.startedAt) > longShortageThreshold {
		return shortFirstRequestGrace
	}
	return minIdleBeforeReclaim
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
