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

// reuseDelay is for how long a connection is idle before it is used again: what an endpoint sends beyond its response
// comes right behind it, and would be taken for the response to the next request.
const reuseDelay = 20 * time.Millisecond

// EndpointPool sends attempts to endpoints and keeps their connections. A connection carries one attempt at a time,
// so that no response waits behind another, and giving one attempt up ends no other one.
type EndpointPool struct {
	quota          *descriptorQuota
	clock          func() monotonic.Time
	log            *RateLimitedLog
	connectTimeout time.Duration
	idleTimeout    time.Duration

	mu              sync.Mutex
	idleByAddress   map[string][]*endpointConnection // the one used last at the end
	idleOldestFirst []*endpointConnection            // all idle ones, by the time since when they have been idle
}

// EndpointPoolConfig is what an EndpointPool needs. All fields are required.
type EndpointPoolConfig struct {
	Budget         *DescriptorBudget
	Log            *RateLimitedLog
	Clock          func() monotonic.Time // the one by which attempts are decided
	ConnectTimeout time.Duration         // until a connection is established
	IdleTimeout    time.Duration         // after which an unused connection is closed
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

// NewEndpointPool returns a pool without connections. It fails where a field of its configuration is missing or
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

// Send starts an attempt at an endpoint without waiting for it.
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

// connect opens a connection for an attempt, sends the attempt on it, and reads the connection until it ends.
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

// takeIdle takes the connection to an address that was used last off the idle ones, or returns nil if none has been
// idle for reuseDelay.
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
	// Its reader ends at this deadline, if nothing was sent on the connection since.
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

// removeIdle takes a connection off the idle ones and reports whether it was one. The caller holds the lock.
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

// expireIdle takes a connection whose read deadline has passed off the idle ones and reports whether it was one. If an
// attempt has just taken the connection, the deadline is removed here: a reader that read again at once would loop,
// and where a single processor is available the attempt's goroutine would never run.
func (p *EndpointPool) expireIdle(c *endpointConnection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.removeIdle(c)
	if !idle {
		c.conn.SetReadDeadline(time.Time{})
	}
	return idle
}

// forgetIdle takes a connection that is being closed off the idle ones, if it is one.
func (p *EndpointPool) forgetIdle(c *endpointConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeIdle(c)
}

// closeIdle closes the connection that has been idle longest.
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
