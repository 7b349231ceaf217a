package routing

import (
	"container/heap"
	"slices"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// flight is a delivery that is out.
type activeAttempt struct {
	request   *activeRequest
	attempt   *decision.Attempt
	handle    AttemptHandle
	startedAt monotonic.Time
	cancelAt  monotonic.Time
	sequence  int // among those of one moment
	heapIndex int // in the timers
}

// ended tells how a delivery ended, unless it was given up before.
func (r *Router) finishAttempt(f *activeAttempt, response protocol.Response, now monotonic.Time) {
	if f.request.attempts[f.attempt] != f {
		return
	}
	delete(f.request.attempts, f.attempt)
	heap.Remove(&r.timers, f.heapIndex)
	if busy, ok := protocol.Load(response.LoadReport, r.utilizationField); ok {
		r.balancer.LoadReported(f.attempt.Endpoint, busy, now)
	}
	how := response.Outcome
	if how == decision.OutcomeSuccess && response.Value == nil {
		how = decision.OutcomeError // it answers something else
	}
	if how == decision.OutcomeSuccess {
		r.balancer.AttemptServed(f.attempt, now-f.handle.ConnectionAge())
	}
	settled := f.request.client == nil
	r.requestLog.attemptFinished(f.request.id, r.endpointRecords[f.attempt.Endpoint], how, now-f.startedAt)
	if how == decision.OutcomeSuccess && !settled {
		r.requestLog.answered(f.request.id, "served", decision.ReasonNone)
		f.request.client.Respond(response.Value)
	}
	result := decision.AttemptResult{Outcome: how, Duration: now - f.startedAt, Settled: settled}
	r.apply(f.request, r.balancer.FinishAttempt(f.attempt, result, now), now)
}

// giveUp ends a delivery by the gateway's own will.
func (r *Router) cancelAttempt(f *activeAttempt, how decision.Outcome, now monotonic.Time) {
	reached, ended := f.handle.Cancel()
	if ended {
		f.cancelAt = now + time.Duration(time.Millisecond)
		heap.Fix(&r.timers, f.heapIndex)
		return
	}
	if !reached {
		how = decision.OutcomeNotSent
	}
	r.finishAttempt(f, protocol.Response{Outcome: how}, now)
}

// withhold gives up what has not begun to go out and may no longer: it waits for a connection, for up to a
// second, while its client leaves, its instance is told to drain or the cap falls.
func (r *Router) withholdDisallowed(now monotonic.Time) {
	var late []*activeAttempt
	for _, f := range r.timers {
		if !r.balancer.AttemptAllowed(f.attempt, now) && f.handle.Withhold() {
			late = append(late, f)
		}
	}
	slices.SortFunc(late, func(a, b *activeAttempt) int { return a.sequence - b.sequence })
	for _, f := range late {
		r.finishAttempt(f, protocol.Response{Outcome: decision.OutcomeNotSent}, now)
	}
}

// expire gives up what has been out for as long as it may be.
func (r *Router) cancelOverdue(now monotonic.Time) {
	for len(r.timers) > 0 && r.timers[0].cancelAt <= now {
		r.cancelAttempt(r.timers[0], decision.OutcomeTimeout, now)
	}
}
