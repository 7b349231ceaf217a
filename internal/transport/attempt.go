package transport

import (
	"sync"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// Attempt is one sending of a request to an endpoint. It finishes once: by its outcome, by Cancel or by Withhold.
type Attempt struct {
	decidedAt  time.Time
	deadline   time.Time
	encode     func(remaining time.Duration) []byte
	onResponse func(protocol.Response)

	mu         sync.Mutex
	finished   bool
	started    bool                // its first byte may have gone out
	connection *endpointConnection // nil before it started
}

// newAttempt returns an attempt that is decided now.
func newAttempt(deadline time.Time, encode func(remaining time.Duration) []byte,
	onResponse func(protocol.Response)) *Attempt {
	return &Attempt{decidedAt: time.Now(), deadline: deadline, encode: encode, onResponse: onResponse}
}

// Cancel finishes an attempt without an outcome. The connection of one that has started is closed before Cancel
// returns, so that a retry elsewhere is not a second copy; that of one that has not serves another attempt. reached
// says that the endpoint may have got the request, ended that the attempt had finished before: its outcome is on its
// way then.
func (a *Attempt) Cancel() (reached, ended bool) {
	a.mu.Lock()
	connection, started, wasFinished := a.connection, a.started, a.finished
	a.finished = true
	a.mu.Unlock()
	if started && !wasFinished {
		connection.close("attempt given up")
	}
	return started, wasFinished
}

// Withhold finishes an attempt without an outcome if nothing of it has gone out, and reports whether it did.
func (a *Attempt) Withhold() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.finished {
		return false
	}
	a.finished = true
	return true
}

// ConnectionAge returns for how long the attempt's connection has been open, or 0 before the attempt started.
func (a *Attempt) ConnectionAge() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connection == nil {
		return 0
	}
	return time.Since(a.connection.openedAt)
}

// finish reports the outcome, unless the attempt had finished before.
func (a *Attempt) finish(outcome decision.Outcome) {
	if a.markFinished() {
		a.onResponse(protocol.Response{Outcome: outcome})
	}
}

// markFinished marks the attempt as finished and reports whether it was not before.
func (a *Attempt) markFinished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasFinished := a.finished
	a.finished = true
	return !wasFinished
}

// markStarted marks that bytes go out on a connection from here on. It returns false if the attempt has finished
// meanwhile: nothing of it may be written then.
func (a *Attempt) markStarted(connection *endpointConnection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started, a.connection = !a.finished, connection
	return a.started
}

// markNotStarted takes markStarted back, where nothing was written, and reports whether the attempt is still to be
// sent.
func (a *Attempt) markNotStarted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started, a.connection = false, nil
	return !a.finished
}
