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
	Attempts   int           // of one fetch
	Each       time.Duration // one attempt takes at most
	Stall      time.Duration // no byte comes for so long: it has stalled
	Pace       int64         // bytes a second that an attempt brings at least, once
	PaceAfter  time.Duration // it has gone on for so long
	AtOnce     int           // fetches under way at one mirror
	AsideFirst time.Duration // a mirror that failed is left alone for so long, twice as long at each further failure
	AsideMost  time.Duration
	Bytes      int64         // all fetches may bring within
	Within     time.Duration // this time
}

// Ordinary limits suit metadata and targets of some megabytes.
var Ordinary = Limits{Attempts: 6, Each: 20 * time.Second, Stall: 2 * time.Second, Pace: 8 << 10,
	PaceAfter: 3 * time.Second, AtOnce: 4, AsideFirst: time.Second, AsideMost: time.Minute,
	Bytes: 256 << 20, Within: time.Minute}

// How says how an attempt ended.
type How uint8

// The ways. Brought: whole and trusted. Missing: the mirror does not have it. Bad: what came is not trusted. Large: it
// is longer than it may be. The others brought a part or nothing.
const (
	Brought How = iota
	Missing
	Bad
	Large
	Stalled
	Slow
	Closed
	Refused
	Redirected
	TookTooLong
	Called // off by us
)

var hows = [...]string{"brought", "missing", "bad", "too large", "stalled", "too slow", "closed early", "refused",
	"redirected", "took too long", "called off"}

// String names it for people, metrics and programs.
func (h How) String() string { return hows[h] }

// Mirror is one of them.
type Mirror struct {
	Name    string
	inHand  int
	strikes int
	asideAt int64 // until then it is left alone
	leaving bool
	last    How
	served  int
	failed  int
}

// Pool is all the mirrors. It is owned by one goroutine.
type Pool struct {
	limits  Limits
	mirrors []*Mirror
	chance  *seededrand.Source
	spent   float64 // bytes of the budget, running off with time
	spentAt int64
}

// NewPool takes the mirrors' names in the operator's order and a seed, by which gateways spread over them.
func NewPool(names []string, seed uint64, limits Limits) *Pool {
	p := &Pool{limits: limits, chance: seededrand.New(seed)}
	for _, name := range names {
		p.mirrors = append(p.mirrors, &Mirror{Name: name})
	}
	return p
}

// Drain has nothing new go to a mirror from here on; what is under way there goes on. It tells whether there is one.
func (p *Pool) Drain(name string, on bool) bool {
	for _, m := range p.mirrors {
		if m.Name == name {
			m.leaving = on
			return true
		}
	}
	return false
}

