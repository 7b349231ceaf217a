package decision

import (
	"math"
	"slices"
	"testing"
	"time"

	"laurelring/decision/discovery"
	"laurelring/decision/exposure"
	"laurelring/decision/rollout"
	"laurelring/decision/sequentialtest"
)

// Socket bench, heavy traffic: a build that began to fail after its release stayed, as thousands of clean tries hid
// ten failures.
func TestFailsSinceItsRelease(t *testing.T) {
	w := started(newWorld(9, PromoteByAnyVote), 8)
	w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, w.now)
	w.list(8, w.now-20*s, 2)
	w.instances[0].evidence.byOpType[0] = rollout.Counters{Attempts: 1500, Failures: 1}
	for step, tries := range []uint32{4000, 4000, 4225} { // on trial, released, later
		if step == 1 {
			w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseReleased, ExposureCap: 1}, w.now)
		}
		w.instances[8].evidence.byOpType[0] = rollout.Counters{Attempts: tries, Failures: (tries - 4000) / 22}
		w.g.sumEvidence(w.now)
		if all := w.g.evidence().All; (all >= sequentialtest.LogThreshold()) != (step == 2) {
			t.Errorf("step %d: e^%.1f against the build", step, all)
		}
	}
}

// A build that fails 15 commands in a thousand goes back where failing effects is dear, and stays where being
// behind costs as much.
func TestMarginFollowsPrices(t *testing.T) {
	for harm, back := range map[float64]bool{8: true, 0.3: false, 0: false} {
		w := started(newWorld(9, PromoteByAnyVote), 8)
		w.g.rollout.settings.harmCost = harm
		w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 1, Phase: PhaseCanary, ExposureCap: 0.5}, w.now)
		w.list(4, w.now-20*s, 2)
		for _, endpoint := range w.instances {
			endpoint.evidence.byOpType[0] = rollout.Counters{Attempts: 1000}
			if endpoint.build == 2 {
				endpoint.evidence.byOpType[0].Failures = 15
			}
		}
		w.g.sumEvidence(w.now)
		if all := w.g.evidence().All; (all >= sequentialtest.LogThreshold()) != back {
			t.Errorf("harm %v: e^%v against the build", harm, all)
		}
	}
}

// With no earlier machine left a case by failures must stand, as single machines may fail; one by the fleet's
// work goes to the vote at once.
func TestWorkNeedNotStand(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		w := started(newWorld(9, PromoteByAnyVote), 8)
		w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, w.now)
		for _, endpoint := range w.instances {
			w.g.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: 2, Cell: endpoint.cell, Size: 2, StartedAt: w.now - 20*s}, w.now)
			endpoint.evidence.byOpType[0] = rollout.Counters{Attempts: 300, Failures: 90}
		}
		w.g.CommitEndpointList(false, w.now)
		w.g.rollout.evidence.departed.At(rollout.Baseline, 0).Attempts = 1000
		if byWork {
			w.g.rollout.cost.fleet = rollout.FleetCost{Requests: 300, Cost: 900}
		}
		w.g.sumEvidence(w.now)
		w.g.rollout.rollback.clearAt = w.now
		first := w.g.currentVerdict(w.now)
		w.now += rollbackCaseHold
		if then := w.g.currentVerdict(w.now); first == VerdictRollBack != byWork || then != VerdictRollBack {
			t.Errorf("by work %v: %v at once, then %v", byWork, first, then)
		}
	}
}

func TestFinalAnswers(t *testing.T) {
	w := started(newWorld(1, PromoteByAnyVote), 3)
	// An at-most-once command that may have run fails; one that proves unrun goes out again, and is nacked at
	// the end.
	once := w.take(2, 0)
	w.end(once.attempts[0], OutcomeConnectionLost)
	if !once.completed || w.last.Action != ActionFail {
		t.Fatalf("a broken at-most-once delivery gave %v, want a failure", w.last.Action)
	}
	again := w.take(2, 0)
	w.end(again.attempts[0], OutcomeRejected)
	if again.completed || w.last.Action != ActionForward {
		t.Fatalf("an at-most-once delivery that never ran gave %v, want another", w.last.Action)
	}
	// A further delivery only if the time left exceeds the time it is expected to take.
	late := w.take(0, 0)
	w.now = late.deadline - 20*ms
	w.end(late.attempts[0], OutcomeError)
	if !late.completed || w.last.Action != ActionReject || w.last.RetryAfter <= 0 {
		t.Fatalf("a command without time gave %v, want a nack with a time to come back", w.last)
	}
}

