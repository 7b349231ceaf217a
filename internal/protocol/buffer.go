// Package protocol converts between bytes and typed messages: RESP requests and responses, endpoint lists, the rollout
// controller's JSON lines, datagrams between gateways, settings and configuration. Its state machines are passed bytes
// and do not use sockets.
package protocol

import "bytes"

// Buffer is the read buffer of a connection. It grows as needed up to a maximum size, and is compacted in place.
type Buffer struct {
	data       []byte
	start, end int // range in data of the bytes read and not yet discarded
	maxSize    int
}

// MinBufferSize is the initial size of a buffer in bytes. An empty buffer shrinks back to it.
const MinBufferSize = 1 << 10

// NewBuffer returns an empty buffer that grows to at most maxSize bytes.
func NewBuffer(maxSize int) *Buffer { return &Buffer{maxSize: maxSize} }

// Space returns the free space of the buffer, into which the caller reads the next bytes. It is empty if the buffer is
// full.
func (b *Buffer) Space() []byte {
	size := b.NextSize()
	switch {
	case b.start == b.end:
		b.start, b.end = 0, 0
		if len(b.data) != size {
			b.data = make([]byte, size)
		}
	case b.end < len(b.data):
	case b.start > 0:
		b.end, b.start = copy(b.data, b.data[b.start:b.end]), 0
	case len(b.data) < size:
		grown := make([]byte, size)
		copy(grown, b.data)
		b.data = grown
	}
	return b.data[b.end:]
}

// NextSize returns the size in bytes that the buffer will have after the next call of Space.
func (b *Buffer) NextSize() int {
	switch {
	case b.start == b.end:
		return min(MinBufferSize, b.maxSize)
	case b.end < len(b.data) || b.start > 0:
		return len(b.data)
	default:
		return min(2*len(b.data), b.maxSize)
	}
}

// Size returns the size of the buffer in bytes.
func (b *Buffer) Size() int { return len(b.data) }

// Commit marks the first n bytes of Space as read.
func (b *Buffer) Commit(n int) { b.end += n }

// Bytes returns the bytes read and not yet discarded. The slice is valid until the next call of Space.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Take removes the first n of the bytes that Bytes returns and returns them, together with the size of the memory block
// that holds them, in bytes. It does not copy them if they fill more than half of a grown buffer: the caller gets the
// buffer's memory, and the rest moves to a new one.
func (b *Buffer) Take(n int) (taken []byte, size int) {
	if len(b.data) <= MinBufferSize || n <= len(b.data)/2 {
		taken = bytes.Clone(b.Bytes()[:n])
		b.Discard(n)
		return taken, n
	}
	taken, size = b.Bytes()[:n:n], len(b.data)
	rest := b.Bytes()[n:]
	restSize := min(MinBufferSize, b.maxSize)
	for restSize < len(rest) {
		restSize *= 2
	}
	b.data = make([]byte, restSize)
	b.start, b.end = 0, copy(b.data, rest)
	return taken, size
}

// Release empties the buffer and gives up its memory.
func (b *Buffer) Release() { b.data, b.start, b.end = nil, 0, 0 }

// Discard removes the first n of the bytes that Bytes returns.
func (b *Buffer) Discard(n int) { b.start += n }
