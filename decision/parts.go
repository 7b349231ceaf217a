package decision

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"sort"
)

// This file takes in what is told, keeps the books that choice.go reads, and works out plain estimates from
// them. No tuned value stands here.

// Bound tells what is permitted of deliveries.
func (g *Gateway) Bound(deliveries int, cancel, advice bool, comeBack int64) {
	g.limits = limits{deliveries: deliveries, cancel: cancel}
	if advice {
		g.limits.comeBack = comeBack
	}
}

// Price tells what it costs to cross zones, to serve by an earlier build and to fail effects by a bad one.
func (g *Gateway) Price(cross, lag, harm float64) {
	g.limits.cross, g.judge.lag, g.judge.harm = cross, lag, harm
}

// Chill tells how instances warm up and what pushes a cold one over.
func (g *Gateway) Chill(from float64, warm int64, multiple float64, span int64) {
	g.cold.from, g.cold.warm, g.cold.multiple, g.cold.span = from, warm, multiple, span
}

// Expose tells how deliveries to a build on trial are bounded.
func (g *Gateway) Expose(window int64, allowance float64, byOp bool, closed int, oneWay bool,
	caps []float64) {
	e := &g.exposure
	e.window, e.allowance, e.byOp, e.closed, e.oneWay, e.caps = window, allowance, byOp, closed, oneWay, caps
}

// Judge tells how votes move builds.
func (g *Gateway) Judge(control Control, on, back int, shares []float64, life, answerIn int64,
	messages bool) {
	j := &g.judge
	j.control, j.on, j.back, j.shares, j.life = control, on, back, shares, life
	j.answerIn, j.messages = answerIn, messages && g.peers > 1
}

// Waiting is how many commands are held.
func (g *Gateway) Waiting() int { return len(g.held) }

// Guard has no delivery go to a build that is not vouched for.
func (g *Gateway) Guard() { g.vouched = map[int]bool{} }

// ToldVouched tells whether a build is what was signed.
func (g *Gateway) ToldVouched(build int, so bool) {
	if g.vouched == nil {
		return
	}
	if delete(g.vouched, build); so {
		g.vouched[build] = true
	}
}

// Ready tells whether the list names an instance as one that takes deliveries.
func (g *Gateway) Ready(it *Instance) bool { return it.listed && it.ready }

func (g *Gateway) unhold(cmd *Command) {
	if !cmd.held {
		return
	}
	cmd.held = false
	for i, c := range g.held {
		if c == cmd {
			g.held = append(g.held[:i], g.held[i+1:]...)
			return
		}
	}
}

// trialMachines counts the ready machines of the build under judgement.
func (g *Gateway) trialMachines() int {
	n := 0
	for _, it := range g.instances {
		if it.ready && it.build >= g.judge.build {
			n++
		}
	}
	return n
}

// starts gives the latest start of a build's ready machines, and how many there are.
func (g *Gateway) starts(build int) (latest int64, shown int) {
	for _, it := range g.instances {
		if it.ready && it.build == build {
			latest = max(latest, it.firstAt)
			shown++
		}
	}
	return latest, shown
}

// pooled sums the totals of all gateways on the build.
func (g *Gateway) pooled() []uint32 {
	sum := slices.Clone(g.judge.own)
	plus(sum, g.judge.gone)
	for _, t := range g.judge.heard {
		if t != nil && t.Build == g.judge.build {
			plus(sum, t.Cells)
		}
	}
	return sum
}

func (g *Gateway) cells() int { return 2 * len(g.ops) * cellKinds }

func (g *Gateway) cell(trial bool, op *OpType) int {
	return (g.side(trial)*len(g.ops) + op.number) * cellKinds
}

func (g *Gateway) side(trial bool) int {
	if trial {
		return 0
	}
	return 1
}

// ToldLoad tells how busy an instance says it is.
func (g *Gateway) ToldLoad(it *Instance, busy float64, now int64) {
	it.busy, it.toldAt, it.fresh = busy, now, true
}