// Incidents i431a84 and i307ef6: machines that failed fast or turned all away drew all once others were full.
func TestFastFailuresDrawNothing(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeError, OutcomeRejected, OutcomeConnectFailed} {
		w := started(newWorld(2, PromoteByAnyVote), 4)
		bad, hits := w.instances[0], 0
		for i := 0; i < 3000; i++ {
			w.now += 5 * ms
			w.take(0, 0)
			for _, attempt := range append([]*Attempt(nil), w.out...) {
				if attempt.Endpoint == bad {
					hits++
					w.end(attempt, outcome)
				}
			}
			w.finish(100 * ms)
			w.wait()
		}
		if hits == 0 || hits > 150 {
			t.Errorf("a machine that ends all with outcome %d got %d deliveries in 15 s", outcome, hits)
		}
	}
}

// Incident rough-1 of rolls-east: a trial machine listed late got its whole unused budget at once.
func TestNoBurstOnTrial(t *testing.T) {
	w := started(newWorld(3, PromoteByQuorum), 8)
	for i := 0; i < 1000; i++ {
		w.now += 4 * ms
		w.take(0, 0)
		w.finish(40 * ms)
	}
	w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 1, Phase: PhaseCanary, ExposureCap: 0.5}, w.now)
	w.list(1, w.now-10*s, 2)
	trial := w.instances[8]
	for i := 0; i < 10; i++ {
		w.take(0, 0)
	}
	if len(trial.inFlight) == 0 || len(trial.inFlight) > 4 {
		t.Errorf("a freshly listed trial machine holds %d of ours, want a few", len(trial.inFlight))
	}
}

// Errors of one trial machine among several are its own; all of them failing is the build's, though with no
// earlier machine left only a while later.
func TestOddMachineIsLeftOut(t *testing.T) {
	for _, c := range []struct{ ill, base int }{{1, 8}, {4, 8}, {4, 0}} {
		w := started(newWorld(4, PromoteByAnyVote), 8)
		w.run(4*s, 0)
		w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 3, Phase: PhaseCanary, ExposureCap: 1}, w.now)
		w.list(4, w.now-10*s, 2)
		w.run(2*s, 0)
		for _, endpoint := range w.instances[c.base:8] {
			w.g.UpdateEndpoint(endpoint, EndpointStatus{Build: 1, Size: 2}, w.now)
		}
		w.run(s, c.ill)
		early := w.g.currentVerdict(w.now) == VerdictRollBack
		w.run(3*s, c.ill)
		if late := w.g.currentVerdict(w.now) == VerdictRollBack; early && c.base == 0 || late != (c.ill == 4) {
			t.Errorf("%d of four trial machines fail beside %d: back is %v, then %v", c.ill, c.base, early, late)
		}
	}
}

// 'On' waits for 3 s after the latest listed start and for all of the stage's machines; votes are renewed.
func TestOnIsPatient(t *testing.T) {
	w := newWorld(5, PromoteByAnyVote)
	w.g.gateways = 1
	w.list(10, 0, 1)
	w.g.RolloutChanged(RolloutStatus{Build: 1, Phase: PhaseReleased, ExposureCap: 1}, w.now)
	w.run(2*s, 0)
	w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, w.now)
	start := w.now + s
	var votes []time.Duration
	for i := 0; i < 2000; i++ {
		w.now += 5 * ms
		if w.now == start+s {
			w.list(2, start, 2)
		}
		for _, v := range w.wait().Votes {
			if v.Verdict != VerdictPromote {
				t.Fatalf("voted %v", v)
			}
			votes = append(votes, w.now)
			w.g.VoteAnswered(OutcomeSuccess, w.now)
		}
	}
	if len(votes) < 2 || votes[0] < start+promoteWait || votes[0] > start+promoteWait+10*ms {
		t.Errorf("'on' came at %v after a start at %v", votes, start)
	}
}

