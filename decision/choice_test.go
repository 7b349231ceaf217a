package decision

import (
	"math"
	"slices"
	"testing"
)

// M(n, L) with phi 1 is n! e^L / (1+L)^(n+1): worked out by hand.
func TestProduct(t *testing.T) {
	for _, c := range []struct{ n, l, want float64 }{
		{0, 0, 1},
		{0, 1, math.E / 2},
		{1, 1, math.E / 4},
		{3, 1, 6 * math.E / 16},
		{4, 0, 24},
		{2, 3, 2 * math.Exp(3) / 64},
	} {
		if got := math.Exp(product(c.n, c.l)); math.Abs(got-c.want) > 1e-9*c.want {
			t.Errorf("M(%v, %v) = %v, want %v", c.n, c.l, got, c.want)
		}
	}
	if e := attempts(50, 10, 0, 0, 0.02); e != 0 {
		t.Errorf("no attempts on one side give e^%v, want 1", e)
	}
	if e := attempts(50, 0, 50, 10, 0.02); e > 0 {
		t.Errorf("a trial that fails less than its L speaks against it: %v", e)
	}
	// Incident i7a8a80: a few machines that fail fast are no ground to send back a build that serves all the
	// rest.
	if few, many := attempts(4000, 16, 5000, 2, 0.01), attempts(60, 12, 600, 3, 0.02); few > 0 || many < math.Log(1/alpha) {
		t.Errorf("four in a thousand speak against a build with e^%v, one in five with e^%v", few, many)
	}
}

// Socket bench, heavy traffic: a build that began to fail after its release stayed, as thousands of clean tries hid
// ten failures.
func TestFailsSinceItsRelease(t *testing.T) {
	w := started(newWorld(9, ControlAny), 8)
	w.g.ToldStage(2, 2, OnTrial, 1, 0, w.now)
	w.list(8, w.now-20*s, 2)
	w.instances[0].block[0] = [cellKinds]uint32{1500, 1, 0}
	for step, tries := range []uint32{4000, 4000, 4225} { // on trial, released, later
		if step == 1 {
			w.g.ToldStage(2, 2, Released, 1, 0, w.now)
		}
		w.instances[8].block[0] = [cellKinds]uint32{tries, (tries - 4000) / 22, 0}
		w.g.fold(w.now)
		if all, _ := w.g.evidence(); (all >= math.Log(1/alpha)) != (step == 2) {
			t.Errorf("step %d: e^%.1f against the build", step, all)
		}
	}
}

// A build that fails 15 commands in a thousand goes back where failing effects is dear, and stays where being
// behind costs as much.
func TestMarginFollowsPrices(t *testing.T) {
	for harm, back := range map[float64]bool{8: true, 0.3: false, 0: false} {
		w := started(newWorld(9, ControlAny), 8)
		w.g.Price(0, 0.3, harm)
		w.g.ToldStage(2, 1, OnTrial, 0.5, 0, w.now)
		w.list(4, w.now-20*s, 2)
		for _, it := range w.instances {
			it.block[0] = [cellKinds]uint32{1000, 0, 0}
			if it.build == 2 {
				it.block[0][1] = 15
			}
		}
		w.g.fold(w.now)
		if all, _ := w.g.evidence(); (all >= math.Log(1/alpha)) != back {
			t.Errorf("harm %v: e^%v against the build", harm, all)
		}
	}
}

// With no earlier machine left a case by failures must stand, as single machines may fail; one by the fleet's
// work goes to the vote at once.
func TestWorkNeedNotStand(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		w := started(newWorld(9, ControlAny), 8)
		w.g.ToldStage(2, 2, OnTrial, 1, 0, w.now)
		for _, it := range w.instances {
			w.g.ToldInstance(it, true, true, 2, 0, 0, it.cell, 2, w.now-20*s, w.now)
			it.block[0] = [cellKinds]uint32{300, 90, 0}
		}
		w.g.ToldListEnd(false, w.now)
		w.g.judge.past[w.g.cell(false, w.ops[0])] = 1000
		if byWork {
			w.g.judge.fleet = [2]float64{300, 900}
		}
		w.g.fold(w.now)
		w.g.judge.clearAt = w.now
		first := w.g.opinion(w.now)
		w.now += caseHolds
		if then := w.g.opinion(w.now); first == VoteBack != byWork || then != VoteBack {
			t.Errorf("by work %v: %v at once, then %v", byWork, first, then)
		}
	}
}

