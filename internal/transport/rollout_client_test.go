package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/seededrand"
)

// testController is a fake rollout controller at one address.
type testController struct {
	address string
	conns   chan net.Conn
}

func newTestController(t *testing.T) *testController {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	c := &testController{address: listener.Addr().String(), conns: make(chan net.Conn, 9)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.conns <- conn
		}
	}()
	return c
}

// accept waits for the client's next connection and its call to listen, which has the given id.
func (c *testController) accept(t *testing.T, listenID int) (net.Conn, *bufio.Reader) {
	t.Helper()
	select {
	case conn := <-c.conns:
		t.Cleanup(func() { conn.Close() })
		lines := bufio.NewReader(conn)
		expectCall(t, lines, "listen", listenID)
		return conn, lines
	case <-time.After(3 * time.Second):
		t.Fatal("client did not connect within 3 s")
		return nil, nil
	}
}

func expectCall(t *testing.T, lines *bufio.Reader, method string, id int) {
	t.Helper()
	line, err := lines.ReadString('\n')
	if err != nil || !strings.Contains(line, fmt.Sprintf(`"id":%d,`, id)) || !strings.Contains(line, `"method":"`+method+`"`) {
		t.Fatalf("got call %q, %v, want %s with id %d", line, err, method, id)
	}
}

func answer(conn net.Conn, id int) {
	fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":%d,"result":true}`+"\n", id)
}

// rolloutEvents holds a channel for the calls of each of a client's callbacks.
type rolloutEvents struct {
	statuses     chan decision.RolloutStatus
	votes        chan decision.Outcome
	connected    chan string
	disconnected chan error
}

