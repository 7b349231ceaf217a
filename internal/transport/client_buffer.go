package transport

import "laurelring/internal/protocol"

// takeRequest removes a complete request of the given size from the buffer. It returns the request and the bytes of the
// request memory that it takes, or errOutOfMemory if it is dropped.
func (c *clientConnection) takeRequest(size int) (raw []byte, memory int64, err error) {
	raw, rawSize := c.buffer.Take(size)
	memory = requestOverhead + int64(rawSize)
	bufferBefore := c.bufferMemory
	c.bufferMemory = bufferMemory(c.buffer.Size())
	if !c.server.memory.beginRequest(bufferBefore, c.bufferMemory, memory) {
		return nil, 0, errOutOfMemory
	}
	return raw, memory, nil
}

// bufferMemory returns the bytes of the request memory that a buffer of the given size takes. Each connection has a
// buffer of the smallest size in any case.
func bufferMemory(size int) int64 { return int64(max(0, size-protocol.MinBufferSize)) }

// reserveSpace acquires the memory that the buffer needs for the next bytes. If there is none, the current request is
// skipped, which empties the buffer: only the bytes of a request that has started can make it grow.
func (c *clientConnection) reserveSpace() {
	needed := bufferMemory(c.buffer.NextSize())
	if !c.server.memory.growBuffer(c.bufferMemory, needed) {
		c.shedding = true
		c.scanner.Skip(c.buffer)
		needed = bufferMemory(c.buffer.NextSize()) // not more than before
		c.server.memory.growBuffer(c.bufferMemory, needed)
	}
	c.bufferMemory = needed
}

// releaseBuffer gives up the buffer and its memory. No further request is read.
func (c *clientConnection) releaseBuffer() {
	c.buffer.Release()
	c.server.memory.release(c.bufferMemory)
	c.bufferMemory = 0
}
