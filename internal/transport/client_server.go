package transport

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

const (
	shortageRetryDelay = 5 * time.Millisecond
	maxOverflowClients = 8 // clients beyond the limit, whose commands find no room
	// A client brings its next command within this time, or is quiet. While the gateway ends it waits as long for
	// a last one.
	nextRequestWindow    = 300 * time.Millisecond
	requestTimeout       = 2500 * time.Millisecond // a client that brings no whole command by then is ended
	idleTimeout          = 2 * time.Second         // between two commands: some ask once and stay for good
	minIdleBeforeReclaim = 50 * time.Millisecond   // where room is short one that has been quiet for so long may go
	// Clients open no further connections beyond a part of the descriptors: what stands quiet keeps others out.
	// Beyond this part of them the longest quiet ones go, so often.
	idleConnectionShare = 0.2
	idleSweepInterval   = 50 * time.Millisecond
)

// ClientServer takes commands from clients and brings them their answers.
type ClientServer struct {
	quota        *descriptorQuota
	log          *RateLimitedLog
	requestBytes *semaphore.Weighted         // bytes of commands in hand
	maxRemaining time.Duration               // a client waits
	overflow     chan struct{}               // holds one for each client beyond the limit
	maxIdle      int                         // connections that have brought a command and may stand quiet
	opTypes      map[string]*decision.OpType // by the words that ask for them
	onRequest    func(request protocol.Request, to *PendingResponse)
	onDisconnect func(to *PendingResponse)

	mu          sync.Mutex
	connections []*clientConnection // the longest quiet first
	draining    bool
}

// ClientServerConfig is what a ClientServer needs. All fields are required.
type ClientServerConfig struct {
	Budget *DescriptorBudget
	Log    *RateLimitedLog
	// MaxRequestBytes bounds the requests that wait for their responses, over all connections; beyond it
	// connections are read later.
	MaxRequestBytes int64
	// MaxRemaining bounds the time until the deadline that a client may state; a longer one is cut to it.
	MaxRemaining time.Duration
	// OpTypes are the op types by command and name as a request states them.
	OpTypes map[string]*decision.OpType
	// OnRequest is called for each well-formed request, in the order of its connection. It may block, which
	// holds up that connection alone.
	OnRequest func(request protocol.Request, response *PendingResponse)
	// OnDisconnect is called for each request whose client disconnected before its response.
	OnDisconnect func(response *PendingResponse)
}

func (c *ClientServerConfig) validate() error {
	switch {
	case c.Budget == nil || c.Log == nil:
		return errors.New("client server needs a descriptor budget and a log")
	case c.MaxRequestBytes < 0 || c.MaxRemaining < 0:
		return errors.New("client server limits must not be negative")
	case c.OnRequest == nil || c.OnDisconnect == nil:
		return errors.New("client server needs its callbacks")
	}
	return nil
}

// NewClientServer returns a server that accepts connections once Serve is called. It fails where a field of its
// configuration is missing or negative.
func NewClientServer(config ClientServerConfig) (*ClientServer, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	f := &ClientServer{log: config.Log, requestBytes: semaphore.NewWeighted(config.MaxRequestBytes),
		maxRemaining: config.MaxRemaining, overflow: make(chan struct{}, maxOverflowClients), opTypes: config.OpTypes,
		onRequest: config.OnRequest, onDisconnect: config.OnDisconnect}
	f.quota, f.maxIdle = config.Budget.addQuota(f, clientShare), int(idleConnectionShare*float64(config.Budget.limit))
	return f, nil
}

// Serve accepts connections until the listener is closed.
func (f *ClientServer) Serve(ln net.Listener) error {
	sweep, done := time.NewTicker(idleSweepInterval), make(chan struct{})
	defer sweep.Stop()
	defer close(done)
	go func() {
		for {
			select {
			case <-sweep.C:
				f.closeExcessIdle()
			case <-done:
				return
			}
		}
	}()
	return redcon.Serve(&budgetedListener{ln, f}, f.takeOver, nil, nil)
}

