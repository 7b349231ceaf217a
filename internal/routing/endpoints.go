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

// removedEndpointTTL is the time for which the record of an endpoint is kept after the endpoint is no longer listed.
const removedEndpointTTL = 60 * time.Second

// endpointRecord is the router's record of an endpoint that is or was listed.
type endpointRecord struct {
	endpoint  *decision.Endpoint
	hash      uint32                 // hash of the endpoint's id, which identifies it in messages between gateways
	listed    protocol.EndpointEntry // the latest entry from discovery
	removedAt monotonic.Time         // time at which the endpoint was removed from the list; 0 while it is listed

	incarnation  uint32
	downRevision int64 // the newest revision at which the endpoint was draining or removed
	departed     bool  // whether a peer's view shows it as draining or removed, as of the latest list or view

	// departedRevision is the revision of a discarded view that did not contain the endpoint, if the view was discarded
	// because discovery started again from an older revision. The endpoint counts as departed until discovery reaches
	// this revision, the endpoint restarts, or departedUntil has passed.
	departedRevision int64
	departedUntil    monotonic.Time
}

// ready reports whether the endpoint accepts requests according to both discovery and the peers.
func (record *endpointRecord) ready() bool { return record.listed.Ready && !record.departed }

// status returns the status of the endpoint for the balancer.
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

// list updates the record with an entry of the endpoint list of the given revision.
func (record *endpointRecord) list(entry protocol.EndpointEntry, revision int64, now monotonic.Time) {
	// An endpoint that a newer list showed as draining or removed is not ready until it restarts, or until the
	// revisions of discovery reach the revision of that list.
	sameIncarnation := record.listed.StartedAt == entry.StartedAt && record.listed.Build == entry.Build
	if entry.Ready && record.downRevision > revision && sameIncarnation {
		entry.Ready = false
	}
	if entry.Present && !sameIncarnation {
		record.departedUntil = 0
	}
	if !entry.Present { // the entry of a removed endpoint may lack these fields
		entry.StartedAt, entry.Build = record.listed.StartedAt, record.listed.Build
	}
	record.listed, record.removedAt = entry, 0
	record.incarnation = gossip.Incarnation(entry.ID, entry.StartedAt, entry.Build)
	if !entry.Present {
		record.removedAt = now
	}
	if !entry.Ready {
		record.downRevision = max(record.downRevision, revision)
	}
}

// markRemoved marks the endpoint as removed by the list of the given revision.
func (record *endpointRecord) markRemoved(revision int64, now monotonic.Time) {
	record.removedAt = now
	record.downRevision = max(record.downRevision, revision)
	record.listed.Ready, record.listed.Present = false, false
}

// endpointTable indexes the endpoint records.
type endpointTable struct {
	byID       map[string]*endpointRecord
	byEndpoint map[*decision.Endpoint]*endpointRecord
	byHash     map[uint32]*decision.Endpoint // one of the endpoints if several ids have the same hash
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byID:       map[string]*endpointRecord{},
		byEndpoint: map[*decision.Endpoint]*endpointRecord{},
		byHash:     map[uint32]*decision.Endpoint{},
	}
}

// record returns the record of the endpoint with the given id and creates it if necessary.
func (t *endpointTable) record(id string) *endpointRecord {
	record := t.byID[id]
	if record == nil {
		record = &endpointRecord{endpoint: &decision.Endpoint{}, hash: hashID(id), listed: protocol.EndpointEntry{ID: id}}
		t.byID[id] = record
		t.byEndpoint[record.endpoint] = record
		t.byHash[record.hash] = record.endpoint
	}
	return record
}

// expire deletes the records of endpoints that were removed more than removedEndpointTTL ago.
func (t *endpointTable) expire(now monotonic.Time) {
	for _, record := range t.sortedRemovedRecords() {
		if now-record.removedAt <= removedEndpointTTL {
			continue
		}
		delete(t.byID, record.listed.ID)
		delete(t.byEndpoint, record.endpoint)
		t.reassignHash(record)
	}
}

// sortedRemovedRecords returns the records of endpoints that are no longer listed, sorted by id.
func (t *endpointTable) sortedRemovedRecords() []*endpointRecord {
	var removed []*endpointRecord
	for _, record := range t.byID {
		if record.removedAt != 0 {
			removed = append(removed, record)
		}
	}
	sortByID(removed)
	return removed
}

// reassignHash makes the hash of a deleted record refer to another endpoint with the same hash, if there is one.
func (t *endpointTable) reassignHash(deleted *endpointRecord) {
	if t.byHash[deleted.hash] != deleted.endpoint {
		return
	}
	delete(t.byHash, deleted.hash)
	for _, record := range t.sortedRecords() {
		if record.hash == deleted.hash {
			t.byHash[record.hash] = record.endpoint
			return
		}
	}
}

// anyDeparted reports whether any endpoint is marked as departed according to the peers.
func (t *endpointTable) anyDeparted() bool {
	for _, record := range t.byID {
		if record.departed {
			return true
		}
	}
	return false
}

// sortedRecords returns the records sorted by id, so that equal sequences of events lead to equal actions.
func (t *endpointTable) sortedRecords() []*endpointRecord {
	records := slices.Collect(maps.Values(t.byID))
	sortByID(records)
	return records
}

func sortByID(records []*endpointRecord) {
	slices.SortFunc(records, func(a, b *endpointRecord) int { return cmp.Compare(a.listed.ID, b.listed.ID) })
}

// hashOf returns the hash that identifies an endpoint in messages between gateways, or 0 if its record was deleted.
func (t *endpointTable) hashOf(endpoint *decision.Endpoint) uint32 {
	if record := t.byEndpoint[endpoint]; record != nil {
		return record.hash
	}
	return 0
}

// endpointByHash returns the endpoint with the given hash from a message between gateways, or nil if it is unknown.
func (t *endpointTable) endpointByHash(hash uint32) *decision.Endpoint { return t.byHash[hash] }

// hashID returns the hash of an endpoint's id that identifies the endpoint in messages between gateways.
func hashID(id string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return hash.Sum32()
}
