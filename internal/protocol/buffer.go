// Package protocol converts between bytes and typed messages: RESP requests and responses, endpoint lists, the rollout
// controller's JSON lines, datagrams between gateways, settings and configuration. Its state machines are passed bytes
// and do not use sockets.
package protocol

// Buffer is the read buffer of a connection. It grows as needed up to a maximum size, and is compacted in place.
type Buffer struct {
	data       []byte
	start, end int // range in data of the bytes read and not yet discarded
	maxSize    int
}

// minBufferSize is the initial size of a buffer. An empty buffer shrinks back to it.
const minBufferSize = 1 << 10

// NewBuffer returns an empty buffer that grows to at most maxSize bytes.
func NewBuffer(maxSize int) *Buffer { return &Buffer{maxSize: maxSize} }

// Space returns the free space of the buffer, into which the caller reads the next bytes. It is empty if the buffer is
// full.
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

// Commit marks the first n bytes of Space as read.
func (b *Buffer) Commit(n int) { b.end += n }

// Bytes returns the bytes read and not yet discarded. The slice is valid until the next call of Space.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Discard removes the first n of the bytes that Bytes returns.
func (b *Buffer) Discard(n int) { b.start += n }