// endMany ends the longest quiet of the connections that have brought a command, where there are too many.
func (f *ClientServer) closeExcessIdle() {
	all := slices.DeleteFunc(f.snapshot(), func(c *clientConnection) bool { return !c.usedBefore() })
	for _, c := range all[:max(0, len(all)-f.maxIdle)] {
		c.closeIfIdle(minIdleBeforeReclaim, true, false)
	}
}

// door is the listener that redcon accepts from: its connections count against the budget.
type budgetedListener struct {
	net.Listener
	server *ClientServer
}

// Accept waits for a client. One for which there is no descriptor is taken beyond the limit, so that its
// commands get an answer: what waits outside has been taken all the same, as the machine has accepted it.
func (d *budgetedListener) Accept() (net.Conn, error) {
	for {
		conn, err := d.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil { // the machine is short of something: redcon would ask again at once
			time.Sleep(shortageRetryDelay)
			continue
		}
		f := d.server
		c := &clientConnection{Conn: conn, server: f, buffer: protocol.NewBuffer(protocol.CommandMost), lastActive: time.Now()}
		c.hasDescriptor = f.quota.acquire()
		for begun := time.Now(); !c.hasDescriptor && f.hasUnusedConnection() && time.Since(begun) < minIdleBeforeReclaim; c.hasDescriptor = f.quota.acquire() {
			time.Sleep(shortageRetryDelay)
		}
		if c.hasDescriptor {
			c.releasePlace = f.quota.release
		} else {
			f.placeInOverflow(c)
		}
		f.mu.Lock()
		f.connections = append(f.connections, c)
		closing := f.draining
		f.mu.Unlock()
		if closing || !c.hasDescriptor { // while closing it may bring again what crossed the end of another
			c.closeIfIdleLater()
		}
		return c, nil
	}
}

// goBeyond finds a place beyond the limit; where none is left a quiet client there has to go.
func (f *ClientServer) placeInOverflow(c *clientConnection) {
	c.releasePlace = func() { <-f.overflow }
	select {
	case f.overflow <- struct{}{}:
		return
	default:
	}
	for _, o := range f.snapshot() {
		if o.closeIfIdle(0, false, true) {
			break
		}
	}
	f.overflow <- struct{}{}
}

// admit tells whether a connection is within the limit, or can be by now.
func (c *clientConnection) ensureDescriptor() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasDescriptor && !c.closing && c.server.quota.tryAcquire() {
		c.releasePlace()
		c.hasDescriptor, c.releasePlace = true, c.server.quota.release
	}
	return c.hasDescriptor
}

// client is one connection of a client. It ends in Close, which alone gives its place back.
type clientConnection struct {
	net.Conn
	server       *ClientServer
	buffer       *protocol.Buffer
	framing      protocol.Commands
	handedOver   bool      // redcon has been handed what it passes the connection on for
	partialSince time.Time // when a command that is not whole was first met; zero if there is none
	framingLost  bool      // its framing

	mu            sync.Mutex
	pending       int  // commands read and not yet answered
	hasRequested  bool // one was read
	partial       bool // another has begun
	lastActive    time.Time
	closing       bool   // no further command is read
	hasDescriptor bool   // the limit
	releasePlace  func() // gives back its descriptor, or its place beyond the limit
	closeOnce     sync.Once
}

// hold counts a command that was read; none is any more once the connection is to be closed.
func (c *clientConnection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partial = false; !c.closing {
		c.pending++
		c.hasRequested = true
	}
	return !c.closing
}

// free counts one that was answered.
func (c *clientConnection) finishRequest() {
	c.mu.Lock()
	c.pending, c.lastActive = c.pending-1, time.Now()
	within := c.hasDescriptor
	c.mu.Unlock()
	f := c.server
	f.mu.Lock()
	if at := slices.Index(f.connections, c); at >= 0 && f.connections[len(f.connections)-1] != c {
		f.connections = append(slices.Delete(f.connections, at, at+1), c)
	}
	closing := f.draining
	f.mu.Unlock()
	if closing {
		c.closeIfIdle(0, true, true)
	} else if !within {
		c.closeIfIdleLater()
	}
}

