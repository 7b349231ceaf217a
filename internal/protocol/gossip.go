package protocol

import (
	"encoding/binary"
	"time"

	"laurelring/decision/gossip"
)

const (
	maxViewHeaderSize = 1 + 2*binary.MaxVarintLen64 + 2 // tag, revision, age, part, and number of parts
	incarnationSize   = 4
)

// MaxIncarnationsPerView is the maximum number of incarnations in one part of a view, which is one datagram.
const MaxIncarnationsPerView = (MaxDatagramSize - maxViewHeaderSize) / incarnationSize

// Upper bounds of the values in a datagram, which prevent overflows in later sums. A datagram that exceeds them is
// invalid.
const (
	maxRevision = 1 << 62
	maxAgeMs    = uint64(1 << 62 / time.Millisecond)
)

// EncodeGossipQuery encodes a query as a datagram.
func EncodeGossipQuery(query gossip.Query) []byte {
	b := binary.AppendUvarint([]byte{gossipQueryTag}, uint64(query.Revision))
	return binary.AppendUvarint(b, ceilMs(query.Age))
}

// DecodeGossipQuery decodes a datagram and reports whether it is a valid query.
func DecodeGossipQuery(data []byte) (gossip.Query, bool) {
	if len(data) == 0 || data[0] != gossipQueryTag {
		return gossip.Query{}, false
	}
	revision, age, rest, ok := decodeRevisionAndAge(data[1:])
	return gossip.Query{Revision: revision, Age: age}, ok && len(rest) == 0
}

// EncodeGossipView encodes one part of a view as a datagram.
func EncodeGossipView(view gossip.View) []byte {
	b := binary.AppendUvarint([]byte{gossipViewTag}, uint64(view.Revision))
	b = binary.AppendUvarint(b, ceilMs(view.Age))
	b = append(b, uint8(view.Part), uint8(view.Parts))
	for _, incarnation := range view.Ready {
		b = binary.LittleEndian.AppendUint32(b, incarnation)
	}
	return b
}

// DecodeGossipView decodes a datagram and reports whether it is a valid part of a view.
func DecodeGossipView(data []byte) (gossip.View, bool) {
	if len(data) == 0 || data[0] != gossipViewTag {
		return gossip.View{}, false
	}
	revision, age, rest, ok := decodeRevisionAndAge(data[1:])
	if !ok || len(rest) < 2 || (len(rest)-2)%incarnationSize != 0 {
		return gossip.View{}, false
	}
	view := gossip.View{Revision: revision, Age: age, Part: int(rest[0]), Parts: int(rest[1])}
	for rest = rest[2:]; len(rest) > 0; rest = rest[incarnationSize:] {
		view.Ready = append(view.Ready, binary.LittleEndian.Uint32(rest))
	}
	return view, true
}

func decodeRevisionAndAge(data []byte) (revision int64, age time.Duration, rest []byte, ok bool) {
	encodedRevision, size := binary.Uvarint(data)
	if size <= 0 || encodedRevision > maxRevision {
		return 0, 0, nil, false
	}
	data = data[size:]
	ageMs, size := binary.Uvarint(data)
	if size <= 0 || ageMs > maxAgeMs {
		return 0, 0, nil, false
	}
	return int64(encodedRevision), time.Duration(ageMs) * time.Millisecond, data[size:], true
}

// ceilMs converts an age to milliseconds. It rounds up, so that the age sent to a peer is never below the actual age.
func ceilMs(age time.Duration) uint64 {
	return uint64(max(age, 0)+time.Millisecond-1) / uint64(time.Millisecond)
}