// ToldFlowing tells that an answer has begun to stream: it belongs to the client from here on.
func (g *Gateway) ToldFlowing(dl *Delivery, now int64) {
	dl.To.heardAt = now
	dl.Cmd.Ended = true
}

// ToldGone tells that the client has left.
func (g *Gateway) ToldGone(cmd *Command) {
	cmd.Ended = true
	g.unhold(cmd)
}

// Hasten brings the last moment for a command's answer forward: the gateway ends before its client gives up.
func (g *Gateway) Hasten(cmd *Command, lastAnswer int64) {
	cmd.lastAnswer = min(cmd.lastAnswer, lastAnswer)
	cmd.target = min(cmd.target, lastAnswer)
}

// ToldInstance tells one line of the list.
func (g *Gateway) ToldInstance(it *Instance, ready, present bool, build, zone, model, cell int, size float64,
	startedAt, now int64) {
	if !it.listed {
		it.listed, it.lot = true, uint64(g.draw(1<<30))
		g.instances = append(g.instances, it)
	}
	if it.block == nil || build != it.build {
		g.retire(it)
	}
	if it.firstAt == 0 || build != it.build {
		it.firstAt = startedAt
	}
	if startedAt != it.startedAt || build != it.build || it.limit == 0 {
		it.limit, it.slow, it.strikes, it.asideUntil, it.failing = limitStart, g.model(model).pace, 0, 0, 0
		it.illUntil, it.good, it.lost, it.sentAt, it.knownAt, it.provedAt = 0, 0, 0, 0, now, 0
	}
	it.ready, it.here, it.build, it.zone, it.model, it.cell = ready && present, present, build, zone, model, cell
	it.size, it.startedAt = size, startedAt
	if size <= 0 {
		it.size = 1
	}
}

// ToldListEnd closes an update of the list.
func (g *Gateway) ToldListEnd(cached bool, now int64) {
	power, places, newest := 0.0, 0, 0
	g.instances = slices.DeleteFunc(g.instances, func(it *Instance) bool {
		if it.listed = it.ready || it.here || len(it.open) > 0; !it.listed {
			g.retire(it)
		}
		return !it.listed
	})
	for _, it := range g.instances {
		if it.ready {
			newest = max(newest, it.build)
			if g.judge.own == nil || it.build < g.judge.build { // a replaced machine and its successor are one place
				power += g.power(it)
				places++
			}
		}
	}
	g.list.power, g.list.places = max(g.list.power, power), max(g.list.places, places)
	if !cached {
		g.calls.failures = 0
	}
	g.regard(newest, now)
}

// ToldStage tells where the newest build stands.
func (g *Gateway) ToldStage(build, stage int, phase Phase, most float64, since, now int64) {
	e, j := &g.exposure, &g.judge
	if build < e.build {
		return
	}
	if build != e.build || stage != e.stage || phase != e.phase {
		j.stageAt = now - since
		j.againAt, j.listed, j.before = 0, false, nil
		if j.own != nil && phase == OnTrial {
			// The fleet against before: what was clean at a smaller stage says little.
			j.fleet, j.fresh = [2]float64{}, nil
		}
	}
	e.build, e.stage, e.phase, e.cap = build, stage, phase, most
	if phase == GoingBack || phase == TakenOff {
		for key, pin := range e.pinned {
			if pin >= build {
				delete(e.pinned, key)
			}
		}
		e.pinning = 0
	}
	g.regard(build, now)
	j.told = true
}

// ToldWrong tells that a client judged an answer of an instance wrong.
func (g *Gateway) ToldWrong(it *Instance, op *OpType, sentAt, now int64) {
	if sentAt >= g.judge.seenAt {
		it.block[op.number][1]++
	}
}

