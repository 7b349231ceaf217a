package main

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/gatewaytest"
	"laurelring/internal/protocol"
	"laurelring/internal/routing"
	"laurelring/internal/transport"
)

// stallFixture is a gateway's router with a real endpoint pool and one endpoint on loopback. It can make the router
// stall right after the clock reading on which the router decides an attempt.
type stallFixture struct {
	t             *testing.T
	configuration *configuration
	router        *routing.Router
	stallNextRead atomic.Bool   // the router stalls after its next clock reading
	stallDuration time.Duration // length of the stall
	requestQueued chan struct{} // closed once the request on whose clock reading the router is to stall is queued
	stallStarted  chan struct{} // closed when the stall begins
	unreadNotice  atomic.Bool   // discovery or the rollout controller has written something that is not handled yet

	mu            sync.Mutex
	arrivals      []arrival
	lastRequestID int
	requestedAt   monotonic.Time // when the request of askDuringStall arrived
	lastRead      monotonic.Time // the router's latest clock reading
	stallEndedAt  monotonic.Time
}

// arrival is a request as the endpoint received it.
type arrival struct {
	remaining time.Duration // how long the gateway waits for the response, by the request
}

func newStallFixture(t *testing.T) *stallFixture {
	t.Helper()
	// With the usual 500 ms, a request that waits for the end of a stall and of an unread notice is rejected on a loaded
	// machine, as too little time is left.
	settings := strings.Replace(gatewaytest.Settings, `"name":"look","aim_ms":500`, `"name":"look","aim_ms":1000`, 1)
	fixture := &stallFixture{t: t, requestQueued: make(chan struct{}), stallStarted: make(chan struct{})}
	listener := gatewaytest.Listen(t)
	go redcon.Serve(listener, fixture.serve, nil, nil)
	text := gatewaytest.Configuration{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", RolloutController: "127.0.0.1:1",
		Seed: 1, Descriptors: 256, Settings: settings,
		Endpoints: []gatewaytest.EndpointRecord{gatewaytest.ReadyEndpoint("s-1", listener.Addr().String())}}.Text()
	var err error
	if fixture.configuration, err = parseConfiguration([]byte(text)); err != nil {
		t.Fatal(err)
	}
	clock := newClock()
	stallingClock := func() monotonic.Time {
		now := clock()
		fixture.recordRead(now)
		if fixture.stallNextRead.Swap(false) {
			close(fixture.stallStarted)
			time.Sleep(fixture.stallDuration)
			fixture.recordStallEnd(clock())
		}
		return now
	}
	pool, err := transport.NewEndpointPool(transport.EndpointPoolConfig{Budget: transport.NewDescriptorBudget(256),
		Log: &transport.RateLimitedLog{}, Clock: clock, ConnectTimeout: fixture.configuration.settings.ConnectTimeout, IdleTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	fixture.router, err = routing.New(routing.Config{Balancer: fixture.configuration.balancer, Clock: stallingClock, Drivers: routing.Drivers{
		StartAttempt: func(attempt routing.AttemptRequest) routing.AttemptHandle {
			return pool.Send(transport.AttemptRequest(attempt))
		},
		CloseIdleConnections: fixture.closeIdleConnections,
		SendDatagram:         func(int, []byte, monotonic.Time) {},
		CastVote:             func(decision.Vote, monotonic.Time) {},
		PollDiscovery:        func() {},
		HasUnhandledNotice:   fixture.unreadNotice.Load,
	}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go fixture.router.Run(ctx)
	status, err := protocol.ParseRolloutStatus([]byte(gatewaytest.ReleasedStatus))
	if err != nil {
		t.Fatal(err)
	}
	fixture.router.RolloutStatusReceived(status)
	fixture.list("up", 1)
	return fixture
}

func (fixture *stallFixture) recordRead(now monotonic.Time) {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	fixture.lastRead = now
}

func (fixture *stallFixture) recordStallEnd(now monotonic.Time) {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	fixture.stallEndedAt = now
}

// waitUntilStallEnds returns how long the request had waited at the end of the stall, by the gateway's clock.
func (fixture *stallFixture) waitUntilStallEnds() time.Duration {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	return fixture.stallEndedAt - fixture.requestedAt
}

// closeIdleConnections is called on the router's goroutine. When the router removes the endpoint that askDuringStall
// lists as removed, closeIdleConnections waits for the request and makes the router stall after its next clock reading.
func (fixture *stallFixture) closeIdleConnections(address string) {
	if address == unlistedAddress {
		<-fixture.requestQueued
		fixture.stallNextRead.Store(true)
	}
}

// unlistedAddress is the address of an endpoint that was never listed. Its removal makes the router stall at the next
// event.
const unlistedAddress = ""

// askDuringStall sends a read and makes the router stall right after the clock reading on which it admits and forwards
// the request. It returns when the stall begins.
func (fixture *stallFixture) askDuringStall(stallDuration time.Duration) (answer <-chan string) {
	fixture.stallDuration = stallDuration
	removed := protocol.EndpointEntry{ID: "s-2"}
	go fixture.router.EndpointListReceived(routing.EndpointListUpdate{
		List: &protocol.EndpointList{Revision: 1, Entries: []protocol.EndpointEntry{removed}}})
	time.Sleep(10 * time.Millisecond) // so that the list is handled first and its handling waits for the request
	answer = fixture.ask()
	fixture.mu.Lock()
	fixture.requestedAt = fixture.lastRead // the router waits, so only the arrival of the request has read the clock
	fixture.mu.Unlock()
	close(fixture.requestQueued)
	<-fixture.stallStarted
	return answer
}

func (fixture *stallFixture) serve(conn redcon.Conn, request redcon.Command) {
	attributes := string(request.Args[3])
	ms, err := strconv.Atoi(attributes[strings.LastIndex(attributes, "=")+1:])
	if err != nil || !strings.Contains(attributes, "d=") {
		fixture.t.Errorf("endpoint got request %q, want one with a deadline", request.Args)
	}
	fixture.mu.Lock()
	fixture.arrivals = append(fixture.arrivals, arrival{remaining: time.Duration(ms) * time.Millisecond})
	fixture.mu.Unlock()
	conn.WriteArray(3)
	conn.WriteBulkString("value")
	conn.WriteNull()
	conn.WriteNull()
}

// list passes the router an endpoint list with the endpoint in the given phase, and waits until the router has applied
// it.
func (fixture *stallFixture) list(phase string, revision int64) {
	text := bytes.Replace(fixture.configuration.file.EndpointList, []byte(`"up"`), []byte(strconv.Quote(phase)), 1)
	list, err := fixture.configuration.parseEndpointList(text)
	if err == nil {
		list.Revision = revision
		err = fixture.router.EndpointListReceived(routing.EndpointListUpdate{List: list})
	}
	if err != nil {
		fixture.t.Error(err)
	}
}

// requestClient is the client of one request.
type requestClient struct{ answer chan string }

func (c requestClient) Respond(value []byte) { c.answer <- string(value) }
func (c requestClient) Reject(time.Duration) { c.answer <- "rejected" }
func (c requestClient) Fail()                { c.answer <- "failed" }
func (fixture *stallFixture) arrived() []arrival {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	return slices.Clone(fixture.arrivals)
}

// ask sends a read as a new client and returns the channel that receives its answer.
func (fixture *stallFixture) ask() <-chan string {
	fixture.lastRequestID++
	var parts [][]byte
	for _, word := range strings.Split(fmt.Sprintf("API.READ key %d c=look,d=1000", fixture.lastRequestID), " ") {
		parts = append(parts, []byte(word))
	}
	request, err := protocol.ParseRequest(parts, fixture.configuration.opTypes)
	if err != nil {
		fixture.t.Fatal(err)
	}
	client := requestClient{answer: make(chan string, 1)}
	fixture.router.RequestArrived(request, client)
	return client.answer
}

// openConnection sends one request, after which the pool keeps a connection to the endpoint that the next attempt
// reuses.
func (fixture *stallFixture) openConnection() {
	if answer := <-fixture.ask(); answer != "value" {
		fixture.t.Fatalf("got answer %q, want the value", answer)
	}
	time.Sleep(50 * time.Millisecond)
}

// Guards against an attempt to an endpoint whose draining discovery wrote while the gateway stalled. The gateway read
// its clock, decided the attempt and stalled. The attempt then took its own clock reading as the time of the decision,
// so the check of its age before the write found it recent. In traces of the fleet tests with a request every 3 ms, the
// log of each failure showed this order, with the length of the stall, for the endpoint that got the attempt.
func TestAttemptDecidedBeforeStallIsNotSentAfterDrain(t *testing.T) {
	for _, reused := range []bool{true, false} {
		t.Run(fmt.Sprintf("connection reused %t", reused), func(t *testing.T) {
			fixture := newStallFixture(t)
			if reused {
				fixture.openConnection()
			}
			before := len(fixture.arrived())
			const stall = 600 * time.Millisecond
			answer := fixture.askDuringStall(stall)
			fixture.unreadNotice.Store(true) // discovery writes the list during the stall
			time.Sleep(stall + 10*time.Millisecond)
			fixture.list("draining", 2) // the list is read now
			fixture.unreadNotice.Store(false)
			if got := <-answer; got != "rejected" {
				t.Errorf("got answer %q, want a rejection", got)
			}
			if late := len(fixture.arrived()) - before; late > 0 {
				t.Errorf("got %d attempts at a draining endpoint, want none", late)
			}
		})
	}
}

// Guards against attempts after a stall that follow an outdated endpoint list or rollout status. No attempt used to
// start for a fixed 30 ms after a stall, but on a loaded machine the readers of discovery and the rollout controller
// ran later than that. Here an attempt was sent 30 ms after the stall, while the list was unread for 150 ms.
func TestAttemptsAfterStallWaitForUnreadNotices(t *testing.T) {
	fixture := newStallFixture(t)
	fixture.openConnection()
	before := len(fixture.arrived())
	const stall, unreadFor = 200 * time.Millisecond, 150 * time.Millisecond
	answer := fixture.askDuringStall(stall)
	fixture.unreadNotice.Store(true)
	time.Sleep(stall + unreadFor)
	if early := len(fixture.arrived()) - before; early > 0 {
		t.Errorf("got %d attempts while the list was unread, want none", early)
	}
	fixture.unreadNotice.Store(false) // the list was read and has no changes
	if got := <-answer; got != "value" {
		t.Errorf("got answer %q after the list was read, want the value", got)
	}
}

// Guards against a deadline sent to the endpoint that is too late by the length of a stall, so that the endpoint works
// on requests that nobody waits for. The attempt counted its deadline from its own clock reading instead of the reading
// on which it was decided.
//
// The time left is that at the end of the stall, by the gateway's own clock: any later reading leaves less. It used to be
// that when the endpoint's goroutine ran, which on a loaded machine is some milliseconds after the request arrived.
func TestEndpointDeadlineCountsFromDecision(t *testing.T) {
	const (
		stall    = 120 * time.Millisecond // less than the time that an attempt may be held up
		rounding = time.Millisecond       // the request tells whole milliseconds
	)
	for _, reused := range []bool{true, false} {
		t.Run(fmt.Sprintf("connection reused %t", reused), func(t *testing.T) {
			fixture := newStallFixture(t)
			if reused {
				fixture.openConnection()
			}
			<-fixture.askDuringStall(stall)
			arrivals := fixture.arrived()
			last := arrivals[len(arrivals)-1]
			if left := time.Second - fixture.waitUntilStallEnds(); last.remaining > left+rounding {
				t.Errorf("endpoint got a remaining time of %v, want at most %v", last.remaining, left)
			}
		})
	}
}

// Guards against attempts at the canary build while a rollout status with a lower cap is unread. On a loaded machine
// the reader of the rollout controller may run later than the router, even without a stall. No attempt at the canary
// build starts while a notice is unread.
func TestCanaryAttemptsWaitForUnreadStatus(t *testing.T) {
	fixture := newStallFixture(t)
	canary, err := protocol.ParseRolloutStatus([]byte(`{"release":1,"tranche":2,"mode":"testing","exposure":1,"old_ms":0}`))
	if err != nil {
		t.Fatal(err)
	}
	fixture.router.RolloutStatusReceived(canary) // the only endpoint runs the canary build
	fixture.openConnection()
	before := len(fixture.arrived())
	fixture.unreadNotice.Store(true)
	answer := fixture.ask()
	time.Sleep(300 * time.Millisecond)
	if early := len(fixture.arrived()) - before; early > 0 {
		t.Errorf("got %d attempts at the canary build while the status was unread, want none", early)
	}
	canary.Phase, canary.ExposureCap = decision.PhaseRolledBack, 0
	fixture.router.RolloutStatusReceived(canary) // the status is read now
	fixture.unreadNotice.Store(false)
	if got := <-answer; got != "rejected" {
		t.Errorf("got answer %q, want a rejection", got)
	}
	if late := len(fixture.arrived()) - before; late > 0 {
		t.Errorf("got %d attempts at a rolled-back build, want none", late)
	}
}
