// Package mirrorpool decides from which mirror a file is fetched, when another mirror is tried, and when a fetch fails.
// It does no I/O and reads no clock: a driver executes the steps that a fetch returns and reports the received bytes.
// Each fetch has exactly one final outcome, by its deadline.
package mirrorpool

import (
	"math"
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/internal/seededrand"
)

// Limits bounds each fetch and the bandwidth of all fetches together.
type Limits struct {
	MaxAttempts            int           // maximum number of attempts of one fetch
	AttemptTimeout         time.Duration // maximum duration of one attempt
	StallTimeout           time.Duration // an attempt has stalled after this time without a byte
	MinBytesPerSecond      int64         // minimum average rate of an attempt, 0 for none
	RateGracePeriod        time.Duration // time after the start of an attempt before MinBytesPerSecond applies
	MaxConcurrentPerMirror int           // maximum number of attempts in flight at one mirror
	InitialBackoff         time.Duration // after the first failure of a mirror; doubles with each consecutive failure
	MaxBackoff             time.Duration // upper bound of the doubled backoff, without its random part
	BudgetBytes            int64         // maximum number of bytes that all fetches receive per BudgetWindow
	BudgetWindow           time.Duration // period of BudgetBytes
}

// DefaultLimits are suitable for metadata and targets of a few megabytes.
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

// Mirror is one mirror with the state that decides whether it gets attempts.
type Mirror struct {
	Name string // URL of the mirror

	inFlight            int
	consecutiveFailures int
	backoffUntil        monotonic.Time
	draining            bool
	lastOutcome         AttemptOutcome
	served              int
	failed              int
}

// recordSuccess counts a served file and ends the mirror's backoff.
func (m *Mirror) recordSuccess() {
	m.consecutiveFailures, m.backoffUntil = 0, 0
	m.served++
}

// Pool holds the mirrors and the byte budget of all fetches. It is not safe for concurrent use.
type Pool struct {
	limits  Limits
	mirrors []*Mirror
	random  *seededrand.Source

	spentBytes float64        // spent part of the byte budget, which decreases with time
	spentAt    monotonic.Time // time up to which spentBytes has been decreased
}

// NewPool returns a pool of the named mirrors, in the operator's order. The seed makes gateways choose different
// mirrors, which spreads their load.
func NewPool(names []string, seed uint64, limits Limits) *Pool {
	p := &Pool{limits: limits, random: seededrand.New(seed)}
	for _, name := range names {
		p.mirrors = append(p.mirrors, &Mirror{Name: name})
	}
	return p
}

// SetDraining sets whether a mirror is draining. A draining mirror gets no new attempts, but attempts in flight
// continue. SetDraining returns false if there is no mirror with this name.
func (p *Pool) SetDraining(name string, draining bool) bool {
	for _, mirror := range p.mirrors {
		if mirror.Name == name {
			mirror.draining = draining
			return true
		}
	}
	return false
}

// SetDrainingMirrors makes exactly the named mirrors draining.
func (p *Pool) SetDrainingMirrors(names []string) {
	for _, mirror := range p.mirrors {
		mirror.draining = slices.Contains(names, mirror.Name)
	}
}

// never is a time later than any other.
const never = monotonic.Time(math.MaxInt64)

// pickMirror chooses at random among the available mirrors that the fetch has tried least often. If no mirror is
// available, it returns the time at which to look again: the earliest end of a backoff, or StallTimeout from now if a
// mirror has too many attempts in flight. It returns never if all mirrors are draining.
func (p *Pool) pickMirror(f *Fetch, now monotonic.Time) (*Mirror, monotonic.Time) {
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

// hasUntriedMirror reports whether the fetch has not yet tried some mirror that is neither draining nor in backoff.
func (p *Pool) hasUntriedMirror(f *Fetch, now monotonic.Time) bool {
	for _, mirror := range p.mirrors {
		if !mirror.draining && now >= mirror.backoffUntil && f.tries[mirror] == 0 {
			return true
		}
	}
	return false
}

// recordFailure counts a failure and starts a backoff, in which the mirror gets no new attempts. The backoff doubles
// with each consecutive failure and is extended by a random part of up to its own length, so that gateways do not all
// return at the same time.
func (p *Pool) recordFailure(mirror *Mirror, now monotonic.Time) {
	mirror.consecutiveFailures++
	mirror.failed++
	doublings := min(mirror.consecutiveFailures-1, maxBackoffDoublings)
	backoff := min(p.limits.MaxBackoff, p.limits.InitialBackoff<<doublings)
	mirror.backoffUntil = now + backoff + p.random.Duration(backoff)
}

// withinBudgetAt returns the earliest time at which the byte budget allows a number of further bytes.
func (p *Pool) withinBudgetAt(now monotonic.Time, bytes int64) monotonic.Time {
	rate := float64(p.limits.BudgetBytes) / float64(p.limits.BudgetWindow)
	p.spentBytes = max(0, p.spentBytes-rate*float64(max(0, now-p.spentAt)))
	p.spentAt = max(now, p.spentAt)
	excess := p.spentBytes + float64(min(bytes, p.limits.BudgetBytes)) - float64(p.limits.BudgetBytes)
	if excess <= 0 {
		return now
	}
	return now + time.Duration(math.Ceil(excess/rate))
}

// MirrorState is the state of a mirror as shown to operators. Its JSON encoding is part of the output of gatewayctl.
type MirrorState struct {
	Name        string        `json:"mirror"`
	Backoff     time.Duration `json:"aside_ns,omitempty"` // remaining time of the backoff
	Draining    bool          `json:"draining,omitempty"`
	LastOutcome string        `json:"last"`
	Served      int           `json:"served"`
	Failed      int           `json:"failed"`
}

// States returns the states of all mirrors, in the operator's order.
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
