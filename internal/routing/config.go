package routing

import (
	"errors"
	"time"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// Client receives the final answer to a request. Exactly one of its methods is called, exactly once, unless the client
// disconnects first. None of the methods may block.
type Client interface {
	Respond(value []byte)
	Reject(retryAfter time.Duration) // the request was not executed; if retryAfter is 0, no retry delay is suggested
	Fail()                           // the request may have been executed
}

// AttemptHandle controls an attempt that has been started.
type AttemptHandle interface {
	// Cancel ends the attempt without an outcome. It reports whether the request may have reached the endpoint, and
	// whether the attempt had already finished. In that case Finished is still called with its outcome.
	Cancel() (reachedEndpoint, alreadyFinished bool)
	// Withhold cancels the attempt if nothing of it has been sent, and reports whether it did.
	Withhold() bool
	// Proceed allows an attempt that has called Connected to be sent. The given time replaces DecidedAt.
	Proceed(decidedAt monotonic.Time)
	// ConnectedAt returns the time, by the router's clock, at which the connection was established on which the attempt
	// was sent.
	ConnectedAt() monotonic.Time
}

// AttemptRequest describes an attempt to start.
type AttemptRequest struct {
	Address string // of the endpoint
	// DecidedAt is the time, by the router's clock, at which the attempt was decided. The driver must not send anything
	// long after it: the process may have stalled in between, so that the decision is based on an outdated state.
	DecidedAt monotonic.Time
	Deadline  monotonic.Time // the router waits for an outcome until this time
	// Encode returns the bytes of the request, given the time that remains when they are sent.
	Encode func(remaining time.Duration) []byte
	// Connected must be called, on a goroutine other than the router's, after a new connection has been established for
	// the attempt. The driver must then send nothing until Proceed is called: connecting took time, so the router
	// checks again whether the attempt may be sent.
	Connected func()
	// SentLate must be called, on a goroutine other than the router's, if the process was delayed by the given span
	// between the last reading of the clock and the write, so that the attempt was sent on the basis of an outdated
	// state.
	SentLate func(span time.Duration)
	// Finished must be called exactly once with the outcome, on a goroutine other than the router's, unless the attempt
	// was canceled or withheld before.
	Finished func(protocol.Response)
}

// Drivers perform the router's I/O. All except HasUnhandledNotice and VerifyBuild are required. None of them may block.
type Drivers struct {
	StartAttempt func(AttemptRequest) AttemptHandle
	// CloseIdleConnections closes the idle connections to an address whose endpoint was removed, has moved to another
	// address, or is missing from a peer's newer view of the endpoint list.
	CloseIdleConnections func(address string)
	// SendDatagram sends a datagram to the gateway with the given rank, or to all gateways if the rank is negative. The
	// datagram describes the state at decidedAt, by the router's clock, and must not be sent long after that time.
	SendDatagram func(rank int, datagram []byte, decidedAt monotonic.Time)
	// CastVote casts a vote. VoteAnswered must be called with the outcome. The vote was decided at decidedAt and must
	// not be cast long after that time.
	CastVote func(vote decision.Vote, decidedAt monotonic.Time)
	// PollDiscovery starts a watch of the endpoint list unless one is already established.
	PollDiscovery func()
	// HasUnhandledNotice reports whether discovery or the rollout controller has sent a message that has not been
	// posted to the router yet. If HasUnhandledNotice is nil, the router relies on a fixed pause after each stall.
	HasUnhandledNotice func() bool
	// VerifyBuild is called with each build when the build is first listed. BuildVerified must be called with the
	// result. VerifyBuild is nil if builds are not verified.
	VerifyBuild func(build int)
}

// Config configures a Router.
type Config struct {
	Balancer         *decision.Balancer
	UtilizationField string                // name of the load report field with the endpoint's utilization
	Clock            func() monotonic.Time // in whole nanoseconds, never goes back; the drivers use the same clock
	Drivers          Drivers
	Gossip           *gossip.Exchange // nil if the gateways do not exchange views of the endpoint list
}

// validate returns an error if a required field is not set.
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
