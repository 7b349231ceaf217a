package decision

import (
	"testing"
	"time"
)

// FuzzRules runs seeded random histories against one gateway and checks the rules of testGateway at every step, and
// that each request gets its final answer in time.
func FuzzRules(f *testing.F) {
	for seed := uint64(1); seed <= 24; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		gateway := withEndpoints(newTestGateway(seed, PromotionMode(seed%3)), 8)
		gateway.exposureCap = 1
		status := RolloutStatus{Build: 1, Stage: 2, Phase: PhaseReleased}
		for step := 0; step < 2500; step++ {
			gateway.now += time.Duration(gateway.draw(12)) * millisecond
			gateway.randomEvent(&status)
			gateway.randomOutcomes()
			gateway.tick()
			for _, request := range gateway.requests {
				if !request.completed && request.inFlight == 0 && gateway.now > request.deadline+15*millisecond {
					gateway.recordViolation("request without a final answer in time")
				}
			}
			if gateway.violation != "" {
				t.Fatalf("step %d: %s", step, gateway.violation)
			}
		}
	})
}

// randomEvent makes a random change to the endpoints or the rollout, sends requests, or fails calls of the gateway.
func (gateway *testGateway) randomEvent(status *RolloutStatus) {
	switch gateway.draw(60) {
	case 0: // an endpoint of the current or the next build starts and is listed late
		gateway.addEndpoints(1, gateway.now-time.Duration(gateway.draw(5000))*millisecond, status.Build+gateway.draw(2))
	case 1:
		gateway.randomEndpointChange()
	case 2:
		gateway.randomStageChange(status)
	case 3: // a burst of requests
		for i := gateway.draw(40); i > 0; i-- {
			gateway.send(gateway.draw(3), uint64(gateway.draw(20)))
		}
	case 4:
		gateway.balancer.VoteAnswered(Outcome(gateway.draw(8)), gateway.now)
		gateway.balancer.DiscoveryFailed(gateway.now)
	default:
		if gateway.draw(3) == 0 {
			gateway.send(gateway.draw(3), uint64(gateway.draw(20)))
		}
	}
}

// randomEndpointChange makes an endpoint drain, crash or restart.
func (gateway *testGateway) randomEndpointChange() {
	endpoint := gateway.endpoints[gateway.draw(len(gateway.endpoints))]
	ready := gateway.draw(3) == 0
	startedAt := endpoint.startedAt
	if ready {
		startedAt = gateway.now - time.Duration(gateway.draw(1000))*millisecond
	}
	present := gateway.draw(2) == 0 || ready
	gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Ready: ready, Present: present, Build: endpoint.build,
		Cell: endpoint.cell, Size: 2, StartedAt: startedAt}, gateway.now)
	gateway.drained[endpoint] = !ready
	gateway.balancer.CommitEndpointList(false, gateway.now)
}

// randomStageChange moves the rollout to the next stage, phase or build.
func (gateway *testGateway) randomStageChange(status *RolloutStatus) {
	switch {
	case status.Phase != PhaseCanary && gateway.draw(2) == 0:
		status.Build, status.Stage, status.Phase = status.Build+1, 0, PhaseCanary
	case status.Phase == PhaseCanary && status.Stage < 2:
		status.Stage++
	case status.Phase == PhaseCanary:
		status.Phase = []RolloutPhase{PhaseReleased, PhaseRollingBack}[gateway.draw(2)]
	}
	status.ExposureCap = []float64{0.1, 0.5, 1}[status.Stage]
	if status.Phase == PhaseRollingBack {
		status.ExposureCap = 0
	}
	gateway.balancer.RolloutChanged(*status, gateway.now)
	gateway.exposureCap = status.ExposureCap
}

// randomOutcomes finishes some of the attempts in flight, and times out all attempts whose request has reached its
// deadline.
func (gateway *testGateway) randomOutcomes() {
	outcomes := []Outcome{OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeError, OutcomeRejected,
		OutcomeConnectFailed, OutcomeConnectionLost, OutcomeNotSent}
	for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
		switch {
		case attempt.done:
		case gateway.now >= attempt.request.deadline:
			gateway.finish(attempt, OutcomeTimeout)
		case gateway.draw(12) == 0:
			gateway.finish(attempt, outcomes[gateway.draw(len(outcomes))])
		}
	}
}

// FuzzFleet runs seeded random histories of forty gateways with few requests each, and checks the rules of testGateway
// and testFleet at every step.
func FuzzFleet(f *testing.F) {
	for seed := uint64(1); seed <= 6; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		fleet := newTestFleet(seed, PromotionMode(seed%3), 40, 10)
		random, build, stage := fleet.gateways[0], 1, 2
		phase := PhaseReleased
		for step := 0; step < 1500; step++ {
			switch random.draw(150) {
			case 0: // an endpoint starts and is listed late
				fleet.addEndpoints(1, fleet.now-time.Duration(random.draw(1500))*millisecond, build)
			case 1: // an endpoint restarts
				m := random.draw(len(random.endpoints))
				for _, gateway := range fleet.gateways {
					endpoint := gateway.endpoints[m]
					gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: endpoint.build, Cell: endpoint.cell, Size: 2, StartedAt: fleet.now - 500*millisecond}, fleet.now)
					gateway.balancer.CommitEndpointList(false, fleet.now)
				}
			case 2:
				if phase == PhaseCanary && stage < 2 {
					stage++
				} else if phase == PhaseCanary {
					phase = PhaseReleased
				} else {
					build, stage, phase = build+1, 0, PhaseCanary
					fleet.addEndpoints(2, fleet.now-500*millisecond, build)
				}
				fleet.changeStage(build, stage, phase, []float64{0.1, 0.5, 1}[stage])
			case 3:
				fleet.lostMessagePercent = []int{0, 20, 100}[random.draw(3)]
			case 4: // all processes stall
				fleet.now += time.Duration(random.draw(900)) * millisecond
			}
			fleet.step(2)
			if fleet.violation != "" {
				t.Fatalf("step %d: %s", step, fleet.violation)
			}
		}
	})
}
