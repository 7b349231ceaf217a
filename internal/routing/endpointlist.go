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

// endpointListState is what the router knows of the endpoint list beside its endpoints.
type endpointListState struct {
	revision    int64            // of the list held
	confirmedAt monotonic.Time   // when discovery last confirmed it; 0 before it first has
	failures    int              // of discovery since then
	exchange    *gossip.Exchange // nil where gateways exchange no views
	newerView   *peerView        // nil where no peer's view is newer than the list held

	loggedTrusted bool // whether the lease was valid when its state was last logged
}

// unconfirmedFor is how long ago discovery last confirmed the list, for the log; 0 if it never has.
func (s *endpointListState) unconfirmedFor(now monotonic.Time) time.Duration {
	if s.confirmedAt == 0 {
		return 0
	}
	return (now - s.confirmedAt).Round(time.Millisecond)
}

// EndpointListUpdate is an answer of discovery, or the endpoint list that the gateway starts with.
type EndpointListUpdate struct {
	List   *protocol.EndpointList
	Cached bool // the list that the gateway starts with, which no discovery has confirmed
	// Full is set where discovery was asked without a revision. The answer may then be of an older revision than the
	// one held, as discovery may have returned with an earlier state.
	Full bool
}

// EndpointListReceived posts an endpoint list and waits until it is processed. It returns protocol.ErrOlderList where the
// list is older than the one held, and ErrEnded where the router has ended.
func (r *Router) EndpointListReceived(update EndpointListUpdate) error {
	processed := make(chan error, 1)
	posted := r.post(func(now monotonic.Time) { processed <- r.applyEndpointList(update, now) })
	if !posted {
		return ErrEnded
	}
	select {
	case err := <-processed:
		return err
	case <-r.done:
		return ErrEnded
	}
}

// applyEndpointList updates the balancer's endpoints. A list that is older than the one held is refused, as it would undo
// drains, unless discovery was asked without a revision and gave a complete list.
func (r *Router) applyEndpointList(update EndpointListUpdate, now monotonic.Time) error {
	list := update.List
	if list.Revision < r.list.revision && !(update.Full && list.Complete) {
		return protocol.ErrOlderList
	}
	r.list.revision = list.Revision
	current := update.Cached || r.list.exchange == nil ||
		r.list.exchange.DiscoveryConfirmed(list.Revision, update.Full, now)
	if current {
		r.discardPeerView(update.Full)
	}
	r.applyMembers(list, now)
	r.restoreDeparted(now)
	r.balancer.CommitEndpointList(update.Cached, now)
	if !update.Cached {
		r.listConfirmed(current, now)
	}
	r.withholdDisallowed(now)
	r.endpoints.expire(now)
	return nil
}

// applyMembers updates the endpoints that a list names, and removes the others where it is complete.
func (r *Router) applyMembers(list *protocol.EndpointList, now monotonic.Time) {
	named := map[*decision.Endpoint]bool{}
	for _, member := range list.Entries {
		record := r.endpoints.record(member.ID)
		named[record.endpoint] = true
		r.applyMember(record, member, now)
	}
	if list.Complete {
		r.retainOnly(named, now)
	}
}

// applyMember updates an endpoint by its entry in the list.
func (r *Router) applyMember(record *endpointRecord, member protocol.EndpointEntry, now monotonic.Time) {
	address := record.listed.Address
	moved := address != "" && address != member.Address
	if moved || !member.Present {
		r.drivers.CloseIdleConnections(address)
	}
	record.list(member, r.list.revision, now)
	record.departed = r.isDeparted(record, now)
	r.verifyBuild(record.listed.Build)
	r.balancer.UpdateEndpoint(record.endpoint, record.status(), now)
}

// retainOnly removes the endpoints that a complete list does not name.
func (r *Router) retainOnly(named map[*decision.Endpoint]bool, now monotonic.Time) {
	r.balancer.RetainEndpoints(named)
	for _, record := range r.endpoints.inOrder() {
		if named[record.endpoint] || record.removedAt != 0 {
			continue
		}
		record.unlist(r.list.revision, now)
		r.drivers.CloseIdleConnections(record.listed.Address)
	}
}

// listConfirmed notes that discovery has answered. That renews the lease where the list is current, which it is unless a
// peer's view is newer.
func (r *Router) listConfirmed(current bool, now monotonic.Time) {
	if r.list.failures > 0 {
		slog.Info("endpoint list confirmed again", "revision", r.list.revision, "failures", r.list.failures,
			"unconfirmed_for", r.list.unconfirmedFor(now))
	}
	r.list.confirmedAt, r.list.failures = now, 0
	if current {
		r.balancer.EndpointListConfirmed(now)
	}
}

// DiscoveryFailed posts that discovery could not be asked, or that a watch of the endpoint list broke. A response that
// began and did not arrive whole may have listed drains.
func (r *Router) DiscoveryFailed(err error) {
	r.post(func(now monotonic.Time) {
		r.list.failures++
		slog.Warn("endpoint list watch failed", "error", err, "revision", r.list.revision,
			"failures", r.list.failures, "unconfirmed_for", r.list.unconfirmedFor(now))
		var call *protocol.CallError
		if errors.As(err, &call) && call.ResponseStarted {
			r.balancer.DiscoveryResponseBroken(now)
		}
		if r.list.exchange != nil {
			r.list.exchange.DiscoveryLost(now)
			r.balancer.UnansweredShareEstimated(r.list.exchange.UnansweredShare(now))
		}
		r.balancer.DiscoveryFailed(now)
	})
}

// DiscoveryResponseStarted posts that a response of discovery has begun to arrive.
func (r *Router) DiscoveryResponseStarted() {
	r.post(func(now monotonic.Time) { r.balancer.DiscoveryResponseStarted(now) })
}

// DiscoveryMoved posts that discovery is asked at another address from now on.
func (r *Router) DiscoveryMoved() {
	r.post(func(now monotonic.Time) {
		r.balancer.DiscoveryMoved(now)
		if r.list.exchange != nil {
			r.list.exchange.DiscoveryLost(now)
		}
	})
}

// logLease logs when the lease on the endpoint list expires, and when it is valid again. Without it only endpoints that
// served lately get requests.
func (r *Router) logLease(now monotonic.Time) {
	trusted := r.balancer.EndpointListTrusted(now)
	if trusted == r.list.loggedTrusted {
		return
	}
	r.list.loggedTrusted = trusted
	if trusted {
		slog.Info("endpoint list lease valid again", "revision", r.list.revision)
		return
	}
	slog.Warn("endpoint list lease expired", "revision", r.list.revision,
		"unconfirmed_for", r.list.unconfirmedFor(now))
}
