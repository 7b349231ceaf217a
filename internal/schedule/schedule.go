// Package schedule decides when work in the background may run, so that it never costs a command its time: by
// priority, with budgets of time, bytes and descriptors, fairly among equals. It does no I/O and reads no clock.
package schedule

import (
	"errors"
	"math"
	"time"

	"laurelring/internal/seededrand"
)

// Limits are the budgets of all jobs together.
type Limits struct {
	Window        time.Duration // over which time and bytes run off
	WorkTime      time.Duration // of work within the window
	Bytes         int64         // within the window
	Descriptors   int           // held at once
	MaxConcurrent int           // jobs that run at once
	MaxJobs       int           // that are known at once
	MaxDeferral   time.Duration // a job that waits for a quiet moment waits no longer than so, or than twice its period
}

// Ordinary limits leave nineteen twentieths of one core to the commands.
var DefaultLimits = Limits{Window: 10 * time.Second, WorkTime: 500 * time.Millisecond, Bytes: 64 << 20, Descriptors: 16, MaxConcurrent: 2,
	MaxJobs: 64, MaxDeferral: 30 * time.Second}

// Job is work that comes again and again, or once.
type Job struct {
	Name        string
	Priority    int           // a higher one goes first
	Period      time.Duration // 0: once
	Descriptors int
	Run         func() // for the runner; nothing here calls it

	dueAt    int64
	running  bool
	removed  bool
	usedTime float64 // its time lately, running off: of equals the one that used least goes first
	usedAt   int64
	order    int
}

// Scheduler keeps the jobs. It is owned by one goroutine.
type Scheduler struct {
	limits      Limits
	random      *seededrand.Source
	jobs        []*Job
	added       int
	running     int
	descriptors int
	spentTime   float64
	spentBytes  float64
	spentAt     int64
}

// ErrFull says that as many jobs are known as may be.
var ErrTooManyJobs = errors.New("as many jobs are known as may be")

// New takes the limits and a seed, by which gateways come apart.
func New(seed uint64, limits Limits) *Scheduler {
	return &Scheduler{random: seededrand.New(seed), limits: limits}
}

// Add takes a job in: the first time is by lot within its period, and each further one up to a tenth of it later.
func (s *Scheduler) Add(j *Job, now int64) error {
	if len(s.jobs) >= s.limits.MaxJobs {
		return ErrTooManyJobs
	}
	s.added++
	j.dueAt, j.order, j.removed, j.running = now+s.random.Int64N(int64(j.Period)), s.added, false, false
	s.jobs = append(s.jobs, j)
	return nil
}

// Soon has a job come at once.
func (s *Scheduler) RunSoon(j *Job, now int64) { j.dueAt = min(j.dueAt, now) }

// Cancel takes a job out. One that runs is let go of at its end.
func (s *Scheduler) Remove(j *Job) {
	j.removed = true
	for i, o := range s.jobs {
		if o == j {
			s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) decay(now int64) {
	left := math.Exp(-float64(max(0, now-s.spentAt)) / float64(s.limits.Window))
	s.spentTime, s.spentBytes, s.spentAt = s.spentTime*left, s.spentBytes*left, max(now, s.spentAt)
}

func (j *Job) lately(now int64, window time.Duration) float64 {
	return j.usedTime * math.Exp(-float64(max(0, now-j.usedAt))/float64(window))
}

// Next gives the job that is to run now, if any, and when to ask again. While commands wait, only what has itself
// waited for long enough runs, one at a time.
func (s *Scheduler) Next(now int64, commandsWait bool) (*Job, int64) {
	s.decay(now)
	again := now + int64(s.limits.Window)
	if s.running >= s.limits.MaxConcurrent || commandsWait && s.running > 0 {
		return nil, again // a job's end asks again
	}
	if s.spentTime >= float64(s.limits.WorkTime) || s.spentBytes >= float64(s.limits.Bytes) {
		return nil, now + s.recovers()
	}
	var best *Job
	for _, j := range s.jobs {
		if j.running {
			continue
		}
		at := j.dueAt
		if commandsWait {
			at += s.deferral(j)
		}
		if at > now {
			again = min(again, at)
			continue
		}
		if s.descriptors+j.Descriptors > s.limits.Descriptors {
			continue // an end frees them
		}
		if best == nil || s.before(j, best, now) {
			best = j
		}
	}
	if best == nil {
		return nil, again
	}
	best.running = true
	s.running++
	s.descriptors += best.Descriptors
	return best, now
}

// before tells which of two due jobs goes first: the higher priority, unless the other has waited twice its period;
// then the one that used less time lately, then the one that has been due for longer.
func (s *Scheduler) before(a, b *Job, now int64) bool {
	if starves := s.starves(a, now); starves != s.starves(b, now) {
		return starves
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if x, y := a.lately(now, s.limits.Window), b.lately(now, s.limits.Window); x != y {
		return x < y
	}
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.order < b.order
}

// patience is how long a job waits for a quiet moment: one that comes often does so for twice its period at most.
func (s *Scheduler) deferral(j *Job) int64 {
	if j.Period > 0 {
		return int64(min(s.limits.MaxDeferral, 2*j.Period))
	}
	return int64(s.limits.MaxDeferral)
}

func (s *Scheduler) starves(j *Job, now int64) bool {
	return now-j.dueAt > int64(max(2*j.Period, s.limits.MaxDeferral))
}

// recovers is how long until the budgets allow a job again.
func (s *Scheduler) recovers() int64 {
	over := max(s.spentTime/float64(s.limits.WorkTime), s.spentBytes/float64(s.limits.Bytes), 1)
	return int64(math.Ceil(math.Log(over)*float64(s.limits.Window))) + int64(time.Millisecond)
}

// Ended tells that a job has ended, and what it took.
func (s *Scheduler) Finish(j *Job, took time.Duration, bytes int64, now int64) {
	if !j.running {
		return
	}
	s.decay(now)
	j.running = false
	s.running--
	s.descriptors -= j.Descriptors
	s.spentTime += float64(took)
	s.spentBytes += float64(bytes)
	j.usedTime, j.usedAt = j.lately(now, s.limits.Window)+float64(took), now
	if j.Period == 0 && !j.removed {
		s.Remove(j)
	}
	j.dueAt = now + int64(j.Period) + s.random.Int64N(int64(j.Period/10))
}
