// How this module is called. A gateway is made by New and told its deployment's figures part by part
// (OpType, Tenant, Bound, Price, Chill, Follow, Expose, Judge). Facts are told to it: Take (a command
// came), ToldInstance, ToldOnly, ToldListFailed, ToldListEnd, ToldStage, ToldVote, ToldTotals, ToldFinding,
// ToldLoad, ToldWrong, ToldFlowing, ToldGone. It is asked three things: Where (to send this
// command, or not yet, or never), After (what to do after this outcome) and Wait (how long until it is to be
// asked again, with the chores that are due). All that is remembered is in state.go, plain intake in
// parts.go; docs/design.md gives the reasons. Times are whole nanoseconds.
// Reading order: the tuned values; Where, the ordinary path; the rules, which every delivery passes in
// allowed; the choice of an instance; After and what is learned from it; facts; the pair test and the vote;
// Wait.

package decision

import (
	"math"
	"slices"
	"sort"
)

const (
	ms = int64(1e6)
	s  = int64(1e9)

	// The pair test, as the design page gives it.
	phi         = 1.0
	alpha       = 0.05
	warmSkip    = 3 * s     // outcomes of an instance this young are no evidence
	onWait      = 3 * s     // 'on' comes this long after the stage's latest listed start
	poolEvery   = 500 * ms  // running totals go out this often
	voterCount  = 3         // voters hashed by build, or one more than votes are required if no more than
	voterMost   = 5         // so many; in larger fleets the others follow what the three find
	findEvery   = s         // a voter repeats what it found this often
	findFresh   = 3 * s     // a finding older than this is not followed
	heardLeast  = 3         // of the gateways one in so many must be heard, or a voter is blind
	blindWait   = 6 * s     // a blind one votes 'on' this late
	blindHarm   = 0.05      // and only if being behind costs this share of what harm does
	caseHolds   = 1000 * ms // a case must stand so long once few earlier machines are left
	holdLevel   = 4.0       // under a clock a back vote is kept while the product stays above this
	unlistedFor = 12 * s    // by then a stage is judged by the machines that the list shows
	slowAlone   = 0.4       // more margin, shared by the trial machines: one alone may be a slow machine
	busyFresh   = 2 * s     // a machine's figure is stale after this
	poolSpan    = 2 * s     // over which what the gateways see of a machine fades
	sightsMost  = 20        // machines told of in one message; the others wait for the next
	illLeast    = 3.0       // deliveries lost lately, and more than this share of all beyond what others
	illShare    = 0.5       // of its build lose: the voters tell all gateways to leave a machine alone
	illTrial    = 0.04      // of the commands may try such a machine again
	workGain    = 0.3       // of each new figure of that
	usualGain   = 0.15      // of each new figure of what a warm machine answers us
	lostWork    = 0.5       // of a command's work that one which came late or never may have cost
	totalsFresh = 1500 * ms // a peer that sent no totals for this long is not heard
	failLeast   = 0.02      // of its tries: what a trial may fail beyond the earlier build's rate,
	failHarm    = 0.25      // or this share of what being behind costs over what harm does, if that is less
	baseLeast   = 5         // one machine in so many of an earlier build is enough to compare times with
	workMargin  = 1.2       // times what a command costs the earlier build, or cost the fleet: a good build may
	meanStart   = 0.25      // of the service target: taken for a mean time before there is one
	cellKinds   = 3         // counters in a cell: tries, failures, half deliveries ended at warm machines

	// Health.
	patience     = 6.0      // a delivery is overdue after this many mean times
	silentLeast  = 3        // deliveries to a machine within a trial span that make its silence tell
	asideFirst   = 300 * ms // an instance set aside is tried again after this, doubled at each further failure
	asideMost    = 5 * s
	asideTurns   = 5     // or for so many of our commands, where that is longer
	asideLong    = 8 * s // but no longer than this
	unmetMany    = 0.3   // of our deliveries find no connection: keep to machines that answered within
	wayWorse     = 0.2   // more late or lost than in our zone: a bad way
	wayGain      = 0.15
	wayFor       = 15 * s
	knownFor     = 10 * s
	doubtEvery   = 100 * ms // where all are in doubt, each gets a delivery this often
	failingAside = 0.3      // smoothed share of errors, beyond that of its build, that sets an instance aside
	limitStart   = 12.0     // of our own deliveries that an instance may hold at first
	limitMost    = 200.0
	congested    = 0.35 // of the service target: an answer slower than this lowers the limit
	limitCut     = 0.85
	flowLeast    = 4.0  // deliveries out that any gateway may have while answers come in time
	flowCut      = 0.5  // fewer for each slow answer
	flowGrow     = 0.1  // more for each other: a jam shows in more than one slow answer in six
	flowPart     = 0.05 // of the most: no fewer
	flowFloor    = 0.4  // nor this
	late         = 0.7  // of the service target: a late answer
	jammed       = 0.9  // a machine that is busier is full
	limitGrow    = 0.15 // small, so that about one answer in ten may be congested and not one in two

	heldLook    = 64     // held commands that are asked about at once
	coldShare   = 0.65   // of the multiple that pushes a cold instance over; the rest is left for chance
	coldMost    = 1.1    // of what a cold instance can do: more would only queue there
	lackMost    = 1.5    // times as much for cold and trial machines while others are gone or cold: all share it
	trialSpan   = 4 * s  // over which a trial instance's share is counted
	rateSpan    = 10 * s // over which the rate of our commands is smoothed
	trialPush   = 1.1    // of a trial instance's share of our commands that it gets at most
	lateWorthy  = 0.5    // of a command's importance: a late answer worth less gives way to commands that wait
	keysKnown   = 200000 // keys counted before their counts are begun anew
	pinnedShare = 0.6    // of the cap: pinned keys may ask for this much of it before no further key is pinned
)

