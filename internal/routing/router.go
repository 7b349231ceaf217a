// Package routing owns the module: one goroutine tells it every event in the order it came, asks it, and
// obeys. It decides nothing.
package routing

import (
	"container/heap"
	"context"
	"hash/fnv"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// Client is the place of a command's final answer. None of its calls waits.
type Client interface {
	Acked(value []byte)
	Nacked(after monotonic.Time)
	Failed()
}

// Delivery is one that is out. GiveUp ends it without an outcome and tells whether it may have reached its
// instance, and whether it had ended before: then its outcome comes by itself. Withhold ends it without one if
// nothing of it has gone out, and tells whether it did.
type Delivery interface {
	GiveUp() (reached, ended bool)
	Withhold() bool
	// ConnectionAge is for how long the connection has stood that the delivery went out on.
	ConnectionAge() time.Duration
}

// Outside is what the router has done by others. None of its calls waits.
type Outside struct {
	Send func(address string, until time.Time, encode func(wait time.Duration) []byte,
		ended func(protocol.Response)) Delivery
	Drop  func(address string)
	Post  func(to int, text []byte) // to all gateways where the number is below 0
	Vote  func(decision.Vote)
	Watch func()
	Build func(build int) // the list names a build that it has not named for long; may be nil
}

const (
	eventsMost = 1024             // that wait; whoever brings a further one waits
	goneFor    = 60 * time.Second // an instance that the list no longer names is remembered so long
	buildsMost = 64               // that are remembered

	heldUpTold   = time.Duration(100 * time.Millisecond) // later than this the module is told how late a turn comes
	heldUpLogged = time.Duration(500 * time.Millisecond)
)

// Router keeps the commands in hand and the timers.
type Router struct {
	gateway *decision.Balancer
	busy    string // the field of a load report that tells how busy an instance is
	outside Outside
	events  chan func(now monotonic.Time)
	done    chan struct{} // closed at the end
	clock   func() monotonic.Time

	commands  map[*decision.Request]*inHand
	ids       map[string]*inHand
	clients   map[Client]*inHand
	instances map[string]*instance
	numbered  map[uint32]*decision.Endpoint
	known     map[*decision.Endpoint]*instance
	endsAt    monotonic.Time // when the gateway is ended for good; 0 while it is not to
	builds    []int          // listed lately
	waiting   atomic.Int64   // commands that are held
	stands    [3]int         // the build, stage and phase last told
	due       timers
	order     int
	lookedAt  monotonic.Time // when the clock was last looked at; 0 where turns are not Run's
	turnDue   monotonic.Time // when the next turn is to come at the latest
	trace     trace
	list      lists
}

// inHand is a command until its final answer is given and nothing of it is out.
type inHand struct {
	id     string
	cmd    *decision.Request
	client Client // nil once it is answered or gone
	words  func(within time.Duration) []byte
	out    map[*decision.Attempt]*flight
}

// flight is a delivery that is out.
type flight struct {
	of     *inHand
	dl     *decision.Attempt
	on     Delivery
	sentAt monotonic.Time
	until  monotonic.Time
	order  int // among those of one moment
	at     int // in the timers
}

// New makes a router of a gateway; the clock gives whole nanoseconds and never goes back.
func New(g *decision.Balancer, busy string, clock func() monotonic.Time, outside Outside) *Router {
	return &Router{gateway: g, busy: busy, outside: outside, clock: clock, events: make(chan func(time.Duration), eventsMost), done: make(chan struct{}),
		commands: map[*decision.Request]*inHand{}, ids: map[string]*inHand{}, clients: map[Client]*inHand{},
		instances: map[string]*instance{}, numbered: map[uint32]*decision.Endpoint{},
		known: map[*decision.Endpoint]*instance{}, trace: newTrace(), list: lists{trusted: true}}
}

// Run tells, asks and obeys until the context ends.
func (r *Router) Run(ctx context.Context) {
	defer close(r.done)
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	r.lookedAt = r.clock()
	for {
		select {
		case event := <-r.events:
			event(r.look())
		case <-alarm.C:
		case <-ctx.Done():
			return
		}
		wait := r.turn()
		r.turnDue = r.lookedAt + wait
		alarm.Reset(time.Duration(wait))
	}
}

// look reads the clock, and notices if the process stood still since the last time, or other work kept the processor.
// Every event is told with a look of its own: a standstill may come amid a turn as well as between two.
func (r *Router) look() time.Duration {
	now := r.clock()
	if r.lookedAt > 0 {
		r.noticeHeldUp(now, now-max(r.lookedAt, r.turnDue))
		r.lookedAt = now
	}
	return now
}

// noticeHeldUp tells the module how much later than it was due the clock is looked at.
func (r *Router) noticeHeldUp(now monotonic.Time, late time.Duration) {
	if late > heldUpTold {
		if late > heldUpLogged {
			slog.Warn("the gateway stood still", "for", time.Duration(late).Round(time.Millisecond))
		}
		r.gateway.ProcessStalled(late, now)
		if r.list.exchange != nil && !r.gateway.EndpointListTrusted(now) {
			r.list.exchange.Unconfirmed(now)
		}
	}
}

// turn tells all that has come meanwhile, gives up what is out for too long, asks the module and obeys; it
// gives how long to wait.
func (r *Router) turn() time.Duration {
	for more := true; more; {
		select {
		case event := <-r.events:
			event(r.look())
		default:
			more = false
		}
	}
	now := r.look()
	r.expire(now)
	wait := r.chores(now)
	if r.list.exchange != nil {
		wait = min(wait, r.exchangeViews(now))
	}
	r.logTrust(now)
	r.waiting.Store(int64(r.gateway.QueueLength()))
	if len(r.due) > 0 {
		wait = min(wait, r.due[0].until-now)
	}
	return max(wait, 0)
}

// Command tells of a command that a client sent. One by an id that another in hand bears is no command: it
// would be taken for the other.
func (r *Router) Command(request protocol.Request, client Client) {
	came := r.clock() // what it waits here is the client's time too
	r.events <- func(now monotonic.Time) {
		if r.ids[request.ID] != nil {
			client.Failed()
			return
		}
		c := &inHand{id: request.ID, client: client, words: request.Encode, out: map[*decision.Attempt]*flight{}}
		left := request.Remaining - (now - came)
		if r.endsAt > 0 {
			left = min(left, r.endsAt-now)
		}
		c.cmd = r.gateway.Admit(decision.Arrival{OpType: request.OpType, Key: request.Key, Remaining: left}, now)
		r.commands[c.cmd], r.clients[client], r.ids[request.ID] = c, c, c
		r.trace.taken(request.ID, left)
		r.obey(c, r.gateway.Route(c.cmd, now), now)
	}
}

// Gone tells that a client has left before its answer.
func (r *Router) Gone(client Client) {
	r.events <- func(now monotonic.Time) {
		if c := r.clients[client]; c != nil {
			r.trace.left(c.id)
			r.gateway.ClientGone(c.cmd)
			r.withhold(now)
			r.tidy(c)
		}
	}
}

// Ending tells that the gateway is ended for good after so long: by then every command has its final answer.
func (r *Router) Ending(within time.Duration) {
	r.events <- func(now monotonic.Time) {
		r.endsAt = now + within
		for cmd := range r.commands { // each by itself: their order does not matter
			r.gateway.ShortenDeadline(cmd, r.endsAt)
		}
		for _, f := range r.due {
			f.until = min(f.until, r.endsAt)
		}
		heap.Init(&r.due)
	}
}

// meet tells of builds as they are first listed.
func (r *Router) meet(build int) {
	if r.outside.Build == nil || slices.Contains(r.builds, build) {
		return
	}
	if r.builds = append(r.builds, build); len(r.builds) > buildsMost {
		r.builds = r.builds[1:]
	}
	r.outside.Build(build)
}

// Vouched tells whether a build is what was signed.
func (r *Router) Vouched(build int, so bool) {
	select {
	case r.events <- func(now monotonic.Time) {
		r.gateway.BuildVerified(build, so)
		r.withhold(now)
	}:
	case <-r.done: // whoever tells is waited for at the end
	}
}

// Busy tells whether commands wait for room. It may be asked by anyone.
func (r *Router) Busy() bool { return r.waiting.Load() > 0 }

// News tells where the newest build stands.
func (r *Router) News(status decision.RolloutStatus) {
	r.events <- func(now monotonic.Time) {
		if here := [3]int{status.Build, status.Stage, int(status.Phase)}; here != r.stands {
			slog.Info("news", "build", status.Build, "stage", status.Stage, "phase", status.Phase, "cap", status.ExposureCap)
			r.stands = here
		}
		r.gateway.RolloutChanged(status, now)
		r.withhold(now)
	}
}

// Voted tells the answer to a vote.
func (r *Router) Voted(how decision.Outcome) {
	r.events <- func(now monotonic.Time) {
		if how != decision.OutcomeSuccess {
			slog.Warn("a vote did not count", "outcome", how)
		}
		r.gateway.VoteAnswered(how, now)
	}
}

// Heard tells a datagram of another gateway.
func (r *Router) Heard(from int, text []byte) {
	r.events <- func(now monotonic.Time) {
		if r.list.exchange != nil && r.heardOfList(from, text, now) {
			return
		}
		if t := protocol.DecodeEvidenceReport(text, from, r.named); t != nil {
			r.gateway.EvidenceReceived(t, now)
		} else if f := protocol.DecodeVoterReport(text, from, r.named); f != nil {
			r.gateway.VoterReportReceived(f, now)
		}
	}
}

// obey carries out what was decided on a command.
func (r *Router) obey(c *inHand, d decision.Decision, now monotonic.Time) {
	switch d.Action {
	case decision.ActionForward:
		f := &flight{of: c, dl: d.Attempt, sentAt: now, until: now + d.Timeout, order: r.order}
		r.order++
		c.out[d.Attempt] = f
		heap.Push(&r.due, f)
		to := r.known[d.Endpoint]
		r.trace.sent(c.id, to, r.list.revision, d.Attempt.Number())
		f.on = r.outside.Send(to.listed.Address, time.Now().Add(time.Duration(d.Timeout)), c.words,
			func(response protocol.Response) {
				r.events <- func(now monotonic.Time) { r.ended(f, response, now) }
			})
	case decision.ActionReject:
		if c.client != nil {
			r.trace.answered(c.id, "refused", d.Reason)
			c.client.Nacked(d.RetryAfter)
		}
	case decision.ActionFail:
		if c.client != nil {
			r.trace.answered(c.id, "failed", d.Reason)
			c.client.Failed()
		}
	}
	r.tidy(c)
}

// ended tells how a delivery ended, unless it was given up before.
func (r *Router) ended(f *flight, response protocol.Response, now monotonic.Time) {
	if f.of.out[f.dl] != f {
		return
	}
	delete(f.of.out, f.dl)
	heap.Remove(&r.due, f.at)
	if busy, ok := protocol.ParseUtilization(response.LoadReport, r.busy); ok {
		r.gateway.LoadReported(f.dl.Endpoint, busy, now)
	}
	how := response.Outcome
	if how == decision.OutcomeSuccess && response.Value == nil {
		how = decision.OutcomeError // it answers something else
	}
	if how == decision.OutcomeSuccess {
		r.gateway.AttemptServed(f.dl, now-f.on.ConnectionAge())
	}
	settled := f.of.client == nil
	r.trace.ended(f.of.id, r.known[f.dl.Endpoint], how, now-f.sentAt)
	if how == decision.OutcomeSuccess && !settled {
		r.trace.answered(f.of.id, "served", decision.ReasonNone)
		f.of.client.Acked(response.Value)
	}
	result := decision.AttemptResult{Outcome: how, Duration: now - f.sentAt, Settled: settled}
	r.obey(f.of, r.gateway.FinishAttempt(f.dl, result, now), now)
}

// giveUp ends a delivery by the gateway's own will.
func (r *Router) giveUp(f *flight, how decision.Outcome, now monotonic.Time) {
	reached, ended := f.on.GiveUp()
	if ended {
		f.until = now + time.Duration(time.Millisecond)
		heap.Fix(&r.due, f.at)
		return
	}
	if !reached {
		how = decision.OutcomeNotSent
	}
	r.ended(f, protocol.Response{Outcome: how}, now)
}

// withhold gives up what has not begun to go out and may no longer: it waits for a connection, for up to a
// second, while its client leaves, its instance is told to drain or the cap falls.
func (r *Router) withhold(now monotonic.Time) {
	var late []*flight
	for _, f := range r.due {
		if !r.gateway.AttemptAllowed(f.dl, now) && f.on.Withhold() {
			late = append(late, f)
		}
	}
	slices.SortFunc(late, func(a, b *flight) int { return a.order - b.order })
	for _, f := range late {
		r.ended(f, protocol.Response{Outcome: decision.OutcomeNotSent}, now)
	}
}

// expire gives up what has been out for as long as it may be.
func (r *Router) expire(now monotonic.Time) {
	for len(r.due) > 0 && r.due[0].until <= now {
		r.giveUp(r.due[0], decision.OutcomeTimeout, now)
	}
}

// chores carries out what is due and gives how long to wait.
func (r *Router) chores(now monotonic.Time) time.Duration {
	wait, due := r.gateway.Tick(now)
	for _, cmd := range due.Requests {
		if c := r.commands[cmd]; c != nil {
			r.obey(c, r.gateway.Route(cmd, now), now)
		}
	}
	if due.PollDiscovery {
		r.outside.Watch()
	}
	for _, dl := range due.CancelAttempts {
		if c := r.commands[dl.Request]; c != nil && c.out[dl] != nil {
			r.giveUp(c.out[dl], decision.OutcomeCanceled, now)
		}
	}
	if due.EvidenceReport != nil {
		text := protocol.EncodeEvidenceReport(due.EvidenceReport, r.number)
		for _, to := range due.EvidenceRecipients {
			r.outside.Post(to, text)
		}
	}
	if due.VoterReport != nil {
		r.outside.Post(-1, protocol.EncodeVoterReport(due.VoterReport, r.number))
	}
	for _, v := range due.Votes {
		slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", v.Verdict)
		r.outside.Vote(v)
	}
	return wait
}

// tidy lets go of the client of a command that is over, and of the command once nothing of it is out.
func (r *Router) tidy(c *inHand) {
	if !c.cmd.Completed() {
		return
	}
	if c.client != nil {
		delete(r.clients, c.client)
		c.client = nil
	}
	if len(c.out) == 0 {
		delete(r.commands, c.cmd)
		delete(r.ids, c.id)
	}
}

// numberOf numbers an id in messages between gateways.
func numberOf(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func (r *Router) number(it *decision.Endpoint) uint32 {
	if i := r.known[it]; i != nil {
		return i.number
	}
	return 0
}

func (r *Router) named(number uint32) *decision.Endpoint { return r.numbered[number] }

// timers is a heap of what is out, by the moment until which it may be.
type timers []*flight

func (t timers) Len() int { return len(t) }
func (t timers) Less(a, b int) bool {
	return t[a].until < t[b].until || t[a].until == t[b].until && t[a].order < t[b].order
}
func (t timers) Swap(a, b int) {
	t[a], t[b] = t[b], t[a]
	t[a].at, t[b].at = a, b
}
func (t *timers) Push(f any) {
	f.(*flight).at = len(*t)
	*t = append(*t, f.(*flight))
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	f := (*t)[last]
	*t = (*t)[:last]
	return f
}
