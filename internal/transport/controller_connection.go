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
	// heartbeatTimeout is the maximum time without any line, after which the connection is closed. The controller sends a
	// heartbeat every second.
	heartbeatTimeout = 3500 * time.Millisecond
	// lineTimeout is the maximum time from the first byte of a line until it is complete. A line that exceeds it counts as
	// lost, and the connection is closed.
	lineTimeout = 500 * time.Millisecond
	// oldAddressGrace is how long answers to votes are awaited on a connection after the address has changed.
	oldAddressGrace = time.Second
	// timeoutCheckInterval is the interval at which the timeouts of a connection and its votes are checked.
	timeoutCheckInterval = 50 * time.Millisecond
)

// errNoHeartbeat is returned by serve if the rollout controller sent nothing within heartbeatTimeout.
var errNoHeartbeat = errors.New("no heartbeat")

// controllerConnection is one connection to the rollout controller while RolloutClient.serve uses it.
type controllerConnection struct {
	client     *RolloutClient
	address    string
	conn       net.Conn
	listenID   int               // ID of the call to the method listen
	lastLineAt time.Time         // when the latest line arrived
	pending    []pendingVote     // in the order in which the votes were cast
	votes      <-chan queuedVote // nil once the address has changed
	closeAt    time.Time         // set when the address changes
}

// pendingVote is a vote that awaits its answer.
type pendingVote struct {
	id       int
	deadline time.Time
}

// serve receives statuses and casts votes on one connection until the connection is lost or no heartbeat arrives in
// time. It returns nil if it closes the connection because the address has changed or the context has ended.
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
			if line == nil { // end of a batch, see readLines
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

// listen subscribes to rollout statuses of the controller.
func (c *controllerConnection) listen() error {
	c.client.lastCallID++
	c.listenID = c.client.lastCallID
	if _, err := c.conn.Write(protocol.EncodeListen(c.listenID)); err != nil {
		return err
	}
	c.lastLineAt = time.Now()
	return nil
}

// drain stops casting votes on the connection. The answers to votes already cast are awaited for oldAddressGrace.
func (c *controllerConnection) drain() {
	c.votes, c.closeAt = nil, time.Now().Add(oldAddressGrace)
}

// isDrained reports whether the address has changed and no vote is pending.
func (c *controllerConnection) isDrained() bool { return c.votes == nil && len(c.pending) == 0 }

// handleLine parses one line from the controller and calls the handler for its kind. It returns an error for a line of
// an unknown kind.
func (c *controllerConnection) handleLine(line []byte) error {
	c.lastLineAt = time.Now()
	return protocol.ParseControllerLine(line, protocol.ControllerCallbacks{
		Status: c.client.config.OnStatus,
		Answer: c.handleAnswer,
	})
}

// handleAnswer handles the answer to the call with the given ID, which is the call to listen or a vote.
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

// cast writes a vote. A vote that is not written completely has failed, and the connection can no longer be used.
func (c *controllerConnection) cast(vote queuedVote) error {
	timeout := c.client.config.VoteTimeout
	c.client.lastCallID++
	text := protocol.EncodeVote(c.client.lastCallID, vote.Vote)
	c.conn.SetWriteDeadline(time.Now().Add(timeout))
	// The vote may have waited for a connection, or the process may have stalled. The write directly follows this reading
	// of the clock.
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

// expireVotes reports a timeout for each pending vote whose deadline has passed.
func (c *controllerConnection) expireVotes(now time.Time) {
	for len(c.pending) > 0 && now.After(c.pending[0].deadline) {
		c.pending = c.pending[1:]
		c.client.config.OnVoteResult(decision.OutcomeTimeout)
	}
}

// close closes the connection and reports a timeout for each vote that is still pending.
func (c *controllerConnection) close() {
	c.conn.Close()
	for range c.pending {
		c.client.config.OnVoteResult(decision.OutcomeTimeout)
	}
}

// readLines sends complete lines to the channel until the connection ends, a line is not complete within lineTimeout,
// or done is closed. After the last complete line of each read it sends nil: when that has been received, all lines
// before it have been handled.
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
		deadline := time.Time{} // no read deadline between two lines, as serve checks heartbeatTimeout
		if len(buffer.Bytes()) > 0 {
			deadline = time.Now().Add(lineTimeout)
		} else {
			conn.markHandled()
		}
		conn.SetReadDeadline(deadline)
	}
}

// sendLine sends a line to the channel and reports whether it was received. It returns false once done is closed.
func sendLine(line []byte, lines chan<- []byte, done <-chan struct{}) (received bool) {
	select {
	case lines <- line:
		return true
	case <-done:
		return false
	}
}
