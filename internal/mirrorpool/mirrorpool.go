// Package mirrorpool decides from which mirror a file is fetched, when another is tried, and when a fetch is given up. It
// does no I/O and reads no clock: a driver obeys its steps and tells what came. Every fetch gets exactly one final
// outcome, before its time is up.
package mirrorpool

import (
	"math"
	"slices"
	"time"

	"laurelring/internal/seededrand"
)

// Limits bound each fetch, and all together.
type Limits struct {
	MaxAttempts            int           // of one fetch
	AttemptTimeout         time.Duration // one attempt takes at most
	StallTimeout           time.Duration // no byte comes for so long: it has stalled
	MinBytesPerSecond      int64         // bytes a second that an attempt brings at least, once
	RateGracePeriod        time.Duration // it has gone on for so long
	MaxConcurrentPerMirror int           // fetches under way at one mirror
	InitialBackoff         time.Duration // a mirror that failed is left alone for so long, twice as long at each further failure
	MaxBackoff             time.Duration
	BudgetBytes            int64         // all fetches may bring within
	BudgetWindow           time.Duration // this time
}

// Ordinary limits suit metadata and targets of some megabytes.
var DefaultLimits = Limits{MaxAttempts: 6, AttemptTimeout: 20 * time.Second, StallTimeout: 2 * time.Second, MinBytesPerSecond: 8 << 10,
	RateGracePeriod: 3 * time.Second, MaxConcurrentPerMirror: 4, InitialBackoff: time.Second, MaxBackoff: time.Minute,
	BudgetBytes: 256 << 20, BudgetWindow: time.Minute}

// How says how an attempt ended.
type AttemptOutcome uint8

// The ways. Brought: whole and trusted. Missing: the mirror does not have it. Bad: what came is not trusted. Large: it
// is longer than it may be. The others brought a part or nothing.
const (
	OutcomeCompleted AttemptOutcome = iota
	OutcomeNotFound
	OutcomeUnverified
	OutcomeTooLarge
	OutcomeStalled
	OutcomeTooSlow
	OutcomeClosedEarly
	OutcomeRefused
	OutcomeRedirected
	OutcomeTimedOut
	OutcomeCanceled // off by us
)

var outcomeTexts = [...]string{"brought", "missing", "bad", "too large", "stalled", "too slow", "closed early", "refused",
	"redirected", "took too long", "called off"}

// String names it for people, metrics and programs.
func (h AttemptOutcome) String() string { return outcomeTexts[h] }

// Mirror is one of them.
type Mirror struct {
	Name                string
	inFlight            int
	consecutiveFailures int
	backoffUntil        int64 // until then it is left alone
	draining            bool
	lastOutcome         AttemptOutcome
	served              int
	failed              int
}

// Pool is all the mirrors. It is owned by one goroutine.
type Pool struct {
	limits  Limits
	mirrors []*Mirror
	random  *seededrand.Source
	spent   float64 // bytes of the budget, running off with time
	spentAt int64
}

// NewPool takes the mirrors' names in the operator's order and a seed, by which gateways spread over them.
func NewPool(names []string, seed uint64, limits Limits) *Pool {
	p := &Pool{limits: limits, random: seededrand.New(seed)}
	for _, name := range names {
		p.mirrors = append(p.mirrors, &Mirror{Name: name})
	}
	return p
}

// Drain has nothing new go to a mirror from here on; what is under way there goes on. It tells whether there is one.
func (p *Pool) SetDraining(name string, on bool) bool {
	for _, m := range p.mirrors {
		if m.Name == name {
			m.draining = on
			return true
		}
	}
	return false
}

// Drained has nothing new go to these mirrors, and to all others again.
func (p *Pool) SetDrainingMirrors(names []string) {
	for _, m := range p.mirrors {
		m.draining = slices.Contains(names, m.Name)
	}
}

// Act is what the driver is to do.
type Act uint8

// Try: ask To for the file from the byte From on, until Until. Wait: come back at Until. Over: the fetch has ended.
const (
	Try Act = iota
	Wait
	Over
)

// Step is what to do next for a fetch.
type Step struct {
	Act   Act
	To    *Mirror
	From  int64
	Until int64
}