// runTestRolloutClient runs a client of a controller until the test ends.
func runTestRolloutClient(t *testing.T, controller *testController, voteTimeout time.Duration) (*RolloutClient, rolloutEvents) {
	t.Helper()
	events := rolloutEvents{make(chan decision.RolloutStatus, 9), make(chan decision.Outcome, 9), make(chan string, 9),
		make(chan error, 9)}
	client, err := NewRolloutClient(RolloutClientConfig{
		Address: controller.address, VoteTimeout: voteTimeout, Clock: testClock, Random: seededrand.New(1),
		OnStatus:       func(status decision.RolloutStatus) { events.statuses <- status },
		OnVoteResult:   func(outcome decision.Outcome) { events.votes <- outcome },
		OnConnected:    func(address string) { events.connected <- address },
		OnDisconnected: func(_ string, err error) { events.disconnected <- err },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, _ := newTestContext(t)
	go client.Run(ctx)
	return client, events
}

func await[Event any](t *testing.T, events <-chan Event) (event Event) {
	t.Helper()
	select {
	case event = <-events:
	case <-time.After(3 * time.Second):
		t.Fatal("no event within 3 s")
	}
	return event
}

func TestReceivesStatusAndVoteResult(t *testing.T) {
	controller := newTestController(t)
	client, events := runTestRolloutClient(t, controller, time.Second)
	conn, lines := controller.accept(t, 1)
	answer(conn, 1)
	if address := await(t, events.connected); address != controller.address {
		t.Errorf("got connection to %q, want the controller's address", address)
	}
	io.WriteString(conn, `{"jsonrpc":"2.0","method":"news","params":{"release":3,"tranche":1,"mode":"testing","exposure":0.5,"old_ms":0}}`+"\n")
	want := decision.RolloutStatus{Build: 3, Stage: 1, Phase: decision.PhaseCanary, ExposureCap: 0.5}
	if status := await(t, events.statuses); status != want {
		t.Errorf("got status %+v, want canary build 3 in stage 1 with exposure cap 0.5", status)
	}
	client.Vote(decision.Vote{Build: 3, Stage: 1}, testClock())
	expectCall(t, lines, "verdict", 2)
	answer(conn, 2)
	if outcome := await(t, events.votes); outcome != decision.OutcomeSuccess {
		t.Errorf("got vote outcome %v, want success", outcome)
	}
}

// A vote times out if its answer does not arrive in time, or if the connection is lost before. The client reconnects.
func TestVotesTimeOutWithoutAnswer(t *testing.T) {
	controller := newTestController(t)
	client, events := runTestRolloutClient(t, controller, 200*time.Millisecond)
	conn, lines := controller.accept(t, 1)
	client.Vote(decision.Vote{Build: 1}, testClock())
	expectCall(t, lines, "verdict", 2)
	if outcome := await(t, events.votes); outcome != decision.OutcomeTimeout {
		t.Errorf("got outcome %v for a vote without an answer, want timeout", outcome)
	}
	client.Vote(decision.Vote{Build: 1}, testClock())
	expectCall(t, lines, "verdict", 3)
	conn.Close()
	if outcome := await(t, events.votes); outcome != decision.OutcomeTimeout {
		t.Errorf("got outcome %v for a vote on a lost connection, want timeout", outcome)
	}
	if err := await(t, events.disconnected); err == nil {
		t.Error("OnDisconnected was called without an error")
	}
	controller.accept(t, 4)
}

// When the controller's address changes, the pending vote is awaited on the old connection, and later votes go to the
// new address.
func TestAwaitsPendingVoteAfterAddressChange(t *testing.T) {
	oldController, newController := newTestController(t), newTestController(t)
	client, events := runTestRolloutClient(t, oldController, time.Second)
	oldConn, oldLines := oldController.accept(t, 1)
	client.Vote(decision.Vote{Build: 1}, testClock())
	expectCall(t, oldLines, "verdict", 2)
	client.SetAddress(newController.address)
	time.Sleep(50 * time.Millisecond)
	client.Vote(decision.Vote{Build: 2}, testClock())
	answer(oldConn, 2)
	if outcome := await(t, events.votes); outcome != decision.OutcomeSuccess {
		t.Errorf("got outcome %v for the pending vote, want success", outcome)
	}
	newConn, newLines := newController.accept(t, 3)
	expectCall(t, newLines, "verdict", 4)
	answer(newConn, 4)
	if outcome := await(t, events.votes); outcome != decision.OutcomeSuccess {
		t.Errorf("got outcome %v for the later vote, want success", outcome)
	}
	if len(events.disconnected) > 0 {
		t.Error("change of the address was reported as a lost connection")
	}
}

// A vote that cannot be cast fails, either because there is no connection or because the queue is full.
func TestVotesFailWithoutConnection(t *testing.T) {
	results := make(chan decision.Outcome, maxQueuedVotes+1)
	client, err := NewRolloutClient(RolloutClientConfig{
		Address: newTestController(t).address, VoteTimeout: time.Second, Clock: testClock, Random: seededrand.New(1),
		OnStatus:       func(decision.RolloutStatus) {},
		OnVoteResult:   func(outcome decision.Outcome) { results <- outcome },
		OnConnected:    func(string) {},
		OnDisconnected: func(string, error) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	for range maxQueuedVotes + 1 {
		client.Vote(decision.Vote{Build: 1}, testClock())
	}
	if outcome := await(t, results); outcome != decision.OutcomeConnectFailed { // there is room for all but the last
		t.Errorf("got outcome %v for a vote beyond the queue, want connect failed", outcome)
	}
	ctx, _ := newTestContext(t)
	go client.Run(ctx)
	for range maxQueuedVotes {
		if outcome := await(t, results); outcome != decision.OutcomeConnectFailed {
			t.Errorf("got outcome %v for a vote without a connection, want connect failed", outcome)
		}
	}
}

// A vote that was decided before the process stalled, or that waited too long for a connection, is not cast, because
// the evidence may support a different verdict by then. Votes used to be cast as soon as there was a connection, and a
// rollout advanced on a verdict that was seconds old.
func TestOldVoteIsNotCast(t *testing.T) {
	controller := newTestController(t)
	client, events := runTestRolloutClient(t, controller, time.Second)
	conn, lines := controller.accept(t, 1)
	answer(conn, 1)
	await(t, events.connected)
	client.Vote(decision.Vote{Build: 1}, testClock()-maxVoteAge-time.Millisecond)
	if outcome := await(t, events.votes); outcome != decision.OutcomeNotSent {
		t.Errorf("got outcome %v for an old vote, want not sent", outcome)
	}
	client.Vote(decision.Vote{Build: 2}, testClock())
	line, err := lines.ReadString('\n')
	if err != nil || !strings.Contains(line, `"release":2,`) {
		t.Errorf("got call %q, %v after the old vote, want the vote for build 2", line, err)
	}
}
