package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	initialMeanLatencyShare = 0.25 // of the latency objective: the mean latency before any answer
	lateValueThreshold      = 0.5  // of the priority weight: a late answer worth less gives way to queued requests
	meanLatencyGain         = 0.05 // of each new duration in the mean latency
	firstAttemptLatency     = 1.3  // times the mean latency: what a first attempt is expected to take, but no more than
	firstAttemptShare       = 0.85 // this share of the latency objective
)

// effectiveDeadline is the moment after which an answer is not worth its work: that of the latency objective where a late
// answer has no value, or little while others are queued, and else the deadline.
func (lb *Balancer) effectiveDeadline(request *Request) time.Duration {
	if request.opType.lateValueShare <= 0 || request.opType.lateValueShare < lateValueThreshold && lb.QueueLength() > 0 {
		return request.latencyDeadline
	}
	return request.deadline
}

// expectedLatency is how long the next attempt is expected to take, in nanoseconds. A first one is not refused because the
// mean is inflated.
func (lb *Balancer) expectedLatency(request *Request) float64 {
	if len(request.attempts) == 0 {
		return min(request.opType.meanLatency*firstAttemptLatency, float64(request.opType.latencyObjective)*firstAttemptShare)
	}
	return request.opType.meanLatency
}

// rejectOrFail gives a request its final answer. A rejection says that trying again does no harm, so it is given only where no
// attempt can have executed, or where a repeat does no harm.
func (lb *Balancer) rejectOrFail(request *Request, reason RejectReason) Decision {
	lb.dequeue(request)
	request.completed = true
	for _, attempt := range request.attempts {
		if attempt.mayHaveExecuted && !request.opType.safeToRepeat() {
			return Decision{Action: ActionFail, Reason: reason}
		}
	}
	retryAfter := time.Duration(request.opType.meanLatency)
	if lb.QueueLength() > 0 {
		retryAfter = lb.attemptLimits.maxRetryAfter
	}
	return Decision{Action: ActionReject, Reason: reason, RetryAfter: min(lb.attemptLimits.maxRetryAfter, retryAfter)}
}

// ResponseStarted takes in that an answer has begun to stream to the client: no other one may follow.
func (lb *Balancer) ResponseStarted(attempt *Attempt, now monotonic.Time) {
	attempt.endpoint.lastResponseAt = now
	attempt.request.completed = true
}

// ClientGone takes in that the client has left: the request needs no answer.
func (lb *Balancer) ClientGone(request *Request) {
	request.completed = true
	lb.dequeue(request)
}

// ShortenDeadline brings a request's deadline forward, as where the gateway shuts down before the client gives up.
func (lb *Balancer) ShortenDeadline(request *Request, lastAnswer monotonic.Time) {
	request.deadline = min(request.deadline, lastAnswer)
	request.latencyDeadline = min(request.latencyDeadline, lastAnswer)
}

// Attempt is one attempt of a request, from its start to its outcome.
type Attempt struct {
	request  *Request
	endpoint *Endpoint
	number   int // of its request, from 0 on
	done     bool

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

// Request returns the request of which this is an attempt.
func (attempt *Attempt) Request() *Request { return attempt.request }

// Endpoint returns the endpoint at which the attempt is made.
func (attempt *Attempt) Endpoint() *Endpoint { return attempt.endpoint }

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
	if number < 0 || number >= len(request.attempts) {
		return nil
	}
	return request.attempts[number]
}

// AttemptInFlight reports whether an attempt of the request has not ended.
func (request *Request) AttemptInFlight() bool { return request.inFlight > 0 }

// Completed reports whether the request has its final answer, or its client has left.
func (request *Request) Completed() bool { return request.completed }

// OpType is one type of operation, with what the answers have taught of it.
type OpType struct {
	index            int // in the order of the configuration
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

// isLate reports whether an answer that took this long comes late.
func (op *OpType) isLate(duration time.Duration) bool {
	return float64(duration) > lateShare*float64(op.latencyObjective)
}

// observeLatency takes the duration of an attempt, in nanoseconds, into the mean.
func (op *OpType) observeLatency(duration float64) {
	op.meanLatency += meanLatencyGain * (duration - op.meanLatency)
}
