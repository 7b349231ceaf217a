package routing

import (
	"fmt"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// answerRecorder is a client that records which answer it got.
type answerRecorder struct{ served, failed, rejected int }

func (a *answerRecorder) Respond([]byte)       { a.served++ }
func (a *answerRecorder) Fail()                { a.failed++ }
func (a *answerRecorder) Reject(time.Duration) { a.rejected++ }

// Guards against bookings that ran twice: a client left and sent its request again under the same id on a new
// connection, when the gateway had forgotten the id because no attempt was in flight any more.
func TestIDIsRememberedAfterItMayHaveExecuted(t *testing.T) {
	const look, book = 0, 1
	for _, test := range []struct {
		name      string
		op        int
		outcome   decision.Outcome // of the attempt of the first request
		leaves    bool             // the first request's client leaves before that
		wantAgain bool             // the second request is sent to an endpoint
	}{
		{"served, but its client had left", book, decision.OutcomeSuccess, true, false},
		{"lost after its client had left", book, decision.OutcomeConnectionLost, true, false},
		{"served", book, decision.OutcomeSuccess, false, false},
		{"failed", book, decision.OutcomeError, false, false},
		{"never executed", book, decision.OutcomeRejected, true, true},
		{"may be repeated", look, decision.OutcomeSuccess, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := newFixture(t, 1)
			var attempts []AttemptRequest
			env.router.drivers.StartAttempt = func(attempt AttemptRequest) AttemptHandle {
				attempts = append(attempts, attempt)
				return &fakeAttempt{client: &testClient{env: env}, reachedEndpoint: true}
			}
			send := func() *answerRecorder {
				client := &answerRecorder{}
				env.router.RequestArrived(protocol.Request{OpType: env.opTypes[test.op], ID: "same", Remaining: time.Second,
					Encode: func(time.Duration) []byte { return nil }}, client)
				env.router.turn()
				return client
			}
			first := send()
			if test.leaves {
				env.router.ClientDisconnected(first)
				env.router.turn()
			}
			attempts[0].Finished(protocol.Response{Outcome: test.outcome, Value: []byte("value")})
			env.router.turn()
			second := send()
			if again := len(attempts) > 1; again != test.wantAgain {
				t.Errorf("sent to an endpoint again: %t, want %t", again, test.wantAgain)
			}
			if failed := second.failed == 1; failed == test.wantAgain {
				t.Errorf("got the request failed at once: %t, want %t", failed, !test.wantAgain)
			}
		})
	}
}

// A queued request whose client may leave unnoticed is rejected at once, one with an attempt in flight gets its outcome.
func TestStopAttempts(t *testing.T) {
	env := newFixture(t, 1)
	var attempts []AttemptRequest
	env.router.drivers.StartAttempt = func(attempt AttemptRequest) AttemptHandle {
		attempts = append(attempts, attempt)
		return &fakeAttempt{client: &testClient{env: env}, reachedEndpoint: true}
	}
	var clients []*answerRecorder
	for i := range 1000 {
		client := &answerRecorder{}
		clients = append(clients, client)
		env.router.RequestArrived(protocol.Request{OpType: env.opTypes[0], ID: fmt.Sprint(i), Remaining: time.Second,
			Encode: func(time.Duration) []byte { return nil }}, client)
		env.router.turn()
	}
	started := len(attempts)
	if started == len(clients) {
		t.Fatal("no request is queued")
	}
	for _, client := range clients {
		env.router.StopAttempts(client)
		env.router.turn()
	}
	for _, attempt := range attempts[:started] {
		attempt.Finished(protocol.Response{Outcome: decision.OutcomeSuccess, Value: []byte("value")})
		env.router.turn()
	}
	served, rejected := 0, 0
	for _, client := range clients {
		served += client.served
		rejected += client.rejected
	}
	if len(attempts) > started || served != started || rejected != len(clients)-started {
		t.Errorf("got %d attempts, %d served and %d rejected, want %d, %d and %d", len(attempts), served, rejected,
			started, started, len(clients)-started)
	}
}
