package schedule

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{
	Window:        time.Second,
	WorkTime:      100 * time.Millisecond,
	Bytes:         1000,
	Descriptors:   4,
	MaxConcurrent: 2,
	MaxJobs:       8,
	MaxDeferral:   3 * time.Second,
}

const ms = time.Millisecond

func add(t *testing.T, s *Scheduler, j *Job) *Job {
	t.Helper()
	if err := s.Add(j, 0); err != nil {
		t.Fatal(err)
	}
	s.RunSoon(j, 0)
	return j
}

// The higher priority goes first; of equals the one that used less time; a starved one before all.
func TestOrderOfDueJobs(t *testing.T) {
	s := New(1, limits)
	low := add(t, s, &Job{Name: "low", Priority: 1, Period: time.Second})
	high := add(t, s, &Job{Name: "high", Priority: 2, Period: time.Second})
	equal := add(t, s, &Job{Name: "equal", Priority: 1, Period: time.Second})
	run := func(now time.Duration) *Job {
		j, _ := s.Next(now, false)
		if j != nil {
			s.Finish(j, 5*time.Millisecond, 0, now)
		}
		return j
	}
	if run(0) != high || run(0) != low || run(0) != equal || run(0) != nil {
		t.Error("the order is not high, low, equal, none")
	}
	low.usedTime, low.usedAt = 1e9, 10
	for _, j := range []*Job{low, high, equal} {
		s.RunSoon(j, 10)
	}
	if run(10) != high || run(10) != equal || run(10) != low {
		t.Error("of equals the one that used less time goes first")
	}
	low.dueAt, high.dueAt, equal.dueAt = 20, 5000*ms, 5000*ms
	if run(5001*ms) != low {
		t.Error("a starved job is passed over")
	}
}

func TestBudgetsHoldAndRecover(t *testing.T) {
	s := New(1, limits)
	j := add(t, s, &Job{Name: "j", Period: time.Millisecond, Descriptors: 3})
	other := add(t, s, &Job{Name: "other", Period: time.Millisecond, Descriptors: 3})
	if got, _ := s.Next(0, false); got != j {
		t.Fatal(got)
	}
	if got, _ := s.Next(0, false); got != nil {
		t.Error("more descriptors than there are")
	}
	s.Finish(j, 300*time.Millisecond, 0, 0)
	got, again := s.Next(ms, false)
	if got != nil || again < 1000*ms || again > 1300*ms { // 300 ms run off to 100 in ln 3 s
		t.Errorf("%v, again at %v", got, again)
	}
	if got, _ = s.Next(again, false); got != other {
		t.Errorf("it does not recover: %v", got)
	}
	s.Finish(other, 0, 5000, again)
	if got, later := s.Next(again+ms, false); got != nil || later-again < 1500*ms {
		t.Errorf("bytes: %v after %v", got, later-again)
	}
	for range 6 {
		add(t, s, &Job{Name: "x"})
	}
	if s.Add(&Job{}, 0) != ErrTooManyJobs {
		t.Error("one job too many")
	}
}

// While requests wait a job runs only after its deferral, and alone.
func TestRequestsGoFirst(t *testing.T) {
	s := New(1, limits)
	j := add(t, s, &Job{Name: "j", Period: 10 * time.Second})
	add(t, s, &Job{Name: "k", Period: 10 * time.Second})
	for _, at := range []time.Duration{100, 2999} {
		if got, again := s.Next(at*ms, true); got != nil || again > 3999*ms || at == 2999 && again != 3000*ms {
			t.Errorf("%v, again at %v", got, again)
		}
	}
	if got, _ := s.Next(3000*ms, true); got != j {
		t.Error("it is deferred forever")
	}
	if got, _ := s.Next(3000*ms, true); got != nil {
		t.Error("two jobs run at once")
	}
	often := New(1, limits)
	j = add(t, often, &Job{Name: "often", Period: 500 * time.Millisecond})
	if got, again := often.Next(10*ms, true); got != nil || again != 1000*ms {
		t.Errorf("%v, again at %v", got, again)
	}
	if got, _ := often.Next(1000*ms, true); got != j {
		t.Error("a frequent job is deferred for more than twice its period")
	}
}

func TestJobWithoutPeriodRunsOnceAndRemovedJobNever(t *testing.T) {
	s := New(1, limits)
	once := add(t, s, &Job{Name: "once"})
	removed := add(t, s, &Job{Name: "removed", Period: time.Millisecond})
	s.Remove(removed)
	got, _ := s.Next(0, false)
	s.Finish(got, 0, 0, 0)
	if next, _ := s.Next(5000*ms, false); got != once || next != nil || len(s.jobs) != 0 {
		t.Errorf("%v, then %v", got, next)
	}
}

// Over random histories: the limits of concurrent jobs and descriptors hold; the time used within any window exceeds the
// budget by one job at most; every job that stays due runs.
func TestRandomHistoriesKeepBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(rapid.Uint64().Draw(t, "seed"), limits)
		var running []*Job
		now, lastRun := time.Duration(0), map[*Job]time.Duration{}
		var jobs []*Job
		for range rapid.IntRange(1, 6).Draw(t, "jobs") {
			j := &Job{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Descriptors: rapid.IntRange(0, 4).Draw(t, "descriptors"),
				Period: time.Duration(rapid.IntRange(1, 500).Draw(t, "every")) * time.Millisecond}
			if s.Add(j, now) != nil {
				t.Fatal("a job is refused")
			}
			jobs = append(jobs, j)
		}
		for range 400 {
			now += time.Duration(rapid.Int64Range(1, 100).Draw(t, "ms")) * ms
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				j := running[0]
				running = running[1:]
				s.Finish(j, time.Duration(rapid.IntRange(0, 40).Draw(t, "took"))*time.Millisecond, 0, now)
				continue
			}
			j, again := s.Next(now, false)
			if j == nil {
				if again <= now {
					t.Fatal("asked again at once for nothing")
				}
				continue
			}
			if s.spentTime >= float64(limits.WorkTime) {
				t.Fatal("started beyond the budget of time")
			}
			running, lastRun[j] = append(running, j), now
			descriptors := 0
			for _, r := range running {
				descriptors += r.Descriptors
			}
			if len(running) > limits.MaxConcurrent || descriptors > limits.Descriptors {
				t.Fatalf("%d run, %d descriptors", len(running), descriptors)
			}
		}
		for _, j := range jobs {
			if now-lastRun[j] > 15*time.Second {
				t.Fatalf("a job of priority %d has not run for %v", j.Priority, now-lastRun[j])
			}
		}
	})
}
