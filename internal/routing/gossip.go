package routing

import (
	"log/slog"
	"slices"
	"time"

	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// peerView is a peer's view of a revision that discovery has not told this gateway yet.
type peerView struct {
	revision int64
	ready    map[uint32]bool
}

// dropView lets go of a peer's view, as the list held is current, and tells whether there was one. What it lacked stays
// so where discovery counts anew.
func (r *Router) discardPeerView(anew bool) bool {
	if r.endpointList.newerView == nil {
		return false
	}
	if anew && r.endpointList.revision < r.endpointList.newerView.revision {
		for _, i := range r.endpointsByID {
			if i.departedByPeerView {
				i.downRevision = max(i.downRevision, r.endpointList.newerView.revision)
			}
		}
	}
	r.endpointList.newerView = nil
	return true
}

// recall tells the module again of instances that a peer's view lacked, as discovery now lists them.
func (r *Router) restoreDeparted(now monotonic.Time) {
	for _, i := range r.endpointsByID {
		if !i.departedByPeerView {
			continue
		}
		i.departedByPeerView = false
		if i.downRevision > r.endpointList.revision {
			i.listed.Ready = false
		}
		if i.removedAt == 0 {
			r.updateBalancer(i, now)
		}
	}
}

// heardOfList takes in what a peer asks or tells of the list, and tells whether the datagram was of that kind.
func (r *Router) gossipReceived(from int, text []byte, now monotonic.Time) bool {
	if query, ok := protocol.UnpackQuery(text); ok {
		r.endpointList.exchange.QueryReceived(from, query, now)
		return true
	}
	view, ok := protocol.UnpackView(text)
	if !ok {
		return false
	}
	if learned := r.endpointList.exchange.ViewReceived(from, view, now); learned != nil {
		r.applyPeerView(learned, now)
	}
	return true
}

// learn goes by a peer's view: instances that it lacks have drained or gone since the revision that is held.
func (r *Router) applyPeerView(learned *gossip.LearnedView, now monotonic.Time) {
	if learned.Ready != nil {
		r.endpointList.newerView = &peerView{learned.Revision, learned.Ready}
		departed := 0
		for _, i := range r.endpointsByID {
			if i.removedAt > 0 || i.departedByPeerView == !learned.Ready[i.incarnation] {
				continue
			}
			if i.departedByPeerView = !i.departedByPeerView; i.departedByPeerView {
				departed++
				r.drivers.CloseIdleConnections(i.listed.Address)
			}
			r.updateBalancer(i, now)
		}
		slog.Info("a peer told of a newer list", "revision", learned.Revision, "held", r.endpointList.revision,
			"departed", departed)
		r.withholdDisallowed(now)
	}
	r.balancer.EndpointListConfirmed(learned.ConfirmedAt)
}

// exchangeViews sends what is due between gateways about the list, and gives how long to wait.
func (r *Router) sendGossip(now monotonic.Time) time.Duration {
	due, wait := r.endpointList.exchange.Tick(now)
	for _, to := range due.QueryRecipients {
		r.drivers.SendDatagram(to, protocol.PackQuery(due.Query))
	}
	var ready []uint32
	for _, reply := range due.Replies {
		if !reply.IncludeReady {
			r.drivers.SendDatagram(reply.To, protocol.PackView(gossip.View{Revision: reply.Revision, Age: reply.Age}))
			continue
		}
		if ready == nil {
			ready = r.readyIncarnations()
		}
		for _, view := range gossip.SplitView(reply.Revision, reply.Age, ready, protocol.ViewEach) {
			r.drivers.SendDatagram(reply.To, protocol.PackView(view))
		}
	}
	return wait
}

// readyIncarnations are those that discovery lists as ready, in their order.
func (r *Router) readyIncarnations() []uint32 {
	var ready []uint32
	for _, i := range r.endpointsByID {
		if i.listed.Ready && i.removedAt == 0 {
			ready = append(ready, i.incarnation)
		}
	}
	slices.Sort(ready)
	return ready
}

// Heard tells a datagram of another gateway.
func (r *Router) DatagramReceived(from int, text []byte) {
	r.events <- func(now monotonic.Time) {
		if r.endpointList.exchange != nil && r.gossipReceived(from, text, now) {
			return
		}
		if t := protocol.UnpackTotals(text, from, r.endpointByHash); t != nil {
			r.balancer.EvidenceReceived(t, now)
		} else if f := protocol.UnpackFinding(text, from, r.endpointByHash); f != nil {
			r.balancer.VoterReportReceived(f, now)
		}
	}
}
