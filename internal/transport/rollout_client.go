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
	// maxQueuedVotes is the maximum number of votes that wait to be cast. The balancer casts one at a time.
	maxQueuedVotes = 4
	// maxVoteAge is the maximum time between the decision on a vote and its casting. Gateways re-evaluate the evidence at
	// this interval.
	maxVoteAge = 500 * time.Millisecond
	// maxInitialDelay is the upper bound on the random delay before the first connection, as all gateways of a fleet may
	// start at once.
	maxInitialDelay = 300 * time.Millisecond
	// minReconnectDelay is the initial delay before the next connection. The delay doubles with each failure, up to
	// maxReconnectDelay. A random jitter of up to the same length is added.
	minReconnectDelay        = 100 * time.Millisecond
	maxReconnectDelay        = 800 * time.Millisecond
	controllerConnectTimeout = time.Second
)

// RolloutClient keeps a connection to the rollout controller: it receives rollout statuses and casts votes on it.
type RolloutClient struct {
	config         RolloutClientConfig
	votes          chan queuedVote
	addressChanged chan struct{}               // receives one element when the address has changed
	conn           atomic.Pointer[trackedConn] // the most recent connection, nil before the first

	// The following fields are used only on Run's goroutine.
	lastCallID         int
	lastAnsweredListen int // ID of the last call to listen that the controller answered

	mu      sync.Mutex
	address string
}

// RolloutClientConfig configures a RolloutClient. All fields are required. The callbacks are called one at a time,
// except that OnVoteResult may run concurrently with them if Vote finds the queue full.
type RolloutClientConfig struct {
	Address     string                // of the rollout controller
	VoteTimeout time.Duration         // for writing a vote, and again for receiving its answer
	Clock       func() monotonic.Time // the clock by which votes are decided
	Random      *seededrand.Source    // adds jitter, so that the gateways of a fleet do not reconnect in step
	// OnStatus is called for each rollout status that the controller sends.
	OnStatus func(decision.RolloutStatus)
	// OnVoteResult is called once for each vote.
	OnVoteResult func(outcome decision.Outcome)
	// OnConnected is called when the controller has answered the call to listen on a new connection.
	OnConnected func(address string)
	// OnDisconnected is called when a connection could not be established or was lost. The client reconnects by itself.
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
		return errors.New("rollout client needs the callbacks OnStatus, OnVoteResult, OnConnected and OnDisconnected")
	}
	return nil
}

// NewRolloutClient returns a client that connects once Run is called. It returns an error if a field of its
// configuration is missing or negative.
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

// SetAddress makes the client connect to another address. Answers to votes already cast are awaited on the old
// connection for oldAddressGrace. Later votes are cast on the new connection.
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

// Vote queues a vote to be cast. It does not block: if the queue is full, the vote fails. A vote that is not cast
// within maxVoteAge of decidedAt is not sent, because the evidence may support a different verdict by then.
func (c *RolloutClient) Vote(vote decision.Vote, decidedAt monotonic.Time) {
	select {
	case c.votes <- queuedVote{vote, decidedAt}:
	default:
		go c.config.OnVoteResult(decision.OutcomeConnectFailed)
	}
}

// Run keeps a connection to the controller until the context ends. It reconnects after the minimum delay if the
// controller had answered on the lost connection. Otherwise the delay doubles.
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

// trackAndServe serves a connection of which HasUnhandledInput reports unhandled input.
func (c *RolloutClient) trackAndServe(ctx context.Context, address string, conn net.Conn) error {
	tracked, err := trackInput(conn)
	if err != nil {
		return err
	}
	c.conn.Store(tracked)
	defer tracked.markHandled() // the connection is closed by then, and no further input of it will be handled
	return c.serve(ctx, address, tracked)
}

// HasUnhandledInput reports whether the controller has sent anything that has not been handled yet, such as a status
// that has not been passed to OnStatus. It does not block.
func (c *RolloutClient) HasUnhandledInput() bool {
	conn := c.conn.Load()
	return conn != nil && conn.hasUnhandledInput()
}

// waitToReconnect waits for the delay before the next connection, or until the address changes or the context ends.
// Votes fail in the meantime.
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
