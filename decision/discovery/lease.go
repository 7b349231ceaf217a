// Package discovery decides how long the endpoint list is trusted and when discovery is polled for its changes. It
// knows no list and makes no call.
package discovery

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	// ChangeNotifiedWithin is how long after a change at discovery, once discovery can be reached, gateways count as
	// notified of it.
	ChangeNotifiedWithin = 6 * time.Second
	// DrainSettleTime is how long an endpoint that is listed as draining may still serve new requests. Half a second was
	// seen; a response from before that proves nothing.
	DrainSettleTime = time.Second
	// LeaseTTL is how long the list, or an endpoint's own proof, is trusted from the moment for which it was confirmed.
	LeaseTTL = ChangeNotifiedWithin - DrainSettleTime/2
	// PartialResponseLease is how long the list is trusted once a response of discovery has begun to arrive, until it is
	// complete: the changes in it count as notified when it was written. Together with the longest stall of a gateway it
	// is shorter than the grace of a drain.
	PartialResponseLease = 700 * time.Millisecond
	// BrokenResponseLease is the same from the end of a response that never became complete.
	BrokenResponseLease = 200 * time.Millisecond
	// InitialLease is how long the list that a gateway starts with is trusted: it may be old, and its changes may count
	// as notified from the first moment on.
	InitialLease = time.Second
	// MovedLease is how long the list is trusted after discovery has moved: from then on its changes count as notified.
	MovedLease = 4 * time.Second
)

// Lease is how long the current endpoint list is trusted. The zero value trusts it for good.
type Lease struct {
	enabled     bool
	expiresAt   monotonic.Time
	confirmedAt monotonic.Time // the latest moment for which the current list was confirmed
	suspectAt   monotonic.Time // changes from before it may count as notified although none arrived: older confirmations are void
}

// Start has the list trusted for no longer than the lease, the first one being short.
func (l *Lease) Start(now monotonic.Time) {
	*l = Lease{enabled: true, expiresAt: now + InitialLease}
}

// Confirm renews the lease: the list was current at a moment, as far as drains and removals go.
func (l *Lease) Confirm(at monotonic.Time) {
	if at > l.suspectAt {
		l.expiresAt = max(l.expiresAt, at+LeaseTTL)
		l.confirmedAt = max(l.confirmedAt, at)
	}
}

// ConfirmAfterStall renews the lease by an answer that is read at a moment and may have lain unread since an earlier one, through a
// stall of the process: the list was current then.
func (l *Lease) ConfirmAfterStall(readAt, sentAfter monotonic.Time) {
	if readAt > l.suspectAt {
		l.expiresAt = max(l.expiresAt, sentAfter+LeaseTTL)
		l.confirmedAt = max(l.confirmedAt, sentAfter)
	}
}

// Suspect ends the lease after a span at the latest. What was confirmed or proved before now does not renew it any more.
func (l *Lease) Suspect(now monotonic.Time, remaining time.Duration) {
	l.expiresAt = min(l.expiresAt, now+remaining)
	l.suspectAt = max(l.suspectAt, now)
}

// Valid reports whether the whole list is trusted.
func (l *Lease) Valid(now monotonic.Time) bool { return !l.enabled || now < l.expiresAt }

// ProvesReady reports whether serving on a connection that was opened at a moment proves that the endpoint does not
// drain. Only a connection does that was open when the list was last confirmed: the id and the address of an endpoint that
// has gone may have returned with another process, which no list has shown yet.
func (l *Lease) ProvesReady(connectionOpenedAt monotonic.Time) bool {
	return connectionOpenedAt <= l.confirmedAt
}

// Trusted reports whether the list may be relied on for an endpoint: while the lease is valid, or for as long after the
// latest moment at which the endpoint proved that it did not drain.
func (l *Lease) Trusted(provedReadyAt, now monotonic.Time) bool {
	if l.Valid(now) {
		return true
	}
	return provedReadyAt > l.suspectAt+DrainSettleTime && now < provedReadyAt+LeaseTTL
}
