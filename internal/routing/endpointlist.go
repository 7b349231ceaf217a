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

// failureLogInterval is the shortest time between two log lines about failures of discovery while the list is not
// confirmed.
const failureLogInterval = time.Second

// endpointListState is the state of the endpoint list, except for the endpoints themselves.
type endpointListState struct {
	revision    int64            // of the held list
	confirmedAt monotonic.Time   // time at which discovery last confirmed the list; 0 before the first confirmation
	failures    int              // failures of discovery since confirmedAt
	exchange    *gossip.Exchange // nil if the gateways do not exchange views
	newerView   *peerView        // nil if no peer's view is newer than the held list

	failureLoggedAt monotonic.Time // when a failure of discovery was last logged

	loggedTrusted bool // whether the lease was valid according to the latest log message about it
}

// unconfirmedFor returns, for the log, the time since discovery last confirmed the list, or 0 if it never has.
func (s *endpointListState) unconfirmedFor(now monotonic.Time) time.Duration {
	if s.confirmedAt == 0 {
		return 0
	}
	return (now - s.confirmedAt).Round(time.Millisecond)
}

// EndpointListUpdate is an answer from discovery, or the endpoint list with which the gateway starts.
type EndpointListUpdate struct {
	List   *protocol.EndpointList
	Cached bool // whether this is the list with which the gateway starts, which discovery has not confirmed
	// Full is set if discovery was asked without a revision. The answer may then have an older revision than the held
	// list, as discovery may have been restored from an earlier state.
	Full bool
}

// EndpointListReceived posts an endpoint list and waits until it has been processed. It returns protocol.ErrOlderList
// if the list is rejected because it is older than the held list, and ErrEnded if the router has ended.
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

// applyEndpointList updates the balancer's endpoints. A list that is older than the held list is rejected, as it would
// undo drains, unless discovery was asked without a revision and returned a complete list.
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
	r.applyEntries(list, now)
	r.restoreDeparted(now)
	r.balancer.CommitEndpointList(update.Cached, now)
	if !update.Cached {
		r.recordConfirmation(current, now)
	}
	r.withholdDisallowed(now)
	r.endpoints.expire(now)
	return nil
}

// applyEntries updates the endpoints that a list names, and removes all others if the list is complete.
func (r *Router) applyEntries(list *protocol.EndpointList, now monotonic.Time) {
	named := map[*decision.Endpoint]bool{}
	for _, entry := range list.Entries {
		record := r.endpoints.record(entry.ID)
		named[record.endpoint] = true
		r.applyEntry(record, entry, now)
	}
	if list.Complete {
		r.removeUnlisted(named, now)
	}
}

// applyEntry updates an endpoint according to its entry in the list.
func (r *Router) applyEntry(record *endpointRecord, entry protocol.EndpointEntry, now monotonic.Time) {
	address := record.listed.Address
	addressChanged := address != "" && address != entry.Address
	if addressChanged || !entry.Present {
		r.drivers.CloseIdleConnections(address)
	}
	record.list(entry, r.list.revision, now)
	record.departed = r.isDeparted(record, now)
	r.verifyBuild(record.listed.Build)
	r.balancer.UpdateEndpoint(record.endpoint, record.status(), now)
}

// removeUnlisted removes the endpoints that are not named by a complete list.
func (r *Router) removeUnlisted(named map[*decision.Endpoint]bool, now monotonic.Time) {
	r.balancer.RetainEndpoints(named)
	for _, record := range r.endpoints.sortedRecords() {
		if named[record.endpoint] || record.removedAt != 0 {
			continue
		}
		record.markRemoved(r.list.revision, now)
		r.drivers.CloseIdleConnections(record.listed.Address)
	}
}

// recordConfirmation records that discovery has answered. The answer renews the lease only if the held list is current,
// which it is unless a peer's view is newer.
func (r *Router) recordConfirmation(current bool, now monotonic.Time) {
	if r.list.failures > 0 {
		slog.Info("endpoint list confirmed again", "revision", r.list.revision, "failures", r.list.failures,
			"unconfirmed_for", r.list.unconfirmedFor(now))
	}
	r.list.confirmedAt, r.list.failures = now, 0
	if current {
		r.balancer.EndpointListConfirmed(now)
	}
}

// WatchPushedList posts that discovery pushes changes of the endpoint list over a watch, which is opened now.
func (r *Router) WatchPushedList() {
	r.post(func(monotonic.Time) { r.balancer.WatchPushedList() })
}

// DiscoveryFailed posts that a call to discovery failed or that a watch of the endpoint list broke. A response that
// began but did not arrive completely may have contained drains.
func (r *Router) DiscoveryFailed(err error) {
	r.post(func(now monotonic.Time) {
		r.list.failures++
		r.logDiscoveryFailure(err, now)
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

// logDiscoveryFailure logs the first failure since discovery last confirmed the list, and then at most one in
// failureLogInterval: the watch of a pushed list is opened again many times a second.
func (r *Router) logDiscoveryFailure(err error, now monotonic.Time) {
	if r.list.failures > 1 && now-r.list.failureLoggedAt < failureLogInterval {
		return
	}
	r.list.failureLoggedAt = now
	slog.Warn("endpoint list watch failed", "error", err, "revision", r.list.revision,
		"failures", r.list.failures, "unconfirmed_for", r.list.unconfirmedFor(now))
}

// DiscoveryResponseStarted posts that a response from discovery has begun to arrive.
func (r *Router) DiscoveryResponseStarted() {
	r.post(func(now monotonic.Time) { r.balancer.DiscoveryResponseStarted(now) })
}

// DiscoveryMoved posts that discovery is called at another address from now on.
func (r *Router) DiscoveryMoved() {
	r.post(func(now monotonic.Time) {
		r.balancer.DiscoveryMoved(now)
		if r.list.exchange != nil {
			r.list.exchange.DiscoveryLost(now)
		}
	})
}

// logLeaseChange logs when the lease on the endpoint list expires and when it becomes valid again. While the lease is
// not valid, only endpoints that have served requests recently get attempts.
func (r *Router) logLeaseChange(now monotonic.Time) {
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
