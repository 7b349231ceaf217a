package choice

import "testing"

// FuzzRules plays seeded random histories and checks the five rules after every step.
func FuzzRules(f *testing.F) {
	for seed := uint64(1); seed <= 24; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		w := newWorld(seed, Control(seed%3))
		w.list(8, 0, 1)
		w.g.ToldStage(1, 2, Released, 1, 0, w.now)
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
