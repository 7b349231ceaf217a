package routing

import (
	"container/heap"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// inHand is a command until its final answer is given and nothing of it is out.
type activeRequest struct {
	id       string
	request  *decision.Request
	client   Client // nil once it is answered or gone
	encode   func(within time.Duration) []byte
	attempts map[*decision.Attempt]*activeAttempt
}

// Command tells of a command that a client sent. One by an id that another in hand bears is no command: it
// would be taken for the other.
func (r *Router) RequestArrived(request protocol.Request, client Client) {
	came := r.clock() // what it waits here is the client's time too
	r.events <- func(now monotonic.Time) {
		if r.requestsByID[request.ID] != nil {
			client.Fail()
			return
		}
		c := &activeRequest{id: request.ID, client: client, encode: request.Encode, attempts: map[*decision.Attempt]*activeAttempt{}}
		left := request.Remaining - (now - came)
		if r.shutdownAt > 0 {
			left = min(left, r.shutdownAt-now)
		}
		c.request = r.balancer.Admit(decision.Arrival{OpType: request.OpType, Key: request.Key, Remaining: left}, now)
		r.requests[c.request], r.requestsByClient[client], r.requestsByID[request.ID] = c, c, c
		r.requestLog.accepted(request.ID, left)
		r.apply(c, r.balancer.Route(c.request, now), now)
	}
}

// Gone tells that a client has left before its answer.
func (r *Router) ClientDisconnected(client Client) {
	r.events <- func(now monotonic.Time) {
		if c := r.requestsByClient[client]; c != nil {
			r.requestLog.clientDisconnected(c.id)
			r.balancer.ClientGone(c.request)
			r.withholdDisallowed(now)
			r.releaseCompleted(c)
		}
	}
}

// obey carries out what was decided on a command.
func (r *Router) apply(c *activeRequest, d decision.Decision, now monotonic.Time) {
	switch d.Action {
	case decision.ActionForward:
		f := &activeAttempt{request: c, attempt: d.Attempt, startedAt: now, cancelAt: now + d.Timeout, sequence: r.nextSequence}
		r.nextSequence++
		c.attempts[d.Attempt] = f
		heap.Push(&r.timers, f)
		to := r.endpointRecords[d.Endpoint]
		r.requestLog.attemptStarted(c.id, to, r.endpointList.revision, d.Attempt.Number)
		f.handle = r.drivers.StartAttempt(AttemptRequest{
			Address:  to.listed.Address,
			Deadline: time.Now().Add(d.Timeout),
			Encode:   c.encode,
			Finished: func(response protocol.Response) {
				r.events <- func(now monotonic.Time) { r.finishAttempt(f, response, now) }
			},
		})
	case decision.ActionReject:
		if c.client != nil {
			r.requestLog.answered(c.id, "refused", d.Reason)
			c.client.Reject(d.RetryAfter)
		}
	case decision.ActionFail:
		if c.client != nil {
			r.requestLog.answered(c.id, "failed", d.Reason)
			c.client.Fail()
		}
	}
	r.releaseCompleted(c)
}

// tidy lets go of the client of a command that is over, and of the command once nothing of it is out.
func (r *Router) releaseCompleted(c *activeRequest) {
	if !c.request.Completed {
		return
	}
	if c.client != nil {
		delete(r.requestsByClient, c.client)
		c.client = nil
	}
	if len(c.attempts) == 0 {
		delete(r.requests, c.request)
		delete(r.requestsByID, c.id)
	}
}
