package decision

import (
	"slices"
	"testing"
	"time"

	"laurelring/decision/discovery"
)

// pollTimes are how long each gateway of a fleet waited before its polls.
type pollTimes struct {
	first, afterFailure, afterMoreFailures, inCrowd []time.Duration
}

// timeToPoll lets time pass until the gateway polls discovery, and returns how long that took.
func (gateway *testGateway) timeToPoll() time.Duration {
	for start := gateway.now; ; gateway.now += millisecond {
		if _, due := gateway.balancer.Tick(gateway.now); due.PollDiscovery {
			return gateway.now - start
		}
	}
}

// measurePolls has 300 gateways of a fleet poll: at their start, after a failure, after eight more, and after one where no
// gateway has an answer.
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
		times.inCrowd = append(times.inCrowd, gateway.timeToPoll())
	}
	return times
}

func meanOf(times []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, one := range times {
		sum += one / time.Duration(len(times))
	}
	return sum
}

// maxWithinTenth is the largest number of polls within a tenth of a second.
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

// A fleet that starts, or loses discovery, at once does not poll in step: the first polls of 24 or 300 gateways are spread
// over two seconds, those after a common failure over twice the backoff. Where all polls fail it makes less than one poll
// of each gateway in eight seconds, or discovery's queue would never clear: after a few failures, and after the first one
// where peers say that no gateway has an answer.
func TestFleetPollsDiscoveryApart(t *testing.T) {
	for _, fleetSize := range []int{1, 24, 300} {
		times := measurePolls(fleetSize)
		latest, crowd := slices.Max(times.first), maxWithinTenth(times.first)
		if latest > 2*second || fleetSize > 1 && crowd > 35 || fleetSize == 1 && latest > 20*millisecond {
			t.Errorf("of %d: first polls within %d ms, %d in a tenth of a second", fleetSize, latest/millisecond, crowd)
		}
		latest, crowd = slices.Max(times.afterMoreFailures), maxWithinTenth(times.afterFailure)
		if crowd > 110 || slices.Min(times.afterFailure) < 300*millisecond || latest > 12900*millisecond {
			t.Errorf("of %d: %d polls in a tenth of a second, the last %d ms after", fleetSize, crowd, latest/millisecond)
		}
		steady := times.afterMoreFailures[len(times.afterMoreFailures)-1]
		if meanOf(times.inCrowd) < 8*second || slices.Max(times.inCrowd) > 12900*millisecond || steady < 6400*millisecond {
			t.Errorf("of %d: one poll in %d ms where no gateway has an answer, in %d after many failures", fleetSize,
				meanOf(times.inCrowd)/millisecond, steady/millisecond)
		}
	}
}
