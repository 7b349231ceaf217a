package routing

import (
	"time"

	"laurelring/decision"
	"laurelring/decision/executed"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// activeRequest is a request that has no final answer yet, or still has attempts in flight.
type activeRequest struct {
	id       string // as received from the client
	state    *decision.Request
	client   Client // nil after it got its answer or disconnected
	encode   func(remaining time.Duration) []byte
	attempts map[*decision.Attempt]*activeAttempt
}

// requestTable indexes the active requests.
type requestTable struct {
	byState  map[*decision.Request]*activeRequest
	byID     map[string]*activeRequest
	byClient map[Client]*activeRequest // only requests whose clients still wait for an answer
	executed *executed.IDs             // of requests that are no longer active and must not execute again
}

func newRequestTable() requestTable {
	return requestTable{
		byState:  map[*decision.Request]*activeRequest{},
		byID:     map[string]*activeRequest{},
		byClient: map[Client]*activeRequest{},
		executed: executed.New(executed.DefaultLimit),
	}
}

func (t *requestTable) add(request *activeRequest) {
	t.byState[request.state] = request
	t.byID[request.id] = request
	t.byClient[request.client] = request
}

// removeClient removes the client of a request that has been answered or whose client has disconnected.
func (t *requestTable) removeClient(request *activeRequest) {
	delete(t.byClient, request.client)
	request.client = nil
}

// remove removes a request that has its answer, or whose client has left, and that has no attempt in flight.
func (t *requestTable) remove(request *activeRequest) {
	if request.state.MustNotExecuteAgain() {
		t.executed.Add(request.id)
	}
	delete(t.byState, request.state)
	delete(t.byID, request.id)
}

// isKnown reports whether a request with this id is active, or must not execute again.
func (t *requestTable) isKnown(id string) bool {
	return t.byID[id] != nil || t.executed.Contains(id)
}

// RequestArrived posts a request that a client has sent. The request fails immediately if another active request has
// the same id, as an endpoint would take both for the same request, or if an earlier one with that id may have executed
// and must not do so again. It is rejected immediately if the router has ended.
func (r *Router) RequestArrived(request protocol.Request, client Client) {
	arrivedAt := r.clock() // time spent in the event queue counts against the deadline
	posted := r.post(func(now monotonic.Time) {
		if r.requests.isKnown(request.ID) {
			client.Fail()
			return
		}
		r.admit(request, client, request.Remaining-(now-arrivedAt), now)
	})
	if !posted {
		client.Reject(0)
	}
}

// admit passes a request with the given remaining time to the balancer, which admits and routes it.
func (r *Router) admit(request protocol.Request, client Client, remaining time.Duration, now monotonic.Time) {
	if r.shutdownAt > 0 {
		remaining = min(remaining, r.shutdownAt-now)
	}
	arrival := decision.Arrival{OpType: request.OpType, Key: request.Key, Remaining: remaining, GoesLast: request.GoesLast}
	active := &activeRequest{
		id:       request.ID,
		state:    r.balancer.Admit(arrival, now),
		client:   client,
		encode:   request.Encode,
		attempts: map[*decision.Attempt]*activeAttempt{},
	}
	r.requests.add(active)
	r.requestLog.accepted(active.id, request.Key, remaining)
	r.apply(active, r.balancer.Route(active.state, now), now)
}

// ClientDisconnected posts that a client has disconnected before it got its answer.
func (r *Router) ClientDisconnected(client Client) {
	r.post(func(now monotonic.Time) {
		request := r.requests.byClient[client]
		if request == nil {
			return
		}
		r.requestLog.clientDisconnected(request.id)
		r.balancer.ClientGone(request.state)
		r.withholdDisallowed(now)
		r.releaseCompleted(request)
	})
}

// StopAttempts posts that no further attempt may start for a request, as its client may disconnect unnoticed: the client
// has sent more than is read of it.
func (r *Router) StopAttempts(client Client) {
	r.post(func(now monotonic.Time) {
		request := r.requests.byClient[client]
		if request == nil {
			return
		}
		r.apply(request, r.balancer.StopAttempts(request.state, now), now)
		for _, attempt := range request.attempts { // one at most
			r.withhold(attempt, now)
		}
	})
}

// apply carries out the balancer's decision on a request.
func (r *Router) apply(request *activeRequest, decided decision.Decision, now monotonic.Time) {
	switch decided.Action {
	case decision.ActionForward:
		r.startAttempt(request, decided, now)
	case decision.ActionReject:
		if request.client != nil {
			r.requestLog.answered(request.id, answerRejected, decided.Reason)
			request.client.Reject(decided.RetryAfter)
		}
	case decision.ActionFail:
		if request.client != nil {
			r.requestLog.answered(request.id, answerFailed, decided.Reason)
			request.client.Fail()
		}
	}
	r.releaseCompleted(request)
}

// releaseCompleted removes the client of a completed request, and the request itself if it has no attempt in flight.
func (r *Router) releaseCompleted(request *activeRequest) {
	if !request.state.Completed() {
		return
	}
	if request.client != nil {
		r.requests.removeClient(request)
	}
	if len(request.attempts) == 0 {
		r.requests.remove(request)
	}
}
