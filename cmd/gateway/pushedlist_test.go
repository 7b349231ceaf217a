package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
)

// pushDrainGrace is the grace period of a drain in the tests of a pushed list.
const pushDrainGrace = 250 * time.Millisecond

// pushSettings are settings of a deployment whose discovery pushes the endpoint list.
func pushSettings() string {
	grace := fmt.Sprintf(`"ask_within_ms":10000,"drain_grace_ms":%d`, pushDrainGrace.Milliseconds())
	return strings.NewReplacer(`"registry_mode":"ask"`, `"registry_mode":"push"`, `"ask_within_ms":10000`, grace).
		Replace(gatewaytest.Settings)
}

// restartingDiscovery is a discovery service whose process ends, which resets its watches and has calls refused, and is
// started again at the same address.
type restartingDiscovery struct {
	t       *testing.T
	address string
	calls   chan time.Time // receives the time of each call
	server  *http.Server
}

func newRestartingDiscovery(t *testing.T) *restartingDiscovery {
	d := &restartingDiscovery{t: t, address: gatewaytest.ReserveAddress(t), calls: make(chan time.Time, 1000)}
	t.Cleanup(func() { d.server.Close() })
	return d
}

// start starts the service and returns when it began to listen.
func (d *restartingDiscovery) start() time.Time {
	d.t.Helper()
	listener, err := net.Listen("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	started := time.Now()
	d.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		d.calls <- time.Now()
		if in.URL.Query().Get("wait_ms") != "1" {
			<-in.Context().Done()
		}
		fmt.Fprintf(out, `{"revision":%s,"complete":false,"members":[]}`, in.URL.Query().Get("after"))
	})}
	go d.server.Serve(listener)
	return started
}

// stop ends the service and forgets its calls.
func (d *restartingDiscovery) stop() {
	d.server.Close()
	for len(d.calls) > 0 {
		<-d.calls
	}
}

// Discovery that pushes the endpoint list goes down and comes back several times. Guards against attempts at endpoints
// that are listed as draining: what discovery has counts as notified at its return, and a gateway asked for it only
// after the grace period.
func TestPushedListIsRequestedWithinDrainGraceOfDiscoveryReturn(t *testing.T) {
	discovery := newRestartingDiscovery(t)
	discovery.start()
	startGatewayAt(t, 64, pushSettings(), discovery.address)
	<-discovery.calls
	for outage := range 8 {
		discovery.stop()
		time.Sleep(300*time.Millisecond + time.Duration(outage)*37*time.Millisecond)
		back := discovery.start()
		select {
		case at := <-discovery.calls:
			if delay := at.Sub(back); delay > pushDrainGrace {
				t.Errorf("outage %d: the list was requested %v after discovery was back, want %v at most", outage, delay, pushDrainGrace)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("outage %d: the list was not requested within 5 s of discovery's return", outage)
		}
	}
}
