package routing

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// finishedAttempt is an attempt that has already finished when it is canceled.
type finishedAttempt struct{}

func (finishedAttempt) Cancel() (reached, ended bool) { return true, true }
func (finishedAttempt) Withhold() bool                { return false }
func (finishedAttempt) Proceed(monotonic.Time)        {}
func (finishedAttempt) ConnectedAt() monotonic.Time   { return 0 }

type benchClient struct{ n *int }

func (c benchClient) Respond([]byte)       { *c.n++ }
func (c benchClient) Reject(time.Duration) {}
func (c benchClient) Fail()                {}

// BenchmarkRequest measures a request from its arrival, through one attempt, to the answer.
func BenchmarkRequest(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})))
	parsed, err := protocol.ParseSettings([]byte(settings))
	if err != nil {
		b.Fatal(err)
	}
	balancer, err := decision.New(parsed.BalancerConfig(1))
	if err != nil {
		b.Fatal(err)
	}
	ops := balancer.OpTypes()
	env := &fixture{random: rand.New(rand.NewPCG(1, 1)), now: 1_000_000 * ms}
	served := 0
	var finish func(protocol.Response)
	r, err := New(Config{Balancer: balancer, UtilizationField: "utilization", Clock: func() time.Duration { return env.now },
		Drivers: Drivers{
			StartAttempt: func(attempt AttemptRequest) AttemptHandle {
				finish = attempt.Finished
				return finishedAttempt{}
			},
			CloseIdleConnections: func(string) {}, SendDatagram: func(int, []byte, monotonic.Time) {}, CastVote: func(decision.Vote, monotonic.Time) {}, PollDiscovery: func() {}}})
	if err != nil {
		b.Fatal(err)
	}
	env.router = r
	r.RolloutStatusReceived(decision.RolloutStatus{Build: 1, Stage: 2, Phase: decision.PhaseReleased, ExposureCap: 1})
	for i := range 20 {
		env.members = append(env.members, member{id: fmt.Sprint("s-", i), phase: "up", build: 1})
	}
	env.listMembers(true, env.members...)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		env.now += ms
		r.RequestArrived(protocol.Request{OpType: ops[0], Key: 7, ID: fmt.Sprint(i), Remaining: 1000 * ms,
			Encode: func(time.Duration) []byte { return nil }}, benchClient{&served})
		r.turn()
		env.now += 4 * ms
		if finish != nil {
			finish(protocol.Response{Outcome: decision.OutcomeSuccess, Value: []byte("value"), LoadReport: []byte("utilization=0.4")})
			finish = nil
			r.turn()
		}
	}
	if served < b.N*9/10 {
		b.Fatalf("only %d of %d requests were served", served, b.N)
	}
}
