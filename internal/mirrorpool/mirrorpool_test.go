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

// nextAttempt returns the attempt that a fetch starts next, and fails the test where it starts none.
func nextAttempt(t *testing.T, f *Fetch, now time.Duration) AttemptStep {
	t.Helper()
	step := f.NextStep(now)
	attempt, ok := step.(AttemptStep)
	if !ok {
		t.Fatalf("no attempt: %#v", step)
	}
	return attempt
}

// Each way in which an attempt has to end, at its moment and not before.
func TestAttemptEndsAtItsLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		want    AttemptOutcome
		bytes   int64         // that arrive each 10 ms
		until   time.Duration // no more after this moment, in ms
		endedAt time.Duration // in ms
	}{
		{"no byte arrives", OutcomeStalled, 0, 0, 300},
		{"stalls midway", OutcomeStalled, 1000, 200, 500},
		{"is too slow", OutcomeTooSlow, 5, 9999, 500},
		{"is too large", OutcomeTooLarge, 3000, 9999, 170},
		{"takes too long", OutcomeTimedOut, 20, 9999, 2000},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewPool([]string{"a"}, 1, limits).NewFetch(50_000, never)
			if attempt := nextAttempt(t, f, 0); attempt.Mirror.Name != "a" || attempt.Offset != 0 {
				t.Fatalf("%+v", attempt)
			}
			now := time.Duration(0)
			for goesOn := true; goesOn && now < 5000*ms; {
				if now += 10 * ms; now <= c.until*ms && c.bytes > 0 {
					goesOn = f.Received(c.bytes, 0, now)
				} else {
					goesOn = f.CheckAttempt(now)
				}
				if goesOn && f.NextCheck() <= now {
					t.Fatalf("to be checked at %v, it is %v", f.NextCheck(), now)
				}
			}
			if outcome, ended := f.LastAttempt(); !ended || outcome != c.want || now != c.endedAt*ms {
				t.Errorf("%v after %v, want %v after %v", outcome, now, c.want, c.endedAt*ms)
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
					t.Fatalf("failure %d: no wait", failures)
				}
				backoff := wait.Until - now
				if least := min(2000, time.Duration(100)<<(failures-1)) * ms; backoff < least || backoff >= 2*least {
					t.Errorf("after %d failures a backoff of %v", failures, backoff)
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
		nextAttempt(t, p.NewFetch(100, never), now+last*3) // no backoff after a success
	}
	different := map[time.Duration]bool{}
	for _, backoff := range backoffs {
		different[backoff] = true
	}
	if len(different) < 35 {
		t.Errorf("50 gateways come back after only %d different times", len(different))
	}
}

func TestDrainingMirrorGetsNoNewAttempts(t *testing.T) {
	p := NewPool([]string{"a", "b"}, 3, limits)
	f := p.NewFetch(100, never)
	first := nextAttempt(t, f, 0).Mirror
	if !p.SetDraining(first.Name, true) || p.SetDraining("none", true) {
		t.Error("a known mirror is unknown, or an unknown one is known")
	}
	if !f.Received(50, 50, 10*ms) {
		t.Error("the attempt in flight does not go on")
	}
	f.FinishAttempt(OutcomeClosedEarly, 20*ms)
	if attempt := nextAttempt(t, f, 20*ms); attempt.Mirror == first || attempt.Offset != 50 {
		t.Errorf("%+v", attempt)
	}
	p.SetDraining(first.Name, false)
}

func TestFileIsNotFoundOnceTwoMirrorsSaySoOrTheOnlyOne(t *testing.T) {
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
			t.Errorf("of %d mirrors %d were asked: %v", mirrors, asked, outcome)
		}
	}
}

// The budget of bytes delays fetches, and refuses at once what cannot be afforded by its deadline.
func TestByteBudget(t *testing.T) {
	p := NewPool([]string{"a"}, 1, limits)
	f := p.NewFetch(1<<20, never)
	f.NextStep(0)
	f.Received(1<<20, 0, ms)
	f.FinishAttempt(OutcomeCompleted, ms)
	if wait, ok := p.NewFetch(1<<19, never).NextStep(ms).(WaitStep); !ok || wait.Until < 4900*ms || wait.Until > 5100*ms {
		t.Errorf("%+v, %t", wait, ok)
	}
	late := p.NewFetch(1<<19, 2000*ms)
	if step := late.NextStep(ms); step != (DoneStep{Outcome: OutcomeTimedOut}) {
		t.Errorf("%#v", step)
	}
	if outcome, done := late.Outcome(); outcome != OutcomeTimedOut || !done {
		t.Error(outcome)
	}
}

