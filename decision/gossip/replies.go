package gossip

import (
	"slices"
	"time"

	"laurelring/decision/monotonic"
)

const (
	// maxReplyDelay bounds the random delay of a reply, so that the replies of others are received before.
	maxReplyDelay = 100 * time.Millisecond
	// broadcastThreshold is how many gateways must have queried within broadcastWindow for a reply to go to all. A
	// gateway receives only a few of the queries of a whole fleet.
	broadcastThreshold = 2
	broadcastWindow    = time.Second
	// minAgeGain is the least difference of ages for which a reply of the same revision is sent.
	minAgeGain = 300 * time.Millisecond
	// replyReuseSpan is how long before a query a reply may have been heard that makes another needless.
	replyReuseSpan = 300 * time.Millisecond
)

// replySchedule holds the replies that wait to be sent, and what decides on them.
type replySchedule struct {
	recentQueriers []querier      // the latest, each once, broadcastThreshold at most
	unicast        []pendingReply // each to one gateway, broadcastThreshold at most
	broadcast      *pendingReply  // to all gateways, or nil
	latest         heardReply
}

// querier is a gateway that has queried.
type querier struct {
	rank      int
	queriedAt monotonic.Time
}

// pendingReply is the reply to a query, or to several, that waits to be sent.
type pendingReply struct {
	to           int
	includeReady bool           // an older revision is held: the ready incarnations are needed
	queriedAt    monotonic.Time // of the latest query, of those that need the ready incarnations if there are any
	dueAt        monotonic.Time
}

// heardReply is a reply that was received, or sent to all.
type heardReply struct {
	revision      int64
	heardAt       monotonic.Time
	includesReady bool
}

// supersedes reports whether a reply that was heard makes a pending one of a revision needless. Where that is to bring
// the ready incarnations, one that was heard before the query did not bring them.
func (h heardReply) supersedes(pending *pendingReply, revision int64) bool {
	if h.revision < revision {
		return false
	}
	if pending.includeReady {
		return h.includesReady && h.heardAt >= pending.queriedAt
	}
	return h.heardAt > pending.queriedAt-replyReuseSpan
}

// scheduleReply has a reply go to a gateway that has queried, or to all where several have.
func (e *Exchange) scheduleReply(querier int, includeReady bool, now monotonic.Time) {
	if e.replies.noteQuerier(querier, now) {
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

// noteQuerier notes a query, and reports whether several gateways have queried of late.
func (s *replySchedule) noteQuerier(rank int, now monotonic.Time) bool {
	s.recentQueriers = slices.DeleteFunc(s.recentQueriers, func(earlier querier) bool {
		return earlier.rank == rank || now-earlier.queriedAt >= broadcastWindow
	})
	if len(s.recentQueriers) >= broadcastThreshold {
		s.recentQueriers = s.recentQueriers[1:]
	}
	s.recentQueriers = append(s.recentQueriers, querier{rank: rank, queriedAt: now})
	return len(s.recentQueriers) >= broadcastThreshold
}

// scheduleBroadcast has a reply go to all gateways, for the present query as well.
func (e *Exchange) scheduleBroadcast(includeReady bool, now monotonic.Time) {
	if e.replies.broadcast == nil {
		e.replies.broadcast = &pendingReply{to: AllGateways, dueAt: now + e.randomDelay(maxReplyDelay)}
	}
	pending := e.replies.broadcast
	if includeReady || !pending.includeReady {
		pending.includeReady, pending.queriedAt = includeReady, now
	}
}

// dueReplies returns the replies that are to be sent by now.
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

// composeReply returns a reply, unless one as good was heard or discovery has not confirmed the list lately.
func (e *Exchange) composeReply(pending *pendingReply, now monotonic.Time) (Reply, bool) {
	if !e.confirmedLately(now) || e.replies.latest.supersedes(pending, e.heldRevision) {
		return Reply{}, false
	}
	return Reply{
		To:           pending.to,
		Revision:     e.heldRevision,
		Age:          now - e.confirmedAt,
		IncludeReady: pending.includeReady,
	}, true
}

// limitWait returns a wait, cut short by the first reply that is due.
func (s *replySchedule) limitWait(wait time.Duration, now monotonic.Time) time.Duration {
	for _, pending := range s.unicast {
		wait = min(wait, pending.dueAt-now)
	}
	if s.broadcast != nil {
		wait = min(wait, s.broadcast.dueAt-now)
	}
	return wait
}
