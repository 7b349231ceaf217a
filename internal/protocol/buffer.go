// Package protocol holds the state machines of what the gateway speaks: they are fed bytes and know no
// socket. A decoded field goes straight into a call; the words of the wire end here.
package protocol

// Buffer is a connection's one buffer: it grows as it needs, up to a bound, and is compacted in place.
type Buffer struct {
	data     []byte
	from, to int
	most     int
}

const leastRoom = 1 << 10 // what a buffer starts with, and what is left of one that stands empty

// NewBuffer makes a buffer that grows to so many bytes at most.
func NewBuffer(most int) *Buffer { return &Buffer{most: most} }

// Room is where the next bytes are to be read into; it is empty once the buffer is full.
func (b *Buffer) Room() []byte {
	switch {
	case b.from == b.to:
		b.from, b.to = 0, 0
		if len(b.data) != leastRoom {
			b.data = make([]byte, min(leastRoom, b.most))
		}
	case b.to < len(b.data):
	case b.from > 0:
		b.to, b.from = copy(b.data, b.data[b.from:b.to]), 0
	case len(b.data) < b.most:
		grown := make([]byte, min(2*len(b.data), b.most))
		copy(grown, b.data)
		b.data = grown
	}
	return b.data[b.to:]
}

// Add tells how many bytes were read into the room.
func (b *Buffer) Add(n int) { b.to += n }

// Bytes are what was read and not yet dropped; they stand until the next Room.
func (b *Buffer) Bytes() []byte { return b.data[b.from:b.to] }

// Drop lets go of the first bytes.
func (b *Buffer) Drop(n int) { b.from += n }
