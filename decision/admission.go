package decision

import (
	"time"

	"laurelring/decision/admission"
	"laurelring/decision/monotonic"
)

const (
	overQuotaPriority = 0.01 // factor on the priority of a request that exceeds the quota of its tenant
	// lastPriority is the factor on the priority of a request that goes last. Clients that send hundreds of requests at
	// once, on one connection or on ever new ones, thus take their turn after usual clients.
	lastPriority         = 0.01
	lateShare            = 0.7 // an answer that takes longer than this share of the latency objective is late
	saturatedUtilization = 0.9 // an endpoint that reports a higher utilization is full
)

// Tenant is one customer of the deployment.
type Tenant = admission.Tenant

// Arrival describes a request that has arrived from a client.
type Arrival struct {
	OpType    *OpType
	Tenant    *Tenant       // nil if the deployment has no tenants
	Key       uint64        // requests with the same key are related; 0 if the request has no key
	Work      time.Duration // expected work; 0 if unknown
	Remaining time.Duration // time until the client gives up
	GoesLast  bool          // its turn comes after all other requests, see reclaim.Connection
}

// Admit creates the state of a request that has arrived, with its deadlines and its priority. Route then decides what
// to do with it.
func (lb *Balancer) Admit(arrival Arrival, now monotonic.Time) *Request {
	op := arrival.OpType
	request := &Request{opType: op, key: arrival.Key, deadline: now + arrival.Remaining}
	objective := op.latencyObjective + time.Duration(op.objectiveStretch*float64(arrival.Work))
	request.latencyDeadline = min(now+objective, request.deadline)
	request.priority = op.priorityWeight / float64(max(op.latencyObjective, time.Millisecond))
	if arrival.Tenant != nil && lb.admission.quotas.RecordRequest(arrival.Tenant, now) {
		request.priority *= overQuotaPriority
	}
	if arrival.GoesLast {
		request.priority *= lastPriority
	}
	lb.canary.exposure.RecordRequest(op.index, now)
	lb.admission.arrivalRate.Record(now)
	lb.slowStart.recordArrival(now)
	lb.canary.stickyKeys.RecordRequest(arrival.Key, lb.rollout.build)
	return request
}

// QueueLength returns the number of queued requests.
func (lb *Balancer) QueueLength() int { return lb.admission.queue.Len() }

// enqueue queues a request until Tick returns it as due.
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

// withinConcurrencyWindow reports whether this gateway may have one more attempt in flight, at any endpoint.
func (lb *Balancer) withinConcurrencyWindow(request *Request, now monotonic.Time) bool {
	return lb.admission.window.Allows(admission.Demand{
		RequestsPerSecond: lb.requestRate(now),
		LatencyObjective:  request.opType.latencyObjective,
		MeanLatency:       request.opType.meanLatency,
	}, now)
}

// adjustConcurrencyWindow increases the concurrency window after a timely answer. It decreases the window after a late
// or missing answer of an endpoint that is full or has not reported its utilization. If the endpoint is not full, the
// delay is caused by the path or by that endpoint alone, and the window stays.
func (lb *Balancer) adjustConcurrencyWindow(endpoint *Endpoint, late bool) {
	if !late {
		lb.admission.window.Increase()
	} else if endpoint.utilization > saturatedUtilization || endpoint.utilizationAt == 0 {
		lb.admission.window.Decrease()
	}
}

// requestRate returns the rate of this gateway's requests, per second.
func (lb *Balancer) requestRate(now monotonic.Time) float64 {
	return lb.admission.arrivalRate.PerSecond(now)
}

// admissionState holds the queue, quotas and limits that decide which requests go first and how many attempts are in
// flight.
type admissionState struct {
	queue       admission.Queue[*Request]
	quotas      admission.Quotas
	arrivalRate admission.ArrivalRate
	window      admission.ConcurrencyWindow
}
