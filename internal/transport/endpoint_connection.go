package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// maxDecisionAge is the maximum time between the clock reading at which an attempt was decided and its first byte. A
// later attempt would rest on outdated state, for example after the process stalled. Deadlines and grace periods allow
// for a stall of this length.
const maxDecisionAge = 150 * time.Millisecond

// maxSendDelay is the maximum time between the last clock reading before the first byte of an attempt and its write.
// Grace periods allow for this delay. An attempt that exceeds it is reported as sent late.
const maxSendDelay = 150 * time.Millisecond

// endpointConnection is one connection to an endpoint. Only close ends it and releases its descriptor.
type endpointConnection struct {
	pool     *EndpointPool
	address  string
	openedAt monotonic.Time
	conn     *net.TCPConn
	rawConn  syscall.RawConn

	// mu is also held while bytes are read, so that bytes that arrived before an attempt began are not taken for part of
	// its response.
	mu        sync.Mutex
	attempt   *Attempt // the attempt whose response is awaited, nil if there is none
	writing   bool     // the attempt's request is being written
	closed    bool
	unusable  bool      // end of stream or bytes outside a response were read; no attempt may begin on the connection
	idleSince time.Time // guarded by the pool's lock
}

// sendFirst waits until the attempt for which the connection was established has been decided again, and sends it.
func (c *endpointConnection) sendFirst(attempt *Attempt) {
	attempt.awaitDecision(attempt.request.Deadline - c.pool.clock())
	c.send(attempt, false)
}

// send writes an attempt's request. Until the last byte is written the request cannot have run. As long as nothing was
// written, a reused connection is replaced by a new one if it has ended, or if anything has arrived on it since its
// last response.
func (c *endpointConnection) send(attempt *Attempt, reused bool) {
	if !c.assign(attempt, reused) {
		c.close("connection ended or bytes arrived while idle")
		c.resend(attempt, reused)
		return
	}
	c.conn.SetReadDeadline(time.Time{})
	request := attempt.request.Encode(attempt.request.Deadline - c.pool.clock())
	if !attempt.markStarted(c) {
		c.returnUnused()
		return
	}
	written, err := c.write(attempt, request)
	if errors.Is(err, errTooLate) {
		if attempt.markNotStarted() {
			attempt.finish(decision.OutcomeNotSent)
		}
		c.returnUnused()
		return
	}
	c.mu.Lock()
	c.writing = false
	closed, answered := c.closed, c.attempt == nil
	c.mu.Unlock()
	switch {
	case err != nil && written == 0:
		c.close(err.Error())
		c.resend(attempt, reused)
	case err != nil:
		attempt.finish(decision.OutcomeConnectFailed)
		c.close(err.Error())
	case closed:
		attempt.finish(decision.OutcomeConnectionLost)
	case answered: // before the write returned
		c.pool.putIdle(c)
	}
}

// errTooLate is returned by write if an attempt was decided too long ago or its deadline has passed. Nothing was
// written then.
var errTooLate = errors.New("attempt not sent: its decision is too old or its deadline has passed")

// write writes an attempt's request and returns the number of bytes that the kernel accepted. It reports the attempt as
// sent late if the process was delayed between the last clock reading before the first write and the end of that write,
// which no program can rule out.
func (c *endpointConnection) write(attempt *Attempt, request []byte) (written int, err error) {
	latestStart := attempt.latestStart()
	var checkedAt, writtenAt monotonic.Time
	for written < len(request) {
		n := 0
		waitErr := c.rawConn.Write(func(fd uintptr) (done bool) {
			n, err = retryInterrupted(func() (int, error) {
				// The process may stall at any point, so the system call directly follows this last reading of the clock.
				if written == 0 {
					if checkedAt = c.pool.clock(); checkedAt > latestStart {
						return 0, errTooLate
					}
				}
				return unix.Write(int(fd), request[written:])
			})
			return err != unix.EAGAIN
		})
		if written == 0 {
			writtenAt = c.pool.clock()
		}
		if err = errors.Join(waitErr, err); err != nil {
			return written, err
		}
		written += n
	}
	if delay := writtenAt - checkedAt; delay > maxSendDelay {
		attempt.request.SentLate(delay)
	}
	return written, nil
}

// assign makes the attempt the one whose response is awaited. It returns false if the connection cannot be used: it is
// closed, its reader has marked it unusable, or it is reused and end of stream or any byte is waiting to be read.
func (c *endpointConnection) assign(attempt *Attempt, reused bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.unusable || reused && !c.hasNoInput() {
		return false
	}
	c.attempt, c.writing = attempt, true
	return true
}