// Drained has nothing new go to these mirrors, and to all others again.
func (p *Pool) Drained(names []string) {
	for _, m := range p.mirrors {
		m.leaving = slices.Contains(names, m.Name)
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
	pool     *Pool
	most     int64 // bytes
	until    int64
	to       *Mirror // under way there
	begunAt  int64
	came     int64 // bytes of this attempt
	cameAt   int64
	have     int64 // bytes that are verified
	attempts int
	tried    map[*Mirror]int
	missing  int
	last     How // how the last attempt ended
	over     bool
	how      How
}

// Begin begins a fetch of a file of so many bytes at most, to be over by a moment.
func (p *Pool) Begin(most, until int64) *Fetch {
	return &Fetch{pool: p, most: most, until: until, tried: map[*Mirror]int{}, how: Refused}
}

// Next tells what to do now, while nothing is under way.
func (f *Fetch) Next(now int64) Step {
	p := f.pool
	switch {
	case f.over || f.to != nil:
		return Step{Act: Over}
	case now >= f.until:
		return f.end(TookTooLong)
	case f.attempts >= p.limits.Attempts:
		return f.end(f.how)
	}
	if at := p.affordable(now, f.most-f.have); at > now {
		if at >= f.until {
			return f.end(TookTooLong)
		}
		return Step{Act: Wait, Until: at}
	}
	to, at := p.pick(f, now)
	switch {
	case to == nil && at == math.MaxInt64:
		return f.end(f.how)
	case to == nil && at >= f.until: // it would come too late: the answer goes out at once
		return f.end(f.how)
	case to == nil:
		return Step{Act: Wait, Until: at}
	}
	f.to, f.begunAt, f.came, f.cameAt = to, now, 0, now
	f.attempts++
	f.tried[to]++
	to.inHand++
	return Step{Act: Try, To: to, From: f.have, Until: min(f.until, now+int64(p.limits.Each))}
}

// pick draws among the mirrors that are not left alone and that this fetch has tried least; where all are left alone
// it gives the moment at which the first is not.
func (p *Pool) pick(f *Fetch, now int64) (*Mirror, int64) {
	var some []*Mirror
	least, at := math.MaxInt, int64(math.MaxInt64)
	for _, m := range p.mirrors {
		if m.leaving {
			continue
		}
		if m.inHand >= p.limits.AtOnce {
			at = min(at, now+int64(p.limits.Stall))
			continue
		}
		if now < m.asideAt {
			at = min(at, m.asideAt)
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
	return some[p.chance.Int64N(int64(len(some)))], now
}

// affordable is the moment at which the budget of bytes allows so many more.
func (p *Pool) affordable(now, more int64) int64 {
	rate := float64(p.limits.Bytes) / float64(p.limits.Within)
	p.spent = max(0, p.spent-rate*float64(max(0, now-p.spentAt)))
	p.spentAt = max(now, p.spentAt)
	over := p.spent + float64(min(more, p.limits.Bytes)) - float64(p.limits.Bytes)
	if over <= 0 {
		return now
	}
	return now + int64(math.Ceil(over/rate))
}

// Came tells that bytes came, and how many of the file are verified by now; it tells whether to go on. Where not, the
// attempt has ended.
func (f *Fetch) Came(n, verified, now int64) bool {
	if f.to == nil {
		return false
	}
	f.came += n
	f.pool.spent += float64(n)
	f.have = max(f.have, verified)
	if n > 0 {
		f.cameAt = now
	}
	if f.came > f.most { // also where a part was asked for and all comes
		f.Ended(Large, now)
		return false
	}
	return f.Check(now)
}

// Whole tells whether all that the file may be is verified.
func (f *Fetch) Whole(verified int64) bool { return verified > 0 && verified == f.most }

// Check tells whether an attempt may go on; it is asked when bytes come, and by CheckAt.
func (f *Fetch) Check(now int64) bool {
	l := &f.pool.limits
	going := now - f.begunAt
	switch {
	case f.to == nil:
		return false
	case now >= f.until || going >= int64(l.Each):
		f.Ended(TookTooLong, now)
	case now-f.cameAt >= int64(l.Stall):
		f.Ended(Stalled, now)
	case going >= int64(l.PaceAfter) && float64(f.came) < float64(l.Pace)*float64(going)/float64(time.Second):
		f.Ended(Slow, now)
	default:
		return true
	}
	return false
}

// CheckAt is when an attempt is to be checked next if nothing comes.
func (f *Fetch) CheckAt() int64 {
	l := &f.pool.limits
	at := min(f.until, f.begunAt+int64(l.Each), f.cameAt+int64(l.Stall))
	if l.Pace > 0 { // when what has come is too little for the pace
		at = min(at, max(f.begunAt+int64(l.PaceAfter), f.begunAt+f.came*int64(time.Second)/l.Pace+1))
	}
	return at
}

// Ended tells how an attempt ended. A mirror that does not have what another may have is no fault of its; any other
// failure has it left alone, longer each time, by lot, so that gateways do not come back at once.
func (f *Fetch) Ended(how How, now int64) {
	m := f.to
	if m == nil {
		return
	}
	f.to = nil
	m.inHand--
	m.last, f.last = how, how
	p := f.pool
	switch how {
	case Brought:
		m.strikes, m.asideAt = 0, 0
		m.served++
		f.end(Brought)
	case Missing:
		f.missing++
		if f.how = Missing; f.missing >= 2 || !p.others(f, now) {
			f.end(Missing)
		}
	case Called:
		f.end(Called)
	default:
		m.strikes++
		m.failed++
		pause := min(p.limits.AsideMost, p.limits.AsideFirst<<min(m.strikes-1, 16))
		m.asideAt = now + int64(pause+p.chance.Duration(pause))
		f.how = how
	}
}

// others tells whether a mirror that this fetch has not asked can be asked now. One alone may hide a file, until what
// it still shows expires; where no other can be asked, its word stands.
func (p *Pool) others(f *Fetch, now int64) bool {
	for _, m := range p.mirrors {
		if !m.leaving && now >= m.asideAt && f.tried[m] == 0 {
			return true
		}
	}
	return false
}

// Misses is how many mirrors said that they do not have the file.
func (f *Fetch) Misses() int { return f.missing }

// Restart begins a file anew: what was verified turned out to be another file's.
func (f *Fetch) Restart() { f.have = 0 }

func (f *Fetch) end(how How) Step {
	if !f.over {
		f.over, f.how = true, how
	}
	return Step{Act: Over}
}

// Give ends a fetch by the caller's will.
func (f *Fetch) Give(now int64) {
	f.Ended(Called, now)
	f.end(Called)
}

// Outcome is how the fetch ended; it has none before.
func (f *Fetch) Outcome() (how How, over bool) { return f.how, f.over }

// Last is how the last attempt ended, if one has, and none is under way.
func (f *Fetch) Last() (how How, ended bool) { return f.last, f.to == nil && f.attempts > 0 }

// State is what is known of a mirror.
type State struct {
	Name    string `json:"mirror"`
	Aside   int64  `json:"aside_ns,omitempty"` // how long it is still left alone
	Leaving bool   `json:"draining,omitempty"`
	Last    string `json:"last"`
	Served  int    `json:"served"`
	Failed  int    `json:"failed"`
}

// States tells what is known of the mirrors, in the operator's order.
func (p *Pool) States(now int64) []State {
	var all []State
	for _, m := range p.mirrors {
		last := "never asked"
		if m.served+m.failed > 0 || m.last != Brought {
			last = m.last.String()
		}
		all = append(all, State{m.Name, max(0, m.asideAt-now), m.leaving, last, m.served, m.failed})
	}
	return all
}