func TestFinalAnswers(t *testing.T) {
	w := started(newWorld(1, ControlAny), 3)
	// An at-most-once command that may have run fails; one that proves unrun goes out again, and is nacked at
	// the end.
	once := w.take(2, 0)
	w.end(once.Deliveries[0], Broken)
	if !once.Ended || w.last.Act != Fail {
		t.Fatalf("a broken at-most-once delivery gave %v, want a failure", w.last.Act)
	}
	again := w.take(2, 0)
	w.end(again.Deliveries[0], Rejected)
	if again.Ended || w.last.Act != Send {
		t.Fatalf("an at-most-once delivery that never ran gave %v, want another", w.last.Act)
	}
	// A further delivery only if the time left exceeds the time it is expected to take.
	late := w.take(0, 0)
	w.now = late.lastAnswer - 20*ms
	w.end(late.Deliveries[0], Errored)
	if !late.Ended || w.last.Act != Nack || w.last.After <= 0 {
		t.Fatalf("a command without time gave %v, want a nack with a time to come back", w.last)
	}
}

// Incidents i431a84 and i307ef6: machines that failed fast or turned all away drew all once others were full.
func TestFastFailuresDrawNothing(t *testing.T) {
	for _, how := range []Outcome{Errored, Rejected, Unconnected} {
		w := started(newWorld(2, ControlAny), 4)
		bad, hits := w.instances[0], 0
		for i := 0; i < 3000; i++ {
			w.now += 5 * ms
			w.take(0, 0)
			for _, dl := range append([]*Delivery(nil), w.out...) {
				if dl.To == bad {
					hits++
					w.end(dl, how)
				}
			}
			w.finish(100 * ms)
			w.wait()
		}
		if hits == 0 || hits > 150 {
			t.Errorf("a machine that ends all with outcome %d got %d deliveries in 15 s", how, hits)
		}
	}
}

// Incident rough-1 of rolls-east: a trial machine listed late got its whole unused budget at once.
func TestNoBurstOnTrial(t *testing.T) {
	w := started(newWorld(3, ControlShare), 8)
	for i := 0; i < 1000; i++ {
		w.now += 4 * ms
		w.take(0, 0)
		w.finish(40 * ms)
	}
	w.g.ToldStage(2, 1, OnTrial, 0.5, 0, w.now)
	w.list(1, w.now-10*s, 2)
	trial := w.instances[8]
	for i := 0; i < 10; i++ {
		w.take(0, 0)
	}
	if len(trial.open) == 0 || len(trial.open) > 4 {
		t.Errorf("a freshly listed trial machine holds %d of ours, want a few", len(trial.open))
	}
}

// Errors of one trial machine among several are its own; all of them failing is the build's, though with no
// earlier machine left only a while later.
func TestOddMachineIsLeftOut(t *testing.T) {
	for _, c := range []struct{ ill, base int }{{1, 8}, {4, 8}, {4, 0}} {
		w := started(newWorld(4, ControlAny), 8)
		w.run(4*s, 0)
		w.g.ToldStage(2, 3, OnTrial, 1, 0, w.now)
		w.list(4, w.now-10*s, 2)
		w.run(2*s, 0)
		for _, it := range w.instances[c.base:8] {
			w.g.ToldInstance(it, false, false, 1, 0, 0, 0, 2, 0, w.now)
		}
		w.run(s, c.ill)
		early := w.g.opinion(w.now) == VoteBack
		w.run(3*s, c.ill)
		if late := w.g.opinion(w.now) == VoteBack; early && c.base == 0 || late != (c.ill == 4) {
			t.Errorf("%d of four trial machines fail beside %d: back is %v, then %v", c.ill, c.base, early, late)
		}
	}
}

// 'On' waits for 3 s after the latest listed start and for all of the stage's machines; votes are renewed.
func TestOnIsPatient(t *testing.T) {
	w := newWorld(5, ControlAny)
	w.g.peers = 1
	w.list(10, 0, 1)
	w.g.ToldStage(1, 0, Released, 1, 0, w.now)
	w.run(2*s, 0)
	w.g.ToldStage(2, 0, OnTrial, 0.2, 0, w.now)
	start := w.now + s
	var votes []int64
	for i := 0; i < 2000; i++ {
		w.now += 5 * ms
		if w.now == start+s {
			w.list(2, start, 2)
		}
		for _, v := range w.wait().Votes {
			if v.Verdict != VoteOn {
				t.Fatalf("voted %v", v)
			}
			votes = append(votes, w.now)
			w.g.ToldVote(Acked, w.now)
		}
	}
	if len(votes) < 2 || votes[0] < start+onWait || votes[0] > start+onWait+10*ms {
		t.Errorf("'on' came at %v after a start at %v", votes, start)
	}
}