// hasNoInput reports whether the connection is open and has nothing to read.
func (c *endpointConnection) hasNoInput() bool {
	_, err := peekByte(c.rawConn)
	return errors.Is(err, unix.EAGAIN)
}

// returnUnused makes the connection available to other attempts after its attempt ended before any byte was written.
func (c *endpointConnection) returnUnused() {
	c.mu.Lock()
	c.attempt, c.writing = nil, false
	c.mu.Unlock()
	c.pool.putIdle(c)
}

// resend sends an attempt on a new connection after nothing of it was written on a reused one. If the connection was
// not reused, the attempt fails.
func (c *endpointConnection) resend(attempt *Attempt, reused bool) {
	if !attempt.markNotStarted() {
		return
	}
	if reused {
		c.pool.connect(c.address, attempt)
	} else {
		attempt.finish(decision.OutcomeConnectFailed)
	}
}

// readResponses reads responses until the connection ends or becomes unusable, and closes it. Only the response to the
// attempt in flight may arrive.
func (c *endpointConnection) readResponses() {
	c.close(c.readUntilUnusable())
}

// readUntilUnusable reads responses until the connection cannot be used any longer, and returns the reason.
func (c *endpointConnection) readUntilUnusable() (reason string) {
	buffer, reader := protocol.NewBuffer(protocol.MaxResponseSize), protocol.ResponseReader{}
	for {
		n, attempt, err := c.receive(buffer.Space())
		buffer.Commit(n)
		if n > 0 && !c.handleBytes(attempt, buffer, &reader) {
			return "unexpected bytes"
		}
		if isTimeout(err) {
			if c.pool.expireIdle(c) {
				return "idle"
			}
		} else if err != nil {
			return err.Error()
		}
	}
}

// receive waits for bytes and reads them. It returns the attempt that was in flight when they were read, so that a late
// second response is not taken for the response to an attempt that begins at the same time.
func (c *endpointConnection) receive(buffer []byte) (n int, attempt *Attempt, err error) {
	readErr := c.rawConn.Read(func(fd uintptr) bool {
		c.mu.Lock()
		n, err = retryInterrupted(func() (int, error) { return unix.Read(int(fd), buffer) })
		notReady := err == unix.EAGAIN
		attempt = c.attempt
		c.unusable = c.unusable || attempt == nil && !notReady
		c.mu.Unlock()
		return !notReady
	})
	switch {
	case readErr != nil:
		return 0, nil, readErr
	case err != nil:
		return 0, nil, err
	case n == 0:
		return 0, nil, io.EOF
	}
	return n, attempt, nil
}

// handleBytes parses the bytes that have arrived for an attempt, and reports whether the connection is still usable.
func (c *endpointConnection) handleBytes(attempt *Attempt, buffer *protocol.Buffer, reader *protocol.ResponseReader) bool {
	if attempt == nil {
		c.pool.log.Warn("unexpected bytes from endpoint", "address", c.address)
		return false
	}
	response, complete, err := reader.Next(buffer)
	if err != nil {
		c.pool.log.Warn("malformed response from endpoint", "address", c.address)
		// The request may have run, and the endpoint is reachable.
		response, complete = protocol.Response{Outcome: decision.OutcomeError, Malformed: true}, true
	}
	if !complete {
		return true
	}
	wellFormed := err == nil && len(buffer.Bytes()) == 0
	c.mu.Lock()
	writing := c.writing
	c.attempt = nil
	c.mu.Unlock()
	wasPending := attempt.markFinished() // before the connection is made available to another attempt
	switch {
	case !wellFormed:
		c.close("malformed response")
	case !writing:
		c.pool.putIdle(c)
	}
	if wasPending {
		attempt.request.Finished(response)
	}
	return wellFormed
}

// close closes the connection, ends the attempt in flight on it, and releases its descriptor. The reason is logged.
func (c *endpointConnection) close(reason string) {
	c.mu.Lock()
	wasClosed, attempt, writing := c.closed, c.attempt, c.writing
	c.closed = true
	c.mu.Unlock()
	if wasClosed {
		return
	}
	slog.Debug("endpoint connection closed", "address", c.address, "reason", reason)
	c.pool.forgetIdle(c)
	c.conn.Close()
	c.pool.quota.release()
	// While the request is being written, send reports the outcome, as it knows whether the last byte was written.
	if attempt != nil && !writing {
		attempt.finish(decision.OutcomeConnectionLost)
	}
}