// Take books a command that came with the time its client still waits.
func (g *Gateway) Take(op *OpType, tenant *Tenant, key uint64, work, left, now int64) *Command {
	cmd := &Command{op: op, key: key, lastAnswer: now + left}
	cmd.target = min(now+op.target+int64(op.stretch*float64(work)), cmd.lastAnswer)
	cmd.weight = op.importance / float64(max(op.target, ms))
	if tenant != nil && g.overShare(tenant, now) {
		cmd.weight *= 0.01 // what lies beyond a tenant's share is worth little: it comes last
	}
	e := &g.exposure
	e.taken.add(now, e.window)
	op.taken.add(now, e.window)
	g.arrive(now)
	g.cold.taken.add(now, max(g.cold.span, trialSpan))
	if e.oneWay && key != 0 {
		g.countKey(key)
	}
	return cmd
}

// overShare tells whether a tenant sends more than its share of what this gateway sees. A gateway cannot
// know the others' traffic, so it compares shares of its own.
func (g *Gateway) overShare(t *Tenant, now int64) bool {
	t.recent = t.recent*math.Exp(-float64(now-t.at)/2e9) + 1
	t.at = now
	var quotas, recent float64
	for _, o := range g.tenants {
		quotas += o.quota
		recent += o.recent * math.Exp(-float64(now-o.at)/2e9)
	}
	return t.recent > 10 && t.recent/recent > 1.25*t.quota/quotas
}

// Where decides on a command that needs a delivery: the ordinary path, from top to bottom.
func (g *Gateway) Where(cmd *Command, now int64) Decision {
	if cmd.Ended || cmd.Open > 0 {
		return Decision{Act: Nothing}
	}
	// A delivery is made only if the time left exceeds the time it is expected to take, and if it can still be
	// worth something; else the final answer goes out at once.
	if len(cmd.Deliveries) >= g.limits.deliveries {
		return g.giveUp(cmd, DeliveriesOut)
	}
	if g.bound(cmd)-now <= int64(g.expected(cmd)) {
		return g.giveUp(cmd, OutOfTime)
	}
	if !g.flows(cmd, now) {
		return g.hold(cmd)
	}
	// Trial first while the budget allows, then any other build, then one in doubt rather than none; of two
	// instances drawn, the one with less of ours.
	trial, others, doubtful := g.candidates(cmd, now)
	for _, some := range [][]*Instance{trial, others, doubtful} {
		if len(some) > 0 {
			return g.launch(cmd, g.fewer(some, cmd), now)
		}
	}
	return g.hold(cmd)
}

// flows bounds how many deliveries of ours are out at once, at all machines: no more than would take twice
// the service target each at our commands' rate, fewer while machines that say they are full answer late;
// below one, a pause follows each. Guards against a jam that hundreds of gateways feed, each with a few
// deliveries to machines it holds next to nothing at. Ways or single machines that are slow do not count;
// what is overdue does not either.
func (g *Gateway) flows(cmd *Command, now int64) bool {
	usual := 2 * g.rate(now) * float64(cmd.op.target) / float64(s)
	g.window = max(flowFloor, flowPart*usual, min(g.window, max(flowLeast, usual)))
	if g.out > 0 || g.window >= 1 {
		return float64(g.out+1) <= max(1, g.window)
	}
	return float64(now-g.endedAt) >= cmd.op.mean*(1/g.window-1)
}

// jams counts a late answer, or none, against how many may be out, where the machine says that it is full.
func (g *Gateway) jams(to *Instance, late bool) {
	if !late {
		g.window += flowGrow
	} else if to.busy > jammed || to.toldAt == 0 {
		g.window -= flowCut
	}
}

// bound is the moment after which an answer is not worth its work: the service target where a late one
// earns nothing, or little while others wait for room; else the client's patience.
func (g *Gateway) bound(cmd *Command) int64 {
	if cmd.op.lateShare <= 0 || cmd.op.lateShare < lateWorthy && len(g.held) > 0 {
		return cmd.target
	}
	return cmd.lastAnswer
}

// expected is the time a delivery is expected to take; a first one is not refused for an inflated mean.
func (g *Gateway) expected(cmd *Command) float64 {
	if len(cmd.Deliveries) == 0 {
		return min(cmd.op.mean*1.3, float64(cmd.op.target)*0.85)
	}
	return cmd.op.mean
}

// launch is the one place through which every delivery passes.
func (g *Gateway) launch(cmd *Command, to *Instance, now int64) Decision {
	if !g.allowed(cmd, to, now) {
		return g.hold(cmd)
	}
	g.unhold(cmd)
	dl := &Delivery{Number: len(cmd.Deliveries), Cmd: cmd, To: to, sentAt: now, mayRun: true,
		build: to.build, zone: to.zone, cell: to.cell, cold: to.startedAt > 0 && now-to.startedAt < warmSkip}
	cmd.Deliveries = append(cmd.Deliveries, dl)
	cmd.Open++
	to.open, to.sentAt = append(to.open, dl), now
	g.out++
	to.sent.add(now, max(g.cold.span, trialSpan))
	if g.onTrial(to.build) {
		g.trialWindow(to.build, cmd.op).add(now, g.exposure.window)
	}
	// It may stay out as long as the client waits: what we stop waiting for may go on working unseen, and a
	// limit that does not count it lets a jam feed itself. Silent machines are found out by rescue instead.
	return Decision{Act: Send, To: to, For: cmd.lastAnswer - now, Delivery: dl}
}

