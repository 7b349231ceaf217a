// Package executed remembers the ids of requests that may have executed and must not execute again.
//
// A client may send a request again under the same id, on another connection and after it has left: its first attempts
// may have executed, even though the gateway has given them up and nobody waits for an answer.
package executed

import "hash/fnv"

// DefaultLimit is how many ids are remembered unless another limit is given. They take about 1 MB. Only requests that
// were sent to an endpoint count, so a flood of ids makes the oldest forgotten no faster than endpoints serve it.
const DefaultLimit = 1 << 14

// fingerprint identifies an id in a fixed number of bytes, however long the id is.
type fingerprint [16]byte

// IDs remembers the latest ids, up to a limit. It is not safe for concurrent use.
type IDs struct {
	limit  int
	known  map[fingerprint]struct{}
	order  []fingerprint // a ring, once it holds limit entries
	oldest int           // index of the oldest entry of a full ring
}

// New returns an empty memory of at most limit ids. The limit must be positive.
func New(limit int) *IDs {
	return &IDs{limit: limit, known: map[fingerprint]struct{}{}}
}

// Add remembers an id. If the limit is reached, the id that was added first is forgotten.
func (ids *IDs) Add(id string) {
	added := fingerprintOf(id)
	if _, known := ids.known[added]; known {
		return
	}
	ids.known[added] = struct{}{}
	if len(ids.order) < ids.limit {
		ids.order = append(ids.order, added)
		return
	}
	delete(ids.known, ids.order[ids.oldest])
	ids.order[ids.oldest] = added
	ids.oldest = (ids.oldest + 1) % ids.limit
}

// Contains reports whether an id is remembered.
func (ids *IDs) Contains(id string) bool {
	_, known := ids.known[fingerprintOf(id)]
	return known
}

func fingerprintOf(id string) (result fingerprint) {
	hash := fnv.New128a()
	hash.Write([]byte(id))
	hash.Sum(result[:0])
	return result
}
