package decision

import (
	"laurelring/decision/monotonic"
)

// Idempotency says whether the effects of an op type's requests may happen more than once.
type Idempotency uint8

const (
	Idempotent      Idempotency = iota // a repeat does no harm
	IdempotentByKey                    // endpoints drop repeats, within a scope and for a window of time
	NonIdempotent                      // at most one attempt may execute
)

// String returns the name for a log or an error.
func (i Idempotency) String() string {
	return [...]string{"idempotent", "idempotent by key", "non-idempotent"}[i]
}

// DeduplicationScope is the group of endpoints that drop repeats of a request that is idempotent by key: those that share
// a scope with the endpoint that got it first.
type DeduplicationScope uint8

const (
	ScopeAll  DeduplicationScope = iota // all endpoints
	ScopeZone                           // those of the same zone
	ScopeCell                           // those of the same cell
)

// String returns the name for a log or an error.
func (scope DeduplicationScope) String() string { return [...]string{"all", "zone", "cell"}[scope] }

// safeToRepeat reports whether a repeat does no harm at any endpoint, within the deduplication window where there is one.
func (op *OpType) safeToRepeat() bool {
	return op.idempotency == Idempotent || op.idempotency == IdempotentByKey && op.dedupScope == ScopeAll
}

// repeatAllowed reports whether an attempt at an endpoint cannot repeat an effect, whichever of the attempts before it
// executed.
func (lb *Balancer) repeatAllowed(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	op := request.opType
	if op.idempotency == Idempotent {
		return true
	}
	for _, attempt := range request.attempts {
		if !attempt.mayHaveExecuted {
			continue
		}
		if op.idempotency == NonIdempotent || now+lb.tick >= attempt.sentAt+op.dedupWindow {
			return false
		}
		if op.dedupScope == ScopeZone && attempt.zone != endpoint.zone || op.dedupScope == ScopeCell && attempt.cell != endpoint.cell {
			return false
		}
	}
	return true
}

// mayRetryAfterCancel reports whether another attempt may follow one that is canceled now, at any endpoint.
func (lb *Balancer) mayRetryAfterCancel(attempt *Attempt, now monotonic.Time) bool {
	op := attempt.request.opType
	return op.safeToRepeat() && (op.idempotency == Idempotent || now+lb.tick < attempt.sentAt+op.dedupWindow)
}