// hold keeps a command for later; Wait brings it back: the most important first, and of those the newest,
// since in a jam the oldest would all be served just too late.
func (g *Gateway) hold(cmd *Command) Decision {
	if !cmd.held {
		cmd.held = true
		at := sort.Search(len(g.held), func(i int) bool { return g.held[i].weight <= cmd.weight })
		g.held = slices.Insert(g.held, at, cmd)
	}
	return Decision{Act: Hold}
}

// giveUp gives the final answer. A nack says that trying again is harmless: only where no delivery can have
// run, or where a repeat does no harm.
func (g *Gateway) giveUp(cmd *Command, why Reason) Decision {
	g.unhold(cmd)
	cmd.Ended = true
	for _, dl := range cmd.Deliveries {
		if dl.mayRun && !cmd.op.repeats() {
			return Decision{Act: Fail, Reason: why}
		}
	}
	after := int64(cmd.op.mean)
	if len(g.held) > 0 {
		after = g.limits.comeBack // others wait already
	}
	return Decision{Act: Nack, Reason: why, After: min(g.limits.comeBack, after)}
}

// repeats tells whether a repeat does no harm at any instance, for a deduplicated command within its
// window.
func (op *OpType) repeats() bool {
	return op.kind == Redeliverable || op.kind == Deduplicated && op.group == GroupAll
}

// allowed checks the rules for one delivery, each on this gateway's own knowledge.
func (g *Gateway) allowed(cmd *Command, to *Instance, now int64) bool {
	if cmd.Ended || now >= cmd.lastAnswer || now < g.catchUpUntil || len(cmd.Deliveries) >= g.limits.deliveries || cmd.Open > 0 {
		return false
	}
	return to.listed && to.ready && g.trusted(to, now) && g.taken(to.build) && g.harmless(cmd, to, now) && g.exposed(cmd, to, now) && g.coldRoom(to, now)
}

// Stands tells whether a delivery of which nothing has gone out may still go: not once its client has left, its
// instance drains, is gone, runs another build or is no longer trusted to be ready, or a trial's cap has come down to
// nothing. Guards against connections that come up late; a lower cap above nothing binds later, with the window.
func (g *Gateway) Stands(dl *Delivery, now int64) bool {
	to := dl.To
	return !dl.Cmd.Ended && to.listed && to.ready && to.build == dl.build && g.trusted(to, now) && g.taken(to.build) &&
		!(g.onTrial(dl.build) && dl.build <= g.exposure.build && g.exposure.cap <= 0)
}

// taken: where the operator has builds vouched for, one that is not gets nothing, on trial or released. Guards against
// a build that nobody signed; while nothing is trusted all commands wait, and are refused in their time.
func (g *Gateway) taken(build int) bool { return g.vouched == nil || g.vouched[build] }

// harmless: no effect twice.
func (g *Gateway) harmless(cmd *Command, to *Instance, now int64) bool {
	if cmd.op.kind == Redeliverable {
		return true
	}
	for _, dl := range cmd.Deliveries {
		if !dl.mayRun {
			continue
		}
		if cmd.op.kind == AtMostOnce || now+g.tick >= dl.sentAt+cmd.op.window {
			return false
		}
		if cmd.op.group == GroupZone && dl.zone != to.zone || cmd.op.group == GroupCell && dl.cell != to.cell {
			return false
		}
	}
	return true
}

// onTrial: a build is on trial unless it is told to be released; one not yet announced is.
func (g *Gateway) onTrial(build int) bool {
	e := &g.exposure
	return build > e.build || build == e.build && e.phase != Released
}

// exposed: the cap on a build on trial, the stages closed to effects, and keys that move forward only. A
// lower cap is applied at once, to deliveries made before it as well: the grace is never used.
func (g *Gateway) exposed(cmd *Command, to *Instance, now int64) bool {
	e := &g.exposure
	if e.oneWay && cmd.key != 0 && to.build < e.pinned[cmd.key] {
		return false
	}
	if !g.onTrial(to.build) {
		return true
	}
	stage, most := 0, 0.0
	if len(e.caps) > 0 {
		most = e.caps[0]
	}
	if to.build == e.build {
		stage, most = e.stage, e.cap
	}
	if most <= 0 || stage < e.closed && cmd.op.kind != Redeliverable {
		return false
	}
	taken := &e.taken
	if e.byOp {
		taken = &cmd.op.taken
	}
	sent := g.trialWindow(to.build, cmd.op).count(now - e.window - g.tick)
	return float64(sent+1) <= e.allowance+most*float64(taken.count(now-e.window+g.tick))
}

// coldRoom bounds what a fresh instance gets, as a budget over the stated span. The gateways do not hear of
// each other's deliveries; if each keeps to a fraction of what an instance of that size would get of its
// own commands, the sum keeps to that fraction as well.
func (g *Gateway) coldRoom(to *Instance, now int64) bool {
	c := &g.cold
	age := now - to.startedAt
	if to.startedAt <= 0 || age > c.warm+c.span {
		return true
	}
	share := g.share(to, c.span, now)
	if c.usual > 0 {
		share = min(share, c.usual*g.power(to))
	}
	quota := min(c.multiple*coldShare, coldMost*c.lack) * g.able(age-c.span/2) * share
	return g.within(quota, to, c.span, now)
}

// within tells whether a machine's budget for a span allows another delivery. One below a single delivery
// spaces them out over more than the span, from a first moment by lot, so that the budgets of many gateways
// that see little each add up to what they should. Guards against hundreds of gateways that each think one
// delivery little. The rate of our commands is smoothed, as in a chance burst the share would look larger.
func (g *Gateway) within(budget float64, to *Instance, span, now int64) bool {
	if budget >= 1 {
		return float64(to.sent.count(now-span-g.tick)+1) <= budget
	}
	gap := float64(max(1, g.cold.taken.count(now-span))) / max(budget*g.rate(now), 1e-9) * float64(s)
	if to.sentAt == 0 {
		return float64(now-to.knownAt) >= gap*float64(mix(g.seed, to.lot)>>40)/(1<<24)
	}
	return float64(now-to.sentAt) >= gap
}

