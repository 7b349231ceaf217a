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
type instance struct {
	it     *decision.Endpoint
	number uint32                 // of its id, in messages between gateways
	listed protocol.EndpointEntry // as discovery last listed it
	goneAt monotonic.Time         // when it went; 0 while it is listed

	down        int64 // the newest revision by which it drained or was gone
	departed    bool  // a peer's view of a newer revision lacks it
	incarnation uint32
}

// ready tells whether the instance may be told to the module as one that takes commands.
func (i *instance) ready() bool { return i.listed.Ready && !i.departed }

// peerView is a peer's view of a revision that discovery has not told this gateway yet.
type peerView struct {
	revision int64
	ready    map[uint32]bool
}

// lists is how the router takes in what discovery and peers tell of the list.
type lists struct {
	revision    int64          // of the list held
	confirmedAt monotonic.Time // when discovery last confirmed it; 0 before it first has
	failures    int            // calls that have failed since
	trusted     bool           // the module goes by the list, for the log
	exchange    *gossip.Exchange
	ahead       *peerView // nil where no peer's view is newer
}

// Share has this gateway exchange views of the list with its peers. It is called before Run.
func (r *Router) Share(exchange *gossip.Exchange) { r.list.exchange = exchange }

// Listed tells an answer of discovery, or the list as it was known at the start; it gives the revision. A list that was
// asked for anew, from no revision on, may be of an older one than held: discovery came back with what it had before.
func (r *Router) Listed(list *protocol.EndpointList, cached, anew bool) (revision int64, err error) {
	done := make(chan error, 1)
	r.events <- func(now monotonic.Time) { done <- r.takeList(list, cached, anew, now) }
	return list.Revision, <-done
}

// takeList tells the module a list, unless it is older than the one held: that would undo drains that were told.
func (r *Router) takeList(list *protocol.EndpointList, cached, anew bool, now monotonic.Time) error {
	if list.Revision < r.list.revision && !(anew && list.Complete) {
		return protocol.ErrOlderList
	}
	r.list.revision = list.Revision
	current := cached || r.list.exchange == nil || r.list.exchange.Confirmed(list.Revision, anew, now)
	caughtUp := current && r.dropView(anew)
	named := map[*decision.Endpoint]bool{}
	for _, member := range list.Entries {
		i := r.instance(member.ID)
		named[i.it] = true
		r.takeMember(i, member, now)
	}
	if list.Complete {
		r.takeOnly(named, now)
	}
	if caughtUp {
		r.recall(now)
	}
	r.gateway.CommitEndpointList(cached, now)
	if !cached {
		r.confirmed(current, now)
	}
	r.withhold(now)
	r.forget(now)
	return nil
}

// takeMember tells the module one entry.
func (r *Router) takeMember(i *instance, member protocol.EndpointEntry, now monotonic.Time) {
	if was := i.listed.Address; was != "" && was != member.Address || !member.Present {
		r.outside.Drop(was)
	}
	// What drained or went by a newer list stays so, until it starts anew or discovery has counted beyond.
	if member.Ready && i.down > r.list.revision && i.listed.StartedAt == member.StartedAt && i.listed.Build == member.Build {
		member.Ready = false
	}
	if !member.Present { // a removed entry may lack the rest
		member.StartedAt, member.Build = i.listed.StartedAt, i.listed.Build
	}
	i.listed, i.goneAt = member, 0
	i.incarnation = gossip.Incarnation(member.ID, member.StartedAt, member.Build)
	i.departed = r.list.ahead != nil && !r.list.ahead.ready[i.incarnation]
	if !member.Present {
		i.goneAt = now
	}
	if !member.Ready {
		i.down = max(i.down, r.list.revision)
	}
	r.meet(member.Build)
	r.tellInstance(i, now)
}

func (r *Router) tellInstance(i *instance, now monotonic.Time) {
	m := &i.listed
	r.gateway.UpdateEndpoint(i.it, decision.EndpointStatus{
		Ready:       i.ready(),
		Present:     m.Present,
		Build:       m.Build,
		Zone:        m.Zone,
		MachineType: m.MachineType,
		Cell:        m.Cell,
		Size:        m.Size,
		StartedAt:   m.StartedAt,
	}, now)
}

// takeOnly tells the module that no others than those named are listed.
func (r *Router) takeOnly(named map[*decision.Endpoint]bool, now monotonic.Time) {
	r.gateway.RetainEndpoints(named, now)
	for _, i := range r.instances {
		if !named[i.it] && i.goneAt == 0 {
			i.goneAt, i.down = now, max(i.down, r.list.revision)
			i.listed.Ready, i.listed.Present = false, false
			r.outside.Drop(i.listed.Address)
		}
	}
}

// dropView lets go of a peer's view, as the list held is current, and tells whether there was one. What it lacked stays
// so where discovery counts anew.
func (r *Router) dropView(anew bool) bool {
	if r.list.ahead == nil {
		return false
	}
	if anew && r.list.revision < r.list.ahead.revision {
		for _, i := range r.instances {
			if i.departed {
				i.down = max(i.down, r.list.ahead.revision)
			}
		}
	}
	r.list.ahead = nil
	return true
}

// recall tells the module again of instances that a peer's view lacked, as discovery now lists them.
func (r *Router) recall(now monotonic.Time) {
	for _, i := range r.instances {
		if !i.departed {
			continue
		}
		i.departed = false
		if i.down > r.list.revision {
			i.listed.Ready = false
		}
		if i.goneAt == 0 {
			r.tellInstance(i, now)
		}
	}
}

