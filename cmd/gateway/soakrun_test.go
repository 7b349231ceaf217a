package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
)

// Sizes and times of a run. The times after a signal come from the protocol page.
const (
	soakClients         = 8
	soakEndpoints       = 5
	disturbancePeriod   = 2500 * time.Millisecond // length of the disturbances, before the signals that end the process
	afterRestartPeriod  = time.Second             // length of the traffic after the restart
	burstConnections    = 300                     // connections opened at once, more than a gateway has descriptors
	startupPeriod       = time.Second             // no SIGHUP is sent this long after a start, nor before the process is ready
	longestDeadline     = 2 * time.Second         // give_up_ms of the settings
	killAfterTerm       = longestDeadline + 700*time.Millisecond
	connectAfterTermMin = 200 * time.Millisecond // clients keep opening connections for at least this long
	connectAfterTermMax = 400 * time.Millisecond
)

// soakRun is the run of one seed: a gateway process among fakes that record what they see.
type soakRun struct {
	t                  *testing.T
	random             *rand.Rand // used only on the goroutine of the run
	seed               uint64
	fleet              *gatewaytest.Fleet
	discovery          *gatewaytest.Discovery
	discoveryAddresses [2]string // two addresses of the discovery service
	discoveryMoves     int
	endpoints          []*gatewaytest.Endpoint
	records            []gatewaytest.EndpointRecord
	drainRevisions     map[int]int64 // revision of the list in which an endpoint drains, by the endpoint's index

	connectAfterTerm time.Duration // how long clients keep opening connections after SIGTERM

	status  string // the rollout controller's current status
	signals int
	bursts  int

	processorTime    gatewaytest.ProcessorTime // of the first process, read before it is ended
	capDeliveryDelay time.Duration             // see soakCounts.CapDeliveryDelay

	mu           sync.Mutex // guards history and connectUntil while clients run
	history      history
	connectUntil time.Time // when clients stop opening connections, zero before SIGTERM
}

func newSoakRun(t *testing.T, seed uint64) *soakRun {
	run := &soakRun{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 36)), drainRevisions: map[int]int64{}}
	spread := rand.New(rand.NewPCG(seed, 37)).Int64N(int64(connectAfterTermMax - connectAfterTermMin))
	run.connectAfterTerm = connectAfterTermMin + time.Duration(spread)
	for i := range soakEndpoints {
		endpoint := gatewaytest.NewEndpoint(t, fmt.Sprintf("s-%d", i))
		if i >= soakEndpoints-2 {
			endpoint.Record.Build = 2 // the canary build
		}
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		var mu sync.Mutex
		endpoint.NextBehavior = func() gatewaytest.Behavior {
			mu.Lock()
			defer mu.Unlock()
			behavior := gatewaytest.Behavior{Delay: time.Duration(random.IntN(60)) * time.Millisecond}
			if random.IntN(12) == 0 {
				behavior.Outcome = gatewaytest.EndpointOutcome(random.IntN(4))
			}
			return behavior
		}
		run.endpoints = append(run.endpoints, endpoint)
		run.records = append(run.records, endpoint.Record)
	}
	run.discovery, run.discoveryAddresses[0] = gatewaytest.NewDiscovery(t, slices.Clone(run.records))
	run.discoveryAddresses[1] = run.discovery.Listen(t)
	run.fleet = gatewaytest.NewFleet(t, 1, run.discoveryAddresses[0], run.records, false)
	return run
}

// execute performs the run and completes its history.
func (run *soakRun) execute() {
	canceled, cancel := context.WithCancel(context.Background())
	cancel() // starts no clients of the fleet, as the soak runs its own
	run.setExposureCap("testing", 0.5)
	run.recordProcessStart()
	run.fleet.Start(canceled)
	run.fleet.AwaitReady(0)
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() { run.runClient(ctx, rand.New(rand.NewPCG(run.seed, uint64(200+i)))) })
	}
	time.Sleep(time.Until(run.fleet.StartedAt(0).Add(startupPeriod)))
	for end := time.Now().Add(disturbancePeriod); time.Now().Before(end); {
		time.Sleep(time.Duration(50+run.random.IntN(250)) * time.Millisecond)
		run.disturb()
	}
	run.end()
	run.fleet.SetConfiguredStatus(0, run.status)
	run.recordProcessStart()
	run.fleet.Restart(0)
	time.Sleep(afterRestartPeriod)
	stop()
	clients.Wait()
	run.completeHistory()
}