// recall learns what warm machines usually answer us for their power within the cold span. Answers are
// bounded by what machines can do; what is asked or sent is not, where clients retry or machines fail fast.
// While most of the fleet is cold or gone, what it did before stands. It also keeps what the judging holds
// the fleet against.
func (g *Gateway) recall(now int64) {
	power, acked, there := 0.0, 0.0, 0.0
	young, grown := 0, 0 // machines of earlier builds
	for _, it := range g.instances {
		if !it.ready {
			continue
		}
		there += g.able(now-it.startedAt) * g.power(it)
		// One that nobody reaches says the same for ever; one just warm shows the work of the whole interval.
		if g.settled(it, now-poolEvery) && now-it.toldAt < busyFresh {
			it.worked += it.busy * g.even(it)
		}
		fresh := it.startedAt > 0 && now-it.startedAt <= g.cold.warm+g.cold.span
		if !fresh {
			power += g.power(it)
			acked += float64(it.acked.count(now - g.cold.span))
		}
		if it.build < g.judge.build && fresh {
			young++
		} else if it.build < g.judge.build {
			grown++
		}
	}
	if power > g.list.power/2 {
		if g.cold.usual == 0 {
			g.cold.usual = acked / power
		}
		g.cold.usual += usualGain * (acked/power - g.cold.usual)
	}
	g.cold.lack = max(1, min(lackMost, g.list.power/max(there, 0.01)))
	j := &g.judge
	if work, acked := g.work(now); acked == 0 || now-j.hearsAt < poolSpan {
		// Nothing to go by: only voters hear all, and answers come after work. Guards against lost messages too.
	} else if j.own == nil && j.worked == 0 {
		j.worked = work
	} else if j.own == nil || g.exposure.phase == OnTrial && g.trialMachines() == 0 { // none listed yet
		j.worked += workGain * (work - j.worked)
	} else if j.worked > 0 && young <= grown { // not while the fleet has just gone back from a jam
		// What commands cost the fleet, in those of before the build.
		per := acked * float64(poolEvery) / float64(poolSpan) // since the last time
		j.fresh = append(j.fresh, [2]float64{per, per * min(work/j.worked, 10)})
		if old := j.fresh[0]; int64(len(j.fresh)) > totalsFresh/poolEvery { // by now a loss of messages would show
			j.fleet[0], j.fleet[1], j.fresh = j.fleet[0]+old[0], j.fleet[1]+old[1], j.fresh[1:]
		}
	}
}

// candidates are the instances that may have this command; those in doubt only where no other may serve at
// all, and now and then: a machine that fails fast is never full and would draw everything.
func (g *Gateway) candidates(cmd *Command, now int64) (trial, others, doubtful []*Instance) {
	full, pin := false, g.mayPin(cmd)
	open, power := g.openElsewhere()
	for _, it := range g.instances {
		on := g.onTrial(it.build)
		if on && !pin || !g.allowed(cmd, it, now) {
			continue
		}
		room := float64(len(it.open)) < it.limit && !(on && !g.headroom(it, open, power, now))
		sound := !g.doubted(it, now) && !((it.strikes > 0 || now < it.illUntil) && cmd.op.kind == AtMostOnce)
		switch {
		case sound && !room:
			full = true
		case sound && on:
			trial = append(trial, it)
		case sound:
			others = append(others, it)
		case room && it.sent.count(now-doubtEvery) == 0 && !(cmd.op.kind == AtMostOnce && g.overdue(it, now)):
			doubtful = append(doubtful, it)
		}
	}
	if full {
		doubtful = nil
	}
	return g.near(g.known(trial, now), now), g.near(g.known(others, now), now), doubtful
}

// near leaves out the machines of other zones from which far more of our deliveries come late or never than
// from our own. Guards against ways between zones that are slow, lossy or cut; where our zone is short of
// machines, its own answers come late too, and the others are used again.
func (g *Gateway) near(some []*Instance, now int64) []*Instance {
	worse := g.way(g.zone, now) + wayWorse
	return keep(some, func(it *Instance) bool { return it.zone == g.zone || g.way(it.zone, now) < worse })
}

// known keeps to the machines that answered us lately where many deliveries find no connection: theirs may
// still be open. Guards against machines that accept few connections and ways that are shut for us alone; a
// gateway may crowd a few machines that way.
func (g *Gateway) known(some []*Instance, now int64) []*Instance {
	if g.unmet < unmetMany {
		return some
	}
	return keep(some, func(it *Instance) bool { return it.heardAt > now-knownFor })
}

// fewer draws two instances and takes the one with fewer of ours in flight for its size and speed.
func (g *Gateway) fewer(some []*Instance, cmd *Command) *Instance {
	n := len(some)
	first := g.draw(n)
	a, b := some[first], some[(first+1+g.draw(max(n-1, 1)))%n]
	if g.burden(b, cmd) < g.burden(a, cmd) {
		return b
	}
	return a
}

// headroom: a trial instance gets little more than its size's share of our commands, even where the cap
// allows more: a machine that is slow because it is overloaded would speak against its build.
func (g *Gateway) headroom(it *Instance, open, power float64, now int64) bool {
	push := trialPush * g.cold.lack
	if !g.within(push*g.share(it, trialSpan, now), it, trialSpan, now) {
		return false
	}
	// Nor a burst when it is first listed: it holds no more of ours than the others for their power.
	return power == 0 || float64(len(it.open)) < 1+push*open/power*g.power(it)
}

