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

// maxDecisionAge is how long after the reading of the clock on which it was decided an attempt may go out. A later one was
// decided on a state that is past, as when the process stalled; deadlines and graces allow for a stall this short.
const maxDecisionAge = 150 * time.Millisecond

// maxSendSpan is how long after the last look at the time the first byte of an attempt may go out: graces allow for that.
const maxSendSpan = 150 * time.Millisecond

// endpointConnection is one connection to an endpoint. It ends in close, which alone gives its descriptor back.
type endpointConnection struct {
	pool     *EndpointPool
	address  string
	openedAt monotonic.Time
	conn     *net.TCPConn
	rawConn  syscall.RawConn

	// mu is held while bytes are read, too: what arrived before an attempt began is no part of its response.
	mu        sync.Mutex
	attempt   *Attempt // whose response is awaited
	writing   bool     // the attempt's request is being written
	closed    bool
	unusable  bool      // its end, or bytes that belong to no response, were read: no attempt may begin on it
	idleSince time.Time // guarded by the lock of the pool
}

// sendFirst sends the attempt for which the connection was established, once that has been decided again.
func (c *endpointConnection) sendFirst(attempt *Attempt) {
	attempt.awaitDecision(attempt.request.Deadline - c.pool.clock())
	c.send(attempt, false)
}

// send writes an attempt's request. Until the last byte is written the request can't have run. A reused connection
// that has ended meanwhile, or on which anything has arrived since its last response, is replaced by a new one, as
// long as nothing was written.
func (c *endpointConnection) send(attempt *Attempt, reused bool) {
	if !c.assign(attempt, reused) {
		c.close("ended or received bytes while idle")
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

// errTooLate says that an attempt was decided too long ago, or its time is over, and nothing of it was written.
var errTooLate = errors.New("too late to be sent")

// write writes an attempt's request and returns how many bytes the kernel took. It reports the attempt as sent late where the
// process was held up between the last look at the time and the end of the write: no program can rule that out.
func (c *endpointConnection) write(attempt *Attempt, request []byte) (written int, err error) {
	latestStart := attempt.latestStart()
	var lookedAt, startedAt monotonic.Time
	for written < len(request) {
		n := 0
		waitErr := c.rawConn.Write(func(fd uintptr) (done bool) {
			n, err = retryInterrupted(func() (int, error) {
				// The process may stall at any point, so the system call follows right behind this last look at the time.
				if written == 0 {
					if lookedAt = c.pool.clock(); lookedAt > latestStart {
						return 0, errTooLate
					}
				}
				return unix.Write(int(fd), request[written:])
			})
			return err != unix.EAGAIN
		})
		if written == 0 {
			startedAt = c.pool.clock()
		}
		if err = errors.Join(waitErr, err); err != nil {
			return written, err
		}
		written += n
	}
	if span := startedAt - lookedAt; span > maxSendSpan {
		attempt.request.SentLate(span)
	}
	return written, nil
}

// assign makes an attempt the one whose response is awaited. It returns false if the connection is of no use: it is
// closed, or it was reused and its end or any byte is waiting to be read.
func (c *endpointConnection) assign(attempt *Attempt, reused bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.unusable || reused && !c.isQuiet() {
		return false
	}
	c.attempt, c.writing = attempt, true
	return true
}

// isQuiet reports whether the connection is open and nothing waits to be read.
func (c *endpointConnection) isQuiet() bool {
	_, err := peekByte(c.rawConn)
	return errors.Is(err, unix.EAGAIN)
}

// returnUnused makes the connection of an attempt that was given up before it started available to another.
func (c *endpointConnection) returnUnused() {
	c.mu.Lock()
	c.attempt, c.writing = nil, false
	c.mu.Unlock()
	c.pool.putIdle(c)
}

// resend opens a new connection for an attempt of which nothing was written on a reused one. On a new one the attempt
// has failed.
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

// readResponses reads responses until the connection ends or is of no further use. Nothing may arrive but the response
// to the attempt in flight.
func (c *endpointConnection) readResponses() {
	c.close(c.readUntilUnusable())
}

// readUntilUnusable returns why the connection can't be used any longer.
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

// receive waits for bytes and reads them. It returns the attempt that was in flight at that moment: a second response
// that comes late must not be taken for the response to an attempt that begins as it is read.
func (c *endpointConnection) receive(room []byte) (n int, attempt *Attempt, err error) {
	readErr := c.rawConn.Read(func(fd uintptr) bool {
		c.mu.Lock()
		n, err = retryInterrupted(func() (int, error) { return unix.Read(int(fd), room) })
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

// handleBytes parses what has arrived for an attempt, and reports whether the connection is still of use.
func (c *endpointConnection) handleBytes(attempt *Attempt, buffer *protocol.Buffer, reader *protocol.ResponseReader) bool {
	if attempt == nil {
		c.pool.log.Warn("unexpected bytes from endpoint", "address", c.address)
		return false
	}
	response, complete, err := reader.Next(buffer)
	if err != nil {
		c.pool.log.Warn("malformed response from endpoint", "address", c.address)
		// The request may have run, and the endpoint is there.
		response, complete = protocol.Response{Outcome: decision.OutcomeError}, true
	}
	if !complete {
		return true
	}
	wellFormed := err == nil && len(buffer.Bytes()) == 0
	c.mu.Lock()
	writing := c.writing
	c.attempt = nil
	c.mu.Unlock()
	first := attempt.markFinished() // before the connection serves another attempt
	switch {
	case !wellFormed:
		c.close("malformed response")
	case !writing:
		c.pool.putIdle(c)
	}
	if first {
		attempt.request.Finished(response)
	}
	return wellFormed
}

// close ends the connection and the attempt in flight on it, and gives its descriptor back. The reason is logged.
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
	// While the request is being written, send reports the outcome: it knows whether the last byte went out.
	if attempt != nil && !writing {
		attempt.finish(decision.OutcomeConnectionLost)
	}
}
