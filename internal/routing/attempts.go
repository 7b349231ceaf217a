package routing

import (
	"log/slog"
	"slices"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// lateOutcomePoll is the interval at which the router checks again on an overdue attempt that has already finished,
// until the event with its outcome has been processed.
const lateOutcomePoll = time.Millisecond

// activeAttempt is an attempt in flight.
type activeAttempt struct {
	request   *activeRequest
	state     *decision.Attempt
	handle    AttemptHandle
	startedAt monotonic.Time
	cancelAt  monotonic.Time
	sequence  int // number of the attempt in the order in which attempts were started
	heapIndex int // position in the heap of timers
}

// startAttempt starts an attempt to forward a request to the endpoint that the balancer chose.
func (r *Router) startAttempt(request *activeRequest, decided decision.Decision, now monotonic.Time) {
	attempt := &activeAttempt{
		request:   request,
		state:     decided.Attempt,
		startedAt: now,
		cancelAt:  now + decided.Timeout,
	}
	request.attempts[attempt.state] = attempt
	r.timers.add(attempt)
	endpoint := r.endpoints.byEndpoint[decided.Endpoint]
	r.requestLog.attemptStarted(request.id, endpoint, r.list.revision, attempt.state.Number())
	attempt.handle = r.drivers.StartAttempt(AttemptRequest{
		Address:   endpoint.listed.Address,
		DecidedAt: now,
		Deadline:  attempt.cancelAt,
		Encode:    request.encode,
		Connected: func() {
			r.post(func(now monotonic.Time) { r.attemptConnected(attempt, now) })
		},
		SentLate: func(span time.Duration) {
			r.post(func(monotonic.Time) { r.attemptSentLate(request.id, endpoint.listed.ID, span) })
		},
		Finished: func(response protocol.Response) {
			r.post(func(now monotonic.Time) { r.finishAttempt(attempt, response, now) })
		},
	})
}

// attemptConnected sends or withholds an attempt whose connection has been established. It asks the balancer again
// because the client may have disconnected in the meantime, the endpoint may have begun to drain, a later build may have
// answered the sticky key, or the process may have stalled.
func (r *Router) attemptConnected(attempt *activeAttempt, now monotonic.Time) {
	if attempt.request.attempts[attempt.state] != attempt {
		return
	}
	allowed := r.balancer.AttemptConnected(attempt.state, now)
	r.requestLog.attemptConnected(attempt.request.id, attempt.state.Number(), now-attempt.startedAt, allowed)
	if allowed {
		attempt.handle.Proceed(now)
	} else {
		r.withhold(attempt, now)
	}
}

// withhold ends an attempt if nothing of it has been sent.
func (r *Router) withhold(attempt *activeAttempt, now monotonic.Time) {
	if attempt.handle.Withhold() {
		r.finishAttempt(attempt, protocol.Response{Outcome: decision.OutcomeNotSent}, now)
	}
}

// attemptSentLate counts and logs an attempt that was sent late because the process was delayed by the given span.
func (r *Router) attemptSentLate(requestID, endpoint string, span time.Duration) {
	total := r.sentLate.Add(1)
	slog.Warn("attempt sent late", "request_id", requestID, "endpoint", endpoint, "duration", span, "total", total)
}

// AttemptsSentLate returns the number of attempts since the start that were sent late because the process was delayed
// between the last reading of the clock and the write. It does not block.
func (r *Router) AttemptsSentLate() int64 { return r.sentLate.Load() }

// finishAttempt processes the outcome of an attempt, unless the attempt was finished or canceled before.
func (r *Router) finishAttempt(attempt *activeAttempt, response protocol.Response, now monotonic.Time) {
	request := attempt.request
	if request.attempts[attempt.state] != attempt {
		return
	}
	delete(request.attempts, attempt.state)
	r.timers.remove(attempt)
	if utilization, ok := protocol.ParseUtilization(response.LoadReport, r.utilizationField); ok {
		r.balancer.LoadReported(attempt.state.Endpoint(), utilization, now)
	}
	outcome := response.Outcome
	if outcome == decision.OutcomeSuccess && response.Value == nil {
		outcome, response.Malformed = decision.OutcomeError, true // it does not belong to this request
	}
	if outcome == decision.OutcomeSuccess {
		r.balancer.AttemptServed(attempt.state, attempt.handle.ConnectedAt())
	}
	duration := now - attempt.startedAt
	completed := request.client == nil
	r.requestLog.attemptFinished(request.id, r.endpoints.byEndpoint[attempt.state.Endpoint()], outcome, duration)
	result := decision.AttemptResult{
		Outcome:          outcome,
		Duration:         duration,
		RequestCompleted: completed,
		AnswerUnread:     response.Malformed || answerMayBeLost(outcome),
	}
	decided := r.balancer.FinishAttempt(attempt.state, result, now)
	if decided.KeyBound {
		r.withholdDisallowed(now) // before the client can know of the answer
	}
	if outcome == decision.OutcomeSuccess && !completed {
		r.requestLog.answered(request.id, answerServed, decision.ReasonNone)
		request.client.Respond(response.Value)
	}
	r.apply(request, decided, now)
}

// answerMayBeLost reports whether an endpoint may have written an answer that did not arrive: the request reached it, and
// its connection ended, or was closed, before any answer was read.
func answerMayBeLost(outcome decision.Outcome) bool {
	switch outcome {
	case decision.OutcomeConnectionLost, decision.OutcomeTimeout, decision.OutcomeCanceled:
		return true
	default:
		return false
	}
}

// cancelAttempt cancels an attempt. The given outcome applies if the request may have reached the endpoint, and
// OutcomeNotSent if it has not. An attempt that has already finished is left until its own outcome arrives.
func (r *Router) cancelAttempt(attempt *activeAttempt, outcome decision.Outcome, now monotonic.Time) {
	reachedEndpoint, alreadyFinished := attempt.handle.Cancel()
	if alreadyFinished {
		r.timers.reset(attempt, now+lateOutcomePoll)
		return
	}
	if !reachedEndpoint {
		outcome = decision.OutcomeNotSent
	}
	r.finishAttempt(attempt, protocol.Response{Outcome: outcome}, now)
}

// cancelOverdue cancels the attempts whose timers have expired.
func (r *Router) cancelOverdue(now monotonic.Time) {
	for attempt := r.timers.overdue(now); attempt != nil; attempt = r.timers.overdue(now) {
		r.cancelAttempt(attempt, decision.OutcomeTimeout, now)
	}
}

// withholdDisallowed cancels the attempts that the balancer no longer allows and of which nothing has been sent. An
// attempt may wait up to a second for its connection. In that time its client may disconnect, its endpoint may begin to
// drain, the exposure cap may be lowered, or a later build may answer its sticky key.
func (r *Router) withholdDisallowed(now monotonic.Time) {
	var withheld []*activeAttempt
	for _, attempt := range r.timers.heap {
		if !r.balancer.AttemptAllowed(attempt.state, now) && attempt.handle.Withhold() {
			withheld = append(withheld, attempt)
		}
	}
	slices.SortFunc(withheld, func(a, b *activeAttempt) int { return a.sequence - b.sequence })
	for _, attempt := range withheld {
		r.finishAttempt(attempt, protocol.Response{Outcome: decision.OutcomeNotSent}, now)
	}
}
