package decision

import (
	"testing"
)

// A gateway that sends an endpoint few attempts must not take a slow answer for silence, unless the voters consider the
// endpoint an outlier. Found by the simulator benchmark, deployment rolls-east.
func TestSilenceCountsOnlyAfterSeveralAttempts(t *testing.T) {
	for _, outlier := range []bool{false, true} {
		gateway := withEndpoints(newFleetGateway(4, PromoteByQuorum, 0, 100, 30), 4)
		request := gateway.send(0, 0)
		if outlier {
			gateway.balancer.VoterReportReceived(&VoterReport{Sender: gateway.balancer.voters(1)[0], FoundAt: gateway.now, Build: 1,
				Outliers: []*Endpoint{request.attempts[0].endpoint}}, gateway.now)
		}
		// 1.4 s is just below 1.5 s, which is six initial mean latencies and also how long the outliers of a voter
		// report count.
		gateway.now += 1400 * millisecond
		gateway.balancer.opTypes[0].meanLatency = float64(100 * millisecond)
		if _, due := gateway.balancer.Tick(gateway.now); (len(due.CancelAttempts) > 0) != outlier {
			t.Errorf("outlier %v: got %d canceled attempts, want some only for an outlier", outlier, len(due.CancelAttempts))
		}
	}
}
