package routing

import (
	"log/slog"
	"slices"
	"time"

	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// peerView is a peer's view of a revision that this gateway has not received from discovery yet.
type peerView struct {
	revision    int64
	confirmedAt monotonic.Time  // time at which discovery confirmed the view to the peer
	ready       map[uint32]bool // by incarnation
}

// DatagramReceived posts a datagram from the gateway whose rank is sender.
func (r *Router) DatagramReceived(sender int, datagram []byte) {
	r.post(func(now monotonic.Time) {
		if r.list.exchange != nil && r.handleGossip(sender, datagram, now) {
			return
		}
		r.handleEvidence(sender, datagram, now)
	})
}

// handleGossip processes a peer's query or view of the endpoint list, and reports whether the datagram was one of them.
func (r *Router) handleGossip(sender int, datagram []byte, now monotonic.Time) bool {
	if query, ok := protocol.DecodeGossipQuery(datagram); ok {
		r.list.exchange.QueryReceived(sender, query, now)
		return true
	}
	view, ok := protocol.DecodeGossipView(datagram)
	if !ok {
		return false
	}
	if r.balancer.CatchingUp(now) && !r.balancer.EndpointListTrusted(now) {
		return true // of unknown age, as it may have been unread during a long stall; the next query brings another
	}
	learned := r.list.exchange.ViewReceived(sender, view, now)
	if learned == nil {
		return true
	}
	if learned.Ready != nil {
		view := &peerView{revision: learned.Revision, confirmedAt: learned.ConfirmedAt, ready: learned.Ready}
		r.applyPeerView(view, now)
	}
	r.balancer.EndpointListConfirmed(learned.ConfirmedAt)
	return true
}

// applyPeerView applies a newer view of a peer. Endpoints that are missing from the view have begun to drain or were
// removed since the held revision.
func (r *Router) applyPeerView(view *peerView, now monotonic.Time) {
	r.list.newerView = view
	departed := 0
	for _, record := range r.endpoints.sortedRecords() {
		missing := !view.ready[record.incarnation]
		if record.removedAt > 0 || record.departed == missing {
			continue
		}
		record.departed = missing
		if missing {
			departed++
			r.drivers.CloseIdleConnections(record.listed.Address)
		}
		r.balancer.UpdateEndpoint(record.endpoint, record.status(), now)
	}
	slog.Info("newer endpoint list learned from peer", "revision", view.revision,
		"held_revision", r.list.revision, "departed", departed)
	r.withholdDisallowed(now)
}

// discardPeerView discards the peer's view because the held list is current. If discovery has started again from an
// older revision, the endpoints that are missing from the view stay unready for as long as the view would have been
// valid, but no longer: a single view may be faulty, or of a revision that discovery never reaches again.
func (r *Router) discardPeerView(full bool) {
	view := r.list.newerView
	if view == nil {
		return
	}
	if full && r.list.revision < view.revision {
		for _, record := range r.endpoints.byID {
			if record.departed {
				record.departedRevision = view.revision
				record.departedUntil = view.confirmedAt + gossip.NewerViewTTL
			}
		}
	}
	r.list.newerView = nil
}

// isDeparted reports whether a peer's view shows that an endpoint has begun to drain or was removed, at a revision that
// discovery has not reached yet.
func (r *Router) isDeparted(record *endpointRecord, now monotonic.Time) bool {
	if view := r.list.newerView; view != nil {
		return !view.ready[record.incarnation]
	}
	return r.list.revision < record.departedRevision && now < record.departedUntil
}

// restoreDeparted gives departed endpoints the status that discovery lists once no peer's view applies to them any
// more.
func (r *Router) restoreDeparted(now monotonic.Time) {
	if !r.endpoints.anyDeparted() {
		return
	}
	for _, record := range r.endpoints.sortedRecords() {
		if !record.departed || r.isDeparted(record, now) {
			continue
		}
		record.departed = false
		if record.removedAt == 0 {
			r.balancer.UpdateEndpoint(record.endpoint, record.status(), now)
		}
	}
}

// sendGossip sends the queries and replies that are due, and returns the longest time to wait for the next call.
func (r *Router) sendGossip(now monotonic.Time) time.Duration {
	due, wait := r.list.exchange.Tick(now)
	for _, recipient := range due.QueryRecipients {
		r.drivers.SendDatagram(recipient, protocol.EncodeGossipQuery(due.Query), now)
	}
	var ready []uint32
	for _, reply := range due.Replies {
		if !reply.IncludeReady {
			view := gossip.View{Revision: reply.Revision, Age: reply.Age}
			r.drivers.SendDatagram(reply.To, protocol.EncodeGossipView(view), now)
			continue
		}
		if ready == nil {
			ready = r.endpoints.readyIncarnations()
		}
		for _, view := range gossip.SplitView(reply.Revision, reply.Age, ready, protocol.MaxIncarnationsPerView) {
			r.drivers.SendDatagram(reply.To, protocol.EncodeGossipView(view), now)
		}
	}
	return wait
}

// readyIncarnations returns the incarnations that discovery lists as ready, in ascending order.
func (t *endpointTable) readyIncarnations() []uint32 {
	var ready []uint32
	for _, record := range t.byID {
		if record.listed.Ready && record.removedAt == 0 {
			ready = append(ready, record.incarnation)
		}
	}
	slices.Sort(ready)
	return ready
}
