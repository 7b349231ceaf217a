package transport

import (
	"sync"

	"laurelring/internal/protocol"
)

const (
	// requestOverhead is the memory in bytes that a request takes in addition to its own bytes until its response is
	// written: its entries in the tables of the session, the router and the balancer.
	requestOverhead = 2 << 10
	// smallRequestSize is the largest request, in bytes, that may use smallRequestShare. Such a request is received
	// without a larger buffer.
	smallRequestSize = protocol.MinBufferSize
	// smallRequestShare is the share of the memory that is kept for small requests, so that clients with large requests do
	// not keep all other clients from being served.
	smallRequestShare = 0.125
)

// requestMemory bounds the memory that client requests take over all connections: the receive buffers beyond
// protocol.MinBufferSize, and the requests whose responses are not written yet. It never makes its caller wait. A
// request for which there is no memory is rejected instead, so that no connection is held up by others.
type requestMemory struct {
	limit    int64 // bytes
	reserved int64 // bytes of the limit that only small requests may take

	mu    sync.Mutex
	inUse int64 // bytes
}

// newRequestMemory returns a bound of limit bytes.
func newRequestMemory(limit int64) *requestMemory {
	return &requestMemory{limit: limit, reserved: int64(smallRequestShare * float64(limit))}
}

// growBuffer changes the memory of a receive buffer from one size in bytes to another. It returns false and changes
// nothing if the buffer would grow beyond the bound.
func (m *requestMemory) growBuffer(from, to int64) bool {
	return m.resize(from, to, m.limit-m.reserved)
}

// beginRequest changes the memory of a receive buffer from one size to another, as a request is taken from it, and adds
// the memory of that request, all in bytes. If there is no memory for the request it returns false, and only the buffer
// is changed, which must not grow.
func (m *requestMemory) beginRequest(bufferFrom, bufferTo, request int64) bool {
	bound := m.limit - m.reserved
	if request <= requestOverhead+smallRequestSize {
		bound = m.limit
	}
	if m.resize(bufferFrom, bufferTo+request, bound) {
		return true
	}
	m.resize(bufferFrom, bufferTo, m.limit)
	return false
}

// release returns memory in bytes.
func (m *requestMemory) release(bytes int64) { m.resize(bytes, 0, m.limit) }

// resize changes the memory of one holder from one size in bytes to another. It returns false and changes nothing if
// more is needed and the use would exceed the bound.
func (m *requestMemory) resize(from, to, bound int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	inUse := m.inUse + to - from
	if to > from && inUse > bound {
		return false
	}
	m.inUse = inUse
	return true
}

// used returns the memory in use in bytes.
func (m *requestMemory) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse
}