// confirmed notes that discovery has answered, and logs the end of a time in which it did not. The list is current unless
// a peer's view is newer.
func (r *Router) confirmed(current bool, now monotonic.Time) {
	l := &r.list
	if l.failures > 0 {
		slog.Info("the list is confirmed again", "revision", l.revision, "failures", l.failures,
			"unconfirmed", r.unconfirmed(now))
	}
	l.confirmedAt, l.failures = now, 0
	if current {
		r.gateway.EndpointListConfirmed(now)
	}
}

// unconfirmed is how long ago discovery last confirmed the list; 0 if it never has.
func (r *Router) unconfirmed(now monotonic.Time) time.Duration {
	if r.list.confirmedAt == 0 {
		return 0
	}
	return time.Duration(now - r.list.confirmedAt).Round(time.Millisecond)
}

// ListFailed tells that the list could not be asked, or that its watch broke. An answer that began and did not come
// whole may have told of drains.
func (r *Router) ListFailed(err error) {
	r.events <- func(now monotonic.Time) {
		l := &r.list
		l.failures++
		slog.Warn("the watch of the list ended", "cause", err, "revision", l.revision, "failures", l.failures,
			"unconfirmed", r.unconfirmed(now))
		if call := (*protocol.CallError)(nil); errors.As(err, &call) && call.ResponseStarted {
			r.gateway.DiscoveryResponseBroken(now)
		}
		if l.exchange != nil {
			l.exchange.Unconfirmed(now)
			r.gateway.UnansweredShareEstimated(l.exchange.Crowd(now))
		}
		r.gateway.DiscoveryFailed(now)
	}
}

// ListBegun tells that an answer of discovery has begun to come.
func (r *Router) ListBegun() {
	r.events <- func(now monotonic.Time) { r.gateway.DiscoveryResponseStarted(now) }
}

// ListMoved tells that discovery is asked at another address from now on.
func (r *Router) ListMoved() {
	r.events <- func(now monotonic.Time) {
		r.gateway.DiscoveryMoved(now)
		if r.list.exchange != nil {
			r.list.exchange.Unconfirmed(now)
		}
	}
}

// heardOfList takes in what a peer asks or tells of the list, and tells whether the datagram was of that kind.
func (r *Router) heardOfList(from int, text []byte, now monotonic.Time) bool {
	if query, ok := protocol.DecodeGossipQuery(text); ok {
		r.list.exchange.Queried(from, query, now)
		return true
	}
	view, ok := protocol.DecodeGossipView(text)
	if !ok {
		return false
	}
	if learned := r.list.exchange.Told(from, view, now); learned != nil {
		r.learn(learned, now)
	}
	return true
}

// learn goes by a peer's view: instances that it lacks have drained or gone since the revision that is held.
func (r *Router) learn(learned *gossip.Learned, now monotonic.Time) {
	if learned.Ready != nil {
		r.list.ahead = &peerView{learned.Revision, learned.Ready}
		departed := 0
		for _, i := range r.instances {
			if i.goneAt > 0 || i.departed == !learned.Ready[i.incarnation] {
				continue
			}
			if i.departed = !i.departed; i.departed {
				departed++
				r.outside.Drop(i.listed.Address)
			}
			r.tellInstance(i, now)
		}
		slog.Info("a peer told of a newer list", "revision", learned.Revision, "held", r.list.revision,
			"departed", departed)
		r.withhold(now)
	}
	r.gateway.EndpointListConfirmed(learned.At)
}

// exchangeViews sends what is due between gateways about the list, and gives how long to wait.
func (r *Router) exchangeViews(now monotonic.Time) time.Duration {
	due, wait := r.list.exchange.Next(now)
	for _, to := range due.Queried {
		r.outside.Post(to, protocol.EncodeGossipQuery(due.Query))
	}
	var ready []uint32
	for _, reply := range due.Replies {
		if !reply.Whole {
			r.outside.Post(reply.To, protocol.EncodeGossipView(gossip.View{Revision: reply.Revision, Age: reply.Age}))
			continue
		}
		if ready == nil {
			ready = r.readyIncarnations()
		}
		for _, view := range gossip.Split(reply.Revision, reply.Age, ready, protocol.MaxIncarnationsPerView) {
			r.outside.Post(reply.To, protocol.EncodeGossipView(view))
		}
	}
	return wait
}

// readyIncarnations are those that discovery lists as ready, in their order.
func (r *Router) readyIncarnations() []uint32 {
	var ready []uint32
	for _, i := range r.instances {
		if i.listed.Ready && i.goneAt == 0 {
			ready = append(ready, i.incarnation)
		}
	}
	slices.Sort(ready)
	return ready
}

// logTrust tells when the list is no longer gone by, and when it is again.
func (r *Router) logTrust(now monotonic.Time) {
	trusted := r.gateway.EndpointListTrusted(now)
	if trusted == r.list.trusted {
		return
	}
	r.list.trusted = trusted
	if trusted {
		slog.Info("the list is trusted", "revision", r.list.revision)
	} else {
		slog.Warn("the list is not trusted: only instances that served lately get requests",
			"revision", r.list.revision, "unconfirmed", r.unconfirmed(now))
	}
}

// instance finds what an id names.
func (r *Router) instance(id string) *instance {
	i := r.instances[id]
	if i == nil {
		i = &instance{it: &decision.Endpoint{}, number: numberOf(id), listed: protocol.EndpointEntry{ID: id}}
		r.instances[id], r.known[i.it], r.numbered[i.number] = i, i, i.it
	}
	return i
}

// forget lets go of instances that the list has not named for long.
func (r *Router) forget(now monotonic.Time) {
	for id, i := range r.instances {
		if i.goneAt > 0 && now-i.goneAt > time.Duration(goneFor) {
			delete(r.instances, id)
			delete(r.known, i.it)
			if r.numbered[i.number] == i.it {
				delete(r.numbered, i.number)
			}
		}
	}
}