// Socket bench, fleet 32, 37 and 53: a crash amid a stage whose machines had all been listed kept 'on' away until
// they were back and 3 s old; the platform took a good build off by then.
func TestCrashHoldsNoStage(t *testing.T) {
	for _, shown := range []int{2, 1} { // of two machines of the stage
		w := newWorld(5, PromoteByAnyVote)
		w.g.gateways = 1
		started(w, 20)
		w.run(2*s, 0)
		w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.2}, w.now)
		start := w.now
		w.list(shown, start, 2)
		w.run(s, 0)
		w.g.UpdateEndpoint(w.instances[20], EndpointStatus{Ready: true, Present: true, Build: 2, Size: 2, StartedAt: w.now}, w.now) // it restarts
		if shown == 2 {
			w.g.UpdateEndpoint(w.instances[21], EndpointStatus{Build: 2, Size: 2, StartedAt: start}, w.now)
		}
		w.g.CommitEndpointList(false, w.now)
		w.run(promoteWait-s-100*ms, 0)
		early := w.g.currentVerdict(w.now)
		w.run(200*ms, 0)
		if late := w.g.currentVerdict(w.now); early != VerdictNone || (late == VerdictPromote) != (shown == 2) {
			t.Errorf("%d of two machines were listed: votes %v, then %v", shown, early, late)
		}
	}
}

// A pinned key goes to no earlier build, until the new one is sent back.
func TestKeysMoveForward(t *testing.T) {
	w := newWorld(6, PromoteByAnyVote)
	w.g.canary.stickyKeys = exposure.NewStickyKeys()
	w.list(4, 0, 1)
	w.list(1, w.now-10*s, 2)
	w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.5}, w.now)
	key := uint64(100)
	request := w.take(0, key)
	for ; key < 150 && request.attempts[0].Endpoint.build != 2; key++ { // a budget below one comes by lot
		w.now += 100 * ms
		w.finish(200 * ms)
		request = w.take(0, key+1)
	}
	if request.attempts[0].Endpoint.build != 2 {
		t.Fatal("the trial got nothing")
	}
	w.end(request.attempts[0], OutcomeSuccess)
	w.instances[4].ready = false
	if next := w.take(0, key); len(next.attempts) != 0 {
		t.Error("a key that the new build has answered went to an earlier one")
	}
	w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseRollingBack}, w.now)
	if next := w.take(0, key); len(next.attempts) != 1 {
		t.Error("a key stayed pinned to a build that goes back")
	}
}

// Hunted day ha18a08: a slow build's machines say that a command costs them more; queues, as on ib4b670, do
// not. Incident i70baa1: a gateway that started amid the trial has not seen the work that its peers' totals
// tell of, and counts both from when it does. Incident i673f1d: a build that slows all machines shows in the work that the fleet does; not so, as on
// fleet 25 of the socket bench, where only the earlier machines slow down.
func TestWorkTellsSlowBuilds(t *testing.T) {
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

// Standing test, roll+mass: every gateway starts anew amid the trial of a build that slows all machines, a few at a
// time. Those that start anew take over what commands cost before, and the totals of those that did stand: the build
// goes back. A good one does not.
func TestRestartsKeepTheCase(t *testing.T) {
	for _, busy := range []float64{0.95, 0.5} {
		f := newFleet(5, PromoteByAnyVote, 20, 10)
		f.run(7*s, 10)
		f.stage(2, 2, PhaseCanary, 0.4)
		f.list(4, f.now-20*s, 2)
		f.run(300*ms, 10)
		f.busy = busy
		for i := range f.all {
			f.restart((i*7)%20, 2, 2, 0.4)
			f.run(300*ms, 10)
		}
		f.run(5*s, 10)
		if back := len(f.verdicts[VerdictRollBack]) > 0; back != (busy > 0.9) || f.broken != "" {
			t.Errorf("machines %v busy: back is %v (%s)", busy, back, f.broken)
		}
	}
	// What a sender told before it started anew stands, and counts once.
	w := started(newWorld(3, PromoteByAnyVote), 8)
	w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 0.4}, w.now)
	for i, n := range []uint32{10, 30, 4, 4, 9} {
		table := rollout.NewTable(len(w.ops))
		table.At(rollout.Canary, 0).FinishedHalves = n
		w.g.EvidenceReceived(&EvidenceReport{Sender: 1, CountedAt: w.now + time.Duration(i), Build: 2, Counters: table.Encode()}, w.now)
	}
	if sum := w.g.pooledCounters().At(rollout.Canary, 0).FinishedHalves; sum != 39 {
		t.Errorf("pooled %d, want 30 and 9", sum)
	}
}