// regard begins to judge a build when it is first heard of.
func (g *Gateway) regard(build int, now int64) {
	j := &g.judge
	if g.exposure.build < 0 || build <= j.build || !g.onTrial(build) {
		return // the build of the start is not on trial
	}
	for _, it := range g.instances {
		g.retire(it)
	}
	j.build, j.seenAt, j.against, g.exposure.pinning = build, now, false, 0
	j.workWas, j.work, j.since = [2]float64{}, [2]float64{}, nil
	if j.amid, j.sinceAt = !j.told, 0; j.told { // we ran before the build was heard of
		j.since = make([]uint32, g.cells())
	}
	j.pastWork, j.past, j.fleet = [2]float64{}, make([]uint32, g.cells()), [2]float64{}
	j.gone = make([]uint32, g.cells())
	j.own = make([]uint32, g.cells())
	j.vote, j.againAt, j.before = Vote{}, 0, nil
}

// ToldTotals tells a peer's running totals; the latest of each sender stands.
func (g *Gateway) ToldTotals(t *Totals, now int64) {
	if t.From < 0 || t.From >= len(g.judge.heard) || t.From == g.rank || len(t.Cells) != g.cells() {
		return
	}
	for _, seen := range t.Sights {
		if seen.Of.listed {
			seen.Of.note(seen.Acked, seen.Lost, now)
			if seen.Busy >= 0 {
				seen.Of.busy, seen.Of.toldAt = seen.Busy, now
			}
		}
	}
	had := g.judge.heard[t.From]
	if had != nil && (t.Build < had.Build || t.Build == had.Build && t.At <= had.At) {
		return
	}
	if j := &g.judge; t.Build == j.build && had != nil && had.Build == t.Build && g.anew(t.Cells, had.Cells) {
		plus(j.gone, had.Cells)
	} else if t.Build == j.build && (had == nil || had.Build != t.Build) && j.amid && j.since != nil {
		plus(j.since, t.Cells) // first heard of now: the work of its tries was not seen
	}
	g.judge.heard[t.From] = t
}

func plus(sum, more []uint32) {
	for i, n := range more {
		sum[i] += n
	}
}

// anew tells whether running totals fell: their sender has started anew. Tries and failures may fall as well, as a
// machine is found to speak of itself; the deliveries ended at warm machines never do.
func (g *Gateway) anew(cells, had []uint32) bool {
	for i := 2; i < len(cells); i += cellKinds {
		if cells[i] < had[i] {
			return true
		}
	}
	return false
}

// seeWork begins to hold work against tries anew: those so far stand beside work that was not seen.
func (g *Gateway) seeWork(now int64) {
	j := &g.judge
	j.since, j.amid, j.sinceAt = g.pooled(), true, now
	j.workWas, j.work, j.pastWork = [2]float64{}, [2]float64{}, [2]float64{}
	for _, it := range g.instances {
		it.worked = 0
	}
}

// ToldFinding tells what a voter found; the latest of each stands, and only a voter's counts.
func (g *Gateway) ToldFinding(f *Finding, now int64) {
	j := &g.judge
	if f.From == g.rank || f.Build < max(j.build, g.exposure.build) ||
		!slices.Contains(g.voters(f.Build), f.From) {
		return
	}
	f.heardAt = now
	for _, it := range f.Ill {
		it.illUntil = now + findEvery + poolEvery
	}
	if f.Work > 0 && (j.own == nil || j.worked == 0) { // also to one that has started anew amid a trial
		j.worked = f.Work
	}
	for i, had := range j.findings {
		if had.From == f.From {
			if f.At > had.At || f.Build > had.Build {
				j.findings[i] = f
			}
			return
		}
	}
	j.findings = append(j.findings, f)
}

// ToldOnly tells which instances a whole list named: the others are gone.
func (g *Gateway) ToldOnly(named map[*Instance]bool, now int64) {
	for _, it := range g.instances {
		if !named[it] {
			it.ready, it.here = false, false
		}
	}
}

// Tenant adds a customer with its share in commands a second over all gateways.
func (g *Gateway) Tenant(quota float64) *Tenant {
	t := &Tenant{quota: quota}
	g.tenants = append(g.tenants, t)
	return t
}

