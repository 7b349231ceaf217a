package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
	"laurelring/internal/seededrand"
)

// RolloutClient keeps a connection to the platform: it listens to what the platform tells and casts votes on it.
type RolloutClient struct {
	config             RolloutClientConfig
	votes              chan decision.Vote
	addressChanged     chan struct{} // holds one once the address has changed
	lastCallID         int           // of the last call
	lastAnsweredListen int           // the last call to listen that was answered

	mu      sync.Mutex
	address string
}

const (
	maxQueuedVotes           = 4                       // votes that wait to be cast; the module casts one at a time
	silenceTimeout           = 3500 * time.Millisecond // a sign of life comes every second
	lineTimeout              = 500 * time.Millisecond  // a line that has begun is whole, or is never
	oldAddressGrace          = time.Second             // an address that is left is still heard for votes in hand
	maxInitialDelay          = 300 * time.Millisecond  // the first connection comes within this, by lot: fleets start at once
	minReconnectDelay        = 100 * time.Millisecond  // between two connections, and as much more by lot
	maxReconnectDelay        = 800 * time.Millisecond  // the same where one after the other fails
	controllerConnectTimeout = time.Second             // for a connection to come up
)

// RolloutClientConfig is what a RolloutClient needs. All fields are required. The callbacks are called one at a
// time, but for OnVoteResult where Vote finds the queue full.
type RolloutClientConfig struct {
	Address     string             // of the rollout controller
	VoteTimeout time.Duration      // for writing a vote, and again for its answer
	Random      *seededrand.Chance // spreads the reconnects of a fleet
	// OnStatus is called for each rollout status that the controller sends.
	OnStatus func(decision.RolloutStatus)
	// OnVoteResult is called once for each vote, in the order of the answers.
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
	case c.VoteTimeout < 0:
		return errors.New("rollout client vote timeout must not be negative")
	case c.OnStatus == nil || c.OnVoteResult == nil || c.OnConnected == nil || c.OnDisconnected == nil:
		return errors.New("rollout client needs its callbacks")
	}
	return nil
}

// NewRolloutClient returns a client that connects once Run is called. It fails where a field of its
// configuration is missing or negative.
func NewRolloutClient(config RolloutClientConfig) (*RolloutClient, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &RolloutClient{config: config, address: config.Address,
		votes: make(chan decision.Vote, maxQueuedVotes), addressChanged: make(chan struct{}, 1)}, nil
}

// SetAddress has the platform heard at another address. Votes in hand are waited for where they were cast; those
// to come are cast there.
func (d *RolloutClient) SetAddress(address string) {
	d.mu.Lock()
	changed := d.address != address
	d.address = address
	d.mu.Unlock()
	if changed {
		select {
		case d.addressChanged <- struct{}{}:
		default:
		}
	}
}

func (d *RolloutClient) currentAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// Vote casts a vote. It does not wait; a vote for which there is no room was not carried out.
func (d *RolloutClient) Vote(v decision.Vote) {
	select {
	case d.votes <- v:
	default:
		go d.config.OnVoteResult(decision.OutcomeConnectFailed)
	}
}

// Run keeps the connection until the context ends. One that was heard is replaced soon, one after another
// that is not, later each time.
func (d *RolloutClient) Run(ctx context.Context) {
	d.waitToReconnect(ctx, d.config.Random.Time(maxInitialDelay))
	for pause := minReconnectDelay; ctx.Err() == nil; {
		number := d.lastCallID + 1
		address := d.currentAddress()
		conn, err := (&net.Dialer{Timeout: controllerConnectTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			err = d.serve(ctx, address, conn)
		}
		if err == nil || d.lastAnsweredListen >= number {
			pause = minReconnectDelay
		}
		if err == nil { // left for another address
			continue
		}
		d.config.OnDisconnected(address, err)
		d.waitToReconnect(ctx, pause+d.config.Random.Time(pause))
		pause = min(2*pause, maxReconnectDelay)
	}
}

// rest waits before the next connection, unless the address changes. Votes meanwhile are not carried out.
func (d *RolloutClient) waitToReconnect(ctx context.Context, pause time.Duration) {
	again := time.After(pause)
	for {
		select {
		case <-d.votes:
			d.config.OnVoteResult(decision.OutcomeConnectFailed)
		case <-d.addressChanged:
			return
		case <-again:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waiting is a vote whose answer is to come.
type pendingVote struct {
	id       int
	deadline time.Time // when it is no longer waited for
}

// serve listens and votes on one connection until it ends or falls silent; no error says that it was left for
// another address, or that the context has ended.
func (d *RolloutClient) serve(ctx context.Context, address string, conn net.Conn) error {
	var votes []pendingVote
	defer func() {
		conn.Close()
		for range votes {
			d.config.OnVoteResult(decision.OutcomeTimeout)
		}
	}()
	lines, broken, done := make(chan []byte), make(chan error, 1), make(chan struct{})
	defer close(done)
	go readLines(conn, lines, broken, done)
	d.lastCallID++
	if _, err := conn.Write(protocol.EncodeListen(d.lastCallID)); err != nil {
		return err
	}
	listening, alive := d.lastCallID, time.Now()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	cast, leaveAt := d.votes, time.Time{}
	for {
		if cast == nil && len(votes) == 0 {
			return nil
		}
		select {
		case <-d.addressChanged:
			cast, leaveAt = nil, time.Now().Add(oldAddressGrace)
		case line := <-lines:
			alive = time.Now()
			err := protocol.ParseControllerLine(line, protocol.ControllerEvents{Status: d.config.OnStatus, Answered: func(id int, how decision.Outcome) {
				if id == listening {
					d.lastAnsweredListen = id
					d.config.OnConnected(address)
				}
				for i, v := range votes {
					if v.id == id {
						votes = append(votes[:i], votes[i+1:]...)
						d.config.OnVoteResult(how)
						return
					}
				}
			}})
			if err != nil {
				return err
			}
		case v := <-cast:
			d.lastCallID++
			text := protocol.EncodeVote(d.lastCallID, v)
			conn.SetWriteDeadline(time.Now().Add(d.config.VoteTimeout))
			if n, err := conn.Write(text); n < len(text) {
				d.config.OnVoteResult(decision.OutcomeConnectFailed)
				return err
			}
			votes = append(votes, pendingVote{d.lastCallID, time.Now().Add(d.config.VoteTimeout)})
		case now := <-tick.C:
			for len(votes) > 0 && now.After(votes[0].deadline) {
				votes = votes[1:]
				d.config.OnVoteResult(decision.OutcomeTimeout)
			}
			if cast == nil && now.After(leaveAt) {
				return nil
			}
			if now.Sub(alive) > silenceTimeout {
				return errSilent
			}
		case err := <-broken:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// readLines hands on whole lines until the connection ends, or a line is not whole in time.
func readLines(conn net.Conn, lines chan<- []byte, broken chan<- error, done <-chan struct{}) {
	b := protocol.NewBuffer(protocol.MaxLineSize)
	for {
		n, err := conn.Read(b.Space())
		b.Commit(n)
		for {
			line, bad := protocol.NextLine(b)
			if bad != nil {
				err = bad
			}
			if line == nil {
				break
			}
			select {
			case lines <- append([]byte(nil), line...):
			case <-done:
				return
			}
		}
		if err != nil {
			broken <- err
			return
		}
		late := time.Time{}
		if len(b.Bytes()) > 0 {
			late = time.Now().Add(lineTimeout)
		}
		conn.SetReadDeadline(late)
	}
}

var errSilent = errors.New("no sign of life")