// recordProcessStart records that the previous process, if any, has ended and another one is started, to which clients
// may connect.
func (run *soakRun) recordProcessStart() {
	run.mu.Lock()
	defer run.mu.Unlock()
	if n := len(run.history.processes); n > 0 {
		run.history.processes[n-1].ended = time.Now()
	}
	run.connectUntil = time.Time{}
	run.history.processes = append(run.history.processes, processLifetime{began: time.Now()})
}

// disturb causes one disturbance, drawn from the seed.
func (run *soakRun) disturb() {
	switch run.random.IntN(6) {
	case 0:
		for range 1 + run.random.IntN(4) {
			run.moveDiscovery()
		}
	case 1:
		run.stopFor(time.Duration(50+run.random.IntN(350)) * time.Millisecond)
	case 2, 3:
		run.toggleDraining()
	case 4:
		run.changeRollout()
	case 5:
		if run.seed%3 == 0 {
			run.openConnectionBurst()
		}
	}
}

func (run *soakRun) signal(signal syscall.Signal) {
	run.signals++
	if signal == syscall.SIGTERM {
		run.recordSIGTERM()
	}
	run.fleet.Signal(0, signal)
}

// recordSIGTERM records a SIGTERM in the history. After the first one, clients keep opening connections for
// connectAfterTerm.
func (run *soakRun) recordSIGTERM() {
	run.mu.Lock()
	defer run.mu.Unlock()
	now := time.Now()
	run.history.sigterms = append(run.history.sigterms, now)
	if run.connectUntil.IsZero() {
		run.connectUntil = now.Add(run.connectAfterTerm)
	}
}

// mayConnect reports whether clients may open connections now.
func (run *soakRun) mayConnect() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.connectUntil.IsZero() || time.Now().Before(run.connectUntil)
}

// moveDiscovery writes the other address of discovery to the gateway's configuration file and sends SIGHUP.
func (run *soakRun) moveDiscovery() {
	run.discoveryMoves++
	run.fleet.SetDiscoveryAddress(0, run.discoveryAddresses[run.discoveryMoves%len(run.discoveryAddresses)])
	run.signal(syscall.SIGHUP)
}

// stopFor stops the process with SIGSTOP for the given time.
func (run *soakRun) stopFor(stopped time.Duration) {
	from := time.Now()
	run.signal(syscall.SIGSTOP)
	time.Sleep(stopped)
	run.signal(syscall.SIGCONT)
	run.mu.Lock()
	defer run.mu.Unlock()
	run.history.stops = append(run.history.stops, interval{from, time.Now()})
}

// toggleDraining makes one endpoint drain if fewer than soakEndpoints-3 endpoints drain, or makes a draining endpoint
// return as a new process.
func (run *soakRun) toggleDraining() {
	i := run.random.IntN(len(run.endpoints))
	record := &run.records[i]
	if record.Phase == "up" && len(run.drainRevisions) < soakEndpoints-3 {
		record.Phase = "draining"
		run.endpoints[i].SetDraining(true)
		run.drainRevisions[i] = run.discovery.SetEndpoints(slices.Clone(run.records))
	} else if revision, ok := run.drainRevisions[i]; ok {
		run.recordDrain(i, revision, time.Now())
		run.endpoints[i].SetDraining(false)
		record.Phase, record.UpSince = "up", time.Now().Add(-time.Minute).UnixMilli()
		run.discovery.SetEndpoints(slices.Clone(run.records))
	}
}

