package decision

const (
	endpointLatencyGain    = 0.08 // weight of each answer in the smoothed relative latency of its endpoint
	machineTypeLatencyGain = 0.01 // the same for the machine type of the endpoint and for all machine types
	minRelativeLatency     = 0.3
	maxRelativeLatency     = 6
	maxLatencySample       = 8 // limit of the relative latency of a single answer
)

// machineTypes holds the relative latencies of the fleet's machine types, learned from answers.
type machineTypes struct {
	byNumber            []*machineType
	meanRelativeLatency float64 // smoothed over the answers of all machine types
}

// machineType is one type of machine.
type machineType struct {
	relativeLatency float64 // smoothed ratio of the latency of its answers to the mean latency of their op type
}

// machineType returns the machine type with a number, adding it if it is not known yet.
func (lb *Balancer) machineType(number int) *machineType {
	machines := &lb.machines
	for len(machines.byNumber) <= number {
		machines.byNumber = append(machines.byNumber, &machineType{relativeLatency: 1})
	}
	return machines.byNumber[number]
}

// observeRelativeLatency updates the relative latency of an endpoint with the latency of one answer, given as its ratio
// to the mean latency of the op type. It also updates that of the machine type and of all types, unless the build under
// evaluation may have caused the latency.
func (lb *Balancer) observeRelativeLatency(endpoint *Endpoint, ratio float64) {
	ratio = min(ratio, maxLatencySample)
	endpoint.relativeLatency = smoothRelativeLatency(endpoint.relativeLatency, ratio, endpointLatencyGain)
	if endpoint.build < lb.rollout.build || !lb.rollout.evaluating() {
		machine := lb.machineType(endpoint.machineType)
		machine.relativeLatency = smoothRelativeLatency(machine.relativeLatency, ratio, machineTypeLatencyGain)
		lb.machines.meanRelativeLatency = smoothRelativeLatency(lb.machines.meanRelativeLatency, ratio, machineTypeLatencyGain)
	}
}

func smoothRelativeLatency(mean, ratio, gain float64) float64 {
	return max(minRelativeLatency, min(maxRelativeLatency, mean+gain*(ratio-mean)))
}

// relativeCapacity returns an endpoint's capacity relative to others: its size times the speed of its machine type.
func (lb *Balancer) relativeCapacity(endpoint *Endpoint) float64 {
	return endpoint.size / lb.machineType(endpoint.machineType).relativeLatency
}

// normalizedCapacity returns the relative capacity divided by the mean speed of all machine types. If there is only one
// type, it is the endpoint's size, whatever the latency of its answers.
func (lb *Balancer) normalizedCapacity(endpoint *Endpoint) float64 {
	return lb.relativeCapacity(endpoint) * lb.machines.meanRelativeLatency
}
