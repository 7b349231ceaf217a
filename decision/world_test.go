package decision

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// world drives one gateway and keeps the rules' own books beside it, from what is asked and answered alone.
type world struct {
	g         *Gateway
	now       int64
	instances []*Instance
	ops       []*OpType
	out       []*Delivery
	cmds      []*Command
	last      Decision
	taken     []int64
	trial     map[int][]int64
	cold      map[*Instance][]int64
	broken    string
	counter   uint64
	seed      uint64
	drained   map[*Instance]bool
	most      float64 // the highest cap told lately
	told      uint32  // half deliveries at earlier builds that each peer tells of, from before this gateway's start
}

const (
	testWindow = 2 * s
	testFree   = 2.0
	testSpan   = 1500 * ms
	capacity   = 60.0 // what a warm machine answers in a second in these runs, over all gateways
)

func newWorld(seed uint64, control Control) *world { return newMember(seed, control, 0, 3, 1) }

// newMember is one gateway of a fleet, where so many votes are required.
func newMember(seed uint64, control Control, rank, peers, votes int) *world {
	w := &world{g: New(seed, rank, peers, 0, 5*ms), now: 1000 * s, seed: seed, trial: map[int][]int64{},
		cold: map[*Instance][]int64{}, drained: map[*Instance]bool{}}
	w.ops = []*OpType{
		w.g.OpType(s, 0, 3*s, 1, 0.2, Redeliverable, GroupAll, 0),
		w.g.OpType(s, 0, 2*s, 2, 0, Deduplicated, GroupCell, s),
		w.g.OpType(s, 0, 2*s, 3, 0.2, AtMostOnce, GroupAll, 0),
	}
	w.g.Bound(3, true, true, 500*ms)
	w.g.Chill(0.4, 4*s, 4, testSpan)
	w.g.Follow(false)
	w.g.Expose(testWindow, testFree, false, 0, false, []float64{0.1, 0.5, 1})
	w.g.Price(0, 0.3, 8)
	w.g.Judge(control, votes, votes, []float64{0.1, 0.4, 1}, 6*s, s, true)
	return w
}

// started has machines of a released build.
func started(w *world, machines int) *world {
	w.list(machines, 0, 1)
	w.g.ToldStage(1, 2, Released, 1, 0, w.now)
	return w
}

func (w *world) draw(n int) int {
	w.counter++
	h := fnv.New64a()
	fmt.Fprint(h, w.seed, w.counter)
	return int(h.Sum64() >> 30 % uint64(n))
}

// list adds machines of a build.
func (w *world) list(n int, startedAt int64, build int) {
	for i := 0; i < n; i++ {
		it := &Instance{}
		w.instances = append(w.instances, it)
		w.g.ToldInstance(it, true, true, build, 0, 0, len(w.instances)%2, 2, startedAt, w.now)
	}
	w.g.ToldListEnd(false, w.now)
}

func (w *world) take(op int, key uint64) *Command {
	cmd := w.g.Take(w.ops[op], nil, key, 0, w.ops[op].timeout, w.now)
	w.taken = append(w.taken, w.now)
	w.cmds = append(w.cmds, cmd)
	w.obey(cmd, w.g.Where(cmd, w.now))
	return cmd
}

// obey carries a decision out and checks the five rules on it.
func (w *world) obey(cmd *Command, d Decision) {
	w.last = d
	switch d.Act {
	case Send:
		w.checkSend(cmd, d)
		w.out = append(w.out, d.Delivery)
	case Nack:
		for _, dl := range cmd.Deliveries {
			if cmd.op.kind != Redeliverable && dl.mayRun {
				w.fault("nacked a command that may have run")
			}
		}
	}
}

