package main

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
)

// Times of the fleet tests.
const (
	receiptLimit = 6 * time.Second        // a change counts as received this long after discovery has it and is reachable
	drainGrace   = time.Second            // attempts to an endpoint may start this long after its draining was received
	capGrace     = 200 * time.Millisecond // a lower exposure cap takes effect this long after it was received
	writeLimit   = 100 * time.Millisecond // discovery or the rollout controller has written a change after this long
	settleTime   = time.Second            // time for the watches of all gateways to begin
	stallLength  = 1500 * time.Millisecond
)

// replacement is a set of endpoints that all drain while as many others become ready.
type replacement struct {
	drained, added        []*gatewaytest.Endpoint
	listBefore, listAfter []gatewaytest.EndpointRecord
}

func newReplacement(t *testing.T, endpoints int) *replacement {
	t.Helper()
	r := &replacement{}
	for i := range endpoints {
		oldEndpoint := gatewaytest.NewEndpoint(t, fmt.Sprintf("s-old-%d", i))
		newEndpoint := gatewaytest.NewEndpoint(t, fmt.Sprintf("s-new-%d", i))
		r.drained, r.added = append(r.drained, oldEndpoint), append(r.added, newEndpoint)
		r.listBefore = append(r.listBefore, oldEndpoint.Record)
		draining := oldEndpoint.Record
		draining.Phase = "draining"
		r.listAfter = append(r.listAfter, draining, newEndpoint.Record)
	}
	return r
}

// begin makes the endpoints drain and discovery list them as draining.
func (r *replacement) begin(discovery *gatewaytest.Discovery) {
	for _, endpoint := range r.drained {
		endpoint.SetDraining(true)
	}
	discovery.SetEndpoints(r.listAfter)
}

// reverse swaps the two sets of endpoints: the drained endpoints are restarted, and the next begin drains the others.
func (r *replacement) reverse() {
	r.drained, r.added = r.added, r.drained
	r.listBefore, r.listAfter = r.listAfter, nil
	for i := range r.drained {
		r.added[i].SetDraining(false)
		r.added[i].Record.UpSince = time.Now().Add(-time.Minute).UnixMilli()
		draining := r.drained[i].Record
		draining.Phase = "draining"
		r.listAfter = append(r.listAfter, draining, r.added[i].Record)
	}
}

// fleetOptions are the options of startFleet.
type fleetOptions struct {
	gateways     int
	endpoints    int // number before the replacement, which adds as many
	messages     bool
	extraClients int // additional clients of the first gateway
}

// startFleet marks the test as parallel and starts gateways that serve from the endpoints of a replacement that has not
// begun. It waits until the gateways watch the endpoint list. Clients send requests until stop is called or the test
// ends.
func startFleet(t *testing.T, options fleetOptions) (_ *replacement, _ *gatewaytest.Discovery, _ *gatewaytest.Fleet, stop func()) {
	t.Helper()
	t.Parallel()
	ctx, stop := context.WithCancel(context.Background())
	replacement := newReplacement(t, options.endpoints)
	discovery, address := gatewaytest.NewDiscovery(t, replacement.listBefore)
	fleet := gatewaytest.NewFleet(t, options.gateways, address, replacement.listBefore, options.messages)
	fleet.Start(ctx)
	t.Cleanup(stop)
	for range options.extraClients {
		go fleet.RunClient(ctx, 0)
	}
	fleet.AwaitServing()
	time.Sleep(settleTime)
	return replacement, discovery, fleet, stop
}

// lateAttempts returns the attempts that arrived at endpoints after a moment. It leaves out attempts for which the log
// of the first gateway, which was stopped, says that the stop fell between its last clock reading and the write, as no
// program can rule these out.
func lateAttempts(t *testing.T, fleet *gatewaytest.Fleet, endpoints []*gatewaytest.Endpoint, moment time.Time) []gatewaytest.SentAttempt {
	t.Helper()
	late, leftOut := gatewaytest.ArrivalsAfter(endpoints, moment, fleet.SentLate(0))
	t.Logf("attempts left out: %d %v", len(leftOut), leftOut)
	return late
}

// Guards against a fault found with issue 22: discovery is down while all endpoints are replaced, and returns without
// the capacity to answer the whole fleet in time. No gateway starts an attempt to a draining endpoint once the draining
// counts as received and the grace period is over, and gateways that have received the new list serve from it.
func TestNoAttemptToDrainedEndpointAfterDiscoveryOutage(t *testing.T) {
	for _, messages := range []bool{true, false} {
		t.Run(fmt.Sprintf("messages between gateways %t", messages), func(t *testing.T) {
			replacement, discovery, fleet, stop := startFleet(t, fleetOptions{gateways: 12, endpoints: 8, messages: messages})
			time.Sleep(500 * time.Millisecond)

			discovery.SetDown(true)
			time.Sleep(time.Second)
			replacement.begin(discovery)
			time.Sleep(2 * time.Second)
			discovery.SetCallCost(1200 * time.Millisecond) // 14 s in total for one call from each gateway
			discovery.SetDown(false)
			back := time.Now()
			bound := back.Add(receiptLimit + drainGrace)
			time.Sleep(time.Until(bound.Add(2500 * time.Millisecond)))
			stop()

			late, reached := gatewaytest.CountArrivalsAfter(replacement.drained, bound), gatewaytest.CountArrivalsAfter(replacement.added, back)
			t.Logf("%d calls for the list in total, %d attempts to ready endpoints", discovery.Calls(), reached)
			if late > 0 {
				t.Errorf("got %d attempts to draining endpoints after the grace period, want none", late)
			}
			if reached == 0 {
				t.Error("no gateway sent an attempt to the endpoints that became ready")
			}
			fleet.LogIfFailed(2)
		})
	}
}

