package admission

import (
	"math"
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
)

const (
	minCeiling          = 4.0              // attempts in flight that any gateway may have while answers come in time
	lateAnswerDecrease  = 0.5              // of the window for each late answer of a full endpoint
	timelyIncrease      = 0.1              // for each other answer: an overload shows in more than one late answer in six
	floorShare          = 0.05             // of the ceiling: the window's least size
	minFloor            = 0.4              // attempts: the window's least size at a gateway with few requests
	objectivesInFlight  = 2                // the ceiling is what is in flight if each attempt takes this many latency objectives
	arrivalRateConstant = 10 * time.Second // time constant over which the rate of requests is smoothed
)

// ArrivalRate is the smoothed rate of this gateway's requests.
type ArrivalRate struct {
	perSecond  float64 // at recordedAt
	recordedAt monotonic.Time
	startedAt  monotonic.Time // of the gateway
}

// Start sets the moment from which on requests are counted.
func (r *ArrivalRate) Start(at monotonic.Time) { r.startedAt = at }

// Record counts a request.
func (r *ArrivalRate) Record(now monotonic.Time) {
	r.perSecond = r.perSecond*decay.Factor(r.recordedAt, now, arrivalRateConstant) + float64(time.Second)/float64(arrivalRateConstant)
	r.recordedAt = now
}

// PerSecond returns the requests a second over the last seconds, or since the start where that is less.
func (r *ArrivalRate) PerSecond(now monotonic.Time) float64 {
	since := max(now-r.startedAt, time.Millisecond)
	return r.perSecond * decay.Factor(r.recordedAt, now, arrivalRateConstant) / (1 - decay.Factor(0, since, arrivalRateConstant))
}

// ConcurrencyWindow bounds how many attempts are in flight at once, at all endpoints. It guards against an overload that
// hundreds of gateways feed, each with a few attempts at endpoints that have next to none of its own in flight. Slow paths
// and single endpoints that are slow do not count, nor do attempts that are overdue.
type ConcurrencyWindow struct {
	size           float64 // attempts; below 1 each is followed by a pause
	inFlight       int
	lastFinishedAt monotonic.Time
}

// NewConcurrencyWindow returns a window that is as large as the requests ask for.
func NewConcurrencyWindow() ConcurrencyWindow { return ConcurrencyWindow{size: math.Inf(1)} }

// Demand is what a request asks of the window.
type Demand struct {
	RequestsPerSecond float64
	LatencyObjective  time.Duration
	MeanLatency       float64 // ns; of attempts of its op type
}

// Allows reports whether one more attempt may start: the window holds no more than would be in flight if each attempt took
// twice its latency objective at the present rate of requests, and less once full endpoints answer late.
func (w *ConcurrencyWindow) Allows(demand Demand, now monotonic.Time) bool {
	ceiling := objectivesInFlight * demand.RequestsPerSecond * float64(demand.LatencyObjective) / float64(time.Second)
	w.size = max(minFloor, floorShare*ceiling, min(w.size, max(minCeiling, ceiling)))
	if w.inFlight > 0 || w.size >= 1 {
		return float64(w.inFlight+1) <= max(1, w.size)
	}
	return float64(now-w.lastFinishedAt) >= demand.MeanLatency*(1/w.size-1)
}

// AttemptStarted counts an attempt as in flight.
func (w *ConcurrencyWindow) AttemptStarted() { w.inFlight++ }

// AttemptAbandoned counts an attempt as in flight no longer: it has ended, or is not waited for any more.
func (w *ConcurrencyWindow) AttemptAbandoned() { w.inFlight-- }

// AttemptFinished takes in when an attempt ended.
func (w *ConcurrencyWindow) AttemptFinished(now monotonic.Time) { w.lastFinishedAt = now }

// Increase widens the window for an answer in time.
func (w *ConcurrencyWindow) Increase() { w.size += timelyIncrease }

// Decrease narrows the window for a late answer, or none, of an endpoint that is full.
func (w *ConcurrencyWindow) Decrease() { w.size -= lateAnswerDecrease }