// Socket bench, fleet 32, 37 and 53: a crash amid a stage whose machines had all been listed kept 'on' away until
// they were back and 3 s old; the platform took a good build off by then.
func TestCrashHoldsNoStage(t *testing.T) {
	for _, shown := range []int{2, 1} { // of two machines of the stage
		w := newWorld(5, ControlAny)
		w.g.peers = 1
		started(w, 20)
		w.run(2*s, 0)
		w.g.ToldStage(2, 0, OnTrial, 0.2, 0, w.now)
		start := w.now
		w.list(shown, start, 2)
		w.run(s, 0)
		w.g.ToldInstance(w.instances[20], true, true, 2, 0, 0, 0, 2, w.now, w.now) // it restarts
		if shown == 2 {
			w.g.ToldInstance(w.instances[21], false, false, 2, 0, 0, 0, 2, start, w.now)
		}
		w.g.ToldListEnd(false, w.now)
		w.run(onWait-s-100*ms, 0)
		early := w.g.opinion(w.now)
		w.run(200*ms, 0)
		if late := w.g.opinion(w.now); early != VoteNone || (late == VoteOn) != (shown == 2) {
			t.Errorf("%d of two machines were listed: votes %v, then %v", shown, early, late)
		}
	}
}

// A pinned key goes to no earlier build, until the new one is sent back.
func TestKeysMoveForward(t *testing.T) {
	w := newWorld(6, ControlAny)
	w.g.exposure.oneWay = true
	w.list(4, 0, 1)
	w.list(1, w.now-10*s, 2)
	w.g.ToldStage(2, 0, OnTrial, 0.5, 0, w.now)
	key := uint64(100)
	cmd := w.take(0, key)
	for ; key < 150 && cmd.Deliveries[0].To.build != 2; key++ { // a budget below one comes by lot
		w.now += 100 * ms
		w.finish(200 * ms)
		cmd = w.take(0, key+1)
	}
	if cmd.Deliveries[0].To.build != 2 {
		t.Fatal("the trial got nothing")
	}
	w.end(cmd.Deliveries[0], Acked)
	w.instances[4].ready = false
	if next := w.take(0, key); len(next.Deliveries) != 0 {
		t.Error("a key that the new build has answered went to an earlier one")
	}
	w.g.ToldStage(2, 0, GoingBack, 0, 0, w.now)
	if next := w.take(0, key); len(next.Deliveries) != 1 {
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
		w := newWorld(7, ControlAny)
		w.list(8, 0, 1)
		if w.told = 5000; !c.late {
			w.g.ToldStage(1, 0, Released, 1, 0, w.now)
			w.told = 0
		}
		for _, it := range w.instances {
			w.g.ToldLoad(it, 0.3, w.now)
		}
		w.run(6*s, 0)
		// What a jam leaves behind is no build's doing: the machines that came with the way back are young.
		if c.restarts {
			w.g.Chill(0.4, 500*ms, 4, 10*s)
			for _, it := range w.instances {
				w.g.ToldInstance(it, true, true, 1, 0, 0, it.cell, 2, w.now, w.now)
			}
		}
		w.g.ToldStage(2, 2, OnTrial, 0.25, 0, w.now)
		w.list(4, w.now-20*s, 2)
		for _, it := range w.instances {
			if w.g.ToldLoad(it, c.base, w.now); it.build == 2 {
				w.g.ToldLoad(it, c.trial, w.now)
			}
		}
		w.run(6*s, 0)
		if back := w.g.opinion(w.now) == VoteBack; back != c.back {
			t.Errorf("%s: back is %v", c.name, back)
		}
	}
}

