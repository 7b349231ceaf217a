// Package gossip decides how gateways help one another to know which instances are ready while discovery does not
// answer them all. A gateway that has no fresh answer of discovery queries a few peers; one that has such an answer
// replies with its revision and, where the asker's is older, with the incarnations that are ready at it. A reply renews
// the asker's trust in its list, and tells it which of its instances have drained or gone. It never makes an instance
// known: only discovery does that, as addresses may differ from gateway to gateway.
//
// It is anti-entropy by pull: nothing is sent while every gateway follows discovery. Replies that many wait for go out
// once, to all: a gateway that is about to reply drops its reply if it hears one as good.
//
// The package does no I/O and reads no clock. Times are whole nanoseconds of one monotonic clock for each gateway; only
// ages travel between gateways. All calls come from one goroutine.
package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"laurelring/decision/monotonic"
)

const (
	peersPerQuery      = 3                      // peers that are asked at once
	maxFirstQueryDelay = 100 * time.Millisecond // at random: how soon after a failure the first query goes out
	queryInterval      = 500 * time.Millisecond // and up to as much more at random
	// A watch is answered at the latest this long after the last answer. One that is later may have fallen silent.
	confirmationTTL = 2800 * time.Millisecond
	// A reply goes out this late, at random, so that others' replies are heard before.
	maxReplyDelay = 100 * time.Millisecond
	// askersMany is how many gateways must have queried within askersSpan for a reply to go to all. One alone hears
	// only a few of a whole fleet's queries.
	broadcastThreshold = 2
	broadcastWindow    = time.Second
	// A reply is not worth sending to one that knows nearly as much.
	minAgeGain = 300 * time.Millisecond
	// A reply that was heard so long before a query, or after it, makes another needless.
	replyReuseSpan = 300 * time.Millisecond
	// A peer's view that discovery does not catch up with for so long is given up: discovery may count anew.
	newerViewTTL = 6 * time.Second
	// The list that a gateway starts with is taken to be so old.
	initialAge = 3600 * time.Second
)

// crowdOver is the time constant over which queries heard are counted.
const queryDecay = 2 * time.Second

// ToAll is the number that stands for all gateways.
const AllGateways = -1

// none stands for no gateway.
const noGateway = -1

// Query asks a peer what it knows of the list.
type Query struct {
	Revision int64         // that the asker knows all drains and removals of
	Age      time.Duration // ns since that was known to be current
}

// View is what a gateway knows of the list from discovery, or a part of it.
type View struct {
	Revision int64
	Age      time.Duration // ns since discovery confirmed it
	Part     int           // from 0 on
	Parts    int           // 0 where only the revision is confirmed, for askers that hold it
	Ready    []uint32      // the incarnations that are ready, those of this part
}

// Reply is due to be sent: the list's revision as confirmed so long ago, to one gateway or to all, with the ready
// incarnations or without.
type Reply struct {
	To           int
	Revision     int64
	Age          time.Duration
	IncludeReady bool
}

// Due is what a gateway is to send now.
type Due struct {
	QueryRecipients []int // gateways that are asked
	Query           Query
	Replies         []Reply
}

// Learned is what a peer's view has brought. Without an incarnation among Ready, where that is not nil, an instance of
// an older revision has drained or gone.
type LearnedView struct {
	Revision    int64
	ConfirmedAt monotonic.Time // the moment for which it holds
	Ready       map[uint32]bool
}

// Incarnation numbers an instance as it was started with a build: after a restart, or with another build, it is another.
func Incarnation(id string, startedAt monotonic.Time, build int) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, uint64(startedAt)), uint64(build)))
	return h.Sum32()
}

// Exchange is one gateway's part in it.
type Exchange struct {
	rank, gateways int
	random         func(below int64) int64

	watchEstablished bool           // a watch of discovery stands
	confirmedAt      monotonic.Time // when discovery last answered
	heldRevision     int64          // the revision it then told
	knownRevision    int64          // the revision of which all drains and removals are known, from discovery or peers
	knownCurrentAt   monotonic.Time // when that was last known to be current

	nextQueryAt      monotonic.Time
	newerSource      int            // a gateway of which a newer revision was heard that could not be taken in, or none
	recentQueriers   []querier      // the latest, each once, askersMany at most
	unicastReplies   []pendingReply // replies that wait to go to one gateway
	broadcastReply   *pendingReply  // the one that waits to go to all, or nil
	latestReply      heardReply     // the latest reply that was heard
	decayedQueries   float64        // heard lately, fading
	queriesCountedAt monotonic.Time // when they were last counted
	assembly         assembly
}

// asker is a gateway that has queried, and when it last did.
type querier struct {
	rank      int
	queriedAt monotonic.Time
}

