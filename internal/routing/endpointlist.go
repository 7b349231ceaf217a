package routing

import (
	"errors"
	"log/slog"
	"time"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

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
