package gossip

import (
	"slices"
	"time"

	"laurelring/decision/monotonic"
)

const (
	// maxReplyDelay limits the random delay of a reply, which gives the replies of other gateways time to arrive first.
	maxReplyDelay = 100 * time.Millisecond
	// broadcastThreshold is the number of gateways that must have queried within broadcastWindow for a reply to be
	// sent to all. It is low because a gateway receives only a few of the queries of a whole fleet.
	broadcastThreshold = 2
	broadcastWindow    = time.Second
	// minAgeGain is the minimum difference in age for which a reply with the same revision is sent.
	minAgeGain = 300 * time.Millisecond
	// replyReuseSpan is how long before a query a reply may have been received to make a further one unnecessary.
	replyReuseSpan = 300 * time.Millisecond
)

// replySchedule holds the pending replies, and the queries and replies by which it is decided whether to send them.
type replySchedule struct {
	recentQueriers []querier      // the latest distinct queriers, at most broadcastThreshold
	unicast        []pendingReply // replies to one gateway each, at most broadcastThreshold
	broadcast      *pendingReply  // reply to all gateways, or nil
	latest         heardReply
}

// querier is a gateway that has queried.
type querier struct {
	rank      int
	queriedAt monotonic.Time
}

// pendingReply is a reply to one or more queries that has not been sent yet.
type pendingReply struct {
	to           int
	includeReady bool           // a querier holds an older revision and needs the ready incarnations
	queriedAt    monotonic.Time // latest query, or the latest that needs the ready incarnations if any does
	dueAt        monotonic.Time
}

// heardReply is a reply that was received from another gateway, or sent to all gateways by this one.
type heardReply struct {
	revision      int64
	heardAt       monotonic.Time
	includesReady bool
}

// supersedes reports whether a heard reply makes a pending one with the given revision unnecessary. If the pending
// reply is to include the ready incarnations, a reply heard before the query did not deliver them to the querier.
func (h heardReply) supersedes(pending *pendingReply, revision int64) bool {
	if h.revision < revision {
		return false
	}
	if pending.includeReady {
		return h.includesReady && h.heardAt >= pending.queriedAt
	}
	return h.heardAt > pending.queriedAt-replyReuseSpan
}

// scheduleReply schedules a reply to a gateway that has queried, or to all gateways if several have queried recently.
func (e *Exchange) scheduleReply(querier int, includeReady bool, now monotonic.Time) {
	if e.replies.recordQuerier(querier, now) {
		e.scheduleBroadcast(includeReady, now)
		return
	}
	if len(e.replies.unicast) >= broadcastThreshold {
		return
	}
	e.replies.unicast = append(e.replies.unicast, pendingReply{
		to:           querier,
		includeReady: includeReady,
		queriedAt:    now,
		dueAt:        now + e.randomDelay(maxReplyDelay),
	})
}

// recordQuerier records a query, and reports whether broadcastThreshold gateways have queried within broadcastWindow.
func (s *replySchedule) recordQuerier(rank int, now monotonic.Time) bool {
	s.recentQueriers = slices.DeleteFunc(s.recentQueriers, func(earlier querier) bool {
		return earlier.rank == rank || now-earlier.queriedAt >= broadcastWindow
	})
	if len(s.recentQueriers) >= broadcastThreshold {
		s.recentQueriers = s.recentQueriers[1:]
	}
	s.recentQueriers = append(s.recentQueriers, querier{rank: rank, queriedAt: now})
	return len(s.recentQueriers) >= broadcastThreshold
}

// scheduleBroadcast schedules a reply to all gateways, or extends the pending one to cover the current query.
func (e *Exchange) scheduleBroadcast(includeReady bool, now monotonic.Time) {
	if e.replies.broadcast == nil {
		e.replies.broadcast = &pendingReply{to: AllGateways, dueAt: now + e.randomDelay(maxReplyDelay)}
	}
	pending := e.replies.broadcast
	if includeReady || !pending.includeReady {
		pending.includeReady, pending.queriedAt = includeReady, now
	}
}

// dueReplies removes the pending replies whose delay has passed, and returns those that must be sent.
func (e *Exchange) dueReplies(now monotonic.Time) []Reply {
	var due []Reply
	if pending := e.replies.broadcast; pending != nil && now >= pending.dueAt {
		if reply, ok := e.composeReply(pending, now); ok {
			due = append(due, reply)
			e.replies.latest = heardReply{revision: e.heldRevision, heardAt: now, includesReady: reply.IncludeReady}
		}
		e.replies.broadcast = nil
	}
	e.replies.unicast = slices.DeleteFunc(e.replies.unicast, func(pending pendingReply) bool {
		if now < pending.dueAt {
			return false
		}
		if reply, ok := e.composeReply(&pending, now); ok {
			due = append(due, reply)
		}
		return true
	})
	return due
}

// composeReply returns the reply to send for a pending one. It returns false if an equivalent reply was heard, or if
// discovery has not confirmed the list recently.
func (e *Exchange) composeReply(pending *pendingReply, now monotonic.Time) (Reply, bool) {
	if !e.recentlyConfirmed(now) || e.replies.latest.supersedes(pending, e.heldRevision) {
		return Reply{}, false
	}
	return Reply{
		To:           pending.to,
		Revision:     e.heldRevision,
		Age:          now - e.confirmedAt,
		IncludeReady: pending.includeReady,
	}, true
}

// limitWait returns the wait, shortened to end when the first pending reply is to be sent.
func (s *replySchedule) limitWait(wait time.Duration, now monotonic.Time) time.Duration {
	for _, pending := range s.unicast {
		wait = min(wait, pending.dueAt-now)
	}
	if s.broadcast != nil {
		wait = min(wait, s.broadcast.dueAt-now)
	}
	return wait
}
