// Package gossip decides how gateways help one another to know which endpoints are ready while discovery does not answer
// them all. A gateway without a recent answer of discovery queries a few peers. One that has such an answer replies with
// its revision and, where the querier's is older, with the incarnations that are ready at it. A reply renews the
// querier's lease on its endpoint list, and shows which of its endpoints have begun to drain or were removed. It never
// makes an endpoint known: only discovery does, as addresses may differ from gateway to gateway.
//
// This is anti-entropy by pull: nothing is sent while discovery answers every gateway. Where several gateways query, one
// reply goes to all: a gateway that is about to reply drops its reply when it receives one as good.
//
// The package does no I/O and reads no clock. Moments are of one gateway's monotonic clock; only ages travel between
// gateways. An Exchange is to be used by one goroutine.
package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"laurelring/decision/monotonic"
)

// AllGateways stands for all gateways in place of a rank.
const AllGateways = -1

// noGateway stands for no gateway in place of a rank.
const noGateway = -1

// Query asks a peer what it knows of the endpoint list.
type Query struct {
	Revision int64         // up to which the querier knows all drains and removals
	Age      time.Duration // since that was known to be current
}

// View is what a gateway knows of the endpoint list from discovery, or a part of it.
type View struct {
	Revision int64
	Age      time.Duration // since discovery confirmed it
	Part     int           // from 0 on
	Parts    int           // 0 where the revision alone is confirmed, for queriers that hold it
	Ready    []uint32      // the incarnations of this part that are ready
}

// Reply is due to be sent: the revision held, with the ready incarnations or without.
type Reply struct {
	To           int // a rank, or AllGateways
	Revision     int64
	Age          time.Duration // since discovery confirmed it
	IncludeReady bool
}

// Due is what a gateway is to send now.
type Due struct {
	QueryRecipients []int // ranks
	Query           Query
	Replies         []Reply
}

// LearnedView is what a peer's view has brought.
type LearnedView struct {
	Revision    int64
	ConfirmedAt monotonic.Time // the moment for which it holds
	// Ready holds the incarnations that are ready; any other of an older revision has begun to drain or was removed. It
	// is nil where the view confirms the revision that was known.
	Ready map[uint32]bool
}

// Incarnation returns the number of an endpoint as it was started with a build. After a restart, or with another build,
// it is another.
func Incarnation(id string, startedAt monotonic.Time, build int) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	numbers := binary.LittleEndian.AppendUint64(nil, uint64(startedAt))
	numbers = binary.LittleEndian.AppendUint64(numbers, uint64(build))
	hash.Write(numbers)
	return hash.Sum32()
}
