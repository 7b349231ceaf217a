package decision

import (
	"math"
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/decision/seeded"
)

const (
	queueBatch = 64 // held commands that are asked about at once
)

// Where decides on a command that needs a delivery: the ordinary path, from top to bottom.
func (lb *Balancer) Route(request *Request, now monotonic.Time) Decision {
	if request.completed || request.inFlight > 0 {
		return Decision{Action: ActionNone}
	}
	// A delivery is made only if the time left exceeds the time it is expected to take, and if it can still be
	// worth something; else the final answer goes out at once.
	if len(request.attempts) >= lb.attemptLimits.maxAttempts {
		return lb.refuse(request, ReasonAttemptsExhausted)
	}
	if lb.worthwhileUntil(request)-now <= time.Duration(lb.expectedLatency(request)) {
		return lb.refuse(request, ReasonDeadlineTooClose)
	}
	if !lb.withinConcurrencyWindow(request, now) {
		return lb.enqueue(request)
	}
	// Trial first while the budget allows, then any other build, then one in doubt rather than none; of two
	// instances drawn, the one with less of ours.
	trial, others, doubtful := lb.candidates(request, now)
	for _, some := range [][]*Endpoint{trial, others, doubtful} {
		if len(some) > 0 {
			return lb.startAttempt(request, lb.leastLoadedOfTwo(some, request), now)
		}
	}
	return lb.enqueue(request)
}

// launch is the one place through which every delivery passes.
func (lb *Balancer) startAttempt(request *Request, endpoint *Endpoint, now monotonic.Time) Decision {
	if !lb.mayAttempt(request, endpoint, now) {
		return lb.enqueue(request)
	}
	lb.dequeue(request)
	attempt := &Attempt{number: len(request.attempts), Request: request, Endpoint: endpoint, sentAt: now, mayHaveExecuted: true,
		build: endpoint.build, zone: endpoint.zone, cell: endpoint.cell, duringWarmUp: endpoint.startedAt > 0 && now-endpoint.startedAt < evidenceWarmUp}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	endpoint.inFlight, endpoint.lastAttemptAt = append(endpoint.inFlight, attempt), now
	lb.inFlight++
	endpoint.recentAttempts.Add(now, max(lb.slowStart.overloadSpan, canaryShareSpan))
	if lb.isCanary(endpoint.build) {
		lb.canary.exposure.RecordAttempt(endpoint.build, request.opType.index, now)
	}
	// It may stay out as long as the client waits: what we stop waiting for may go on working unseen, and a
	// limit that does not count it lets a jam feed itself. Silent machines are found out by rescue instead.
	return Decision{Action: ActionForward, Endpoint: endpoint, Timeout: request.deadline - now, Attempt: attempt}
}

// allowed checks the rules for one delivery, each on this gateway's own knowledge.
func (lb *Balancer) mayAttempt(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	if request.completed || now >= request.deadline || now < lb.catchUpUntil || len(request.attempts) >= lb.attemptLimits.maxAttempts || request.inFlight > 0 {
		return false
	}
	return endpoint.listed && endpoint.ready && lb.trusted(endpoint, now) && lb.buildAllowed(endpoint.build) && lb.repeatAllowed(request, endpoint, now) && lb.withinExposureCap(request, endpoint, now) && lb.withinSlowStart(endpoint, now)
}

// Stands tells whether a delivery of which nothing has gone out may still go: not once its client has left, its
// instance drains, is gone, runs another build or is no longer trusted to be ready, or a trial's cap has come down to
// nothing. Guards against connections that come up late; a lower cap above nothing binds later, with the window.
func (lb *Balancer) AttemptAllowed(attempt *Attempt, now monotonic.Time) bool {
	endpoint := attempt.Endpoint
	return !attempt.Request.completed && endpoint.listed && endpoint.ready && endpoint.build == attempt.build && lb.trusted(endpoint, now) && lb.buildAllowed(endpoint.build) &&
		!(lb.isCanary(attempt.build) && attempt.build <= lb.canary.build && lb.canary.cap <= 0)
}

// taken: where the operator has builds vouched for, one that is not gets nothing, on trial or released. Guards against
// a build that nobody signed; while nothing is trusted all commands wait, and are refused in their time.
func (lb *Balancer) buildAllowed(build int) bool {
	return lb.verifiedBuilds == nil || lb.verifiedBuilds[build]
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome  Outcome
	Duration time.Duration // from its start to its end
	Settled  bool          // its request has its final answer: nothing more is owed
}