func (w *world) checkSend(cmd *Command, d Decision) {
	if w.drained[d.To] || !d.To.ready {
		w.fault("sent to a machine that drains or is gone")
	}
	if w.now >= cmd.lastAnswer || cmd.Ended {
		w.fault("sent for a command that is over")
	}
	for _, dl := range cmd.Deliveries[:len(cmd.Deliveries)-1] {
		if !dl.Done {
			w.fault("two deliveries out at once")
		}
		if dl.mayRun && (cmd.op.kind == AtMostOnce ||
			cmd.op.kind == Deduplicated && (dl.cell != d.To.cell || w.now >= dl.sentAt+cmd.op.window)) {
			w.fault("an effect may happen twice")
		}
	}
	if b := d.To.build; b > w.g.exposure.build || b == w.g.exposure.build && w.g.exposure.phase != Released {
		w.trial[b] = append(w.trial[b], w.now)
		sent, taken := since(w.trial[b], w.now-testWindow), since(w.taken, w.now-testWindow)
		if float64(sent) > testFree+w.most*float64(taken) {
			w.fault("exposure beyond the cap")
		}
	}
	if age := w.now - d.To.startedAt; d.To.startedAt > 0 && age < 4*s {
		w.cold[d.To] = append(w.cold[d.To], w.now)
		// Three gateways like this one, each with a third of what eight machines of this power can do.
		able := 0.4 + 0.6*float64(age)/float64(4*s)
		if w.g.peers == 3 && float64(3*since(w.cold[d.To], w.now-testSpan)) > 4*able*capacity*1.5+3 {
			w.fault("a cold machine pushed over")
		}
	}
}

func since(at []int64, after int64) int {
	from, _ := slices.BinarySearch(at, after+1)
	return len(at) - from
}

func (w *world) fault(what string) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("%s, at %.3f s", what, float64(w.now-1000*s)/1e9)
	}
}

func (w *world) end(dl *Delivery, how Outcome) {
	w.out = slices.DeleteFunc(w.out, func(o *Delivery) bool { return o == dl })
	w.obey(dl.Cmd, w.g.After(dl, how, w.now-dl.sentAt, how == Acked, w.now))
}

// finish acks what has been out for so long.
func (w *world) finish(after int64) {
	for _, dl := range append([]*Delivery(nil), w.out...) {
		if w.now-dl.sentAt >= after {
			w.end(dl, Acked)
		}
	}
}

// run passes time with commands; the first ill machines of the newest build fail a third of them.
func (w *world) run(span int64, ill int) {
	sick := map[*Instance]bool{}
	for i := len(w.instances) - 4; i < len(w.instances)-4+ill; i++ {
		sick[w.instances[i]] = true
	}
	for end := w.now + span; w.now < end; w.now += 5 * ms {
		if w.now/(5*ms)%100 == 0 {
			w.hearPeers()
		}
		w.take(0, 0)
		for _, it := range w.instances {
			w.g.ToldLoad(it, it.busy, w.now)
		}
		for _, dl := range append([]*Delivery(nil), w.out...) {
			if now := w.now; now-dl.sentAt >= int64(20+w.draw(60))*ms {
				if sick[dl.To] && w.draw(3) > 0 {
					w.end(dl, Errored)
				} else {
					w.end(dl, Acked)
				}
			}
		}
		w.wait()
	}
}

// hearPeers brings in empty totals of all peers.
func (w *world) hearPeers() {
	for i := 1; i < w.g.peers; i++ {
		cells := make([]uint32, w.g.cells())
		cells[w.g.cell(false, w.ops[0])+2] = w.told
		w.g.ToldTotals(&Totals{From: i, At: w.now, Build: max(w.g.judge.build, 1), Cells: cells}, w.now)
	}
}

// wait asks for the chores, carries out those on commands and gives the rest back.
func (w *world) wait() Chores {
	_, due := w.g.Wait(w.now)
	for _, cmd := range due.Ready {
		w.obey(cmd, w.g.Where(cmd, w.now))
	}
	for _, dl := range due.Cancel {
		if w.draw(2) == 0 {
			w.end(dl, Withdrawn)
		}
	}
	return due
}

// fleet is many gateways with the same machines, each with objects of its own; messages may be lost.
type fleet struct {
	all      []*world
	now      int64
	lost     int     // of a hundred messages
	fails    int     // of a hundred deliveries at the newest build
	busy     float64 // what machines say of themselves
	broken   string
	verdicts map[Verdict]map[int]bool // which gateways have voted so
}

