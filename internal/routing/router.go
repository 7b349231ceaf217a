// Package routing runs a gateway's balancer. A single goroutine, the router's, owns the balancer, the requests in
// flight, the attempt timers and the endpoint records. Other goroutines post events to its bounded queue. The router
// passes the events to the balancer in the order of arrival, asks it which work is due, and does that work through its
// drivers. It makes no routing decisions itself.
package routing

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
)

// eventQueueSize is the capacity of the event queue. Posting an event blocks while the queue is full.
const eventQueueSize = 1024

// event is a function that the router's goroutine calls with the time at which it takes the event from the queue.
type event func(now monotonic.Time)

// ErrEnded is returned if the router has ended and processes no more events.
var ErrEnded = errors.New("router has ended")

// Router owns a gateway's balancer, requests and timers. Its methods post events and may be called by any goroutine.
// They block while the event queue is full, but no longer than until the router ends. Later events are dropped.
type Router struct {
	balancer         *decision.Balancer
	utilizationField string
	drivers          Drivers
	clock            func() monotonic.Time
	events           chan event
	done             chan struct{} // closed when Run returns

	requests   requestTable
	timers     attemptTimers
	endpoints  endpointTable
	list       endpointListState
	rollout    rolloutState
	stall      stallDetector
	requestLog requestLog

	shutdownAt  monotonic.Time // latest time for the answer to any request; 0 before a shutdown
	queueLength atomic.Int64   // number of requests that the balancer has queued
	sentLate    atomic.Int64   // number of attempts that were sent late
}

// New returns a router. Its methods may be called immediately, but events are processed only after Run is called.
func New(config Config) (*Router, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Router{
		balancer:         config.Balancer,
		utilizationField: config.UtilizationField,
		drivers:          config.Drivers,
		clock:            config.Clock,
		events:           make(chan event, eventQueueSize),
		done:             make(chan struct{}),
		requests:         newRequestTable(),
		endpoints:        newEndpointTable(),
		list:             endpointListState{exchange: config.Gossip, loggedTrusted: true},
		requestLog:       newRequestLog(),
	}, nil
}

// Run processes events and timers until the context is done.
func (r *Router) Run(ctx context.Context) {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	r.stall.start(r.clock())
	for {
		select {
		case handle := <-r.events:
			handle(r.readClock())
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		wait := r.turn()
		r.stall.expectTurnWithin(wait)
		timer.Reset(wait)
	}
}

// post queues an event and reports whether it did. It does not if the router has ended, as nothing would process the
// event.
func (r *Router) post(e event) (posted bool) {
	select {
	case <-r.done:
		return false
	default:
	}
	select {
	case r.events <- e:
		return true
	case <-r.done:
		return false
	}
}

// turn runs one iteration of the event loop: it processes the queued events, then the expired timers, then the work
// that the balancer says is due. It returns the longest time to wait for the next turn if no event arrives.
func (r *Router) turn() time.Duration {
	r.processWaitingEvents()
	now := r.readClock()
	r.endCatchUp(now)
	r.cancelOverdue(now)
	wait := r.performDueWork(now)
	if r.list.exchange != nil {
		wait = min(wait, r.sendGossip(now))
	}
	r.logLeaseChange(now)
	r.queueLength.Store(int64(r.balancer.QueueLength()))
	return max(r.timers.limitWait(wait, now), 0)
}

// processWaitingEvents processes events until the queue is empty.
func (r *Router) processWaitingEvents() {
	for {
		select {
		case handle := <-r.events:
			handle(r.readClock())
		default:
			return
		}
	}
}

// performDueWork does the work that the balancer says is due, and returns the longest time to wait before asking again.
func (r *Router) performDueWork(now monotonic.Time) time.Duration {
	wait, due := r.balancer.Tick(now)
	for _, queued := range due.Requests {
		if request := r.requests.byState[queued]; request != nil {
			r.apply(request, r.balancer.Route(queued, now), now)
		}
	}
	if due.PollDiscovery {
		r.drivers.PollDiscovery()
	}
	for _, canceled := range due.CancelAttempts {
		request := r.requests.byState[canceled.Request()]
		if request != nil && request.attempts[canceled] != nil {
			r.cancelAttempt(request.attempts[canceled], decision.OutcomeCanceled, now)
		}
	}
	r.sendEvidence(&due, now)
	r.castVotes(due.Votes, now)
	return wait
}

// HasQueuedRequests reports whether any requests were waiting for capacity at the end of the latest turn. It does not
// block.
func (r *Router) HasQueuedRequests() bool { return r.queueLength.Load() > 0 }

// ShutdownWithin limits the deadlines of all requests, in flight or yet to arrive, so that they are answered within the
// given span from now.
func (r *Router) ShutdownWithin(span time.Duration) {
	r.post(func(now monotonic.Time) {
		r.shutdownAt = now + span
		for request := range r.requests.byState { // in any order, as the requests are independent
			r.balancer.ShortenDeadline(request, r.shutdownAt)
		}
		r.timers.limit(r.shutdownAt)
	})
}
