package decision

import (
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/seeded"
)

const (
	queueBatch        = 64               // queued requests that Tick names at once
	queueCheckTicks   = 2                // ticks until Tick is to be called again while requests are queued
	expiryMarginTicks = 4                // ticks before a queued request's time runs out from which on Tick names it
	maxTickInterval   = 10 * time.Second // between two calls of Tick
)

// Balancer makes the decisions of one gateway. It is not safe for concurrent use.
type Balancer struct {
	rank, gateways int // this gateway's number, from 0 on, and how many there are
	zone           int
	tick           time.Duration // the shortest time between two calls of Tick
	attemptLimits  attemptLimits
	random         seeded.Source

	started        bool           // Tick has been called
	catchUpUntil   monotonic.Time // no attempt starts until then, after the process stalled
	stallBeganAt   monotonic.Time // when the latest stall that has anything caught up began
	stallNoticedAt monotonic.Time // when it was noticed

	opTypes        []*OpType
	endpoints      []*Endpoint // those that the list names, and those with attempts in flight
	machines       machineTypes
	ratesByBuild   []buildRates // of the ready endpoints' error and loss rates, by build
	paths          pathHealth
	verifiedBuilds map[int]bool // nil where every build is allowed

	admission    admissionState
	canary       canaryState
	slowStart    slowStartState
	endpointList endpointListState
	rollout      rolloutState
}

// Route decides what becomes of a request that has no attempt in flight. It is the ordinary path of a request, from top to
// bottom.
func (lb *Balancer) Route(request *Request, now monotonic.Time) Decision {
	if request.completed || request.inFlight > 0 {
		return Decision{Action: ActionNone}
	}
	if len(request.attempts) >= lb.attemptLimits.maxAttempts {
		return lb.rejectOrFail(request, ReasonAttemptsExhausted)
	}
	// An attempt is made only if it is expected to end while its answer is still worth something.
	if lb.effectiveDeadline(request)-now <= time.Duration(lb.expectedLatency(request)) {
		return lb.rejectOrFail(request, ReasonDeadlineTooClose)
	}
	if !lb.withinConcurrencyWindow(request, now) {
		return lb.enqueue(request)
	}
	// The canary build comes first while its exposure cap allows, then other builds, and a suspect endpoint rather than none.
	found := lb.candidates(request, now)
	for _, endpoints := range [...][]*Endpoint{found.canary, found.stable, found.suspect} {
		if len(endpoints) > 0 {
			return lb.startAttempt(request, lb.leastLoadedOfTwo(endpoints, request), now)
		}
	}
	return lb.enqueue(request)
}

// startAttempt is the one place in which attempts start.
func (lb *Balancer) startAttempt(request *Request, endpoint *Endpoint, now monotonic.Time) Decision {
	if !lb.mayAttempt(request, endpoint, now) {
		return lb.enqueue(request)
	}
	lb.dequeue(request)
	attempt := &Attempt{
		request:         request,
		endpoint:        endpoint,
		number:          len(request.attempts),
		sentAt:          now,
		build:           endpoint.build,
		zone:            endpoint.zone,
		cell:            endpoint.cell,
		mayHaveExecuted: true,
		duringWarmUp:    endpoint.startedAt > 0 && now-endpoint.startedAt < evidenceWarmUp,
	}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	lb.admission.window.AttemptStarted()
	endpoint.inFlight, endpoint.lastAttemptAt = append(endpoint.inFlight, attempt), now
	endpoint.recentAttempts.Add(now, max(lb.slowStart.overloadSpan, canaryShareSpan))
	if lb.isCanary(endpoint.build) {
		lb.canary.exposure.RecordAttempt(endpoint.build, request.opType.index, now)
	}
	// The timeout is the client's own: an endpoint may go on working at what is no longer waited for, and a concurrency
	// limit that does not count that feeds an overload. Silent endpoints are found by cancelSilentAttempts instead.
	return Decision{Action: ActionForward, Endpoint: endpoint, Timeout: request.deadline - now, Attempt: attempt}
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome          Outcome
	Duration         time.Duration // from its start to its end
	RequestCompleted bool          // its request has its final answer
}

// FinishAttempt takes in how an attempt ended and decides what becomes of its request.
func (lb *Balancer) FinishAttempt(attempt *Attempt, result AttemptResult, now monotonic.Time) Decision {
	if attempt.done {
		return Decision{Action: ActionNone}
	}
	request, outcome := attempt.request, result.Outcome
	lb.endAttempt(attempt, outcome, now)
	lb.updateHealth(attempt, outcome, result.Duration, now)
	lb.recordEvidence(attempt, outcome, result.Duration, now)
	if outcome == OutcomeSuccess {
		lb.bindKey(request.key, attempt.build)
	}
	if result.RequestCompleted || outcome == OutcomeSuccess {
		request.completed = true
		lb.dequeue(request)
	}
	if attempt.mayHaveExecuted && request.opType.idempotency == NonIdempotent && !request.completed {
		return lb.rejectOrFail(request, ReasonMayHaveExecuted)
	}
	return lb.Route(request, now)
}

// endAttempt takes an attempt out of those in flight.
func (lb *Balancer) endAttempt(attempt *Attempt, outcome Outcome, now monotonic.Time) {
	attempt.done = true
	attempt.request.inFlight--
	lb.admission.window.AttemptFinished(now)
	if !attempt.endpointSilent {
		lb.admission.window.AttemptAbandoned()
	}
	endpoint := attempt.endpoint
	endpoint.inFlight = slices.DeleteFunc(endpoint.inFlight, func(other *Attempt) bool { return other == attempt })
	if outcome.provesNotExecuted() {
		attempt.mayHaveExecuted = false
	}
}

// Tick returns what is due now, and the time until it is to be called again at the latest.
func (lb *Balancer) Tick(now monotonic.Time) (time.Duration, DueWork) {
	var due DueWork
	if !lb.started {
		lb.start(now)
	}
	due.Requests = lb.dueRequests(now)
	next := now + maxTickInterval
	if lb.QueueLength() > 0 {
		next = now + queueCheckTicks*lb.tick
	}
	poll, nextPollAt := lb.endpointList.polling.Poll(now)
	due.PollDiscovery, next = poll, min(next, nextPollAt)
	for _, endpoint := range lb.endpoints {
		next = min(next, lb.cancelSilentAttempts(endpoint, now, &due))
	}
	next = min(next, lb.advanceRollout(now, &due))
	return max(next-now, lb.tick), due
}

// start sets the first moments of what the balancer does by itself.
func (lb *Balancer) start(now monotonic.Time) {
	lb.started = true
	lb.admission.arrivalRate.Start(now - time.Millisecond)
	lb.scheduleFirstReport(now)
	lb.endpointList.polling.Start(lb.gateways, &lb.random, now)
}

// dueRequests returns the head of the queue, and the queued requests whose time is about to run out.
func (lb *Balancer) dueRequests(now monotonic.Time) []*Request {
	var due []*Request
	for place := range lb.admission.queue.Len() {
		request := lb.admission.queue.At(place)
		if place < queueBatch || request.deadline-now <= time.Duration(lb.expectedLatency(request))+expiryMarginTicks*lb.tick {
			due = append(due, request)
		}
	}
	return due
}
