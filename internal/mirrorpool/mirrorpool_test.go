package mirrorpool

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{
	MaxAttempts:            5,
	AttemptTimeout:         2 * time.Second,
	StallTimeout:           300 * time.Millisecond,
	MinBytesPerSecond:      1000,
	RateGracePeriod:        500 * time.Millisecond,
	MaxConcurrentPerMirror: 2,
	InitialBackoff:         100 * time.Millisecond,
	MaxBackoff:             2 * time.Second,
	BudgetBytes:            1 << 20,
	BudgetWindow:           10 * time.Second,
}

const ms = time.Millisecond

// nextAttempt returns the attempt that a fetch starts next. It fails the test if the next step is not an attempt.
func nextAttempt(t *testing.T, f *Fetch, now time.Duration) AttemptStep {
	t.Helper()
	step := f.NextStep(now)
	attempt, ok := step.(AttemptStep)
	if !ok {
		t.Fatalf("got step %#v, want an attempt", step)
	}
	return attempt
}

// Each limit must end an attempt with its own outcome, at the right time and not before.
func TestAttemptEndsAtItsLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		want    AttemptOutcome
		bytes   int64         // received every 10 ms
		until   time.Duration // in ms, no bytes arrive after this time
		endedAt time.Duration // in ms
	}{
		{"receives no bytes", OutcomeStalled, 0, 0, 300},
		{"stalls midway", OutcomeStalled, 1000, 200, 500},
		{"is too slow", OutcomeTooSlow, 5, 9999, 500},
		{"is too large", OutcomeTooLarge, 3000, 9999, 170},
		{"takes too long", OutcomeTimedOut, 20, 9999, 2000},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewPool([]string{"a"}, 1, limits).NewFetch(50_000, never)
			if attempt := nextAttempt(t, f, 0); attempt.Mirror.Name != "a" || attempt.Offset != 0 {
				t.Fatalf("got attempt %+v, want mirror a from offset 0", attempt)
			}
			now := time.Duration(0)
			for goesOn := true; goesOn && now < 5000*ms; {
				if now += 10 * ms; now <= c.until*ms && c.bytes > 0 {
					goesOn = f.Received(c.bytes, 0, now)
				} else {
					goesOn = f.CheckAttempt(now)
				}
				if goesOn && f.NextCheck() <= now {
					t.Fatalf("next check at %v is not after the current time %v", f.NextCheck(), now)
				}
			}
			if outcome, ended := f.LastAttempt(); !ended || outcome != c.want || now != c.endedAt*ms {
				t.Errorf("got outcome %v after %v, want %v after %v", outcome, now, c.want, c.endedAt*ms)
			}
		})
	}
}

func TestFailingMirrorsBackOffExponentiallyWithJitter(t *testing.T) {
	var backoffs []time.Duration
	for seed := range uint64(50) {
		p := NewPool([]string{"a"}, seed, limits)
		now, last := time.Duration(0), time.Duration(0)
		for failures := range 8 {
			f := p.NewFetch(100, never)
			if failures > 0 {
				wait, ok := f.NextStep(now).(WaitStep)
				if !ok {
					t.Fatalf("after %d failures: got no wait step", failures)
				}
				backoff := wait.Until - now
				if least := min(2000, time.Duration(100)<<(failures-1)) * ms; backoff < least || backoff >= 2*least {
					t.Errorf("after %d failures: unexpected backoff of %v", failures, backoff)
				}
				if last = backoff; failures == 3 {
					backoffs = append(backoffs, backoff)
				}
				now = wait.Until
			}
			nextAttempt(t, f, now)
			f.FinishAttempt(OutcomeRefused, now)
		}
		f := p.NewFetch(100, never)
		f.NextStep(now + last*3)
		f.FinishAttempt(OutcomeCompleted, now+last*3)
		nextAttempt(t, p.NewFetch(100, never), now+last*3) // no backoff after a successful attempt
	}
	different := map[time.Duration]bool{}
	for _, backoff := range backoffs {
		different[backoff] = true
	}
	if len(different) < 35 {
		t.Errorf("backoffs of 50 gateways have only %d different lengths, want at least 35", len(different))
	}
}

