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

// stallRig is a gateway's router over a real endpoint pool and one endpoint on loopback. The process can be made to stand
// still right after the reading of the clock on which the router decides an attempt.
type stallRig struct {
	t             *testing.T
	configuration *configuration
	router        *routing.Router
	armed         atomic.Bool   // the next reading of the clock is followed by a stall
	stall         time.Duration // how long that is
	asked         chan struct{} // closed once the request is queued whose reading that is to be
	stalled       chan struct{} // closed as the stall begins
	unread        atomic.Bool   // discovery has written something that nobody has read

	mu        sync.Mutex
	arrivals  []arrival
	lastAsked int
	askedAt   time.Time // when the latest request was sent
}

// arrival is a request as the endpoint got it.
type arrival struct {
	at   time.Time
	told time.Duration // how long the gateway waits, by the request
}

func newStallRig(t *testing.T) *stallRig {
	t.Helper()
	rig := &stallRig{t: t, asked: make(chan struct{}), stalled: make(chan struct{})}
	listener := gatewaytest.Listen(t)
	go redcon.Serve(listener, rig.serve, nil, nil)
	text := gatewaytest.Configuration{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", RolloutController: "127.0.0.1:1",
		Seed: 1, Descriptors: 256, Settings: gatewaytest.Settings,
		Endpoints: []gatewaytest.EndpointRecord{gatewaytest.ReadyEndpoint("s-1", listener.Addr().String())}}.Text()
	var err error
	if rig.configuration, err = parseConfiguration([]byte(text)); err != nil {
		t.Fatal(err)
	}
	clock := newClock()
	stallingClock := func() monotonic.Time {
		now := clock()
		if rig.armed.Swap(false) {
			close(rig.stalled)
			time.Sleep(rig.stall)
		}
		return now
	}
	pool, err := transport.NewEndpointPool(transport.EndpointPoolConfig{Budget: transport.NewDescriptorBudget(256),
		Log: &transport.RateLimitedLog{}, Clock: clock, ConnectTimeout: rig.configuration.settings.ConnectTimeout, IdleTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	rig.router, err = routing.New(routing.Config{Balancer: rig.configuration.balancer, Clock: stallingClock, Drivers: routing.Drivers{
		StartAttempt: func(attempt routing.AttemptRequest) routing.AttemptHandle {
			return pool.Send(transport.AttemptRequest(attempt))
		},
		CloseIdleConnections: rig.connectionsClosed,
		SendDatagram:         func(int, []byte, monotonic.Time) {},
		CastVote:             func(decision.Vote, monotonic.Time) {},
		PollDiscovery:        func() {},
		HasUnhandledNotice:   rig.unread.Load,
	}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go rig.router.Run(ctx)
	status, err := protocol.ParseRolloutStatus([]byte(gatewaytest.ReleasedStatus))
	if err != nil {
		t.Fatal(err)
	}
	rig.router.RolloutStatusReceived(status)
	rig.list("up", 1)
	return rig
}

// connectionsClosed is called on the router's goroutine as it removes the endpoint that askAsTheProcessStalls lists.
func (rig *stallRig) connectionsClosed(address string) {
	if address == noAddress {
		<-rig.asked
		rig.armed.Store(true)
	}
}

// noAddress is that of an endpoint which was never listed; its removal has the process stall at the next event.
const noAddress = ""

// askAsTheProcessStalls sends a read, and has the process stall right after the reading of the clock on which the router
// admits and forwards it. It returns as the stall begins.
func (rig *stallRig) askAsTheProcessStalls(stall time.Duration) (answer <-chan string) {
	rig.stall = stall
	removed := protocol.EndpointEntry{ID: "s-2"}
	go rig.router.EndpointListReceived(routing.EndpointListUpdate{
		List: &protocol.EndpointList{Revision: 1, Entries: []protocol.EndpointEntry{removed}}})
	time.Sleep(10 * time.Millisecond) // that is handled before the request, and waits for it
	answer = rig.ask()
	close(rig.asked)
	<-rig.stalled
	return answer
}

func (rig *stallRig) serve(conn redcon.Conn, request redcon.Command) {
	attributes := string(request.Args[3])
	ms, err := strconv.Atoi(attributes[strings.LastIndex(attributes, "=")+1:])
	if err != nil || !strings.Contains(attributes, "d=") {
		rig.t.Errorf("the endpoint got %q", request.Args)
	}
	rig.mu.Lock()
	rig.arrivals = append(rig.arrivals, arrival{at: time.Now(), told: time.Duration(ms) * time.Millisecond})
	rig.mu.Unlock()
	conn.WriteArray(3)
	conn.WriteBulkString("value")
	conn.WriteNull()
	conn.WriteNull()
}

// list gives the router a list in which the endpoint is in a phase, and waits until it is taken in.
func (rig *stallRig) list(phase string, revision int64) {
	text := bytes.Replace(rig.configuration.file.EndpointList, []byte(`"up"`), []byte(strconv.Quote(phase)), 1)
	list, err := rig.configuration.parseEndpointList(text)
	if err == nil {
		list.Revision = revision
		err = rig.router.EndpointListReceived(routing.EndpointListUpdate{List: list})
	}
	if err != nil {
		rig.t.Error(err)
	}
}

// stallClient is the client of one request.
type stallClient struct{ answer chan string }

func (c stallClient) Respond(value []byte) { c.answer <- string(value) }
func (c stallClient) Reject(time.Duration) { c.answer <- "rejected" }
func (c stallClient) Fail()                { c.answer <- "failed" }
func (rig *stallRig) arrived() []arrival {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return slices.Clone(rig.arrivals)
}

// ask has a client send a read, and returns the channel of its answer.
func (rig *stallRig) ask() <-chan string {
	rig.lastAsked++
	rig.askedAt = time.Now()
	var parts [][]byte
	for _, word := range strings.Split(fmt.Sprintf("API.READ key %d c=look,d=1000", rig.lastAsked), " ") {
		parts = append(parts, []byte(word))
	}
	request, err := protocol.ParseRequest(parts, rig.configuration.opTypes)
	if err != nil {
		rig.t.Fatal(err)
	}
	client := stallClient{answer: make(chan string, 1)}
	rig.router.RequestArrived(request, client)
	return client.answer
}

// openConnection has the pool keep a connection to the endpoint that the next attempt reuses.
func (rig *stallRig) openConnection() {
	if answer := <-rig.ask(); answer != "value" {
		rig.t.Fatalf("answered %q", answer)
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
			rig := newStallRig(t)
			if reused {
				rig.openConnection()
			}
			before := len(rig.arrived())
			const stall = 600 * time.Millisecond
			answer := rig.askAsTheProcessStalls(stall)
			rig.unread.Store(true) // the list is written during the stall
			time.Sleep(stall + 10*time.Millisecond)
			rig.list("draining", 2) // and read now
			rig.unread.Store(false)
			if got := <-answer; got != "rejected" {
				t.Errorf("answered %q, want a rejection", got)
			}
			if late := len(rig.arrived()) - before; late > 0 {
				t.Errorf("%d attempts at an endpoint that drains", late)
			}
		})
	}
}

// Beside load the readers of discovery and the rollout controller took their turn later than 30 ms after a stall, the fixed
// time for which no attempt started, and attempts went out by what was known before it. Seen here as an attempt 30 ms after
// the stall, while the list lay unread for 150 ms.
func TestNoAttemptStartsBeforeWhatCameInStallIsRead(t *testing.T) {
	rig := newStallRig(t)
	rig.openConnection()
	before := len(rig.arrived())
	const stall, unreadFor = 200 * time.Millisecond, 150 * time.Millisecond
	answer := rig.askAsTheProcessStalls(stall)
	rig.unread.Store(true)
	time.Sleep(stall + unreadFor)
	if early := len(rig.arrived()) - before; early > 0 {
		t.Errorf("%d attempts while the list lies unread", early)
	}
	rig.unread.Store(false) // it says nothing new
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
			rig := newStallRig(t)
			if reused {
				rig.openConnection()
			}
			<-rig.askAsTheProcessStalls(stall)
			arrivals := rig.arrived()
			last := arrivals[len(arrivals)-1]
			if left := time.Second - last.at.Sub(rig.askedAt); last.told > left+rounding {
				t.Errorf("the endpoint was told %v, %v were left", last.told, left)
			}
		})
	}
}