// endLater ends the connection if it is quiet after a while and the gateway ends or it is beyond the limit.
func (c *clientConnection) closeIfIdleLater() {
	time.AfterFunc(nextRequestWindow, func() { c.closeIfIdle(nextRequestWindow, c.server.isDraining(), true) })
}

// endNew ends a connection within the limit that has brought nothing for a while.
func (c *clientConnection) closeIfUnused() bool {
	return !c.usedBefore() && c.closeIfIdle(minIdleBeforeReclaim, true, false)
}

func (c *clientConnection) usedBefore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRequested
}

// endQuiet ends a connection that has no command in hand and had none for so long, if such as are within the
// limit or beyond it are to end. One on which a command is on its way stays, unless it would be the first and
// room is short.
func (c *clientConnection) closeIfIdle(since time.Duration, within, beyond bool) bool {
	closing := c.server.isDraining()
	c.mu.Lock()
	quiet := !c.closing && c.pending == 0 && (c.hasDescriptor && within || !c.hasDescriptor && beyond) && time.Since(c.lastActive) >= since
	if quiet && (c.hasRequested || closing) {
		quiet = !c.partial && !c.hasUnreadBytes()
	}
	c.closing = c.closing || quiet
	c.mu.Unlock()
	if quiet {
		slog.Debug("a client's connection is closed", "client", c.RemoteAddr(), "reason", "quiet", "ending", closing)
		c.resetOnClose()
		c.Close()
	}
	return quiet
}

// unread tells whether bytes of the client wait to be read.
func (c *clientConnection) hasUnreadBytes() bool {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n, err := peekByte(raw)
	return err == nil && n > 0
}

// reset has the connection end in a reset where all answers have arrived. It tells a client that what crossed
// the end was not read, so that it may bring it again; an orderly end after a whole command would not.
func (c *clientConnection) resetOnClose() {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	arrived := false
	raw.Control(func(fd uintptr) {
		waiting, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		arrived = err == nil && waiting == 0
	})
	if arrived {
		conn.SetLinger(0)
	}
}

// greeting is what redcon reads first on each connection: it passes the connection on.
var handoverCommand = []byte("*1\r\n$5\r\nBEGIN\r\n")

// Read hands redcon the greeting, and nothing after it: the connection's session reads by itself. redcon's
// own buffers are so let go of at once: a connection that stands for long would keep them at their largest.
func (c *clientConnection) Read(p []byte) (int, error) {
	if c.handedOver {
		return 0, io.EOF
	}
	c.handedOver = true
	return copy(p, handoverCommand), nil
}

// next reads the client's next command, or what is wrong with what came in its place. An error says that the
// connection has ended, be it by the gateway itself.
func (c *clientConnection) readRequest() (cmd redcon.Command, fault string, err error) {
	for {
		size, large, err := c.framing.Next(c.buffer)
		switch {
		case err != nil:
			c.framingLost, fault = true, "Protocol error"
		case large:
			fault = "a command is larger than 64 KiB"
		case size > 0:
			raw := bytes.Clone(c.buffer.Bytes()[:size])
			c.buffer.Drop(size)
			if cmd, err = redcon.Parse(raw); err != nil {
				c.framingLost, fault = true, "Protocol error"
			}
		case !c.setReadDeadline():
			c.framingLost, fault = true, "a command does not end"
		default:
			n, err := c.Conn.Read(c.buffer.Room())
			c.buffer.Add(n)
			if late := net.Error(nil); n == 0 && err != nil && !(errors.As(err, &late) && late.Timeout()) {
				return cmd, "", err
			}
			continue
		}
		c.partialSince = time.Time{}
		if !c.beginRequest() { // it crossed the end
			return cmd, "", io.EOF
		}
		return cmd, fault, nil
	}
}

