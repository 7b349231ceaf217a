package decision

import (
	"slices"

	"laurelring/decision/monotonic"
)

// Endpoint is one endpoint for as long as the endpoint list names it or an attempt at it is in flight. The zero value is
// an endpoint that no list has named yet.
type Endpoint struct {
	endpointListing
	endpointLoad
	endpointHealth
	endpointResults

	drawKey    uint64 // random, for what differs from endpoint to endpoint at a gateway
	unreported unreportedResults
	evidence   endpointEvidence
}

// endpointListing is what the endpoint list says of an endpoint, and what is known of that.
type endpointListing struct {
	listed         bool // it is among the balancer's endpoints
	ready          bool // it takes new requests
	present        bool // it runs or drains
	build          int
	zone           int
	machineType    int
	cell           int
	size           float64
	startedAt      monotonic.Time // 0 for long ago
	firstStartedAt monotonic.Time // when it first started with its build
	learnedAt      monotonic.Time // when its latest start became known
	provedReadyAt  monotonic.Time // the start of the latest attempt that proved that it did not drain
}

// EndpointStatus is what the endpoint list says of one endpoint.
type EndpointStatus struct {
	Ready       bool // it takes new requests
	Present     bool // it runs or drains; else it is gone
	Build       int
	Zone        int
	MachineType int
	Cell        int
	Size        float64        // for comparison with others; 1 where it is not above 0
	StartedAt   monotonic.Time // 0 for long ago
}

// EndpointReady reports whether the list names an endpoint as one that takes new requests.
func (lb *Balancer) EndpointReady(endpoint *Endpoint) bool { return endpoint.listed && endpoint.ready }

// LoadReported takes in an endpoint's own report of its utilization: 1 where it is fully busy.
func (lb *Balancer) LoadReported(endpoint *Endpoint, utilization float64, now monotonic.Time) {
	endpoint.utilization, endpoint.utilizationAt = utilization, now
	endpoint.unreported.utilization = true
}

// UpdateEndpoint takes in one entry of the endpoint list. CommitEndpointList ends the update.
func (lb *Balancer) UpdateEndpoint(endpoint *Endpoint, status EndpointStatus, now monotonic.Time) {
	if !endpoint.listed {
		endpoint.listed, endpoint.drawKey = true, uint64(lb.random.Below(1<<30))
		lb.endpoints = append(lb.endpoints, endpoint)
	}
	if endpoint.evidence.byOpType == nil || status.Build != endpoint.build {
		lb.retireEvidence(endpoint)
	}
	if endpoint.firstStartedAt == 0 || status.Build != endpoint.build {
		endpoint.firstStartedAt = status.StartedAt
	}
	if status.StartedAt != endpoint.startedAt || status.Build != endpoint.build || endpoint.limit.size == 0 {
		endpoint.reset(lb.machineType(status.MachineType).relativeLatency, now)
	}
	endpoint.ready = status.Ready && status.Present
	endpoint.present = status.Present
	endpoint.build = status.Build
	endpoint.zone = status.Zone
	endpoint.machineType = status.MachineType
	endpoint.cell = status.Cell
	endpoint.size = status.Size
	endpoint.startedAt = status.StartedAt
	if endpoint.size <= 0 {
		endpoint.size = 1
	}
}

// reset forgets what was learned of an endpoint that has restarted, or runs another build.
func (endpoint *Endpoint) reset(relativeLatency float64, now monotonic.Time) {
	endpoint.limit.size = initialConcurrencyLimit
	endpoint.relativeLatency = relativeLatency
	endpoint.consecutiveFailures = 0
	endpoint.ejectedUntil = 0
	endpoint.errorRate = 0
	endpoint.outlierUntil = 0
	endpoint.decayedSuccesses = 0
	endpoint.decayedLosses = 0
	endpoint.lastAttemptAt = 0
	endpoint.learnedAt = now
	endpoint.provedReadyAt = 0
}

// RetainEndpoints takes in which endpoints a complete list named: the others are gone.
func (lb *Balancer) RetainEndpoints(named map[*Endpoint]bool) {
	for _, endpoint := range lb.endpoints {
		if !named[endpoint] {
			endpoint.ready, endpoint.present = false, false
		}
	}
}

// CommitEndpointList ends an update of the endpoint list. A cached list is one that discovery did not send just now.
func (lb *Balancer) CommitEndpointList(cached bool, now monotonic.Time) {
	lb.endpoints = slices.DeleteFunc(lb.endpoints, func(endpoint *Endpoint) bool {
		if endpoint.listed = endpoint.ready || endpoint.present || len(endpoint.inFlight) > 0; !endpoint.listed {
			lb.retireEvidence(endpoint)
		}
		return !endpoint.listed
	})
	newestBuild := lb.learnFleetSize()
	if !cached {
		lb.endpointList.polling.Succeeded()
	}
	lb.beginCanary(newestBuild, now)
}

// learnFleetSize takes the ready endpoints into the fleet's largest size and returns the newest build among them. Endpoints
// of a build under judgement do not count: they replace others.
func (lb *Balancer) learnFleetSize() (newestBuild int) {
	power, endpoints := 0.0, 0
	for _, endpoint := range lb.endpoints {
		if !endpoint.ready {
			continue
		}
		newestBuild = max(newestBuild, endpoint.build)
		if !lb.rollout.evaluating() || endpoint.build < lb.rollout.build {
			power += lb.power(endpoint)
			endpoints++
		}
	}
	lb.endpointList.maxPower = max(lb.endpointList.maxPower, power)
	lb.endpointList.maxEndpoints = max(lb.endpointList.maxEndpoints, endpoints)
	return newestBuild
}
