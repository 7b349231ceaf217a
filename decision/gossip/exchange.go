package gossip

import (
	"math"
	"time"

	"laurelring/decision/monotonic"
)

const (
	// peersPerQuery is how many peers are queried at once.
	peersPerQuery = 3
	// maxFirstQueryDelay bounds the random delay of the first query after discovery was lost.
	maxFirstQueryDelay = 100 * time.Millisecond
	// queryInterval is the least time between two queries; up to as much is added at random.
	queryInterval = 500 * time.Millisecond
	// confirmationTTL is how long an answer of discovery counts as recent. A watch is answered at the latest that long
	// after its last answer; one that is later may have fallen silent.
	confirmationTTL = 2800 * time.Millisecond
	// NewerViewTTL is how long a peer's newer view stands without discovery catching up: it may count from an older
	// revision again.
	NewerViewTTL = 6 * time.Second
	// initialAge is what the list that a gateway starts with is taken to be old.
	initialAge = 3600 * time.Second
	// queryDecay is the time constant over which received queries are counted.
	queryDecay = 2 * time.Second
	// minWait is the least wait between two ticks.
	minWait = time.Millisecond
)

// Config is what a gateway's exchange is built from.
type Config struct {
	Rank     int                     // this gateway's rank among all gateways, from 0 on
	Gateways int                     // how many gateways there are, this one included
	Revision int64                   // of the endpoint list that the gateway starts with
	Random   func(limit int64) int64 // a seeded random number from 0 on, below the limit
}

// Exchange is one gateway's part in the gossip.
type Exchange struct {
	rank, gateways int
	random         func(limit int64) int64

	watchEstablished bool           // discovery has answered, and no call has failed since
	confirmedAt      monotonic.Time // when discovery last answered
	heldRevision     int64          // the revision of that answer
	knownRevision    int64          // up to which all drains and removals are known, from discovery or peers
	knownCurrentAt   monotonic.Time // when that was last known to be current

	nextQueryAt monotonic.Time
	newerSource int // a gateway that sent a newer revision than could be taken in, to be queried next, or noGateway

	received queryCounter
	replies  replySchedule
	assembly assembly
}

// NewExchange returns the exchange of a gateway that starts now, without an answer of discovery.
func NewExchange(config Config, now monotonic.Time) *Exchange {
	e := &Exchange{
		rank:           config.Rank,
		gateways:       config.Gateways,
		random:         config.Random,
		heldRevision:   config.Revision,
		knownRevision:  config.Revision,
		knownCurrentAt: now - initialAge,
		newerSource:    noGateway,
	}
	e.DiscoveryLost(now)
	return e
}

// DiscoveryConfirmed takes in that discovery has answered, with the revision that is held now; full says that it was
// asked without a revision. It reports whether the list held is current by that: not while a peer's view is of a newer
// revision, unless discovery counts from an older revision again.
func (e *Exchange) DiscoveryConfirmed(revision int64, full bool, now monotonic.Time) bool {
	e.watchEstablished, e.confirmedAt, e.heldRevision = true, now, revision
	if revision < e.knownRevision && !full && now-e.knownCurrentAt < NewerViewTTL {
		return false
	}
	e.knownRevision, e.knownCurrentAt = revision, now
	return true
}

// DiscoveryLost takes in that no watch of discovery is established: a call has failed, or discovery has moved.
func (e *Exchange) DiscoveryLost(now monotonic.Time) {
	if e.watchEstablished || e.nextQueryAt == 0 {
		e.nextQueryAt = now + e.randomDelay(maxFirstQueryDelay)
	}
	e.watchEstablished = false
}

// confirmedLately reports whether discovery has confirmed the list recently enough to reply to others.
func (e *Exchange) confirmedLately(now monotonic.Time) bool {
	return e.watchEstablished && now-e.confirmedAt <= confirmationTTL
}

// QueryReceived takes in the query of the gateway of a rank.
func (e *Exchange) QueryReceived(sender int, query Query, now monotonic.Time) {
	e.received.add(now)
	if e.confirmedLately(now) && e.knowsMoreThan(query, now) {
		e.scheduleReply(sender, e.heldRevision > query.Revision, now)
	}
}

// knowsMoreThan reports whether a reply would be worth its while for the sender of a query.
func (e *Exchange) knowsMoreThan(query Query, now monotonic.Time) bool {
	return e.heldRevision > query.Revision ||
		e.heldRevision == query.Revision && now-e.confirmedAt+minAgeGain < query.Age
}

// ViewReceived takes in a view, or a part of one, of the gateway of a rank. It returns what was learned, or nil.
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
	if ready == nil { // parts are missing, or it was meant for others
		e.querySoon(sender, now)
		return nil
	}
	e.knownRevision, e.knownCurrentAt, e.newerSource = view.Revision, confirmedAt, noGateway
	return &LearnedView{Revision: view.Revision, ConfirmedAt: confirmedAt, Ready: ready}
}

// querySoon has a gateway queried next that knows of a newer revision, once the rest of its view has had time to arrive.
func (e *Exchange) querySoon(rank int, now monotonic.Time) {
	if e.newerSource == noGateway {
		e.nextQueryAt = min(e.nextQueryAt, now+maxReplyDelay+e.randomDelay(maxFirstQueryDelay))
	}
	e.newerSource = rank
}

// UnansweredShare estimates which share of the gateways discovery does not answer at present, from 0 to 1. Each of those
// queries a few random peers again and again, so that the rate of queries received shows how many they are.
func (e *Exchange) UnansweredShare(now monotonic.Time) float64 {
	if e.gateways < 2 {
		return 0
	}
	ratePerGateway := float64(min(peersPerQuery, e.gateways-1)) / (float64(queryInterval) * 1.5)
	return min(1, e.received.at(now)/(ratePerGateway*float64(queryDecay)))
}

// Tick returns what is to be sent now, and how long to wait at most for the next tick.
func (e *Exchange) Tick(now monotonic.Time) (Due, time.Duration) {
	var due Due
	var wait time.Duration
	if e.confirmedLately(now) {
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

// drawRecipients draws a few other gateways, beside the one that is known to hold a newer revision.
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

// randomDelay draws whole milliseconds below a limit.
func (e *Exchange) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(e.random(int64(limit/time.Millisecond))) * time.Millisecond
}

// queryCounter counts the queries that were received, each the less the longer ago it was.
type queryCounter struct {
	count     float64
	countedAt monotonic.Time
}

func (c *queryCounter) add(now monotonic.Time) {
	c.count = c.at(now) + 1
	c.countedAt = now
}

// at returns the count as of a moment.
func (c *queryCounter) at(now monotonic.Time) float64 {
	return c.count * math.Exp(-float64(now-c.countedAt)/float64(queryDecay))
}
