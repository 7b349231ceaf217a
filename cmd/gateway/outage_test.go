package main

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"
)

const (
	toldWithin = 6 * time.Second // a change counts as told so long after discovery had it and could be reached
	drainGrace = time.Second
	capGrace   = 200 * time.Millisecond // a lower cap binds so long after it was told
)

// turnover is a fleet of instances of which all drain while as many others come.
type turnover struct {
	drained, fresh []*instanceServer
	before, after  []listEntry
}

func newTurnover(t *testing.T, instances int) *turnover {
	o := &turnover{}
	for i := range instances {
		leaving := newInstanceServer(t, fmt.Sprintf("s-old-%d", i))
		coming := newInstanceServer(t, fmt.Sprintf("s-new-%d", i))
		o.drained, o.fresh = append(o.drained, leaving), append(o.fresh, coming)
		o.before = append(o.before, leaving.entry)
		left := leaving.entry
		left.Phase = "draining"
		o.after = append(o.after, left, coming.entry)
	}
	return o
}

// begin has the instances drain, and discovery know it.
func (o *turnover) begin(discovery *discoveryService) {
	for _, instance := range o.drained {
		instance.draining.Store(true)
	}
	discovery.set(o.after)
}

// reverse has those that came drain the next time, and those that drained come back, restarted.
func (o *turnover) reverse() {
	o.drained, o.fresh = o.fresh, o.drained
	o.before, o.after = o.after, nil
	for i := range o.drained {
		o.fresh[i].draining.Store(false)
		o.fresh[i].entry.UpSince = time.Now().Add(-time.Minute).UnixMilli()
		left := o.drained[i].entry
		left.Phase = "draining"
		o.after = append(o.after, left, o.fresh[i].entry)
	}
}

func arrivedAfter(instances []*instanceServer, moment time.Time) int {
	n := 0
	for _, instance := range instances {
		n += instance.arrivedAfter(moment)
	}
	return n
}

// Issue 22: discovery is down while all instances are replaced, and back without the capacity to answer the whole
// fleet in time. No gateway sends to an instance that drains once that counts as told and the grace is over, and
// gateways that were told serve.
func TestNothingGoesToDrainedAfterAnOutage(t *testing.T) {
	for _, messages := range []bool{true, false} {
		t.Run(fmt.Sprintf("messages between gateways %t", messages), func(t *testing.T) {
			t.Parallel()
			const gateways = 12
			turnover := newTurnover(t, 8)
			discovery, address := newDiscoveryService(t, 1200*time.Millisecond, turnover.before)
			discovery.cost = 0 // until all watches stand
			fleet := startFleet(t, gateways, address, turnover.before, messages)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			fleet.run(ctx)
			fleet.waitServing()
			time.Sleep(1500 * time.Millisecond)

			discovery.setDown(true)
			time.Sleep(time.Second)
			turnover.begin(discovery)
			time.Sleep(2 * time.Second)
			discovery.mu.Lock()
			discovery.cost = 1200 * time.Millisecond // 14 s for one call of each gateway
			discovery.mu.Unlock()
			discovery.setDown(false)
			back := time.Now()
			bound := back.Add(toldWithin + drainGrace)
			time.Sleep(time.Until(bound.Add(2500 * time.Millisecond)))
			stop()

			late, reached := arrivedAfter(turnover.drained, bound), arrivedAfter(turnover.fresh, back)
			discovery.mu.Lock()
			calls := discovery.calls
			discovery.mu.Unlock()
			t.Logf("%d calls for the list in all; %d deliveries to instances that are ready", calls, reached)
			if late > 0 {
				t.Errorf("%d deliveries to draining instances after that counts as told", late)
			}
			if reached == 0 {
				t.Error("no gateway that was told of the instances that are ready serves from them")
			}
			fleet.showLogs(2)
		})
	}
}

// Found beside issue 22: a gateway that stands still for a while, with requests of its clients and the answer of discovery
// waiting to be read, must not serve the requests by the list from before: what was written to it meanwhile counts as told.
func TestNothingGoesToDrainedAfterAStandstill(t *testing.T) {
	t.Parallel()
	turnover := newTurnover(t, 6)
	discovery, address := newDiscoveryService(t, 0, turnover.before)
	fleet := startFleet(t, 2, address, turnover.before, true)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fleet.run(ctx)
	for range 8 {
		go fleet.client(ctx, 0)
	}
	fleet.waitServing()
	time.Sleep(time.Second)
	const rounds = 3
	for range rounds {
		fleet.processes[0].Process.Signal(syscall.SIGSTOP)
		turnover.begin(discovery)
		told := time.Now().Add(100 * time.Millisecond) // by then it is written
		time.Sleep(1500 * time.Millisecond)
		fleet.processes[0].Process.Signal(syscall.SIGCONT)
		continued := time.Now()
		time.Sleep(time.Second)
		if late := arrivedAfter(turnover.drained, told.Add(drainGrace)); late > 0 {
			t.Errorf("%d deliveries to draining instances after the standstill", late)
		}
		if arrivedAfter(turnover.fresh, continued) == 0 {
			t.Error("nothing is served after the standstill")
		}
		turnover.reverse()
	}
	fleet.showLogs(2)
}

