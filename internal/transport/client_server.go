package transport

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

const (
	// shortageRetryDelay is the pause before the retry of an operation that failed for lack of a descriptor.
	shortageRetryDelay = 5 * time.Millisecond
	// nextRequestWindow is the time within which an active client sends its next request, or the first one on a new
	// connection. During shutdown a connection stays open for that long, to receive a last request.
	nextRequestWindow = 300 * time.Millisecond
	// idleConnectionShare is the share of the descriptor limit beyond which the connections that have rested longest are
	// closed, every idleSweepInterval. Some clients send one request and keep the connection open, and would otherwise
	// keep other clients out.
	idleConnectionShare = 0.2
	idleSweepInterval   = 50 * time.Millisecond
)

// ClientServer accepts connections from clients, reads their requests and writes the responses.
type ClientServer struct {
	quota            *descriptorQuota
	log              *RateLimitedLog
	memory           *requestMemory
	retryAfter       time.Duration
	maxRemaining     time.Duration
	overflow         chan struct{} // holds one element for each connection beyond the descriptor limit
	shortage         *slotShortage
	crowded          atomic.Bool // see reclaim.IsCrowded, as of the latest sweep
	firstRequests    firstRequestDelay
	maxIdle          int // above this number of connections that rest, the longest idle ones are closed
	opTypes          map[string]*decision.OpType
	onRequest        func(request protocol.Request, response *PendingResponse)
	onDisconnect     func(response *PendingResponse)
	onReadingStopped func(response *PendingResponse)

	mu          sync.Mutex
	connections []*clientConnection // longest idle first
	draining    bool
}

// ClientServerConfig is the configuration of a ClientServer. All fields but RetryAfter are required.
type ClientServerConfig struct {
	Budget *DescriptorBudget
	Log    *RateLimitedLog
	// MaxRequestBytes bounds the memory that requests take over all connections, from their first byte until their
	// responses are written. Beyond it, requests are rejected.
	MaxRequestBytes int64
	// RetryAfter is sent with these rejections, and 0 if none is to be sent.
	RetryAfter time.Duration
	// MaxRemaining is the longest time until the deadline that a client may state. A longer time is reduced to it.
	MaxRemaining time.Duration
	// OpTypes maps a command and the name of an op type, as a request states them, to the op type.
	OpTypes map[string]*decision.OpType
	// OnRequest is called for each well-formed request, in the order of the requests on a connection. It may block,
	// which delays only that connection.
	OnRequest func(request protocol.Request, response *PendingResponse)
	// OnDisconnect is called for each request whose client disconnected before the response was available.
	OnDisconnect func(response *PendingResponse)
	// OnReadingStopped is called for each request without a response whose connection is not read any further, although
	// the client has sent more. The client may disconnect unnoticed from then on.
	OnReadingStopped func(response *PendingResponse)
}

func (c *ClientServerConfig) validate() error {
	switch {
	case c.Budget == nil || c.Log == nil:
		return errors.New("client server needs a descriptor budget and a log")
	case c.MaxRequestBytes < 0 || c.MaxRemaining < 0 || c.RetryAfter < 0:
		return errors.New("client server limits must not be negative")
	case c.OnRequest == nil || c.OnDisconnect == nil || c.OnReadingStopped == nil:
		return errors.New("client server needs the callbacks OnRequest, OnDisconnect and OnReadingStopped")
	}
	return nil
}

// NewClientServer returns a server that accepts connections once Serve is called. It fails if a field of its
// configuration is missing or negative.
func NewClientServer(config ClientServerConfig) (*ClientServer, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	s := &ClientServer{
		log:              config.Log,
		memory:           newRequestMemory(config.MaxRequestBytes),
		retryAfter:       config.RetryAfter,
		maxRemaining:     config.MaxRemaining,
		overflow:         make(chan struct{}, config.Budget.overflow),
		shortage:         newSlotShortage(),
		maxIdle:          int(idleConnectionShare * float64(config.Budget.limit)),
		opTypes:          config.OpTypes,
		onRequest:        config.OnRequest,
		onDisconnect:     config.OnDisconnect,
		onReadingStopped: config.OnReadingStopped,
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
	return redcon.Serve(&budgetedListener{listener, s}, s.detachFromRedcon, nil, nil)
}

// detachFromRedcon detaches a connection from redcon and starts its session. A client's disconnect is thus detected
// while its request is being processed, and closing the listener does not close the connections.
func (s *ClientServer) detachFromRedcon(conn redcon.Conn, _ redcon.Command) {
	c := conn.NetConn().(*clientConnection)
	conn.Detach()
	go newClientSession(c).readRequests()
}

// Drain closes each connection once it has no pending request. New connections are still served, as a client retries a
// request that it sent while its connection was being closed.
func (s *ClientServer) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.snapshot() {
		if !c.closeIfIdle(nextRequestWindow, anyConnection) { // a new connection may still send its first request
			c.scheduleIdleClose()
		}
	}
}

// AwaitDisconnects waits until all connections are closed and none has been accepted for nextRequestWindow, or until
// the timeout has passed. It returns the number of connections that are still open.
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

// hasUnusedConnection reports whether any connection within the limit has not sent a request yet. Such a connection
// makes room soon, as it either sends a request or is closed.
func (s *ClientServer) hasUnusedConnection() bool {
	return slices.ContainsFunc(s.snapshot(), func(c *clientConnection) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.hasDescriptor && !c.hasRequested
	})
}

// snapshot returns the open connections, longest idle first.
func (s *ClientServer) snapshot() []*clientConnection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.connections)
}

// remove removes a connection from the table.
func (s *ClientServer) remove(c *clientConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.connections, c); at >= 0 {
		s.connections = slices.Delete(s.connections, at, at+1)
	}
}

// markActive moves a connection to the end of the table, as the most recently active one, and reports whether the
// server is draining.
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
