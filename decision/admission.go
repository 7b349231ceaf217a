package decision

import (
	"time"

	"laurelring/decision/admission"
	"laurelring/decision/monotonic"
)

const (
	overQuotaPriority    = 0.01 // of its priority: what a request beyond its tenant's quota keeps
	lateShare            = 0.7  // of the latency objective: an answer that took longer is late
	saturatedUtilization = 0.9  // an endpoint that reports more is full
)

// Tenant is one customer of the deployment.
type Tenant = admission.Tenant

// Arrival is a request that a client has sent.
type Arrival struct {
	OpType    *OpType
	Tenant    *Tenant       // nil where the deployment has none
	Key       uint64        // requests with the same key are related; 0 for none
	Work      time.Duration // expected; 0 where it is not known
	Remaining time.Duration // until the client gives up
}

// Admit takes a request in: it gets its deadline, its latency objective and its priority. Route decides what becomes of it.
func (lb *Balancer) Admit(arrival Arrival, now monotonic.Time) *Request {
	op := arrival.OpType
	request := &Request{opType: op, key: arrival.Key, deadline: now + arrival.Remaining}
	objective := op.latencyObjective + time.Duration(op.objectiveStretch*float64(arrival.Work))
	request.latencyDeadline = min(now+objective, request.deadline)
	request.priority = op.priorityWeight / float64(max(op.latencyObjective, time.Millisecond))
	if arrival.Tenant != nil && lb.admission.quotas.RecordRequest(arrival.Tenant, now) {
		request.priority *= overQuotaPriority
	}
	lb.canary.exposure.RecordRequest(op.index, now)
	lb.admission.arrivalRate.Record(now)
	lb.slowStart.recordArrival(now)
	lb.canary.stickyKeys.RecordRequest(arrival.Key, lb.rollout.build)
	return request
}

// QueueLength returns how many requests are queued.
func (lb *Balancer) QueueLength() int { return lb.admission.queue.Len() }

// enqueue keeps a request until Tick says that its turn has come.
func (lb *Balancer) enqueue(request *Request) Decision {
	if !request.queued {
		request.queued = true
		lb.admission.queue.Add(request, request.priority)
	}
	return Decision{Action: ActionQueue}
}

func (lb *Balancer) dequeue(request *Request) {
	if request.queued {
		request.queued = false
		lb.admission.queue.Remove(request)
	}
}

// withinConcurrencyWindow reports whether one more attempt may be in flight, at whichever endpoint.
func (lb *Balancer) withinConcurrencyWindow(request *Request, now monotonic.Time) bool {
	return lb.admission.window.Allows(admission.Demand{
		RequestsPerSecond: lb.requestRate(now),
		LatencyObjective:  request.opType.latencyObjective,
		MeanLatency:       request.opType.meanLatency,
	}, now)
}

// adjustConcurrencyWindow takes in whether an answer of an endpoint was late or missing. One of an endpoint that reports
// room is the path's or the endpoint's own, and does not count.
func (lb *Balancer) adjustConcurrencyWindow(endpoint *Endpoint, late bool) {
	if !late {
		lb.admission.window.Increase()
	} else if endpoint.utilization > saturatedUtilization || endpoint.utilizationAt == 0 {
		lb.admission.window.Decrease()
	}
}

// requestRate is this gateway's requests a second.
func (lb *Balancer) requestRate(now monotonic.Time) float64 {
	return lb.admission.arrivalRate.PerSecond(now)
}

// admissionState is what decides which requests go first and how many attempts are in flight.
type admissionState struct {
	queue       admission.Queue[*Request]
	quotas      admission.Quotas
	arrivalRate admission.ArrivalRate
	window      admission.ConcurrencyWindow
}
