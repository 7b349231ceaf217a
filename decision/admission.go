package decision

import (
	"math"
	"slices"
	"sort"
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
)

const (
	minWindowCeiling     = 4.0              // deliveries out that any gateway may have while answers come in time
	windowDecrease       = 0.5              // fewer for each slow answer
	windowIncrease       = 0.1              // more for each other: a jam shows in more than one slow answer in six
	windowFloorShare     = 0.05             // of the most: no fewer
	windowFloor          = 0.4              // nor this
	lateShare            = 0.7              // of the service target: a late answer
	saturatedUtilization = 0.9              // a machine that is busier is full
	arrivalRateSpan      = 10 * time.Second // over which the rate of our commands is smoothed
)

// overShare tells whether a tenant sends more than its share of what this gateway sees. A gateway cannot
// know the others' traffic, so it compares shares of its own.
func (lb *Balancer) overQuota(t *Tenant, now monotonic.Time) bool {
	t.recentRequests = t.recentRequests*math.Exp(-float64(now-t.countedAt)/2e9) + 1
	t.countedAt = now
	var quotas, recent float64
	for _, o := range lb.tenants {
		quotas += o.quotaRate
		recent += o.recentRequests * math.Exp(-float64(now-o.countedAt)/2e9)
	}
	return t.recentRequests > 10 && t.recentRequests/recent > 1.25*t.quotaRate/quotas
}

// flows bounds how many deliveries of ours are out at once, at all machines: no more than would take twice
// the service target each at our commands' rate, fewer while machines that say they are full answer late;
// below one, a pause follows each. Guards against a jam that hundreds of gateways feed, each with a few
// deliveries to machines it holds next to nothing at. Ways or single machines that are slow do not count;
// what is overdue does not either.
func (lb *Balancer) withinConcurrencyWindow(request *Request, now monotonic.Time) bool {
	usual := 2 * lb.requestRate(now) * float64(request.opType.latencyObjective) / float64(time.Second)
	lb.concurrencyWindow = max(windowFloor, windowFloorShare*usual, min(lb.concurrencyWindow, max(minWindowCeiling, usual)))
	if lb.inFlight > 0 || lb.concurrencyWindow >= 1 {
		return float64(lb.inFlight+1) <= max(1, lb.concurrencyWindow)
	}
	return float64(now-lb.lastFinishedAt) >= request.opType.meanLatency*(1/lb.concurrencyWindow-1)
}

// jams counts a late answer, or none, against how many may be out, where the machine says that it is full.
func (lb *Balancer) adjustConcurrencyWindow(endpoint *Endpoint, late bool) {
	if !late {
		lb.concurrencyWindow += windowIncrease
	} else if endpoint.utilization > saturatedUtilization || endpoint.utilizationAt == 0 {
		lb.concurrencyWindow -= windowDecrease
	}
}

// hold keeps a command for later; Wait brings it back: the most important first, and of those the newest,
// since in a jam the oldest would all be served just too late.
func (lb *Balancer) enqueue(request *Request) Decision {
	if !request.queued {
		request.queued = true
		at := sort.Search(len(lb.queue), func(i int) bool { return lb.queue[i].priority <= request.priority })
		lb.queue = slices.Insert(lb.queue, at, request)
	}
	return Decision{Action: ActionQueue}
}

// Waiting is how many commands are held.
func (lb *Balancer) QueueLength() int { return len(lb.queue) }

func (lb *Balancer) dequeue(request *Request) {
	if !request.queued {
		return
	}
	request.queued = false
	for i, c := range lb.queue {
		if c == request {
			lb.queue = append(lb.queue[:i], lb.queue[i+1:]...)
			return
		}
	}
}

// arrive books a command for the rate.
func (lb *Balancer) recordArrival(now monotonic.Time) {
	lb.arrivalRate = lb.arrivalRate*decay.Factor(lb.lastArrivalAt, now, arrivalRateSpan) + float64(time.Second)/float64(arrivalRateSpan)
	lb.lastArrivalAt = now
}

// rate is our commands a second, over the last seconds or since our start.
func (lb *Balancer) requestRate(now monotonic.Time) float64 {
	since := max(now-lb.startedAt, time.Millisecond)
	return lb.arrivalRate * decay.Factor(lb.lastArrivalAt, now, arrivalRateSpan) / (1 - decay.Factor(0, since, arrivalRateSpan))
}

// Tenant is one customer's share.
type Tenant struct {
	quotaRate      float64 // commands a second within its share, over all gateways
	recentRequests float64 // its commands lately, decaying
	countedAt      monotonic.Time
}
