package mirrorpool

import (
	"time"

	"laurelring/decision/monotonic"
)

// Step tells the driver of a fetch what to do next. It is an AttemptStep, a WaitStep or a DoneStep.
type Step interface{ isStep() }

// AttemptStep tells the driver to request the file from a mirror, starting at a byte offset, until a deadline.
type AttemptStep struct {
	Mirror   *Mirror
	Offset   int64
	Deadline monotonic.Time
}

// WaitStep tells the driver to call NextStep again at the given time.
type WaitStep struct {
	Until monotonic.Time
}

// DoneStep tells the driver that the fetch has ended.
type DoneStep struct {
	Outcome AttemptOutcome
}

func (AttemptStep) isStep() {}
func (WaitStep) isStep()    {}
func (DoneStep) isStep()    {}

// notFoundQuorum is the number of mirrors that must report that they do not have a file, if as many can be asked. A
// single mirror could otherwise hide a newer file until the metadata that it still serves expire.
const notFoundQuorum = 2

// Fetch is the fetch of one file, over all its attempts.
type Fetch struct {
	pool     *Pool
	maxBytes int64
	deadline monotonic.Time

	mirror     *Mirror        // mirror of the attempt in flight, or nil
	startedAt  monotonic.Time // start of the last attempt
	received   int64          // bytes that the last attempt received
	receivedAt monotonic.Time // time of its last byte, or its start

	verified    int64 // verified bytes from the start of the file, over all attempts
	attempts    int
	tries       map[*Mirror]int
	notFound    int            // number of attempts that ended because the mirror does not have the file
	lastOutcome AttemptOutcome // outcome of the last attempt
	done        bool
	outcome     AttemptOutcome // final outcome once done, until then the one to report if no attempt succeeds
}

// NewFetch returns a fetch of a file of at most maxBytes that ends by a deadline.
func (p *Pool) NewFetch(maxBytes int64, deadline monotonic.Time) *Fetch {
	return &Fetch{pool: p, maxBytes: maxBytes, deadline: deadline, tries: map[*Mirror]int{}, outcome: OutcomeRefused}
}

// NextStep returns the next step of the fetch. It must not be called while an attempt is in flight. An AttemptStep
// starts an attempt, which ends when FinishAttempt is called or when Received or CheckAttempt returns false.
func (f *Fetch) NextStep(now monotonic.Time) Step {
	limits := &f.pool.limits
	switch {
	case f.done || f.mirror != nil:
		return DoneStep{Outcome: f.outcome}
	case now >= f.deadline:
		return f.finish(OutcomeTimedOut)
	case f.attempts >= limits.MaxAttempts:
		return f.finish(f.outcome)
	}
	if withinBudgetAt := f.pool.withinBudgetAt(now, f.maxBytes-f.verified); withinBudgetAt > now {
		if withinBudgetAt >= f.deadline {
			return f.finish(OutcomeTimedOut)
		}
		return WaitStep{Until: withinBudgetAt}
	}
	mirror, availableAt := f.pool.pickMirror(f, now)
	if mirror == nil {
		if availableAt >= f.deadline { // waiting would not help
			return f.finish(f.outcome)
		}
		return WaitStep{Until: availableAt}
	}
	f.mirror, f.startedAt, f.received, f.receivedAt = mirror, now, 0, now
	f.attempts++
	f.tries[mirror]++
	mirror.inFlight++
	return AttemptStep{Mirror: mirror, Offset: f.verified, Deadline: min(f.deadline, now+limits.AttemptTimeout)}
}

// Received reports that the attempt in flight received bytes, and how many bytes of the file are verified so far. It
// returns whether the attempt may continue. If it returns false, the attempt has ended.
func (f *Fetch) Received(bytes, verified int64, now monotonic.Time) bool {
	if f.mirror == nil {
		return false
	}
	f.received += bytes
	f.pool.spentBytes += float64(bytes)
	f.verified = max(f.verified, verified)
	if bytes > 0 {
		f.receivedAt = now
	}
	if f.received > f.maxBytes { // also if the mirror sends the whole file instead of the requested range
		f.FinishAttempt(OutcomeTooLarge, now)
		return false
	}
	return f.CheckAttempt(now)
}