// request is a query, or several, that waits for its reply.
type pendingReply struct {
	to           int
	includeReady bool           // an older revision is held: the ready incarnations are asked for
	queriedAt    monotonic.Time // the latest query, of those for the ready incarnations if there are any
	dueAt        monotonic.Time
}

// confirmation is a reply that was heard, or sent to all.
type heardReply struct {
	revision      int64
	heardAt       monotonic.Time
	includesReady bool // it had the ready incarnations
}

// serves tells whether a reply that was heard makes another to this asker needless. Where the ready incarnations are
// asked for, one heard before did not bring them.
func (c heardReply) supersedes(one *pendingReply, revision int64) bool {
	if c.revision < revision {
		return false
	}
	if one.includeReady {
		return c.includesReady && c.heardAt >= one.queriedAt
	}
	return c.heardAt > one.queriedAt-replyReuseSpan
}

// Config is what a gateway's exchange is built from.
type Config struct {
	Rank     int                     // this gateway's rank among all gateways, from 0 on
	Gateways int                     // how many gateways there are, this one included
	Revision int64                   // of the endpoint list that the gateway starts with
	Random   func(limit int64) int64 // a seeded random number from 0 on, below the limit
}

// NewExchange returns the exchange of a gateway that starts now, without an answer of discovery.
func NewExchange(config Config, now monotonic.Time) *Exchange {
	e := &Exchange{rank: config.Rank, gateways: config.Gateways, random: config.Random, heldRevision: config.Revision,
		knownRevision: config.Revision, knownCurrentAt: now - initialAge, newerSource: noGateway}
	e.DiscoveryLost(now)
	return e
}

// Confirmed tells that discovery has answered, with the revision that is now held. It tells whether the list is so
// current: not while a peer's view is of a newer revision, unless discovery counts anew.
func (e *Exchange) DiscoveryConfirmed(revision int64, anew bool, now monotonic.Time) bool {
	e.watchEstablished, e.confirmedAt, e.heldRevision = true, now, revision
	if revision < e.knownRevision && !anew && now-e.knownCurrentAt < newerViewTTL {
		return false
	}
	e.knownRevision, e.knownCurrentAt = revision, now
	return true
}

// Unconfirmed tells that no watch of discovery stands: a call has failed, or discovery has moved.
func (e *Exchange) DiscoveryLost(now monotonic.Time) {
	if e.watchEstablished || e.nextQueryAt == 0 {
		e.nextQueryAt = now + e.randomDelay(maxFirstQueryDelay)
	}
	e.watchEstablished = false
}

// fresh tells whether discovery has confirmed the list lately enough to tell others.
func (e *Exchange) confirmedLately(now monotonic.Time) bool {
	return e.watchEstablished && now-e.confirmedAt <= confirmationTTL
}

// Queried takes a peer's query in.
func (e *Exchange) QueryReceived(from int, q Query, now monotonic.Time) {
	e.decayedQueries = e.queriesAt(now) + 1
	e.queriesCountedAt = now
	newer := e.heldRevision > q.Revision || e.heldRevision == q.Revision && now-e.confirmedAt+minAgeGain < q.Age
	if !e.confirmedLately(now) || !newer {
		return
	}
	whole := e.heldRevision > q.Revision
	if e.severalQuery(from, now) {
		e.scheduleBroadcast(whole, now)
	} else if len(e.unicastReplies) < broadcastThreshold {
		e.unicastReplies = append(e.unicastReplies, pendingReply{to: from, includeReady: whole, queriedAt: now, dueAt: now + e.randomDelay(maxReplyDelay)})
	}
}

// manyAsk tells whether this query is one of several gateways' lately.
func (e *Exchange) severalQuery(from int, now monotonic.Time) bool {
	e.recentQueriers = slices.DeleteFunc(e.recentQueriers, func(one querier) bool { return one.rank == from || now-one.queriedAt >= broadcastWindow })
	if len(e.recentQueriers) >= broadcastThreshold {
		e.recentQueriers = e.recentQueriers[1:]
	}
	e.recentQueriers = append(e.recentQueriers, querier{from, now})
	return len(e.recentQueriers) >= broadcastThreshold
}

// replyToAll has a reply go to all gateways, for this query as well.
func (e *Exchange) scheduleBroadcast(whole bool, now monotonic.Time) {
	if e.broadcastReply == nil {
		e.broadcastReply = &pendingReply{to: AllGateways, dueAt: now + e.randomDelay(maxReplyDelay)}
	}
	if whole || !e.broadcastReply.includeReady {
		e.broadcastReply.includeReady, e.broadcastReply.queriedAt = whole, now
	}
}

