package routing

import (
	"errors"
	"time"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// Client is the destination of a request's final answer. Exactly one of its methods is called, once, unless the client
// disconnects first. None of them may block.
type Client interface {
	Respond(value []byte)
	Reject(retryAfter time.Duration) // the request never ran; 0 gives no advice on when to retry
	Fail()                           // the request may have run
}

// AttemptHandle controls an attempt that has been started.
type AttemptHandle interface {
	// Cancel ends the attempt without an outcome. It reports whether the request may have reached the endpoint, and
	// whether the attempt had already finished: then its outcome arrives by itself.
	Cancel() (reachedEndpoint, alreadyFinished bool)
	// Withhold cancels the attempt if nothing of it has been sent, and reports whether it did.
	Withhold() bool
	// Proceed lets an attempt go out that has called Connected. The moment takes the place of DecidedAt.
	Proceed(decidedAt monotonic.Time)
	// ConnectedAt is when the connection was established that the attempt was sent on, by the router's clock.
	ConnectedAt() monotonic.Time
}

// AttemptRequest describes an attempt to start.
type AttemptRequest struct {
	Address string // of the endpoint
	// DecidedAt is the reading of the router's clock on which the attempt was decided. Nothing may be sent long after it:
	// the process may have stalled since, and the decision rests on a state that is past.
	DecidedAt monotonic.Time
	Deadline  monotonic.Time // until when the router waits for an outcome
	// Encode gives the request's bytes, given the time that remains as they are sent.
	Encode func(remaining time.Duration) []byte
	// Connected is to be called, on another goroutine than the router's, once a connection had to be established and it
	// has been. Nothing may be sent until Proceed is called then: that took time, and the decision is taken again.
	Connected func()
	// SentLate is to be called, on another goroutine than the router's, where the process was held up for a span between the
	// last look at the time and the sending, so that the attempt went out by a state that is past.
	SentLate func(span time.Duration)
	// Finished is to be called once with the outcome, on another goroutine than the router's, unless the attempt was
	// canceled or withheld before.
	Finished func(protocol.Response)
}

// Drivers do the router's I/O. All but HasUnhandledNotice and VerifyBuild are required, and none may block.
type Drivers struct {
	StartAttempt func(AttemptRequest) AttemptHandle
	// CloseIdleConnections closes the idle connections to an address that is no longer listed.
	CloseIdleConnections func(address string)
	// SendDatagram sends a datagram to the gateway of that rank, or to all gateways where the rank is negative. It says how
	// things stood at a moment, by the router's clock, and must not be sent long after it.
	SendDatagram func(rank int, datagram []byte, decidedAt monotonic.Time)
	// CastVote casts a vote that was decided at a moment; VoteAnswered is to be called with its outcome. It must not be cast
	// long after that.
	CastVote func(vote decision.Vote, decidedAt monotonic.Time)
	// PollDiscovery watches the endpoint list from here on, unless a watch is already established.
	PollDiscovery func()
	// HasUnhandledNotice reports whether discovery or the rollout controller has sent something that has not been posted
	// yet. Nil where nobody knows: a pause after each stall has to do then.
	HasUnhandledNotice func() bool
	// VerifyBuild is given each build as it is first listed; BuildVerified is to be called with the result. Nil where
	// builds are not verified.
	VerifyBuild func(build int)
}

// Config is what a router is built from.
type Config struct {
	Balancer         *decision.Balancer
	UtilizationField string                // the field of a load report that gives an endpoint's utilization
	Clock            func() monotonic.Time // whole nanoseconds; it must not go back; the drivers read the same
	Drivers          Drivers
	Gossip           *gossip.Exchange // nil where gateways exchange no views of the endpoint list
}

// validate reports what a configuration lacks.
func (c *Config) validate() error {
	drivers := &c.Drivers
	switch {
	case c.Balancer == nil:
		return errors.New("routing: no balancer")
	case c.Clock == nil:
		return errors.New("routing: no clock")
	case drivers.StartAttempt == nil || drivers.CloseIdleConnections == nil || drivers.SendDatagram == nil ||
		drivers.CastVote == nil || drivers.PollDiscovery == nil:
		return errors.New("routing: a required driver is missing")
	}
	return nil
}
