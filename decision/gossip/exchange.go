package gossip

import (
	"math"
	"time"

	"laurelring/decision/monotonic"
)

const (
	// peersPerQuery is the number of peers that are queried at the same time.
	peersPerQuery = 3
	// maxFirstQueryDelay limits the random delay of the first query after discovery was lost.
	maxFirstQueryDelay = 100 * time.Millisecond
	// queryInterval is the minimum time between two queries. A random time of up to the same length is added.
	queryInterval = 500 * time.Millisecond
	// confirmationTTL is how long an answer of discovery counts as recent. Discovery answers a watch at most this long
	// after the previous answer, so a watch that takes longer may have stalled.
	confirmationTTL = 2800 * time.Millisecond
	// NewerViewTTL is how long a peer's newer view is valid if discovery does not catch up with its revision. It is
	// limited because discovery may have started again from an older revision.
	NewerViewTTL = 6 * time.Second
	// initialListAge is the assumed age of the list that a gateway starts with.
	initialListAge = 3600 * time.Second
	// queryDecay is the time constant of the decaying count of received queries.
	queryDecay = 2 * time.Second
	// minWait is the minimum wait between two ticks.
	minWait = time.Millisecond
)

// Config configures a gateway's Exchange.
type Config struct {
	Rank     int                     // this gateway's rank among all gateways, from 0
	Gateways int                     // number of gateways, including this one
	Revision int64                   // revision of the endpoint list that the gateway starts with
	Random   func(limit int64) int64 // returns a seeded random number from 0 to limit-1
}

// Exchange is the gossip state of one gateway.
type Exchange struct {
	rank, gateways int
	random         func(limit int64) int64

	watchEstablished bool           // discovery has answered and no call has failed since
	confirmedAt      monotonic.Time // time of the last answer of discovery
	heldRevision     int64          // revision of that answer
	knownRevision    int64          // revision up to which all drains and removals are known, from discovery or peers
	knownCurrentAt   monotonic.Time // when knownRevision was last known to be current

	nextQueryAt monotonic.Time
	newerSource int // gateway to query next, as its newer view was received incompletely, or noGateway

	received queryCounter
	replies  replySchedule
	assembly assembly
}

// NewExchange returns the Exchange of a gateway that starts now and has no answer of discovery yet.
func NewExchange(config Config, now monotonic.Time) *Exchange {
	e := &Exchange{
		rank:           config.Rank,
		gateways:       config.Gateways,
		random:         config.Random,
		heldRevision:   config.Revision,
		knownRevision:  config.Revision,
		knownCurrentAt: now - initialListAge,
		newerSource:    noGateway,
	}
	e.DiscoveryLost(now)
	return e
}

// DiscoveryConfirmed records an answer of discovery with the revision that is now held. The flag full is set if
// discovery was asked without a revision. DiscoveryConfirmed reports whether the held list is current. It is not
// while a peer's view of a newer revision is valid (see NewerViewTTL), unless full is set: discovery may then have
// started again from an older revision.
func (e *Exchange) DiscoveryConfirmed(revision int64, full bool, now monotonic.Time) bool {
	e.watchEstablished, e.confirmedAt, e.heldRevision = true, now, revision
	if revision < e.knownRevision && !full && now-e.knownCurrentAt < NewerViewTTL {
		return false
	}
	e.knownRevision, e.knownCurrentAt = revision, now
	return true
}

// DiscoveryLost records that no watch of discovery is established, as a call has failed or discovery has moved.
func (e *Exchange) DiscoveryLost(now monotonic.Time) {
	if e.watchEstablished || e.nextQueryAt == 0 {
		e.nextQueryAt = now + e.randomDelay(maxFirstQueryDelay)
	}
	e.watchEstablished = false
}

// recentlyConfirmed reports whether discovery has confirmed the list recently enough to reply to queries.
func (e *Exchange) recentlyConfirmed(now monotonic.Time) bool {
	return e.watchEstablished && now-e.confirmedAt <= confirmationTTL
}

// QueryReceived handles a query of the gateway with the given rank.
func (e *Exchange) QueryReceived(sender int, query Query, now monotonic.Time) {
	e.received.add(now)
	if e.recentlyConfirmed(now) && e.canImproveOn(query, now) {
		e.scheduleReply(sender, e.heldRevision > query.Revision, now)
	}
}

