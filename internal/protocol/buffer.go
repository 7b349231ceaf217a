// Package protocol translates between bytes and typed messages: RESP requests and responses, endpoint lists, the rollout
// controller's JSON lines, datagrams between gateways, settings and configuration. Its state machines are fed bytes and
// know no sockets.
package protocol

// Buffer is the read buffer of a connection: it grows as needed up to a limit, and is compacted in place.
type Buffer struct {
	data       []byte
	start, end int // of the bytes read and not yet discarded
	maxSize    int
}

// minBufferSize is the size that a buffer starts with, and the one it shrinks to when it is empty.
const minBufferSize = 1 << 10

// NewBuffer returns an empty buffer that grows to maxSize bytes at most.
func NewBuffer(maxSize int) *Buffer { return &Buffer{maxSize: maxSize} }

// Space returns where the next bytes are to be read into; it is empty once the buffer is full.
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

// Commit appends the n bytes that were read into Space.
func (b *Buffer) Commit(n int) { b.end += n }

// Bytes returns what was read and not yet discarded. It is valid until the next call of Space.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Discard removes the first n bytes.
func (b *Buffer) Discard(n int) { b.start += n }
