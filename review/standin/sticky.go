package main

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	lateAtLeast   = 170 * time.Millisecond // new connections take so much longer, by the pages 170 to 410 ms; at 250 ms
	lateAtMost    = 235 * time.Millisecond // the gateway gives up, so that later ones are none
	lateLasts     = 38 * time.Second       // at most, by the pages 18 to 38 s
	lateServers   = 0.95                   // share of the servers to which they are late, at most
	bootTime      = 2 * time.Second
	listedAfter   = 600 * time.Millisecond
	stageMin      = 3 * time.Second
	stagePatience = 15 * time.Second
	idleLimit     = 100 * time.Millisecond // after which servers close idle connections; the settings say 30 s at the latest
	readMargin    = 20 * time.Millisecond  // by which the stand-ins may be late in noting what arrives
)

var (
	stageShares = []float64{0.03, 0.12, 0.4, 1}
	stageCaps   = []float64{0.042, 0.17, 0.56, 1}
)

// lateConnections plays a release in a deployment whose keys move forward only, while new connections to most servers
// come up late.
func lateConnections(p *play) (broken bool, err error) {
	f, err := newFleet(p, posGateways)
	if err != nil {
		return false, err
	}
	late := newLatecomer(p.record, lateAtLeast, lateAtMost)
	stopLate := make(chan struct{})
	go late.run(stopLate)
	defer close(stopLate)
	for _, e := range f.endpoints {
		e.idleLimit = idleLimit
	}
	if p.trouble {
		for i, e := range f.endpoints {
			if float64(i+1) > lateServers*float64(len(f.endpoints)) {
				break
			}
			for _, listener := range e.listeners {
				late.add(listener)
				if err := listener.beLate(); err != nil {
					return false, err
				}
			}
		}
		p.record.say("from now on new connections to the servers come up %v to %v late", lateAtLeast, lateAtMost)
		end := time.AfterFunc(lateLasts, f.endLate)
		defer end.Stop()
	}
	for _, g := range f.gateways {
		if err := g.start(f.discovery.addresses[g.number]); err != nil {
			return false, err
		}
	}
	f.keys, f.pairs = newKeys(2700, 0.94), 0.25
	done := make(chan struct{})
	clients := f.load(done, posRate/(1+f.pairs))
	time.Sleep(4 * time.Second)
	if err := f.release(42); err != nil {
		return false, err
	}
	close(done)
	clients.Wait()
	for _, g := range f.gateways {
		g.signal(syscall.SIGTERM)
	}
	p.record.say("%d connections came up late", late.opened)
	return f.judgeKeys(42), nil
}

// endLate makes connections come up at once again.
func (f *fleet) endLate() {
	f.play.record.say("connections come up at once again")
	for _, e := range f.endpoints {
		for _, listener := range e.listeners {
			listener.beUsual()
		}
	}
}

// release offers a build and moves it on, stage by stage, as the gateways vote. Each earlier server is drained as soon as
// its successor runs.
func (f *fleet) release(build int) error {
	earlier := append([]*member(nil), f.members...)
	replaced := 0
	for stage, share := range stageShares {
		f.controller.set(status{Release: build, Tranche: stage, Mode: "testing", Exposure: stageCaps[stage]})
		f.play.record.say("build %d stage %d", build, stage)
		wanted := int(math.Ceil(share*float64(len(earlier)) - 0.01))
		for wanted = max(wanted, 1); replaced < wanted; replaced++ {
			old := earlier[replaced]
			successor, err := newEndpoint(fmt.Sprintf("%s-%d", old.endpoint.id, build), old.endpoint.zone, old.endpoint.flavor, old.endpoint.size,
				len(f.gateways), f.play.record, f.handle)
			if err != nil {
				return err
			}
			successor.idleLimit = idleLimit
			f.setBuild(successor, build)
			time.AfterFunc(bootTime, func() {
				f.succeed(old, &member{endpoint: successor, phase: "up", upSince: time.Now().UnixMilli(), build: build})
			})
		}
		began := time.Now()
		time.Sleep(bootTime + listedAfter + stageMin)
		for f.controller.promotions(build, stage) < 2 {
			if time.Since(began) > stagePatience {
				return errors.New("the gateways did not vote the build on")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.controller.set(status{Release: build, Tranche: len(stageShares) - 1, Mode: "live", Exposure: 1})
	f.play.record.say("build %d is released", build)
	time.Sleep(2 * time.Second)
	return nil
}

// succeed lists a new server a little after its start, and drains the one that it replaces.
func (f *fleet) succeed(old, successor *member) {
	time.Sleep(listedAfter)
	f.discovery.change(func() {
		successor.revision = f.discovery.revision + 1
		f.discovery.members = append(f.discovery.members, successor)
		old.phase = "draining"
	})
	f.setDraining(old.endpoint, true)
	time.Sleep(drainLasts)
	f.discovery.change(func() { old.phase = "removed" })
	time.Sleep(drainLasts)
	old.endpoint.close()
}

// judgeKeys reports whether a key went to an earlier build through a gateway after the new build had answered it there: a
// client had its answer, and the later request reached a server of an earlier build.
func (f *fleet) judgeKeys(build int) (broken bool) {
	type place struct {
		gateway int
		key     string
	}
	answered := map[place]told{}
	f.mu.Lock()
	answers := f.answers
	f.mu.Unlock()
	for _, got := range answers {
		at := place{got.gateway, got.key}
		number, ok := strings.CutPrefix(got.value, "build-")
		from, _ := strconv.Atoi(strings.Fields(number + " x")[0])
		if first, known := answered[at]; ok && from == build && (!known || got.at.Before(first.at)) {
			answered[at] = told{at: got.at}
		}
	}
	earlier, late := 0, 0
	for _, e := range f.endpoints {
		for _, got := range e.arrived() {
			first, known := answered[place{got.gateway, got.key}]
			if !known || got.at.Before(first.at) {
				continue
			}
			earlier++
			if after := got.at.Sub(first.at); after > readMargin {
				late++
				f.play.record.say("broken: gateway %d sent %s with key %s to %s of build 41 %d ms after a client had the answer of build %d to that key",
					got.gateway, got.id, got.key, e.id, after.Milliseconds(), build)
			}
		}
	}
	f.play.record.say("%d keys were answered by build %d; %d requests went to build 41 afterwards, %d of them more than %v later",
		len(answered), build, earlier, late, readMargin)
	return late > 0
}
