package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"
)

const (
	// requestTimeout is the time until a connection has sent its first complete request, and until any request is
	// complete from its first byte on.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout is the time between two requests of a connection: some clients send one and stay.
	idleTimeout = 2 * time.Second
	// maxDiscardedBytes are read and dropped once the framing is lost, to see the client disconnect.
	maxDiscardedBytes = 1 << 20
)

// malformedRequestError says why what a client sent is not a request. The text reaches the client.
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

// errRequestIncomplete says that the buffer does not hold a complete request yet.
var errRequestIncomplete = errors.New("request incomplete")

// handoverCommand is what redcon reads first on each connection: its handler is takeOver.
var handoverCommand = []byte("*1\r\n$5\r\nBEGIN\r\n")

// Read gives redcon handoverCommand and nothing behind it: the connection's session reads the socket by itself.
// redcon so lets go of its own buffers at once, which it would keep at their largest size while a connection is open.
func (c *clientConnection) Read(p []byte) (int, error) {
	if c.handedOver {
		return 0, io.EOF
	}
	c.handedOver = true
	return copy(p, handoverCommand), nil
}

// readRequest waits for the next request. A malformedRequestError says what is wrong with what came in its place;
// any other error, that the connection was closed by the client or by the gateway.
func (c *clientConnection) readRequest() (redcon.Command, error) {
	for {
		command, err := c.parseBuffered()
		if errors.Is(err, errRequestIncomplete) {
			if c.setReadDeadline() {
				if err := c.receive(); err != nil {
					return redcon.Command{}, err
				}
				continue
			}
			c.framingLost, err = true, errRequestTimeout
		}
		c.partialSince = time.Time{}
		if !c.beginRequest() { // it arrived while the connection was being closed
			return redcon.Command{}, io.EOF
		}
		return command, err
	}
}

// parseBuffered takes the next complete request off the buffer.
func (c *clientConnection) parseBuffered() (redcon.Command, error) {
	size, tooLarge, err := c.scanner.Next(c.buffer)
	switch {
	case err != nil:
		c.framingLost = true
		return redcon.Command{}, errProtocol
	case tooLarge:
		return redcon.Command{}, errRequestTooLarge
	case size == 0:
		return redcon.Command{}, errRequestIncomplete
	}
	raw := bytes.Clone(c.buffer.Bytes()[:size])
	c.buffer.Discard(size)
	command, err := redcon.Parse(raw)
	if err != nil {
		c.framingLost = true
		return command, errProtocol
	}
	return command, nil
}

// receive reads what has arrived into the buffer, or waits until the read deadline, which is no error.
func (c *clientConnection) receive() error {
	room, n := c.buffer.Space(), 0
	var err error
	waitErr := c.rawConn.Read(func(fd uintptr) (done bool) {
		n, err = c.readSocket(fd, room)
		return err != unix.EAGAIN
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
	c.buffer.Commit(n)
	return nil
}

// readSocket takes bytes off the socket under the lock under which closing is decided. Once the connection is being closed
// none are taken: the reset that ends it then tells the client that they were not read.
func (c *clientConnection) readSocket(fd uintptr, room []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	n, err = retryInterrupted(func() (int, error) { return unix.Read(int(fd), room) })
	if n > 0 {
		c.input = inputUnparsed
		c.receivedAt = time.Now().Add(-sinceLastData(fd))
	}
	return n, err
}

// setReadDeadline sets until when the next bytes are waited for: an incomplete request is complete after
// requestTimeout, and so is the first one; another begins within idleTimeout. A connection that stays idle for longer
// is closed here. It returns false if an incomplete request has timed out.
func (c *clientConnection) setReadDeadline() bool {
	now := time.Now()
	if len(c.buffer.Bytes()) > 0 || c.scanner.Started() {
		return c.setPartialDeadline(now)
	}
	c.mu.Lock()
	c.input = inputEmpty
	timeout, idleSince := idleTimeout, c.lastActive
	if !c.hasRequested {
		timeout = requestTimeout
	}
	if c.pending > 0 {
		idleSince = now
	}
	c.mu.Unlock()
	deadline := idleSince.Add(timeout)
	if !now.Before(deadline) {
		c.closeIfIdle(timeout, anyConnection)
		deadline = now.Add(timeout)
	}
	c.SetReadDeadline(deadline)
	return true
}

// setPartialDeadline sets until when an incomplete request is waited for, and returns false once that has passed.
func (c *clientConnection) setPartialDeadline(now time.Time) bool {
	if c.partialSince.IsZero() {
		c.partialSince = now
	}
	c.mu.Lock()
	c.input = inputPartial
	c.mu.Unlock()
	deadline := c.partialSince.Add(requestTimeout)
	c.SetReadDeadline(deadline)
	return now.Before(deadline)
}

// awaitDisconnect discards what arrives once the framing is lost, and reports whether the client closed the
// connection, rather than the gateway or nobody.
func (c *clientConnection) awaitDisconnect() bool {
	c.SetReadDeadline(time.Time{})
	n, err := io.CopyN(io.Discard, c.streamConn, maxDiscardedBytes)
	return n < maxDiscardedBytes && !errors.Is(err, net.ErrClosed)
}

// isTimeout reports whether a read ended at its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
