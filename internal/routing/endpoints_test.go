package routing

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against lost reports on an endpoint whose id has the same hash as another id. Once the record of one of the
// two endpoints had expired, the other was not found by the hash either, so that what peers reported about it was lost.
func TestExpiryOfEndpointKeepsOtherWithSameHash(t *testing.T) {
	const one, other = "costarring", "liquid"
	if hashID(one) != hashID(other) {
		t.Fatal("the ids do not have the same hash")
	}
	for _, expired := range []string{one, other} {
		table := newEndpointTable()
		first, second := table.record(one), table.record(other)
		kept := first
		if expired == one {
			kept = second
		}
		table.byID[expired].removedAt = ms
		table.expire(ms + removedEndpointTTL + ms)
		if found := table.endpointByHash(kept.hash); found != kept.endpoint {
			t.Errorf("after the record of %s has expired, the other endpoint is not found by its hash", expired)
		}
		kept.removedAt = ms
		if table.expire(ms + removedEndpointTTL + ms); len(table.byHash) > 0 || len(table.byEndpoint) > 0 {
			t.Error("records are left after both have expired")
		}
	}
}

// Guards against calls in the random order of a map. Connections to endpoints that a list removes were closed in that
// order, and endpoints missing from a peer's view were updated in it, so that the same events led to different orders
// of calls. Here twenty connections would be closed out of order.
func TestEndpointsAreRemovedInOrderOfTheirIDs(t *testing.T) {
	for name, remove := range map[string]func(env *gossipFixture){
		"complete list":  func(env *gossipFixture) { env.receiveMembers(11, false, true) },
		"view of a peer": func(env *gossipFixture) { env.receiveView(11, map[string]int64{}) },
	} {
		env := newGossipFixture(t)
		var entries, closed []string
		for i := range 20 {
			entries = append(entries, encodeMember(member{id: fmt.Sprintf("s-%d", 10+i), phase: "up", build: 1}))
		}
		env.receiveMembers(10, false, true, entries...)
		env.router.drivers.CloseIdleConnections = func(address string) { closed = append(closed, address) }
		if remove(env); len(closed) != 20 || !slices.IsSorted(closed) {
			t.Errorf("%s: got connections closed in the order %v, want all 20 in the order of ids", name, closed)
		}
	}
}