// leaves passes over what comes after a lost framing and tells whether the client ended the connection, rather
// than the gateway.
func (c *clientConnection) awaitDisconnect() bool {
	c.SetReadDeadline(time.Time{})
	n, err := io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
	return n < maxDiscardedBytes && !errors.Is(err, net.ErrClosed)
}

// await sets until when the next bytes are waited for: a command that has begun is whole in a while, a first
// one comes in a while. It ends a connection on which none does, and tells whether no command stops halfway.
func (c *clientConnection) setReadDeadline() bool {
	now := time.Now()
	if len(c.buffer.Bytes()) > 0 || c.framing.Begun() {
		if c.partialSince.IsZero() {
			c.partialSince = now
			c.mu.Lock()
			c.partial = true
			c.mu.Unlock()
		}
		over := c.partialSince.Add(requestTimeout)
		c.SetReadDeadline(over)
		return now.Before(over)
	}
	c.mu.Lock()
	within, since := idleTimeout, c.lastActive
	if !c.hasRequested {
		within = requestTimeout
	}
	if c.pending > 0 {
		since = now
	}
	c.mu.Unlock()
	over := since.Add(within)
	if !now.Before(over) {
		c.closeIfIdle(within, true, true)
		over = now.Add(within)
	}
	c.SetReadDeadline(over)
	return true
}

// Close ends the connection.
func (c *clientConnection) Close() error {
	c.closeOnce.Do(func() {
		f := c.server
		f.mu.Lock()
		if at := slices.Index(f.connections, c); at >= 0 {
			f.connections = slices.Delete(f.connections, at, at+1)
		}
		f.mu.Unlock()
		c.Conn.Close()
		c.mu.Lock()
		c.closing = true
		c.releasePlace()
		c.mu.Unlock()
	})
	return nil
}

// begin takes a connection over from redcon, so that a client that leaves is seen while its command is in
// hand, and a listener that closes takes no connection along.
func (f *ClientServer) takeOver(conn redcon.Conn, _ redcon.Command) {
	c := conn.NetConn().(*clientConnection)
	conn.Detach()
	go newClientSession(c).readRequests()
}

// Drain closes the connections of clients as each has no command in hand. New ones are served all the same:
// a client sends again what crossed the end of its connection.
func (f *ClientServer) Drain() {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	for _, c := range f.snapshot() {
		if !c.closeIfIdle(nextRequestWindow, true, true) { // one that is new may still bring its first
			c.closeIfIdleLater()
		}
	}
}

// all gives the connections, the longest quiet first.
func (f *ClientServer) snapshot() []*clientConnection {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.connections)
}

func (f *ClientServer) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// AwaitDisconnects waits until every client's connection has ended and none has come for a while, but no longer than so
// long, and tells how many are left.
func (f *ClientServer) AwaitDisconnects(within time.Duration) int {
	begun := time.Now()
	for last := begun; ; time.Sleep(shortageRetryDelay) {
		f.mu.Lock()
		n := len(f.connections)
		f.mu.Unlock()
		if n > 0 {
			last = time.Now()
		}
		if time.Since(last) > nextRequestWindow || time.Since(begun) > within {
			return n
		}
	}
}

// closeIdle closes a connection that has brought nothing, or else the one that has been quiet for longest.
func (f *ClientServer) closeIdle() bool {
	all := f.snapshot()
	return slices.ContainsFunc(all, (*clientConnection).closeIfUnused) ||
		slices.ContainsFunc(all, func(c *clientConnection) bool { return c.closeIfIdle(minIdleBeforeReclaim, true, false) })
}

// crowded tells whether some have brought nothing yet: they will make room soon, by a command or their end.
func (f *ClientServer) hasUnusedConnection() bool {
	return slices.ContainsFunc(f.snapshot(), func(c *clientConnection) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.hasDescriptor && !c.hasRequested
	})
}
