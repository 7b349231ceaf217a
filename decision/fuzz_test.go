package decision

import "testing"

// FuzzRules plays seeded random histories and checks the five rules after every step.
func FuzzRules(f *testing.F) {
	for seed := uint64(1); seed <= 24; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		w := started(newWorld(seed, Control(seed%3)), 8)
		w.most = 1
		build, stage, phase := 1, 2, Released
		for step := 0; step < 2500; step++ {
			w.now += int64(w.draw(12)) * ms
			switch w.draw(60) {
			case 0: // a machine of some build comes, listed late
				w.list(1, w.now-int64(w.draw(5000))*ms, build+w.draw(2))
			case 1: // one drains, dies or restarts
				it := w.instances[w.draw(len(w.instances))]
				up := w.draw(3) == 0
				start := it.startedAt
				if up {
					start = w.now - int64(w.draw(1000))*ms
				}
				w.g.ToldInstance(it, up, w.draw(2) == 0 || up, it.build, 0, 0, it.cell, 2, start, w.now)
				w.drained[it] = !up
				w.g.ToldListEnd(false, w.now)
			case 2: // the stage moves
				switch {
				case phase != OnTrial && w.draw(2) == 0:
					build, stage, phase = build+1, 0, OnTrial
				case phase == OnTrial && stage < 2:
					stage++
				case phase == OnTrial:
					phase = []Phase{Released, GoingBack}[w.draw(2)]
				}
				most := []float64{0.1, 0.5, 1}[stage]
				if phase == GoingBack {
					most = 0
				}
				w.g.ToldStage(build, stage, phase, most, 0, w.now)
				w.most = most
			case 3: // a burst
				for i := w.draw(40); i > 0; i-- {
					w.take(w.draw(3), uint64(w.draw(20)))
				}
			case 4:
				w.g.ToldVote(Outcome(w.draw(8)), w.now)
				w.g.ToldListFailed(w.now)
			default:
				if w.draw(3) == 0 {
					w.take(w.draw(3), uint64(w.draw(20)))
				}
			}
			for _, dl := range append([]*Delivery(nil), w.out...) {
				switch {
				case dl.Done:
				case w.now >= dl.Cmd.lastAnswer:
					w.end(dl, TimedOut)
				case w.draw(12) == 0:
					w.end(dl, []Outcome{Acked, Acked, Acked, Acked, Errored, Rejected, Unconnected, Broken,
						Unsent}[w.draw(9)])
				}
			}
			w.wait()
			for _, cmd := range w.cmds {
				if !cmd.Ended && cmd.Open == 0 && w.now > cmd.lastAnswer+15*ms {
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
		fl := newFleet(seed, Control(seed%3), 40, 10)
		dice, build, stage := fl.all[0], 1, 2
		phase := Released
		for step := 0; step < 1500; step++ {
			switch dice.draw(150) {
			case 0: // a machine comes, told late
				fl.list(1, fl.now-int64(dice.draw(1500))*ms, build)
			case 1: // one restarts
				m := dice.draw(len(dice.instances))
				for _, w := range fl.all {
					it := w.instances[m]
					w.g.ToldInstance(it, true, true, it.build, 0, 0, it.cell, 2, fl.now-500*ms, fl.now)
					w.g.ToldListEnd(false, fl.now)
				}
			case 2:
				if phase == OnTrial && stage < 2 {
					stage++
				} else if phase == OnTrial {
					phase = Released
				} else {
					build, stage, phase = build+1, 0, OnTrial
					fl.list(2, fl.now-500*ms, build)
				}
				fl.stage(build, stage, phase, []float64{0.1, 0.5, 1}[stage])
			case 3:
				fl.lost = []int{0, 20, 100}[dice.draw(3)]
			case 4: // all stand still
				fl.now += int64(dice.draw(900)) * ms
			}
			fl.step(2)
			if fl.broken != "" {
				t.Fatalf("step %d: %s", step, fl.broken)
			}
		}
	})
}