// Standing test, roll+mass: every gateway starts anew amid the trial of a build that slows all machines, a few at a
// time. Those that start anew take over what commands cost before, and the totals of those that did stand: the build
// goes back. A good one does not.
func TestRestartsKeepTheCase(t *testing.T) {
	for _, busy := range []float64{0.95, 0.5} {
		f := newFleet(5, ControlAny, 20, 10)
		f.run(7*s, 10)
		f.stage(2, 2, OnTrial, 0.4)
		f.list(4, f.now-20*s, 2)
		f.run(300*ms, 10)
		f.busy = busy
		for i := range f.all {
			f.restart((i*7)%20, 2, 2, 0.4)
			f.run(300*ms, 10)
		}
		f.run(5*s, 10)
		if back := len(f.verdicts[VoteBack]) > 0; back != (busy > 0.9) || f.broken != "" {
			t.Errorf("machines %v busy: back is %v (%s)", busy, back, f.broken)
		}
	}
	// What a sender told before it started anew stands, and counts once.
	w := started(newWorld(3, ControlAny), 8)
	w.g.ToldStage(2, 0, OnTrial, 0.4, 0, w.now)
	at := w.g.cell(true, w.ops[0]) + 2
	for i, n := range []uint32{10, 30, 4, 4, 9} {
		cells := make([]uint32, w.g.cells())
		cells[at] = n
		w.g.ToldTotals(&Totals{From: 1, At: w.now + int64(i), Build: 2, Cells: cells}, w.now)
	}
	if sum := w.g.pooled()[at]; sum != 39 {
		t.Errorf("pooled %d, want 30 and 9", sum)
	}
}

// Socket bench, spoilt answers and a hang: with all machines on trial, those in good order had no room within their
// share, and commands went to silent ones as the only others. They wait.
func TestNoRoomIsNoDoubt(t *testing.T) {
	w := started(newWorld(8, ControlAny), 0)
	w.list(8, 0, 2)
	w.g.ToldStage(2, 2, OnTrial, 1, 0, w.now)
	w.most = 1
	for range 4 * s / (20 * ms) {
		w.now += 20 * ms
		w.take(0, 0)
		w.finish(20 * ms)
	}
	for _, it := range w.instances[:3] {
		w.g.aside(it, w.now)
		it.asideUntil = w.now + 60*s
	}
	for range 200 {
		w.now += 20 * ms
		if w.take(0, 0); w.last.Act == Send && w.last.To.strikes > 0 {
			t.Fatal("sent to a machine in doubt beside others that are full")
		}
		w.finish(20 * ms)
	}
}

// Socket bench, churn, long day and reload: trial machines that became warm just before the totals were due showed the
// work of the whole interval beside the few commands since, and good builds went back.
func TestWorkBeginsWithAnswers(t *testing.T) {
	w := started(newWorld(3, ControlAny), 8)
	w.run(6*s, 0)
	w.g.ToldStage(2, 0, OnTrial, 0.2, 0, w.now)
	w.list(2, w.now-4*s-100*ms, 2) // warm since 0.1 s
	for tick, counts := range []bool{false, true, true} {
		for _, it := range w.instances {
			w.g.ToldLoad(it, 0.5, w.now)
		}
		w.instances[0].block[0][2] += 100 // beside the commands of the earlier ones
		w.instances[8].block[0][2] += 2
		w.g.recall(w.now)
		w.g.fold(w.now)
		if shown := w.instances[8].worked; (shown > 0) != counts {
			t.Errorf("interval %d: %.1f of work", tick, shown)
		}
		w.now += poolEvery
	}
}