// Socket bench, spoilt answers and a hang: with all machines on trial, those in good order had no room within their
// share, and commands went to silent ones as the only others. They wait.
func TestNoRoomIsNoDoubt(t *testing.T) {
	w := started(newWorld(8, PromoteByAnyVote), 0)
	w.list(8, 0, 2)
	w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, w.now)
	w.most = 1
	for range 4 * s / (20 * ms) {
		w.now += 20 * ms
		w.take(0, 0)
		w.finish(20 * ms)
	}
	for _, endpoint := range w.instances[:3] {
		w.g.eject(endpoint, w.now)
		endpoint.ejectedUntil = w.now + 60*s
	}
	for range 200 {
		w.now += 20 * ms
		if w.take(0, 0); w.last.Action == ActionForward && w.last.Endpoint.consecutiveFailures > 0 {
			t.Fatal("sent to a machine in doubt beside others that are full")
		}
		w.finish(20 * ms)
	}
}

// Socket bench, churn, long day and reload: trial machines that became warm just before the totals were due showed the
// work of the whole interval beside the few commands since, and good builds went back.
func TestWorkBeginsWithAnswers(t *testing.T) {
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
func TestWorkOfBefore(t *testing.T) {
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

// Incident i1e3b86: every gateway sees the same crash; among them it counts about once.
func TestCrashCountsOnceAmongGateways(t *testing.T) {
	w := started(newWorld(8, PromoteByAnyVote), 3)
	w.g.RolloutChanged(RolloutStatus{Build: 2, Phase: PhaseCanary, ExposureCap: 1}, w.now)
	const crashes = 90
	for i := 0; i < crashes; i++ {
		w.now += 6 * s
		for n := 0; n < 4; n++ {
			w.take(2, 0)
		}
		endpoint := w.out[0].Endpoint
		for _, attempt := range append([]*Attempt(nil), endpoint.inFlight...) {
			w.end(attempt, OutcomeConnectionLost)
		}
		w.finish(0)
	}
	fails := 0
	for _, endpoint := range w.instances {
		fails += int(endpoint.evidence.byOpType[2].Failures)
	}
	if fails < crashes/6 || fails > crashes/2 {
		t.Errorf("%d crashes counted %d times by one of three gateways", crashes, fails)
	}
}

// Grown rolls-east: 360 voters each heard 600 gateways. A few judge for all; the others vote what these
// found, and nobody votes 'on' before 3 s, or votes a good build back.
func TestFleetFollowsFewVoters(t *testing.T) {
	for _, fails := range []int{0, 60} {
		f := newFleet(1, PromoteByQuorum, 60, 10)
		f.fails = fails
		f.run(5*s, 3)
		f.stage(2, 0, PhaseCanary, 0.2)
		f.list(2, f.now, 2)
		f.run(2900*ms, 3)
		if n := len(f.verdicts[VerdictPromote]); n > 0 {
			t.Errorf("%d gateways voted on before 3 s", n)
		}
		f.run(9*s, 3)
		on, back := len(f.verdicts[VerdictPromote]), len(f.verdicts[VerdictRollBack])
		if fails == 0 && (on < 30 || back > 0) || fails > 0 && back < 30 {
			t.Errorf("%d%% fail: %d gateways voted on, %d back, of which 30 are required", fails, on, back)
		}
		if n := len(f.all[7].g.voters(2)); n != voterCount {
			t.Errorf("%d voters of 60 gateways", n)
		}
	}
}

// Grown lima-horarios, rough-2: while all messages are lost nobody calls a build slow, and where harm
// weighs much more than being behind nobody moves it on.
func TestLostMessagesHoldABuild(t *testing.T) {
	for _, harm := range []float64{8, 2} {
		f := newFleet(2, PromoteByQuorum, 40, 10)
		for _, w := range f.all {
			w.g.rollout.settings.harmCost = harm
		}
		f.run(5*s, 1)
		f.lost = 100
		f.stage(2, 0, PhaseCanary, 0.2)
		f.list(2, f.now, 2)
		f.run(5500*ms, 1)
		early := len(f.verdicts[VerdictPromote])
		f.run(3*s, 1)
		late := len(f.verdicts[VerdictPromote])
		byWork := f.all[f.all[0].g.voters(2)[0]].g.rollout.cost.start != nil // of what a voter was deaf for
		if early > 0 || (late > 20) != (harm < 6) || len(f.verdicts[VerdictRollBack]) > 0 || byWork {
			t.Errorf("harm %v: %d voted on within 5.5 s, %d within 8.5 s: %v", harm, early, late, f.verdicts)
		}
	}
}

// Grown lima-horarios, big-1: budgets below one delivery were rounded up by each gateway, or multiplied; a
// cold machine gets near its share of all together.
func TestSmallBudgetsAddUp(t *testing.T) {
	f := newFleet(3, PromoteByAnyVote, 60, 9)
	f.run(6*s, 1)
	f.list(1, f.now, 1)
	f.run(5*s, 1)
	sent := 0
	for _, w := range f.all {
		sent += len(w.cold[w.instances[9]])
	}
	if sent < 4 || sent > 30 || f.broken != "" {
		t.Errorf("a fresh machine got %d deliveries in 4 s, want about 15 (%s)", sent, f.broken)
	}
}

// Incident on grown rolls-east: where a gateway meets a machine seldom, a slow answer is no silence.
func TestSilenceNeedsAcquaintance(t *testing.T) {
	for _, ill := range []bool{false, true} {
		w := started(newMember(4, PromoteByQuorum, 0, 100, 30), 4)
		request := w.take(0, 0)
		if ill {
			w.g.VoterReportReceived(&VoterReport{Sender: w.g.voters(1)[0], FoundAt: w.now, Build: 1,
				Outliers: []*Endpoint{request.attempts[0].Endpoint}}, w.now)
		}
		w.now += 1400 * ms // six mean times are 1.5 s at first; findings last as long
		w.g.opTypes[0].meanLatency = float64(100 * ms)
		if _, due := w.g.Tick(w.now); (len(due.CancelAttempts) > 0) != ill {
			t.Errorf("named ill %v: %d deliveries called off", ill, len(due.CancelAttempts))
		}
	}
}

// Grown rolls-east, overload: late answers of full machines bound what a gateway has out; of others they
// may be the way's.
func TestJamsBoundAllDeliveries(t *testing.T) {
	for _, busy := range []float64{0.5, 1} {
		w := started(newMember(5, PromoteByQuorum, 0, 100, 30), 8)
		for i := 0; i < 40; i++ {
			w.now += 500 * ms
			w.take(0, 0)
			for _, attempt := range append([]*Attempt(nil), w.out...) {
				w.g.LoadReported(attempt.Endpoint, busy, w.now)
			}
			w.finish(900 * ms)
			w.wait()
		}
		w.finish(0)
		w.take(0, 0)
		w.take(0, 0)
		if paused := len(w.out) == 0; paused != (busy == 1) {
			t.Errorf("machines %v busy answer late: all held for a pause is %v", busy, paused)
		}
	}
}

// Grown rolls-east, big-1: a zone from which answers come late or never is left out, and tried again in
// time.
func TestBadWayIsLeftOut(t *testing.T) {
	w := started(newMember(6, PromoteByQuorum, 0, 100, 30), 8)
	for _, endpoint := range w.instances[4:] {
		w.g.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: 1, Zone: 1, Size: 2}, w.now)
	}
	far := func(n int, extra time.Duration) (sent int) {
		for i := 0; i < n; i++ {
			w.now += 200 * ms
			w.take(0, 0)
			for _, attempt := range append([]*Attempt(nil), w.out...) {
				if w.now += 50 * ms; attempt.Endpoint.zone == 1 {
					sent++
					w.now += extra
				}
				w.end(attempt, OutcomeSuccess)
			}
		}
		return sent
	}
	if quick, slow := far(40, 0), far(40, 700*ms); quick < 12 || slow > 5 {
		t.Errorf("%d of 40 crossed a quick way, then %d of 40 a slow one", quick, slow)
	}
	w.now += 40 * s
	if again := far(10, 0); again == 0 {
		t.Error("a slow way is never tried again")
	}
}

