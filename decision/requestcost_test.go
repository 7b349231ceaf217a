package decision

import (
	"math"
	"testing"
	"time"
)

// Hunted day ha18a08: a slow build's machines say that a command costs them more; queues, as on ib4b670, do
// not. Incident i70baa1: a gateway that started amid the trial has not seen the work that its peers' totals
// tell of, and counts both from when it does. Incident i673f1d: a build that slows all machines shows in the work that the fleet does; not so, as on
// fleet 25 of the socket bench, where only the earlier machines slow down.
func TestRejectsBuildWhoseRequestsCostMore(t *testing.T) {
	for _, c := range []struct {
		name        string
		trial, base float64
		late, back  bool
		restarts    bool
	}{{"slow", 0.5, 0.3, false, true, false}, {"as quick", 0.22, 0.3, false, false, false},
		{"slows all", 0.9, 0.9, false, true, false}, {"started amid", 0.5, 0.3, true, true, false},
		{"started amid, as quick", 0.22, 0.3, true, false, false},
		{"after a jam", 0.9, 0.9, false, false, true}, {"earlier ones slow down", 0.3, 0.9, false, false, false}} {
		w := newWorld(7, PromoteByAnyVote)
		w.list(8, 0, 1)
		if w.told = 5000; !c.late {
			w.g.RolloutChanged(RolloutStatus{Build: 1, Phase: PhaseReleased, ExposureCap: 1}, w.now)
			w.told = 0
		}
		for _, endpoint := range w.instances {
			w.g.LoadReported(endpoint, 0.3, w.now)
		}
		w.run(6*s, 0)
		// What a jam leaves behind is no build's doing: the machines that came with the way back are young.
		if c.restarts {
			w.g.slowStart.warmUp, w.g.slowStart.overloadSpan = 500*ms, 10*s
			for _, endpoint := range w.instances {
				w.g.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: 1, Cell: endpoint.cell, Size: 2, StartedAt: w.now}, w.now)
			}
		}
		w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 0.25}, w.now)
		w.list(4, w.now-20*s, 2)
		for _, endpoint := range w.instances {
			if w.g.LoadReported(endpoint, c.base, w.now); endpoint.build == 2 {
				w.g.LoadReported(endpoint, c.trial, w.now)
			}
		}
		w.run(6*s, 0)
		if back := w.g.currentVerdict(w.now) == VerdictRollBack; back != c.back {
			t.Errorf("%s: back is %v", c.name, back)
		}
	}
}

// Socket bench, churn, long day and reload: trial machines that became warm just before the totals were due showed the
// work of the whole interval beside the few commands since, and good builds went back.
func TestBusyTimeCountsOverWholeIntervals(t *testing.T) {
	w := started(newWorld(3, PromoteByAnyVote), 8)
	w.run(6*s, 0)
	w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, w.now)
	w.list(2, w.now-4*s-100*ms, 2) // warm since 0.1 s
	for tick, counts := range []bool{false, true, true} {
		for _, endpoint := range w.instances {
			w.g.LoadReported(endpoint, 0.5, w.now)
		}
		w.instances[0].evidence.byOpType[0].FinishedHalves += 100 // beside the commands of the earlier ones
		w.instances[8].evidence.byOpType[0].FinishedHalves += 2
		w.g.learnFleetBaseline(w.now)
		w.g.sumEvidence(w.now)
		if shown := w.instances[8].evidence.busyTime; (shown > 0) != counts {
			t.Errorf("interval %d: %.1f of work", tick, shown)
		}
		w.now += evidenceInterval
	}
}

// Socket bench, fleet 6, 9, 16 and 49: the fleet's work is held against what it was. That moved with the pace that
// is learned of machines, was taken from the first seconds alone, and rose where machines were new.
func TestLearnsRequestCostBeforeTheCanary(t *testing.T) {
	w := started(newWorld(17, PromoteByAnyVote), 8)
	busy := func(span time.Duration, busy float64) float64 {
		for _, endpoint := range w.instances {
			endpoint.utilization = busy
		}
		w.run(span, 0)
		work, _ := w.g.requestCost(w.now)
		return work
	}
	before := busy(8*s, 0.3)
	w.g.machineType(0).relativeLatency, w.g.machineType(1).relativeLatency, w.g.machines.meanRelativeLatency = 1.4, 1.4, 1.4
	if work, _ := w.g.requestCost(w.now); math.Abs(work/before-1) > 0.01 {
		t.Errorf("the work is %.3f of what it was once all answers are slower", work/before)
	}
	w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.1}, w.now)
	if busy(4*s, 0.6); math.Abs(w.g.rollout.cost.perRequest/before-2) > 0.3 {
		t.Errorf("before the build's first machine %.2f of the old work is learned", w.g.rollout.cost.perRequest/before)
	}
	w.list(1, w.now-9*s, 2)
	if busy(4*s, 1.2); math.Abs(w.g.rollout.cost.perRequest/before-2) > 0.3 {
		t.Errorf("amid the trial %.2f of the old work is learned", w.g.rollout.cost.perRequest/before)
	}
	for _, endpoint := range w.instances { // others stand in for all
		w.g.UpdateEndpoint(endpoint, EndpointStatus{Build: endpoint.build, Size: 2}, w.now)
	}
	w.list(9, w.now-9*s, 1)
	for range 4 {
		if work := busy(s/2, 0.3); math.Abs(work/before-1) > 0.3 {
			t.Errorf("new machines of the same work show %.2f of it", work/before)
		}
	}
}

// Grown lima-horarios, big-2: a machine that nobody reaches says the same for ever: no work of its build.
func TestIgnoresStaleUtilization(t *testing.T) {
	w := started(newWorld(8, PromoteByAnyVote), 6)
	w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 1}, w.now)
	w.g.LoadReported(w.instances[0], 0.9, w.now)
	for i := 0; i < 20; i++ {
		w.now += 500 * ms
		w.g.LoadReported(w.instances[1], 0.9, w.now)
		w.wait()
	}
	if old, fresh := w.instances[0].evidence.busyTime, w.instances[1].evidence.busyTime; old > fresh/2 {
		t.Errorf("a figure never renewed counts %v beside %v of one that is", old, fresh)
	}
	// A day found by size: expired commands may never have been begun, and count half against work.
	answered, expired := w.take(0, 0).attempts[0], w.take(0, 0).attempts[0]
	w.end(answered, OutcomeSuccess)
	if w.end(expired, OutcomeTimeout); answered.Endpoint.evidence.byOpType[0].FinishedHalves+expired.Endpoint.evidence.byOpType[0].FinishedHalves != 3 {
		t.Error("an answer and a time-out do not count as one and a half")
	}
}
