package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	initialMeanLatencyShare = 0.25 // of the service target: taken for a mean time before there is one
	overQuotaPriority       = 0.01 // of its priority: what a request beyond its tenant's quota keeps
	lateValueThreshold      = 0.5  // of a command's importance: a late answer worth less gives way to commands that wait
)

// Arrival is a request that a client has sent.
type Arrival struct {
	OpType    *OpType
	Tenant    *Tenant       // nil where the deployment has none
	Key       uint64        // requests with the same key are related; 0 for none
	Work      time.Duration // expected; 0 where it is not known
	Remaining time.Duration // until the client gives up
}

// Admit takes a request in: it gets its deadline, its latency objective and its priority. Route decides what becomes of it.
func (lb *Balancer) Admit(arrival Arrival, now monotonic.Time) *Request {
	op := arrival.OpType
	request := &Request{opType: op, key: arrival.Key, deadline: now + arrival.Remaining}
	objective := op.latencyObjective + time.Duration(op.objectiveStretch*float64(arrival.Work))
	request.latencyDeadline = min(now+objective, request.deadline)
	request.priority = op.priorityWeight / float64(max(op.latencyObjective, time.Millisecond))
	if arrival.Tenant != nil && lb.overQuota(arrival.Tenant, now) {
		request.priority *= overQuotaPriority
	}
	lb.canary.exposure.RecordRequest(op.index, now)
	lb.recordArrival(now)
	lb.slowStart.arrivals.Add(now, max(lb.slowStart.overloadSpan, canaryShareSpan))
	lb.canary.stickyKeys.RecordRequest(arrival.Key, lb.rollout.build)
	return request
}

// bound is the moment after which an answer is not worth its work: the service target where a late one
// earns nothing, or little while others wait for room; else the client's patience.
func (lb *Balancer) worthwhileUntil(request *Request) time.Duration {
	if request.opType.lateValueShare <= 0 || request.opType.lateValueShare < lateValueThreshold && len(lb.queue) > 0 {
		return request.latencyDeadline
	}
	return request.deadline
}

// expected is the time a delivery is expected to take; a first one is not refused for an inflated mean.
func (lb *Balancer) expectedLatency(request *Request) float64 {
	if len(request.attempts) == 0 {
		return min(request.opType.meanLatency*1.3, float64(request.opType.latencyObjective)*0.85)
	}
	return request.opType.meanLatency
}

// giveUp gives the final answer. A nack says that trying again is harmless: only where no delivery can have
// run, or where a repeat does no harm.
func (lb *Balancer) refuse(request *Request, why RejectReason) Decision {
	lb.dequeue(request)
	request.completed = true
	for _, attempt := range request.attempts {
		if attempt.mayHaveExecuted && !request.opType.safeToRepeat() {
			return Decision{Action: ActionFail, Reason: why}
		}
	}
	after := time.Duration(request.opType.meanLatency)
	if len(lb.queue) > 0 {
		after = lb.attemptLimits.maxRetryAfter // others wait already
	}
	return Decision{Action: ActionReject, Reason: why, RetryAfter: min(lb.attemptLimits.maxRetryAfter, after)}
}

// repeats tells whether a repeat does no harm at any instance, for a deduplicated command within its
// window.
func (op *OpType) safeToRepeat() bool {
	return op.idempotency == Idempotent || op.idempotency == IdempotentByKey && op.dedupScope == ScopeAll
}

// harmless: no effect twice.
func (lb *Balancer) repeatAllowed(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	if request.opType.idempotency == Idempotent {
		return true
	}
	for _, attempt := range request.attempts {
		if !attempt.mayHaveExecuted {
			continue
		}
		if request.opType.idempotency == NonIdempotent || now+lb.tick >= attempt.sentAt+request.opType.dedupWindow {
			return false
		}
		if request.opType.dedupScope == ScopeZone && attempt.zone != endpoint.zone || request.opType.dedupScope == ScopeCell && attempt.cell != endpoint.cell {
			return false
		}
	}
	return true
}

// ToldFlowing tells that an answer has begun to stream: it belongs to the client from here on.
func (lb *Balancer) ResponseStarted(attempt *Attempt, now monotonic.Time) {
	attempt.Endpoint.lastResponseAt = now
	attempt.Request.completed = true
}

// ToldGone tells that the client has left.
func (lb *Balancer) ClientGone(request *Request) {
	request.completed = true
	lb.dequeue(request)
}

// Hasten brings the last moment for a command's answer forward: the gateway ends before its client gives up.
func (lb *Balancer) ShortenDeadline(request *Request, lastAnswer monotonic.Time) {
	request.deadline = min(request.deadline, lastAnswer)
	request.latencyDeadline = min(request.latencyDeadline, lastAnswer)
}

// Attempt is one attempt of a request, from its start to its outcome.
type Attempt struct {
	Request  *Request
	Endpoint *Endpoint

	number          int // of its request, from 0 on
	done            bool
	sentAt          monotonic.Time
	build           int // the endpoint's build, zone and cell when the attempt started
	zone            int
	cell            int
	overdueCounted  bool // overdue, and recorded as a loss
	endpointSilent  bool // overdue at an endpoint that counts as silent: no longer part of the balancer's attempts in flight
	canceled        bool // the caller was asked to cancel it
	mayHaveExecuted bool // in flight, or ended with an outcome that does not prove that the request never ran
	duringWarmUp    bool // started while outcomes of its endpoint were no evidence yet
}

// Number is the attempt's place among those of its request, from 0 on.
func (attempt *Attempt) Number() int { return attempt.number }

// Done reports whether FinishAttempt has been called for the attempt.
func (attempt *Attempt) Done() bool { return attempt.done }

// Request is one request, from its arrival to its final answer.
type Request struct {
	attempts  []*Attempt
	inFlight  int  // attempts that have not ended
	completed bool // it has its final answer, or its client has left

	opType          *OpType
	key             uint64         // requests with the same key are related; 0 for none
	latencyDeadline monotonic.Time // an answer until then has its whole value
	deadline        monotonic.Time // the client gives up then
	priority        float64
	queued          bool
}

// Attempt returns the attempt with a number, or nil where the request has had no such attempt.
func (request *Request) Attempt(number int) *Attempt {
	if number >= len(request.attempts) {
		return nil
	}
	return request.attempts[number]
}

// AttemptInFlight reports whether an attempt of the request has not ended.
func (request *Request) AttemptInFlight() bool { return request.inFlight > 0 }

// Completed reports whether the request has its final answer, or its client has left.
func (request *Request) Completed() bool { return request.completed }

// OpType is one type of command, with what its answers have taught.
type OpType struct {
	index            int
	latencyObjective time.Duration
	objectiveStretch float64
	clientTimeout    time.Duration
	priorityWeight   float64
	lateValueShare   float64
	idempotency      Idempotency
	dedupScope       DeduplicationScope
	dedupWindow      time.Duration

	meanLatency float64 // ns; smoothed duration of answered attempts
}

// Model is one kind of machine, with what the earlier builds' answers have taught.
type MachineType struct {
	relativeLatency float64 // smoothed time of its answers against the op types' means
}
