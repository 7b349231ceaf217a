// Package exposure bounds how many requests meet a canary build: by a cap on the attempts at it, and by sticky keys, which
// must not go back to an earlier build once a later one has answered them.
package exposure

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/slidingwindow"
)

// Config says how attempts at a canary build are counted against the cap.
type Config struct {
	Window    time.Duration // over which requests and attempts are counted
	Allowance float64       // attempts beyond the cap's share of the requests
	PerOpType bool          // the cap holds for each op type by itself
	OpTypes   int           // how many op types there are
	Margin    time.Duration // by which the window is longer for attempts and shorter for requests, for late clocks
}

// Limiter holds the attempts at each canary build to a share of the requests in a sliding window.
type Limiter struct {
	config   Config
	requests []slidingwindow.Window         // by op type, or one for all
	attempts map[int][]slidingwindow.Window // by build, then as the requests
}

// NewLimiter returns a limiter that has seen no request.
func NewLimiter(config Config) Limiter {
	return Limiter{
		config:   config,
		requests: make([]slidingwindow.Window, config.OpTypes),
		attempts: map[int][]slidingwindow.Window{},
	}
}

// RecordRequest counts a request that has arrived.
func (l *Limiter) RecordRequest(opType int, now monotonic.Time) {
	l.requests[l.counted(opType)].Add(now, l.config.Window)
}

// RecordAttempt counts an attempt at a canary build.
func (l *Limiter) RecordAttempt(build, opType int, now monotonic.Time) {
	l.attemptsAt(build, opType).Add(now, l.config.Window)
}

// Allows reports whether one more attempt at a build keeps within a cap. A lower cap binds at once, attempts made before
// it included: the grace that the deployment gives for it is not used.
func (l *Limiter) Allows(build, opType int, limit float64, now monotonic.Time) bool {
	attempts := l.attemptsAt(build, opType).CountAfter(now - l.config.Window - l.config.Margin)
	requests := l.requests[l.counted(opType)].CountAfter(now - l.config.Window + l.config.Margin)
	return float64(attempts+1) <= l.config.Allowance+limit*float64(requests)
}

// Window is the span over which requests and attempts are counted.
func (l *Limiter) Window() time.Duration { return l.config.Window }

func (l *Limiter) attemptsAt(build, opType int) *slidingwindow.Window {
	if l.attempts[build] == nil {
		l.attempts[build] = make([]slidingwindow.Window, l.config.OpTypes)
	}
	return &l.attempts[build][l.counted(opType)]
}

// counted is the index under which an op type is counted.
func (l *Limiter) counted(opType int) int {
	if l.config.PerOpType {
		return opType
	}
	return 0
}
