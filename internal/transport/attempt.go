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
	DecidedAt monotonic.Time // when the attempt was decided, by the pool's clock
	Deadline  monotonic.Time // until when to wait for the outcome
	// Encode returns the encoded request. It is called when the request is about to be written, with the time left until
	// the deadline.
	Encode func(remaining time.Duration) []byte
	// Connected is called on another goroutine once a new connection has been established for the attempt. The attempt is
	// not sent until Proceed is called. Connected may block.
	Connected func()
	// SentLate is called on another goroutine if the process was delayed while sending the attempt: more than maxSendDelay
	// passed between the last reading of the clock and the write. It may block.
	SentLate func(span time.Duration)
	// Finished is called once with the outcome, on another goroutine, unless the attempt was canceled or withheld before.
	Finished func(protocol.Response)
}

// Attempt is one transmission of a request to an endpoint. It finishes once, with an outcome, by Cancel or by Withhold.
type Attempt struct {
	request AttemptRequest
	wake    chan struct{} // receives an element when Proceed is called or the attempt is canceled or withheld

	mu         sync.Mutex
	decidedAt  monotonic.Time // time of the latest decision to send the attempt
	finished   bool
	started    bool                // the first byte may have been sent
	connection *endpointConnection // nil until the attempt has started
}

func newAttempt(request AttemptRequest) *Attempt {
	return &Attempt{request: request, decidedAt: request.DecidedAt, wake: make(chan struct{}, 1)}
}

// Proceed allows an attempt that has called Connected to be sent, on a decision made at decidedAt.
func (a *Attempt) Proceed(decidedAt monotonic.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decidedAt = decidedAt
	a.wakeSender()
}

// wakeSender ends a wait in awaitDecision.
func (a *Attempt) wakeSender() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// awaitDecision asks for a new decision on the attempt, after a connection was established for it, and waits for the
// decision for at most limit.
func (a *Attempt) awaitDecision(limit time.Duration) {
	a.request.Connected()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-a.wake:
	case <-timer.C:
	}
}

// latestStart returns the latest time at which the first byte of the attempt may be sent. After that its deadline has
// passed, or the decision to send it is based on outdated state.
func (a *Attempt) latestStart() monotonic.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(a.request.Deadline-1, a.decidedAt+maxDecisionAge)
}

// Cancel finishes an attempt without an outcome. If the attempt has started, its connection is closed before Cancel
// returns, so that a retry at another endpoint is not a second copy in flight. Otherwise the connection is kept for
// other attempts. reachedEndpoint is true if the endpoint may have received the request. alreadyFinished is true if the
// attempt had finished before: its outcome is then delivered through Finished.
func (a *Attempt) Cancel() (reachedEndpoint, alreadyFinished bool) {
	a.mu.Lock()
	connection, started, wasFinished := a.connection, a.started, a.finished
	a.finished = true
	a.wakeSender()
	a.mu.Unlock()
	if started && !wasFinished {
		connection.close("attempt canceled")
	}
	return started, wasFinished
}

// Withhold finishes an attempt without an outcome if no byte of it has been sent, and reports whether it did.
func (a *Attempt) Withhold() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.finished {
		return false
	}
	a.finished = true
	a.wakeSender()
	return true
}

// neverConnected is the connection time of an attempt without a connection. It is later than any real time, so such an
// attempt never counts as evidence that an endpoint accepts requests.
const neverConnected = monotonic.Time(math.MaxInt64)

// ConnectedAt returns when the attempt's connection was established, or neverConnected if nothing of the attempt has
// been sent. An endpoint may send a response even then.
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

// markFinished marks the attempt as finished. It returns false if the attempt was already finished.
func (a *Attempt) markFinished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasFinished := a.finished
	a.finished = true
	return !wasFinished
}

// markStarted records that bytes of the attempt may be written to the connection from now on. It returns false if the
// attempt has finished in the meantime, in which case nothing of it may be written.
func (a *Attempt) markStarted(connection *endpointConnection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started, a.connection = !a.finished, connection
	return a.started
}

// markNotStarted reverts markStarted after nothing was written. It reports whether the attempt still has to be sent.
func (a *Attempt) markNotStarted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started, a.connection = false, nil
	return !a.finished
}
