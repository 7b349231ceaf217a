package decision

import (
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/seeded"
)

const (
	queueBatch        = 64               // number of requests at the head of the queue that each Tick returns
	queueCheckTicks   = 2                // ticks until the next call of Tick while requests are queued
	expiryMarginTicks = 4                // a queued request is due this many ticks before it is too late to start it
	maxTickInterval   = 10 * time.Second // longest time between two calls of Tick
)

// Balancer makes the decisions of one gateway. It is not safe for concurrent use.
type Balancer struct {
	rank, gateways int // this gateway's number, starting at 0, and the number of gateways in the fleet
	zone           int
	tick           time.Duration // shortest time between two calls of Tick
	attemptLimits  attemptLimits
	random         seeded.Source

	started        bool           // Tick has been called
	catchUpUntil   monotonic.Time // after a stall of the process, no attempt starts before this time
	stallBeganAt   monotonic.Time // start of the earliest stall from which messages may still be unread
	stallNoticedAt monotonic.Time // when the latest stall that was longer than maxHarmlessStall was noticed

	opTypes        []*OpType
	endpoints      []*Endpoint // endpoints on the endpoint list, and endpoints with attempts in flight
	machines       machineTypes
	ratesByBuild   []buildRates // error and loss rates of the ready endpoints, one entry per build
	paths          pathHealth
	verifiedBuilds map[int]bool // nil if builds need no verification

	admission    admissionState
	canary       canaryState
	slowStart    slowStartState
	endpointList endpointListState
	rollout      rolloutState
}

// Route decides what to do next with a request that has no attempt in flight. Its checks are in the order in which a
// request usually passes them.
func (lb *Balancer) Route(request *Request, now monotonic.Time) Decision {
	if request.completed || request.inFlight > 0 {
		return Decision{Action: ActionNone}
	}
	if request.stopped {
		return lb.rejectOrFail(request, ReasonAttemptsStopped)
	}
	if len(request.attempts) >= lb.attemptLimits.maxAttempts {
		return lb.rejectOrFail(request, ReasonAttemptsExhausted)
	}
	// An attempt is made only if it is expected to end while its answer still has a value.
	if lb.effectiveDeadline(request)-now <= time.Duration(lb.expectedLatency(request)) {
		return lb.rejectOrFail(request, ReasonDeadlineTooClose)
	}
	if !lb.withinConcurrencyWindow(request, now) {
		return lb.enqueue(request)
	}
	// The canary build has priority while its exposure cap allows it, followed by the other builds. Suspect endpoints
	// are used only if there is no other candidate.
	found := lb.candidates(request, now)
	for _, endpoints := range [...][]*Endpoint{found.canary, found.stable, found.suspect} {
		if len(endpoints) > 0 {
			return lb.startAttempt(request, lb.leastLoadedOfTwo(endpoints, request), now)
		}
	}
	return lb.enqueue(request)
}

// startAttempt starts an attempt at the endpoint, or queues the request if a rule forbids the attempt. No other
// function starts attempts.
func (lb *Balancer) startAttempt(request *Request, endpoint *Endpoint, now monotonic.Time) Decision {
	if !lb.mayAttempt(request, endpoint, now) {
		return lb.enqueue(request)
	}
	lb.dequeue(request)
	attempt := &Attempt{
		request:           request,
		endpoint:          endpoint,
		number:            len(request.attempts),
		sentAt:            now,
		build:             endpoint.build,
		endpointStartedAt: endpoint.startedAt,
		zone:              endpoint.zone,
		cell:              endpoint.cell,
		mayHaveExecuted:   true,
		duringWarmUp:      endpoint.startedAt > 0 && now-endpoint.startedAt < evidenceWarmUp,
	}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	lb.admission.window.AttemptStarted()
	endpoint.inFlight, endpoint.lastAttemptAt = append(endpoint.inFlight, attempt), now
	endpoint.recentAttempts.Add(now, max(lb.slowStart.overloadSpan, canaryShareSpan))
	lb.countExposure(attempt, now)
	lb.holdKey(attempt)
	// The attempt may use all the time that the client still waits. With a shorter timeout, an endpoint may go on
	// working on an abandoned attempt that its concurrency limit no longer counts, which makes an overload worse.
	// cancelSilentAttempts detects silent endpoints instead.
	return Decision{Action: ActionForward, Endpoint: endpoint, Timeout: request.deadline - now, Attempt: attempt}
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Outcome          Outcome
	Duration         time.Duration // from the start of the attempt to its end
	RequestCompleted bool          // the request has its final answer
	// AnswerUnread is set if the endpoint may have answered the request although the outcome is no success, as its answer
	// may have been lost or could not be read.
	AnswerUnread bool
}

// FinishAttempt records the result of an attempt and decides what to do next with its request.
func (lb *Balancer) FinishAttempt(attempt *Attempt, result AttemptResult, now monotonic.Time) Decision {
	if attempt.done {
		return Decision{Action: ActionNone}
	}
	request, outcome := attempt.request, result.Outcome
	lb.endAttempt(attempt, outcome, now)
	lb.updateHealth(attempt, outcome, result.Duration, now)
	lb.recordEvidence(attempt, outcome, result.Duration, now)
	keyBound := (outcome == OutcomeSuccess || result.AnswerUnread) && lb.bindKey(request.key, attempt.build)
	if result.RequestCompleted || outcome == OutcomeSuccess {
		request.completed = true
		lb.dequeue(request)
	}
	if attempt.mayHaveExecuted && request.opType.idempotency == NonIdempotent && !request.completed {
		return lb.rejectOrFail(request, ReasonMayHaveExecuted)
	}
	decided := lb.Route(request, now)
	decided.KeyBound = keyBound
	return decided
}

// endAttempt removes an attempt from the attempts in flight.
func (lb *Balancer) endAttempt(attempt *Attempt, outcome Outcome, now monotonic.Time) {
	attempt.done = true
	lb.releaseKey(attempt)
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

// Tick returns the work that is due now, and the longest time to wait before the next call.
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

// start schedules the first evidence report and the first discovery poll, and starts measuring the request rate.
func (lb *Balancer) start(now monotonic.Time) {
	lb.started = true
	lb.admission.arrivalRate.Start(now - time.Millisecond)
	lb.scheduleFirstReport(now)
	lb.endpointList.polling.Start(lb.gateways, &lb.random, now)
}

// dueRequests returns the first queueBatch requests of the queue, and the other queued requests that will soon have too
// little time left for an attempt.
func (lb *Balancer) dueRequests(now monotonic.Time) []*Request {
	var due []*Request
	for position := range lb.admission.queue.Len() {
		request := lb.admission.queue.At(position)
		if position < queueBatch || request.deadline-now <= time.Duration(lb.expectedLatency(request))+expiryMarginTicks*lb.tick {
			due = append(due, request)
		}
	}
	return due
}