// FinishAttempt takes in how an attempt ended and decides what becomes of its request.
func (lb *Balancer) FinishAttempt(attempt *Attempt, result AttemptResult, now monotonic.Time) Decision {
	request, endpoint, outcome := attempt.Request, attempt.Endpoint, result.Outcome
	if attempt.done {
		return Decision{Action: ActionNone}
	}
	attempt.done = true
	request.inFlight--
	if lb.lastFinishedAt = now; !attempt.endpointSilent {
		lb.inFlight--
	}
	endpoint.inFlight = slices.DeleteFunc(endpoint.inFlight, func(o *Attempt) bool { return o == attempt })
	if outcome == OutcomeRejected || outcome == OutcomeConnectFailed || outcome == OutcomeNotSent {
		attempt.mayHaveExecuted = false
	}
	lb.updateHealth(attempt, outcome, result.Duration, now)
	lb.recordEvidence(attempt, outcome, result.Duration, now)
	if outcome == OutcomeSuccess {
		lb.bindKey(request.key, attempt.build)
	}
	if result.Settled || outcome == OutcomeSuccess {
		request.completed = true
		lb.dequeue(request)
	}
	if attempt.mayHaveExecuted && request.opType.idempotency == NonIdempotent && !request.completed {
		return lb.refuse(request, ReasonMayHaveExecuted)
	}
	return lb.Route(request, now)
}

// Wait tells how long until it is to be asked again, and the chores that are due.
func (lb *Balancer) Tick(now monotonic.Time) (time.Duration, DueWork) {
	var due DueWork
	until := now + 10*time.Second
	if lb.startedAt == 0 {
		lb.startedAt = now - time.Millisecond
		lb.rollout.nextEvidenceAt = now + lb.random.Jitter(evidenceInterval) // gateways take turns at the voters
		lb.endpointList.polling.Start(lb.gateways, &lb.random, now)
	}
	for i, request := range lb.queue {
		// The head of the queue, and whoever's time is about to run out.
		if i < queueBatch || request.deadline-now <= time.Duration(lb.expectedLatency(request))+4*lb.tick {
			due.Requests = append(due.Requests, request)
		}
	}
	if len(lb.queue) > 0 {
		until = now + 2*lb.tick
	}
	poll, nextPollAt := lb.endpointList.polling.Poll(now)
	due.PollDiscovery, until = poll, min(until, nextPollAt)
	for _, endpoint := range lb.endpoints {
		until = min(until, lb.cancelSilentAttempts(endpoint, now, &due))
	}
	if rollout := &lb.rollout; now >= rollout.nextEvidenceAt {
		rollout.nextEvidenceAt = now + evidenceInterval
		lb.learnFleetBaseline(now)
		lb.shareEvidence(now, &due)
	} else if now >= rollout.promoteCheckAt { // the wait before 'on' is over
		rollout.promoteCheckAt = math.MaxInt64
		lb.castVote(lb.currentVerdict(now), now, &due)
	}
	until = min(until, lb.rollout.nextEvidenceAt, lb.rollout.promoteCheckAt)
	return max(until-now, lb.tick), due
}

// Guard has no delivery go to a build that is not vouched for.
func (lb *Balancer) RequireVerifiedBuilds() { lb.verifiedBuilds = map[int]bool{} }

// ToldVouched tells whether a build is what was signed.
func (lb *Balancer) BuildVerified(build int, so bool) {
	if lb.verifiedBuilds == nil {
		return
	}
	if delete(lb.verifiedBuilds, build); so {
		lb.verifiedBuilds[build] = true
	}
}

// Gateway lives from its start to its end.
type Balancer struct {
	rank, gateways      int
	zone                int
	tick                time.Duration
	random              seeded.Source
	startedAt           monotonic.Time // when it was first asked
	endpoints           []*Endpoint
	opTypes             []*OpType
	tenants             []*Tenant
	machineTypes        []*MachineType
	queue               []*Request
	arrivalRate         float64 // our commands a second, smoothed
	lastArrivalAt       monotonic.Time
	inFlight            int            // our deliveries that are out
	concurrencyWindow   float64        // how many may be
	lastFinishedAt      monotonic.Time // when one last ended
	meanRelativeLatency float64        // smoothed time of answers against the op types' means, of all kinds of machine
	zoneHealth          []zoneHealth   // by zone
	connectFailureRate  float64        // smoothed share of our deliveries that found no connection
	verifiedBuilds      map[int]bool   // builds that are what was signed; nil where any is taken
	attemptLimits       attemptLimits
	// No delivery goes out until then: the gateway has stood still.
	catchUpUntil monotonic.Time
	canary       canaryState
	slowStart    slowStartState
	endpointList endpointListState
	rollout      rolloutState
}
