package transport

import (
	"log/slog"
	"slices"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"laurelring/internal/protocol"
)

// silentCrowdShare is the share of the slots from which on connections that have sent nothing for minIdleBeforeReclaim
// count as a crowd.
const silentCrowdShare = 0.5

// connectionActivity says what a connection is doing, for the choice of one to close when another needs its slot.
type connectionActivity uint8

const (
	activityBusy    connectionActivity = iota // it is being closed, or a request is pending or arriving
	activitySilent                            // it has sent nothing yet
	activityStalled                           // a partly received request does not go on
	activityResting                           // all its requests have their responses
)

// activity returns what the connection is doing, and for how long if it is silent or resting.
func (c *clientConnection) activity(now time.Time, scope connectionScope) (activity connectionActivity, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing || c.pending > 0 || !scope.includes(c.hasDescriptor):
		return activityBusy, 0
	case c.hasStalledRequest(now):
		return activityStalled, 0
	case c.input != inputEmpty:
		return activityBusy, 0
	case c.hasRequested:
		return activityResting, now.Sub(c.lastActive)
	default:
		return activitySilent, now.Sub(c.lastActive)
	}
}

// hasStalledRequest reports whether a request is partly received, and either nothing of it has arrived for at least
// minIdleBeforeReclaim, or not all of it within nextRequestWindow. The caller holds mu.
func (c *clientConnection) hasStalledRequest(now time.Time) bool {
	return c.input == inputPartial &&
		(now.Sub(c.receivedAt) >= minIdleBeforeReclaim || now.Sub(c.partialSince) >= nextRequestWindow)
}

// closeIfStalled closes the connection if it is within the scope, has no pending request, and a partly received request is
// stalled. It reports whether it did. The client gets a rejection, as it may have sent the rest in the meantime.
func (c *clientConnection) closeIfStalled(scope connectionScope) bool {
	c.mu.Lock()
	stalled := c.hasStalledRequest(time.Now()) && c.beginClose(scope)
	c.mu.Unlock()
	if !stalled {
		return false
	}
	slog.Debug("client connection closed", "client", c.RemoteAddr(), "reason", "request stalled")
	c.rawConn.Write(func(fd uintptr) (done bool) {
		unix.Write(int(fd), redcon.AppendError(nil, protocol.RejectedMessage(c.server.retryAfter)))
		return true // all earlier responses are written, so there is room for the line unless the client reads nothing
	})
	c.Close()
	return true
}

// closeIdle closes a connection within the limit to make room, and reports whether it did.
func (s *ClientServer) closeIdle() bool {
	return s.makeRoom(withinLimit, s.quota.limit, minIdleBeforeReclaim)
}

// closeIdleInOverflow closes a connection beyond the descriptor limit to make room, and reports whether it did.
func (s *ClientServer) closeIdleInOverflow() bool {
	return s.makeRoom(overflow, cap(s.overflow), 0)
}

// makeRoom closes one connection within the scope, which has the given number of slots, and reports whether it did: one
// that has not sent a request within firstRequestGrace, or else one whose request is stalled, or else the one that has
// rested longest, for at least minResting.
func (s *ClientServer) makeRoom(scope connectionScope, slots int, minResting time.Duration) bool {
	now := time.Now()
	var silent, stalled, resting []*clientConnection
	for _, c := range s.snapshot() {
		switch activity, duration := c.activity(now, scope); {
		case activity == activitySilent && duration >= minIdleBeforeReclaim:
			silent = append(silent, c)
		case activity == activityStalled:
			stalled = append(stalled, c)
		case activity == activityResting && duration >= minResting:
			resting = append(resting, c)
		}
	}
	grace := firstRequestGrace(len(silent), slots)
	return slices.ContainsFunc(silent, func(c *clientConnection) bool { return c.closeIfIdle(grace, scope) }) ||
		slices.ContainsFunc(stalled, func(c *clientConnection) bool { return c.closeIfStalled(scope) }) ||
		slices.ContainsFunc(resting, func(c *clientConnection) bool { return c.closeIfIdle(minResting, scope) })
}

// firstRequestGrace returns how long a new connection is kept without a first request when another needs its slot, given
// how many have been silent for minIdleBeforeReclaim and how many slots there are. Its client may be slow, and may be
// sending a request again whose first connection was closed; it would not send that a third time. So the time is short
// only if silent connections are the reason why slots are short.
func firstRequestGrace(silent, slots int) time.Duration {
	if float64(silent) >= silentCrowdShare*float64(slots) {
		return minIdleBeforeReclaim
	}
	return nextRequestWindow
}