// Guards against a fault found with issue 22: a gateway stalls while requests from its clients and a response from
// discovery wait to be read. It must not serve those requests from the old list, as a list that was written to it
// during the stall counts as received.
func TestNoAttemptToDrainedEndpointAfterStall(t *testing.T) {
	replacement, discovery, fleet, _ := startFleet(t, fleetOptions{gateways: 2, endpoints: 6, messages: true, extraClients: 8})
	const rounds = 3
	for range rounds {
		fleet.Signal(0, syscall.SIGSTOP)
		replacement.begin(discovery)
		received := time.Now().Add(writeLimit)
		time.Sleep(stallLength)
		fleet.Signal(0, syscall.SIGCONT)
		continued := time.Now()
		time.Sleep(time.Second)
		if late := lateAttempts(t, fleet, replacement.drained, received.Add(drainGrace)); len(late) > 0 {
			t.Errorf("got attempts to draining endpoints after the stall: %v, want none", late)
		}
		if gatewaytest.CountArrivalsAfter(replacement.added, continued) == 0 {
			t.Error("no request was served after the stall")
		}
		replacement.reverse()
	}
	fleet.LogIfFailed(2)
}

// Guards against a fault found with issue 22: discovery writes half of a response and stops, then refuses calls for a
// while. The list counts as received, so after the grace period no attempt goes to an endpoint whose draining it may
// have listed, until discovery responds.
func TestNoAttemptToDrainedEndpointAfterPartialList(t *testing.T) {
	replacement, discovery, fleet, _ := startFleet(t, fleetOptions{gateways: 1, endpoints: 6})
	discovery.SetPartial(true)
	replacement.begin(discovery)
	received := time.Now().Add(writeLimit)
	time.Sleep(3 * time.Second)
	if late := gatewaytest.CountArrivalsAfter(replacement.drained, received.Add(drainGrace)); late > 0 {
		t.Errorf("got %d attempts to draining endpoints after half a response from discovery, want none", late)
	}
	discovery.SetPartial(false)
	respondingSince := time.Now()
	time.Sleep(4 * time.Second)
	if gatewaytest.CountArrivalsAfter(replacement.added, respondingSince) == 0 {
		t.Error("no request was served after discovery responded")
	}
	fleet.LogIfFailed(1)
}

// Guards against a fault found with issue 22: a gateway stalls while a canary build is rolled back. The status that the
// rollout controller wrote during the stall counts as received, so the requests that waited must not go to that build.
func TestNoAttemptToRolledBackBuildAfterStall(t *testing.T) {
	t.Parallel()
	var stable, canary []*gatewaytest.Endpoint
	var records []gatewaytest.EndpointRecord
	for i := range 4 {
		old := gatewaytest.NewEndpoint(t, fmt.Sprintf("s-old-%d", i))
		fresh := gatewaytest.NewEndpoint(t, fmt.Sprintf("s-new-%d", i))
		fresh.Record.Build = 2
		stable, canary = append(stable, old), append(canary, fresh)
		records = append(records, old.Record, fresh.Record)
	}
	_, address := gatewaytest.NewDiscovery(t, records)
	fleet := gatewaytest.NewFleet(t, 1, address, records, false)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fleet.Start(ctx)
	for range 40 { // many clients, so that some waiting request is read before the rollout status
		go fleet.RunClient(ctx, 0)
	}
	fleet.AwaitServing()
	fleet.Rollout.SetStatus(`{"release":2,"tranche":2,"mode":"testing","exposure":1,"old_ms":0}`)
	time.Sleep(2 * time.Second)
	if gatewaytest.CountArrivalsAfter(canary, time.Time{}) == 0 {
		t.Fatal("no attempt went to the canary build")
	}
	fleet.Signal(0, syscall.SIGSTOP)
	time.Sleep(300 * time.Millisecond) // so that requests arrive before the status
	fleet.Rollout.SetStatus(`{"release":2,"tranche":2,"mode":"recalled","exposure":0,"old_ms":0}`)
	received := time.Now().Add(writeLimit)
	time.Sleep(stallLength)
	fleet.Signal(0, syscall.SIGCONT)
	continued := time.Now()
	time.Sleep(time.Second)
	if late := lateAttempts(t, fleet, canary, received.Add(capGrace)); len(late) > 0 {
		t.Errorf("got attempts to a rolled-back build: %v, want none", late)
	}
	if gatewaytest.CountArrivalsAfter(stable, continued) == 0 {
		t.Error("no request was served after the stall")
	}
	fleet.LogIfFailed(1)
}

// Guards against a fault found with issue 22, without messages between gateways: endpoints drain and leave, and other
// processes return with the same ids at the same addresses. That a process serves there proves nothing about the listed
// endpoint. Once the endpoint's leaving counts as received, no attempt goes to it until discovery lists its return.
func TestNoAttemptToReturnedEndpointBeforeListed(t *testing.T) {
	replacement, discovery, fleet, _ := startFleet(t, fleetOptions{gateways: 2, endpoints: 6})
	discovery.SetDown(true)
	time.Sleep(500 * time.Millisecond)
	for _, endpoint := range replacement.drained {
		endpoint.Restart() // returns at once, but is listed as draining for the rest of the test
	}
	discovery.SetEndpoints(replacement.listAfter)
	received := time.Now().Add(receiptLimit)
	discovery.SetRefusing(true)
	time.Sleep(time.Until(received.Add(drainGrace)))
	bound := time.Now()
	time.Sleep(2 * time.Second)
	if late := gatewaytest.CountArrivalsAfter(replacement.drained, bound); late > 0 {
		t.Errorf("got %d attempts to endpoints that left and returned unlisted, want none", late)
	}
	fleet.LogIfFailed(1)
}
