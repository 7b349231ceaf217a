package transport

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
)

// reuseDelay is the minimum time that a connection is idle before it is reused. Bytes that an endpoint sends beyond its
// response arrive directly after it and would otherwise be taken for the response to the next request.
const reuseDelay = 20 * time.Millisecond

// EndpointPool sends attempts to endpoints over pooled connections. A connection carries one attempt at a time, so that
// no response waits behind another and canceling an attempt does not affect other attempts.
type EndpointPool struct {
	quota          *descriptorQuota
	clock          func() monotonic.Time
	log            *RateLimitedLog
	connectTimeout time.Duration
	idleTimeout    time.Duration

	mu              sync.Mutex
	idleByAddress   map[string][]*endpointConnection // the most recently used connection is last
	idleOldestFirst []*endpointConnection            // all idle connections, the one idle longest is first
}

// EndpointPoolConfig configures an EndpointPool. All fields are required.
type EndpointPoolConfig struct {
	Budget         *DescriptorBudget
	Log            *RateLimitedLog
	Clock          func() monotonic.Time // the clock by which attempts are decided
	ConnectTimeout time.Duration         // time limit for establishing a connection
	IdleTimeout    time.Duration         // idle time after which a connection is closed
}

func (c *EndpointPoolConfig) validate() error {
	switch {
	case c.Budget == nil || c.Log == nil:
		return errors.New("endpoint pool needs a descriptor budget and a log")
	case c.Clock == nil:
		return errors.New("endpoint pool needs a clock")
	case c.ConnectTimeout < 0 || c.IdleTimeout < 0:
		return errors.New("endpoint pool timeouts must not be negative")
	}
	return nil
}

// NewEndpointPool returns a pool without connections. It returns an error if a field of its configuration is missing or
// negative.
func NewEndpointPool(config EndpointPoolConfig) (*EndpointPool, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	p := &EndpointPool{
		clock:          config.Clock,
		log:            config.Log,
		connectTimeout: config.ConnectTimeout,
		idleTimeout:    config.IdleTimeout,
		idleByAddress:  map[string][]*endpointConnection{},
	}
	p.quota = config.Budget.addQuota(p, endpointShare)
	return p, nil
}

// Send starts an attempt and returns without waiting for its outcome.
func (p *EndpointPool) Send(request AttemptRequest) *Attempt {
	attempt := newAttempt(request)
	if c := p.takeIdle(request.Address); c != nil {
		go c.send(attempt, true)
	} else {
		go p.connect(request.Address, attempt)
	}
	return attempt
}

// CloseIdleTo closes the idle connections to an address that is no longer listed.
func (p *EndpointPool) CloseIdleTo(address string) {
	p.mu.Lock()
	connections := slices.Clone(p.idleByAddress[address])
	for _, c := range connections {
		p.removeIdle(c)
	}
	p.mu.Unlock()
	for _, c := range connections {
		c.close("address no longer listed")
	}
}

// connect opens a connection for an attempt, sends the attempt on it, and reads from the connection until it ends.
func (p *EndpointPool) connect(address string, attempt *Attempt) {
	if !p.quota.acquire() {
		attempt.finish(decision.OutcomeNotSent)
		return
	}
	conn, err := net.DialTimeout("tcp", address, p.connectTimeout)
	if err != nil {
		p.quota.release()
		attempt.finish(decision.OutcomeConnectFailed)
		return
	}
	c := &endpointConnection{pool: p, address: address, openedAt: p.clock(), conn: conn.(*net.TCPConn)}
	if c.rawConn, err = c.conn.SyscallConn(); err != nil {
		c.close(err.Error())
		attempt.finish(decision.OutcomeConnectFailed)
		return
	}
	go c.sendFirst(attempt)
	c.readResponses()
}

// takeIdle removes and returns the most recently used connection to an address that has been idle for at least
// reuseDelay. It returns nil if no connection has.
func (p *EndpointPool) takeIdle(address string) *endpointConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, c := range slices.Backward(p.idleByAddress[address]) {
		if now.Sub(c.idleSince) >= reuseDelay {
			p.removeIdle(c)
			return c
		}
	}
	return nil
}

// putIdle makes a connection available to the next attempt, unless it is closed.
func (p *EndpointPool) putIdle(c *endpointConnection) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	// At this deadline the connection's reader closes it, unless an attempt has taken it by then.
	c.conn.SetReadDeadline(now.Add(p.idleTimeout))
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	c.idleSince = now
	p.idleByAddress[c.address] = append(p.idleByAddress[c.address], c)
	p.idleOldestFirst = append(p.idleOldestFirst, c)
}

// removeIdle removes a connection from the idle connections and reports whether it was idle. The caller holds p.mu.
func (p *EndpointPool) removeIdle(c *endpointConnection) bool {
	index := slices.Index(p.idleOldestFirst, c)
	if index < 0 {
		return false
	}
	p.idleOldestFirst = slices.Delete(p.idleOldestFirst, index, index+1)
	sameAddress := p.idleByAddress[c.address]
	index = slices.Index(sameAddress, c)
	p.idleByAddress[c.address] = slices.Delete(sameAddress, index, index+1)
	if len(sameAddress) == 1 {
		delete(p.idleByAddress, c.address)
	}
	return true
}

// expireIdle removes a connection whose read deadline has passed from the idle connections and reports whether it was
// idle. If an attempt has just taken the connection, expireIdle clears the deadline. Otherwise the reader would retry
// in a busy loop, and with a single processor the attempt's goroutine would never run.
func (p *EndpointPool) expireIdle(c *endpointConnection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.removeIdle(c)
	if !idle {
		c.conn.SetReadDeadline(time.Time{})
	}
	return idle
}

// forgetIdle removes a connection that is being closed from the idle connections, if it is idle.
func (p *EndpointPool) forgetIdle(c *endpointConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeIdle(c)
}

// closeIdle closes the connection that has been idle longest. It returns false if no connection is idle.
func (p *EndpointPool) closeIdle() bool {
	p.mu.Lock()
	var oldest *endpointConnection
	if len(p.idleOldestFirst) > 0 {
		oldest = p.idleOldestFirst[0]
		p.removeIdle(oldest)
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.close("descriptor needed")
	return true
}
