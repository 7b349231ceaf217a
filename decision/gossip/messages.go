// Package gossip lets gateways inform one another which endpoints are ready while discovery does not answer all
// gateways. A gateway without a recent answer of discovery queries a few peers. A peer with a recent answer replies
// with its revision and, if the querier's revision is older, with the incarnations that are ready at its revision. A
// reply renews the querier's lease on its endpoint list, and shows which of its endpoints have begun to drain or were
// removed. A reply never adds an endpoint: only discovery does, as addresses may differ between gateways.
//
// This is pull-based anti-entropy: no messages are sent while discovery answers every gateway. If several gateways
// query, one reply is sent to all, and a gateway drops its own pending reply when it receives an equivalent one.
//
// The package does no I/O and reads no clock. Times are of one gateway's monotonic clock, so messages carry ages
// instead of times. An Exchange must be used by a single goroutine.
package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"laurelring/decision/monotonic"
)

// AllGateways is used in place of a rank to address all gateways.
const AllGateways = -1

// noGateway is used in place of a rank for no gateway.
const noGateway = -1

// Query asks a peer for its view of the endpoint list.
type Query struct {
	Revision int64         // the revision up to which the querier knows all drains and removals
	Age      time.Duration // time since the querier last knew this revision to be current
}

// View is a gateway's view of the endpoint list as confirmed by discovery, or one part of it.
type View struct {
	Revision int64
	Age      time.Duration // time since discovery confirmed the revision
	Part     int           // index of this part, from 0
	Parts    int           // number of parts, 0 if only the revision is confirmed, for queriers that hold it
	Ready    []uint32      // the ready incarnations in this part
}

// Reply is a reply to send: the revision held, with or without the ready incarnations.
type Reply struct {
	To           int // a rank or AllGateways
	Revision     int64
	Age          time.Duration // time since discovery confirmed the revision
	IncludeReady bool
}

// Outgoing holds the messages that a gateway must send now.
type Outgoing struct {
	QueryRecipients []int // ranks of the gateways to query
	Query           Query
	Replies         []Reply
}

// LearnedView is the information gained from a peer's view.
type LearnedView struct {
	Revision    int64
	ConfirmedAt monotonic.Time // the time for which the revision was confirmed
	// Ready holds the ready incarnations. Any other incarnation of an older revision has begun to drain or was removed.
	// Ready is nil if the view only confirms the revision that was already known.
	Ready map[uint32]bool
}

// Incarnation returns a number that identifies an endpoint as it was started with a build. It changes when the
// endpoint is restarted or runs another build.
func Incarnation(id string, startedAt monotonic.Time, build int) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	numbers := binary.LittleEndian.AppendUint64(nil, uint64(startedAt))
	numbers = binary.LittleEndian.AppendUint64(numbers, uint64(build))
	hash.Write(numbers)
	return hash.Sum32()
}
