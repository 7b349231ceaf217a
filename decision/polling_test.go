package decision

import (
	"slices"
	"testing"
	"time"

	"laurelring/decision/discovery"
)

// A fleet that starts, or loses discovery, at once does not poll in step: the first polls of 24 or 300 gateways are spread
// over two seconds, those after a common failure over twice the backoff. Where all polls fail it makes less than one poll
// of each gateway in eight seconds, or discovery's queue would never clear: after a few failures, and after the first one
// where peers say that no gateway has an answer.
func TestFleetPollsDiscoveryApart(t *testing.T) {
	for _, peers := range []int{1, 24, 300} {
		var first, again, last, crowded []time.Duration
		for i := range 300 {
			gateway := newFleetMember(uint64(i+1), PromoteByAnyVote, i%peers, peers, 1)
			gateway.balancer.endpointList.polling = discovery.NewPacing()
			ask := func() time.Duration {
				for begun := gateway.now; ; gateway.now += millisecond {
					if _, due := gateway.balancer.Tick(gateway.now); due.PollDiscovery {
						return gateway.now - begun
					}
				}
			}
			first = append(first, ask())
			gateway.balancer.DiscoveryFailed(gateway.now)
			again = append(again, ask())
			for range 8 {
				gateway.balancer.DiscoveryFailed(gateway.now)
				last = append(last, ask())
			}
			gateway.balancer.CommitEndpointList(false, gateway.now)
			gateway.balancer.UnansweredShareEstimated(1)
			gateway.balancer.DiscoveryFailed(gateway.now)
			crowded = append(crowded, ask())
		}
		mean := func(all []time.Duration) time.Duration {
			sum := time.Duration(0)
			for _, one := range all {
				sum += one / time.Duration(len(all))
			}
			return sum
		}
		crowd := func(all []time.Duration) int { // most polls within a tenth of a second
			most := 0
			for _, at := range all {
				n := 0
				for _, o := range all {
					if o >= at && o < at+100*millisecond {
						n++
					}
				}
				most = max(most, n)
			}
			return most
		}
		if top := slices.Max(first); top > 2*second || peers > 1 && crowd(first) > 35 || peers == 1 && top > 20*millisecond {
			t.Errorf("of %d: first polls within %d ms, %d in a tenth of a second", peers, top/millisecond, crowd(first))
		}
		if crowd(again) > 110 || slices.Min(again) < 300*millisecond || slices.Max(last) > 12900*millisecond {
			t.Errorf("of %d: %d polls in a tenth of a second, the last %d ms after", peers, crowd(again), slices.Max(last)/millisecond)
		}
		if steady := last[len(last)-1:]; mean(crowded) < 8*second || slices.Max(crowded) > 12900*millisecond || steady[0] < 6400*millisecond {
			t.Errorf("of %d: one poll in %d ms where no gateway has an answer, in %d after many failures", peers,
				mean(crowded)/millisecond, steady[0]/millisecond)
		}
	}
}
