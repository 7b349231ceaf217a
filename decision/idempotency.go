package decision

import (
	"slices"

	"laurelring/decision/monotonic"
)

// Idempotency says whether the effects of an op type's requests may happen more than once.
type Idempotency uint8

const (
	Idempotent      Idempotency = iota // a repeat does no harm
	IdempotentByKey                    // endpoints drop repeats within a deduplication scope and window
	NonIdempotent                      // at most one attempt may execute
)

// String returns the name for logs and error messages.
func (i Idempotency) String() string {
	return [...]string{"idempotent", "idempotent by key", "non-idempotent"}[i]
}

// DeduplicationScope says which endpoints drop repeats of a request that is idempotent by key, in relation to the
// endpoint that got the request first.
type DeduplicationScope uint8

const (
	ScopeAll  DeduplicationScope = iota // all endpoints
	ScopeZone                           // endpoints in the same zone
	ScopeCell                           // endpoints in the same cell
)

// String returns the name for logs and error messages.
func (scope DeduplicationScope) String() string { return [...]string{"all", "zone", "cell"}[scope] }

// safeToRepeat reports whether a repeat does no harm at any endpoint, within the deduplication window if there is one.
func (op *OpType) safeToRepeat() bool {
	return op.idempotency == Idempotent || op.idempotency == IdempotentByKey && op.dedupScope == ScopeAll
}

// MustNotExecuteAgain reports whether an attempt of the request may have executed and a further execution would repeat its
// effect. A request that comes again under the same id is another one to the balancer, which knows nothing of the first
// one's attempts.
func (request *Request) MustNotExecuteAgain() bool {
	return request.opType.idempotency != Idempotent &&
		slices.ContainsFunc(request.attempts, func(attempt *Attempt) bool { return attempt.mayHaveExecuted })
}

// repeatAllowed reports whether an attempt that is sent to an endpoint now cannot repeat an effect, whichever of the
// earlier attempts of its request executed.
func (lb *Balancer) repeatAllowed(op *OpType, earlier []*Attempt, endpoint *Endpoint, now monotonic.Time) bool {
	if op.idempotency == Idempotent {
		return true
	}
	for _, attempt := range earlier {
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

// mayRetryAfterCancel reports whether, if an attempt is canceled now, another attempt may follow it at any endpoint.
func (lb *Balancer) mayRetryAfterCancel(attempt *Attempt, now monotonic.Time) bool {
	op := attempt.request.opType
	return op.safeToRepeat() && (op.idempotency == Idempotent || now+lb.tick < attempt.sentAt+op.dedupWindow)
}
