package decision

const (
	endpointLatencyGain    = 0.08 // of each answer in the relative latency of its endpoint
	machineTypeLatencyGain = 0.01 // and in that of its machine type, and of all
	minRelativeLatency     = 0.3
	maxRelativeLatency     = 6
	maxLatencySample       = 8 // a single answer counts as no slower than this
)

// machineTypes is what the answers have taught of the fleet's kinds of machine.
type machineTypes struct {
	byNumber            []*machineType
	meanRelativeLatency float64 // of the answers of all machine types
}

// machineType is one kind of machine.
type machineType struct {
	relativeLatency float64 // smoothed latency of the answers over the mean latency of their op type
}

// machineType returns what is known of a machine type.
func (lb *Balancer) machineType(number int) *machineType {
	machines := &lb.machines
	for len(machines.byNumber) <= number {
		machines.byNumber = append(machines.byNumber, &machineType{relativeLatency: 1})
	}
	return machines.byNumber[number]
}

// observeRelativeLatency takes an answer's latency, over the mean latency of its op type, into that of its endpoint, and
// into that of its machine type unless a canary build may be the cause of it.
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

// power is an endpoint's capacity against others: its size at the speed of its machine type.
func (lb *Balancer) power(endpoint *Endpoint) float64 {
	return endpoint.size / lb.machineType(endpoint.machineType).relativeLatency
}

// normalizedPower is power at the mean speed of all machine types: where there is one type it is the endpoint's size,
// however its answers go.
func (lb *Balancer) normalizedPower(endpoint *Endpoint) float64 {
	return lb.power(endpoint) * lb.machines.meanRelativeLatency
}