// Grown lima-horarios, big-2: where few connections are accepted, machines that answered are kept to.
func TestKeepsToMachinesThatConnect(t *testing.T) {
	w := started(newMember(7, PromoteByQuorum, 0, 100, 30), 80)
	sent := 0
	for i := 0; i < 100; i++ {
		w.now += 300 * ms
		for w.take(0, 0); len(w.out) > 0; sent++ {
			w.now += 20 * ms
			if slices.Index(w.instances, w.out[0].Endpoint)%30 == 3 {
				w.end(w.out[0], OutcomeSuccess)
			} else {
				w.end(w.out[0], OutcomeConnectFailed)
			}
		}
	}
	if sent > 200 {
		t.Errorf("%d deliveries for 100 commands where three of eighty machines accept connections", sent)
	}
}

// Grown lima-horarios, big-2: a machine that nobody reaches says the same for ever: no work of its build.
func TestStaleLoadIsNoWork(t *testing.T) {
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

// A fleet that starts, or loses the list, at once does not ask for it in step: the first calls of 24 or 300 spread over
// two seconds, those after a common loss over twice the pause. Where all calls fail it asks for less than one call of
// each gateway in eight seconds, or discovery's queue would never clear: after a few failures, and after the first one
// where peers tell that all go without an answer.
func TestFleetAsksApart(t *testing.T) {
	for _, peers := range []int{1, 24, 300} {
		var first, again, last, crowded []time.Duration
		for i := range 300 {
			w := newMember(uint64(i+1), PromoteByAnyVote, i%peers, peers, 1)
			w.g.endpointList.polling = discovery.NewPacing()
			ask := func() time.Duration {
				for begun := w.now; ; w.now += ms {
					if _, due := w.g.Tick(w.now); due.PollDiscovery {
						return w.now - begun
					}
				}
			}
			first = append(first, ask())
			w.g.DiscoveryFailed(w.now)
			again = append(again, ask())
			for range 8 {
				w.g.DiscoveryFailed(w.now)
				last = append(last, ask())
			}
			w.g.CommitEndpointList(false, w.now)
			w.g.UnansweredShareEstimated(1)
			w.g.DiscoveryFailed(w.now)
			crowded = append(crowded, ask())
		}
		mean := func(all []time.Duration) time.Duration {
			sum := time.Duration(0)
			for _, one := range all {
				sum += one / time.Duration(len(all))
			}
			return sum
		}
		crowd := func(all []time.Duration) int { // most calls within a tenth of a second
			most := 0
			for _, at := range all {
				n := 0
				for _, o := range all {
					if o >= at && o < at+100*ms {
						n++
					}
				}
				most = max(most, n)
			}
			return most
		}
		if top := slices.Max(first); top > 2*s || peers > 1 && crowd(first) > 35 || peers == 1 && top > 20*ms {
			t.Errorf("of %d: first calls within %d ms, %d in a tenth of a second", peers, top/ms, crowd(first))
		}
		if crowd(again) > 110 || slices.Min(again) < 300*ms || slices.Max(last) > 12900*ms {
			t.Errorf("of %d: %d calls in a tenth of a second, the last %d ms after", peers, crowd(again), slices.Max(last)/ms)
		}
		if steady := last[len(last)-1:]; mean(crowded) < 8*s || slices.Max(crowded) > 12900*ms || steady[0] < 6400*ms {
			t.Errorf("of %d: one call in %d ms where all go without an answer, in %d after many failures", peers,
				mean(crowded)/ms, steady[0]/ms)
		}
	}
}

// Where builds are vouched for, one that is not gets nothing, whatever its stage; all others as ever. Without that any
// build is taken, as before.
func TestOnlyVouchedBuilds(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		w := started(newWorld(4, PromoteByAnyVote), 6)
		w.list(6, 0, 2)
		w.g.RolloutChanged(RolloutStatus{Build: 2, Stage: 2, Phase: PhaseCanary, ExposureCap: 1}, w.now)
		w.most = 1
		if guarded {
			w.g.RequireVerifiedBuilds()
			if w.take(0, 0); w.last.Action != ActionQueue {
				t.Error("sent before any build is vouched for")
			}
			w.g.BuildVerified(1, true)
		} else {
			w.g.BuildVerified(1, false) // nobody asked
		}
		trial := func() int {
			n := len(w.trial[2])
			w.run(3*s, 0)
			return len(w.trial[2]) - n
		}
		if n := trial(); (n == 0) != guarded {
			t.Errorf("guarded %t: %d deliveries to a build that nobody vouches for", guarded, n)
		}
		if w.g.BuildVerified(2, true); trial() == 0 {
			t.Error("a build that is vouched for gets nothing")
		}
		waits := &Attempt{Request: &Request{}, Endpoint: w.instances[6], build: 2}
		if w.g.BuildVerified(2, false); w.g.AttemptAllowed(waits, w.now) == guarded {
			t.Error("what waits for its connection goes to a build that is no longer vouched for")
		}
		if w.broken != "" {
			t.Error(w.broken)
		}
	}
}