// trackedFetch is a fetch of a random history with what its driver knows of it.
type trackedFetch struct {
	fetch    *Fetch
	size     int64
	deadline time.Duration
	attempts int
	mirror   *Mirror // of the attempt in flight
	verified int64
	doneSeen int
}

// Over random histories of mirrors, drains and clocks: each fetch ends once, by its deadline, within its attempts; none
// starts at a mirror that drains, backs off or has enough in flight; verified bytes are never requested again.
func TestRandomHistoriesKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "mirrors")]
		p := NewPool(names, rapid.Uint64().Draw(t, "seed"), limits)
		var fetches []*trackedFetch
		now := time.Duration(0)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, 200).Draw(t, "ms")) * ms
			for _, tracked := range fetches { // as the driver's timer does
				if tracked.mirror != nil && now >= tracked.fetch.NextCheck() {
					if tracked.fetch.CheckAttempt(now) {
						t.Fatal("it goes on beyond the moment of its check")
					}
					tracked.mirror = nil
				}
			}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				p.SetDraining(rapid.SampledFrom(names).Draw(t, "which"), rapid.Bool().Draw(t, "on"))
			case 1, 2:
				size := rapid.Int64Range(1, 5000).Draw(t, "size")
				deadline := now + time.Duration(rapid.Int64Range(1, 3000).Draw(t, "within"))*ms
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
					tracked.doneSeen++
				} else if tracked.doneSeen > 0 {
					t.Fatal("it goes on after its end")
				}
			}
		}
		for _, tracked := range fetches {
			tracked.finish(t, now)
		}
		for _, mirror := range p.mirrors {
			if mirror.inFlight != 0 {
				t.Fatalf("%d in flight at the end", mirror.inFlight)
			}
		}
	})
}

// nextStep takes the next step of a fetch without an attempt in flight.
func (tracked *trackedFetch) nextStep(t *rapid.T, now time.Duration) {
	switch step := tracked.fetch.NextStep(now).(type) {
	case AttemptStep:
		if step.Mirror.draining || now < step.Mirror.backoffUntil || step.Mirror.inFlight > limits.MaxConcurrentPerMirror {
			t.Fatalf("an attempt at a mirror that is not available")
		}
		if step.Offset != tracked.verified || step.Deadline > tracked.deadline {
			t.Fatalf("offset %d, verified %d; until %v of %v", step.Offset, tracked.verified, step.Deadline, tracked.deadline)
		}
		tracked.mirror = step.Mirror
		if tracked.attempts++; tracked.attempts > limits.MaxAttempts || tracked.doneSeen > 0 {
			t.Fatal("too many attempts, or one after the end")
		}
	case WaitStep:
		if step.Until <= now || step.Until >= tracked.deadline {
			t.Fatalf("waits until %v at %v, to end by %v", step.Until, now, tracked.deadline)
		}
	}
}

// attemptEvent ends, feeds or checks the attempt in flight.
func (tracked *trackedFetch) attemptEvent(t *rapid.T, now time.Duration) {
	switch rapid.IntRange(0, 5).Draw(t, "attempt") {
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
		t.Fatal("in flight beyond its deadline")
	}
}

// finish lets all time pass: the fetch ends.
func (tracked *trackedFetch) finish(t *rapid.T, now time.Duration) {
	end := max(now, tracked.deadline)
	if tracked.mirror != nil {
		tracked.fetch.CheckAttempt(end)
		tracked.mirror = nil
	}
	if _, ok := tracked.fetch.NextStep(end).(DoneStep); !ok {
		t.Fatal("it goes on beyond its deadline")
	}
	if _, done := tracked.fetch.Outcome(); !done {
		t.Fatal("no outcome")
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
			t.Errorf("%s gets %d of 200", name, count)
		}
	}
}

// The texts are labels of metrics and part of what operators' programs read.
func TestOutcomeTextsAreStable(t *testing.T) {
	want := []string{"brought", "missing", "bad", "too large", "stalled", "too slow", "closed early", "refused",
		"redirected", "took too long", "called off"}
	for outcome := OutcomeCompleted; outcome <= OutcomeCanceled; outcome++ {
		if outcome.String() != want[outcome] {
			t.Errorf("outcome %d: %q, want %q", outcome, outcome, want[outcome])
		}
	}
}
