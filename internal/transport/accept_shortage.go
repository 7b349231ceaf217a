package transport

import (
	"sync"
	"time"
)

const (
	// longShortage is how long accepting is held up before connections that send nothing get less time.
	longShortage = 100 * time.Millisecond
	// shortageGap is the time without a wait after which a shortage is over.
	shortageGap = 100 * time.Millisecond
	// shortFirstRequestTime is the time of a connection in overflow for its first request during a long shortage. Those that
	// are yet to be accepted have waited by then, with what their clients have sent.
	shortFirstRequestTime = 5 * time.Millisecond
)

// acceptShortage knows whether accepting is held up because all places beyond the descriptor limit are taken. n connections
// that send nothing hold it up for longShortage at most and then for shortFirstRequestTime for each as many as have places.
type acceptShortage struct {
	mu      sync.Mutex
	began   time.Time
	lastEnd time.Time     // when accepting waited last, if it does not wait now
	waiting chan struct{} // closed while accepting waits
}

func newAcceptShortage() *acceptShortage { return &acceptShortage{waiting: make(chan struct{})} }

// begin says that accepting waits for a place.
func (s *acceptShortage) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastEnd) > shortageGap {
		s.began = now
	}
	close(s.waiting)
}

// end says that the wait is over.
func (s *acceptShortage) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEnd = time.Now()
	s.waiting = make(chan struct{})
}

// held returns a channel that is closed while accepting waits.
func (s *acceptShortage) held() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// ongoing reports whether accepting waits, or has waited a moment ago.
func (s *acceptShortage) ongoing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isWaiting() || time.Since(s.lastEnd) <= shortageGap
}

// firstRequestTime returns how long a connection in overflow may stay before it has sent anything.
func (s *acceptShortage) firstRequestTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isWaiting() && time.Since(s.began) > longShortage {
		return shortFirstRequestTime
	}
	return minIdleBeforeReclaim
}

// isWaiting reports whether accepting waits. The caller holds the lock.
func (s *acceptShortage) isWaiting() bool {
	select {
	case <-s.waiting:
		return true
	default:
		return false
	}
}
