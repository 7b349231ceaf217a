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
	ms = time.Duration(1e6)
	s  = time.Duration(1e9)

	queryPeers = 3        // peers that are asked at once
	queryFirst = 100 * ms // at random: how soon after a failure the first query goes out
	queryEvery = 500 * ms // and up to as much more at random
	// A watch is answered at the latest this long after the last answer. One that is later may have fallen silent.
	freshFor = 2800 * ms
	// A reply goes out this late, at random, so that others' replies are heard before.
	replyWithin = 100 * ms
	// askersMany is how many gateways must have queried within askersSpan for a reply to go to all. One alone hears
	// only a few of a whole fleet's queries.
	askersMany = 2
	askersSpan = s
	// A reply is not worth sending to one that knows nearly as much.
	newerBy = 300 * ms
	// A reply that was heard so long before a query, or after it, makes another needless.
	heardBefore = 300 * ms
	// A peer's view that discovery does not catch up with for so long is given up: discovery may count anew.
	ahead = 6 * s
	// The list that a gateway starts with is taken to be so old.
	startAge = 3600 * s
)

// crowdOver is the time constant over which queries heard are counted.
const crowdOver = 2 * s

// ToAll is the number that stands for all gateways.
const AllGateways = -1

// none stands for no gateway.
const none = -1

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
	rank, peers int
	draw        func(below int64) int64

	following   bool           // a watch of discovery stands
	confirmedAt monotonic.Time // when discovery last answered
	held        int64          // the revision it then told
	known       int64          // the revision of which all drains and removals are known, from discovery or peers
	currentAt   monotonic.Time // when that was last known to be current

	queryAt monotonic.Time
	source  int            // a gateway of which a newer revision was heard that could not be taken in, or none
	askers  []asker        // the latest, each once, askersMany at most
	single  []request      // replies that wait to go to one gateway
	all     *request       // the one that waits to go to all, or nil
	heard   confirmation   // the latest reply that was heard
	queries float64        // heard lately, fading
	heardAt monotonic.Time // when they were last counted
	parts   assembly
}

// asker is a gateway that has queried, and when it last did.
type asker struct {
	rank int
	at   monotonic.Time
}

// request is a query, or several, that waits for its reply.
type request struct {
	to      int
	whole   bool           // an older revision is held: the ready incarnations are asked for
	askedAt monotonic.Time // the latest query, of those for the ready incarnations if there are any
	dueAt   monotonic.Time
}

// confirmation is a reply that was heard, or sent to all.
type confirmation struct {
	revision int64
	heardAt  monotonic.Time
	whole    bool // it had the ready incarnations
}

// serves tells whether a reply that was heard makes another to this asker needless. Where the ready incarnations are
// asked for, one heard before did not bring them.
func (c confirmation) serves(one *request, revision int64) bool {
	if c.revision < revision {
		return false
	}
	if one.whole {
		return c.whole && c.heardAt >= one.askedAt
	}
	return c.heardAt > one.askedAt-heardBefore
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
	e := &Exchange{rank: config.Rank, peers: config.Gateways, draw: config.Random, held: config.Revision,
		known: config.Revision, currentAt: now - startAge, source: none}
	e.DiscoveryLost(now)
	return e
}

// Confirmed tells that discovery has answered, with the revision that is now held. It tells whether the list is so
// current: not while a peer's view is of a newer revision, unless discovery counts anew.
func (e *Exchange) DiscoveryConfirmed(revision int64, anew bool, now monotonic.Time) bool {
	e.following, e.confirmedAt, e.held = true, now, revision
	if revision < e.known && !anew && now-e.currentAt < ahead {
		return false
	}
	e.known, e.currentAt = revision, now
	return true
}

// Unconfirmed tells that no watch of discovery stands: a call has failed, or discovery has moved.
func (e *Exchange) DiscoveryLost(now monotonic.Time) {
	if e.following || e.queryAt == 0 {
		e.queryAt = now + e.jitter(queryFirst)
	}
	e.following = false
}

// fresh tells whether discovery has confirmed the list lately enough to tell others.
func (e *Exchange) fresh(now monotonic.Time) bool {
	return e.following && now-e.confirmedAt <= freshFor
}

// Queried takes a peer's query in.
func (e *Exchange) QueryReceived(from int, q Query, now monotonic.Time) {
	e.queries = e.faded(now) + 1
	e.heardAt = now
	newer := e.held > q.Revision || e.held == q.Revision && now-e.confirmedAt+newerBy < q.Age
	if !e.fresh(now) || !newer {
		return
	}
	whole := e.held > q.Revision
	if e.manyAsk(from, now) {
		e.replyToAll(whole, now)
	} else if len(e.single) < askersMany {
		e.single = append(e.single, request{to: from, whole: whole, askedAt: now, dueAt: now + e.jitter(replyWithin)})
	}
}

