package transport

import (
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"laurelring/internal/protocol"
)

// streamConn is what a client's connection needs of its socket.
type streamConn interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// clientInput says what of a client's bytes has been taken off the socket and not been counted as a request.
type clientInput uint8

const (
	inputEmpty    clientInput = iota // nothing
	inputUnparsed                    // bytes that may hold a whole request
	inputPartial                     // an incomplete request
)

// clientConnection is one connection of a client. It ends in Close, which alone gives its place back.
type clientConnection struct {
	streamConn
	rawConn syscall.RawConn
	server  *ClientServer

	// Only the goroutine that reads the connection touches these.
	buffer       *protocol.Buffer
	scanner      protocol.RequestScanner
	handedOver   bool      // redcon has read handoverCommand
	receivedAt   time.Time // when the last of the bytes read so far came
	partialSince time.Time // since when an incomplete request has been in the buffer; zero if there is none
	framingLost  bool      // no further request can be read

	// mu is held while bytes are read, too: a connection is either read or closed as idle, and what was read is counted in
	// input before closing it is decided.
	mu            sync.Mutex
	pending       int  // requests read and not yet answered
	hasRequested  bool // a request has been read
	input         clientInput
	lastActive    time.Time // when it got its place or a response was written last
	closing       bool      // no further request is accepted
	hasDescriptor bool      // it is within the descriptor limit, not in overflow
	releasePlace  func()    // gives back its descriptor, or its place in overflow
	closeOnce     sync.Once
}

// newClientConnection returns the connection of a client, which has no place yet.
func newClientConnection(conn streamConn, server *ClientServer) (*clientConnection, error) {
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConnection{streamConn: conn, rawConn: rawConn, server: server,
		buffer: protocol.NewBuffer(protocol.MaxRequestSize), lastActive: time.Now()}, nil
}

// connectionScope says which connections may be closed.
type connectionScope uint8

const (
	withinLimit   connectionScope = 1 << iota // those that hold a descriptor of the budget
	overflow                                  // those beyond the descriptor limit
	anyConnection = withinLimit | overflow
)

// includes reports whether a connection with or without a descriptor of the budget may be closed.
func (s connectionScope) includes(hasDescriptor bool) bool {
	if hasDescriptor {
		return s&withinLimit != 0
	}
	return s&overflow != 0
}

// awaitDescriptor reports whether the connection holds a descriptor of the budget. One in overflow takes one if one is free
// or becomes free soon, as connections within the limit that have not sent anything may make room; it does not wait while
// others wait to be accepted.
func (c *clientConnection) awaitDescriptor() bool {
	s := c.server
	if c.takeDescriptor() {
		return true
	}
	retry, limit := time.NewTicker(shortageRetryDelay), time.NewTimer(minIdleBeforeReclaim)
	defer retry.Stop()
	defer limit.Stop()
	for waiting := true; waiting && !s.shortage.ongoing() && s.hasUnusedConnection(); {
		select {
		case <-s.shortage.held():
		case <-limit.C:
			waiting = false
		case <-retry.C:
		}
		if c.takeDescriptor() {
			return true
		}
	}
	return false
}

// takeDescriptor reports whether the connection holds a descriptor of the budget. One in overflow takes one if one is free or
// an idle connection can be closed for it.
func (c *clientConnection) takeDescriptor() bool {
	if c.holdsDescriptor() {
		return true
	}
	quota := c.server.quota
	if !quota.acquire() { // not under the lock of a connection: it may close others
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		quota.release()
		return false
	}
	c.releasePlace()
	c.hasDescriptor, c.releasePlace = true, quota.release
	return true
}

func (c *clientConnection) holdsDescriptor() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasDescriptor
}

// beginRequest counts a request that was read. It returns false once the connection is being closed: no further
// request is accepted then.
func (c *clientConnection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.input = inputEmpty
	if len(c.buffer.Bytes()) > 0 {
		c.input = inputUnparsed
	}
	c.pending++
	c.hasRequested = true
	return true
}

// finishRequest counts a request whose response was written.
func (c *clientConnection) finishRequest() {
	c.mu.Lock()
	c.pending--
	c.lastActive = time.Now()
	hasDescriptor := c.hasDescriptor
	c.mu.Unlock()
	draining := c.server.markActive(c)
	switch {
	case draining:
		c.closeIfIdle(0, anyConnection)
	case hasDescriptor:
	case c.server.shortage.ongoing(): // its place is wanted
		c.closeIfIdle(0, overflow)
	default:
		c.closeIfIdleLater()
	}
}

// closeIfIdleLater closes the connection if it is idle after a while, and the server is draining or the connection
// is in overflow.
func (c *clientConnection) closeIfIdleLater() {
	time.AfterFunc(nextRequestWindow, func() {
		scope := overflow
		if c.server.isDraining() {
			scope = anyConnection
		}
		c.closeIfIdle(nextRequestWindow, scope)
	})
}

// closeIfUnused closes a connection within the limit that has not sent a request for a while since it was accepted.
func (c *clientConnection) closeIfUnused() bool {
	return !c.usedBefore() && c.closeIfIdle(minIdleBeforeReclaim, withinLimit)
}

func (c *clientConnection) usedBefore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRequested
}

// closeIfIdle closes the connection if it is within the scope, has no request waiting and has been idle for at least
// minIdle. One on which bytes wait to be read or have just been read stays, and one on which a request is arriving, unless
// it would be the first one and descriptors are short.
func (c *clientConnection) closeIfIdle(minIdle time.Duration, scope connectionScope) bool {
	draining := c.server.isDraining()
	c.mu.Lock()
	idle := !c.closing && c.pending == 0 && scope.includes(c.hasDescriptor) && time.Since(c.lastActive) >= minIdle
	switch c.input {
	case inputUnparsed:
		idle = false
	case inputPartial:
		idle = idle && !c.hasRequested && !draining
	}
	// A first request, too, may lie in the socket until the session has its turn. Its client would send it again once only.
	idle = idle && !c.hasUnreadBytes()
	c.closing = c.closing || idle
	c.mu.Unlock()
	if !idle {
		return false
	}
	reason := "idle"
	if draining {
		reason = "shutting down"
	}
	slog.Debug("client connection closed", "client", c.RemoteAddr(), "reason", reason)
	c.resetOnClose()
	c.Close()
	return true
}

// hasUnreadBytes reports whether bytes of the client wait to be read.
func (c *clientConnection) hasUnreadBytes() bool {
	n, err := peekByte(c.rawConn)
	return err == nil && n > 0
}

// resetOnClose has the connection end in a reset if the client has acknowledged all responses. A reset proves to a
// client that a request that it sent meanwhile was not read, so that it may send it again; an orderly end behind a
// complete request would not. But no reset may overtake a response.
func (c *clientConnection) resetOnClose() {
	acknowledged := false
	c.rawConn.Control(func(fd uintptr) {
		unsent, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		acknowledged = err == nil && unsent == 0
	})
	if acknowledged {
		c.SetLinger(0)
	}
}

// Close closes the connection and gives its place back, once.
func (c *clientConnection) Close() error {
	c.closeOnce.Do(func() {
		c.server.remove(c)
		c.streamConn.Close()
		c.mu.Lock()
		c.closing = true
		c.releasePlace()
		c.mu.Unlock()
	})
	return nil
}