// recordDrain records a drain in the history. It counts as delivered to a gateway process when discovery first wrote it
// to that process.
func (run *soakRun) recordDrain(endpoint int, revision int64, readyAt time.Time) {
	entry := drain{endpoint: run.records[endpoint].ID, readyAt: readyAt}
	written := map[int]bool{}
	for _, writing := range run.discovery.Written() {
		if process := run.history.processAt(writing.At); writing.Revision >= revision && !written[process] && writing.At.Before(readyAt) {
			written[process] = true
			entry.writtenAt = append(entry.writtenAt, writing.At)
		}
	}
	delete(run.drainRevisions, endpoint)
	run.history.drains = append(run.history.drains, entry)
}

// changeRollout raises the exposure cap of the canary build to 1 or rolls the build back, which is final.
func (run *soakRun) changeRollout() {
	if last := run.history.caps[len(run.history.caps)-1]; last.share == 0 {
		return
	}
	if run.random.IntN(2) == 0 {
		run.setExposureCap("testing", 1)
	} else {
		run.setExposureCap("recalled", 0)
	}
}

func (run *soakRun) setExposureCap(mode string, share float64) {
	run.status = fmt.Sprintf(`{"release":2,"tranche":2,"mode":%q,"exposure":%v,"old_ms":0}`, mode, share)
	run.fleet.Rollout.SetStatus(run.status)
	run.history.caps = append(run.history.caps, capChange{time.Now(), share, run.status})
}

// openConnectionBurst opens more connections at once than the gateway has descriptors, with one request on each.
func (run *soakRun) openConnectionBurst() {
	run.bursts++
	began, before := time.Now(), run.fleet.ProcessorTime(0)
	var group sync.WaitGroup
	for i := range burstConnections {
		group.Go(func() {
			client := soakClient{run: run, random: rand.New(rand.NewPCG(run.seed, uint64(run.bursts*1000+i)))}
			client.doRequest()
			client.close()
		})
	}
	group.Wait()
	spent := run.fleet.ProcessorTime(0).Since(before)
	run.history.processorWait = append(run.history.processorWait, processorWait{interval{began, time.Now()}, spent.LongestWait()})
	run.t.Logf("connection burst at %v took %v; the gateway %v", began.Format(time.StampMicro), time.Since(began), spent)
}

// end ends the process with signals drawn from the seed: SIGKILL without notice, or SIGTERM with other signals around
// it and SIGKILL at the earliest time that the protocol page allows.
func (run *soakRun) end() {
	run.processorTime = run.fleet.ProcessorTime(0)
	if run.random.IntN(4) == 0 {
		killedAt := time.Now()
		run.signal(syscall.SIGKILL)
		run.history.kill = interval{killedAt, run.fleet.AwaitEnd(0)}
		return
	}
	switch run.random.IntN(3) {
	case 0:
		run.moveDiscovery()
		run.signal(syscall.SIGTERM)
	case 1:
		run.signal(syscall.SIGTERM)
		run.moveDiscovery()
		run.signal(syscall.SIGTERM)
	default:
		run.signal(syscall.SIGTERM)
		run.stopFor(100 * time.Millisecond)
	}
	time.Sleep(killAfterTerm)
	run.signal(syscall.SIGKILL)
}

// completeHistory adds the records of the fakes to the history and excuses the requests that a kill without notice left
// unanswered.
func (run *soakRun) completeHistory() {
	run.history.excuseKilledRequests()
	run.capDeliveryDelay = run.history.applyCapDelivery(run.fleet.Rollout.FirstWritten)
	for endpoint, revision := range run.drainRevisions { // the audit does not depend on their order
		run.recordDrain(endpoint, revision, time.Now())
	}
	for _, endpoint := range run.endpoints {
		for _, arrival := range endpoint.Arrivals() {
			run.history.attempts = append(run.history.attempts,
				endpointAttempt{Arrival: arrival, endpoint: endpoint.Record.ID, canary: endpoint.Record.Build == 2})
		}
	}
}