// manyAsk tells whether this query is one of several gateways' lately.
func (e *Exchange) manyAsk(from int, now monotonic.Time) bool {
	e.askers = slices.DeleteFunc(e.askers, func(one asker) bool { return one.rank == from || now-one.at >= askersSpan })
	if len(e.askers) >= askersMany {
		e.askers = e.askers[1:]
	}
	e.askers = append(e.askers, asker{from, now})
	return len(e.askers) >= askersMany
}

// replyToAll has a reply go to all gateways, for this query as well.
func (e *Exchange) replyToAll(whole bool, now monotonic.Time) {
	if e.all == nil {
		e.all = &request{to: AllGateways, dueAt: now + e.jitter(replyWithin)}
	}
	if whole || !e.all.whole {
		e.all.whole, e.all.askedAt = whole, now
	}
}

// Crowd estimates which share of the gateways goes without discovery at present, from 0 to 1: each of them queries a few
// peers drawn at random, again and again, so that the queries heard tell how many there are.
func (e *Exchange) UnansweredShare(now monotonic.Time) float64 {
	if e.peers < 2 {
		return 0
	}
	each := float64(min(queryPeers, e.peers-1)) / (float64(queryEvery) * 1.5)
	return min(1, e.faded(now)/(each*float64(crowdOver)))
}

func (e *Exchange) faded(now monotonic.Time) float64 {
	return e.queries * math.Exp(-float64(now-e.heardAt)/float64(crowdOver))
}

// Told takes a peer's view in. It gives what was learned, or nil.
func (e *Exchange) ViewReceived(from int, v View, now monotonic.Time) *LearnedView {
	at := now - max(v.Age, 0)
	if v.Revision >= e.held {
		e.heard = confirmation{v.Revision, now, v.Parts > 0}
	}
	if v.Revision < e.known || v.Revision == e.known && at <= e.currentAt {
		return nil
	}
	if v.Revision == e.known {
		e.currentAt = at
		return &LearnedView{Revision: v.Revision, ConfirmedAt: at}
	}
	ready := e.parts.add(from, v)
	if ready == nil { // parts are missing, or it was meant for others: its sender is asked
		if e.source == none {
			e.queryAt = min(e.queryAt, now+replyWithin+e.jitter(queryFirst))
		}
		e.source = from
		return nil
	}
	e.known, e.currentAt, e.source = v.Revision, at, none
	return &LearnedView{Revision: v.Revision, ConfirmedAt: at, Ready: ready}
}

// Next gives what is to be sent now, and how long it may take until it is asked again.
func (e *Exchange) Tick(now monotonic.Time) (Due, time.Duration) {
	due, wait := Due{}, 10*s
	if !e.fresh(now) {
		if now >= e.queryAt {
			due.QueryRecipients = e.drawPeers()
			due.Query = Query{Revision: e.known, Age: now - e.currentAt}
			e.queryAt = now + queryEvery + e.jitter(queryEvery)
		}
		wait = e.queryAt - now
	} else {
		wait = e.confirmedAt + freshFor + ms - now
	}
	due.Replies = e.replies(now)
	for i := range e.single {
		wait = min(wait, e.single[i].dueAt-now)
	}
	if e.all != nil {
		wait = min(wait, e.all.dueAt-now)
	}
	return due, max(wait, ms)
}

// replies gives the replies whose time has come.
func (e *Exchange) replies(now monotonic.Time) []Reply {
	var due []Reply
	if e.all != nil && now >= e.all.dueAt {
		if reply, ok := e.reply(e.all, now); ok {
			due = append(due, reply)
			e.heard = confirmation{e.held, now, reply.IncludeReady}
		}
		e.all = nil
	}
	e.single = slices.DeleteFunc(e.single, func(one request) bool {
		if now < one.dueAt {
			return false
		}
		if reply, ok := e.reply(&one, now); ok {
			due = append(due, reply)
		}
		return true
	})
	return due
}

// reply answers a request, unless a reply as good was heard or there is nothing fresh to tell any more.
func (e *Exchange) reply(one *request, now monotonic.Time) (Reply, bool) {
	if !e.fresh(now) || e.heard.serves(one, e.held) {
		return Reply{}, false
	}
	return Reply{To: one.to, Revision: e.held, Age: now - e.confirmedAt, IncludeReady: one.whole}, true
}

// drawPeers draws a few other gateways, beside the one that is known to hold a newer revision.
func (e *Exchange) drawPeers() []int {
	var drawn []int
	if e.source != none {
		drawn = append(drawn, e.source)
		e.source = none
	}
	for range min(queryPeers, e.peers-1) - len(drawn) {
		one := int(e.draw(int64(e.peers - 1)))
		if one >= e.rank {
			one++
		}
		drawn = append(drawn, one)
	}
	return drawn
}

func (e *Exchange) jitter(below time.Duration) time.Duration {
	return time.Duration(e.draw(int64(below/ms))) * ms
}
