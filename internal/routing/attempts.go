package routing

import (
	"log/slog"
	"slices"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// lateOutcomePoll is how long an overdue attempt that has finished by itself is left, again and again, until its outcome
// has arrived.
const lateOutcomePoll = time.Millisecond

// activeAttempt is an attempt in flight.
type activeAttempt struct {
	request   *activeRequest
	state     *decision.Attempt
	handle    AttemptHandle
	startedAt monotonic.Time
	cancelAt  monotonic.Time
	sequence  int // in the order in which attempts were started
	heapIndex int // among the timers
}

// startAttempt forwards a request to an endpoint.
func (r *Router) startAttempt(request *activeRequest, verdict decision.Decision, now monotonic.Time) {
	attempt := &activeAttempt{
		request:   request,
		state:     verdict.Attempt,
		startedAt: now,
		cancelAt:  now + verdict.Timeout,
	}
	request.attempts[attempt.state] = attempt
	r.timers.add(attempt)
	endpoint := r.endpoints.byDecision[verdict.Endpoint]
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

// attemptConnected decides again on an attempt whose connection has been established: meanwhile its client may have left, its
// endpoint may drain, or the process may have stalled.
func (r *Router) attemptConnected(attempt *activeAttempt, now monotonic.Time) {
	if attempt.request.attempts[attempt.state] != attempt {
		return
	}
	if r.balancer.MaySend(attempt.state, now) {
		attempt.handle.Proceed(now)
	} else if attempt.handle.Withhold() {
		r.finishAttempt(attempt, protocol.Response{Outcome: decision.OutcomeNotSent}, now)
	}
}

// attemptSentLate counts and logs an attempt that went out after the process was held up for a span.
func (r *Router) attemptSentLate(requestID, endpoint string, span time.Duration) {
	total := r.sentLate.Add(1)
	slog.Warn("attempt sent late", "request_id", requestID, "endpoint", endpoint, "duration", span, "total", total)
}

// AttemptsSentLate returns how many attempts have gone out late since the start, because the process was held up between the
// last look at the time and the write. It does not block.
func (r *Router) AttemptsSentLate() int64 { return r.sentLate.Load() }

// finishAttempt takes in how an attempt ended, unless it was canceled before.
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
		outcome = decision.OutcomeError // a response without a value answers some other request
	}
	if outcome == decision.OutcomeSuccess {
		r.balancer.AttemptServed(attempt.state, attempt.handle.ConnectedAt())
	}
	duration := now - attempt.startedAt
	settled := request.client == nil
	r.requestLog.attemptFinished(request.id, r.endpoints.byDecision[attempt.state.Endpoint()], outcome, duration)
	if outcome == decision.OutcomeSuccess && !settled {
		r.requestLog.answered(request.id, answerServed, decision.ReasonNone)
		request.client.Respond(response.Value)
	}
	result := decision.AttemptResult{Outcome: outcome, Duration: duration, RequestCompleted: settled}
	r.apply(request, r.balancer.FinishAttempt(attempt.state, result, now), now)
}

// cancelAttempt ends an attempt on the gateway's side, with an outcome for the case that it may have reached the endpoint.
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

// withholdDisallowed cancels the attempts of which nothing has been sent and which the balancer no longer allows. An
// attempt may wait up to a second for its connection, and meanwhile its client may disconnect, its endpoint may begin to
// drain, or the exposure cap may fall.
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
