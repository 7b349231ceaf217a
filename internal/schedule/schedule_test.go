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

func addDue(t *testing.T, s *Scheduler, j *Job) *Job {
	t.Helper()
	if err := s.Add(j, 0); err != nil {
		t.Fatal(err)
	}
	s.RunSoon(j, 0)
	return j
}

// Jobs with higher priority run first. Of jobs with equal priority, the one with less running time runs first. A
// starved job runs before all others.
func TestOrderOfDueJobs(t *testing.T) {
	s := New(1, limits)
	low := addDue(t, s, &Job{Name: "low", Priority: 1, Period: time.Second})
	high := addDue(t, s, &Job{Name: "high", Priority: 2, Period: time.Second})
	equal := addDue(t, s, &Job{Name: "equal", Priority: 1, Period: time.Second})
	run := func(now time.Duration) *Job {
		j, _ := s.Next(now, false)
		if j != nil {
			s.Finish(j, 5*time.Millisecond, 0, now)
		}
		return j
	}
	if run(0) != high || run(0) != low || run(0) != equal || run(0) != nil {
		t.Error("wrong order of jobs, want high, low, equal, none")
	}
	low.usedTime, low.usedAt = 1e9, 10
	for _, j := range []*Job{low, high, equal} {
		s.RunSoon(j, 10)
	}
	if run(10) != high || run(10) != equal || run(10) != low {
		t.Error("wrong order of jobs, want high, equal, low, as low has used more time than equal")
	}
	low.dueAt, high.dueAt, equal.dueAt = 20, 5000*ms, 5000*ms
	if run(5001*ms) != low {
		t.Error("the starved job does not run first")
	}
}

func TestJobsWaitForBudgetsToRecover(t *testing.T) {
	s := New(1, limits)
	j := addDue(t, s, &Job{Name: "j", Period: time.Millisecond, Descriptors: 3})
	other := addDue(t, s, &Job{Name: "other", Period: time.Millisecond, Descriptors: 3})
	if got, _ := s.Next(0, false); got != j {
		t.Fatal(got)
	}
	if got, _ := s.Next(0, false); got != nil {
		t.Error("a job runs beyond the limit of descriptors")
	}
	s.Finish(j, 300*time.Millisecond, 0, 0)
	got, askAgain := s.Next(ms, false)
	if got != nil || askAgain < 1000*ms || askAgain > 1300*ms { // 300 ms decay to 100 ms in ln 3 s
		t.Errorf("got job %v, ask again at %v", got, askAgain)
	}
	if got, _ = s.Next(askAgain, false); got != other {
		t.Errorf("after the budget of time has recovered: got job %v, want other", got)
	}
	s.Finish(other, 0, 5000, askAgain)
	if got, later := s.Next(askAgain+ms, false); got != nil || later-askAgain < 1500*ms {
		t.Errorf("beyond the budget of bytes: got job %v and a wait of %v, want none and at least 1.5s", got, later-askAgain)
	}
	for range 6 {
		addDue(t, s, &Job{Name: "x"})
	}
	if s.Add(&Job{}, 0) != ErrTooManyJobs {
		t.Error("Add accepted more jobs than MaxJobs")
	}
}

// While requests wait, a job runs only after its maximum deferral, and no other job runs at the same time.
func TestJobsAreDeferredWhileRequestsWait(t *testing.T) {
	s := New(1, limits)
	j := addDue(t, s, &Job{Name: "j", Period: 10 * time.Second})
	addDue(t, s, &Job{Name: "k", Period: 10 * time.Second})
	for _, at := range []time.Duration{100, 2999} {
		if got, askAgain := s.Next(at*ms, true); got != nil || askAgain > 3999*ms || at == 2999 && askAgain != 3000*ms {
			t.Errorf("got job %v, ask again at %v", got, askAgain)
		}
	}
	if got, _ := s.Next(3000*ms, true); got != j {
		t.Error("the job does not run after its maximum deferral")
	}
	if got, _ := s.Next(3000*ms, true); got != nil {
		t.Error("two jobs run at the same time while requests wait")
	}
	frequent := New(1, limits)
	j = addDue(t, frequent, &Job{Name: "often", Period: 500 * time.Millisecond})
	if got, askAgain := frequent.Next(10*ms, true); got != nil || askAgain != 1000*ms {
		t.Errorf("got job %v, ask again at %v", got, askAgain)
	}
	if got, _ := frequent.Next(1000*ms, true); got != j {
		t.Error("a job with a short period is deferred for more than twice its period")
	}
}

func TestJobWithoutPeriodRunsOnceAndRemovedJobNever(t *testing.T) {
	s := New(1, limits)
	once := addDue(t, s, &Job{Name: "once"})
	removed := addDue(t, s, &Job{Name: "removed", Period: time.Millisecond})
	s.Remove(removed)
	got, _ := s.Next(0, false)
	s.Finish(got, 0, 0, 0)
	if next, _ := s.Next(5000*ms, false); got != once || next != nil || len(s.jobs) != 0 {
		t.Errorf("got job %v, then %v, want once, then none", got, next)
	}
}

// In random histories, the limits on concurrent jobs and descriptors are kept, the running time within any window
// exceeds its budget by at most one job, and every job that stays due runs.
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
				t.Fatal("Add refused a job below MaxJobs")
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
			j, askAgain := s.Next(now, false)
			if j == nil {
				if askAgain <= now {
					t.Fatal("Next returned no job and no later time at which to ask again")
				}
				continue
			}
			if s.spentTime >= float64(limits.WorkTime) {
				t.Fatal("a job was started beyond the budget of time")
			}
			running, lastRun[j] = append(running, j), now
			descriptors := 0
			for _, r := range running {
				descriptors += r.Descriptors
			}
			if len(running) > limits.MaxConcurrent || descriptors > limits.Descriptors {
				t.Fatalf("%d jobs with %d descriptors run at the same time, which is above a limit", len(running), descriptors)
			}
		}
		for _, j := range jobs {
			if now-lastRun[j] > 15*time.Second {
				t.Fatalf("a job of priority %d has not run for %v", j.Priority, now-lastRun[j])
			}
		}
	})
}
