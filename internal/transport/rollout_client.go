package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/seededrand"
)

const (
	// maxQueuedVotes wait to be cast; the balancer casts one at a time.
	maxQueuedVotes = 4
	// maxVoteAge is how long after it was decided a vote may be cast: gateways look at the evidence anew as often.
	maxVoteAge = 500 * time.Millisecond
	// maxInitialDelay bounds the random delay of the first connection, as all gateways of a fleet may start at once.
	maxInitialDelay = 300 * time.Millisecond
	// minReconnectDelay is the first delay until the next connection, which doubles with each failure up to
	// maxReconnectDelay. A random part of up to the same length is added.
	minReconnectDelay        = 100 * time.Millisecond
	maxReconnectDelay        = 800 * time.Millisecond
	controllerConnectTimeout = time.Second
)

// RolloutClient keeps a connection to the rollout controller: it receives rollout statuses and casts votes on it.
type RolloutClient struct {
	config         RolloutClientConfig
	votes          chan queuedVote
	addressChanged chan struct{}               // holds one element once the address has changed
	conn           atomic.Pointer[trackedConn] // the one opened last, nil before the first

	// Only Run's goroutine touches these.
	lastCallID         int
	lastAnsweredListen int // the last call to listen that the controller answered

	mu      sync.Mutex
	address string
}

// RolloutClientConfig is what a RolloutClient needs. All fields are required. The callbacks are called one at a
// time, but for OnVoteResult where Vote finds the queue full.
type RolloutClientConfig struct {
	Address     string                // of the rollout controller
	VoteTimeout time.Duration         // for writing a vote, and again for its answer
	Clock       func() monotonic.Time // the one by which votes are decided
	Random      *seededrand.Source    // spreads the reconnects of a fleet
	// OnStatus is called for each rollout status that the controller sends.
	OnStatus func(decision.RolloutStatus)
	// OnVoteResult is called once for each vote.
	OnVoteResult func(outcome decision.Outcome)
	// OnConnected is called when the controller has answered on a new connection.
	OnConnected func(address string)
	// OnDisconnected is called when a connection failed or was lost; the client connects again by itself.
	OnDisconnected func(address string, err error)
}

func (c *RolloutClientConfig) validate() error {
	switch {
	case c.Random == nil:
		return errors.New("rollout client needs a source of random numbers")
	case c.Clock == nil:
		return errors.New("rollout client needs a clock")
	case c.VoteTimeout < 0:
		return errors.New("rollout client vote timeout must not be negative")
	case c.OnStatus == nil || c.OnVoteResult == nil || c.OnConnected == nil || c.OnDisconnected == nil:
		return errors.New("rollout client needs its callbacks")
	}
	return nil
}

// NewRolloutClient returns a client that connects once Run is called. It fails where a field of its configuration is
// missing or negative.
func NewRolloutClient(config RolloutClientConfig) (*RolloutClient, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &RolloutClient{
		config:         config,
		votes:          make(chan queuedVote, maxQueuedVotes),
		addressChanged: make(chan struct{}, 1),
		address:        config.Address,
	}, nil
}

// SetAddress has the client connect to another address. The answers to votes that were cast are awaited on the old
// connection; later votes are cast on the new one.
func (c *RolloutClient) SetAddress(address string) {
	c.mu.Lock()
	changed := c.address != address
	c.address = address
	c.mu.Unlock()
	if changed {
		select {
		case c.addressChanged <- struct{}{}:
		default:
		}
	}
}

func (c *RolloutClient) currentAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// queuedVote is a vote that waits to be cast.
type queuedVote struct {
	decision.Vote
	decidedAt monotonic.Time
}

// Vote queues a vote to be cast. It does not wait; a vote for which there is no room has failed. One that could not be cast
// soon after it was decided is not sent: the evidence may speak otherwise by then.
func (c *RolloutClient) Vote(vote decision.Vote, decidedAt monotonic.Time) {
	select {
	case c.votes <- queuedVote{vote, decidedAt}:
	default:
		go c.config.OnVoteResult(decision.OutcomeConnectFailed)
	}
}

// Run keeps the connection until the context ends. One that was answered on is replaced soon; after one that was not,
// the delay doubles.
func (c *RolloutClient) Run(ctx context.Context) {
	c.waitToReconnect(ctx, c.config.Random.Duration(maxInitialDelay))
	for delay := minReconnectDelay; ctx.Err() == nil; {
		listenID := c.lastCallID + 1
		address := c.currentAddress()
		conn, err := (&net.Dialer{Timeout: controllerConnectTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			err = c.trackAndServe(ctx, address, conn)
		}
		if err == nil || c.lastAnsweredListen >= listenID {
			delay = minReconnectDelay
		}
		if err == nil { // closed for another address
			continue
		}
		c.config.OnDisconnected(address, err)
		c.waitToReconnect(ctx, delay+c.config.Random.Duration(delay))
		delay = min(2*delay, maxReconnectDelay)
	}
}

// trackAndServe uses a connection whose unread bytes HasUnhandled sees.
func (c *RolloutClient) trackAndServe(ctx context.Context, address string, conn net.Conn) error {
	tracked, err := trackInput(conn)
	if err != nil {
		return err
	}
	c.conn.Store(tracked)
	defer tracked.markHandled() // nothing of it will be: it is closed by then
	return c.serve(ctx, address, tracked)
}

// HasUnhandled reports whether the controller has sent something that OnStatus has not been given yet. It does not wait.
func (c *RolloutClient) HasUnhandled() bool {
	conn := c.conn.Load()
	return conn != nil && conn.hasUnhandledInput()
}

// waitToReconnect waits before the next connection, unless the address changes. Votes fail meanwhile.
func (c *RolloutClient) waitToReconnect(ctx context.Context, delay time.Duration) {
	elapsed := time.After(delay)
	for {
		select {
		case <-c.votes:
			c.config.OnVoteResult(decision.OutcomeConnectFailed)
		case <-c.addressChanged:
			return
		case <-elapsed:
			return
		case <-ctx.Done():
			return
		}
	}
}
