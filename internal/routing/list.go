package routing

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// instance is one that the list has named.
type endpointRecord struct {
	endpoint  *decision.Endpoint
	hash      uint32          // of its id, in messages between gateways
	listed    protocol.Member // as discovery last listed it
	removedAt monotonic.Time  // when it went; 0 while it is listed

	downRevision       int64 // the newest revision by which it drained or was gone
	departedByPeerView bool  // a peer's view of a newer revision lacks it
	incarnation        uint32
}

// ready tells whether the instance may be told to the module as one that takes commands.
func (i *endpointRecord) ready() bool { return i.listed.Ready && !i.departedByPeerView }

// peerView is a peer's view of a revision that discovery has not told this gateway yet.
type peerView struct {
	revision int64
	ready    map[uint32]bool
}

// lists is how the router takes in what discovery and peers tell of the list.
type endpointListState struct {
	revision      int64          // of the list held
	confirmedAt   monotonic.Time // when discovery last confirmed it; 0 before it first has
	failedCalls   int            // calls that have failed since
	loggedTrusted bool           // the module goes by the list, for the log
	exchange      *gossip.Exchange
	newerView     *peerView // nil where no peer's view is newer
}

// EndpointListUpdate is an answer of discovery, or the endpoint list that the gateway starts with.
type EndpointListUpdate struct {
	List   *protocol.List
	Cached bool // the list that the gateway starts with, which no discovery has confirmed
	// Full is set where discovery was asked without a revision. The answer may then be of an older revision than the
	// one held, as discovery may have returned with an earlier state.
	Full bool
}

// EndpointListReceived takes an endpoint list in and waits until that is done. It returns protocol.ErrOlder where the
// list is older than the one held.
func (r *Router) EndpointListReceived(update EndpointListUpdate) error {
	done := make(chan error, 1)
	r.events <- func(now monotonic.Time) { done <- r.applyEndpointList(update, now) }
	return <-done
}

// takeList tells the module a list, unless it is older than the one held: that would undo drains that were told.
func (r *Router) applyEndpointList(update EndpointListUpdate, now monotonic.Time) error {
	list, cached, anew := update.List, update.Cached, update.Full
	if list.Revision < r.endpointList.revision && !(anew && list.Whole) {
		return protocol.ErrOlder
	}
	r.endpointList.revision = list.Revision
	current := cached || r.endpointList.exchange == nil || r.endpointList.exchange.DiscoveryConfirmed(list.Revision, anew, now)
	caughtUp := current && r.discardPeerView(anew)
	named := map[*decision.Endpoint]bool{}
	for _, member := range list.Members {
		i := r.endpointRecord(member.ID)
		named[i.endpoint] = true
		r.applyMember(i, member, now)
	}
	if list.Whole {
		r.removeUnlisted(named, now)
	}
	if caughtUp {
		r.restoreDeparted(now)
	}
	r.balancer.CommitEndpointList(cached, now)
	if !cached {
		r.listConfirmed(current, now)
	}
	r.withholdDisallowed(now)
	r.forgetRemoved(now)
	return nil
}

// takeMember tells the module one entry.
func (r *Router) applyMember(i *endpointRecord, member protocol.Member, now monotonic.Time) {
	if was := i.listed.Address; was != "" && was != member.Address || !member.Present {
		r.drivers.CloseIdleConnections(was)
	}
	// What drained or went by a newer list stays so, until it starts anew or discovery has counted beyond.
	if member.Ready && i.downRevision > r.endpointList.revision && i.listed.StartedAt == member.StartedAt && i.listed.Build == member.Build {
		member.Ready = false
	}
	if !member.Present { // a removed entry may lack the rest
		member.StartedAt, member.Build = i.listed.StartedAt, i.listed.Build
	}
	i.listed, i.removedAt = member, 0
	i.incarnation = gossip.Incarnation(member.ID, member.StartedAt, member.Build)
	i.departedByPeerView = r.endpointList.newerView != nil && !r.endpointList.newerView.ready[i.incarnation]
	if !member.Present {
		i.removedAt = now
	}
	if !member.Ready {
		i.downRevision = max(i.downRevision, r.endpointList.revision)
	}
	r.verifyBuild(member.Build)
	r.updateBalancer(i, now)
}

func (r *Router) updateBalancer(i *endpointRecord, now monotonic.Time) {
	m := &i.listed
	r.balancer.UpdateEndpoint(i.endpoint, decision.EndpointStatus{
		Ready:       i.ready(),
		Present:     m.Present,
		Build:       m.Build,
		Zone:        m.Zone,
		MachineType: m.Model,
		Cell:        m.Cell,
		Size:        m.Size,
		StartedAt:   m.StartedAt,
	}, now)
}

