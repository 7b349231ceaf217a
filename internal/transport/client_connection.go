package transport

import (
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"laurelring/decision/reclaim"
	"laurelring/internal/protocol"
)

// streamConn is the interface to the socket of a client connection.
type streamConn interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// inputState describes the bytes that have been read from the socket and not yet been counted as a request.
type inputState uint8

const (
	inputEmpty    inputState = iota // no bytes
	inputUnparsed                   // bytes that may hold a complete request
	inputPartial                    // an incomplete request
)

// clientConnection is one connection of a client. Every connection is ended by Close, which alone releases its last
// slot.
type clientConnection struct {
	streamConn
	rawConn syscall.RawConn
	server  *ClientServer

	// The fields of this group are used only by the goroutine that reads the connection.
	buffer          *protocol.Buffer
	bufferMemory    int64 // bytes of the request memory that the buffer takes
	scanner         protocol.RequestScanner
	shedding        bool // the current request is skipped for lack of memory
	readWithoutWait bool // the latest bytes were read without waiting for them
	handedOver      bool // redcon has read handoverCommand
	framingLost     bool // no further request is read

	// mu is also held while bytes are read from the socket. Reading a connection and closing it as idle thus exclude
	// each other, and input accounts for all bytes read before it is decided whether to close the connection.
	mu            sync.Mutex
	receivedAt    time.Time // when the last of the bytes read so far arrived
	partialSince  time.Time // since when the buffer has held an incomplete request; zero if it holds none
	pending       int       // requests read whose responses are not written yet
	silentAtStart bool      // nothing had arrived when the connection was accepted
	hasRequested  bool      // a request has been read
	answered      bool      // the response to a request in order has been written
	misbehaving   bool      // see reclaim.Connection
	input         inputState
	lastActive    time.Time // when the connection was established, its first bytes arrived or a response was last written
	closing       bool      // no further request is accepted
	hasDescriptor bool      // the connection is within the descriptor limit, not in overflow
	releaseSlot   func()    // releases the descriptor or the overflow slot of the connection
	closeOnce     sync.Once
}

// newClientConnection returns a client connection that has no slot yet.
func newClientConnection(conn streamConn, server *ClientServer) (*clientConnection, error) {
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var waited time.Duration // since the connection was established or its first bytes arrived
	if err := rawConn.Control(func(fd uintptr) { waited = timeSinceLastData(fd) }); err != nil {
		return nil, err
	}
	c := &clientConnection{streamConn: conn, rawConn: rawConn, server: server,
		buffer: protocol.NewBuffer(protocol.MaxRequestSize), lastActive: time.Now().Add(-waited)}
	c.silentAtStart = !c.hasUnreadBytes()
	return c, nil
}

// connectionScope selects the connections that may be closed.
type connectionScope uint8

const (
	withinLimit   connectionScope = 1 << iota // connections that hold a descriptor of the budget
	overflow                                  // connections beyond the descriptor limit
	anyConnection = withinLimit | overflow
)

// includes reports whether the scope includes connections that hold a descriptor of the budget, or that hold none.
func (s connectionScope) includes(hasDescriptor bool) bool {
	if hasDescriptor {
		return s&withinLimit != 0
	}
	return s&overflow != 0
}

// awaitDescriptor reports whether the connection holds a descriptor of the budget. A connection in overflow takes a
// descriptor that is free or becomes free within reclaim.MinIdle, as connections within the limit that have not
// sent a request may make room. It does not wait while other connections wait to be accepted. It returns false if the
// client has left meanwhile.
func (c *clientConnection) awaitDescriptor() bool {
	s := c.server
	if c.acquireDescriptor() {
		return true
	}
	retry, limit := time.NewTicker(shortageRetryDelay), time.NewTimer(reclaim.MinIdle)
	defer retry.Stop()
	defer limit.Stop()
	for waiting := true; waiting && !s.shortage.ongoing() && s.hasUnusedConnection(); {
		select {
		case <-s.shortage.waitStarted():
		case <-limit.C:
			waiting = false
		case <-retry.C:
		}
		if c.acquireDescriptor() {
			return !peerHasClosed(c.rawConn)
		}
	}
	return false
}