// IsComplete reports whether the number of verified bytes is the maximum that the file may have.
func (f *Fetch) IsComplete(verified int64) bool { return verified > 0 && verified == f.maxBytes }

// CheckAttempt returns whether the attempt in flight may continue under the time limits. If it returns false, the
// attempt has ended. Received calls it when bytes arrive, and the driver must call it at the time that NextCheck
// returns.
func (f *Fetch) CheckAttempt(now monotonic.Time) bool {
	limits := &f.pool.limits
	elapsed := now - f.startedAt
	switch {
	case f.mirror == nil:
		return false
	case now >= f.deadline || elapsed >= limits.AttemptTimeout:
		f.FinishAttempt(OutcomeTimedOut, now)
	case now-f.receivedAt >= limits.StallTimeout:
		f.FinishAttempt(OutcomeStalled, now)
	case elapsed >= limits.RateGracePeriod &&
		float64(f.received) < float64(limits.MinBytesPerSecond)*float64(elapsed)/float64(time.Second):
		f.FinishAttempt(OutcomeTooSlow, now)
	default:
		return true
	}
	return false
}

// NextCheck returns the time at which CheckAttempt must be called next if no byte arrives before.
func (f *Fetch) NextCheck() monotonic.Time {
	limits := &f.pool.limits
	checkAt := min(f.deadline, f.startedAt+limits.AttemptTimeout, f.receivedAt+limits.StallTimeout)
	if limits.MinBytesPerSecond > 0 { // time at which the average rate falls below the minimum without further bytes
		covered := time.Duration(f.received * int64(time.Second) / limits.MinBytesPerSecond)
		checkAt = min(checkAt, max(f.startedAt+limits.RateGracePeriod, f.startedAt+covered+1))
	}
	return checkAt
}

// FinishAttempt reports the outcome of the attempt in flight. Without one it does nothing. A missing file does not
// count as a failure of the mirror, and neither does a canceled fetch. Any other failure puts the mirror into backoff.
func (f *Fetch) FinishAttempt(outcome AttemptOutcome, now monotonic.Time) {
	mirror := f.mirror
	if mirror == nil {
		return
	}
	f.mirror = nil
	mirror.inFlight--
	mirror.lastOutcome, f.lastOutcome = outcome, outcome
	switch outcome {
	case OutcomeCompleted:
		mirror.recordSuccess()
		f.finish(OutcomeCompleted)
	case OutcomeNotFound:
		f.notFound++
		f.outcome = OutcomeNotFound
		if f.notFound >= notFoundQuorum || !f.pool.hasUntriedMirror(f, now) {
			f.finish(OutcomeNotFound)
		}
	case OutcomeCanceled:
		f.finish(OutcomeCanceled)
	default:
		f.pool.recordFailure(mirror, now)
		f.outcome = outcome
	}
}

// finish ends the fetch with an outcome, unless it has ended already.
func (f *Fetch) finish(outcome AttemptOutcome) Step {
	if !f.done {
		f.done, f.outcome = true, outcome
	}
	return DoneStep{Outcome: f.outcome}
}

// NotFoundCount returns the number of attempts in which a mirror reported that it does not have the file.
func (f *Fetch) NotFoundCount() int { return f.notFound }

// Restart discards the count of verified bytes, so that the next attempt starts at the first byte of the file.
func (f *Fetch) Restart() { f.verified = 0 }

// Cancel ends the fetch and its attempt in flight with OutcomeCanceled.
func (f *Fetch) Cancel(now monotonic.Time) {
	f.FinishAttempt(OutcomeCanceled, now)
	f.finish(OutcomeCanceled)
}

// Outcome returns the final outcome of the fetch and true, or false in done while the fetch is in progress.
func (f *Fetch) Outcome() (outcome AttemptOutcome, done bool) { return f.outcome, f.done }

// LastAttempt returns the outcome of the last attempt. ended is false while an attempt is in flight or if none was
// started.
func (f *Fetch) LastAttempt() (outcome AttemptOutcome, ended bool) {
	return f.lastOutcome, f.mirror == nil && f.attempts > 0
}
