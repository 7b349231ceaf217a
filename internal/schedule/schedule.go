// Package schedule decides when background jobs run, so that they never delay requests. It orders jobs by priority,
// keeps them within budgets of time, bytes and descriptors, and is fair among jobs of equal priority. It does no I/O
// and reads no clock.
package schedule

import (
	"errors"
	"math"
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/internal/seededrand"
)

// Limits holds the limits and budgets of all jobs together.
type Limits struct {
	Window        time.Duration // time constant of the exponential decay of the time and bytes spent
	WorkTime      time.Duration // budget of running time within the window
	Bytes         int64         // budget of transferred bytes within the window
	Descriptors   int           // maximum number held by running jobs at the same time
	MaxConcurrent int           // maximum number of jobs that run at the same time
	MaxJobs       int           // maximum number of jobs in the scheduler
	MaxDeferral   time.Duration // longest wait of a due job for requests to clear; twice its period if that is less
}

// DefaultLimits leaves 95% of one core to requests.
var DefaultLimits = Limits{
	Window:        10 * time.Second,
	WorkTime:      500 * time.Millisecond,
	Bytes:         64 << 20,
	Descriptors:   16,
	MaxConcurrent: 2,
	MaxJobs:       64,
	MaxDeferral:   30 * time.Second,
}

// A job's next run is delayed by a random time of up to its period divided by jitterDivisor.
const jitterDivisor = 10

// Job is background work that runs periodically or once. Its owner runs it, and the scheduler only decides when.
type Job struct {
	Name        string
	Priority    int           // jobs with higher values run first
	Period      time.Duration // 0 for a job that runs once
	Descriptors int           // number of descriptors that the job holds while it runs

	dueAt    monotonic.Time
	running  bool
	removed  bool
	usedTime float64        // decaying running time; of jobs with equal priority, the one with the least runs first
	usedAt   monotonic.Time // time to which usedTime has decayed
	order    int            // number of the job in the order in which jobs were added
}

// Scheduler holds the jobs and decides which job runs next. It is not safe for concurrent use.
type Scheduler struct {
	limits      Limits
	random      *seededrand.Source
	jobs        []*Job
	jobsAdded   int
	running     int
	descriptors int            // held by running jobs
	spentTime   float64        // decaying running time of all jobs
	spentBytes  float64        // decaying number of transferred bytes
	spentAt     monotonic.Time // time to which spentTime and spentBytes have decayed
}

// ErrTooManyJobs is returned by Add if the scheduler already holds Limits.MaxJobs jobs.
var ErrTooManyJobs = errors.New("too many background jobs")

// New returns a scheduler without jobs. Gateways with different seeds run their jobs at different times.
func New(seed uint64, limits Limits) *Scheduler {
	return &Scheduler{random: seededrand.New(seed), limits: limits}
}

// Add adds a job. Its first run is due at a random time within its period. Each further run is due one period after the
// end of the previous run, plus a random delay of up to a tenth of the period.
func (s *Scheduler) Add(job *Job, now monotonic.Time) error {
	if len(s.jobs) >= s.limits.MaxJobs {
		return ErrTooManyJobs
	}
	s.jobsAdded++
	job.dueAt = now + s.random.Duration(job.Period)
	job.order, job.removed, job.running = s.jobsAdded, false, false
	s.jobs = append(s.jobs, job)
	return nil
}

// RunSoon makes a job due now unless it is due already.
func (s *Scheduler) RunSoon(job *Job, now monotonic.Time) { job.dueAt = min(job.dueAt, now) }

// Remove removes a job. A running job holds its descriptors until Finish is called.
func (s *Scheduler) Remove(job *Job) {
	job.removed = true
	if i := slices.Index(s.jobs, job); i >= 0 {
		s.jobs = slices.Delete(s.jobs, i, i+1)
	}
}

// decay applies the decay of the time and bytes spent up to now.
func (s *Scheduler) decay(now monotonic.Time) {
	factor := math.Exp(-float64(max(0, now-s.spentAt)) / float64(s.limits.Window))
	s.spentTime, s.spentBytes, s.spentAt = s.spentTime*factor, s.spentBytes*factor, max(now, s.spentAt)
}

