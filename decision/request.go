package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	initialMeanLatencyShare = 0.25 // mean latency before the first answer, as a share of the latency objective
	lateValueThreshold      = 0.5  // below this lateValueShare, late answers are given up while requests are queued
	meanLatencyGain         = 0.05 // weight of each new duration in the smoothed mean latency
	// A first attempt is expected to take firstAttemptLatency times the mean latency, but no more than
	// firstAttemptShare of the latency objective.
	firstAttemptLatency = 1.3
	firstAttemptShare   = 0.85
)

// effectiveDeadline returns the time after which an answer is not worth the work. This is the end of the latency
// objective if a late answer has no value, or if it has little value and requests are queued. Otherwise it is the
// deadline.
func (lb *Balancer) effectiveDeadline(request *Request) time.Duration {
	if request.opType.lateValueShare <= 0 || request.opType.lateValueShare < lateValueThreshold && lb.QueueLength() > 0 {
		return request.latencyDeadline
	}
	return request.deadline
}

// expectedLatency returns how long the next attempt is expected to take, in nanoseconds. For a first attempt it is
// capped, so that an inflated mean latency does not get the request rejected.
func (lb *Balancer) expectedLatency(request *Request) float64 {
	if len(request.attempts) == 0 {
		return min(request.opType.meanLatency*firstAttemptLatency, float64(request.opType.latencyObjective)*firstAttemptShare)
	}
	return request.opType.meanLatency
}

// rejectOrFail completes a request without an endpoint's answer. A rejection tells the client that a retry is safe. It
// is therefore given only if no attempt can have executed or if a repeat does no harm. Otherwise the request fails.
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

// ResponseStarted records that an answer has begun to stream to the client. No other answer may follow it.
func (lb *Balancer) ResponseStarted(attempt *Attempt, now monotonic.Time) {
	attempt.endpoint.lastResponseAt = now
	attempt.request.completed = true
}

// ClientGone records that the client has disconnected, so that the request needs no answer.
func (lb *Balancer) ClientGone(request *Request) {
	request.completed = true
	lb.dequeue(request)
}

// StopAttempts forbids further attempts of a request whose client may leave unnoticed, as its connection is not read any
// further, and decides what to do with the request if no attempt is in flight.
func (lb *Balancer) StopAttempts(request *Request, now monotonic.Time) Decision {
	request.stopped = true
	return lb.Route(request, now)
}

// ShortenDeadline moves the deadline of a request forward, for example if the gateway shuts down before the client
// gives up.
func (lb *Balancer) ShortenDeadline(request *Request, lastAnswer monotonic.Time) {
	request.deadline = min(request.deadline, lastAnswer)
	request.latencyDeadline = min(request.latencyDeadline, lastAnswer)
}

// Attempt is one attempt of a request, from its start to its outcome.
type Attempt struct {
	request  *Request
	endpoint *Endpoint
	number   int // index among the attempts of its request
	done     bool

	sentAt            monotonic.Time
	exposedAt         monotonic.Time // time for which the attempt counts against the exposure cap; 0 if it does not
	build             int            // build, zone and cell of the endpoint, and its start, when the attempt started
	endpointStartedAt monotonic.Time // 0 if long ago
	zone              int
	cell              int
	overdueCounted    bool // the attempt is overdue and has been recorded as a loss
	endpointSilent    bool // the attempt is overdue at a silent endpoint and no longer counts in the concurrency window
	canceled          bool // the caller was asked to cancel the attempt
	mayHaveExecuted   bool // the attempt is in flight, or its outcome does not prove that the request was not executed
	duringWarmUp      bool // the attempt started while its endpoint was too young for its outcomes to be evidence
}

// Request returns the request that the attempt belongs to.
func (attempt *Attempt) Request() *Request { return attempt.request }

// Endpoint returns the endpoint at which the attempt is made.
func (attempt *Attempt) Endpoint() *Endpoint { return attempt.endpoint }

// Number returns the index of the attempt among the attempts of its request, starting at 0.
func (attempt *Attempt) Number() int { return attempt.number }

// Done reports whether FinishAttempt has been called for the attempt.
func (attempt *Attempt) Done() bool { return attempt.done }

// Request is one request, from its arrival to its final answer.
type Request struct {
	attempts  []*Attempt
	inFlight  int  // number of attempts that have not ended
	completed bool // the request has its final answer, or its client has left
	stopped   bool // no further attempt may start

	opType          *OpType
	key             uint64         // requests with the same key are related; 0 if the request has no key
	latencyDeadline monotonic.Time // an answer until this time has its full value
	deadline        monotonic.Time // time at which the client gives up
	priority        float64
	queued          bool
}

// Attempt returns the attempt with a number, or nil if there is no such attempt.
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

// OpType is one type of operation, with the mean latency learned from its answers.
type OpType struct {
	index            int // position in the configuration
	latencyObjective time.Duration
	objectiveStretch float64
	clientTimeout    time.Duration
	priorityWeight   float64
	lateValueShare   float64
	idempotency      Idempotency
	dedupScope       DeduplicationScope
	dedupWindow      time.Duration

	meanLatency float64 // smoothed duration of answered attempts, in nanoseconds
}

// isLate reports whether an answer after this duration counts as late.
func (op *OpType) isLate(duration time.Duration) bool {
	return float64(duration) > lateShare*float64(op.latencyObjective)
}

// observeLatency updates the mean latency with the duration of an attempt, in nanoseconds.
func (op *OpType) observeLatency(duration float64) {
	op.meanLatency += meanLatencyGain * (duration - op.meanLatency)
}
