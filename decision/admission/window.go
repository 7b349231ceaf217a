package admission

import (
	"math"
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
)

const (
	// minCeiling is the number of attempts in flight that is allowed at any gateway while answers are timely.
	minCeiling = 4.0
	// lateAnswerDecrease is the number of attempts by which each late answer of a full endpoint shrinks the window.
	lateAnswerDecrease = 0.5
	// timelyAnswerIncrease is the number of attempts by which each timely answer widens the window. The window shrinks
	// on balance if more than one answer in six is late, as in an overload.
	timelyAnswerIncrease = 0.1
	// floorShare is the minimum size of the window as a share of its ceiling.
	floorShare = 0.05
	// minFloor is the minimum size of the window in attempts, at a gateway with few requests.
	minFloor = 0.4
	// objectivesInFlight sets the ceiling: the number of attempts in flight if each takes this many latency objectives.
	objectivesInFlight = 2
	// arrivalRateTimeConstant is the time constant of the smoothed request rate.
	arrivalRateTimeConstant = 10 * time.Second
)

// ArrivalRate is the smoothed rate of this gateway's requests.
type ArrivalRate struct {
	perSecond  float64 // at recordedAt
	recordedAt monotonic.Time
	startedAt  monotonic.Time // start of the gateway
}

// Start sets the time from which requests are counted.
func (r *ArrivalRate) Start(at monotonic.Time) { r.startedAt = at }

// Record counts a request.
func (r *ArrivalRate) Record(now monotonic.Time) {
	r.perSecond = r.perSecond*decay.Factor(r.recordedAt, now, arrivalRateTimeConstant) + float64(time.Second)/float64(arrivalRateTimeConstant)
	r.recordedAt = now
}

// PerSecond returns the requests per second, averaged over the last seconds or over the time since the start if that is
// shorter.
func (r *ArrivalRate) PerSecond(now monotonic.Time) float64 {
	since := max(now-r.startedAt, time.Millisecond)
	return r.perSecond * decay.Factor(r.recordedAt, now, arrivalRateTimeConstant) / (1 - decay.Factor(0, since, arrivalRateTimeConstant))
}

// ConcurrencyWindow limits how many attempts this gateway has in flight at once, over all endpoints. It guards
// against an overload caused by hundreds of gateways together, each with only a few attempts in flight and hardly any
// at the same endpoint. Slow network paths, single slow endpoints and overdue attempts do not count.
type ConcurrencyWindow struct {
	size           float64 // in attempts; below 1, a pause follows each attempt
	inFlight       int
	lastFinishedAt monotonic.Time
}

// NewConcurrencyWindow returns a window of unlimited size. The first call of Allows reduces it to the ceiling.
func NewConcurrencyWindow() ConcurrencyWindow { return ConcurrencyWindow{size: math.Inf(1)} }

// Demand is the current request rate and the latency figures of the request for which an attempt is to start.
type Demand struct {
	RequestsPerSecond float64
	LatencyObjective  time.Duration
	MeanLatency       float64 // of attempts of the request's op type, in ns
}

// Allows reports whether one more attempt may start. The ceiling of the window is the number of attempts that would
// be in flight at the current request rate if each took twice its latency objective. The window is smaller than that
// once full endpoints have answered late.
func (w *ConcurrencyWindow) Allows(demand Demand, now monotonic.Time) bool {
	ceiling := objectivesInFlight * demand.RequestsPerSecond * float64(demand.LatencyObjective) / float64(time.Second)
	w.size = max(minFloor, floorShare*ceiling, min(w.size, max(minCeiling, ceiling)))
	if w.inFlight > 0 || w.size >= 1 {
		return float64(w.inFlight+1) <= max(1, w.size)
	}
	return float64(now-w.lastFinishedAt) >= demand.MeanLatency*(1/w.size-1)
}

// AttemptStarted adds an attempt to those in flight.
func (w *ConcurrencyWindow) AttemptStarted() { w.inFlight++ }

// AttemptAbandoned removes an attempt from those in flight: it has ended, or nothing waits for it any more.
func (w *ConcurrencyWindow) AttemptAbandoned() { w.inFlight-- }

// AttemptFinished records the time at which an attempt ended.
func (w *ConcurrencyWindow) AttemptFinished(now monotonic.Time) { w.lastFinishedAt = now }

// Increase widens the window after a timely answer.
func (w *ConcurrencyWindow) Increase() { w.size += timelyAnswerIncrease }

// Decrease shrinks the window after a late or missing answer of a full endpoint.
func (w *ConcurrencyWindow) Decrease() { w.size -= lateAnswerDecrease }
