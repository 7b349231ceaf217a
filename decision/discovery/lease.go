// Package discovery decides how long the endpoint list is trusted, and when to poll discovery for changes of the
// list. It neither holds the list nor makes calls.
package discovery

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	// ChangeNotifiedWithin is the time after a change at discovery, while discovery is reachable, from which gateways
	// are considered notified of the change.
	ChangeNotifiedWithin = 6 * time.Second
	// DrainSettleTime is how long an endpoint that is listed as draining may still serve new requests. Half a second
	// has been observed. A response within this time does not prove that the endpoint is not draining.
	DrainSettleTime = time.Second
	// LeaseTTL is how long the list, or an endpoint's proof of readiness, is trusted, counted from the time for which
	// it was confirmed.
	LeaseTTL = ChangeNotifiedWithin - DrainSettleTime/2
	// PartialResponseLease is the longest time for which the list is trusted after a response of discovery has begun to
	// arrive and until it is complete: gateways are considered notified of the changes in a response from the time it was
	// written. Where the grace period of a drain is short, the time is shorter.
	PartialResponseLease = 700 * time.Millisecond
	// BrokenResponseLease is the longest time for which the list is trusted after a response of discovery has broken off
	// incomplete.
	BrokenResponseLease = 200 * time.Millisecond
	// InitialLease is how long the list that a gateway starts with is trusted. The list may be old.
	InitialLease = time.Second
	// MovedLease is how long the list is trusted after discovery has moved to another address. Gateways are considered
	// notified of changes at discovery from the move on.
	MovedLease = 4 * time.Second
)

// Terms are the properties of a deployment on which a lease depends.
type Terms struct {
	// DrainGrace is how long attempts at an endpoint may still start after a gateway is notified that it drains or is gone.
	DrainGrace time.Duration
	Pushed     bool // discovery pushes changes, so that a gateway is considered notified of what it has from its start on
}

// withinGrace limits how long the list is trusted after a time from which changes to it may count as notified although
// they have not arrived here. The process may be held up twice before an attempt is written: before it reads the time,
// and before it writes.
func (t Terms) withinGrace(limit time.Duration) time.Duration {
	return max(0, min(limit, t.DrainGrace-2*maxWriteDelay))
}

// Lease tracks how long the current endpoint list is trusted. The zero value trusts the list without limit.
type Lease struct {
	enabled     bool
	terms       Terms
	expiresAt   monotonic.Time
	confirmedAt monotonic.Time // the latest time for which the current list was confirmed
	// suspectAt is the latest call of Suspect. Gateways may be considered notified of changes made before it,
	// although none has arrived here, so confirmations for this time or earlier ones are invalid.
	suspectAt monotonic.Time
	// moveNotifiedAt is when gateways count as notified of what discovery had by then, after its latest move.
	moveNotifiedAt monotonic.Time
}

// Start enables the lease: from now on the list is trusted only while the lease is valid. The first lease is short.
func (l *Lease) Start(terms Terms, now monotonic.Time) {
	initial := InitialLease
	if terms.Pushed {
		initial = terms.withinGrace(InitialLease)
	}
	*l = Lease{enabled: true, terms: terms, expiresAt: now + initial}
}

// Confirm renews the lease: at the given time the list was current with respect to drains and removals.
func (l *Lease) Confirm(at monotonic.Time) {
	if at > l.suspectAt {
		l.expiresAt = max(l.expiresAt, at+LeaseTTL)
		l.confirmedAt = max(l.confirmedAt, at)
	}
}

// ConfirmAfterStall renews the lease by an answer that is read at readAt, after a stall of the process. The answer
// may have been waiting unread since sentAfter, so it confirms the list only for that time.
func (l *Lease) ConfirmAfterStall(readAt, sentAfter monotonic.Time) {
	if readAt > l.suspectAt {
		l.expiresAt = max(l.expiresAt, sentAfter+LeaseTTL)
		l.confirmedAt = max(l.confirmedAt, sentAfter)
	}
}

// Suspect limits the remaining validity of the lease. Confirmations for times up to now no longer renew it, and
// proofs of readiness count again only for times later than DrainSettleTime after now.
func (l *Lease) Suspect(now monotonic.Time, remaining time.Duration) {
	l.expiresAt = min(l.expiresAt, now+remaining)
	l.suspectAt = max(l.suspectAt, now)
}

// ResponseStarted shortens the lease because a response of discovery has begun to arrive.
func (l *Lease) ResponseStarted(now monotonic.Time) {
	l.Suspect(now, l.terms.withinGrace(PartialResponseLease))
}

// ResponseBroken shortens the lease because a response of discovery began and did not become complete.
func (l *Lease) ResponseBroken(now monotonic.Time) {
	l.Suspect(now, l.terms.withinGrace(BrokenResponseLease))
}

// DiscoveryMoved shortens the lease because discovery is called at another address from now on.
func (l *Lease) DiscoveryMoved(now monotonic.Time) {
	l.Suspect(now, MovedLease)
	l.moveNotifiedAt = now + MovedLease
}

// Valid reports whether the whole list is trusted.
func (l *Lease) Valid(now monotonic.Time) bool { return !l.enabled || now < l.expiresAt }

// ProvesReady reports whether a response on a connection that was opened at the given time proves that the endpoint
// is not draining. Only a connection that was open when the list was last confirmed proves this: the id and address
// of a removed endpoint may have been reused by another process that no list has shown yet.
func (l *Lease) ProvesReady(connectionOpenedAt monotonic.Time) bool {
	return connectionOpenedAt <= l.confirmedAt
}

// Trusted reports whether the list may be relied on for an endpoint: while the lease is valid, or for some time after
// the latest time at which the endpoint proved that it was not draining.
func (l *Lease) Trusted(provedReadyAt, now monotonic.Time) bool {
	if l.Valid(now) {
		return true
	}
	return provedReadyAt > l.suspectAt+DrainSettleTime && now < l.proofExpiry(provedReadyAt)
}

// proofExpiry returns until when an endpoint is trusted that has proved at the given time that it was not draining:
// for LeaseTTL, unless discovery has moved and the endpoint may have begun to drain before gateways count as notified
// of that.
func (l *Lease) proofExpiry(provedReadyAt monotonic.Time) monotonic.Time {
	expiry := provedReadyAt + LeaseTTL
	if provedReadyAt < l.moveNotifiedAt+DrainSettleTime/2 {
		expiry = min(expiry, l.moveNotifiedAt+l.terms.withinGrace(LeaseTTL))
	}
	return expiry
}