// canImproveOn reports whether a reply would give the sender of a query a newer revision or a clearly later
// confirmation.
func (e *Exchange) canImproveOn(query Query, now monotonic.Time) bool {
	return e.heldRevision > query.Revision ||
		e.heldRevision == query.Revision && now-e.confirmedAt+minAgeGain < query.Age
}

// ViewReceived handles a view, or a part of one, from the gateway with the given rank. It returns the information
// gained, or nil if there is none.
func (e *Exchange) ViewReceived(sender int, view View, now monotonic.Time) *LearnedView {
	confirmedAt := now - max(view.Age, 0)
	if view.Revision >= e.heldRevision {
		e.replies.latest = heardReply{revision: view.Revision, heardAt: now, includesReady: view.Parts > 0}
	}
	if view.Revision < e.knownRevision || view.Revision == e.knownRevision && confirmedAt <= e.knownCurrentAt {
		return nil
	}
	if view.Revision == e.knownRevision {
		e.knownCurrentAt = confirmedAt
		return &LearnedView{Revision: view.Revision, ConfirmedAt: confirmedAt}
	}
	ready := e.assembly.add(sender, view)
	if ready == nil { // parts are missing, or the reply was meant for other gateways
		e.querySoon(sender, now)
		return nil
	}
	e.knownRevision, e.knownCurrentAt, e.newerSource = view.Revision, confirmedAt, noGateway
	return &LearnedView{Revision: view.Revision, ConfirmedAt: confirmedAt, Ready: ready}
}

// querySoon schedules a query to a gateway that holds a newer revision, after the rest of its view has had time to
// arrive.
func (e *Exchange) querySoon(rank int, now monotonic.Time) {
	if e.newerSource == noGateway {
		e.nextQueryAt = min(e.nextQueryAt, now+maxReplyDelay+e.randomDelay(maxFirstQueryDelay))
	}
	e.newerSource = rank
}

// UnansweredShare estimates the share of the gateways, from 0 to 1, that discovery does not answer at present. Each
// of these gateways repeatedly queries a few random peers, so their number follows from the rate of received queries.
func (e *Exchange) UnansweredShare(now monotonic.Time) float64 {
	if e.gateways < 2 {
		return 0
	}
	ratePerGateway := float64(min(peersPerQuery, e.gateways-1)) / (float64(queryInterval) * 1.5)
	return min(1, e.received.at(now)/(ratePerGateway*float64(queryDecay)))
}

// Tick returns the messages to send now, and the maximum time until the next call.
func (e *Exchange) Tick(now monotonic.Time) (Outgoing, time.Duration) {
	var due Outgoing
	var wait time.Duration
	if e.recentlyConfirmed(now) {
		wait = e.confirmedAt + confirmationTTL + time.Millisecond - now
	} else {
		if now >= e.nextQueryAt {
			due.QueryRecipients = e.drawRecipients()
			due.Query = Query{Revision: e.knownRevision, Age: now - e.knownCurrentAt}
			e.nextQueryAt = now + queryInterval + e.randomDelay(queryInterval)
		}
		wait = e.nextQueryAt - now
	}
	due.Replies = e.dueReplies(now)
	wait = e.replies.limitWait(wait, now)
	return due, max(wait, minWait)
}

// drawRecipients returns a few random other gateways, preceded by the one that is known to hold a newer revision, if
// any.
func (e *Exchange) drawRecipients() []int {
	var recipients []int
	if e.newerSource != noGateway {
		recipients = append(recipients, e.newerSource)
		e.newerSource = noGateway
	}
	for range min(peersPerQuery, e.gateways-1) - len(recipients) {
		rank := int(e.random(int64(e.gateways - 1)))
		if rank >= e.rank {
			rank++
		}
		recipients = append(recipients, rank)
	}
	return recipients
}

// randomDelay returns a random delay in whole milliseconds, less than limit.
func (e *Exchange) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(e.random(int64(limit/time.Millisecond))) * time.Millisecond
}

// queryCounter is a count of received queries that decays exponentially over time.
type queryCounter struct {
	count     float64
	countedAt monotonic.Time
}

// add counts a query that is received now.
func (c *queryCounter) add(now monotonic.Time) {
	c.count = c.at(now) + 1
	c.countedAt = now
}

// at returns the count, decayed to now.
func (c *queryCounter) at(now monotonic.Time) float64 {
	return c.count * math.Exp(-float64(now-c.countedAt)/float64(queryDecay))
}
