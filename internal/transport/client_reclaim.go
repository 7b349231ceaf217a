package transport

import (
	"log/slog"
	"slices"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"laurelring/decision/reclaim"
	"laurelring/internal/protocol"
)

// describe returns what the connection is doing, for the choice of one to close when another needs its slot.
func (c *clientConnection) describe(now time.Time) reclaim.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return reclaim.Connection{Activity: c.activity(now), Idle: now.Sub(c.lastActive), Pending: c.pending,
		Answered: c.answered, Misbehaving: c.misbehaving}
}

// activity returns what the connection is doing. The caller holds mu.
func (c *clientConnection) activity(now time.Time) reclaim.Activity {
	switch {
	case c.closing || c.pending > 0:
		return reclaim.Busy
	case c.hasStalledRequest(now):
		return reclaim.Stalled
	case c.input != inputEmpty:
		return reclaim.Busy
	case c.hasRequested:
		return reclaim.Resting
	default:
		return reclaim.Silent
	}
}

// hasStalledRequest reports whether a request is partly received, and either nothing of it has arrived for at least
// reclaim.MinIdle, or not all of it within nextRequestWindow. The caller holds mu.
func (c *clientConnection) hasStalledRequest(now time.Time) bool {
	return c.input == inputPartial &&
		(now.Sub(c.receivedAt) >= reclaim.MinIdle || now.Sub(c.partialSince) >= nextRequestWindow)
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
	return s.makeRoom(withinLimit, reclaim.Slots{Count: s.quota.limit, MinResting: reclaim.MinIdle, KeepUsual: true})
}

// closeIdleInOverflow closes a connection beyond the descriptor limit to make room, and reports whether it did.
func (s *ClientServer) closeIdleInOverflow() bool {
	return s.makeRoom(overflow, reclaim.Slots{Count: cap(s.overflow)})
}

// makeRoom closes one connection within the scope, and reports whether it did. A candidate that has become active since
// it was described is kept.
func (s *ClientServer) makeRoom(scope connectionScope, slots reclaim.Slots) bool {
	connections, described := s.describeConnections(scope)
	slots.FirstRequestDelay = s.firstRequests.bound(time.Now())
	return slices.ContainsFunc(reclaim.Candidates(described, slots), func(candidate reclaim.Candidate) bool {
		c := connections[candidate.Index]
		if candidate.Activity == reclaim.Stalled {
			return c.closeIfStalled(scope)
		}
		return c.closeIfIdle(candidate.MinIdle, scope)
	})
}

// describeConnections returns the open connections within the scope and what they are doing, longest idle first.
func (s *ClientServer) describeConnections(scope connectionScope) ([]*clientConnection, []reclaim.Connection) {
	now := time.Now()
	connections := slices.DeleteFunc(s.snapshot(), func(c *clientConnection) bool { return !scope.includes(c.holdsDescriptor()) })
	described := make([]reclaim.Connection, len(connections))
	for i, c := range connections {
		described[i] = c.describe(now)
	}
	return connections, described
}

// keepsResting reports whether a resting connection is kept beyond idleTimeout: if it is one of a usual client, and other
// connections hold half of the descriptors for clients or more. Its client would have to come again through that crowd.
func (s *ClientServer) keepsResting(c *clientConnection) bool {
	if !c.describe(time.Now()).IsUsual() {
		return false
	}
	_, described := s.describeConnections(withinLimit)
	return reclaim.IsCrowded(described, s.quota.limit)
}

// closeExcessIdle closes the longest idle of the connections that rest, if more than maxIdle of them do.
func (s *ClientServer) closeExcessIdle() {
	connections, described := s.describeConnections(withinLimit)
	s.crowded.Store(reclaim.IsCrowded(described, s.quota.limit))
	for _, index := range reclaim.ExcessResting(described, s.maxIdle) {
		connections[index].closeIfIdle(reclaim.MinIdle, withinLimit)
	}
}
