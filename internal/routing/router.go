// Package routing owns the module: one goroutine tells it every event in the order it came, asks it, and
// obeys. It decides nothing.
package routing

import (
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

const (
	eventQueueSize     = 1024             // that wait; whoever brings a further one waits
	removedEndpointTTL = 60 * time.Second // an instance that the list no longer names is remembered so long
	maxKnownBuilds     = 64               // that are remembered

	stallThreshold       = time.Duration(100 * time.Millisecond) // later than this the module is told how late a turn comes
	loggedStallThreshold = time.Duration(500 * time.Millisecond)
)

// Router keeps the commands in hand and the timers.
type Router struct {
	balancer         *decision.Balancer
	utilizationField string // the field of a load report that tells how busy an instance is
	drivers          Drivers
	events           chan func(now monotonic.Time)
	done             chan struct{} // closed at the end
	clock            func() monotonic.Time

	requests         map[*decision.Request]*activeRequest
	requestsByID     map[string]*activeRequest
	requestsByClient map[Client]*activeRequest
	endpointsByID    map[string]*endpointRecord
	endpointsByHash  map[uint32]*decision.Endpoint
	endpointRecords  map[*decision.Endpoint]*endpointRecord
	shutdownAt       monotonic.Time // when the gateway is ended for good; 0 while it is not to
	knownBuilds      []int          // listed lately
	queueLength      atomic.Int64   // commands that are held
	loggedStatus     [3]int         // the build, stage and phase last told
	timers           attemptTimers
	nextSequence     int
	clockReadAt      monotonic.Time // when the clock was last looked at; 0 where turns are not Run's
	nextTurnBy       monotonic.Time // when the next turn is to come at the latest
	requestLog       requestLog
	endpointList     endpointListState
}

// New returns a router. Its methods may be called at once; events are processed once Run is called.
func New(config Config) (*Router, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Router{balancer: config.Balancer, utilizationField: config.UtilizationField, drivers: config.Drivers, clock: config.Clock,
		events: make(chan func(time.Duration), eventQueueSize), done: make(chan struct{}),
		requests: map[*decision.Request]*activeRequest{}, requestsByID: map[string]*activeRequest{}, requestsByClient: map[Client]*activeRequest{},
		endpointsByID: map[string]*endpointRecord{}, endpointsByHash: map[uint32]*decision.Endpoint{},
		endpointRecords: map[*decision.Endpoint]*endpointRecord{}, requestLog: newRequestLog(), endpointList: endpointListState{loggedTrusted: true, exchange: config.Gossip}}, nil
}

// Run tells, asks and obeys until the context ends.
func (r *Router) Run(ctx context.Context) {
	defer close(r.done)
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	r.clockReadAt = r.clock()
	for {
		select {
		case event := <-r.events:
			event(r.readClock())
		case <-alarm.C:
		case <-ctx.Done():
			return
		}
		wait := r.turn()
		r.nextTurnBy = r.clockReadAt + wait
		alarm.Reset(time.Duration(wait))
	}
}

// turn tells all that has come meanwhile, gives up what is out for too long, asks the module and obeys; it
// gives how long to wait.
func (r *Router) turn() time.Duration {
	for more := true; more; {
		select {
		case event := <-r.events:
			event(r.readClock())
		default:
			more = false
		}
	}
	now := r.readClock()
	r.cancelOverdue(now)
	wait := r.performDueWork(now)
	if r.endpointList.exchange != nil {
		wait = min(wait, r.sendGossip(now))
	}
	r.logLease(now)
	r.queueLength.Store(int64(r.balancer.QueueLength()))
	if len(r.timers) > 0 {
		wait = min(wait, r.timers[0].cancelAt-now)
	}
	return max(wait, 0)
}

// Ending tells that the gateway is ended for good after so long: by then every command has its final answer.
func (r *Router) ShutdownWithin(within time.Duration) {
	r.events <- func(now monotonic.Time) {
		r.shutdownAt = now + within
		for cmd := range r.requests { // each by itself: their order does not matter
			r.balancer.ShortenDeadline(cmd, r.shutdownAt)
		}
		for _, f := range r.timers {
			f.cancelAt = min(f.cancelAt, r.shutdownAt)
		}
		heap.Init(&r.timers)
	}
}

// Busy tells whether commands wait for room. It may be asked by anyone.
func (r *Router) HasQueuedRequests() bool { return r.queueLength.Load() > 0 }

// chores carries out what is due and gives how long to wait.
func (r *Router) performDueWork(now monotonic.Time) time.Duration {
	wait, due := r.balancer.Tick(now)
	for _, cmd := range due.Requests {
		if c := r.requests[cmd]; c != nil {
			r.apply(c, r.balancer.Route(cmd, now), now)
		}
	}
	if due.PollDiscovery {
		r.drivers.PollDiscovery()
	}
	for _, dl := range due.CancelAttempts {
		if c := r.requests[dl.Request]; c != nil && c.attempts[dl] != nil {
			r.cancelAttempt(c.attempts[dl], decision.OutcomeCanceled, now)
		}
	}
	if due.EvidenceReport != nil {
		text := protocol.PackTotals(due.EvidenceReport, r.endpointHash)
		for _, to := range due.EvidenceRecipients {
			r.drivers.SendDatagram(to, text)
		}
	}
	if due.VoterReport != nil {
		r.drivers.SendDatagram(-1, protocol.PackFinding(due.VoterReport, r.endpointHash))
	}
	for _, v := range due.Votes {
		slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", v.Verdict)
		r.drivers.CastVote(v)
	}
	return wait
}