func newFleet(seed uint64, control Control, gateways, machines int) *fleet {
	f := &fleet{now: 1000 * s, busy: 0.5, verdicts: map[Verdict]map[int]bool{VoteOn: {}, VoteBack: {}}}
	for i := 0; i < gateways; i++ {
		w := newMember(seed*1000+uint64(i), control, i, gateways, gateways/2)
		f.all = append(f.all, started(w, machines))
	}
	return f
}

// restart has a gateway start anew, with what the platform and the list tell it then.
func (f *fleet) restart(i, build, stage int, most float64) {
	old := f.all[i]
	w := newMember(old.seed+500, old.g.judge.control, i, len(f.all), len(f.all)/2)
	w.now = f.now
	w.g.ToldStage(build, stage, OnTrial, most, 0, f.now)
	for _, it := range old.instances {
		w.list(1, it.startedAt, it.build)
	}
	w.g.ToldListEnd(true, f.now)
	w.most, f.all[i] = most, w
}

func (f *fleet) list(n int, startedAt int64, build int) {
	for _, w := range f.all {
		w.list(n, startedAt, build)
	}
}

func (f *fleet) stage(build, stage int, phase Phase, most float64) {
	for _, w := range f.all {
		w.most = most
		w.g.ToldStage(build, stage, phase, most, 0, w.now)
	}
}

// step lets time pass, with so many commands a second at each gateway.
func (f *fleet) step(rate int) {
	f.now += 10 * ms
	for i, w := range f.all {
		if w.now = f.now; w.draw(1000) < rate*10 {
			w.take(w.draw(3), 0)
		}
		for _, dl := range append([]*Delivery(nil), w.out...) {
			switch {
			case dl.Done || w.now-dl.sentAt < int64(30+w.draw(60))*ms:
			case dl.build > 1 && w.draw(100) < f.fails:
				w.end(dl, Errored)
			default:
				w.g.ToldLoad(dl.To, f.busy, w.now)
				w.end(dl, Acked)
			}
		}
		due := w.wait()
		for _, v := range due.Votes {
			if f.verdicts[v.Verdict] != nil {
				f.verdicts[v.Verdict][i] = true
			}
			w.g.ToldVote(Acked, w.now)
		}
		f.deliver(w, due)
		f.broken += w.broken
	}
	// All gateways together must not push a cold machine over; warm ones are at most about 0.7 busy here.
	for m, it := range f.all[0].instances {
		age, sent := f.now-it.startedAt, 0
		for _, w := range f.all {
			sent += since(w.cold[w.instances[m]], f.now-testSpan)
		}
		able := (0.4 + 0.6*float64(age)/float64(4*s)) * float64(2*rate*len(f.all))
		if age <= 4*s && float64(sent*len(f.all[0].instances)) > 4*able+40 {
			f.broken = fmt.Sprintf("machine %d got %d in 1.5 s, %.0f s old", m, sent, float64(age)/1e9)
		}
	}
}

// deliver passes messages on, with the receiver's own objects.
func (f *fleet) deliver(from *world, due Chores) {
	same := func(to *world, it *Instance) *Instance { return to.instances[slices.Index(from.instances, it)] }
	if due.Totals != nil {
		for _, v := range due.Voters {
			t := *due.Totals
			t.Sights = nil
			for _, one := range due.Totals.Sights {
				one.Of = same(f.all[v], one.Of)
				t.Sights = append(t.Sights, one)
			}
			if from.draw(100) >= f.lost {
				f.all[v].g.ToldTotals(&t, f.now)
			}
		}
	}
	for _, to := range f.all {
		if due.Finding != nil && to != from && from.draw(100) >= f.lost {
			found := *due.Finding
			found.Ill = nil
			for _, it := range due.Finding.Ill {
				found.Ill = append(found.Ill, same(to, it))
			}
			to.g.ToldFinding(&found, f.now)
		}
	}
}

func (f *fleet) run(span int64, rate int) {
	for end := f.now + span; f.now < end; {
		f.step(rate)
	}
}
