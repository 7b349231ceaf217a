package transport

import (
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"laurelring/decision/reclaim"
)

const (
	// requestTimeout is the time within which a request must be complete after its first byte.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout is the longest time between two requests of a connection. Some clients send one request and keep the
	// connection open.
	idleTimeout = 2 * time.Second
	// maxDiscardedBytes is how many bytes are read and dropped after the framing is lost, to detect a disconnect.
	maxDiscardedBytes = 1 << 20
	// discardBufferSize is how many bytes of a skipped request are read at once.
	discardBufferSize = 64 << 10
)

// malformedRequestError says why the input from a client is not a valid request. Its text is sent to the client.
type malformedRequestError string

const (
	errProtocol        malformedRequestError = "Protocol error"
	errRequestTooLarge malformedRequestError = "a command is larger than 64 KiB"
	errRequestTimeout  malformedRequestError = "a command does not end"
	errTooManyRequests malformedRequestError = "too many commands at once"
	errUnknownCommand  malformedRequestError = "unknown command"
)

// Error returns the text for the client.
func (e malformedRequestError) Error() string { return string(e) }

var (
	// errRequestIncomplete means that the buffer does not hold a complete request yet.
	errRequestIncomplete = errors.New("request incomplete")
	// errOutOfMemory means that a complete request was received and dropped, as there is no memory for it.
	errOutOfMemory = errors.New("no memory for the request")
)

// receivedRequest is a complete request with the bytes of the request memory that it takes.
type receivedRequest struct {
	command redcon.Command
	memory  int64
}

// handoverCommand is the command that redcon reads first on each connection. Its handler is detachFromRedcon.
var handoverCommand = []byte("*1\r\n$5\r\nBEGIN\r\n")

// Read gives redcon handoverCommand and then the end of the stream, as the connection's session reads the socket
// itself. redcon thus releases its own buffers at once, which it would otherwise keep at their largest size while a
// connection is open.
func (c *clientConnection) Read(p []byte) (int, error) {
	if c.handedOver {
		return 0, io.EOF
	}
	c.handedOver = true
	return copy(p, handoverCommand), nil
}

// readRequest waits for the next request. A malformedRequestError says what is wrong with the input received instead of
// a request, and errOutOfMemory that a request was dropped. Any other error means that the connection was closed by the
// client or by the gateway. The caller releases the memory of the request.
func (c *clientConnection) readRequest() (receivedRequest, error) {
	for {
		request, err := c.parseBuffered()
		if errors.Is(err, errRequestIncomplete) {
			if c.setReadDeadline() {
				if err := c.receive(); err != nil {
					return receivedRequest{}, err
				}
				continue
			}
			c.framingLost, err = true, errRequestTimeout
		}
		if !c.beginRequest() { // the request arrived while the connection was being closed
			c.server.memory.release(request.memory)
			return receivedRequest{}, io.EOF
		}
		return request, err
	}
}

// parseBuffered removes the next complete request from the buffer and returns it. It returns
// errRequestIncomplete if the buffer holds none.
func (c *clientConnection) parseBuffered() (receivedRequest, error) {
	size, skipped, err := c.scanner.Next(c.buffer)
	switch {
	case err != nil:
		c.framingLost = true
		return receivedRequest{}, errProtocol
	case skipped && c.shedding:
		c.shedding = false
		return receivedRequest{}, errOutOfMemory
	case skipped:
		return receivedRequest{}, errRequestTooLarge
	case size == 0:
		return receivedRequest{}, errRequestIncomplete
	}
	raw, memory, err := c.takeRequest(size)
	if err != nil {
		return receivedRequest{}, err
	}
	command, err := redcon.Parse(raw)
	if err != nil {
		c.framingLost = true
		c.server.memory.release(memory)
		return receivedRequest{}, errProtocol
	}
	return receivedRequest{command, memory}, nil
}

