// Package schedule decides when background jobs run, so that they never delay requests: by priority, within budgets of
// time, bytes and descriptors, and fairly among jobs of equal priority. It does no I/O and reads no clock.
package schedule

import (
	"errors"
	"math"
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/internal/seededrand"
)

// Limits are the budgets of all jobs together.
type Limits struct {
	Window        time.Duration // time constant with which spent time and bytes decay
	WorkTime      time.Duration // within the window
	Bytes         int64         // within the window
	Descriptors   int           // held at once
	MaxConcurrent int           // jobs that run at once
	MaxJobs       int           // known at once
	MaxDeferral   time.Duration // a due job waits at most this long, or twice its period if that is less, for requests to clear
}

// DefaultLimits leave nineteen twentieths of one core to requests.
var DefaultLimits = Limits{
	Window:        10 * time.Second,
	WorkTime:      500 * time.Millisecond,
	Bytes:         64 << 20,
	Descriptors:   16,
	MaxConcurrent: 2,
	MaxJobs:       64,
	MaxDeferral:   30 * time.Second,
}

// jitterDivisor is the part of its period by which a job's next run is delayed at most, at random.
const jitterDivisor = 10

// Job is work that runs periodically, or once. Its owner executes it; the scheduler only says when.
type Job struct {
	Name        string
	Priority    int           // a higher one goes first
	Period      time.Duration // 0: once
	Descriptors int           // that it holds while it runs

	dueAt    monotonic.Time
	running  bool
	removed  bool
	usedTime float64 // of its runs, decaying: among equals the job that used least goes first
	usedAt   monotonic.Time
	order    int // in which jobs were added
}

// Scheduler holds the jobs. It is not safe for concurrent use.
type Scheduler struct {
	limits      Limits
	random      *seededrand.Source
	jobs        []*Job
	added       int
	running     int
	descriptors int     // held by running jobs
	spentTime   float64 // decaying
	spentBytes  float64 // decaying
	spentAt     monotonic.Time
}

// ErrTooManyJobs is returned by Add at Limits.MaxJobs.
var ErrTooManyJobs = errors.New("too many background jobs")

// New returns a scheduler without jobs. Gateways with different seeds run their jobs at different times.
func New(seed uint64, limits Limits) *Scheduler {
	return &Scheduler{random: seededrand.New(seed), limits: limits}
}

// Add adds a job. Its first run is at a random moment within its period, each further one a period after the end of the
// last and up to a tenth of the period later.
func (s *Scheduler) Add(job *Job, now monotonic.Time) error {
	if len(s.jobs) >= s.limits.MaxJobs {
		return ErrTooManyJobs
	}
	s.added++
	job.dueAt = now + s.random.Duration(job.Period)
	job.order, job.removed, job.running = s.added, false, false
	s.jobs = append(s.jobs, job)
	return nil
}

// RunSoon makes a job due now.
func (s *Scheduler) RunSoon(job *Job, now monotonic.Time) { job.dueAt = min(job.dueAt, now) }

// Remove removes a job. One that runs keeps its descriptors until Finish.
func (s *Scheduler) Remove(job *Job) {
	job.removed = true
	if i := slices.Index(s.jobs, job); i >= 0 {
		s.jobs = slices.Delete(s.jobs, i, i+1)
	}
}

// decay lets what was spent decay until now.
func (s *Scheduler) decay(now monotonic.Time) {
	factor := math.Exp(-float64(max(0, now-s.spentAt)) / float64(s.limits.Window))
	s.spentTime, s.spentBytes, s.spentAt = s.spentTime*factor, s.spentBytes*factor, max(now, s.spentAt)
}

// recentTime returns the time that the job used, decayed until now.
func (j *Job) recentTime(now monotonic.Time, window time.Duration) float64 {
	return j.usedTime * math.Exp(-float64(max(0, now-j.usedAt))/float64(window))
}

// Next returns the job to run now, which is then running until Finish, or nil and when to ask again. While requests
// wait a job runs only after it was deferred for as long as it may be, and alone.
func (s *Scheduler) Next(now monotonic.Time, requestsWait bool) (*Job, monotonic.Time) {
	s.decay(now)
	askAgain := now + s.limits.Window
	if s.running >= s.limits.MaxConcurrent || requestsWait && s.running > 0 {
		return nil, askAgain // the end of a job comes first
	}
	if s.spentTime >= float64(s.limits.WorkTime) || s.spentBytes >= float64(s.limits.Bytes) {
		return nil, now + s.recoveryTime()
	}
	var best *Job
	for _, job := range s.jobs {
		if job.running {
			continue
		}
		runAt := job.dueAt
		if requestsWait {
			runAt += s.deferral(job)
		}
		if runAt > now {
			askAgain = min(askAgain, runAt)
			continue
		}
		if s.descriptors+job.Descriptors > s.limits.Descriptors {
			continue // until a job ends
		}
		if best == nil || s.precedes(job, best, now) {
			best = job
		}
	}
	if best == nil {
		return nil, askAgain
	}
	best.running = true
	s.running++
	s.descriptors += best.Descriptors
	return best, now
}

// precedes reports whether a due job goes before another: a starved job first, then by priority, then the one that
// used less time lately, then the one that has been due for longer.
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

// deferral returns how long a due job waits for requests to clear.
func (s *Scheduler) deferral(job *Job) time.Duration {
	if job.Period > 0 {
		return min(s.limits.MaxDeferral, 2*job.Period)
	}
	return s.limits.MaxDeferral
}

func (s *Scheduler) isStarved(job *Job, now monotonic.Time) bool {
	return now-job.dueAt > max(2*job.Period, s.limits.MaxDeferral)
}

// recoveryTime returns how long until what was spent has decayed to the budgets.
func (s *Scheduler) recoveryTime() time.Duration {
	excess := max(s.spentTime/float64(s.limits.WorkTime), s.spentBytes/float64(s.limits.Bytes), 1)
	return time.Duration(math.Ceil(math.Log(excess)*float64(s.limits.Window))) + time.Millisecond
}

// Finish reports that a running job has ended, how long it ran and how many bytes it transferred. A job that runs once
// is removed.
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
