package protocol

import (
	"encoding/binary"
	"time"

	"laurelring/decision/gossip"
)

const (
	queryMark = 3
	viewMark  = 4

	viewHead   = 1 + 2*binary.MaxVarintLen64 + 2 // the longest: mark, revision, age, part and parts
	numberSize = 4
)

// ViewEach is how many incarnations one datagram of a view holds.
const ViewEach = (DatagramMost - viewHead) / numberSize

// PackQuery lays out a query for peers.
func PackQuery(q gossip.Query) []byte {
	b := binary.AppendUvarint([]byte{queryMark}, uint64(q.Revision))
	return binary.AppendUvarint(b, toMs(q.Age))
}

// UnpackQuery reads such a message and tells whether it is one.
func UnpackQuery(text []byte) (gossip.Query, bool) {
	if len(text) == 0 || text[0] != queryMark {
		return gossip.Query{}, false
	}
	revision, age, rest, ok := revisionAndAge(text[1:])
	return gossip.Query{Revision: revision, Age: age}, ok && len(rest) == 0
}

// PackView lays out a part of a view for peers.
func PackView(v gossip.View) []byte {
	b := binary.AppendUvarint([]byte{viewMark}, uint64(v.Revision))
	b = binary.AppendUvarint(b, toMs(v.Age))
	b = append(b, uint8(v.Part), uint8(v.Parts))
	for _, one := range v.Ready {
		b = binary.LittleEndian.AppendUint32(b, one)
	}
	return b
}

// UnpackView reads such a message and tells whether it is one.
func UnpackView(text []byte) (gossip.View, bool) {
	if len(text) == 0 || text[0] != viewMark {
		return gossip.View{}, false
	}
	revision, age, rest, ok := revisionAndAge(text[1:])
	if !ok || len(rest) < 2 || (len(rest)-2)%numberSize != 0 {
		return gossip.View{}, false
	}
	v := gossip.View{Revision: revision, Age: age, Part: int(rest[0]), Parts: int(rest[1])}
	for rest = rest[2:]; len(rest) > 0; rest = rest[numberSize:] {
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

func toMs(ns time.Duration) uint64 {
	return uint64(max(ns, 0)+time.Millisecond-1) / uint64(time.Millisecond)
}
