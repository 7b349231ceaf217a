package transport

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/decision/monotonic"
)

// A process may be suspended between its last clock reading and the write. The attempt is then sent on outdated state,
// and the gateway must report it. In fleet tests with a request every 3 ms under load, 4 of 144 runs had one attempt at
// an endpoint that had drained 1.5 s before, and nothing showed the cause.
func TestReportsAttemptDelayedBeforeWrite(t *testing.T) {
	for _, test := range []struct {
		delay time.Duration
		want  bool
	}{{maxSendDelay / 2, false}, {2 * maxSendDelay, true}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go redcon.Serve(listener, func(conn redcon.Conn, _ redcon.Command) { conn.WriteRaw([]byte(okResponse)) }, nil, nil)
		var clockReadings atomic.Int64 // since the request was encoded; negative before
		clockReadings.Store(-1 << 20)
		pool := newTestPool(t, time.Second)
		checkedAt := testClock()
		pool.clock = func() monotonic.Time {
			switch n := clockReadings.Add(1); {
			case n < 1:
				return testClock()
			case n == 1: // the last reading before the write
				return checkedAt
			default:
				return checkedAt + test.delay
			}
		}
		delays, results := make(chan time.Duration, 1), make(chan attemptResult, 1)
		var attempt *Attempt
		attempt = newAttempt(AttemptRequest{DecidedAt: checkedAt, Deadline: checkedAt + time.Minute,
			Encode: func(time.Duration) []byte {
				clockReadings.Store(0)
				return []byte("PING\r\n")
			},
			Connected: func() { attempt.Proceed(checkedAt) },
			SentLate:  func(reported time.Duration) { delays <- reported },
			Finished:  resultTo(results)})
		go pool.connect(listener.Addr().String(), attempt)
		if got := awaitResult(t, results); got != okResult {
			t.Fatalf("got result %v, want success with value ok", got)
		}
		wait := responseTimeout
		if !test.want {
			wait = 50 * time.Millisecond
		}
		select {
		case reported := <-delays:
			if !test.want || reported != test.delay {
				t.Errorf("delay of %v was reported as %v, want the delay itself, or no report if it is at most maxSendDelay", test.delay, reported)
			}
		case <-time.After(wait):
			if test.want {
				t.Errorf("delay of %v was not reported as a late attempt", test.delay)
			}
		}
	}
}
