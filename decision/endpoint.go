package decision

import (
	"slices"

	"laurelring/decision/monotonic"
)

// Endpoint is the state of one endpoint. The balancer keeps it for as long as the endpoint list names the endpoint or
// an attempt at it is in flight. The zero value is an endpoint that no list has named yet.
type Endpoint struct {
	endpointListing
	endpointLoad
	endpointHealth
	endpointResults

	hashKey    uint64 // random; makes hash-based choices differ between endpoints
	unreported unreportedResults
	evidence   endpointEvidence
}

// endpointListing is the entry of an endpoint on the endpoint list, and when this gateway learned of it.
type endpointListing struct {
	listed         bool // the endpoint is one of Balancer.endpoints
	ready          bool // the endpoint accepts new requests
	present        bool // the endpoint is running or draining
	build          int
	zone           int
	machineType    int
	cell           int
	size           float64
	startedAt      monotonic.Time // 0 if long ago
	firstStartedAt monotonic.Time // first start of the endpoint with its current build
	learnedAt      monotonic.Time // when this gateway learned of the latest start
	provedReadyAt  monotonic.Time // start of the latest attempt that proved that the endpoint was not draining
}

// EndpointStatus is the entry of one endpoint on the endpoint list.
type EndpointStatus struct {
	Ready       bool // the endpoint accepts new requests
	Present     bool // the endpoint is running or draining; otherwise it is gone
	Build       int
	Zone        int
	MachineType int
	Cell        int
	Size        float64        // size relative to other endpoints; values that are not above 0 count as 1
	StartedAt   monotonic.Time // 0 if long ago
}

// EndpointReady reports whether the endpoint list names an endpoint as accepting new requests.
func (lb *Balancer) EndpointReady(endpoint *Endpoint) bool { return endpoint.listed && endpoint.ready }

// LoadReported records the utilization that an endpoint reports to this gateway. 1 means fully busy.
func (lb *Balancer) LoadReported(endpoint *Endpoint, utilization float64, now monotonic.Time) {
	endpoint.utilization, endpoint.utilizationAt = utilization, now
	endpoint.unreported.utilization = true
}

// UpdateEndpoint applies one entry of the endpoint list. CommitEndpointList ends the update.
func (lb *Balancer) UpdateEndpoint(endpoint *Endpoint, status EndpointStatus, now monotonic.Time) {
	if !endpoint.listed {
		endpoint.listed, endpoint.hashKey = true, uint64(lb.random.Below(1<<30))
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

// reset clears the state learned about an endpoint that has restarted or runs another build.
func (endpoint *Endpoint) reset(relativeLatency float64, now monotonic.Time) {
	endpoint.limit.size = initialConcurrencyLimit
	endpoint.relativeLatency = relativeLatency
	endpoint.consecutiveEjections = 0
	endpoint.ejectedUntil = 0
	endpoint.errorRate = 0
	endpoint.outlierUntil = 0
	endpoint.decayedSuccesses = 0
	endpoint.decayedLosses = 0
	endpoint.lastAttemptAt = 0
	endpoint.learnedAt = now
	endpoint.provedReadyAt = 0
}

// RetainEndpoints marks all endpoints as gone that a complete endpoint list did not name.
func (lb *Balancer) RetainEndpoints(named map[*Endpoint]bool) {
	for _, endpoint := range lb.endpoints {
		if !named[endpoint] {
			endpoint.ready, endpoint.present = false, false
		}
	}
}

// CommitEndpointList ends an update of the endpoint list. cached says that the list does not come from a current
// response of discovery.
func (lb *Balancer) CommitEndpointList(cached bool, now monotonic.Time) {
	lb.endpoints = slices.DeleteFunc(lb.endpoints, func(endpoint *Endpoint) bool {
		if endpoint.listed = endpoint.ready || endpoint.present || len(endpoint.inFlight) > 0; !endpoint.listed {
			lb.retireEvidence(endpoint)
		}
		return !endpoint.listed
	})
	newestBuild := lb.updateFleetSize()
	if !cached {
		lb.endpointList.polling.Succeeded()
	}
	lb.startEvaluation(newestBuild, now)
}

// updateFleetSize updates the largest fleet size seen with the ready endpoints, and returns the newest build among
// them. Endpoints of the build under evaluation or of a later one do not count towards the size, as they replace
// others.
func (lb *Balancer) updateFleetSize() (newestBuild int) {
	relativeCapacity, endpoints := 0.0, 0
	for _, endpoint := range lb.endpoints {
		if !endpoint.ready {
			continue
		}
		newestBuild = max(newestBuild, endpoint.build)
		if !lb.rollout.evaluating() || endpoint.build < lb.rollout.build {
			relativeCapacity += lb.relativeCapacity(endpoint)
			endpoints++
		}
	}
	lb.endpointList.maxFleetCapacity = max(lb.endpointList.maxFleetCapacity, relativeCapacity)
	lb.endpointList.maxEndpoints = max(lb.endpointList.maxEndpoints, endpoints)
	return newestBuild
}
