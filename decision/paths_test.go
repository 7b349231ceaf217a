package decision

import (
	"slices"
	"testing"
	"time"
)

// A zone from which answers come late or never must be avoided, and tried again after a while. Found by the simulator
// benchmark, deployment rolls-east, day big-1.
func TestZoneBehindSlowPathIsAvoided(t *testing.T) {
	gateway := withEndpoints(newFleetGateway(6, PromoteByQuorum, 0, 100, 30), 8)
	for _, endpoint := range gateway.endpoints[4:] {
		gateway.balancer.UpdateEndpoint(endpoint, EndpointStatus{Ready: true, Present: true, Build: 1, Zone: 1, Size: 2}, gateway.now)
	}
	attemptsInOtherZone := func(n int, extra time.Duration) (sent int) {
		for i := 0; i < n; i++ {
			gateway.now += 200 * millisecond
			gateway.send(0, 0)
			for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
				if gateway.now += 50 * millisecond; attempt.endpoint.zone == 1 {
					sent++
					gateway.now += extra
				}
				gateway.finish(attempt, OutcomeSuccess)
			}
		}
		return sent
	}
	if fast, slow := attemptsInOtherZone(40, 0), attemptsInOtherZone(40, 700*millisecond); fast < 12 || slow > 5 {
		t.Errorf("attempts of 40 in the other zone: got %d over a fast path and %d over a slow one, want >= 12 and <= 5", fast, slow)
	}
	gateway.now += 40 * second
	if retried := attemptsInOtherZone(10, 0); retried == 0 {
		t.Error("got no attempt over the slow path after 40 s, want it to be tried again")
	}
}

// If few endpoints accept connections, the endpoints that responded must be preferred. Found by the simulator
// benchmark, deployment lima-horarios, day big-2.
func TestPrefersEndpointsThatAcceptConnections(t *testing.T) {
	gateway := withEndpoints(newFleetGateway(7, PromoteByQuorum, 0, 100, 30), 80)
	sent := 0
	for i := 0; i < 100; i++ {
		gateway.now += 300 * millisecond
		for gateway.send(0, 0); len(gateway.inFlight) > 0; sent++ {
			gateway.now += 20 * millisecond
			if slices.Index(gateway.endpoints, gateway.inFlight[0].endpoint)%30 == 3 {
				gateway.finish(gateway.inFlight[0], OutcomeSuccess)
			} else {
				gateway.finish(gateway.inFlight[0], OutcomeConnectFailed)
			}
		}
	}
	if sent > 200 {
		t.Errorf("got %d attempts for 100 requests while 3 of 80 endpoints accept connections, want 200 or less", sent)
	}
}
