package routing

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// removedEndpointTTL is how long an endpoint is remembered that is no longer listed.
const removedEndpointTTL = 60 * time.Second

// endpointRecord is what the router knows of an endpoint that has been listed.
type endpointRecord struct {
	endpoint  *decision.Endpoint
	hash      uint32                 // of its id, in messages between gateways
	listed    protocol.EndpointEntry // as discovery last listed it
	removedAt monotonic.Time         // when it was no longer listed; 0 while it is

	incarnation  uint32
	downRevision int64 // the newest revision by which it was draining or removed
	departed     bool  // peers know that it has begun to drain or has gone, as of the latest list or view

	// A discarded view of this revision lacked it; discovery had counted from an older one again. That stands until
	// discovery has come as far, the endpoint has restarted, or this moment.
	departedRevision int64
	departedUntil    monotonic.Time
}

// ready reports whether the endpoint takes requests, by discovery and by peers.
func (record *endpointRecord) ready() bool { return record.listed.Ready && !record.departed }

// status is the endpoint as the balancer is to know it.
func (record *endpointRecord) status() decision.EndpointStatus {
	listed := &record.listed
	return decision.EndpointStatus{
		Ready:       record.ready(),
		Present:     listed.Present,
		Build:       listed.Build,
		Zone:        listed.Zone,
		MachineType: listed.MachineType,
		Cell:        listed.Cell,
		Size:        listed.Size,
		StartedAt:   listed.StartedAt,
	}
}

// list takes in an entry of the endpoint list of a revision.
func (record *endpointRecord) list(member protocol.EndpointEntry, revision int64, now monotonic.Time) {
	// What was draining or removed by a newer list stays so until it is restarted or discovery has counted beyond.
	sameIncarnation := record.listed.StartedAt == member.StartedAt && record.listed.Build == member.Build
	if member.Ready && record.downRevision > revision && sameIncarnation {
		member.Ready = false
	}
	if member.Present && !sameIncarnation {
		record.departedUntil = 0
	}
	if !member.Present { // the entry of a removed endpoint may lack the rest
		member.StartedAt, member.Build = record.listed.StartedAt, record.listed.Build
	}
	record.listed, record.removedAt = member, 0
	record.incarnation = gossip.Incarnation(member.ID, member.StartedAt, member.Build)
	if !member.Present {
		record.removedAt = now
	}
	if !member.Ready {
		record.downRevision = max(record.downRevision, revision)
	}
}

// unlist marks an endpoint as removed by the list of a revision.
func (record *endpointRecord) unlist(revision int64, now monotonic.Time) {
	record.removedAt = now
	record.downRevision = max(record.downRevision, revision)
	record.listed.Ready, record.listed.Present = false, false
}

// endpointTable finds the endpoint records.
type endpointTable struct {
	byID       map[string]*endpointRecord
	byDecision map[*decision.Endpoint]*endpointRecord
	byHash     map[uint32]*decision.Endpoint // where ids collide, one of them
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byID:       map[string]*endpointRecord{},
		byDecision: map[*decision.Endpoint]*endpointRecord{},
		byHash:     map[uint32]*decision.Endpoint{},
	}
}

// record returns the record of an id, which it makes where there is none.
func (t *endpointTable) record(id string) *endpointRecord {
	record := t.byID[id]
	if record == nil {
		record = &endpointRecord{endpoint: &decision.Endpoint{}, hash: hashID(id), listed: protocol.EndpointEntry{ID: id}}
		t.byID[id] = record
		t.byDecision[record.endpoint] = record
		t.byHash[record.hash] = record.endpoint
	}
	return record
}

// expire forgets the endpoints that were removed long ago.
func (t *endpointTable) expire(now monotonic.Time) {
	for _, record := range t.removedInOrder() {
		if now-record.removedAt <= removedEndpointTTL {
			continue
		}
		delete(t.byID, record.listed.ID)
		delete(t.byDecision, record.endpoint)
		t.forgetHash(record)
	}
}

// removedInOrder returns the records of endpoints that are no longer listed, in the order of their ids.
func (t *endpointTable) removedInOrder() []*endpointRecord {
	var removed []*endpointRecord
	for _, record := range t.byID {
		if record.removedAt != 0 {
			removed = append(removed, record)
		}
	}
	sortByID(removed)
	return removed
}

// forgetHash has a forgotten endpoint's hash stand for another one that has it too, if there is one.
func (t *endpointTable) forgetHash(forgotten *endpointRecord) {
	if t.byHash[forgotten.hash] != forgotten.endpoint {
		return
	}
	delete(t.byHash, forgotten.hash)
	for _, record := range t.inOrder() {
		if record.hash == forgotten.hash {
			t.byHash[record.hash] = record.endpoint
			return
		}
	}
}

// anyDeparted reports whether peers know of any endpoint that has begun to drain or has gone.
func (t *endpointTable) anyDeparted() bool {
	for _, record := range t.byID {
		if record.departed {
			return true
		}
	}
	return false
}

// inOrder returns the records in the order of their ids, so that the same events lead to the same actions.
func (t *endpointTable) inOrder() []*endpointRecord {
	records := slices.Collect(maps.Values(t.byID))
	sortByID(records)
	return records
}

func sortByID(records []*endpointRecord) {
	slices.SortFunc(records, func(a, b *endpointRecord) int { return cmp.Compare(a.listed.ID, b.listed.ID) })
}

// hashOf returns what stands for an endpoint in messages between gateways; 0 where it has been forgotten.
func (t *endpointTable) hashOf(endpoint *decision.Endpoint) uint32 {
	if record := t.byDecision[endpoint]; record != nil {
		return record.hash
	}
	return 0
}

// endpointByHash returns the endpoint that a message between gateways names, or nil.
func (t *endpointTable) endpointByHash(hash uint32) *decision.Endpoint { return t.byHash[hash] }

// hashID returns what stands for an endpoint's id in messages between gateways.
func hashID(id string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return hash.Sum32()
}