// burden is what decides between two instances: our own in flight there.
func (g *Gateway) burden(it *Instance, cmd *Command) float64 {
	load := float64(len(it.open)+1) * it.slow / max(it.size, 0.01)
	for _, dl := range cmd.Deliveries {
		if dl.To == it {
			load *= 4 // it has failed this command already
		}
	}
	if it.zone != g.zone {
		load *= 1 + 10*g.limits.cross
	}
	return load
}

// mayPin keeps one-way keys from outgrowing the cap: a key that the trial answers must stay there, so rare
// keys go first, and none while the pinned ones already ask for most of the cap.
func (g *Gateway) mayPin(cmd *Command) bool {
	e := &g.exposure
	if !e.oneWay || cmd.key == 0 || e.cap >= 1 || e.pinned[cmd.key] >= g.judge.build {
		return true
	}
	return float64(e.pinning) <= pinnedShare*e.cap*float64(e.all) &&
		float64(e.seen[cmd.key]-1) <= 0.1*e.cap*float64(e.all)
}

// overdue: our oldest delivery there has been out for far longer than its kind takes, and nothing came back
// since.
func (g *Gateway) overdue(it *Instance, now int64) bool {
	return len(it.open) > 0 && now >= g.overdueAt(it.open[0])
}

// overdueAt is when a delivery becomes overdue if nothing comes back from its instance.
func (g *Gateway) overdueAt(dl *Delivery) int64 {
	return max(dl.sentAt, dl.To.heardAt) + int64(patience*dl.Cmd.op.mean)
}

// tendIll tells which machines most gateways lose deliveries at: one gateway among hundreds meets a machine
// too seldom to find out in time. Guards against machines that hang, die or fail; where most machines of a
// build suffer, or only some gateways, it says nothing. A machine that lost much stays out a while.
func (g *Gateway) tendIll(now int64) []*Instance {
	var ill []*Instance
	for _, it := range g.instances {
		it.note(0, 0, now)
		if _, others, n := g.peersOf(it); it.ready && n >= 2 && len(ill) < sightsMost &&
			(it.lost >= illLeast || now < it.illUntil) && it.lossy() > illShare+others {
			it.illUntil = now + findFresh
			ill = append(ill, it)
		}
	}
	return ill
}

// doubted: set aside, or on probation with a delivery out, or silent, or said to be ill by the voters.
func (g *Gateway) doubted(it *Instance, now int64) bool {
	return now < it.asideUntil || it.strikes > 0 && len(it.open) > 0 || g.overdue(it, now) ||
		now < it.illUntil && float64(g.draw(1000)) >= 1000*illTrial
}

// After takes in how a delivery ended and decides on its command.
func (g *Gateway) After(dl *Delivery, how Outcome, took int64, settled bool, now int64) Decision {
	cmd, to := dl.Cmd, dl.To
	if dl.Done {
		return Decision{Act: Nothing}
	}
	dl.Done = true
	cmd.Open--
	if g.endedAt = now; !dl.silent {
		g.out--
	}
	to.open = slices.DeleteFunc(to.open, func(o *Delivery) bool { return o == dl })
	if how == Rejected || how == Unconnected || how == Unsent {
		dl.mayRun = false
	}
	g.tend(dl, how, took, now)
	g.witness(dl, how, took, now)
	if how == Acked {
		g.pin(cmd.key, dl.build)
	}
	if settled || how == Acked {
		cmd.Ended = true
		g.unhold(cmd)
	}
	if dl.mayRun && cmd.op.kind == AtMostOnce && !cmd.Ended {
		return g.giveUp(cmd, MayHaveRun)
	}
	return g.Where(cmd, now)
}

// pin keeps a key that a build has answered from going to an earlier one, on trial and after a release.
func (g *Gateway) pin(key uint64, build int) {
	e := &g.exposure
	stands := build > e.build || build == e.build && (e.phase == OnTrial || e.phase == Released)
	if !e.oneWay || key == 0 || build <= e.pinned[key] || !stands {
		return
	}
	if build == g.judge.build {
		e.pinning += e.seen[key]
	}
	e.pinned[key] = build
}

// tend keeps an instance's health: its limit, its speed, and whether it is set aside.
func (g *Gateway) tend(dl *Delivery, how Outcome, took, now int64) {
	to, op := dl.To, dl.Cmd.op
	time := float64(took)
	if how == Acked || how == Errored || how == Rejected {
		to.heardAt = now
	}
	if how != Acked && how != Rejected && how != Unsent && !dl.missed {
		to.saw(0, 1, now)
	}
	if how != Errored && how != Rejected && how != Unsent {
		g.bookWay(to.zone, how == Acked && time <= late*float64(op.target), now)
	}
	if how == Unconnected || how == Broken {
		g.unmet += 0.1 * (1 - g.unmet)
	}
	switch how {
	case Acked:
		g.unmet *= 0.9
		to.saw(1, 0, now)
		to.acked.add(now, g.cold.span)
		to.failing *= 0.85
		if to.failing < failingAside { // a machine that fails most and answers some stays on probation
			to.strikes, to.asideUntil = 0, 0
		}
		op.mean += 0.05 * (time - op.mean)
		pace := min(time/max(op.mean, 1), 8)
		to.slow = max(0.3, min(6, to.slow+0.08*(pace-to.slow)))
		if m := g.model(to.model); to.build < g.judge.build || g.judge.own == nil {
			m.pace = max(0.3, min(6, m.pace+0.01*(pace-m.pace)))
			g.pace = max(0.3, min(6, g.pace+0.01*(pace-g.pace)))
		}
		g.jams(to, time > late*float64(op.target))
		if time > congested*float64(op.target) {
			g.cut(to, now)
		} else if float64(len(to.open)+1) > to.limit/2 {
			to.limit = min(limitMost, to.limit+limitGrow/to.limit)
		}
	case Errored:
		to.failing += 0.15 * (1 - to.failing)
		g.rankPeers()
		if others, _, _ := g.peersOf(to); to.failing > failingAside+others {
			g.aside(to, now)
		}
	case TimedOut, Broken, Unconnected, Withdrawn, Rejected:
		g.cut(to, now)
		if how == TimedOut {
			g.jams(to, true)
		}
		if how == TimedOut && to.heardAt > dl.sentAt {
			op.mean += 0.05 * (time - op.mean) // it was at work: learn from it as well as from those that made it
		}
		// Full, or draining unlisted, or its process died: each gateway sees the same crash, and as an odd
		// machine it does not speak against its build seven times.
		if how == Unconnected || how == Rejected || how == Broken || to.heardAt < dl.sentAt {
			g.aside(to, now)
		}
	}
}