// discardBuffers holds memory into which bytes of skipped requests are read. Their content is not used.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// receive waits for bytes and reads them into the buffer, or drops them if they belong to a request that is skipped.
// Reaching the read deadline before any arrive is not an error. A connection on which bytes always wait lets other
// goroutines run before each read: without a wait it would otherwise be preempted only after 10 ms, and a hundred of
// such connections would hold up all others for a second.
func (c *clientConnection) receive() error {
	if c.readWithoutWait {
		runtime.Gosched()
	}
	c.reserveSpace()
	space, n := c.buffer.Space(), 0
	toSkip := c.scanner.BytesToSkip()
	skipping := toSkip > len(space)
	c.readWithoutWait = true
	var err error
	waitErr := c.rawConn.Read(func(fd uintptr) (done bool) {
		if skipping {
			n, err = c.discardFromSocket(fd, toSkip)
		} else {
			n, err = c.readSocket(fd, space)
		}
		notReady := err == unix.EAGAIN
		c.readWithoutWait = c.readWithoutWait && !notReady
		return !notReady
	})
	switch {
	case isTimeout(waitErr):
		return nil
	case waitErr != nil:
		return waitErr
	case err != nil:
		return err
	case n == 0:
		return io.EOF
	}
	if skipping {
		c.scanner.SkippedOutside(n)
	} else {
		c.buffer.Commit(n)
	}
	return nil
}

// discardFromSocket reads at most limit bytes from the socket and drops them.
func (c *clientConnection) discardFromSocket(fd uintptr, limit int) (n int, err error) {
	discarded := discardBuffers.Get().(*[discardBufferSize]byte)
	defer discardBuffers.Put(discarded)
	return c.readSocket(fd, discarded[:min(limit, discardBufferSize)])
}

// readSocket reads bytes from the socket while it holds mu, as closeIfIdle does to decide whether to close. Once the
// connection is being closed it reads none, so that the reset tells the client that they were not read.
func (c *clientConnection) readSocket(fd uintptr, space []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	n, err = retryInterrupted(func() (int, error) { return unix.Read(int(fd), space) })
	if n > 0 {
		c.input = inputUnparsed
		now := time.Now()
		c.receivedAt = now.Add(-timeSinceLastData(fd))
		c.recordFirstBytes(now)
	}
	return n, err
}

// recordFirstBytes records how long the client took until its first bytes, unless they had arrived before the connection
// was accepted: it is not known then. The caller holds mu.
func (c *clientConnection) recordFirstBytes(now time.Time) {
	if c.silentAtStart {
		c.silentAtStart = false
		c.server.firstRequests.record(c.receivedAt.Sub(c.lastActive), now)
	}
}

// setReadDeadline sets the deadline for the next bytes. An incomplete request must be complete within requestTimeout of
// its first byte, the first request must begin within reclaim.FirstRequestTimeout of the connection's start, and a
// further request within idleTimeout. A connection that stays idle for longer is closed here, unless keepsResting says
// that it is kept. It returns false if an incomplete request has timed out.
func (c *clientConnection) setReadDeadline() bool {
	now := time.Now()
	if len(c.buffer.Bytes()) > 0 || c.scanner.Started() {
		return c.setPartialDeadline(now)
	}
	c.mu.Lock()
	c.input = inputEmpty
	timeout, idleSince := idleTimeout, c.lastActive
	if !c.hasRequested {
		timeout = reclaim.FirstRequestTimeout
	}
	if c.pending > 0 {
		idleSince = now
	}
	c.mu.Unlock()
	deadline := idleSince.Add(timeout)
	if !now.Before(deadline) {
		if !c.server.keepsResting(c) {
			c.closeIfIdle(timeout, anyConnection)
		}
		deadline = now.Add(timeout)
	}
	c.SetReadDeadline(deadline)
	return true
}

// setPartialDeadline sets the read deadline for the rest of an incomplete request, and returns false once it has
// passed.
func (c *clientConnection) setPartialDeadline(now time.Time) bool {
	c.mu.Lock()
	if c.partialSince.IsZero() {
		c.partialSince = now
	}
	c.input = inputPartial
	deadline := c.partialSince.Add(requestTimeout)
	c.mu.Unlock()
	c.SetReadDeadline(deadline)
	return now.Before(deadline)
}

// discardResult says how the discarding of input ended.
type discardResult uint8

const (
	closedByClient discardResult = iota
	closedByGateway
	stillSending // the client sent maxDiscardedBytes and has not closed the connection
)

// awaitDisconnect discards the input after the framing is lost, until the connection is closed or the client has sent
// maxDiscardedBytes.
func (c *clientConnection) awaitDisconnect() discardResult {
	c.SetReadDeadline(time.Time{})
	n, err := io.CopyN(io.Discard, c.streamConn, maxDiscardedBytes)
	switch {
	case n == maxDiscardedBytes:
		return stillSending
	case errors.Is(err, net.ErrClosed):
		return closedByGateway
	}
	return closedByClient
}

// isTimeout reports whether err means that a read reached its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