// acquireDescriptor reports whether the connection holds a descriptor of the budget. A connection in overflow takes a
// descriptor if one is free or an idle connection can be closed to free one.
func (c *clientConnection) acquireDescriptor() bool {
	if c.holdsDescriptor() {
		return true
	}
	quota := c.server.quota
	if !quota.acquire() { // without holding mu, as it may close connections
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		quota.release()
		return false
	}
	c.releaseSlot()
	c.hasDescriptor, c.releaseSlot = true, quota.release
	return true
}

func (c *clientConnection) holdsDescriptor() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasDescriptor
}

// beginRequest counts a request that was read as pending. It returns false if the connection is being closed, as no
// further request is accepted then.
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
	c.partialSince = time.Time{}
	c.pending++
	c.hasRequested = true
	return true
}

// finishRequest records that the response to a request was written. If the server is draining or the connection is in
// overflow, it closes the connection if it is idle, or schedules that.
func (c *clientConnection) finishRequest() {
	c.mu.Lock()
	c.pending--
	c.answered = c.answered || !c.misbehaving
	c.lastActive = time.Now()
	hasDescriptor := c.hasDescriptor
	c.mu.Unlock()
	draining := c.server.markActive(c)
	switch {
	case draining:
		c.closeIfIdle(0, anyConnection)
	case hasDescriptor:
	case c.server.shortage.ongoing(): // a connection that waits to be accepted needs the slot
		c.closeIfIdle(0, overflow)
	default:
		c.scheduleIdleClose()
	}
}

// scheduleIdleClose closes the connection after nextRequestWindow, if it has been idle for that long and the server is
// draining, or the connection is in overflow and has sent a request.
func (c *clientConnection) scheduleIdleClose() {
	time.AfterFunc(nextRequestWindow, func() {
		switch {
		case c.server.isDraining():
			c.closeIfIdle(nextRequestWindow, anyConnection)
		case c.hasSentRequest():
			c.closeIfIdle(nextRequestWindow, overflow)
		}
	})
}

func (c *clientConnection) hasSentRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRequested
}

// recordConduct records whether the latest request was one of a misbehaving client.
func (c *clientConnection) recordConduct(misbehaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.misbehaving = misbehaving
}

// closeIfIdle closes the connection if it is within the scope, has no pending request and has been idle for at least
// minIdle, and reports whether it did. A connection stays open if bytes wait to be read or have just been read, and if
// a request is partly received.
func (c *clientConnection) closeIfIdle(minIdle time.Duration, scope connectionScope) bool {
	draining := c.server.isDraining()
	c.mu.Lock()
	idle := c.input == inputEmpty && time.Since(c.lastActive) >= minIdle && c.beginClose(scope)
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

// beginClose marks the connection as closing, and reports whether it did: only if the connection is within the scope,
// has no pending request and no bytes wait to be read. A first request may wait in the socket until the session's
// goroutine runs, and its client would retry it only once. The caller holds mu.
func (c *clientConnection) beginClose(scope connectionScope) bool {
	if c.closing || c.pending > 0 || !scope.includes(c.hasDescriptor) || c.hasUnreadBytes() {
		return false
	}
	c.closing = true
	return true
}

// hasUnreadBytes reports whether bytes from the client wait to be read from the socket.
func (c *clientConnection) hasUnreadBytes() bool {
	n, err := peekByte(c.rawConn)
	return err == nil && n > 0
}

// resetOnClose makes Close reset the connection if the client has acknowledged all responses. A reset proves to the
// client that a request that it sent in the meantime was not read, so that it may retry the request. An orderly close
// after a complete request would not prove that. A reset must not overtake a response that is not acknowledged yet.
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

// Close closes the connection and releases its slot. Further calls do nothing.
func (c *clientConnection) Close() error {
	c.closeOnce.Do(func() {
		c.server.remove(c)
		c.streamConn.Close()
		c.mu.Lock()
		c.closing = true
		c.releaseSlot()
		c.mu.Unlock()
	})
	return nil
}