// Fetch is one file on its way. Its outcome is final once Over.
type Fetch struct {
	pool        *Pool
	maxBytes    int64 // bytes
	deadline    int64
	mirror      *Mirror // under way there
	startedAt   int64
	received    int64 // bytes of this attempt
	receivedAt  int64
	verified    int64 // bytes that are verified
	attempts    int
	tried       map[*Mirror]int
	notFound    int
	lastOutcome AttemptOutcome // how the last attempt ended
	done        bool
	outcome     AttemptOutcome
}

// Begin begins a fetch of a file of so many bytes at most, to be over by a moment.
func (p *Pool) NewFetch(most, until int64) *Fetch {
	return &Fetch{pool: p, maxBytes: most, deadline: until, tried: map[*Mirror]int{}, outcome: OutcomeRefused}
}

// Next tells what to do now, while nothing is under way.
func (f *Fetch) NextStep(now int64) Step {
	p := f.pool
	switch {
	case f.done || f.mirror != nil:
		return Step{Act: Over}
	case now >= f.deadline:
		return f.end(OutcomeTimedOut)
	case f.attempts >= p.limits.MaxAttempts:
		return f.end(f.outcome)
	}
	if at := p.affordable(now, f.maxBytes-f.verified); at > now {
		if at >= f.deadline {
			return f.end(OutcomeTimedOut)
		}
		return Step{Act: Wait, Until: at}
	}
	to, at := p.pick(f, now)
	switch {
	case to == nil && at == math.MaxInt64:
		return f.end(f.outcome)
	case to == nil && at >= f.deadline: // it would come too late: the answer goes out at once
		return f.end(f.outcome)
	case to == nil:
		return Step{Act: Wait, Until: at}
	}
	f.mirror, f.startedAt, f.received, f.receivedAt = to, now, 0, now
	f.attempts++
	f.tried[to]++
	to.inFlight++
	return Step{Act: Try, To: to, From: f.verified, Until: min(f.deadline, now+int64(p.limits.AttemptTimeout))}
}

// pick draws among the mirrors that are not left alone and that this fetch has tried least; where all are left alone
// it gives the moment at which the first is not.
func (p *Pool) pick(f *Fetch, now int64) (*Mirror, int64) {
	var some []*Mirror
	least, at := math.MaxInt, int64(math.MaxInt64)
	for _, m := range p.mirrors {
		if m.draining {
			continue
		}
		if m.inFlight >= p.limits.MaxConcurrentPerMirror {
			at = min(at, now+int64(p.limits.StallTimeout))
			continue
		}
		if now < m.backoffUntil {
			at = min(at, m.backoffUntil)
			continue
		}
		if n := f.tried[m]; n < least {
			some, least = nil, n
		}
		if f.tried[m] == least {
			some = append(some, m)
		}
	}
	if len(some) == 0 {
		return nil, at
	}
	return some[p.random.Int64N(int64(len(some)))], now
}

// affordable is the moment at which the budget of bytes allows so many more.
func (p *Pool) affordable(now, more int64) int64 {
	rate := float64(p.limits.BudgetBytes) / float64(p.limits.BudgetWindow)
	p.spent = max(0, p.spent-rate*float64(max(0, now-p.spentAt)))
	p.spentAt = max(now, p.spentAt)
	over := p.spent + float64(min(more, p.limits.BudgetBytes)) - float64(p.limits.BudgetBytes)
	if over <= 0 {
		return now
	}
	return now + int64(math.Ceil(over/rate))
}

// Came tells that bytes came, and how many of the file are verified by now; it tells whether to go on. Where not, the
// attempt has ended.
func (f *Fetch) Received(n, verified, now int64) bool {
	if f.mirror == nil {
		return false
	}
	f.received += n
	f.pool.spent += float64(n)
	f.verified = max(f.verified, verified)
	if n > 0 {
		f.receivedAt = now
	}
	if f.received > f.maxBytes { // also where a part was asked for and all comes
		f.FinishAttempt(OutcomeTooLarge, now)
		return false
	}
	return f.CheckAttempt(now)
}

// Whole tells whether all that the file may be is verified.
func (f *Fetch) IsComplete(verified int64) bool { return verified > 0 && verified == f.maxBytes }

