package routing

import (
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"hash"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
	"laurelring/internal/seededrand"
)

// The tests in this file detect changes of the router's behavior. They play seeded histories of events and compare the
// digest of the router's calls to its drivers and clients, in their order, with a recorded digest.

const (
	recordedHistories = 120
	recordedSteps     = 2200
	recordedFile      = "testdata/recorded.txt"
	recordedRouters   = 3 // routers in each history

	// The same for histories with outages of discovery and stalls of the process.
	recordedOutages     = 120
	recordedOutageSteps = 3600
	recordedOutageFile  = "testdata/recorded_outages.txt"
)

var record = flag.Bool("record", false, "overwrite the recorded digests of the histories")

// TestRecordedHistories plays every history and compares the digest of its calls with the recorded one.
func TestRecordedHistories(t *testing.T) {
	compareWithRecording(t, recordedHistories, recordedFile, false)
}

// TestRecordedOutages does the same for histories in which discovery is silent for seconds and the process stalls.
func TestRecordedOutages(t *testing.T) {
	compareWithRecording(t, recordedOutages, recordedOutageFile, true)
}

func compareWithRecording(t *testing.T, histories int, file string, outages bool) {
	t.Helper()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	digests := make([]string, histories)
	var group sync.WaitGroup
	limit := make(chan struct{}, 8)
	for i := range digests {
		group.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			h := newHistory(t, uint64(i), outages)
			h.play()
			digests[i] = fmt.Sprintf("%d %d %x", i, h.calls, h.digest.Sum(nil)[:16])
		})
	}
	group.Wait()
	if *record {
		if err := os.WriteFile(file, []byte(strings.Join(digests, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(want) != len(digests) {
		t.Fatalf("%d histories are recorded, but %d were played", len(want), len(digests))
	}
	differing := 0
	for i, digest := range digests {
		if digest != want[i] {
			if differing++; differing <= 5 {
				t.Errorf("history %d: got %s, want %s as recorded", i, digest, want[i])
			}
		}
	}
	if differing > 0 {
		t.Errorf("%d of %d histories differ from the recording", differing, len(want))
	}
}

// history simulates several routers that send one another datagrams, and everything with which they interact.
type history struct {
	t         *testing.T
	random    *rand.Rand
	now       monotonic.Time
	routers   []*recordedRouter
	members   []member
	revision  int
	build     int
	stage     int
	digest    hash.Hash
	calls     int        // number of calls in the digest
	requests  int        // number of requests sent; also the id of the latest one
	datagrams []datagram // datagrams in transit

	outages     bool
	noStalls    bool           // whether the process never stalls in a history with outages
	outageUntil monotonic.Time // time until which discovery answers no gateway
}

type datagram struct {
	from, to int            // ranks; a negative rank stands for all gateways
	at       monotonic.Time // delivery time
	text     []byte
}

// recordedRouter is one of the routers, with its attempts in flight and its clients.
type recordedRouter struct {
	*Router
	h               *history
	rank            int
	opTypes         []*decision.OpType
	inFlight        []*recordedAttempt
	clients         []*recordedClient
	closedAddresses []string // addresses of the connections closed during this turn, in any order
	watching        bool     // whether a watch of discovery is established
}

type recordedAttempt struct {
	r               *recordedRouter
	name            string // request id and endpoint address
	reachedEndpoint bool
	finished        bool
	canceled        bool
	connectedAt     monotonic.Time
	onFinished      func(protocol.Response)
}

func (d *recordedAttempt) Cancel() (reachedEndpoint, finished bool) {
	d.r.logCall("give up %s %t %t", d.name, d.reachedEndpoint, d.finished)
	d.canceled = true
	return d.reachedEndpoint, d.finished
}

func (d *recordedAttempt) Withhold() bool {
	withheld := !d.finished && !d.canceled && !d.reachedEndpoint
	d.canceled = d.canceled || withheld
	if withheld {
		d.r.logCall("withhold %s", d.name)
	}
	return withheld
}

func (d *recordedAttempt) Proceed(monotonic.Time) {}

func (d *recordedAttempt) ConnectedAt() monotonic.Time { return d.connectedAt }

type recordedClient struct {
	r    *recordedRouter
	name string
}

func (c *recordedClient) Respond(value []byte)        { c.r.logCall("acked %s %q", c.name, value) }
func (c *recordedClient) Reject(after monotonic.Time) { c.r.logCall("nacked %s %d", c.name, after) }
func (c *recordedClient) Fail()                       { c.r.logCall("failed %s", c.name) }

// logCall adds a call to a driver or client, or another observed result, to the digest.
func (r *recordedRouter) logCall(format string, args ...any) {
	r.h.calls++
	fmt.Fprintf(r.h.digest, "%d %d ", r.h.now, r.rank)
	fmt.Fprintf(r.h.digest, format+"\n", args...)
}

func newHistory(t *testing.T, seed uint64, outages bool) *history {
	h := &history{t: t, random: rand.New(rand.NewPCG(seed, 0x4157)), now: 1_000_000 * ms, digest: sha256.New(),
		build: 1, stage: 2, revision: 1, outages: outages, noStalls: seed%2 == 0}
	for i := range 5 + h.random.IntN(8) {
		h.members = append(h.members, member{id: fmt.Sprint("s-", i), phase: "up", build: 1})
	}
	mode := pickOne(h.random, "ask", "push")
	fleet := recordedRouters
	if outages { // the fleet may have more gateways than are played
		fleet = pickOne(h.random, recordedRouters, 40)
	}
	for rank := range recordedRouters {
		h.routers = append(h.routers, h.newRouter(seed, rank, fleet, mode))
	}
	return h
}

func pickOne[T any](random *rand.Rand, some ...T) T { return some[random.IntN(len(some))] }

func (h *history) newRouter(seed uint64, rank, fleet int, mode string) *recordedRouter {
	text := strings.NewReplacer(`"rank":0`, fmt.Sprintf(`"rank":%d`, rank),
		`"balancers":3`, fmt.Sprintf(`"balancers":%d`, fleet),
		`"registry_mode":"ask"`, fmt.Sprintf(`"registry_mode":%q`, mode)).Replace(settings)
	parsed, err := protocol.ParseSettings([]byte(text))
	if err != nil {
		h.t.Fatal(err)
	}
	balancer, err := decision.New(parsed.BalancerConfig(seed*10 + uint64(rank)))
	if err != nil {
		h.t.Fatal(err)
	}
	opTypes := balancer.OpTypes()
	r := &recordedRouter{h: h, rank: rank, opTypes: opTypes}
	drivers := Drivers{
		StartAttempt:         r.beginAttempt,
		CloseIdleConnections: func(address string) { r.closedAddresses = append(r.closedAddresses, address) },
		SendDatagram: func(to int, text []byte, _ monotonic.Time) {
			r.logCall("post %d %x", to, text)
			h.datagrams = append(h.datagrams, datagram{rank, to, h.now + time.Duration(5+h.random.IntN(60))*ms, text})
		},
		CastVote: func(v decision.Vote, _ monotonic.Time) {
			r.logCall("vote %d %d %d", v.Build, v.Stage, v.Verdict)
			r.VoteAnswered(pickOne(h.random, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeNotSent, decision.OutcomeTimeout))
		},
		PollDiscovery: func() {
			r.logCall("watch")
			r.watching = true
		},
		VerifyBuild: func(build int) { r.logCall("build %d", build) },
	}
	if h.random.IntN(2) == 0 {
		balancer.RequireVerifiedBuilds()
		for build := range 20 {
			balancer.BuildVerified(build, build != 3)
		}
	}
	balancer.StartLease(h.now)
	var exchange *gossip.Exchange
	if h.random.IntN(4) > 0 {
		exchange = gossip.NewExchange(gossip.Config{Rank: rank, Gateways: fleet, Revision: 1,
			Random: seededrand.New(seed + uint64(rank)).Int64N}, h.now)
	}
	r.Router, err = New(Config{Balancer: balancer, UtilizationField: parsed.UtilizationField, Clock: func() time.Duration { return h.now },
		Drivers: drivers, Gossip: exchange})
	if err != nil {
		h.t.Fatal(err)
	}
	if h.outages {
		r.stall.start(h.now) // stalls are detected
	}
	r.RolloutStatusReceived(decision.RolloutStatus{Build: 1, Stage: 2, Phase: decision.PhaseReleased, ExposureCap: 1})
	h.answer(r, true, true, false, h.members...)
	return r
}

// answer gives one router an answer from discovery and runs a turn.
func (h *history) answer(r *recordedRouter, complete, cached, full bool, members ...member) {
	var all []string
	for _, m := range members {
		all = append(all, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m","cell":0,"phase":%q,`+
			`"size":4,"up_since_ms":%d,"build":%d}`, m.id, m.address(), m.phase, m.startedAt/ms, m.build))
	}
	text := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, h.revision, complete, strings.Join(all, ","))
	answer, err := protocol.ParseEndpointList([]byte(text), []string{"a", "b"}, []string{"m"})
	if err != nil {
		h.t.Fatal(err)
	}
	waiting, done := len(r.events), make(chan error, 1)
	go func() {
		done <- r.EndpointListReceived(EndpointListUpdate{List: answer, Cached: cached, Full: full})
	}()
	for len(r.events) == waiting {
		runtime.Gosched()
	}
	r.takeTurn()
	if err := <-done; err != nil {
		r.logCall("older")
	}
}

// takeTurn runs one turn of the router.
func (r *recordedRouter) takeTurn() {
	wait := r.turn()
	if r.stall.clockReadAt > 0 {
		r.stall.expectTurnWithin(wait)
	}
	slices.Sort(r.closedAddresses)
	for _, address := range r.closedAddresses {
		r.logCall("drop %s", address)
	}
	r.closedAddresses = r.closedAddresses[:0]
	r.logCall("wait %d", wait)
}

func (r *recordedRouter) beginAttempt(attempt AttemptRequest) AttemptHandle {
	d := &recordedAttempt{r: r, name: fmt.Sprintf("%s@%s", attempt.Encode(0), attempt.Address), reachedEndpoint: r.h.random.IntN(10) > 0,
		connectedAt: r.h.now - time.Duration(r.h.random.IntN(4000))*ms, onFinished: attempt.Finished}
	r.logCall("send %s", d.name)
	r.inFlight = append(r.inFlight, d)
	return d
}

func (r *recordedRouter) sendRequest() {
	r.h.requests++
	name := fmt.Sprint(r.h.requests)
	c := &recordedClient{r, name}
	r.clients = append(r.clients, c)
	r.RequestArrived(protocol.Request{OpType: pickOne(r.h.random, r.opTypes...), Key: uint64(r.h.random.IntN(30)), ID: name,
		Remaining: time.Duration(100+r.h.random.IntN(1900)) * ms,
		Encode:    func(time.Duration) []byte { return []byte(name) }}, c)
}

// finishAttempts posts random outcomes of some of the attempts in flight.
func (r *recordedRouter) finishAttempts() {
	for _, d := range slices.Clone(r.inFlight) {
		if d.canceled || d.finished || r.h.random.IntN(20) > 0 {
			continue
		}
		d.finished = true
		outcome := pickOne(r.h.random, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess, decision.OutcomeSuccess,
			decision.OutcomeError, decision.OutcomeRejected, decision.OutcomeConnectFailed, decision.OutcomeConnectionLost, decision.OutcomeNotSent)
		var value []byte
		if outcome == decision.OutcomeSuccess && r.h.random.IntN(30) > 0 {
			value = []byte("value")
		}
		d.onFinished(protocol.Response{Outcome: outcome, Value: value,
			LoadReport: fmt.Appendf(nil, "utilization=0.%d", r.h.random.IntN(10))})
	}
	r.inFlight = slices.DeleteFunc(r.inFlight, func(d *recordedAttempt) bool { return d.canceled || d.finished })
}

// play plays the history: each step draws events and runs a turn of each router.
func (h *history) play() {
	steps, stallOneIn := recordedSteps, 400
	if h.outages {
		steps, stallOneIn = recordedOutageSteps, 60
		if h.noStalls { // without stalls, as a stall ends the lease on the endpoint list early
			stallOneIn = 1 << 30
		}
	}
	for range steps {
		h.now += time.Duration(h.random.IntN(12)) * ms
		if h.random.IntN(stallOneIn) == 0 {
			h.now += time.Duration(h.random.IntN(900)) * ms
		}
		if h.outages {
			h.simulateOutage()
		}
		h.randomEvent()
		for _, r := range h.routers {
			for range h.random.IntN(2) + h.random.IntN(2) {
				r.sendRequest()
			}
			r.finishAttempts()
			r.takeTurn()
		}
		h.deliverDatagrams()
	}
	for _, r := range h.routers {
		r.ShutdownWithin(300 * ms)
	}
	for range 200 {
		h.now += 5 * ms
		for _, r := range h.routers {
			r.takeTurn()
		}
	}
}

// deliverDatagrams delivers the datagrams whose delivery time has come, except for a random part that is lost.
func (h *history) deliverDatagrams() {
	var later []datagram
	for _, d := range h.datagrams {
		if d.at > h.now {
			later = append(later, d)
			continue
		}
		for _, r := range h.routers {
			if r.rank != d.from && (d.to < 0 || d.to == r.rank) && h.random.IntN(15) > 0 {
				r.DatagramReceived(d.from, d.text)
			}
		}
	}
	h.datagrams = later
}

// randomEvent simulates a random event at all routers or at one of them.
func (h *history) randomEvent() {
	r := pickOne(h.random, h.routers...)
	kind := h.random.IntN(60)
	if kind >= 3 && kind <= 5 && h.now < h.outageUntil { // discovery is silent
		kind = 11
	}
	switch kind {
	case 0, 1:
		h.changeMember()
	case 2:
		if h.stage == 2 {
			h.build, h.stage = h.build+1, 0
			m := member{id: fmt.Sprint("s-", len(h.members)), phase: "up", build: h.build, startedAt: h.now}
			h.members = append(h.members, m)
			h.announceMember(m)
		} else if h.random.IntN(4) == 0 {
			h.stage++
		}
		for _, router := range h.routers {
			phase := decision.PhaseCanary
			if h.stage == 2 {
				phase = pickOne(h.random, decision.PhaseReleased, decision.PhaseReleased, decision.PhaseRolledBack, decision.PhaseRollingBack)
			}
			router.RolloutStatusReceived(decision.RolloutStatus{Build: h.build, Stage: h.stage, Phase: phase, ExposureCap: []float64{0.1, 0.5, 1}[h.stage]})
		}
	case 3:
		r.DiscoveryFailed(pickOne[error](h.random, io.EOF, &protocol.CallError{ResponseStarted: true, Err: errors.New("cut")}))
	case 4:
		r.DiscoveryResponseStarted()
	case 5:
		if h.random.IntN(4) == 0 {
			r.DiscoveryMoved()
		}
	case 6:
		r.DatagramReceived(h.random.IntN(5)-1, []byte{byte(h.random.IntN(5)), 9, 9})
	case 7, 8:
		if n := len(r.clients); n > 0 {
			r.ClientDisconnected(r.clients[n-1-h.random.IntN(min(n, 10))])
		}
	case 9:
		for range h.random.IntN(40) {
			r.sendRequest()
		}
	case 10:
		r.BuildVerified(h.random.IntN(h.build+1), h.random.IntN(3) > 0)
	}
	for _, router := range h.routers {
		if h.outages && (h.now < h.outageUntil || h.random.IntN(5) > 0) {
			continue
		}
		if router.watching && h.random.IntN(30) == 0 {
			router.watching = h.outages // the watch continues
			h.answer(router, h.random.IntN(2) == 0, false, h.random.IntN(3) == 0, h.members...)
		}
	}
}

// simulateOutage starts outages of discovery of 2 to 18 s, one in three with a move of discovery to another address.
// During an outage it fails the watches.
func (h *history) simulateOutage() {
	if h.now >= h.outageUntil && h.random.IntN(700) == 0 {
		h.outageUntil = h.now + time.Duration(2000+h.random.IntN(16000))*ms
		moved := h.random.IntN(3) == 0
		for _, r := range h.routers {
			if moved {
				r.DiscoveryMoved()
			}
		}
	}
	if h.now >= h.outageUntil {
		return
	}
	for _, r := range h.routers {
		if r.watching && h.random.IntN(20) == 0 {
			r.watching = false
			r.DiscoveryFailed(io.EOF)
		}
	}
}

// changeMember drains, removes or restarts a random member.
func (h *history) changeMember() {
	m := &h.members[h.random.IntN(len(h.members))]
	m.phase = pickOne(h.random, "up", "up", "up", "draining", "removed")
	if m.phase == "up" {
		m.startedAt = h.now
		if h.random.IntN(2) == 0 {
			m.build = h.build
		}
	}
	h.announceMember(*m)
}

// announceMember sends the change of a member to some routers. The others learn of it from a later answer.
func (h *history) announceMember(m member) {
	h.revision++
	if h.now < h.outageUntil { // the routers learn of the change after the outage
		return
	}
	for _, r := range h.routers {
		if h.random.IntN(4) > 0 {
			h.answer(r, false, false, false, m)
		}
	}
}
