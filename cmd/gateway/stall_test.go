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

// stallFixture is a gateway's router over a real endpoint pool and one endpoint on loopback. The process can be made to stand
// still right after the reading of the clock on which the router decides an attempt.
type stallFixture struct {
	t             *testing.T
	configuration *configuration
	router        *routing.Router
	stallNextRead atomic.Bool   // the next reading of the clock is followed by a stall
	stallDuration time.Duration // how long that is
	requestQueued chan struct{} // closed once the request is queued whose reading that is to be
	stallStarted  chan struct{} // closed as the stall begins
	unreadNotice  atomic.Bool   // discovery has written something that nobody has read

	mu            sync.Mutex
	arrivals      []arrival
	lastRequestID int
	requestedAt   time.Time // when the latest request was sent
}

// arrival is a request as the endpoint got it.
type arrival struct {
	at        time.Time
	remaining time.Duration // how long the gateway waits, by the request
}

func newStallRig(t *testing.T) *stallFixture {
	t.Helper()
	fixture := &stallFixture{t: t, requestQueued: make(chan struct{}), stallStarted: make(chan struct{})}
	listener := gatewaytest.Listen(t)
	go redcon.Serve(listener, fixture.serve, nil, nil)
	text := gatewaytest.Configuration{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", RolloutController: "127.0.0.1:1",
		Seed: 1, Descriptors: 256, Settings: gatewaytest.Settings,
		Endpoints: []gatewaytest.EndpointRecord{gatewaytest.ReadyEndpoint("s-1", listener.Addr().String())}}.Text()
	var err error
	if fixture.configuration, err = parseConfiguration([]byte(text)); err != nil {
		t.Fatal(err)
	}
	clock := newClock()
	stallingClock := func() monotonic.Time {
		now := clock()
		if fixture.stallNextRead.Swap(false) {
			close(fixture.stallStarted)
			time.Sleep(fixture.stallDuration)
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

// closeIdleConnections is called on the router's goroutine as it removes the endpoint that askAsTheProcessStalls lists.
func (fixture *stallFixture) closeIdleConnections(address string) {
	if address == unlistedAddress {
		<-fixture.requestQueued
		fixture.stallNextRead.Store(true)
	}
}

// unlistedAddress is that of an endpoint which was never listed; its removal has the process stall at the next event.
const unlistedAddress = ""

// askDuringStall sends a read, and has the process stall right after the reading of the clock on which the router
// admits and forwards it. It returns as the stall begins.
func (fixture *stallFixture) askDuringStall(stallDuration time.Duration) (answer <-chan string) {
	fixture.stallDuration = stallDuration
	removed := protocol.EndpointEntry{ID: "s-2"}
	go fixture.router.EndpointListReceived(routing.EndpointListUpdate{
		List: &protocol.EndpointList{Revision: 1, Entries: []protocol.EndpointEntry{removed}}})
	time.Sleep(10 * time.Millisecond) // that is handled before the request, and waits for it
	answer = fixture.ask()
	close(fixture.requestQueued)
	<-fixture.stallStarted
	return answer
}

func (fixture *stallFixture) serve(conn redcon.Conn, request redcon.Command) {
	attributes := string(request.Args[3])
	ms, err := strconv.Atoi(attributes[strings.LastIndex(attributes, "=")+1:])
	if err != nil || !strings.Contains(attributes, "d=") {
		fixture.t.Errorf("the endpoint got %q", request.Args)
	}
	fixture.mu.Lock()
	fixture.arrivals = append(fixture.arrivals, arrival{at: time.Now(), remaining: time.Duration(ms) * time.Millisecond})
	fixture.mu.Unlock()
	conn.WriteArray(3)
	conn.WriteBulkString("value")
	conn.WriteNull()
	conn.WriteNull()
}

// list gives the router a list in which the endpoint is in a phase, and waits until it is taken in.
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

// ask has a client send a read, and returns the channel of its answer.
func (fixture *stallFixture) ask() <-chan string {
	fixture.lastRequestID++
	fixture.requestedAt = time.Now()
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

// openConnection has the pool keep a connection to the endpoint that the next attempt reuses.
func (fixture *stallFixture) openConnection() {
	if answer := <-fixture.ask(); answer != "value" {
		fixture.t.Fatalf("answered %q", answer)
	}
	time.Sleep(50 * time.Millisecond)
}

// A gateway that stands still for a moment sent an attempt to an endpoint of which it had been told meanwhile that it drains.
// It reads its clock, decides an attempt, and stands still; the attempt then took a reading of its own as the moment of the
// decision, and the check of its age before the write found it fresh. In traces of the fleet tests at a request each 3 ms
// this order stood in the log of each failure, with the length of the stop, for the very endpoint that got the attempt.
func TestAttemptDecidedBeforeStallIsNotSentAfterDrain(t *testing.T) {
	for _, reused := range []bool{true, false} {
		t.Run(fmt.Sprintf("connection reused %t", reused), func(t *testing.T) {
			fixture := newStallRig(t)
			if reused {
				fixture.openConnection()
			}
			before := len(fixture.arrived())
			const stall = 600 * time.Millisecond
			answer := fixture.askDuringStall(stall)
			fixture.unreadNotice.Store(true) // the list is written during the stall
			time.Sleep(stall + 10*time.Millisecond)
			fixture.list("draining", 2) // and read now
			fixture.unreadNotice.Store(false)
			if got := <-answer; got != "rejected" {
				t.Errorf("answered %q, want a rejection", got)
			}
			if late := len(fixture.arrived()) - before; late > 0 {
				t.Errorf("%d attempts at an endpoint that drains", late)
			}
		})
	}
}

// Beside load the readers of discovery and the rollout controller took their turn later than 30 ms after a stall, the fixed
// time for which no attempt started, and attempts went out by what was known before it. Seen here as an attempt 30 ms after
// the stall, while the list lay unread for 150 ms.
func TestNoAttemptStartsBeforeWhatCameInStallIsRead(t *testing.T) {
	fixture := newStallRig(t)
	fixture.openConnection()
	before := len(fixture.arrived())
	const stall, unreadFor = 200 * time.Millisecond, 150 * time.Millisecond
	answer := fixture.askDuringStall(stall)
	fixture.unreadNotice.Store(true)
	time.Sleep(stall + unreadFor)
	if early := len(fixture.arrived()) - before; early > 0 {
		t.Errorf("%d attempts while the list lies unread", early)
	}
	fixture.unreadNotice.Store(false) // it says nothing new
	if got := <-answer; got != "value" {
		t.Errorf("answered %q once the list is read, want the value", got)
	}
}

// After such a stall the time told to the endpoint was too long by its length: the attempt counted its deadline from its own
// reading of the clock, not from the one on which it was decided. An endpoint then works on what nobody waits for.
func TestDeadlineToldToEndpointCountsFromDecision(t *testing.T) {
	const (
		stall    = 120 * time.Millisecond // less than an attempt may be held up
		rounding = 2 * time.Millisecond
	)
	for _, reused := range []bool{true, false} {
		t.Run(fmt.Sprintf("connection reused %t", reused), func(t *testing.T) {
			fixture := newStallRig(t)
			if reused {
				fixture.openConnection()
			}
			<-fixture.askDuringStall(stall)
			arrivals := fixture.arrived()
			last := arrivals[len(arrivals)-1]
			if left := time.Second - last.at.Sub(fixture.requestedAt); last.remaining > left+rounding {
				t.Errorf("the endpoint was told %v, %v were left", last.remaining, left)
			}
		})
	}
}

// Beside load the reader of the rollout controller may get the processor later than the router, though nothing stands still: a
// status that lowered the cap lay unread while attempts at the canary build went on. No attempt at that build starts while
// something is unread.
func TestNoAttemptAtCanaryWhileStatusIsUnread(t *testing.T) {
	fixture := newStallRig(t)
	canary, err := protocol.ParseRolloutStatus([]byte(`{"release":1,"tranche":2,"mode":"testing","exposure":1,"old_ms":0}`))
	if err != nil {
		t.Fatal(err)
	}
	fixture.router.RolloutStatusReceived(canary) // of the build that the only endpoint runs
	fixture.openConnection()
	before := len(fixture.arrived())
	fixture.unreadNotice.Store(true)
	answer := fixture.ask()
	time.Sleep(300 * time.Millisecond)
	if early := len(fixture.arrived()) - before; early > 0 {
		t.Errorf("%d attempts at the canary build while the status lies unread", early)
	}
	canary.Phase, canary.ExposureCap = decision.PhaseRolledBack, 0
	fixture.router.RolloutStatusReceived(canary) // read now
	fixture.unreadNotice.Store(false)
	if got := <-answer; got != "rejected" {
		t.Errorf("answered %q, want a rejection", got)
	}
	if late := len(fixture.arrived()) - before; late > 0 {
		t.Errorf("%d attempts at a build that was rolled back", late)
	}
}