// recentTime returns the decaying running time of the job at the given time.
func (j *Job) recentTime(now monotonic.Time, window time.Duration) float64 {
	return j.usedTime * math.Exp(-float64(max(0, now-j.usedAt))/float64(window))
}

// Next returns the job to run now, which counts as running until Finish is called. If there is none, Next returns nil
// and the time at which to ask again. While requests wait, a job runs only after its maximum deferral, and no other job
// runs at the same time.
func (s *Scheduler) Next(now monotonic.Time, requestsWaiting bool) (*Job, monotonic.Time) {
	s.decay(now)
	askAgain := now + s.limits.Window
	if s.running >= s.limits.MaxConcurrent || requestsWaiting && s.running > 0 {
		return nil, askAgain // a running job has to end first
	}
	if s.spentTime >= float64(s.limits.WorkTime) || s.spentBytes >= float64(s.limits.Bytes) {
		return nil, now + s.recoveryTime()
	}
	var next *Job
	for _, job := range s.jobs {
		if job.running {
			continue
		}
		runAt := job.dueAt
		if requestsWaiting {
			runAt += s.deferral(job)
		}
		if runAt > now {
			askAgain = min(askAgain, runAt)
			continue
		}
		if s.descriptors+job.Descriptors > s.limits.Descriptors {
			continue // wait for another job to end
		}
		if next == nil || s.precedes(job, next, now) {
			next = job
		}
	}
	if next == nil {
		return nil, askAgain
	}
	next.running = true
	s.running++
	s.descriptors += next.Descriptors
	return next, now
}

// precedes reports whether a due job runs before another. Starved jobs come first. Then the order is by priority, by
// recent running time, the least first, by due time, and by the order in which the jobs were added.
func (s *Scheduler) precedes(job, other *Job, now monotonic.Time) bool {
	if starved := s.isStarved(job, now); starved != s.isStarved(other, now) {
		return starved
	}
	if job.Priority != other.Priority {
		return job.Priority > other.Priority
	}
	jobTime, otherTime := job.recentTime(now, s.limits.Window), other.recentTime(now, s.limits.Window)
	if jobTime != otherTime {
		return jobTime < otherTime
	}
	return job.dueAt < other.dueAt || job.dueAt == other.dueAt && job.order < other.order
}

// deferral returns the maximum time for which a due job is deferred while requests wait.
func (s *Scheduler) deferral(job *Job) time.Duration {
	if job.Period > 0 {
		return min(s.limits.MaxDeferral, 2*job.Period)
	}
	return s.limits.MaxDeferral
}

func (s *Scheduler) isStarved(job *Job, now monotonic.Time) bool {
	return now-job.dueAt > max(2*job.Period, s.limits.MaxDeferral)
}

// recoveryTime returns the time until the time and bytes spent have decayed to the budgets.
func (s *Scheduler) recoveryTime() time.Duration {
	excess := max(s.spentTime/float64(s.limits.WorkTime), s.spentBytes/float64(s.limits.Bytes), 1)
	return time.Duration(math.Ceil(math.Log(excess)*float64(s.limits.Window))) + time.Millisecond
}

// Finish records that a running job has ended, the time that it took and the number of bytes that it transferred. A job
// without a period is removed.
func (s *Scheduler) Finish(job *Job, took time.Duration, bytes int64, now monotonic.Time) {
	if !job.running {
		return
	}
	s.decay(now)
	job.running = false
	s.running--
	s.descriptors -= job.Descriptors
	s.spentTime += float64(took)
	s.spentBytes += float64(bytes)
	job.usedTime, job.usedAt = job.recentTime(now, s.limits.Window)+float64(took), now
	if job.Period == 0 && !job.removed {
		s.Remove(job)
	}
	job.dueAt = now + job.Period + s.random.Duration(job.Period/jitterDivisor)
}
