package decision

import (
	"slices"

	"laurelring/decision/monotonic"
	"laurelring/decision/slidingwindow"
)

// Ready tells whether the list names an instance as one that takes deliveries.
func (lb *Balancer) EndpointReady(endpoint *Endpoint) bool { return endpoint.listed && endpoint.ready }

// ToldLoad tells how busy an instance says it is.
func (lb *Balancer) LoadReported(endpoint *Endpoint, busy float64, now monotonic.Time) {
	endpoint.utilization, endpoint.utilizationAt, endpoint.utilizationUnreported = busy, now, true
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

// UpdateEndpoint takes in one entry of the endpoint list. CommitEndpointList ends the update.
func (lb *Balancer) UpdateEndpoint(endpoint *Endpoint, status EndpointStatus, now monotonic.Time) {
	if !endpoint.listed {
		endpoint.listed, endpoint.drawKey = true, uint64(lb.random.Below(1<<30))
		lb.endpoints = append(lb.endpoints, endpoint)
	}
	if endpoint.evidence == nil || status.Build != endpoint.build {
		lb.retireEvidence(endpoint)
	}
	if endpoint.firstStartedAt == 0 || status.Build != endpoint.build {
		endpoint.firstStartedAt = status.StartedAt
	}
	if status.StartedAt != endpoint.startedAt || status.Build != endpoint.build || endpoint.concurrencyLimit == 0 {
		endpoint.resetHealth(lb.machineType(status.MachineType).relativeLatency, now)
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

// resetHealth forgets what was learned of an endpoint that has started anew, or with another build.
func (endpoint *Endpoint) resetHealth(relativeLatency float64, now monotonic.Time) {
	endpoint.concurrencyLimit = initialConcurrencyLimit
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

// ToldListEnd closes an update of the list.
func (lb *Balancer) CommitEndpointList(cached bool, now monotonic.Time) {
	power, places, newest := 0.0, 0, 0
	lb.endpoints = slices.DeleteFunc(lb.endpoints, func(endpoint *Endpoint) bool {
		if endpoint.listed = endpoint.ready || endpoint.present || len(endpoint.inFlight) > 0; !endpoint.listed {
			lb.retireEvidence(endpoint)
		}
		return !endpoint.listed
	})
	for _, endpoint := range lb.endpoints {
		if endpoint.ready {
			newest = max(newest, endpoint.build)
			if lb.rollout.ownCounters == nil || endpoint.build < lb.rollout.build { // a replaced machine and its successor are one place
				power += lb.power(endpoint)
				places++
			}
		}
	}
	lb.endpointList.maxPower, lb.endpointList.maxEndpoints = max(lb.endpointList.maxPower, power), max(lb.endpointList.maxEndpoints, places)
	if !cached {
		lb.endpointList.polling.Succeeded()
	}
	lb.beginCanary(newest, now)
}

// ToldOnly tells which instances a whole list named: the others are gone.
func (lb *Balancer) RetainEndpoints(named map[*Endpoint]bool, now monotonic.Time) {
	for _, endpoint := range lb.endpoints {
		if !named[endpoint] {
			endpoint.ready, endpoint.present = false, false
		}
	}
}

// power is what an instance can do against others: its size at the pace of its kind of machine.
func (lb *Balancer) power(endpoint *Endpoint) float64 {
	return endpoint.size / lb.machineType(endpoint.machineType).relativeLatency
}

// even is power at the mean pace of all kinds of machine: with one kind its size, however its answers go.
func (lb *Balancer) normalizedPower(endpoint *Endpoint) float64 {
	return lb.power(endpoint) * lb.meanRelativeLatency
}

// model gives what is known of a kind of machine.
func (lb *Balancer) machineType(number int) *MachineType {
	for len(lb.machineTypes) <= number {
		lb.machineTypes = append(lb.machineTypes, &MachineType{relativeLatency: 1})
	}
	return lb.machineTypes[number]
}

// Instance lives as long as the list names it.
type Endpoint struct {
	listed         bool
	drawKey        uint64 // marks it in draws
	ready          bool
	present        bool // it runs or drains
	build          int
	zone           int
	machineType    int
	cell           int
	size           float64
	startedAt      monotonic.Time
	firstStartedAt monotonic.Time // when it first started with its build

	learnedAt                       monotonic.Time       // when its start was told
	lastAttemptAt                   monotonic.Time       // our last delivery since then
	inFlight                        []*Attempt           // ours, in sending order
	recentAttempts                  slidingwindow.Window // our deliveries within the cold span
	recentSuccesses                 slidingwindow.Window // what it answered us within the cold span
	concurrencyLimit                float64              // how many of ours it may hold
	limitDecreasedAt                monotonic.Time       // when the limit was last cut
	relativeLatency                 float64              // smoothed time of its answers against the op types' means
	utilization                     float64              // its own figure, where it reports one
	utilizationAt                   monotonic.Time       // when that was told
	lastResponseAt                  monotonic.Time       // its last sign of life
	provedReadyAt                   monotonic.Time       // the latest sending of a delivery by which it proved that it did not drain
	consecutiveFailures             int                  // silent failures in a row
	ejectedUntil                    monotonic.Time
	outlierUntil                    monotonic.Time // the voters say to leave it alone until then
	unreported                      Observation    // ours since last told
	utilizationUnreported           bool           // its figure was told since
	decayedSuccesses, decayedLosses float64        // answers and losses lately, of all gateways heard
	decayedAt                       monotonic.Time
	errorRate                       float64                     // smoothed share of errors
	evidence                        [][countersPerOpType]uint32 // its evidence, by op type
	busyTime                        float64                     // busy time by its own figure
	connectionsLostAt               monotonic.Time              // when it last broke off deliveries
}