// aside leaves a machine alone for a time, then on probation, one delivery at a time. A gateway with little
// traffic counts in commands, or the time would be over by its next one.
func (g *Gateway) aside(to *Instance, now int64) {
	to.strikes++
	turns := int64(asideTurns) * trialSpan / int64(max(1, g.cold.taken.count(now-trialSpan)))
	to.asideUntil = now + max(min(asideMost, asideFirst<<min(to.strikes-1, 5)), min(asideLong, turns))
}

func (g *Gateway) cut(to *Instance, now int64) {
	if now-to.cutAt > 100*ms {
		to.limit, to.cutAt = max(1, to.limit*limitCut), now
	}
}

// ToldVote tells the answer to a vote. One that was not counted is cast again, soon but not at once: the
// platform's calls are shared by all gateways. One that may have counted is repeated too.
func (g *Gateway) ToldVote(how Outcome, now int64) {
	j := &g.judge
	j.waiting = false
	switch how {
	case Acked:
		j.againAt = j.votedAt + j.life/2
	case Unsent:
		j.vote = Vote{}
		j.againAt = now + 500*ms
	default:
		j.againAt = now + 300*ms + int64(g.draw(400))*ms
	}
}

// witness counts an outcome as evidence for or against its build.
func (g *Gateway) witness(dl *Delivery, how Outcome, took, now int64) {
	if g.judge.own == nil || dl.sentAt < g.judge.seenAt || dl.build != dl.To.build ||
		how == Rejected || how == Unconnected || how == Unsent {
		return
	}
	c := &dl.To.block[dl.Cmd.op.number]
	// At its end, by its machine's age then, as the work counts: what still queues has cost none yet.
	if g.settled(dl.To, now) && (how == Acked || how == Errored) {
		c[2] += 2
	} else if g.settled(dl.To, now) && how != Broken {
		c[2]++ // half, as in the fleet's work: what came late or never may not have been begun
	}
	// Time-outs and deliveries that were called off tell of time, not of failure: how many there are hangs on
	// our own patience, and on load.
	if dl.cold || how == TimedOut || how == Withdrawn {
		return
	}
	c[0]++
	if how == Errored {
		c[1]++
	}
	// The deliveries that one crash breaks are one failure, not many, and one among all gateways: by lot.
	if how == Broken && dl.sentAt > dl.To.brokeAt {
		dl.To.brokeAt = dl.sentAt + took
		if g.draw(g.peers) == 0 {
			c[1]++
		}
	}
}

// settled tells a machine that is warm: its work and the deliveries it ends are held against each other.
func (g *Gateway) settled(it *Instance, now int64) bool {
	return it.ready && now-it.startedAt > max(warmSkip, g.cold.warm)
}

// fold sums the evidence over machines. One that the voters name ill, or that fails us far more, speaks of
// itself, not of the build: its failures are left out (guards against a crash, hang or fast errors of
// single trial machines; it may delay the case against a build that ruins some machines before others). Not
// so work and the deliveries that cost it: gateways see these at different times and would hardly leave out
// the same.
func (g *Gateway) fold(now int64) {
	j := &g.judge
	if g.rankPeers(); j.own == nil {
		return
	}
	copy(j.own, j.past)
	j.workWas, j.work = j.work, j.pastWork // peers tell of their deliveries half a second late, on average less
	for _, it := range g.instances {
		failing, _, n := g.peersOf(it)
		g.credit(it, j.own, &j.work, now < it.illUntil || n >= 2 && it.failing > failingAside+failing)
	}
}

// product is one build's factor of the paper's pair test, in logarithms:
// M = phi^phi / (phi+L)^(phi+n) * Gamma(phi+n) / Gamma(phi) * e^L.
func product(n, l float64) float64 {
	a, _ := math.Lgamma(phi + n)
	b, _ := math.Lgamma(phi)
	return phi*math.Log(phi) - (phi+n)*math.Log(phi+l) + a - b + l
}

// joint is the test's product over both builds, in logarithms, where L is attempts times the joint failure
// rate; it speaks against the trial only where the trial fails above its L. No attempts give 1.
func joint(trialTries, trialFails, baseTries, baseFails float64) float64 {
	if trialTries == 0 || baseTries == 0 {
		return 0
	}
	rate := (trialFails + baseFails) / (trialTries + baseTries)
	e := product(trialFails, trialTries*rate) + product(baseFails, baseTries*rate)
	if trialFails <= trialTries*rate {
		return min(e, 0)
	}
	return e
}