// Socket bench, fleet 6, 9, 16 and 49: the fleet's work is held against what it was. That moved with the pace that
// is learned of machines, was taken from the first seconds alone, and rose where machines were new.
func TestWorkOfBefore(t *testing.T) {
	w := started(newWorld(17, ControlAny), 8)
	busy := func(span int64, busy float64) float64 {
		for _, it := range w.instances {
			it.busy = busy
		}
		w.run(span, 0)
		work, _ := w.g.work(w.now)
		return work
	}
	before := busy(8*s, 0.3)
	w.g.model(0).pace, w.g.model(1).pace, w.g.pace = 1.4, 1.4, 1.4
	if work, _ := w.g.work(w.now); math.Abs(work/before-1) > 0.01 {
		t.Errorf("the work is %.3f of what it was once all answers are slower", work/before)
	}
	w.g.ToldStage(2, 0, OnTrial, 0.1, 0, w.now)
	if busy(4*s, 0.6); math.Abs(w.g.judge.worked/before-2) > 0.3 {
		t.Errorf("before the build's first machine %.2f of the old work is learned", w.g.judge.worked/before)
	}
	w.list(1, w.now-9*s, 2)
	if busy(4*s, 1.2); math.Abs(w.g.judge.worked/before-2) > 0.3 {
		t.Errorf("amid the trial %.2f of the old work is learned", w.g.judge.worked/before)
	}
	for _, it := range w.instances { // others stand in for all
		w.g.ToldInstance(it, false, false, it.build, 0, 0, 0, 2, 0, w.now)
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
	w := started(newWorld(8, ControlAny), 3)
	w.g.ToldStage(2, 0, OnTrial, 1, 0, w.now)
	const crashes = 90
	for i := 0; i < crashes; i++ {
		w.now += 6 * s
		for n := 0; n < 4; n++ {
			w.take(2, 0)
		}
		to := w.out[0].To
		for _, dl := range append([]*Delivery(nil), to.open...) {
			w.end(dl, Broken)
		}
		w.finish(0)
	}
	fails := 0
	for _, it := range w.instances {
		fails += int(it.block[2][1])
	}
	if fails < crashes/6 || fails > crashes/2 {
		t.Errorf("%d crashes counted %d times by one of three gateways", crashes, fails)
	}
}

// Grown rolls-east: 360 voters each heard 600 gateways. A few judge for all; the others vote what these
// found, and nobody votes 'on' before 3 s, or votes a good build back.
func TestFleetFollowsFewVoters(t *testing.T) {
	for _, fails := range []int{0, 60} {
		f := newFleet(1, ControlShare, 60, 10)
		f.fails = fails
		f.run(5*s, 3)
		f.stage(2, 0, OnTrial, 0.2)
		f.list(2, f.now, 2)
		f.run(2900*ms, 3)
		if n := len(f.verdicts[VoteOn]); n > 0 {
			t.Errorf("%d gateways voted on before 3 s", n)
		}
		f.run(9*s, 3)
		on, back := len(f.verdicts[VoteOn]), len(f.verdicts[VoteBack])
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
		f := newFleet(2, ControlShare, 40, 10)
		for _, w := range f.all {
			w.g.Price(0, 0.3, harm)
		}
		f.run(5*s, 1)
		f.lost = 100
		f.stage(2, 0, OnTrial, 0.2)
		f.list(2, f.now, 2)
		f.run(5500*ms, 1)
		early := len(f.verdicts[VoteOn])
		f.run(3*s, 1)
		late := len(f.verdicts[VoteOn])
		byWork := f.all[f.all[0].g.voters(2)[0]].g.judge.since != nil // of what a voter was deaf for
		if early > 0 || (late > 20) != (harm < 6) || len(f.verdicts[VoteBack]) > 0 || byWork {
			t.Errorf("harm %v: %d voted on within 5.5 s, %d within 8.5 s: %v", harm, early, late, f.verdicts)
		}
	}
}

// Grown lima-horarios, big-1: budgets below one delivery were rounded up by each gateway, or multiplied; a
// cold machine gets near its share of all together.
func TestSmallBudgetsAddUp(t *testing.T) {
	f := newFleet(3, ControlAny, 60, 9)
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
		w := started(newMember(4, ControlShare, 0, 100, 30), 4)
		cmd := w.take(0, 0)
		if ill {
			w.g.ToldFinding(&Finding{From: w.g.voters(1)[0], At: w.now, Build: 1,
				Ill: []*Instance{cmd.Deliveries[0].To}}, w.now)
		}
		w.now += 1400 * ms // six mean times are 1.5 s at first; findings last as long
		w.g.ops[0].mean = float64(100 * ms)
		if _, due := w.g.Wait(w.now); (len(due.Cancel) > 0) != ill {
			t.Errorf("named ill %v: %d deliveries called off", ill, len(due.Cancel))
		}
	}
}

