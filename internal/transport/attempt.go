package transport

import (
	"math"
	"sync"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// AttemptRequest describes an attempt to send. All fields are required.
type AttemptRequest struct {
	Address   string         // of the endpoint
	DecidedAt monotonic.Time // the reading of the pool's clock on which the attempt was decided
	Deadline  monotonic.Time // until when the outcome is waited for
	// Encode makes the request, given the time until the deadline as it goes out.
	Encode func(remaining time.Duration) []byte
	// Connected is called on another goroutine once a new connection is established for the attempt, which then waits for
	// Proceed. It may block.
	Connected func()
	// SentLate is called, on another goroutine, where the process was held up as the attempt went out: a span of more than
	// maxSendSpan passed between the last look at the time and the write. It may block.
	SentLate func(span time.Duration)
	// Finished is called once with the outcome, on another goroutine, unless the attempt was canceled or withheld before.
	Finished func(protocol.Response)
}

// Attempt is one sending of a request to an endpoint. It finishes once: by its outcome, by Cancel or by Withhold.
type Attempt struct {
	request AttemptRequest
	decided chan struct{} // receives an element by Proceed, or as the attempt finishes

	mu         sync.Mutex
	decidedAt  monotonic.Time // the latest decision to send it
	finished   bool
	started    bool                // its first byte may have gone out
	connection *endpointConnection // nil before it started
}

func newAttempt(request AttemptRequest) *Attempt {
	return &Attempt{request: request, decidedAt: request.DecidedAt, decided: make(chan struct{}, 1)}
}

// Proceed lets an attempt go out that has called Connected, by a decision of that moment.
func (a *Attempt) Proceed(decidedAt monotonic.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decidedAt = decidedAt
	a.signalDecided()
}

// signalDecided ends the wait of awaitDecision.
func (a *Attempt) signalDecided() {
	select {
	case a.decided <- struct{}{}:
	default:
	}
}

// awaitDecision has the attempt decided again, as a connection was established for it, and waits for that, for a span at
// most.
func (a *Attempt) awaitDecision(limit time.Duration) {
	a.request.Connected()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-a.decided:
	case <-timer.C:
	}
}

// latestStart returns the last moment at which the first byte of the attempt may go out: later its time is over, or it was
// decided on a state that is past.
func (a *Attempt) latestStart() monotonic.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(a.request.Deadline-1, a.decidedAt+maxDecisionAge)
}

// Cancel finishes an attempt without an outcome. The connection of one that has started is closed before Cancel
// returns, so that a retry elsewhere is not a second copy; that of one that has not serves another attempt. reached
// says that the endpoint may have got the request, ended that the attempt had finished before: its outcome is on its
// way then.
func (a *Attempt) Cancel() (reached, ended bool) {
	a.mu.Lock()
	connection, started, wasFinished := a.connection, a.started, a.finished
	a.finished = true
	a.signalDecided()
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
	a.signalDecided()
	return true
}

// neverConnected is later than any moment: a connection of then proves nothing of an endpoint.
const neverConnected = monotonic.Time(math.MaxInt64)

// ConnectedAt returns when the attempt's connection was established, or neverConnected where nothing of the attempt has gone
// out: an endpoint may send a response before that.
func (a *Attempt) ConnectedAt() monotonic.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connection == nil {
		return neverConnected
	}
	return a.connection.openedAt
}

// finish reports the outcome, unless the attempt had finished before.
func (a *Attempt) finish(outcome decision.Outcome) {
	if a.markFinished() {
		a.request.Finished(protocol.Response{Outcome: outcome})
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