func TestDrainingMirrorGetsNoNewAttempts(t *testing.T) {
	p := NewPool([]string{"a", "b"}, 3, limits)
	f := p.NewFetch(100, never)
	first := nextAttempt(t, f, 0).Mirror
	if !p.SetDraining(first.Name, true) || p.SetDraining("none", true) {
		t.Error("SetDraining: got the wrong result for a known or an unknown mirror")
	}
	if !f.Received(50, 50, 10*ms) {
		t.Error("draining ended the attempt in flight")
	}
	f.FinishAttempt(OutcomeClosedEarly, 20*ms)
	if attempt := nextAttempt(t, f, 20*ms); attempt.Mirror == first || attempt.Offset != 50 {
		t.Errorf("got attempt %+v, want the other mirror from offset 50", attempt)
	}
	p.SetDraining(first.Name, false)
}

// A fetch ends as not found once two mirrors do not have the file, or the only mirror if there is just one.
func TestNotFoundNeedsTwoMirrorsIfAvailable(t *testing.T) {
	for mirrors, want := range map[int]int{1: 1, 2: 2, 3: 2} {
		p := NewPool([]string{"a", "b", "c"}[:mirrors], 1, limits)
		f := p.NewFetch(100, never)
		asked := 0
		for {
			if _, ok := f.NextStep(0).(AttemptStep); !ok {
				break
			}
			asked++
			f.FinishAttempt(OutcomeNotFound, 0)
		}
		if outcome, done := f.Outcome(); outcome != OutcomeNotFound || !done || asked != want || f.NotFoundCount() != want {
			t.Errorf("%d mirrors: %d were asked, outcome %v", mirrors, asked, outcome)
		}
	}
}

// The byte budget must delay a fetch, and fail it at once if the budget does not allow it before its deadline.
func TestByteBudget(t *testing.T) {
	p := NewPool([]string{"a"}, 1, limits)
	f := p.NewFetch(1<<20, never)
	f.NextStep(0)
	f.Received(1<<20, 0, ms)
	f.FinishAttempt(OutcomeCompleted, ms)
	if wait, ok := p.NewFetch(1<<19, never).NextStep(ms).(WaitStep); !ok || wait.Until < 4900*ms || wait.Until > 5100*ms {
		t.Errorf("got wait step %+v (%t), want a wait until about 5 s", wait, ok)
	}
	late := p.NewFetch(1<<19, 2000*ms)
	if step := late.NextStep(ms); step != (DoneStep{Outcome: OutcomeTimedOut}) {
		t.Errorf("got step %#v, want a timeout", step)
	}
	if outcome, done := late.Outcome(); outcome != OutcomeTimedOut || !done {
		t.Error(outcome)
	}
}

// trackedFetch is a fetch in a random history with the state that its driver knows.
type trackedFetch struct {
	fetch     *Fetch
	size      int64
	deadline  time.Duration
	attempts  int
	mirror    *Mirror // mirror of the attempt in flight, or nil
	verified  int64
	doneCount int
}

// Runs random histories of attempts, draining mirrors and time steps. Each fetch must end once, by its deadline and
// within its maximum number of attempts. No attempt may start at a mirror that is draining, in backoff or at its limit
// of attempts in flight. Verified bytes must not be requested again.
func TestRandomHistoriesKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "mirrors")]
		p := NewPool(names, rapid.Uint64().Draw(t, "seed"), limits)
		var fetches []*trackedFetch
		now := time.Duration(0)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, 200).Draw(t, "ms")) * ms
			for _, tracked := range fetches { // like the timer of a driver
				if tracked.mirror != nil && now >= tracked.fetch.NextCheck() {
					if tracked.fetch.CheckAttempt(now) {
						t.Fatal("attempt continues after the time of its check")
					}
					tracked.mirror = nil
				}
			}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				p.SetDraining(rapid.SampledFrom(names).Draw(t, "mirror"), rapid.Bool().Draw(t, "draining"))
			case 1, 2:
				size := rapid.Int64Range(1, 5000).Draw(t, "size")
				deadline := now + time.Duration(rapid.Int64Range(1, 3000).Draw(t, "timeout in ms"))*ms
				fetches = append(fetches, &trackedFetch{fetch: p.NewFetch(size, deadline), size: size, deadline: deadline})
			default:
				if len(fetches) == 0 {
					continue
				}
				tracked := rapid.SampledFrom(fetches).Draw(t, "fetch")
				if tracked.mirror == nil {
					tracked.nextStep(t, now)
				} else {
					tracked.attemptEvent(t, now)
				}
				if _, done := tracked.fetch.Outcome(); done {
					tracked.doneCount++
				} else if tracked.doneCount > 0 {
					t.Fatal("fetch continues after its end")
				}
			}
		}
		for _, tracked := range fetches {
			tracked.finish(t, now)
		}
		for _, mirror := range p.mirrors {
			if mirror.inFlight != 0 {
				t.Fatalf("%d attempts in flight at the end, want 0", mirror.inFlight)
			}
		}
	})
}

