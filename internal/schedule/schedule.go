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
	Window      time.Duration // over which time and bytes run off
	Time        time.Duration // of work within the window
	Bytes       int64         // within the window
	Descriptors int           // held at once
	AtOnce      int           // jobs that run at once
	Jobs        int           // that are known at once
	BusyFor     time.Duration // a job that waits for a quiet moment waits no longer than so, or than twice its period
}

// Ordinary limits leave nineteen twentieths of one core to the commands.
var Ordinary = Limits{Window: 10 * time.Second, Time: 500 * time.Millisecond, Bytes: 64 << 20, Descriptors: 16, AtOnce: 2,
	Jobs: 64, BusyFor: 30 * time.Second}

// Job is work that comes again and again, or once.
type Job struct {
	Name        string
	Priority    int           // a higher one goes first
	Every       time.Duration // 0: once
	Descriptors int
	Run         func() // for the runner; nothing here calls it

	dueAt   int64
	running bool
	gone    bool
	used    float64 // its time lately, running off: of equals the one that used least goes first
	usedAt  int64
	order   int
}

// Scheduler keeps the jobs. It is owned by one goroutine.
type Scheduler struct {
	limits  Limits
	chance  *seededrand.Source
	jobs    []*Job
	added   int
	running int
	held    int
	time    float64
	bytes   float64
	spentAt int64
}

// ErrFull says that as many jobs are known as may be.
var ErrFull = errors.New("as many jobs are known as may be")

// New takes the limits and a seed, by which gateways come apart.
func New(seed uint64, limits Limits) *Scheduler {
	return &Scheduler{chance: seededrand.New(seed), limits: limits}
}

// Add takes a job in: the first time is by lot within its period, and each further one up to a tenth of it later.
func (s *Scheduler) Add(j *Job, now int64) error {
	if len(s.jobs) >= s.limits.Jobs {
		return ErrFull
	}
	s.added++
	j.dueAt, j.order, j.gone, j.running = now+s.chance.Int64N(int64(j.Every)), s.added, false, false
	s.jobs = append(s.jobs, j)
	return nil
}

// Soon has a job come at once.
func (s *Scheduler) Soon(j *Job, now int64) { j.dueAt = min(j.dueAt, now) }

// Cancel takes a job out. One that runs is let go of at its end.
func (s *Scheduler) Cancel(j *Job) {
	j.gone = true
	for i, o := range s.jobs {
		if o == j {
			s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) fade(now int64) {
	left := math.Exp(-float64(max(0, now-s.spentAt)) / float64(s.limits.Window))
	s.time, s.bytes, s.spentAt = s.time*left, s.bytes*left, max(now, s.spentAt)
}

func (j *Job) lately(now int64, window time.Duration) float64 {
	return j.used * math.Exp(-float64(max(0, now-j.usedAt))/float64(window))
}

// Next gives the job that is to run now, if any, and when to ask again. While commands wait, only what has itself
// waited for long enough runs, one at a time.
func (s *Scheduler) Next(now int64, commandsWait bool) (*Job, int64) {
	s.fade(now)
	again := now + int64(s.limits.Window)
	if s.running >= s.limits.AtOnce || commandsWait && s.running > 0 {
		return nil, again // a job's end asks again
	}
	if s.time >= float64(s.limits.Time) || s.bytes >= float64(s.limits.Bytes) {
		return nil, now + s.recovers()
	}
	var best *Job
	for _, j := range s.jobs {
		if j.running {
			continue
		}
		at := j.dueAt
		if commandsWait {
			at += s.patience(j)
		}
		if at > now {
			again = min(again, at)
			continue
		}
		if s.held+j.Descriptors > s.limits.Descriptors {
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
	s.held += best.Descriptors
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
func (s *Scheduler) patience(j *Job) int64 {
	if j.Every > 0 {
		return int64(min(s.limits.BusyFor, 2*j.Every))
	}
	return int64(s.limits.BusyFor)
}

func (s *Scheduler) starves(j *Job, now int64) bool {
	return now-j.dueAt > int64(max(2*j.Every, s.limits.BusyFor))
}

// recovers is how long until the budgets allow a job again.
func (s *Scheduler) recovers() int64 {
	over := max(s.time/float64(s.limits.Time), s.bytes/float64(s.limits.Bytes), 1)
	return int64(math.Ceil(math.Log(over)*float64(s.limits.Window))) + int64(time.Millisecond)
}

// Ended tells that a job has ended, and what it took.
func (s *Scheduler) Ended(j *Job, took time.Duration, bytes int64, now int64) {
	if !j.running {
		return
	}
	s.fade(now)
	j.running = false
	s.running--
	s.held -= j.Descriptors
	s.time += float64(took)
	s.bytes += float64(bytes)
	j.used, j.usedAt = j.lately(now, s.limits.Window)+float64(took), now
	if j.Every == 0 && !j.gone {
		s.Cancel(j)
	}
	j.dueAt = now + int64(j.Every) + s.chance.Int64N(int64(j.Every/10))
}
