package decision

import (
	"testing"
	"time"
)

// FuzzRules plays seeded random histories and checks the five rules after every step.
func FuzzRules(f *testing.F) {
	for seed := uint64(1); seed <= 24; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		gateway := withEndpoints(newTestGateway(seed, PromotionMode(seed%3)), 8)
		gateway.exposureCap = 1
		build, stage, phase := 1, 2, PhaseReleased
		for step := 0; step < 2500; step++ {
			gateway.now += time.Duration(gateway.draw(12)) * millisecond
			switch gateway.draw(60) {
			case 0: // an endpoint of some build starts, listed late
				gateway.addEndpoints(1, gateway.now-time.Duration(gateway.draw(5000))*millisecond, build+gateway.draw(2))
			case 1: // one drains, crashes or restarts
				endpoint := gateway.endpoints[gateway.draw(len(gateway.endpoints))]
				up := gateway.draw(3) == 0
				start := endpoint.startedAt
				if up {
					start = gateway.now - time.Duration(gateway.draw(1000))*millisecond
				}
				gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Ready: up, Present: gateway.draw(2) == 0 || up, Build: endpoint.build, Cell: endpoint.cell, Size: 2, StartedAt: start}, gateway.now)
				gateway.drained[endpoint] = !up
				gateway.balancer.CommitEndpointList(false, gateway.now)
			case 2: // the stage changes
				switch {
				case phase != PhaseCanary && gateway.draw(2) == 0:
					build, stage, phase = build+1, 0, PhaseCanary
				case phase == PhaseCanary && stage < 2:
					stage++
				case phase == PhaseCanary:
					phase = []RolloutPhase{PhaseReleased, PhaseRollingBack}[gateway.draw(2)]
				}
				most := []float64{0.1, 0.5, 1}[stage]
				if phase == PhaseRollingBack {
					most = 0
				}
				gateway.balancer.RolloutChanged(RolloutStatus{Build: build, Stage: stage, Phase: phase, ExposureCap: most}, gateway.now)
				gateway.exposureCap = most
			case 3: // a burst
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
			for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
				switch {
				case attempt.done:
				case gateway.now >= attempt.request.deadline:
					gateway.finish(attempt, OutcomeTimeout)
				case gateway.draw(12) == 0:
					gateway.finish(attempt, []Outcome{OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeError, OutcomeRejected, OutcomeConnectFailed, OutcomeConnectionLost,
						OutcomeNotSent}[gateway.draw(9)])
				}
			}
			gateway.tick()
			for _, request := range gateway.requests {
				if !request.completed && request.inFlight == 0 && gateway.now > request.deadline+15*millisecond {
					gateway.violate("no final answer in time")
				}
			}
			if gateway.violation != "" {
				t.Fatalf("step %d: %s", step, gateway.violation)
			}
		}
	})
}

// FuzzFleet plays histories of forty gateways that see little each, and checks the rules after every step.
func FuzzFleet(f *testing.F) {
	for seed := uint64(1); seed <= 6; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		fleet := newTestFleet(seed, PromotionMode(seed%3), 40, 10)
		dice, build, stage := fleet.gateways[0], 1, 2
		phase := PhaseReleased
		for step := 0; step < 1500; step++ {
			switch dice.draw(150) {
			case 0: // an endpoint starts, listed late
				fleet.addEndpoints(1, fleet.now-time.Duration(dice.draw(1500))*millisecond, build)
			case 1: // one restarts
				m := dice.draw(len(dice.endpoints))
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
				fleet.lostMessagePercent = []int{0, 20, 100}[dice.draw(3)]
			case 4: // all processes stall
				fleet.now += time.Duration(dice.draw(900)) * millisecond
			}
			fleet.step(2)
			if fleet.violation != "" {
				t.Fatalf("step %d: %s", step, fleet.violation)
			}
		}
	})
}
