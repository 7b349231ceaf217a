package transport

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sync/semaphore"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

const (
	// shortageRetryDelay is the pause before an operation that failed for want of a descriptor is tried again.
	shortageRetryDelay = 5 * time.Millisecond
	// nextRequestWindow is the time within which an active client sends its next request. During shutdown a
	// connection stays open for as long, for a last one.
	nextRequestWindow = 300 * time.Millisecond
	// minIdleBeforeReclaim is for how long a connection has been idle before it may be closed to make room.
	minIdleBeforeReclaim = 50 * time.Millisecond
	// idleConnectionShare is the part of all descriptors beyond which the connections that have been idle longest are
	// closed, every idleSweepInterval: some clients send one request and stay, and would keep others out.
	idleConnectionShare = 0.2
	idleSweepInterval   = 50 * time.Millisecond
)

// ClientServer accepts connections of clients, reads their requests and writes the responses.
type ClientServer struct {
	quota        *descriptorQuota
	log          *RateLimitedLog
	requestBytes *semaphore.Weighted // of the requests that wait for their responses
	maxRemaining time.Duration
	overflow     chan struct{} // holds one element for each connection beyond the descriptor limit
	shortage     *acceptShortage
	maxIdle      int // connections that have sent a request and may stay open idle
	opTypes      map[string]*decision.OpType
	onRequest    func(request protocol.Request, response *PendingResponse)
	onDisconnect func(response *PendingResponse)

	mu          sync.Mutex
	connections []*clientConnection // the one that has been idle longest first
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
	s := &ClientServer{
		log:          config.Log,
		requestBytes: semaphore.NewWeighted(config.MaxRequestBytes),
		maxRemaining: config.MaxRemaining,
		overflow:     make(chan struct{}, config.Budget.overflow),
		shortage:     newAcceptShortage(),
		maxIdle:      int(idleConnectionShare * float64(config.Budget.limit)),
		opTypes:      config.OpTypes,
		onRequest:    config.OnRequest,
		onDisconnect: config.OnDisconnect,
	}
	s.quota = config.Budget.addQuota(s, clientShare)
	return s, nil
}

// Serve accepts connections until the listener is closed.
func (s *ClientServer) Serve(listener net.Listener) error {
	sweep, done := time.NewTicker(idleSweepInterval), make(chan struct{})
	defer sweep.Stop()
	defer close(done)
	go func() {
		for {
			select {
			case <-sweep.C:
				s.closeExcessIdle()
			case <-done:
				return
			}
		}
	}()
	return redcon.Serve(&budgetedListener{listener, s}, s.takeOver, nil, nil)
}

// takeOver detaches a connection from redcon, so that a client that disconnects is seen while its request is being
// worked on, and a listener that closes does not close the connections with it.
func (s *ClientServer) takeOver(conn redcon.Conn, _ redcon.Command) {
	c := conn.NetConn().(*clientConnection)
	conn.Detach()
	go newClientSession(c).readRequests()
}

// Drain closes each connection once it has no request waiting. New connections are served all the same: a client
// sends again what it sent while its connection was being closed.
func (s *ClientServer) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.snapshot() {
		if !c.closeIfIdle(nextRequestWindow, anyConnection) { // a new one may still send its first request
			c.closeIfIdleLater()
		}
	}
}

// AwaitDisconnects waits until all connections are closed and none was accepted for a while, but for the timeout at
// most, and returns how many are left.
func (s *ClientServer) AwaitDisconnects(timeout time.Duration) int {
	started := time.Now()
	for lastConnected := started; ; time.Sleep(shortageRetryDelay) {
		s.mu.Lock()
		open := len(s.connections)
		s.mu.Unlock()
		if open > 0 {
			lastConnected = time.Now()
		}
		if time.Since(lastConnected) > nextRequestWindow || time.Since(started) > timeout {
			return open
		}
	}
}

// closeExcessIdle closes those of the connections that have sent a request that have been idle longest, where more
// than maxIdle are open.
func (s *ClientServer) closeExcessIdle() {
	used := slices.DeleteFunc(s.snapshot(), func(c *clientConnection) bool { return !c.usedBefore() })
	for _, c := range used[:max(0, len(used)-s.maxIdle)] {
		c.closeIfIdle(minIdleBeforeReclaim, withinLimit)
	}
}

// closeIdle closes a connection that has not sent anything yet, or else the one that has been idle longest.
func (s *ClientServer) closeIdle() bool {
	all := s.snapshot()
	return slices.ContainsFunc(all, (*clientConnection).closeIfUnused) ||
		slices.ContainsFunc(all, func(c *clientConnection) bool {
			return c.closeIfIdle(minIdleBeforeReclaim, withinLimit)
		})
}

// hasUnusedConnection reports whether some connections within the limit have not sent a request yet: they will make
// room soon, as they send one or are closed.
func (s *ClientServer) hasUnusedConnection() bool {
	return slices.ContainsFunc(s.snapshot(), func(c *clientConnection) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.hasDescriptor && !c.hasRequested
	})
}

// snapshot returns the open connections, the one that has been idle longest first.
func (s *ClientServer) snapshot() []*clientConnection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.connections)
}

// remove takes a connection off the table.
func (s *ClientServer) remove(c *clientConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.connections, c); at >= 0 {
		s.connections = slices.Delete(s.connections, at, at+1)
	}
}

// markActive makes a connection the one that has been idle for the shortest time, and reports whether the server
// is draining.
func (s *ClientServer) markActive(c *clientConnection) (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.connections, c); at >= 0 && s.connections[len(s.connections)-1] != c {
		s.connections = append(slices.Delete(s.connections, at, at+1), c)
	}
	return s.draining
}

func (s *ClientServer) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
