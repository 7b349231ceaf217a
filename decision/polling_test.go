package decision

import (
	"slices"
	"testing"
	"time"

	"laurelring/decision/discovery"
)

// pollTimes holds how long the gateways of a fleet waited before their polls of discovery.
type pollTimes struct {
	first, afterFailure, afterMoreFailures, allUnanswered []time.Duration
}

// timeToPoll advances the time until the gateway polls discovery, and returns how long that took.
func (gateway *testGateway) timeToPoll() time.Duration {
	for start := gateway.now; ; gateway.now += millisecond {
		if _, due := gateway.balancer.Tick(gateway.now); due.PollDiscovery {
			return gateway.now - start
		}
	}
}

// measurePolls measures the polls of 300 gateways: at their start, after one failure, after eight more failures, and
// after a failure while no gateway of the fleet gets an answer.
func measurePolls(fleetSize int) pollTimes {
	var times pollTimes
	for i := range 300 {
		gateway := newFleetGateway(uint64(i+1), PromoteByAnyVote, i%fleetSize, fleetSize, 1)
		gateway.balancer.endpointList.polling = discovery.NewPacing()
		times.first = append(times.first, gateway.timeToPoll())
		gateway.balancer.DiscoveryFailed(gateway.now)
		times.afterFailure = append(times.afterFailure, gateway.timeToPoll())
		for range 8 {
			gateway.balancer.DiscoveryFailed(gateway.now)
			times.afterMoreFailures = append(times.afterMoreFailures, gateway.timeToPoll())
		}
		gateway.balancer.CommitEndpointList(false, gateway.now)
		gateway.balancer.UnansweredShareEstimated(1)
		gateway.balancer.DiscoveryFailed(gateway.now)
		times.allUnanswered = append(times.allUnanswered, gateway.timeToPoll())
	}
	return times
}

func meanOf(times []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, value := range times {
		sum += value / time.Duration(len(times))
	}
	return sum
}

// maxWithinTenth returns the largest number of polls within any tenth of a second.
func maxWithinTenth(times []time.Duration) int {
	largest := 0
	for _, at := range times {
		n := 0
		for _, other := range times {
			if other >= at && other < at+100*millisecond {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

// A fleet that starts, or loses discovery, at the same time must not poll in step: the first polls of 24 or 300
// gateways are spread over two seconds, and those after a common failure over twice the backoff. If all polls fail,
// each gateway must poll less than once in eight seconds, or the queue of discovery would never clear. This holds after
// a few failures, and already after the first one if peers report that no gateway gets an answer.
func TestFleetSpreadsDiscoveryPolls(t *testing.T) {
	for _, fleetSize := range []int{1, 24, 300} {
		times := measurePolls(fleetSize)
		latest, mostAtOnce := slices.Max(times.first), maxWithinTenth(times.first)
		if latest > 2*second || fleetSize > 1 && mostAtOnce > 35 || fleetSize == 1 && latest > 20*millisecond {
			t.Errorf("fleet of %d: first polls within %d ms, up to %d in a tenth of a second", fleetSize, latest/millisecond, mostAtOnce)
		}
		latest, mostAtOnce = slices.Max(times.afterMoreFailures), maxWithinTenth(times.afterFailure)
		if mostAtOnce > 110 || slices.Min(times.afterFailure) < 300*millisecond || latest > 12900*millisecond {
			t.Errorf("fleet of %d: up to %d polls in a tenth of a second after a failure, longest wait %d ms", fleetSize, mostAtOnce, latest/millisecond)
		}
		steady := times.afterMoreFailures[len(times.afterMoreFailures)-1]
		if meanOf(times.allUnanswered) < 8*second || slices.Max(times.allUnanswered) > 12900*millisecond || steady < 6400*millisecond {
			t.Errorf("fleet of %d: mean wait %d ms if no gateway gets an answer, last wait %d ms after many failures", fleetSize,
				meanOf(times.allUnanswered)/millisecond, steady/millisecond)
		}
	}
}
