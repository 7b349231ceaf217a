// Package routing owns the module: one goroutine tells it every event in the order it came, asks it, and
// obeys. It decides nothing.
package routing

import (
	"container/heap"
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// Client is the destination of a request's final answer. Exactly one of its methods is called, once, unless the client
// disconnects first. None of them may block.
type Client interface {
	Respond(value []byte)
	Reject(retryAfter time.Duration) // the request never ran; 0 gives no advice on when to retry
	Fail()                           // the request may have run
}

// AttemptHandle controls an attempt that has been started.
type AttemptHandle interface {
	// Cancel ends the attempt without an outcome. It reports whether the request may have reached the endpoint, and
	// whether the attempt had already finished: then its outcome arrives by itself.
	Cancel() (reachedEndpoint, alreadyFinished bool)
	// Withhold cancels the attempt if nothing of it has been sent, and reports whether it did.
	Withhold() bool
	// ConnectionAge is the age of the connection that the attempt was sent on.
	ConnectionAge() time.Duration
}

// AttemptRequest describes an attempt to start.
type AttemptRequest struct {
	Address  string    // of the endpoint
	Deadline time.Time // until when the router waits for an outcome
	// Encode gives the request's bytes, given the time that remains as they are sent.
	Encode func(remaining time.Duration) []byte
	// Finished is to be called once with the outcome, on another goroutine than the router's, unless the attempt was
	// canceled or withheld before.
	Finished func(protocol.Response)
}

// Drivers do the router's I/O. All but VerifyBuild are required, and none may block.
type Drivers struct {
	StartAttempt func(AttemptRequest) AttemptHandle
	// CloseIdleConnections closes the idle connections to an address that is no longer listed.
	CloseIdleConnections func(address string)
	// SendDatagram sends a datagram to the gateway of that rank, or to all gateways where the rank is negative.
	SendDatagram func(rank int, datagram []byte)
	// CastVote casts a vote at the rollout controller; VoteAnswered is to be called with its outcome.
	CastVote func(decision.Vote)
	// PollDiscovery watches the endpoint list from here on, unless a watch is already established.
	PollDiscovery func()
	// VerifyBuild is given each build as it is first listed; BuildVerified is to be called with the result. Nil where
	// builds are not verified.
	VerifyBuild func(build int)
}

// Config is what a router is built from.
type Config struct {
	Balancer         *decision.Balancer
	UtilizationField string                // the field of a load report that gives an endpoint's utilization
	Clock            func() monotonic.Time // whole nanoseconds; it must not go back
	Drivers          Drivers
	Gossip           *gossip.Exchange // nil where gateways exchange no views of the endpoint list
}

// validate reports what a configuration lacks.
func (c *Config) validate() error {
	drivers := &c.Drivers
	switch {
	case c.Balancer == nil:
		return errors.New("routing: no balancer")
	case c.Clock == nil:
		return errors.New("routing: no clock")
	case drivers.StartAttempt == nil || drivers.CloseIdleConnections == nil || drivers.SendDatagram == nil ||
		drivers.CastVote == nil || drivers.PollDiscovery == nil:
		return errors.New("routing: a required driver is missing")
	}
	return nil
}

const (
	eventQueueSize     = 1024             // that wait; whoever brings a further one waits
	removedEndpointTTL = 60 * time.Second // an instance that the list no longer names is remembered so long
	maxKnownBuilds     = 64               // that are remembered

	stallThreshold       = time.Duration(100 * time.Millisecond) // later than this the module is told how late a turn comes
	loggedStallThreshold = time.Duration(500 * time.Millisecond)
)

// Router keeps the commands in hand and the timers.
type Router struct {
	balancer         *decision.Balancer
	utilizationField string // the field of a load report that tells how busy an instance is
	drivers          Drivers
	events           chan func(now monotonic.Time)
	done             chan struct{} // closed at the end
	clock            func() monotonic.Time

	requests         map[*decision.Request]*activeRequest
	requestsByID     map[string]*activeRequest
	requestsByClient map[Client]*activeRequest
	endpointsByID    map[string]*endpointRecord
	endpointsByHash  map[uint32]*decision.Endpoint
	endpointRecords  map[*decision.Endpoint]*endpointRecord
	shutdownAt       monotonic.Time // when the gateway is ended for good; 0 while it is not to
	knownBuilds      []int          // listed lately
	queueLength      atomic.Int64   // commands that are held
	loggedStatus     [3]int         // the build, stage and phase last told
	timers           attemptTimers
	nextSequence     int
	clockReadAt      monotonic.Time // when the clock was last looked at; 0 where turns are not Run's
	nextTurnBy       monotonic.Time // when the next turn is to come at the latest
	requestLog       requestLog
	endpointList     endpointListState
}

// inHand is a command until its final answer is given and nothing of it is out.
type activeRequest struct {
	id       string
	request  *decision.Request
	client   Client // nil once it is answered or gone
	encode   func(within time.Duration) []byte
	attempts map[*decision.Attempt]*activeAttempt
}

// flight is a delivery that is out.
type activeAttempt struct {
	request   *activeRequest
	attempt   *decision.Attempt
	handle    AttemptHandle
	startedAt monotonic.Time
	cancelAt  monotonic.Time
	sequence  int // among those of one moment
	heapIndex int // in the timers
}

// New returns a router. Its methods may be called at once; events are processed once Run is called.
func New(config Config) (*Router, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Router{balancer: config.Balancer, utilizationField: config.UtilizationField, drivers: config.Drivers, clock: config.Clock,
		events: make(chan func(time.Duration), eventQueueSize), done: make(chan struct{}),
		requests: map[*decision.Request]*activeRequest{}, requestsByID: map[string]*activeRequest{}, requestsByClient: map[Client]*activeRequest{},
		endpointsByID: map[string]*endpointRecord{}, endpointsByHash: map[uint32]*decision.Endpoint{},
		endpointRecords: map[*decision.Endpoint]*endpointRecord{}, requestLog: newRequestLog(), endpointList: endpointListState{loggedTrusted: true, exchange: config.Gossip}}, nil
}

// Run tells, asks and obeys until the context ends.
func (r *Router) Run(ctx context.Context) {
	defer close(r.done)
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	r.clockReadAt = r.clock()
	for {
		select {
		case event := <-r.events:
			event(r.readClock())
		case <-alarm.C:
		case <-ctx.Done():
			return
		}
		wait := r.turn()
		r.nextTurnBy = r.clockReadAt + wait
		alarm.Reset(time.Duration(wait))
	}
}

// look reads the clock, and notices if the process stood still since the last time, or other work kept the processor.
// Every event is told with a look of its own: a standstill may come amid a turn as well as between two.
func (r *Router) readClock() time.Duration {
	now := r.clock()
	if r.clockReadAt > 0 {
		r.detectStall(now, now-max(r.clockReadAt, r.nextTurnBy))
		r.clockReadAt = now
	}
	return now
}

// noticeHeldUp tells the module how much later than it was due the clock is looked at.
func (r *Router) detectStall(now monotonic.Time, late time.Duration) {
	if late > stallThreshold {
		if late > loggedStallThreshold {
			slog.Warn("the gateway stood still", "for", time.Duration(late).Round(time.Millisecond))
		}
		r.balancer.ProcessStalled(late, now)
		if r.endpointList.exchange != nil && !r.balancer.EndpointListTrusted(now) {
			r.endpointList.exchange.DiscoveryLost(now)
		}
	}
}

// turn tells all that has come meanwhile, gives up what is out for too long, asks the module and obeys; it
// gives how long to wait.
func (r *Router) turn() time.Duration {
	for more := true; more; {
		select {
		case event := <-r.events:
			event(r.readClock())
		default:
			more = false
		}
	}
	now := r.readClock()
	r.cancelOverdue(now)
	wait := r.performDueWork(now)
	if r.endpointList.exchange != nil {
		wait = min(wait, r.sendGossip(now))
	}
	r.logLease(now)
	r.queueLength.Store(int64(r.balancer.QueueLength()))
	if len(r.timers) > 0 {
		wait = min(wait, r.timers[0].cancelAt-now)
	}
	return max(wait, 0)
}

// Command tells of a command that a client sent. One by an id that another in hand bears is no command: it
// would be taken for the other.
func (r *Router) RequestArrived(request protocol.Request, client Client) {
	came := r.clock() // what it waits here is the client's time too
	r.events <- func(now monotonic.Time) {
		if r.requestsByID[request.ID] != nil {
			client.Fail()
			return
		}
		c := &activeRequest{id: request.ID, client: client, encode: request.Encode, attempts: map[*decision.Attempt]*activeAttempt{}}
		left := request.Remaining - (now - came)
		if r.shutdownAt > 0 {
			left = min(left, r.shutdownAt-now)
		}
		c.request = r.balancer.Admit(decision.Arrival{OpType: request.OpType, Key: request.Key, Remaining: left}, now)
		r.requests[c.request], r.requestsByClient[client], r.requestsByID[request.ID] = c, c, c
		r.requestLog.accepted(request.ID, left)
		r.apply(c, r.balancer.Route(c.request, now), now)
	}
}

// Gone tells that a client has left before its answer.
func (r *Router) ClientDisconnected(client Client) {
	r.events <- func(now monotonic.Time) {
		if c := r.requestsByClient[client]; c != nil {
			r.requestLog.clientDisconnected(c.id)
			r.balancer.ClientGone(c.request)
			r.withholdDisallowed(now)
			r.releaseCompleted(c)
		}
	}
}

// Ending tells that the gateway is ended for good after so long: by then every command has its final answer.
func (r *Router) ShutdownWithin(within time.Duration) {
	r.events <- func(now monotonic.Time) {
		r.shutdownAt = now + within
		for cmd := range r.requests { // each by itself: their order does not matter
			r.balancer.ShortenDeadline(cmd, r.shutdownAt)
		}
		for _, f := range r.timers {
			f.cancelAt = min(f.cancelAt, r.shutdownAt)
		}
		heap.Init(&r.timers)
	}
}

// meet tells of builds as they are first listed.
func (r *Router) verifyBuild(build int) {
	if r.drivers.VerifyBuild == nil || slices.Contains(r.knownBuilds, build) {
		return
	}
	if r.knownBuilds = append(r.knownBuilds, build); len(r.knownBuilds) > maxKnownBuilds {
		r.knownBuilds = r.knownBuilds[1:]
	}
	r.drivers.VerifyBuild(build)
}

// Vouched tells whether a build is what was signed.
func (r *Router) BuildVerified(build int, so bool) {
	select {
	case r.events <- func(now monotonic.Time) {
		r.balancer.BuildVerified(build, so)
		r.withholdDisallowed(now)
	}:
	case <-r.done: // whoever tells is waited for at the end
	}
}

// Busy tells whether commands wait for room. It may be asked by anyone.
func (r *Router) HasQueuedRequests() bool { return r.queueLength.Load() > 0 }

// News tells where the newest build stands.
func (r *Router) RolloutStatusReceived(status decision.RolloutStatus) {
	r.events <- func(now monotonic.Time) {
		if here := [3]int{status.Build, status.Stage, int(status.Phase)}; here != r.loggedStatus {
			slog.Info("news", "build", status.Build, "stage", status.Stage, "phase", status.Phase, "cap", status.ExposureCap)
			r.loggedStatus = here
		}
		r.balancer.RolloutChanged(status, now)
		r.withholdDisallowed(now)
	}
}

// Voted tells the answer to a vote.
func (r *Router) VoteAnswered(how decision.Outcome) {
	r.events <- func(now monotonic.Time) {
		if how != decision.OutcomeSuccess {
			slog.Warn("a vote did not count", "outcome", how)
		}
		r.balancer.VoteAnswered(how, now)
	}
}

// Heard tells a datagram of another gateway.
func (r *Router) DatagramReceived(from int, text []byte) {
	r.events <- func(now monotonic.Time) {
		if r.endpointList.exchange != nil && r.gossipReceived(from, text, now) {
			return
		}
		if t := protocol.UnpackTotals(text, from, r.endpointByHash); t != nil {
			r.balancer.EvidenceReceived(t, now)
		} else if f := protocol.UnpackFinding(text, from, r.endpointByHash); f != nil {
			r.balancer.VoterReportReceived(f, now)
		}
	}
}

// obey carries out what was decided on a command.
func (r *Router) apply(c *activeRequest, d decision.Decision, now monotonic.Time) {
	switch d.Action {
	case decision.ActionForward:
		f := &activeAttempt{request: c, attempt: d.Attempt, startedAt: now, cancelAt: now + d.Timeout, sequence: r.nextSequence}
		r.nextSequence++
		c.attempts[d.Attempt] = f
		heap.Push(&r.timers, f)
		to := r.endpointRecords[d.Endpoint]
		r.requestLog.attemptStarted(c.id, to, r.endpointList.revision, d.Attempt.Number)
		f.handle = r.drivers.StartAttempt(AttemptRequest{
			Address:  to.listed.Address,
			Deadline: time.Now().Add(d.Timeout),
			Encode:   c.encode,
			Finished: func(response protocol.Response) {
				r.events <- func(now monotonic.Time) { r.finishAttempt(f, response, now) }
			},
		})
	case decision.ActionReject:
		if c.client != nil {
			r.requestLog.answered(c.id, "refused", d.Reason)
			c.client.Reject(d.RetryAfter)
		}
	case decision.ActionFail:
		if c.client != nil {
			r.requestLog.answered(c.id, "failed", d.Reason)
			c.client.Fail()
		}
	}
	r.releaseCompleted(c)
}

// ended tells how a delivery ended, unless it was given up before.
func (r *Router) finishAttempt(f *activeAttempt, response protocol.Response, now monotonic.Time) {
	if f.request.attempts[f.attempt] != f {
		return
	}
	delete(f.request.attempts, f.attempt)
	heap.Remove(&r.timers, f.heapIndex)
	if busy, ok := protocol.Load(response.LoadReport, r.utilizationField); ok {
		r.balancer.LoadReported(f.attempt.Endpoint, busy, now)
	}
	how := response.Outcome
	if how == decision.OutcomeSuccess && response.Value == nil {
		how = decision.OutcomeError // it answers something else
	}
	if how == decision.OutcomeSuccess {
		r.balancer.AttemptServed(f.attempt, now-f.handle.ConnectionAge())
	}
	settled := f.request.client == nil
	r.requestLog.attemptFinished(f.request.id, r.endpointRecords[f.attempt.Endpoint], how, now-f.startedAt)
	if how == decision.OutcomeSuccess && !settled {
		r.requestLog.answered(f.request.id, "served", decision.ReasonNone)
		f.request.client.Respond(response.Value)
	}
	result := decision.AttemptResult{Outcome: how, Duration: now - f.startedAt, Settled: settled}
	r.apply(f.request, r.balancer.FinishAttempt(f.attempt, result, now), now)
}

// giveUp ends a delivery by the gateway's own will.
func (r *Router) cancelAttempt(f *activeAttempt, how decision.Outcome, now monotonic.Time) {
	reached, ended := f.handle.Cancel()
	if ended {
		f.cancelAt = now + time.Duration(time.Millisecond)
		heap.Fix(&r.timers, f.heapIndex)
		return
	}
	if !reached {
		how = decision.OutcomeNotSent
	}
	r.finishAttempt(f, protocol.Response{Outcome: how}, now)
}

// withhold gives up what has not begun to go out and may no longer: it waits for a connection, for up to a
// second, while its client leaves, its instance is told to drain or the cap falls.
func (r *Router) withholdDisallowed(now monotonic.Time) {
	var late []*activeAttempt
	for _, f := range r.timers {
		if !r.balancer.AttemptAllowed(f.attempt, now) && f.handle.Withhold() {
			late = append(late, f)
		}
	}
	slices.SortFunc(late, func(a, b *activeAttempt) int { return a.sequence - b.sequence })
	for _, f := range late {
		r.finishAttempt(f, protocol.Response{Outcome: decision.OutcomeNotSent}, now)
	}
}

// expire gives up what has been out for as long as it may be.
func (r *Router) cancelOverdue(now monotonic.Time) {
	for len(r.timers) > 0 && r.timers[0].cancelAt <= now {
		r.cancelAttempt(r.timers[0], decision.OutcomeTimeout, now)
	}
}

// chores carries out what is due and gives how long to wait.
func (r *Router) performDueWork(now monotonic.Time) time.Duration {
	wait, due := r.balancer.Tick(now)
	for _, cmd := range due.Requests {
		if c := r.requests[cmd]; c != nil {
			r.apply(c, r.balancer.Route(cmd, now), now)
		}
	}
	if due.PollDiscovery {
		r.drivers.PollDiscovery()
	}
	for _, dl := range due.CancelAttempts {
		if c := r.requests[dl.Request]; c != nil && c.attempts[dl] != nil {
			r.cancelAttempt(c.attempts[dl], decision.OutcomeCanceled, now)
		}
	}
	if due.EvidenceReport != nil {
		text := protocol.PackTotals(due.EvidenceReport, r.endpointHash)
		for _, to := range due.EvidenceRecipients {
			r.drivers.SendDatagram(to, text)
		}
	}
	if due.VoterReport != nil {
		r.drivers.SendDatagram(-1, protocol.PackFinding(due.VoterReport, r.endpointHash))
	}
	for _, v := range due.Votes {
		slog.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", v.Verdict)
		r.drivers.CastVote(v)
	}
	return wait
}

// tidy lets go of the client of a command that is over, and of the command once nothing of it is out.
func (r *Router) releaseCompleted(c *activeRequest) {
	if !c.request.Completed {
		return
	}
	if c.client != nil {
		delete(r.requestsByClient, c.client)
		c.client = nil
	}
	if len(c.attempts) == 0 {
		delete(r.requests, c.request)
		delete(r.requestsByID, c.id)
	}
}

// numberOf numbers an id in messages between gateways.
func hashID(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func (r *Router) endpointHash(it *decision.Endpoint) uint32 {
	if i := r.endpointRecords[it]; i != nil {
		return i.hash
	}
	return 0
}

func (r *Router) endpointByHash(number uint32) *decision.Endpoint { return r.endpointsByHash[number] }

// timers is a heap of what is out, by the moment until which it may be.
type attemptTimers []*activeAttempt

func (t attemptTimers) Len() int { return len(t) }
func (t attemptTimers) Less(a, b int) bool {
	return t[a].cancelAt < t[b].cancelAt || t[a].cancelAt == t[b].cancelAt && t[a].sequence < t[b].sequence
}
func (t attemptTimers) Swap(a, b int) {
	t[a], t[b] = t[b], t[a]
	t[a].heapIndex, t[b].heapIndex = a, b
}
func (t *attemptTimers) Push(f any) {
	f.(*activeAttempt).heapIndex = len(*t)
	*t = append(*t, f.(*activeAttempt))
}
func (t *attemptTimers) Pop() any {
	last := len(*t) - 1
	f := (*t)[last]
	*t = (*t)[:last]
	return f
}
