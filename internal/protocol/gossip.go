package protocol

import (
	"encoding/binary"
	"time"

	"laurelring/decision/gossip"
)

const (
	gossipQueryTag = 3
	gossipViewTag  = 4

	maxViewHeaderSize = 1 + 2*binary.MaxVarintLen64 + 2 // the longest: mark, revision, age, part and parts
	incarnationSize   = 4
)

// ViewEach is how many incarnations one datagram of a view holds.
const MaxIncarnationsPerView = (MaxDatagramSize - maxViewHeaderSize) / incarnationSize

// PackQuery lays out a query for peers.
func EncodeGossipQuery(q gossip.Query) []byte {
	b := binary.AppendUvarint([]byte{gossipQueryTag}, uint64(q.Revision))
	return binary.AppendUvarint(b, ceilMs(q.Age))
}

// UnpackQuery reads such a message and tells whether it is one.
func DecodeGossipQuery(text []byte) (gossip.Query, bool) {
	if len(text) == 0 || text[0] != gossipQueryTag {
		return gossip.Query{}, false
	}
	revision, age, rest, ok := revisionAndAge(text[1:])
	return gossip.Query{Revision: revision, Age: age}, ok && len(rest) == 0
}

// PackView lays out a part of a view for peers.
func EncodeGossipView(v gossip.View) []byte {
	b := binary.AppendUvarint([]byte{gossipViewTag}, uint64(v.Revision))
	b = binary.AppendUvarint(b, ceilMs(v.Age))
	b = append(b, uint8(v.Part), uint8(v.Parts))
	for _, one := range v.Ready {
		b = binary.LittleEndian.AppendUint32(b, one)
	}
	return b
}

// UnpackView reads such a message and tells whether it is one.
func DecodeGossipView(text []byte) (gossip.View, bool) {
	if len(text) == 0 || text[0] != gossipViewTag {
		return gossip.View{}, false
	}
	revision, age, rest, ok := revisionAndAge(text[1:])
	if !ok || len(rest) < 2 || (len(rest)-2)%incarnationSize != 0 {
		return gossip.View{}, false
	}
	v := gossip.View{Revision: revision, Age: age, Part: int(rest[0]), Parts: int(rest[1])}
	for rest = rest[2:]; len(rest) > 0; rest = rest[incarnationSize:] {
		v.Ready = append(v.Ready, binary.LittleEndian.Uint32(rest))
	}
	return v, true
}

func revisionAndAge(text []byte) (revision int64, age time.Duration, rest []byte, ok bool) {
	r, used := binary.Uvarint(text)
	if used <= 0 || r > 1<<62 {
		return 0, 0, nil, false
	}
	text = text[used:]
	a, used := binary.Uvarint(text)
	if used <= 0 || a > uint64(1<<62/time.Millisecond) {
		return 0, 0, nil, false
	}
	return int64(r), time.Duration(a) * time.Millisecond, text[used:], true
}

func ceilMs(ns time.Duration) uint64 {
	return uint64(max(ns, 0)+time.Millisecond-1) / uint64(time.Millisecond)
}