// attempts is joint where the trial fails enough more: so small a difference is not worth a way back
// (guards against a few failing machines; where harm is dear, less is borne of builds that fail a little).
func attempts(trialTries, trialFails, baseTries, baseFails, may float64) float64 {
	if baseTries == 0 || trialFails <= trialTries*(baseFails/baseTries+may) {
		return 0
	}
	return joint(trialTries, trialFails, baseTries, baseFails)
}

// evidence pools the totals of all gateways on the build and averages the products: an average of such
// products keeps the level alpha, so a look at each op type and at work is paid for. Beside it, work alone.
func (g *Gateway) evidence() (all, work float64) {
	j := &g.judge
	sum := g.pooled()
	if j.before == nil {
		j.before = slices.Clone(sum)
	}
	margin := min(failLeast, failHarm*j.lag/max(j.harm, 1e-9))
	var tt, tf, bt, bf, tw, bw float64
	var logs []float64
	for _, op := range g.ops {
		t, b := sum[g.cell(true, op):], sum[g.cell(false, op):]
		tt, tf, bt, bf = tt+float64(t[0]), tf+float64(t[1]), bt+float64(b[0]), bf+float64(b[1])
		if j.since != nil {
			tw += max(0, float64(t[2])-float64(j.since[g.cell(true, op)+2])) / 2
			bw += max(0, float64(b[2])-float64(j.since[g.cell(false, op)+2])) / 2
		}
		// Beside all of the trial's tries those since its stage or its release: guards against builds that begin
		// to fail once their machines have run for a while, which many clean tries would hide.
		was := j.before[g.cell(true, op):]
		tries, fails := max(0, float64(t[0])-float64(was[0])), float64(t[1])-float64(was[1])
		logs = append(logs, attempts(float64(t[0]), float64(t[1]), float64(b[0]), float64(b[1]), margin),
			attempts(tries, fails, float64(b[0]), float64(b[1]), margin))
	}
	// Slowness by work, counted in commands of the earlier build, where machines tell how busy they are: it
	// tells a slow build from queues, which load, cold keys and bursts make as well. It says nothing once few
	// earlier machines are left, as the trial's work is then of another period, or while totals are missing; after
	// that, and at a gateway that started amid a trial, both count from when the work is seen. The fleet's work
	// is held against that before, as with equal exposure, unless the trial's commands cost less than others.
	slower, fleet, w := 0.0, 0.0, j.workWas
	if g.baseLeft() && !j.deaf && j.sees && w[0] > 0 && w[1] > 0 && tw > 0 && bw > 0 {
		may := tw * workMargin * (1 + slowAlone/float64(max(1, g.trialMachines())))
		slower = joint(may, w[0]*bw/w[1], bw, bw)
	}
	if w[0] == 0 || w[0]*bw*workMargin >= w[1]*tw {
		fleet = joint(j.fleet[0]*workMargin, j.fleet[1], j.fleet[0], j.fleet[0])
	}
	logs = append(logs, attempts(tt, tf, bt, bf, margin))
	return meanOf(append(logs, slower, fleet)), meanOf(append(make([]float64, len(logs)), slower, fleet))
}

// voters are drawn by hash of the build: a few, whatever the size of the fleet.
func (g *Gateway) voters(build int) []int {
	n := max(voterCount, g.judge.on+1, g.judge.back+1) // one may be cut off, stopped or late
	if !g.judge.messages {
		n = g.peers
	} else if n > voterMost {
		n = voterCount
	}
	return g.hashed(build, min(n, g.peers))
}

// followed is what the voters found, as last heard: back if one says so, else on if one says so of this
// stage. Guards against a fleet too large for everyone to pool with everyone; a voter that lost its mind
// would take the fleet with it. It tells whether any was heard.
func (g *Gateway) followed(now int64) (word Verdict, heard bool) {
	for _, f := range g.judge.findings {
		if f.Build != g.exposure.build || now-f.heardAt > findFresh {
			continue
		}
		heard = true
		if f.Verdict == VoteBack {
			return VoteBack, true
		}
		if f.Verdict == VoteOn && f.Stage == g.exposure.stage {
			word = VoteOn
		}
	}
	return word, heard
}

// opinion is this gateway's vote now: a voter's own finding, or what the voters told.
func (g *Gateway) opinion(now int64) Verdict {
	j, e := &g.judge, &g.exposure
	if j.own == nil || e.build != j.build || e.phase == GoingBack || e.phase == TakenOff {
		return VoteNone
	}
	blind := j.messages && heardLeast*(j.hearing+1) < g.peers
	if !slices.Contains(g.voters(j.build), g.rank) {
		if word, heard := g.followed(now); heard {
			return word
		}
		blind = true
	}
	// With few earlier machines left a case by failures must stand a while (guards against machines that begin
	// to fail after a release, until they are named ill; harms where a build does so).
	if level, work := g.evidence(); level >= math.Log(1/alpha) {
		j.against = j.against || g.baseLeft() || work >= math.Log(1/alpha) || now-j.clearAt >= caseHolds
	} else if j.clearAt = now; j.control == ControlClock && level < math.Log(holdLevel) {
		j.against = false
	}
	if j.against {
		return VoteBack
	}
	if e.phase != OnTrial || j.control == ControlClock {
		return VoteNone
	}
	// Guards against lost messages: without the others' totals a build is moved on later, and not at all where
	// a bad one costs far more than a wait. A gateway that hears no voter judges by its own: where many votes
	// are required, so many would hardly err at once. A bad build may come further than it would with
	// messages.
	wait := onWait
	if blind && j.lag < blindHarm*j.harm {
		return VoteNone
	} else if blind {
		wait = blindWait
	}
	latest, all := g.latestStart()
	if over := max(latest, j.stageAt) + wait; latest > 0 && now < over {
		j.lookAt = over
	} else if latest > 0 && (all || now-j.stageAt > unlistedFor) {
		return VoteOn
	}
	return VoteNone
}