// nextStep performs the next step of a fetch that has no attempt in flight.
func (tracked *trackedFetch) nextStep(t *rapid.T, now time.Duration) {
	switch step := tracked.fetch.NextStep(now).(type) {
	case AttemptStep:
		if step.Mirror.draining || now < step.Mirror.backoffUntil || step.Mirror.inFlight > limits.MaxConcurrentPerMirror {
			t.Fatalf("attempt at a mirror that is not available")
		}
		if step.Offset != tracked.verified || step.Deadline > tracked.deadline {
			t.Fatalf("got offset %d, want %d; attempt deadline %v, fetch deadline %v", step.Offset, tracked.verified, step.Deadline, tracked.deadline)
		}
		tracked.mirror = step.Mirror
		if tracked.attempts++; tracked.attempts > limits.MaxAttempts || tracked.doneCount > 0 {
			t.Fatal("too many attempts, or an attempt after the end of the fetch")
		}
	case WaitStep:
		if step.Until <= now || step.Until >= tracked.deadline {
			t.Fatalf("wait until %v, at time %v, with deadline %v", step.Until, now, tracked.deadline)
		}
	}
}

// attemptEvent finishes or checks the attempt in flight, or delivers bytes to it.
func (tracked *trackedFetch) attemptEvent(t *rapid.T, now time.Duration) {
	switch rapid.IntRange(0, 5).Draw(t, "attempt event") {
	case 0:
		tracked.fetch.FinishAttempt(AttemptOutcome(rapid.IntRange(0, int(OutcomeCanceled)).Draw(t, "outcome")), now)
	case 1:
		if bytes := rapid.Int64Range(0, 2000).Draw(t, "bytes"); tracked.verified+bytes <= tracked.size {
			tracked.verified += bytes
			tracked.fetch.Received(bytes, tracked.verified, now)
		}
	default:
		tracked.fetch.CheckAttempt(now)
	}
	if _, ended := tracked.fetch.LastAttempt(); ended {
		tracked.mirror = nil
	} else if now >= tracked.deadline {
		t.Fatal("attempt in flight after the deadline of its fetch")
	}
}

// finish advances the time to the deadline, by which the fetch must end.
func (tracked *trackedFetch) finish(t *rapid.T, now time.Duration) {
	end := max(now, tracked.deadline)
	if tracked.mirror != nil {
		tracked.fetch.CheckAttempt(end)
		tracked.mirror = nil
	}
	if _, ok := tracked.fetch.NextStep(end).(DoneStep); !ok {
		t.Fatal("fetch continues after its deadline")
	}
	if _, done := tracked.fetch.Outcome(); !done {
		t.Fatal("fetch has no final outcome")
	}
}

func TestGatewaysSpreadOverMirrors(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(200) {
		f := NewPool([]string{"a", "b", "c"}, seed, limits).NewFetch(9, never)
		counts[nextAttempt(t, f, 0).Mirror.Name]++
	}
	for name, count := range counts {
		if count < 45 || count > 90 {
			t.Errorf("mirror %s got %d of 200 attempts, want 45 to 90", name, count)
		}
	}
}

// The outcome texts are metric labels and are read by operators' programs.
func TestOutcomeTextsAreStable(t *testing.T) {
	want := []string{"brought", "missing", "bad", "too large", "stalled", "too slow", "closed early", "refused",
		"redirected", "took too long", "called off"}
	for outcome := OutcomeCompleted; outcome <= OutcomeCanceled; outcome++ {
		if outcome.String() != want[outcome] {
			t.Errorf("outcome %d: %q, want %q", outcome, outcome, want[outcome])
		}
	}
}
