package simulatoradapter

import (
	"fmt"

	"laurelring/decision"
	"laurelring/decision/monotonic"
)

// listEntry is the entry of one endpoint in a list that all gateways of the process can refer to.
type listEntry struct {
	id     uint32
	status decision.EndpointStatus
}

// readListDefinition reads a list of endpoints and the number that later updates refer to it by.
func readListDefinition(r *recordReader) (number uint32, entries []listEntry) {
	number = r.uint32()
	count := uint64(r.uint32())
	if count*listEntrySize > uint64(len(r.data)-r.offset) {
		r.fail(fmt.Errorf("list of %d entries exceeds the frame", count))
		return number, nil
	}
	entries = make([]listEntry, count)
	for i := range entries {
		entries[i] = readListEntry(r)
	}
	return number, entries
}

func readListEntry(r *recordReader) listEntry {
	e := listEntry{id: r.uint32()}
	e.status.Zone = int(r.uint8())
	e.status.MachineType = int(r.uint16())
	e.status.Cell = int(r.uint16())
	e.status.Build = int(r.float32())
	state := r.uint8()
	e.status.Ready = state == endpointReady
	e.status.Present = state != endpointGone
	e.status.Size = r.float32()
	e.status.StartedAt = r.duration()
	return e
}

// endpointListUpdate reports changed entries, the complete list, or that discovery failed, as its kind says.
type endpointListUpdate struct {
	kind    uint8
	entries []listEntry
}

func readEndpointListUpdate(r *recordReader, lists map[uint32][]listEntry) endpointListUpdate {
	kind := r.uint8()
	r.skip(4) // revision of the list
	return endpointListUpdate{kind: kind, entries: lists[r.uint32()]}
}

func (e endpointListUpdate) apply(g *gateway, now monotonic.Time) error {
	if e.kind == listFailed {
		g.balancer.DiscoveryFailed(now)
		return nil
	}
	listed := map[*decision.Endpoint]bool{}
	for _, entry := range e.entries {
		endpoint := g.endpoints[entry.id]
		if endpoint == nil {
			endpoint = &decision.Endpoint{}
			g.endpoints[entry.id], g.endpointIDs[endpoint] = endpoint, entry.id
		}
		listed[endpoint] = true
		g.balancer.UpdateEndpoint(endpoint, entry.status, now)
	}
	if e.kind != listChanges {
		g.balancer.RetainEndpoints(listed)
	}
	g.balancer.CommitEndpointList(e.kind == listCached, now)
	return nil
}
