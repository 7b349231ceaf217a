package decision

// This file decides for how long the list of instances is trusted while nothing confirms it. The list is a lease: each
// answer of discovery, and each peer that got one, renews it. When it has run out, only instances that prove by their
// own answers that they do not drain get deliveries; the others wait until the list is confirmed again.
//
// It guards against requests to instances that drain or are gone where discovery is overloaded, cut off or silent for
// this gateway alone: what discovery has to tell counts as told some seconds after it could be reached, whether or not
// an answer arrived. Whether discovery is down for all or merely overloaded cannot be told apart by one gateway: both
// look like calls that are refused late.

const (
	// LearnWithin is how long after discovery had a change, and could be reached, it counts as told.
	LearnWithin = 6 * s
	// drainSettles is how long an instance that is listed as draining may still serve new commands. Half a second was
	// seen; an answer from before that proves nothing.
	drainSettles = s
	// listLease is how long the list, or an instance's own proof, stands from the moment for which it was confirmed.
	listLease = LearnWithin - drainSettles/2
	// begunAnswer is how long the list stands after an answer of discovery has begun, until it is there whole: what it
	// brings counts as told when it was written. With the time for which a gateway may be held up it is under the grace
	// of a drain. brokenAnswer is the same from the end of one that never came whole.
	begunAnswer  = 700 * ms
	brokenAnswer = 200 * ms
	// firstLease is how long the list that a gateway starts with stands: it may be old, and its changes may count as
	// told from the first moment on.
	firstLease = s
	// movedLease is how long the list stands after discovery has moved: from then on its changes count as told.
	movedLease = 4 * s
)

const (
	// heldUpMost is how long a gateway may be held up without any harm: deadlines, windows and graces allow for it.
	heldUpMost = 150 * ms
	// heldUpLong is how long it may be and still take in what was told meanwhile within the grace of a drain.
	heldUpLong = 600 * ms
	// catchUp is how long no delivery goes out after that, so that what was told meanwhile is read first.
	catchUp = 30 * ms
)

// lease is how long the list held is trusted.
type lease struct {
	on        bool
	until     int64
	currentAt int64 // the latest moment for which the list held was confirmed
	suspectAt int64 // changes from before this moment count as told by then, unheard: older confirmations are void
}

// LeaseList has the list trusted for no longer than a lease. The first one is short and begins now. Without it the list
// is trusted for good, as where discovery tells each change unasked and says when it cannot.
func (g *Gateway) LeaseList(now int64) {
	g.list.lease = lease{on: true, until: now + firstLease}
}

// ToldListConfirmed tells that the list held, as far as drains and removals go, was current at a moment: by an answer
// of discovery, or by a peer that got one.
func (g *Gateway) ToldListConfirmed(at int64) {
	l := &g.list.lease
	if at > l.suspectAt {
		l.until = max(l.until, at+listLease)
		l.currentAt = max(l.currentAt, at)
	}
}

// ToldServed tells that an instance served a delivery on a connection that was opened at a moment: it did not drain when
// that was sent. This proves something only on a connection that stood when the list was last confirmed: the id and the
// address of an instance that has gone may have returned with another process, of which nobody has told.
func (g *Gateway) ToldServed(dl *Delivery, openedAt int64) {
	if dl.build == dl.To.build && openedAt <= g.list.lease.currentAt {
		dl.To.provedAt = max(dl.To.provedAt, dl.sentAt)
	}
}

// ToldListBegun tells that an answer of discovery has begun to come.
func (g *Gateway) ToldListBegun(now int64) { g.list.lease.suspect(now, now+begunAnswer) }

// ToldListBroken tells that an answer of discovery began and did not come whole.
func (g *Gateway) ToldListBroken(now int64) { g.list.lease.suspect(now, now+brokenAnswer) }

// ToldListMoved tells that discovery is asked at another address from now on.
func (g *Gateway) ToldListMoved(now int64) { g.list.lease.suspect(now, now+movedLease) }

// ToldHeldUp tells that this gateway has stood still for a while. What it was told meanwhile waits to be read: drains,
// a lower cap. It guards against deliveries by what was known before. After long ones the list has to be confirmed, as
// the call for it may have been given up with its answer unread.
func (g *Gateway) ToldHeldUp(span, now int64) {
	if span > heldUpMost {
		g.catchUpUntil = now + catchUp
	}
	if span > heldUpLong {
		g.list.lease.suspect(now, now)
	}
}

// suspect ends the lease early. What instances prove until shortly after that says nothing any more.
func (l *lease) suspect(now, until int64) {
	l.until = min(l.until, until)
	l.suspectAt = max(l.suspectAt, now)
}

// trusted tells whether the list's word that an instance is ready may be gone by: while the lease runs, or for as long
// after the instance served a command of ours.
func (g *Gateway) trusted(it *Instance, now int64) bool {
	l := &g.list.lease
	if !l.on || now < l.until {
		return true
	}
	return it.provedAt > l.suspectAt+drainSettles && now < it.provedAt+listLease
}

// ListTrusted tells whether the list is confirmed at present, for the log.
func (g *Gateway) ListTrusted(now int64) bool { return !g.list.lease.on || now < g.list.lease.until }