// power is what an instance can do against others: its size at the pace of its kind of machine.
func (g *Gateway) power(it *Instance) float64 { return it.size / g.model(it.model).pace }

// even is power at the mean pace of all kinds of machine: with one kind its size, however its answers go.
func (g *Gateway) even(it *Instance) float64 { return g.power(it) * g.pace }

// share is the number of this gateway's commands of the last span that fall to an instance by its power.
func (g *Gateway) share(it *Instance, span, now int64) float64 {
	power := g.power(it)
	return float64(g.cold.taken.count(now-span)) * power / max(g.list.power, power)
}

// rankPeers sorts what the ready machines of each build show, as far as anything is known of them.
func (g *Gateway) rankPeers() {
	all := g.judge.ranks[:0]
	for _, it := range g.instances {
		if !it.ready || it.good+it.lost < 0.5 { // of one that nobody heard of lately nothing is known
			continue
		}
		i := slices.IndexFunc(all, func(r ranks) bool { return r.build == it.build })
		if i < 0 {
			i, all = len(all), append(all, ranks{build: it.build})
		}
		r := &all[i]
		r.failing, r.lossy = append(r.failing, it.failing), append(r.lossy, it.lossy())
	}
	for _, r := range all {
		slices.Sort(r.failing)
		slices.Sort(r.lossy)
	}
	g.judge.ranks = all
}

// peersOf gives the medians over the other ready machines of an instance's build, when they were last
// ranked: what most of them suffer is the build's, and no ground to set one aside.
func (g *Gateway) peersOf(to *Instance) (failing, lossy float64, n int) {
	for _, r := range g.judge.ranks {
		if n = len(r.failing) - 1; r.build == to.build && n > 0 {
			return without(r.failing, to.failing), without(r.lossy, to.lossy()), n
		}
	}
	return 1, 1, 0
}

// without is the median of sorted figures but one.
func without(sorted []float64, own float64) float64 {
	at := (len(sorted) - 1) / 2
	if own <= sorted[at] {
		at++
	}
	return sorted[at]
}

// note books answers and losses at a machine, ours or a peer's.
func (it *Instance) note(acked, lost int, now int64) {
	left := faded(it.notedAt, now, poolSpan)
	it.good, it.lost, it.notedAt = it.good*left+float64(acked), it.lost*left+float64(lost), now
}

// saw books our own, to be told to the voters as well.
func (it *Instance) saw(acked, lost int, now int64) {
	it.note(acked, lost, now)
	it.seen.Acked, it.seen.Lost = it.seen.Acked+acked, it.seen.Lost+lost
}

// lossy is the share of deliveries lost lately.
func (it *Instance) lossy() float64 { return it.lost / (it.good + it.lost + 1) }

// sights takes what we saw of the machines since last told, those with losses first.
func (g *Gateway) sights() []Sight {
	var all []Sight
	for _, lost := range []bool{true, false} {
		for _, it := range g.instances {
			one := it.seen
			if len(all) == sightsMost || (one.Lost > 0) != lost || one.Acked+one.Lost == 0 && !it.fresh {
				continue
			}
			if one.Of, one.Busy = it, -1; it.fresh {
				one.Busy = it.busy
			}
			all = append(all, one)
			it.seen, it.fresh = Sight{}, false
		}
	}
	return all
}

// work is what a command costs warm machines lately, by their own figures and all gateways' answers, and
// how many answers that was; no answers where none reports a figure.
func (g *Gateway) work(now int64) (work, acked float64) {
	busy := 0.0
	for _, it := range g.instances {
		if it.ready && now-it.startedAt > g.cold.warm && now-it.toldAt < busyFresh {
			it.note(0, 0, now)
			busy += it.busy * g.even(it)
			// Made up for what nobody could tell before we heard all, or before the machine was known.
			since := max(now-max(g.judge.hearsAt, it.knownAt), poolEvery)
			acked += (it.good + lostWork*it.lost) / (1 - faded(0, since, poolSpan))
		}
	}
	if busy == 0 || acked == 0 {
		return 0, 0
	}
	return busy / acked, acked
}

