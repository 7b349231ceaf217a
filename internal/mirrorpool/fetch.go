package mirrorpool

import (
	"time"

	"laurelring/decision/monotonic"
)

// Step is what the driver of a fetch is to do next: an AttemptStep, a WaitStep or a DoneStep.
type Step interface{ isStep() }

// AttemptStep tells the driver to request the file from a mirror, from a byte offset on, until a deadline.
type AttemptStep struct {
	Mirror   *Mirror
	Offset   int64
	Deadline monotonic.Time
}

// WaitStep tells the driver to ask for the next step at a moment.
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

// notFoundQuorum is how many mirrors have to report that they do not have a file, where two can be asked: a single
// one could hide a file until what it still shows expires.
const notFoundQuorum = 2

// Fetch is one file being fetched.
type Fetch struct {
	pool     *Pool
	maxBytes int64
	deadline monotonic.Time

	mirror     *Mirror // of the attempt in flight, or nil
	startedAt  monotonic.Time
	received   int64 // bytes of this attempt
	receivedAt monotonic.Time

	verified    int64 // bytes of the file, over all attempts
	attempts    int
	tries       map[*Mirror]int
	notFound    int            // mirrors that do not have the file
	lastOutcome AttemptOutcome // of the last attempt
	done        bool
	outcome     AttemptOutcome
}

// NewFetch starts to fetch a file of at most maxBytes, by a deadline.
func (p *Pool) NewFetch(maxBytes int64, deadline monotonic.Time) *Fetch {
	return &Fetch{pool: p, maxBytes: maxBytes, deadline: deadline, tries: map[*Mirror]int{}, outcome: OutcomeRefused}
}

// NextStep returns what to do now, while no attempt is in flight. An AttemptStep starts an attempt, which ends with
// FinishAttempt, or when Received or CheckAttempt return false.
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
	if affordableAt := f.pool.affordableAt(now, f.maxBytes-f.verified); affordableAt > now {
		if affordableAt >= f.deadline {
			return f.finish(OutcomeTimedOut)
		}
		return WaitStep{Until: affordableAt}
	}
	mirror, availableAt := f.pool.pick(f, now)
	if mirror == nil {
		if availableAt >= f.deadline { // waiting could not help
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

// Received reports bytes of the attempt in flight, and how many bytes of the file are verified by now. It returns
// whether the attempt may go on; where not, it has ended.
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
	if f.received > f.maxBytes { // also where the mirror sends the whole file in place of a range
		f.FinishAttempt(OutcomeTooLarge, now)
		return false
	}
	return f.CheckAttempt(now)
}

// IsComplete reports whether a count of verified bytes is all that the file may have.
func (f *Fetch) IsComplete(verified int64) bool { return verified > 0 && verified == f.maxBytes }

// CheckAttempt returns whether the attempt in flight may go on; where not, it has ended. It is to be called when bytes
// arrive and at NextCheck.
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

// NextCheck returns when the attempt in flight is to be checked next if no byte arrives.
func (f *Fetch) NextCheck() monotonic.Time {
	limits := &f.pool.limits
	checkAt := min(f.deadline, f.startedAt+limits.AttemptTimeout, f.receivedAt+limits.StallTimeout)
	if limits.MinBytesPerSecond > 0 { // when the received bytes fall below the rate
		covered := time.Duration(f.received * int64(time.Second) / limits.MinBytesPerSecond)
		checkAt = min(checkAt, max(f.startedAt+limits.RateGracePeriod, f.startedAt+covered+1))
	}
	return checkAt
}

// FinishAttempt reports how the attempt in flight ended; without one it does nothing. A mirror that does not have the
// file, which another may have, is not at fault. Any other failure puts the mirror into backoff.
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
		mirror.succeeded()
		f.finish(OutcomeCompleted)
	case OutcomeNotFound:
		f.notFound++
		f.outcome = OutcomeNotFound
		if f.notFound >= notFoundQuorum || !f.pool.hasUntried(f, now) {
			f.finish(OutcomeNotFound)
		}
	case OutcomeCanceled:
		f.finish(OutcomeCanceled)
	default:
		f.pool.backOff(mirror, now)
		f.outcome = outcome
	}
}

// finish ends the fetch, once.
func (f *Fetch) finish(outcome AttemptOutcome) Step {
	if !f.done {
		f.done, f.outcome = true, outcome
	}
	return DoneStep{Outcome: f.outcome}
}

// NotFoundCount returns how many mirrors reported that they do not have the file.
func (f *Fetch) NotFoundCount() int { return f.notFound }

// Restart drops the verified bytes, so that the next attempt starts at the file's first byte.
func (f *Fetch) Restart() { f.verified = 0 }

// Cancel ends the fetch for its caller.
func (f *Fetch) Cancel(now monotonic.Time) {
	f.FinishAttempt(OutcomeCanceled, now)
	f.finish(OutcomeCanceled)
}

// Outcome returns how the fetch ended, and false while it goes on.
func (f *Fetch) Outcome() (outcome AttemptOutcome, done bool) { return f.outcome, f.done }

// LastAttempt returns how the last attempt ended, and false while one is in flight or none was started.
func (f *Fetch) LastAttempt() (outcome AttemptOutcome, ended bool) {
	return f.lastOutcome, f.mirror == nil && f.attempts > 0
}
