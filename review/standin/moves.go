package main

import (
	"syscall"
	"time"
)

const (
	rollsRate       = 93 // requests a second and gateway, 280 in all
	crowdLasts      = 8 * time.Second
	drainAfterMove  = 2500 * time.Millisecond
	toldAfterMove   = 4 * time.Second // what discovery has to tell counts as told so long after SIGHUP
	rollsDrainGrace = time.Second
	rollsDrains     = 2
)

var rollsOps = []opType{
	{"roll-read", false, 0.71, 2000 * time.Millisecond, 94 * time.Millisecond},
	{"diet-booking", true, 0.29, 1500 * time.Millisecond, 62 * time.Millisecond},
}

// discoveryMoves plays a new configuration that moves discovery, which has too many callers for some seconds after that.
// Endpoints begin to drain meanwhile.
func discoveryMoves(p *play) (broken bool, err error) {
	f, err := newFleet(p, posGateways)
	if err != nil {
		return false, err
	}
	f.ops = rollsOps
	f.config.settings = parse(rollsEast)
	for i, e := range f.endpoints {
		e.zone, e.flavor, e.size = []string{"leith", "sighthill"}[i%2], "std-4", 4
	}
	for _, g := range f.gateways {
		f.config.settings["locality"] = g.number % 2
		if err := f.config.write(g, f.discovery.list(g.number, 0, true)); err != nil {
			return false, err
		}
		if err := g.start(f.discovery.addresses[g.number]); err != nil {
			return false, err
		}
	}
	done := make(chan struct{})
	clients := f.load(done, rollsRate)
	time.Sleep(8 * time.Second)
	moved, err := newDiscovery(len(f.gateways), f.members, p.record)
	if err != nil {
		return false, err
	}
	old := f.discovery
	moved.setCrowded(p.trouble)
	f.config.discovery = moved
	for _, g := range f.gateways {
		if err := f.config.write(g, old.list(g.number, 0, true)); err != nil {
			return false, err
		}
	}
	at := time.Now()
	p.record.say("discovery moves")
	for _, g := range f.gateways {
		g.signal(syscall.SIGHUP)
	}
	time.AfterFunc(1500*time.Millisecond, old.stop)
	time.Sleep(drainAfterMove)
	var drained []*endpoint
	moved.change(func() {
		for _, m := range f.members[:rollsDrains] {
			m.phase = "draining"
			f.setDraining(m.endpoint, true)
			drained = append(drained, m.endpoint)
		}
	})
	time.Sleep(time.Until(at.Add(crowdLasts)))
	moved.setCrowded(false)
	p.record.say("discovery answers at once")
	time.Sleep(8 * time.Second)
	close(done)
	clients.Wait()
	for _, g := range f.gateways {
		g.signal(syscall.SIGTERM)
	}
	late, within := 0, 0
	for _, e := range drained {
		for _, got := range e.arrived() {
			after := got.at.Sub(at)
			switch {
			case after < drainAfterMove:
			case after > toldAfterMove+rollsDrainGrace+socketSlack:
				late++
				p.record.say("broken: %s, which drains, got %s from gateway %d %d ms after SIGHUP", e.id, got.id, got.gateway, after.Milliseconds())
			default:
				within++
			}
		}
	}
	p.record.say("%d drains: %d requests sent to them until %v after SIGHUP, %d later", len(drained), within,
		toldAfterMove+rollsDrainGrace+socketSlack, late)
	return late > 0, nil
}