// able is the share of its capacity that an instance of this age has at least.
func (g *Gateway) able(age int64) float64 {
	return g.cold.from + (1-g.cold.from)*max(0, min(1, float64(age)/float64(max(g.cold.warm, 1))))
}

// New makes a gateway from its seed, its number, how many there are, its zone and the shortest time between
// two calls.
func New(seed uint64, rank, peers, zone int, tick int64) *Gateway {
	g := &Gateway{seed: seed, rank: rank, peers: max(peers, 1), zone: zone, tick: max(tick, ms)}
	g.exposure.trial = map[int][]window{}
	g.exposure.pinned = map[uint64]int{}
	g.exposure.seen = map[uint64]int{}
	g.exposure.build = -1
	g.cold.lack, g.pace, g.window, g.judge.lookAt = 1, 1, math.Inf(1), math.MaxInt64
	g.judge.heard = make([]*Totals, g.peers)
	return g
}

// OpType adds one type of command.
func (g *Gateway) OpType(target int64, stretch float64, timeout int64, importance, lateShare float64,
	kind Kind, group Group, window int64) *OpType {
	op := &OpType{number: len(g.ops), target: target, stretch: stretch, timeout: timeout,
		importance: importance, lateShare: lateShare, kind: kind, group: group, window: window}
	op.mean = meanStart * float64(target)
	g.ops = append(g.ops, op)
	return op
}

// model gives what is known of a kind of machine.
func (g *Gateway) model(number int) *Model {
	for len(g.models) <= number {
		g.models = append(g.models, &Model{pace: 1})
	}
	return g.models[number]
}

// credit adds what a machine has shown to its build's evidence, or its work and the deliveries that cost it
// alone.
func (g *Gateway) credit(it *Instance, cells []uint32, work *[2]float64, workOnly bool) {
	trial := it.build >= g.judge.build
	work[g.side(trial)] += it.worked
	for i, op := range g.ops {
		for k, n := range it.block[i] {
			if k >= 2 || !workOnly {
				cells[g.cell(trial, op)+k] += n
			}
		}
	}
}

// retire keeps what a machine that leaves has shown, and starts it anew.
func (g *Gateway) retire(it *Instance) {
	if it.block != nil && g.judge.own != nil {
		g.credit(it, g.judge.past, &g.judge.pastWork, false)
	}
	it.block, it.worked = make([][cellKinds]uint32, len(g.ops)), 0
}

// baseLeft tells whether enough of the ready machines run an earlier build.
func (g *Gateway) baseLeft() bool {
	left, all := 0, 0
	for _, it := range g.instances {
		if it.ready {
			all++
			left += g.side(it.build >= g.judge.build)
		}
	}
	return left*baseLeast >= all
}

// trialWindow is where deliveries to a build on trial are counted, by op type where the cap is.
func (g *Gateway) trialWindow(build int, op *OpType) *window {
	e := &g.exposure
	if e.trial[build] == nil {
		e.trial[build] = make([]window, len(g.ops))
	}
	if e.byOp {
		return &e.trial[build][op.number]
	}
	return &e.trial[build][0]
}

// openElsewhere is what machines not on trial hold of ours, and their power.
func (g *Gateway) openElsewhere() (open, power float64) {
	for _, it := range g.instances {
		if it.ready && !g.onTrial(it.build) {
			open += float64(len(it.open))
			power += g.power(it)
		}
	}
	return open, power
}

// arrive books a command for the rate.
func (g *Gateway) arrive(now int64) {
	g.arriving = g.arriving*faded(g.arrivedAt, now, rateSpan) + float64(s)/float64(rateSpan)
	g.arrivedAt = now
}

// rate is our commands a second, over the last seconds or since our start.
func (g *Gateway) rate(now int64) float64 {
	since := max(now-g.startedAt, ms)
	return g.arriving * faded(g.arrivedAt, now, rateSpan) / (1 - faded(0, since, rateSpan))
}