// Crowd estimates which share of the gateways goes without discovery at present, from 0 to 1: each of them queries a few
// peers drawn at random, again and again, so that the queries heard tell how many there are.
func (e *Exchange) UnansweredShare(now monotonic.Time) float64 {
	if e.gateways < 2 {
		return 0
	}
	each := float64(min(peersPerQuery, e.gateways-1)) / (float64(queryInterval) * 1.5)
	return min(1, e.queriesAt(now)/(each*float64(queryDecay)))
}

func (e *Exchange) queriesAt(now monotonic.Time) float64 {
	return e.decayedQueries * math.Exp(-float64(now-e.queriesCountedAt)/float64(queryDecay))
}

// Told takes a peer's view in. It gives what was learned, or nil.
func (e *Exchange) ViewReceived(from int, v View, now monotonic.Time) *LearnedView {
	at := now - max(v.Age, 0)
	if v.Revision >= e.heldRevision {
		e.latestReply = heardReply{v.Revision, now, v.Parts > 0}
	}
	if v.Revision < e.knownRevision || v.Revision == e.knownRevision && at <= e.knownCurrentAt {
		return nil
	}
	if v.Revision == e.knownRevision {
		e.knownCurrentAt = at
		return &LearnedView{Revision: v.Revision, ConfirmedAt: at}
	}
	ready := e.assembly.add(from, v)
	if ready == nil { // parts are missing, or it was meant for others: its sender is asked
		if e.newerSource == noGateway {
			e.nextQueryAt = min(e.nextQueryAt, now+maxReplyDelay+e.randomDelay(maxFirstQueryDelay))
		}
		e.newerSource = from
		return nil
	}
	e.knownRevision, e.knownCurrentAt, e.newerSource = v.Revision, at, noGateway
	return &LearnedView{Revision: v.Revision, ConfirmedAt: at, Ready: ready}
}

// Next gives what is to be sent now, and how long it may take until it is asked again.
func (e *Exchange) Tick(now monotonic.Time) (Due, time.Duration) {
	due, wait := Due{}, 10*time.Second
	if !e.confirmedLately(now) {
		if now >= e.nextQueryAt {
			due.QueryRecipients = e.drawRecipients()
			due.Query = Query{Revision: e.knownRevision, Age: now - e.knownCurrentAt}
			e.nextQueryAt = now + queryInterval + e.randomDelay(queryInterval)
		}
		wait = e.nextQueryAt - now
	} else {
		wait = e.confirmedAt + confirmationTTL + time.Millisecond - now
	}
	due.Replies = e.dueReplies(now)
	for i := range e.unicastReplies {
		wait = min(wait, e.unicastReplies[i].dueAt-now)
	}
	if e.broadcastReply != nil {
		wait = min(wait, e.broadcastReply.dueAt-now)
	}
	return due, max(wait, time.Millisecond)
}

// replies gives the replies whose time has come.
func (e *Exchange) dueReplies(now monotonic.Time) []Reply {
	var due []Reply
	if e.broadcastReply != nil && now >= e.broadcastReply.dueAt {
		if reply, ok := e.composeReply(e.broadcastReply, now); ok {
			due = append(due, reply)
			e.latestReply = heardReply{e.heldRevision, now, reply.IncludeReady}
		}
		e.broadcastReply = nil
	}
	e.unicastReplies = slices.DeleteFunc(e.unicastReplies, func(one pendingReply) bool {
		if now < one.dueAt {
			return false
		}
		if reply, ok := e.composeReply(&one, now); ok {
			due = append(due, reply)
		}
		return true
	})
	return due
}

// reply answers a request, unless a reply as good was heard or there is nothing fresh to tell any more.
func (e *Exchange) composeReply(one *pendingReply, now monotonic.Time) (Reply, bool) {
	if !e.confirmedLately(now) || e.latestReply.supersedes(one, e.heldRevision) {
		return Reply{}, false
	}
	return Reply{To: one.to, Revision: e.heldRevision, Age: now - e.confirmedAt, IncludeReady: one.includeReady}, true
}

// drawPeers draws a few other gateways, beside the one that is known to hold a newer revision.
func (e *Exchange) drawRecipients() []int {
	var drawn []int
	if e.newerSource != noGateway {
		drawn = append(drawn, e.newerSource)
		e.newerSource = noGateway
	}
	for range min(peersPerQuery, e.gateways-1) - len(drawn) {
		one := int(e.random(int64(e.gateways - 1)))
		if one >= e.rank {
			one++
		}
		drawn = append(drawn, one)
	}
	return drawn
}

func (e *Exchange) randomDelay(below time.Duration) time.Duration {
	return time.Duration(e.random(int64(below/time.Millisecond))) * time.Millisecond
}