// Found beside issue 22: discovery writes half of an answer and stops, then refuses calls for a while. What it wrote counts
// as told, so that after the grace nothing goes to an instance that it may have named, until it has answered.
func TestNothingGoesToDrainedAfterHalfAnAnswer(t *testing.T) {
	t.Parallel()
	turnover := newTurnover(t, 6)
	discovery, address := newDiscoveryService(t, 0, turnover.before)
	fleet := startFleet(t, 1, address, turnover.before, false)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fleet.run(ctx)
	fleet.waitServing()
	time.Sleep(time.Second)
	discovery.setHalves(true)
	turnover.begin(discovery)
	told := time.Now().Add(100 * time.Millisecond) // by then it is written
	time.Sleep(3 * time.Second)
	if late := arrivedAfter(turnover.drained, told.Add(drainGrace)); late > 0 {
		t.Errorf("%d deliveries to draining instances after half an answer", late)
	}
	discovery.setHalves(false)
	answers := time.Now()
	time.Sleep(4 * time.Second)
	if arrivedAfter(turnover.fresh, answers) == 0 {
		t.Error("nothing is served once discovery answers")
	}
	fleet.showLogs(1)
}

// Found beside issue 22: a gateway stands still while a build on trial is taken off. What the platform wrote meanwhile
// counts as told: the requests that waited do not go to that build.
func TestNothingGoesToATakenOffBuildAfterAStandstill(t *testing.T) {
	t.Parallel()
	var earlier, trial []*instanceServer
	var entries []listEntry
	for i := range 4 {
		old, fresh := newInstanceServer(t, fmt.Sprintf("s-old-%d", i)), newInstanceServer(t, fmt.Sprintf("s-new-%d", i))
		fresh.entry.Build = 2
		earlier, trial = append(earlier, old), append(trial, fresh)
		entries = append(entries, old.entry, fresh.entry)
	}
	_, address := newDiscoveryService(t, 0, entries)
	fleet := startFleet(t, 1, address, entries, false)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fleet.run(ctx)
	for range 40 { // one of many requests that wait is read before the news
		go fleet.client(ctx, 0)
	}
	fleet.waitServing()
	fleet.platform.set(`{"release":2,"tranche":2,"mode":"testing","exposure":1,"old_ms":0}`)
	time.Sleep(2 * time.Second)
	if arrivedAfter(trial, time.Time{}) == 0 {
		t.Fatal("nothing went to the build on trial")
	}
	fleet.processes[0].Process.Signal(syscall.SIGSTOP)
	time.Sleep(300 * time.Millisecond) // requests come first
	fleet.platform.set(`{"release":2,"tranche":2,"mode":"recalled","exposure":0,"old_ms":0}`)
	told := time.Now().Add(100 * time.Millisecond) // by then it is written
	time.Sleep(1500 * time.Millisecond)
	fleet.processes[0].Process.Signal(syscall.SIGCONT)
	continued := time.Now()
	time.Sleep(time.Second)
	if late := arrivedAfter(trial, told.Add(capGrace)); late > 0 {
		t.Errorf("%d deliveries to a build that was taken off", late)
	}
	if arrivedAfter(earlier, continued) == 0 {
		t.Error("nothing is served after the standstill")
	}
	fleet.showLogs(1)
}

// Found beside issue 22, without messages between gateways: instances drain and go, and their ids return at the same
// addresses with other processes. That one serves there proves nothing of the instance that the list shows: until
// discovery has told of its return, nothing goes to it once its going counts as told.
func TestNothingGoesToAReturnedInstanceUnheard(t *testing.T) {
	t.Parallel()
	turnover := newTurnover(t, 6)
	discovery, address := newDiscoveryService(t, 0, turnover.before)
	fleet := startFleet(t, 2, address, turnover.before, false)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fleet.run(ctx)
	fleet.waitServing()
	time.Sleep(time.Second)
	discovery.setDown(true)
	time.Sleep(500 * time.Millisecond)
	for _, instance := range turnover.drained {
		instance.restart() // at once, and listed as gone for the rest of the test
	}
	discovery.set(turnover.after)
	told := time.Now().Add(toldWithin)
	discovery.setRefuses(true)
	time.Sleep(time.Until(told.Add(drainGrace)))
	bound := time.Now()
	time.Sleep(2 * time.Second)
	if late := arrivedAfter(turnover.drained, bound); late > 0 {
		t.Errorf("%d deliveries to instances that went and returned unheard", late)
	}
	fleet.showLogs(1)
}
