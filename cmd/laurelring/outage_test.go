package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	toldWithin = 6 * time.Second // a change counts as told so long after discovery had it and could be reached
	drainGrace = time.Second
)

// Issue 22: discovery is down while all instances are replaced, and back without the capacity to answer the whole
// fleet in time. No gateway sends to an instance that drains once that counts as told and the grace is over, and
// gateways that were told serve.
func TestNothingGoesToDrainedAfterAnOutage(t *testing.T) {
	for _, messages := range []bool{true, false} {
		t.Run(fmt.Sprintf("messages between gateways %t", messages), func(t *testing.T) {
			t.Parallel()
			const gateways, instances = 12, 8
			var drained, fresh []*instanceServer
			var before, after []listEntry
			for i := range instances {
				leaving := newInstanceServer(t, fmt.Sprintf("s-old-%d", i))
				coming := newInstanceServer(t, fmt.Sprintf("s-new-%d", i))
				drained, fresh = append(drained, leaving), append(fresh, coming)
				before = append(before, leaving.entry)
				left := leaving.entry
				left.Phase = "draining"
				after = append(after, left, coming.entry)
			}
			discovery, address := newDiscoveryService(t, 1200*time.Millisecond, before)
			discovery.cost = 0 // until all watches stand
			fleet := startFleet(t, gateways, address, before, messages)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			fleet.run(ctx)
			fleet.waitServing()
			time.Sleep(1500 * time.Millisecond)

			discovery.setDown(true)
			time.Sleep(time.Second)
			for _, instance := range drained {
				instance.draining.Store(true)
			}
			discovery.set(after)
			time.Sleep(2 * time.Second)
			discovery.mu.Lock()
			discovery.cost = 1200 * time.Millisecond // 14 s for one call of each gateway
			discovery.mu.Unlock()
			discovery.setDown(false)
			back := time.Now()
			bound := back.Add(toldWithin + drainGrace)
			time.Sleep(time.Until(bound.Add(2500 * time.Millisecond)))
			stop()

			late := 0
			for _, instance := range drained {
				late += instance.arrivedAfter(bound)
			}
			reached := 0
			for _, instance := range fresh {
				reached += instance.arrivedAfter(back)
			}
			discovery.mu.Lock()
			calls := discovery.calls
			discovery.mu.Unlock()
			t.Logf("%d calls for the list in all; %d deliveries to instances that are ready", calls, reached)
			if late > 0 {
				t.Errorf("%d deliveries to draining instances after that counts as told", late)
			}
			if reached == 0 {
				t.Error("no gateway that was told of the instances that are ready serves from them")
			}
			if t.Failed() {
				for _, path := range fleet.logs[:2] {
					text, _ := os.ReadFile(path)
					t.Logf("%s", strings.TrimSpace(string(text)))
				}
			}
		})
	}
}