// hashed orders the gateways by a hash with the build and gives the first of them.
func (g *Gateway) hashed(build, n int) []int {
	j := &g.judge
	if j.voters == nil || j.votersOf != build {
		all, order := make([]int, g.peers), make([]uint64, g.peers)
		for i := range all {
			all[i], order[i] = i, mix(uint64(build), uint64(i))
		}
		slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(order[a], order[b]) })
		j.voters, j.votersOf = all[:n], build
	}
	return j.voters
}

// tell lays out our totals and sights for the voters.
func (g *Gateway) tell(build int, voters []int, now int64, due *Chores) {
	if !g.judge.messages {
		return
	}
	due.Totals = &Totals{From: g.rank, At: now, Build: build, Cells: make([]uint32, g.cells()),
		Sights: g.sights()}
	copy(due.Totals.Cells, g.judge.own)
	for _, v := range voters {
		if v != g.rank {
			due.Voters = append(due.Voters, v)
		}
	}
}

// heardSince counts the gateways whose totals came after a moment.
func (g *Gateway) heardSince(after int64) int {
	n := 0
	for _, t := range g.judge.heard {
		if t != nil && t.At > after {
			n++
		}
	}
	return n
}

// keep gives those that are wanted, or all where none is.
func keep(some []*Instance, wanted func(*Instance) bool) []*Instance {
	var kept []*Instance
	for _, it := range some {
		if wanted(it) {
			kept = append(kept, it)
		}
	}
	if len(kept) == 0 {
		return some
	}
	return kept
}

// way is the share of deliveries to a zone that came late or never, forgotten with time.
func (g *Gateway) way(zone int, now int64) float64 {
	if zone >= len(g.ways) {
		return 0
	}
	return g.ways[zone].late * faded(g.ways[zone].at, now, wayFor)
}

// bookWay books a delivery to a zone.
func (g *Gateway) bookWay(zone int, inTime bool, now int64) {
	for len(g.ways) <= zone {
		g.ways = append(g.ways, way{})
	}
	share := g.way(zone, now) * (1 - wayGain)
	if !inTime {
		share += wayGain
	}
	g.ways[zone] = way{share, now}
}

// countKey counts how often a key comes; old counts tell little of that.
func (g *Gateway) countKey(key uint64) {
	e := &g.exposure
	if len(e.seen) > keysKnown {
		e.seen, e.all, e.pinning = map[uint64]int{}, 0, 0
	}
	e.seen[key]++
	e.all++
	if e.pinned[key] >= g.judge.build {
		e.pinning++
	}
}

// faded is what is left by now of a figure of then, where a span leaves one in e.
func faded(then, now, span int64) float64 { return math.Exp(-float64(now-then) / float64(span)) }

// mix hashes two numbers.
func mix(a, b uint64) uint64 {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], b)
	binary.LittleEndian.PutUint64(text[8:], a)
	h := fnv.New64a()
	h.Write(text[:])
	return h.Sum64()
}

// add books an event and forgets those older than the span, with some to spare.
func (w *window) add(now, span int64) {
	cut := 0
	for cut < len(w.at) && w.at[cut] < now-2*span {
		cut++
	}
	w.at = append(w.at[cut:], now)
}

// count tells how many events came after a moment.
func (w *window) count(after int64) int {
	return len(w.at) - sort.Search(len(w.at), func(i int) bool { return w.at[i] > after })
}

// draw gives an even number below n from the seed and a counter.
func (g *Gateway) draw(n int) int {
	g.drawn++
	return int(mix(g.seed, g.drawn) >> 20 % uint64(n))
}

// meanOf is the mean of products given in logarithms.
func meanOf(logs []float64) float64 {
	top, mean := logs[0], 0.0
	for _, l := range logs {
		top = max(top, l)
	}
	for _, l := range logs {
		mean += math.Exp(l-top) / float64(len(logs))
	}
	return top + math.Log(mean)
}