// Beside load the reader of the rollout controller may get the processor later than the router, though nothing stands still: a
// status that lowered the cap lay unread while attempts at the canary build went on. No attempt at that build starts while
// something is unread.
func TestNoAttemptAtCanaryWhileStatusIsUnread(t *testing.T) {
	rig := newStallRig(t)
	canary, err := protocol.ParseRolloutStatus([]byte(`{"release":1,"tranche":2,"mode":"testing","exposure":1,"old_ms":0}`))
	if err != nil {
		t.Fatal(err)
	}
	rig.router.RolloutStatusReceived(canary) // of the build that the only endpoint runs
	rig.openConnection()
	before := len(rig.arrived())
	rig.unread.Store(true)
	answer := rig.ask()
	time.Sleep(300 * time.Millisecond)
	if early := len(rig.arrived()) - before; early > 0 {
		t.Errorf("%d attempts at the canary build while the status lies unread", early)
	}
	canary.Phase, canary.ExposureCap = decision.PhaseRolledBack, 0
	rig.router.RolloutStatusReceived(canary) // read now
	rig.unread.Store(false)
	if got := <-answer; got != "rejected" {
		t.Errorf("answered %q, want a rejection", got)
	}
	if late := len(rig.arrived()) - before; late > 0 {
		t.Errorf("%d attempts at a build that was rolled back", late)
	}
}
