// Package mirrorpool decides from which mirror a file is fetched, when another mirror is tried, and when a fetch is
// given up. It does no I/O and reads no clock: a driver executes the steps it returns and reports what it received.
// Each fetch has exactly one final outcome, before its deadline.
package mirrorpool

import (
	"math"
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/internal/seededrand"
)

// Limits bound each fetch, and all fetches together.
type Limits struct {
	MaxAttempts            int           // of one fetch
	AttemptTimeout         time.Duration // of one attempt
	StallTimeout           time.Duration // without a byte, after which an attempt has stalled
	MinBytesPerSecond      int64         // average rate of an attempt, 0 for none,
	RateGracePeriod        time.Duration // demanded after this time
	MaxConcurrentPerMirror int           // fetches in flight at one mirror
	InitialBackoff         time.Duration // of a mirror after its first failure; doubles with each further one
	MaxBackoff             time.Duration
	BudgetBytes            int64         // of all fetches within
	BudgetWindow           time.Duration // this window
}

// DefaultLimits suit metadata and targets of some megabytes.
var DefaultLimits = Limits{
	MaxAttempts:            6,
	AttemptTimeout:         20 * time.Second,
	StallTimeout:           2 * time.Second,
	MinBytesPerSecond:      8 << 10,
	RateGracePeriod:        3 * time.Second,
	MaxConcurrentPerMirror: 4,
	InitialBackoff:         time.Second,
	MaxBackoff:             time.Minute,
	BudgetBytes:            256 << 20,
	BudgetWindow:           time.Minute,
}

// maxBackoffDoublings bounds the shift that doubles a backoff.
const maxBackoffDoublings = 16

// Mirror is one mirror with its health.
type Mirror struct {
	Name string // its URL

	inFlight            int
	consecutiveFailures int
	backoffUntil        monotonic.Time
	draining            bool
	lastOutcome         AttemptOutcome
	served              int
	failed              int
}

// succeeded ends the mirror's backoff.
func (m *Mirror) succeeded() {
	m.consecutiveFailures, m.backoffUntil = 0, 0
	m.served++
}

// Pool holds the mirrors and the budget of bytes. It is not safe for concurrent use.
type Pool struct {
	limits  Limits
	mirrors []*Mirror
	random  *seededrand.Source

	spentBytes float64 // of the budget, decreasing with time
	spentAt    monotonic.Time
}

// NewPool returns a pool of mirrors, named in the operator's order. Gateways with different seeds spread over the
// mirrors.
func NewPool(names []string, seed uint64, limits Limits) *Pool {
	p := &Pool{limits: limits, random: seededrand.New(seed)}
	for _, name := range names {
		p.mirrors = append(p.mirrors, &Mirror{Name: name})
	}
	return p
}

// SetDraining sets whether a mirror drains: it gets no new attempts, while those in flight go on. It returns false for
// an unknown mirror.
func (p *Pool) SetDraining(name string, draining bool) bool {
	for _, mirror := range p.mirrors {
		if mirror.Name == name {
			mirror.draining = draining
			return true
		}
	}
	return false
}

// SetDrainingMirrors sets which mirrors drain; all others do not.
func (p *Pool) SetDrainingMirrors(names []string) {
	for _, mirror := range p.mirrors {
		mirror.draining = slices.Contains(names, mirror.Name)
	}
}

// never is later than any moment.
const never = monotonic.Time(math.MaxInt64)

// pick draws among the available mirrors that the fetch has tried least. Where none is available it returns the moment
// at which the first one will be, or never.
func (p *Pool) pick(f *Fetch, now monotonic.Time) (*Mirror, monotonic.Time) {
	var candidates []*Mirror
	fewestTries, availableAt := math.MaxInt, never
	for _, mirror := range p.mirrors {
		if mirror.draining {
			continue
		}
		if mirror.inFlight >= p.limits.MaxConcurrentPerMirror {
			availableAt = min(availableAt, now+p.limits.StallTimeout)
			continue
		}
		if now < mirror.backoffUntil {
			availableAt = min(availableAt, mirror.backoffUntil)
			continue
		}
		tries := f.tries[mirror]
		if tries < fewestTries {
			candidates, fewestTries = nil, tries
		}
		if tries == fewestTries {
			candidates = append(candidates, mirror)
		}
	}
	if len(candidates) == 0 {
		return nil, availableAt
	}
	return candidates[p.random.Int64N(int64(len(candidates)))], now
}

// hasUntried reports whether a mirror that the fetch has not tried is available now.
func (p *Pool) hasUntried(f *Fetch, now monotonic.Time) bool {
	for _, mirror := range p.mirrors {
		if !mirror.draining && now >= mirror.backoffUntil && f.tries[mirror] == 0 {
			return true
		}
	}
	return false
}

// backOff keeps new attempts away from a mirror that failed: for a backoff that doubles with each consecutive failure,
// and a random part as long again, so that gateways do not come back at once.
func (p *Pool) backOff(mirror *Mirror, now monotonic.Time) {
	mirror.consecutiveFailures++
	mirror.failed++
	doublings := min(mirror.consecutiveFailures-1, maxBackoffDoublings)
	backoff := min(p.limits.MaxBackoff, p.limits.InitialBackoff<<doublings)
	mirror.backoffUntil = now + backoff + p.random.Duration(backoff)
}

// affordableAt returns the moment from which on the budget allows further bytes.
func (p *Pool) affordableAt(now monotonic.Time, bytes int64) monotonic.Time {
	rate := float64(p.limits.BudgetBytes) / float64(p.limits.BudgetWindow)
	p.spentBytes = max(0, p.spentBytes-rate*float64(max(0, now-p.spentAt)))
	p.spentAt = max(now, p.spentAt)
	excess := p.spentBytes + float64(min(bytes, p.limits.BudgetBytes)) - float64(p.limits.BudgetBytes)
	if excess <= 0 {
		return now
	}
	return now + time.Duration(math.Ceil(excess/rate))
}

// MirrorState is what operators are shown of a mirror. Its JSON form is part of what gatewayctl prints.
type MirrorState struct {
	Name        string        `json:"mirror"`
	Backoff     time.Duration `json:"aside_ns,omitempty"` // that remains
	Draining    bool          `json:"draining,omitempty"`
	LastOutcome string        `json:"last"`
	Served      int           `json:"served"`
	Failed      int           `json:"failed"`
}

// States returns the state of each mirror, in the operator's order.
func (p *Pool) States(now monotonic.Time) []MirrorState {
	var states []MirrorState
	for _, mirror := range p.mirrors {
		lastOutcome := "never asked"
		if mirror.served+mirror.failed > 0 || mirror.lastOutcome != OutcomeCompleted {
			lastOutcome = mirror.lastOutcome.String()
		}
		states = append(states, MirrorState{
			Name:        mirror.Name,
			Backoff:     max(0, mirror.backoffUntil-now),
			Draining:    mirror.draining,
			LastOutcome: lastOutcome,
			Served:      mirror.served,
			Failed:      mirror.failed,
		})
	}
	return states
}
