// Package routing runs a gateway's balancer: one goroutine owns the balancer, the requests in flight, the attempt timers
// and the endpoint records. Others post events to its one bounded queue. The router hands each event to the balancer in
// the order of arrival, asks it what is due, and carries that out by its drivers. It makes no decision of its own.
package routing

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
)

// eventQueueSize bounds the events that wait for the router. Posting a further one blocks.
const eventQueueSize = 1024

// event is executed on the router's goroutine, at the moment at which its turn came.
type event func(now monotonic.Time)

// ErrEnded says that the router has ended and processes no more events.
var ErrEnded = errors.New("router has ended")

// Router owns a gateway's balancer, its requests and its timers. Its methods post events and may be called by any
// goroutine; they block while the event queue is full, until the router ends. Events that come after that are dropped.
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

	shutdownAt  monotonic.Time // by when every request is to be answered; 0 before a shutdown
	queueLength atomic.Int64   // requests that the balancer has queued
	sentLate    atomic.Int64   // attempts that went out late
}

// New returns a router. Its methods may be called at once; events are processed once Run is called.
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

// Run processes events and timers until the context ends.
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

// post queues an event and reports whether it has; not once the router has ended, when nobody would take it.
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

// turn processes the events that wait, then the timers, then what the balancer says is due. It returns how long to wait
// for the next turn if no event comes.
func (r *Router) turn() time.Duration {
	r.processWaitingEvents()
	now := r.readClock()
	r.endCatchUp(now)
	r.cancelOverdue(now)
	wait := r.performDueWork(now)
	if r.list.exchange != nil {
		wait = min(wait, r.sendGossip(now))
	}
	r.logLease(now)
	r.queueLength.Store(int64(r.balancer.QueueLength()))
	return max(r.timers.limitWait(wait, now), 0)
}

// processWaitingEvents processes events until none waits.
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

// performDueWork carries out what the balancer says is due, and returns how long to wait before it is asked again.
func (r *Router) performDueWork(now monotonic.Time) time.Duration {
	wait, due := r.balancer.Tick(now)
	for _, queued := range due.Requests {
		if request := r.requests.byDecision[queued]; request != nil {
			r.apply(request, r.balancer.Route(queued, now), now)
		}
	}
	if due.PollDiscovery {
		r.drivers.PollDiscovery()
	}
	for _, canceled := range due.CancelAttempts {
		request := r.requests.byDecision[canceled.Request()]
		if request != nil && request.attempts[canceled] != nil {
			r.cancelAttempt(request.attempts[canceled], decision.OutcomeCanceled, now)
		}
	}
	r.sendEvidence(&due, now)
	r.castVotes(due.Votes, now)
	return wait
}

// HasQueuedRequests reports whether requests wait for capacity, as of the latest turn. It does not block.
func (r *Router) HasQueuedRequests() bool { return r.queueLength.Load() > 0 }

// ShutdownWithin has every request, in flight or to come, answered within a span from now.
func (r *Router) ShutdownWithin(span time.Duration) {
	r.post(func(now monotonic.Time) {
		r.shutdownAt = now + span
		for request := range r.requests.byDecision { // each is independent of the others: any order will do
			r.balancer.ShortenDeadline(request, r.shutdownAt)
		}
		r.timers.limit(r.shutdownAt)
	})
}
