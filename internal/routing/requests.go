package routing

import (
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// activeRequest is a request until it has its final answer and none of its attempts is in flight.
type activeRequest struct {
	id       string // as the client gave it
	state    *decision.Request
	client   Client // nil once it has its answer or has disconnected
	encode   func(remaining time.Duration) []byte
	attempts map[*decision.Attempt]*activeAttempt
}

// requestTable finds the active requests.
type requestTable struct {
	byDecision map[*decision.Request]*activeRequest
	byID       map[string]*activeRequest
	byClient   map[Client]*activeRequest // of those whose client waits
}

func newRequestTable() requestTable {
	return requestTable{
		byDecision: map[*decision.Request]*activeRequest{},
		byID:       map[string]*activeRequest{},
		byClient:   map[Client]*activeRequest{},
	}
}

func (t *requestTable) add(request *activeRequest) {
	t.byDecision[request.state] = request
	t.byID[request.id] = request
	t.byClient[request.client] = request
}

// removeClient forgets the client of a request that has its answer, or whose client has disconnected.
func (t *requestTable) removeClient(request *activeRequest) {
	delete(t.byClient, request.client)
	request.client = nil
}

func (t *requestTable) remove(request *activeRequest) {
	delete(t.byDecision, request.state)
	delete(t.byID, request.id)
}

// RequestArrived posts a request that a client sent. It fails at once where another active request bears the same id, as
// an endpoint would take the two for one, and is rejected at once where the router has ended.
func (r *Router) RequestArrived(request protocol.Request, client Client) {
	arrivedAt := r.clock() // the time in the event queue counts against the deadline
	posted := r.post(func(now monotonic.Time) {
		if r.requests.byID[request.ID] != nil {
			client.Fail()
			return
		}
		r.admit(request, client, request.Remaining-(now-arrivedAt), now)
	})
	if !posted {
		client.Reject(0)
	}
}

// admit has the balancer admit and route a request that has a span of time left.
func (r *Router) admit(request protocol.Request, client Client, remaining time.Duration, now monotonic.Time) {
	if r.shutdownAt > 0 {
		remaining = min(remaining, r.shutdownAt-now)
	}
	arrival := decision.Arrival{OpType: request.OpType, Key: request.Key, Remaining: remaining}
	active := &activeRequest{
		id:       request.ID,
		state:    r.balancer.Admit(arrival, now),
		client:   client,
		encode:   request.Encode,
		attempts: map[*decision.Attempt]*activeAttempt{},
	}
	r.requests.add(active)
	r.requestLog.accepted(active.id, remaining)
	r.apply(active, r.balancer.Route(active.state, now), now)
}

// ClientDisconnected posts that a client has disconnected before its answer.
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

// apply carries out the balancer's decision on a request.
func (r *Router) apply(request *activeRequest, verdict decision.Decision, now monotonic.Time) {
	switch verdict.Action {
	case decision.ActionForward:
		r.startAttempt(request, verdict, now)
	case decision.ActionReject:
		if request.client != nil {
			r.requestLog.answered(request.id, answerRejected, verdict.Reason)
			request.client.Reject(verdict.RetryAfter)
		}
	case decision.ActionFail:
		if request.client != nil {
			r.requestLog.answered(request.id, answerFailed, verdict.Reason)
			request.client.Fail()
		}
	}
	r.releaseCompleted(request)
}

// releaseCompleted forgets the client of a completed request, and the request once none of its attempts is in flight.
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