// Check tells whether an attempt may go on; it is asked when bytes come, and by CheckAt.
func (f *Fetch) CheckAttempt(now int64) bool {
	l := &f.pool.limits
	going := now - f.startedAt
	switch {
	case f.mirror == nil:
		return false
	case now >= f.deadline || going >= int64(l.AttemptTimeout):
		f.FinishAttempt(OutcomeTimedOut, now)
	case now-f.receivedAt >= int64(l.StallTimeout):
		f.FinishAttempt(OutcomeStalled, now)
	case going >= int64(l.RateGracePeriod) && float64(f.received) < float64(l.MinBytesPerSecond)*float64(going)/float64(time.Second):
		f.FinishAttempt(OutcomeTooSlow, now)
	default:
		return true
	}
	return false
}

// CheckAt is when an attempt is to be checked next if nothing comes.
func (f *Fetch) NextCheck() int64 {
	l := &f.pool.limits
	at := min(f.deadline, f.startedAt+int64(l.AttemptTimeout), f.receivedAt+int64(l.StallTimeout))
	if l.MinBytesPerSecond > 0 { // when what has come is too little for the pace
		at = min(at, max(f.startedAt+int64(l.RateGracePeriod), f.startedAt+f.received*int64(time.Second)/l.MinBytesPerSecond+1))
	}
	return at
}

// Ended tells how an attempt ended. A mirror that does not have what another may have is no fault of its; any other
// failure has it left alone, longer each time, by lot, so that gateways do not come back at once.
func (f *Fetch) FinishAttempt(how AttemptOutcome, now int64) {
	m := f.mirror
	if m == nil {
		return
	}
	f.mirror = nil
	m.inFlight--
	m.lastOutcome, f.lastOutcome = how, how
	p := f.pool
	switch how {
	case OutcomeCompleted:
		m.consecutiveFailures, m.backoffUntil = 0, 0
		m.served++
		f.end(OutcomeCompleted)
	case OutcomeNotFound:
		f.notFound++
		if f.outcome = OutcomeNotFound; f.notFound >= 2 || !p.others(f, now) {
			f.end(OutcomeNotFound)
		}
	case OutcomeCanceled:
		f.end(OutcomeCanceled)
	default:
		m.consecutiveFailures++
		m.failed++
		pause := min(p.limits.MaxBackoff, p.limits.InitialBackoff<<min(m.consecutiveFailures-1, 16))
		m.backoffUntil = now + int64(pause+p.random.Duration(pause))
		f.outcome = how
	}
}

// others tells whether a mirror that this fetch has not asked can be asked now. One alone may hide a file, until what
// it still shows expires; where no other can be asked, its word stands.
func (p *Pool) others(f *Fetch, now int64) bool {
	for _, m := range p.mirrors {
		if !m.draining && now >= m.backoffUntil && f.tried[m] == 0 {
			return true
		}
	}
	return false
}

// Misses is how many mirrors said that they do not have the file.
func (f *Fetch) NotFoundCount() int { return f.notFound }

// Restart begins a file anew: what was verified turned out to be another file's.
func (f *Fetch) Restart() { f.verified = 0 }

func (f *Fetch) end(how AttemptOutcome) Step {
	if !f.done {
		f.done, f.outcome = true, how
	}
	return Step{Act: Over}
}

// Give ends a fetch by the caller's will.
func (f *Fetch) Cancel(now int64) {
	f.FinishAttempt(OutcomeCanceled, now)
	f.end(OutcomeCanceled)
}

// Outcome is how the fetch ended; it has none before.
func (f *Fetch) Outcome() (how AttemptOutcome, over bool) { return f.outcome, f.done }

// Last is how the last attempt ended, if one has, and none is under way.
func (f *Fetch) LastAttempt() (how AttemptOutcome, ended bool) {
	return f.lastOutcome, f.mirror == nil && f.attempts > 0
}

// State is what is known of a mirror.
type MirrorState struct {
	Name        string `json:"mirror"`
	Backoff     int64  `json:"aside_ns,omitempty"` // how long it is still left alone
	Draining    bool   `json:"draining,omitempty"`
	LastOutcome string `json:"last"`
	Served      int    `json:"served"`
	Failed      int    `json:"failed"`
}

// States tells what is known of the mirrors, in the operator's order.
func (p *Pool) States(now int64) []MirrorState {
	var all []MirrorState
	for _, m := range p.mirrors {
		last := "never asked"
		if m.served+m.failed > 0 || m.lastOutcome != OutcomeCompleted {
			last = m.lastOutcome.String()
		}
		all = append(all, MirrorState{m.Name, max(0, m.backoffUntil-now), m.draining, last, m.served, m.failed})
	}
	return all
}
