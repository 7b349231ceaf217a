package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	posGateways  = 3
	posEndpoints = 9
	posRate      = 44 // requests a second and gateway, 130 in all
	outages      = 12
	outageLength = 4 * time.Second // the pages' outages of discovery last 8 s and longer
	drainsEach   = 4               // endpoints that begin to drain with each outage
	drainLasts   = 2 * time.Second
	drainGrace   = 250 * time.Millisecond
	socketSlack  = 50 * time.Millisecond // each limit is so much longer on sockets
)

// opType is one op type of a deployment.
type opType struct {
	name    string
	write   bool
	share   float64
	timeout time.Duration
	work    time.Duration
}

var posOps = []opType{
	{"stall-balance", false, 0.43, 3000 * time.Millisecond, 140 * time.Millisecond},
	{"price-list", false, 0.31, 2500 * time.Millisecond, 140 * time.Millisecond},
	{"post-payment", true, 0.26, 2000 * time.Millisecond, 85 * time.Millisecond},
}

// drawOp draws an op type by the shares.
func drawOp(random *rand.Rand, ops []opType) opType {
	draw := random.Float64()
	for _, op := range ops {
		if draw -= op.share; draw < 0 {
			return op
		}
	}
	return ops[0]
}

// fleet is a small deployment of gateways among stand-ins.
type fleet struct {
	play       *play
	endpoints  []*endpoint
	members    []*member
	discovery  *discovery
	controller *controller
	gateways   []*gateway
	config     *configuration

	ops   []opType
	keys  *keys
	pairs float64 // share of the requests that come with a second one for the same key

	mu       sync.Mutex
	draining map[*endpoint]bool
	builds   map[*endpoint]int // of servers that do not run the first build
	answers  []keyAnswer
}

// keyAnswer is an answer that a client got.
type keyAnswer struct {
	gateway int
	key     string
	value   string
	at      time.Time
}

// newFleet starts the stand-ins of a deployment like pos-markets-central and writes its gateways' configuration files.
func newFleet(p *play, gateways int) (*fleet, error) {
	f := &fleet{play: p, ops: posOps, keys: newKeys(5000, 0.8), draining: map[*endpoint]bool{}, builds: map[*endpoint]int{}}
	zones := []string{"marine-square", "san-juan", "chaguanas"}
	for i := range posEndpoints {
		flavor, size := "twin-fast", 2.0
		if i%2 == 1 {
			flavor, size = "quad-slow", 4.0
		}
		e, err := newEndpoint(fmt.Sprintf("s-%d", i+1), zones[i%3], flavor, size, gateways, p.record, f.handle)
		if err != nil {
			return nil, err
		}
		f.endpoints = append(f.endpoints, e)
		f.members = append(f.members, &member{endpoint: e, phase: "up", build: 41})
	}
	var err error
	if f.discovery, err = newDiscovery(gateways, f.members, p.record); err != nil {
		return nil, err
	}
	live := status{Release: 41, Tranche: 3, Mode: "live", Exposure: 1}
	if f.controller, err = newController(live, p.record); err != nil {
		return nil, err
	}
	for number := range gateways {
		g, err := newGateway(number, p.folder, p.record)
		if err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, g)
		p.atEnd = append(p.atEnd, g.kill)
	}
	f.config = &configuration{settings: parse(posMarkets), memoryMB: 192, sockets: 1024,
		discovery: f.discovery, controller: f.controller, gateways: f.gateways}
	for _, g := range f.gateways {
		f.config.settings["locality"] = g.number % len(zones)
		if err := f.config.write(g, f.discovery.list(g.number, 0, true)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// handle serves a request in its usual time. An endpoint that drains turns new requests away.
func (f *fleet) handle(got request) reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining[got.endpoint] {
		return reply{text: "-BUSY\r\n"}
	}
	work := 140 * time.Millisecond
	if got.write {
		work = 85 * time.Millisecond
	}
	return reply{delay: work * 4 / 10, text: served(fmt.Sprintf("build-%d %s", f.build(got.endpoint), got.id), "recent_ms=50,outstanding=2,utilization=0.4"), ran: true}
}

// build returns the build that an endpoint runs. The caller holds mu.
func (f *fleet) build(e *endpoint) int {
	if build, ok := f.builds[e]; ok {
		return build
	}
	return 41
}

func (f *fleet) setBuild(e *endpoint, build int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.builds[e] = build
}

// setDraining makes an endpoint turn new requests away, or serve them again.
func (f *fleet) setDraining(e *endpoint, draining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining[e] = draining
}

// load sends requests to each gateway at random times until done is closed.
func (f *fleet) load(done <-chan struct{}, rate float64) *sync.WaitGroup {
	var all sync.WaitGroup
	for _, g := range f.gateways {
		c := &client{gateway: g.listen, record: f.play.record, number: g.number}
		random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(g.number)))
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(random.ExpFloat64() / rate * float64(time.Second))):
				}
				key := f.keys.draw(random)
				f.send(&all, c, drawOp(random, f.ops), key, random)
				if random.Float64() < f.pairs {
					f.send(&all, c, drawOp(random, f.ops), key, random)
				}
			}
		})
	}
	return &all
}

