package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

const (
	// heartbeatTimeout is the longest time without any line; the controller sends a heartbeat every second.
	heartbeatTimeout = 3500 * time.Millisecond
	// lineTimeout is the time from the first byte of a line until it is complete. A longer one is taken as lost.
	lineTimeout = 500 * time.Millisecond
	// oldAddressGrace is for how long answers to votes are awaited on a connection once the address has changed.
	oldAddressGrace = time.Second
	// timeoutCheckInterval is the time between two checks of the timeouts of a connection and its votes.
	timeoutCheckInterval = 50 * time.Millisecond
)

// errNoHeartbeat says that the rollout controller sent nothing within silenceTimeout.
var errNoHeartbeat = errors.New("no heartbeat")

// controllerConnection is one connection to the rollout controller while RolloutClient.serve uses it.
type controllerConnection struct {
	client     *RolloutClient
	address    string
	conn       net.Conn
	listenID   int               // of the call to listen
	lastLineAt time.Time         // when a line arrived last
	pending    []pendingVote     // in the order in which they were cast
	votes      <-chan queuedVote // nil once the address has changed
	closeAt    time.Time         // set once the address has changed
}

// pendingVote is a vote whose answer is awaited.
type pendingVote struct {
	id       int
	deadline time.Time
}

// serve receives statuses and casts votes on one connection until it is lost or silent. It returns nil where it was
// closed because the address has changed or the context has ended.
func (c *RolloutClient) serve(ctx context.Context, address string, conn *trackedConn) error {
	connection := &controllerConnection{client: c, address: address, conn: conn, votes: c.votes}
	defer connection.close()
	lines, readFailed, done := make(chan []byte), make(chan error, 1), make(chan struct{})
	defer close(done)
	go readLines(conn, lines, readFailed, done)
	if err := connection.listen(); err != nil {
		return err
	}
	checkTicker := time.NewTicker(timeoutCheckInterval)
	defer checkTicker.Stop()
	for !connection.isDrained() {
		select {
		case <-c.addressChanged:
			connection.drain()
		case line := <-lines:
			if line == nil { // those before are handled
				continue
			}
			if err := connection.handleLine(line); err != nil {
				return err
			}
		case vote := <-connection.votes:
			if err := connection.cast(vote); err != nil {
				return err
			}
		case now := <-checkTicker.C:
			connection.expireVotes(now)
			if connection.votes == nil && now.After(connection.closeAt) {
				return nil
			}
			if now.Sub(connection.lastLineAt) > heartbeatTimeout {
				return errNoHeartbeat
			}
		case err := <-readFailed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// listen asks the controller for rollout statuses from here on.
func (c *controllerConnection) listen() error {
	c.client.lastCallID++
	c.listenID = c.client.lastCallID
	if _, err := c.conn.Write(protocol.EncodeListen(c.listenID)); err != nil {
		return err
	}
	c.lastLineAt = time.Now()
	return nil
}

// drain has no further votes cast on the connection; those that were are awaited for a while.
func (c *controllerConnection) drain() {
	c.votes, c.closeAt = nil, time.Now().Add(oldAddressGrace)
}

// isDrained reports whether the address has changed and no vote awaits its answer.
func (c *controllerConnection) isDrained() bool { return c.votes == nil && len(c.pending) == 0 }

// handleLine passes on what one line of the controller says. A line of no known kind is an error.
func (c *controllerConnection) handleLine(line []byte) error {
	c.lastLineAt = time.Now()
	return protocol.ParseControllerLine(line, protocol.ControllerEvents{
		Status:   c.client.config.OnStatus,
		Answered: c.handleAnswer,
	})
}

// handleAnswer takes the answer to the call of an id: the one to listen, or a vote.
func (c *controllerConnection) handleAnswer(id int, outcome decision.Outcome) {
	if id == c.listenID {
		c.client.lastAnsweredListen = id
		c.client.config.OnConnected(c.address)
	}
	for i, vote := range c.pending {
		if vote.id == id {
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
			c.client.config.OnVoteResult(outcome)
			return
		}
	}
}

// cast writes a vote. One of which not all was written has failed, and the connection is of no further use.
func (c *controllerConnection) cast(vote queuedVote) error {
	timeout := c.client.config.VoteTimeout
	c.client.lastCallID++
	text := protocol.EncodeVote(c.client.lastCallID, vote.Vote)
	c.conn.SetWriteDeadline(time.Now().Add(timeout))
	// Nothing but the write follows this look at the time: it may have waited for a connection, or the process stalled.
	if c.client.config.Clock()-vote.decidedAt > maxVoteAge {
		c.client.config.OnVoteResult(decision.OutcomeNotSent)
		return nil
	}
	if n, err := c.conn.Write(text); n < len(text) {
		c.client.config.OnVoteResult(decision.OutcomeConnectFailed)
		return err
	}
	c.pending = append(c.pending, pendingVote{c.client.lastCallID, time.Now().Add(timeout)})
	return nil
}

// expireVotes gives up the votes whose answers are not awaited any longer.
func (c *controllerConnection) expireVotes(now time.Time) {
	for len(c.pending) > 0 && now.After(c.pending[0].deadline) {
		c.pending = c.pending[1:]
		c.client.config.OnVoteResult(decision.OutcomeTimeout)
	}
}

// close closes the connection. Votes that still await their answers have timed out.
func (c *controllerConnection) close() {
	c.conn.Close()
	for range c.pending {
		c.client.config.OnVoteResult(decision.OutcomeTimeout)
	}
}

// readLines passes complete lines on until the connection ends, a line is not complete in time, or done is closed. After the
// last complete line of a read it passes nil on: once that is taken, the lines before it are handled.
func readLines(conn *trackedConn, lines chan<- []byte, readFailed chan<- error, done <-chan struct{}) {
	buffer := protocol.NewBuffer(protocol.MaxLineSize)
	for {
		n, err := conn.Read(buffer.Space())
		buffer.Commit(n)
		for {
			line, lineErr := protocol.NextLine(buffer)
			if lineErr != nil {
				err = lineErr
			}
			if line == nil {
				break
			}
			if !sendLine(append([]byte(nil), line...), lines, done) {
				return
			}
		}
		if !sendLine(nil, lines, done) {
			return
		}
		if err != nil {
			readFailed <- err
			return
		}
		deadline := time.Time{} // none between two lines: serve sees the silence
		if len(buffer.Bytes()) > 0 {
			deadline = time.Now().Add(lineTimeout)
		} else {
			conn.markHandled()
		}
		conn.SetReadDeadline(deadline)
	}
}

// sendLine passes a line on and reports whether it was taken, which it is not once done is closed.
func sendLine(line []byte, lines chan<- []byte, done <-chan struct{}) (received bool) {
	select {
	case lines <- line:
		return true
	case <-done:
		return false
	}
}
