// Package protocol holds the state machines of what the gateway speaks: they are fed bytes and know no
// socket. A decoded field goes straight into a call; the words of the wire end here.
package protocol

// Buffer is a connection's one buffer: it grows as it needs, up to a bound, and is compacted in place.
type Buffer struct {
	data       []byte
	start, end int
	maxSize    int
}

const minBufferSize = 1 << 10 // what a buffer starts with, and what is left of one that stands empty

// NewBuffer makes a buffer that grows to so many bytes at most.
func NewBuffer(most int) *Buffer { return &Buffer{maxSize: most} }

// Room is where the next bytes are to be read into; it is empty once the buffer is full.
func (b *Buffer) Space() []byte {
	switch {
	case b.start == b.end:
		b.start, b.end = 0, 0
		if len(b.data) != minBufferSize {
			b.data = make([]byte, min(minBufferSize, b.maxSize))
		}
	case b.end < len(b.data):
	case b.start > 0:
		b.end, b.start = copy(b.data, b.data[b.start:b.end]), 0
	case len(b.data) < b.maxSize:
		grown := make([]byte, min(2*len(b.data), b.maxSize))
		copy(grown, b.data)
		b.data = grown
	}
	return b.data[b.end:]
}

// Add tells how many bytes were read into the room.
func (b *Buffer) Commit(n int) { b.end += n }

// Bytes are what was read and not yet dropped; they stand until the next Room.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Drop lets go of the first bytes.
func (b *Buffer) Discard(n int) { b.start += n }