// latestStart is the latest listed start of the build's machines, and whether all of the stage's are listed
// or were. Guards against machines that die amid a stage: their restarts are no starts of it. Harms where a
// build kills its machines slowly: it moves on with fewer.
func (g *Gateway) latestStart() (latest int64, all bool) {
	e, j := &g.exposure, &g.judge
	latest, shown := g.starts(e.build)
	j.listed = j.listed || e.stage >= len(j.shares) ||
		float64(shown) >= math.Ceil(j.shares[e.stage]*float64(g.list.places)-0.01)
	return latest, j.listed
}

// Wait tells how long until it is to be asked again, and the chores that are due.
func (g *Gateway) Wait(now int64) (int64, Chores) {
	var due Chores
	until := now + 10*s
	if g.startedAt == 0 {
		g.startedAt = now - ms
		g.judge.totalsAt = now + int64(g.draw(int(poolEvery/ms)))*ms // gateways take turns at the voters
		g.firstCall(now)
	}
	for i, cmd := range g.held {
		// The head of the queue, and whoever's time is about to run out.
		if i < heldLook || cmd.lastAnswer-now <= int64(g.expected(cmd))+4*g.tick {
			due.Ready = append(due.Ready, cmd)
		}
	}
	if len(g.held) > 0 {
		until = now + 2*g.tick
	}
	until = g.callDiscovery(now, &due, until)
	for _, it := range g.instances {
		until = min(until, g.rescue(it, now, &due))
	}
	if j := &g.judge; now >= j.totalsAt {
		j.totalsAt = now + poolEvery
		g.recall(now)
		g.pool(now, &due)
	} else if now >= j.lookAt { // the wait before 'on' is over
		j.lookAt = math.MaxInt64
		g.vote(g.opinion(now), now, &due)
	}
	until = min(until, g.judge.totalsAt, g.judge.lookAt)
	return max(until-now, g.tick), due
}

// pool sends this gateway's totals to the voters; a voter tells the others what it found.
func (g *Gateway) pool(now int64, due *Chores) {
	j, e := &g.judge, &g.exposure
	build := max(j.build, e.build)
	voters := g.voters(build)
	g.fold(now)
	g.tell(build, voters, now, due)
	voter := slices.Contains(voters, g.rank)
	j.hearing = g.heardSince(now - totalsFresh)
	deaf := 4*j.hearing < 3*(g.peers-1)
	if deaf || !voter {
		j.hearsAt, j.fresh = now, nil // what the fleet did meanwhile is not known
	}
	// Guards against lost messages and restarts amid a trial: the tries told of meanwhile have no work beside them.
	if j.deaf = deaf; j.own != nil && deaf && now-j.seenAt >= findFresh {
		j.since = nil
	} else if j.own != nil && !deaf && j.since == nil {
		g.seeWork(now)
	}
	j.sees = j.since != nil && now-j.sinceAt >= max(findFresh, e.window) // a few deliveries come in bursts
	found := VoteNone
	// One vote of a few is enough where no more are required.
	if j.own != nil && (voter || max(j.on, j.back) > len(voters)) {
		found = g.opinion(now)
		g.vote(found, now, due)
	}
	if !voter {
		return
	}
	ill := g.tendIll(now)
	if len(voters) < g.peers && (found != j.found || len(ill) != j.ill || now >= j.findAt) {
		j.found, j.ill, j.findAt = found, len(ill), now+findEvery
		due.Finding = &Finding{From: g.rank, At: now, Build: build, Stage: e.stage, Verdict: found, Ill: ill,
			Work: j.worked}
	}
}

// rescue calls off what lies with a silent instance, where it may be delivered again in time, so that it
// need not wait for a time-out: this guards against machines that hang, go silent or are cut off. It tells
// when to look again.
func (g *Gateway) rescue(it *Instance, now int64, due *Chores) int64 {
	if len(it.open) == 0 {
		return now + 10*s
	}
	if at := g.overdueAt(it.open[0]); now < at {
		return at
	}
	for _, dl := range it.open {
		cmd := dl.Cmd
		if now < g.overdueAt(dl) {
			continue
		}
		if !dl.missed {
			dl.missed = true
			it.saw(0, 1, now)
		}
		// Where we meet a machine seldom, that nothing came back says little unless the voters name it ill: a jam
		// looks the same, and work called off for it is done in vain.
		if now >= it.illUntil && it.sent.count(now-trialSpan) < silentLeast {
			continue
		}
		if !dl.silent {
			dl.silent = true
			g.out--
		}
		again := cmd.op.repeats() && (cmd.op.kind == Redeliverable || now+g.tick < dl.sentAt+cmd.op.window)
		if again && g.limits.cancel && !dl.called && !cmd.Ended && len(cmd.Deliveries) < g.limits.deliveries &&
			cmd.lastAnswer-now > int64(cmd.op.mean) {
			dl.called = true
			due.Cancel = append(due.Cancel, dl)
		}
	}
	return now + 10*g.tick
}

// vote casts this gateway's vote when it has changed, before it lapses, and again after a lost answer.
func (g *Gateway) vote(found Verdict, now int64, due *Chores) {
	j, e := &g.judge, &g.exposure
	v := Vote{Build: j.build, Stage: e.stage, Verdict: found}
	if v.Verdict == VoteNone && j.vote.Verdict == VoteNone || j.waiting && now < j.votedAt+j.answerIn+s {
		return
	}
	if v == j.vote && now < j.againAt || v.Verdict == VoteNone && e.phase != OnTrial {
		return
	}
	due.Votes = append(due.Votes, v)
	j.vote, j.votedAt, j.waiting, j.againAt = v, now, true, now+j.answerIn
}
