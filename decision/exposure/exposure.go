// Package exposure limits how many requests are served by a canary build. A cap limits the attempts at the build, and
// sticky keys keep a key that a later build has answered from being routed to an earlier build again.
package exposure

import (
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/slidingwindow"
)

// Config configures how attempts at a canary build are counted against the exposure cap.
type Config struct {
	Window    time.Duration // sliding window in which requests and attempts are counted
	Allowance float64       // attempts allowed in addition to the cap's share of the requests
	PerOpType bool          // apply the cap to each op type separately
	OpTypes   int           // number of op types
	// Margin lengthens the window for attempts and shortens it for requests, to allow for clocks that are read late.
	Margin time.Duration
}

// Limiter limits the attempts at each canary build to a share of the requests in a sliding window.
type Limiter struct {
	config   Config
	requests []slidingwindow.Window         // by op type, or only index 0 for all op types together
	attempts map[int][]slidingwindow.Window // by build, then indexed like requests
}

// NewLimiter returns a limiter that has not counted any request.
func NewLimiter(config Config) Limiter {
	return Limiter{
		config:   config,
		requests: make([]slidingwindow.Window, config.OpTypes),
		attempts: map[int][]slidingwindow.Window{},
	}
}

// RecordRequest counts an incoming request.
func (l *Limiter) RecordRequest(opType int, now monotonic.Time) {
	l.requests[l.counterIndex(opType)].Add(now, l.config.Window)
}

// RecordAttempt counts an attempt at a canary build.
func (l *Limiter) RecordAttempt(build, opType int, now monotonic.Time) {
	l.attemptsAt(build, opType).Add(now, l.config.Window)
}

// RemoveAttempt removes an attempt that was counted at the given time.
func (l *Limiter) RemoveAttempt(build, opType int, countedAt monotonic.Time) {
	l.attemptsAt(build, opType).Remove(countedAt)
}

// Allows reports whether one more attempt at a build stays within the exposure cap. A lowered cap applies immediately
// and also counts the attempts made before it was lowered: the grace period that the deployment grants is not used.
func (l *Limiter) Allows(build, opType int, exposureCap float64, now monotonic.Time) bool {
	attempts := l.attemptsAt(build, opType).CountAfter(now - l.config.Window - l.config.Margin)
	requests := l.requests[l.counterIndex(opType)].CountAfter(now - l.config.Window + l.config.Margin)
	return float64(attempts+1) <= l.config.Allowance+exposureCap*float64(requests)
}

// Window returns the length of the sliding window in which requests and attempts are counted.
func (l *Limiter) Window() time.Duration { return l.config.Window }

// attemptsAt returns the counted attempts at a build for an op type.
func (l *Limiter) attemptsAt(build, opType int) *slidingwindow.Window {
	if l.attempts[build] == nil {
		l.attempts[build] = make([]slidingwindow.Window, l.config.OpTypes)
	}
	return &l.attempts[build][l.counterIndex(opType)]
}

// counterIndex returns the index of the window that counts an op type.
func (l *Limiter) counterIndex(opType int) int {
	if l.config.PerOpType {
		return opType
	}
	return 0
}
