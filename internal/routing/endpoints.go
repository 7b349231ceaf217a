package routing

import (
	"hash/fnv"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// instance is one that the list has named.
type endpointRecord struct {
	endpoint  *decision.Endpoint
	hash      uint32          // of its id, in messages between gateways
	listed    protocol.Member // as discovery last listed it
	removedAt monotonic.Time  // when it went; 0 while it is listed

	downRevision       int64 // the newest revision by which it drained or was gone
	departedByPeerView bool  // a peer's view of a newer revision lacks it
	incarnation        uint32
}

// ready tells whether the instance may be told to the module as one that takes commands.
func (i *endpointRecord) ready() bool { return i.listed.Ready && !i.departedByPeerView }

func (r *Router) updateBalancer(i *endpointRecord, now monotonic.Time) {
	m := &i.listed
	r.balancer.UpdateEndpoint(i.endpoint, decision.EndpointStatus{
		Ready:       i.ready(),
		Present:     m.Present,
		Build:       m.Build,
		Zone:        m.Zone,
		MachineType: m.Model,
		Cell:        m.Cell,
		Size:        m.Size,
		StartedAt:   m.StartedAt,
	}, now)
}

// instance finds what an id names.
func (r *Router) endpointRecord(id string) *endpointRecord {
	i := r.endpointsByID[id]
	if i == nil {
		i = &endpointRecord{endpoint: &decision.Endpoint{}, hash: hashID(id), listed: protocol.Member{ID: id}}
		r.endpointsByID[id], r.endpointRecords[i.endpoint], r.endpointsByHash[i.hash] = i, i, i.endpoint
	}
	return i
}

// forget lets go of instances that the list has not named for long.
func (r *Router) forgetRemoved(now monotonic.Time) {
	for id, i := range r.endpointsByID {
		if i.removedAt > 0 && now-i.removedAt > time.Duration(removedEndpointTTL) {
			delete(r.endpointsByID, id)
			delete(r.endpointRecords, i.endpoint)
			if r.endpointsByHash[i.hash] == i.endpoint {
				delete(r.endpointsByHash, i.hash)
			}
		}
	}
}

// numberOf numbers an id in messages between gateways.
func hashID(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func (r *Router) endpointHash(it *decision.Endpoint) uint32 {
	if i := r.endpointRecords[it]; i != nil {
		return i.hash
	}
	return 0
}

func (r *Router) endpointByHash(number uint32) *decision.Endpoint { return r.endpointsByHash[number] }
