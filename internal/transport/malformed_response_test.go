package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// A response that cannot be parsed may be a good answer that was damaged on its way, so it must differ from an error.
func TestMalformedResponseDiffersFromError(t *testing.T) {
	for text, malformed := range map[string]bool{"-ERR failed\r\n": false, "!noise\r\n": true, "*3\r\n$99999999999\r\n": true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			conn.Read(make([]byte, 99))
			io.WriteString(conn, text)
			io.Copy(io.Discard, conn)
		}()
		responses, started := make(chan protocol.Response, 1), make(chan *Attempt, 1)
		now := testClock()
		started <- newTestPool(t, time.Second).Send(AttemptRequest{Address: listener.Addr().String(), DecidedAt: now,
			Deadline: now + 3*time.Second, Encode: encodeText("x"), Connected: func() { (<-started).Proceed(testClock()) },
			SentLate: func(time.Duration) {}, Finished: func(response protocol.Response) { responses <- response }})
		select {
		case response := <-responses:
			if response.Outcome != decision.OutcomeError || response.Malformed != malformed {
				t.Errorf("%q: got outcome %v, malformed %t, want error, %t", text, response.Outcome, response.Malformed, malformed)
			}
		case <-time.After(3 * time.Second):
			t.Errorf("%q: the attempt did not finish", text)
		}
	}
}
