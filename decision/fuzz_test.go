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
		w := started(newWorld(seed, PromotionMode(seed%3)), 8)
		w.most = 1
		build, stage, phase := 1, 2, PhaseReleased
		for step := 0; step < 2500; step++ {
			w.now += time.Duration(w.draw(12)) * ms
			switch w.draw(60) {
			case 0: // a machine of some build comes, listed late
				w.list(1, w.now-time.Duration(w.draw(5000))*ms, build+w.draw(2))
			case 1: // one drains, dies or restarts
				endpoint := w.instances[w.draw(len(w.instances))]
				up := w.draw(3) == 0
				start := endpoint.startedAt
				if up {
					start = w.now - time.Duration(w.draw(1000))*ms
				}
				w.g.UpdateEndpoint(endpoint, EndpointStatus{Ready: up, Present: w.draw(2) == 0 || up, Build: endpoint.build, Cell: endpoint.cell, Size: 2, StartedAt: start}, w.now)
				w.drained[endpoint] = !up
				w.g.CommitEndpointList(false, w.now)
			case 2: // the stage moves
				switch {
				case phase != PhaseCanary && w.draw(2) == 0:
					build, stage, phase = build+1, 0, PhaseCanary
				case phase == PhaseCanary && stage < 2:
					stage++
				case phase == PhaseCanary:
					phase = []RolloutPhase{PhaseReleased, PhaseRollingBack}[w.draw(2)]
				}
				most := []float64{0.1, 0.5, 1}[stage]
				if phase == PhaseRollingBack {
					most = 0
				}
				w.g.RolloutChanged(RolloutStatus{Build: build, Stage: stage, Phase: phase, ExposureCap: most}, w.now)
				w.most = most
			case 3: // a burst
				for i := w.draw(40); i > 0; i-- {
					w.take(w.draw(3), uint64(w.draw(20)))
				}
			case 4:
				w.g.VoteAnswered(Outcome(w.draw(8)), w.now)
				w.g.DiscoveryFailed(w.now)
			default:
				if w.draw(3) == 0 {
					w.take(w.draw(3), uint64(w.draw(20)))
				}
			}
			for _, attempt := range append([]*Attempt(nil), w.out...) {
				switch {
				case attempt.done:
				case w.now >= attempt.Request.deadline:
					w.end(attempt, OutcomeTimeout)
				case w.draw(12) == 0:
					w.end(attempt, []Outcome{OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeError, OutcomeRejected, OutcomeConnectFailed, OutcomeConnectionLost,
						OutcomeNotSent}[w.draw(9)])
				}
			}
			w.wait()
			for _, request := range w.cmds {
				if !request.completed && request.inFlight == 0 && w.now > request.deadline+15*ms {
					w.fault("no final answer in time")
				}
			}
			if w.broken != "" {
				t.Fatalf("step %d: %s", step, w.broken)
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
		fl := newFleet(seed, PromotionMode(seed%3), 40, 10)
		dice, build, stage := fl.all[0], 1, 2
		phase := PhaseReleased
		for step := 0; step < 1500; step++ {
			switch dice.draw(150) {
			case 0: // a machine comes, told late
				fl.list(1, fl.now-time.Duration(dice.draw(1500))*ms, build)
			case 1: // one restarts
				m := dice.draw(len(dice.instances))
				for _, w := range fl.all {
					endpoint := w.instances[m]
					w.g.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: endpoint.build, Cell: endpoint.cell, Size: 2, StartedAt: fl.now - 500*ms}, fl.now)
					w.g.CommitEndpointList(false, fl.now)
				}
			case 2:
				if phase == PhaseCanary && stage < 2 {
					stage++
				} else if phase == PhaseCanary {
					phase = PhaseReleased
				} else {
					build, stage, phase = build+1, 0, PhaseCanary
					fl.list(2, fl.now-500*ms, build)
				}
				fl.stage(build, stage, phase, []float64{0.1, 0.5, 1}[stage])
			case 3:
				fl.lost = []int{0, 20, 100}[dice.draw(3)]
			case 4: // all stand still
				fl.now += time.Duration(dice.draw(900)) * ms
			}
			fl.step(2)
			if fl.broken != "" {
				t.Fatalf("step %d: %s", step, fl.broken)
			}
		}
	})
}