// send sends a request and notes its answer.
func (f *fleet) send(all *sync.WaitGroup, c *client, op opType, key string, random *rand.Rand) {
	wait := time.Duration((0.4 + 0.6*random.Float64()) * float64(op.timeout))
	all.Go(func() {
		_, got := c.ask(op.name, key, op.write, wait)
		if got.kind == answerServed {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.answers = append(f.answers, keyAnswer{c.number, key, got.value, time.Now()})
		}
	})
}

// told is when gateways were told that an endpoint drains.
type told struct {
	endpoint *endpoint
	at       time.Time // when the list with the drain was to be had from discovery
	until    time.Time // when the endpoint is started again
}

// discoveryReturns plays a deployment to which the list is pushed and whose discovery goes down for some seconds, again
// and again. Endpoints begin to drain, and the agent gets that at its return.
func discoveryReturns(p *play) (broken bool, err error) {
	f, err := newFleet(p, posGateways)
	if err != nil {
		return false, err
	}
	for _, g := range f.gateways {
		if err := g.start(f.discovery.addresses[g.number]); err != nil {
			return false, err
		}
	}
	done := make(chan struct{})
	clients := f.load(done, posRate)
	time.Sleep(5 * time.Second)
	var drains []told
	for outage := range outages {
		if p.trouble {
			p.record.say("discovery goes down")
			f.discovery.stop()
		}
		time.Sleep(outageLength)
		var these []told
		f.discovery.change(func() {
			for i := range drainsEach {
				m := f.members[(outage*drainsEach+i)%len(f.members)]
				m.phase = "draining"
				f.setDraining(m.endpoint, true)
				these = append(these, told{endpoint: m.endpoint})
			}
		})
		if p.trouble {
			if err := f.discovery.start(); err != nil {
				return false, err
			}
		}
		back := time.Now()
		p.record.say("discovery is there and lists %d endpoints as draining", drainsEach)
		time.Sleep(drainLasts)
		f.discovery.change(func() {
			for i := range these {
				m := f.members[(outage*drainsEach+i)%len(f.members)]
				m.phase, m.upSince = "up", time.Now().UnixMilli()
				f.setDraining(m.endpoint, false)
				these[i].at, these[i].until = back, time.Now()
			}
		})
		drains = append(drains, these...)
		time.Sleep(time.Second)
	}
	close(done)
	clients.Wait()
	for _, g := range f.gateways {
		g.signal(syscall.SIGTERM)
	}
	return f.judgeDrains(drains), nil
}

// judgeDrains reports whether an endpoint got a request later than the grace of the drain after gateways were told.
func (f *fleet) judgeDrains(drains []told) (broken bool) {
	late, within := 0, 0
	for _, drain := range drains {
		for _, got := range drain.endpoint.arrived() {
			after := got.at.Sub(drain.at)
			switch {
			case after < 0 || got.at.After(drain.until):
			case after > drainGrace+socketSlack:
				late++
				f.play.record.say("broken: %s got %s from gateway %d %d ms after discovery listed it as draining",
					drain.endpoint.id, got.id, got.gateway, after.Milliseconds())
			default:
				within++
			}
		}
	}
	f.play.record.say("%d drains: %d requests sent to them within %v, %d later", len(drains), within, drainGrace+socketSlack, late)
	return late > 0
}