// Grown rolls-east, overload: late answers of full machines bound what a gateway has out; of others they
// may be the way's.
func TestJamsBoundAllDeliveries(t *testing.T) {
	for _, busy := range []float64{0.5, 1} {
		w := started(newMember(5, ControlShare, 0, 100, 30), 8)
		for i := 0; i < 40; i++ {
			w.now += 500 * ms
			w.take(0, 0)
			for _, dl := range append([]*Delivery(nil), w.out...) {
				w.g.ToldLoad(dl.To, busy, w.now)
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
	w := started(newMember(6, ControlShare, 0, 100, 30), 8)
	for _, it := range w.instances[4:] {
		w.g.ToldInstance(it, true, true, 1, 1, 0, 0, 2, 0, w.now)
	}
	far := func(n int, extra int64) (sent int) {
		for i := 0; i < n; i++ {
			w.now += 200 * ms
			w.take(0, 0)
			for _, dl := range append([]*Delivery(nil), w.out...) {
				if w.now += 50 * ms; dl.To.zone == 1 {
					sent++
					w.now += extra
				}
				w.end(dl, Acked)
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
	w := started(newMember(7, ControlShare, 0, 100, 30), 80)
	sent := 0
	for i := 0; i < 100; i++ {
		w.now += 300 * ms
		for w.take(0, 0); len(w.out) > 0; sent++ {
			w.now += 20 * ms
			if slices.Index(w.instances, w.out[0].To)%30 == 3 {
				w.end(w.out[0], Acked)
			} else {
				w.end(w.out[0], Unconnected)
			}
		}
	}
	if sent > 200 {
		t.Errorf("%d deliveries for 100 commands where three of eighty machines accept connections", sent)
	}
}

// Grown lima-horarios, big-2: a machine that nobody reaches says the same for ever: no work of its build.
func TestStaleLoadIsNoWork(t *testing.T) {
	w := started(newWorld(8, ControlAny), 6)
	w.g.ToldStage(2, 0, OnTrial, 1, 0, w.now)
	w.g.ToldLoad(w.instances[0], 0.9, w.now)
	for i := 0; i < 20; i++ {
		w.now += 500 * ms
		w.g.ToldLoad(w.instances[1], 0.9, w.now)
		w.wait()
	}
	if old, fresh := w.instances[0].worked, w.instances[1].worked; old > fresh/2 {
		t.Errorf("a figure never renewed counts %v beside %v of one that is", old, fresh)
	}
	// A day found by size: expired commands may never have been begun, and count half against work.
	answered, expired := w.take(0, 0).Deliveries[0], w.take(0, 0).Deliveries[0]
	w.end(answered, Acked)
	if w.end(expired, TimedOut); answered.To.block[0][2]+expired.To.block[0][2] != 3 {
		t.Error("an answer and a time-out do not count as one and a half")
	}
}

// A fleet that starts, or loses the list, at once does not ask for it in step: the first calls of 24 or 300 spread over
// two seconds, those after a common loss over twice the pause. Where all calls fail it asks for less than one call of
// each gateway in eight seconds, or discovery's queue would never clear: after a few failures, and after the first one
// where peers tell that all go without an answer.
func TestFleetAsksApart(t *testing.T) {
	for _, peers := range []int{1, 24, 300} {
		var first, again, last, crowded []int64
		for i := range 300 {
			w := newMember(uint64(i+1), ControlAny, i%peers, peers, 1)
			w.g.Follow(true)
			ask := func() int64 {
				for begun := w.now; ; w.now += ms {
					if _, due := w.g.Wait(w.now); due.Watch {
						return w.now - begun
					}
				}
			}
			first = append(first, ask())
			w.g.ToldListFailed(w.now)
			again = append(again, ask())
			for range 8 {
				w.g.ToldListFailed(w.now)
				last = append(last, ask())
			}
			w.g.ToldListEnd(false, w.now)
			w.g.ToldListCrowd(1)
			w.g.ToldListFailed(w.now)
			crowded = append(crowded, ask())
		}
		mean := func(all []int64) int64 {
			sum := int64(0)
			for _, one := range all {
				sum += one / int64(len(all))
			}
			return sum
		}
		crowd := func(all []int64) int { // most calls within a tenth of a second
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
		w := started(newWorld(4, ControlAny), 6)
		w.list(6, 0, 2)
		w.g.ToldStage(2, 2, OnTrial, 1, 0, w.now)
		w.most = 1
		if guarded {
			w.g.Guard()
			if w.take(0, 0); w.last.Act != Hold {
				t.Error("sent before any build is vouched for")
			}
			w.g.ToldVouched(1, true)
		} else {
			w.g.ToldVouched(1, false) // nobody asked
		}
		trial := func() int {
			n := len(w.trial[2])
			w.run(3*s, 0)
			return len(w.trial[2]) - n
		}
		if n := trial(); (n == 0) != guarded {
			t.Errorf("guarded %t: %d deliveries to a build that nobody vouches for", guarded, n)
		}
		if w.g.ToldVouched(2, true); trial() == 0 {
			t.Error("a build that is vouched for gets nothing")
		}
		waits := &Delivery{Cmd: &Command{}, To: w.instances[6], build: 2}
		if w.g.ToldVouched(2, false); w.g.Stands(waits, w.now) == guarded {
			t.Error("what waits for its connection goes to a build that is no longer vouched for")
		}
		if w.broken != "" {
			t.Error(w.broken)
		}
	}
}