// takeOnly tells the module that no others than those named are listed.
func (r *Router) removeUnlisted(named map[*decision.Endpoint]bool, now monotonic.Time) {
	r.balancer.RetainEndpoints(named, now)
	for _, i := range r.endpointsByID {
		if !named[i.endpoint] && i.removedAt == 0 {
			i.removedAt, i.downRevision = now, max(i.downRevision, r.endpointList.revision)
			i.listed.Ready, i.listed.Present = false, false
			r.drivers.CloseIdleConnections(i.listed.Address)
		}
	}
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

// confirmed notes that discovery has answered, and logs the end of a time in which it did not. The list is current unless
// a peer's view is newer.
func (r *Router) listConfirmed(current bool, now monotonic.Time) {
	l := &r.endpointList
	if l.failedCalls > 0 {
		slog.Info("the list is confirmed again", "revision", l.revision, "failures", l.failedCalls,
			"unconfirmed", r.unconfirmedFor(now))
	}
	l.confirmedAt, l.failedCalls = now, 0
	if current {
		r.balancer.EndpointListConfirmed(now)
	}
}

// unconfirmed is how long ago discovery last confirmed the list; 0 if it never has.
func (r *Router) unconfirmedFor(now monotonic.Time) time.Duration {
	if r.endpointList.confirmedAt == 0 {
		return 0
	}
	return time.Duration(now - r.endpointList.confirmedAt).Round(time.Millisecond)
}

// ListFailed tells that the list could not be asked, or that its watch broke. An answer that began and did not come
// whole may have told of drains.
func (r *Router) DiscoveryFailed(err error) {
	r.events <- func(now monotonic.Time) {
		l := &r.endpointList
		l.failedCalls++
		slog.Warn("the watch of the list ended", "cause", err, "revision", l.revision, "failures", l.failedCalls,
			"unconfirmed", r.unconfirmedFor(now))
		if call := (*protocol.CallError)(nil); errors.As(err, &call) && call.Begun {
			r.balancer.DiscoveryResponseBroken(now)
		}
		if l.exchange != nil {
			l.exchange.DiscoveryLost(now)
			r.balancer.UnansweredShareEstimated(l.exchange.UnansweredShare(now))
		}
		r.balancer.DiscoveryFailed(now)
	}
}

// ListBegun tells that an answer of discovery has begun to come.
func (r *Router) DiscoveryResponseStarted() {
	r.events <- func(now monotonic.Time) { r.balancer.DiscoveryResponseStarted(now) }
}

// ListMoved tells that discovery is asked at another address from now on.
func (r *Router) DiscoveryMoved() {
	r.events <- func(now monotonic.Time) {
		r.balancer.DiscoveryMoved(now)
		if r.endpointList.exchange != nil {
			r.endpointList.exchange.DiscoveryLost(now)
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

// logTrust tells when the list is no longer gone by, and when it is again.
func (r *Router) logLease(now monotonic.Time) {
	trusted := r.balancer.EndpointListTrusted(now)
	if trusted == r.endpointList.loggedTrusted {
		return
	}
	r.endpointList.loggedTrusted = trusted
	if trusted {
		slog.Info("the list is trusted", "revision", r.endpointList.revision)
	} else {
		slog.Warn("the list is not trusted: only instances that served lately get requests",
			"revision", r.endpointList.revision, "unconfirmed", r.unconfirmedFor(now))
	}
}

// instance finds what an id names.
func (r *Router) endpointRecord(id string) *endpointRecord {
	i := r.endpointsByID[id]
	if i == nil {
		i = &endpointRecord{endpoint: &decision.Endpoint{}, hash: hashID(id), listed: protocol.Member{ID: id}}
		r.endpointsByID[id], r.endpointRecords[i.endpoint], r.endpointsByHash[i.hash] = i, i, i.endpoint
	}
	return i
}

// forget lets go of instances that the list has not named for long.
func (r *Router) forgetRemoved(now monotonic.Time) {
	for id, i := range r.endpointsByID {
		if i.removedAt > 0 && now-i.removedAt > time.Duration(removedEndpointTTL) {
			delete(r.endpointsByID, id)
			delete(r.endpointRecords, i.endpoint)
			if r.endpointsByHash[i.hash] == i.endpoint {
				delete(r.endpointsByHash, i.hash)
			}
		}
	}
}
