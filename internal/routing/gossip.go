package routing

import (
	"log/slog"
	"slices"
	"time"

	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// peerView is a peer's view of a revision that discovery has not given this gateway yet.
type peerView struct {
	revision    int64
	confirmedAt monotonic.Time  // the moment for which it holds
	ready       map[uint32]bool // by incarnation
}

// DatagramReceived posts a datagram of the gateway of a rank.
func (r *Router) DatagramReceived(sender int, datagram []byte) {
	r.post(func(now monotonic.Time) {
		if r.list.exchange != nil && r.gossipReceived(sender, datagram, now) {
			return
		}
		r.evidenceReceived(sender, datagram, now)
	})
}

// gossipReceived takes in a peer's query or view of the endpoint list, and reports whether the datagram was one.
func (r *Router) gossipReceived(sender int, datagram []byte, now monotonic.Time) bool {
	if query, ok := protocol.DecodeGossipQuery(datagram); ok {
		r.list.exchange.QueryReceived(sender, query, now)
		return true
	}
	view, ok := protocol.DecodeGossipView(datagram)
	if !ok {
		return false
	}
	if r.balancer.CatchingUp(now) && !r.balancer.EndpointListTrusted(now) {
		return true // it may have lain unread through a long stall: nobody knows its age. A further query brings another
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

// applyPeerView goes by a newer view of a peer: the endpoints that it lacks have begun to drain or were removed since the
// revision held.
func (r *Router) applyPeerView(view *peerView, now monotonic.Time) {
	r.list.newerView = view
	departed := 0
	for _, record := range r.endpoints.inOrder() {
		lacking := !view.ready[record.incarnation]
		if record.removedAt > 0 || record.departed == lacking {
			continue
		}
		record.departed = lacking
		if lacking {
			departed++
			r.drivers.CloseIdleConnections(record.listed.Address)
		}
		r.balancer.UpdateEndpoint(record.endpoint, record.status(), now)
	}
	slog.Info("newer endpoint list learned from peer", "revision", view.revision,
		"held_revision", r.list.revision, "departed", departed)
	r.withholdDisallowed(now)
}

// discardPeerView forgets a peer's view, as the list held is current. Where discovery counts from an older revision again,
// what the view lacked stays unready for as long as the view would have stood. It is no longer than that: a single view may
// be faulty, or of a revision that discovery never comes to again.
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

// isDeparted reports whether peers know that an endpoint has begun to drain or has gone, and discovery has not come so far.
func (r *Router) isDeparted(record *endpointRecord, now monotonic.Time) bool {
	if view := r.list.newerView; view != nil {
		return !view.ready[record.incarnation]
	}
	return r.list.revision < record.departedRevision && now < record.departedUntil
}

// restoreDeparted has the endpoints that a discarded view lacked go by discovery again.
func (r *Router) restoreDeparted(now monotonic.Time) {
	if !r.endpoints.anyDeparted() {
		return
	}
	for _, record := range r.endpoints.inOrder() {
		if !record.departed || r.isDeparted(record, now) {
			continue
		}
		record.departed = false
		if record.removedAt == 0 {
			r.balancer.UpdateEndpoint(record.endpoint, record.status(), now)
		}
	}
}

// sendGossip sends the queries and replies that are due, and returns how long to wait for the next.
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

// readyIncarnations returns what discovery lists as ready, in ascending order.
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
