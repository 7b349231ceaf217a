package transport

import (
	"bufio"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// okResponse is a response with the value "ok", and no load report.
const okResponse = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"

func newTestPool(t *testing.T, connectTimeout time.Duration) *EndpointPool {
	t.Helper()
	pool, err := NewEndpointPool(EndpointPoolConfig{Budget: NewDescriptorBudget(reservedDescriptors + minOverflowClients + 20),
		Log: &RateLimitedLog{}, Clock: testClock, ConnectTimeout: connectTimeout, IdleTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	return pool
}

// attemptResult is the outcome of an attempt and the value of its response.
type attemptResult struct {
	outcome decision.Outcome
	value   string
}

var okResult = attemptResult{decision.OutcomeSuccess, "ok"}

// sendText starts an attempt that sends text as its request. It returns the attempt and the channel of its result.
func sendText(pool *EndpointPool, address, text string, timeout time.Duration) (*Attempt, chan attemptResult) {
	results := make(chan attemptResult, 2)
	return sendRequest(pool, address, timeout, encodeText(text), results), results
}

// sendRequest starts an attempt that is sent as soon as it has a connection.
func sendRequest(pool *EndpointPool, address string, timeout time.Duration, encode func(time.Duration) []byte,
	results chan<- attemptResult) *Attempt {
	now := testClock()
	started := make(chan *Attempt, 1)
	attempt := pool.Send(AttemptRequest{Address: address, DecidedAt: now, Deadline: now + timeout, Encode: encode,
		Connected: func() { (<-started).Proceed(testClock()) }, SentLate: func(time.Duration) {}, Finished: resultTo(results)})
	started <- attempt
	return attempt
}

// newTextAttempt returns an attempt that was decided at decidedAt, without sending it.
func newTextAttempt(text string, decidedAt monotonic.Time, results chan<- attemptResult) (attempt *Attempt) {
	attempt = newAttempt(AttemptRequest{DecidedAt: decidedAt, Deadline: testClock() + time.Second, Encode: encodeText(text),
		Connected: func() { attempt.Proceed(testClock()) }, SentLate: func(time.Duration) {}, Finished: resultTo(results)})
	return attempt
}

var testClockOrigin = time.Now()

// testClock is the clock of the pools of these tests.
func testClock() monotonic.Time { return time.Since(testClockOrigin) }

func encodeText(text string) func(time.Duration) []byte {
	return func(time.Duration) []byte { return []byte(text) }
}

func resultTo(results chan<- attemptResult) func(protocol.Response) {
	return func(response protocol.Response) {
		results <- attemptResult{response.Outcome, string(response.Value)}
	}
}

func awaitResult(t *testing.T, results <-chan attemptResult) attemptResult {
	t.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(3 * time.Second):
		t.Fatal("attempt did not finish within 3 s")
		return attemptResult{}
	}
}

// newFullBacklogListener listens at an address where connections are established only after open is called. Until then
// the listener's backlog is full, and the kernel retries the connection after a second.
func newFullBacklogListener(t *testing.T) (address string, open func() net.Listener) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	file.Close()
	t.Cleanup(func() { listener.Close() })
	address = listener.Addr().String()
	backlog := 0
	for ; ; backlog++ {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { conn.Close() })
	}
	return address, func() net.Listener {
		for range backlog {
			if conn, err := listener.Accept(); err == nil {
				conn.Close()
			}
		}
		return listener
	}
}

// An attempt may be withheld while its connection is being established, here for a second, because its client
// disconnects or its endpoint starts to drain. Nothing of the attempt is sent, and the connection serves the next
// attempt.
func TestWithheldAttemptSendsNothingAndKeepsConnection(t *testing.T) {
	address, open := newFullBacklogListener(t)
	pool := newTestPool(t, 3*time.Second)
	first, firstResults := sendText(pool, address, "first", 2*time.Second)
	time.Sleep(50 * time.Millisecond)
	if !first.Withhold() || first.Withhold() {
		t.Fatal("want Withhold to return true once, then false, for an attempt that has not started")
	}
	conn, err := open().Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := conn.Read(make([]byte, 9)); n > 0 || err == io.EOF {
		t.Fatalf("got %d bytes and error %v after the attempt was withheld, want no bytes and an open connection", n, err)
	}
	second, secondResults := sendText(pool, address, "second", 2*time.Second)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	request := make([]byte, 6)
	if _, err := io.ReadFull(conn, request); err != nil || string(request) != "second" {
		t.Fatalf("got request %q, %v on the open connection, want second", request, err)
	}
	if second.Withhold() {
		t.Error("Withhold returned true for an attempt that has started")
	}
	io.WriteString(conn, okResponse)
	if result := awaitResult(t, secondResults); result != okResult || len(firstResults) > 0 {
		t.Errorf("got result %v, and %d results of the withheld attempt, want none", result, len(firstResults))
	}
}

// connectUnread returns a connection that no goroutine reads, so that bytes that arrive stay in the kernel. It also
// returns the endpoint's side of the connection and the listener.
func connectUnread(t *testing.T, pool *EndpointPool) (c *endpointConnection, endpoint net.Conn, listener net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if endpoint, err = listener.Accept(); err != nil || !pool.quota.acquire() {
		t.Fatal(err)
	}
	t.Cleanup(func() { endpoint.Close() })
	c = &endpointConnection{pool: pool, address: listener.Addr().String(), conn: conn.(*net.TCPConn)}
	c.rawConn, _ = c.conn.SyscallConn()
	return c, endpoint, listener
}

// When an attempt takes an idle connection, the endpoint may have closed it or sent a late second response. A request
// written to it would end in a reset, or would be answered with the value of another response. The attempt must be sent
// on a new connection, whether or not the reader has read the bytes or the end of the stream by then.
func TestReplacesStaleIdleConnection(t *testing.T) {
	closeConn := func(endpoint net.Conn) { endpoint.Close() }
	sendSecondResponse := func(endpoint net.Conn) { io.WriteString(endpoint, strings.Replace(okResponse, "ok", "no", 1)) }
	for name, test := range map[string]struct {
		makeStale  func(endpoint net.Conn)
		readerRuns bool
	}{
		"closed":                          {closeConn, false},
		"second response":                 {sendSecondResponse, false},
		"closed, reader running":          {closeConn, true},
		"second response, reader running": {sendSecondResponse, true},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newTestPool(t, time.Second)
			c, endpoint, listener := connectUnread(t, pool)
			test.makeStale(endpoint)
			time.Sleep(20 * time.Millisecond) // until the change has reached the kernel's buffer
			results := make(chan attemptResult, 2)
			attempt := newTextAttempt("ask\n", testClock(), results)
			if test.readerRuns {
				go c.readResponses()
			}
			go c.send(attempt, true)
			go func() {
				next, err := listener.Accept()
				if err != nil {
					return
				}
				defer next.Close()
				if line, _ := bufio.NewReader(next).ReadString('\n'); line == "ask\n" {
					io.WriteString(next, okResponse)
				}
				time.Sleep(100 * time.Millisecond)
			}()
			if result := awaitResult(t, results); result != okResult {
				t.Errorf("got %v, want success with value ok", result)
			}
		})
	}
}

// Bytes that were read before an attempt began are not part of its response, even in a race: the reader holds the bytes
// of a late second response while the next attempt takes the connection.
func TestLateResponseIsNotAttributedToNextAttempt(t *testing.T) {
	pool := newTestPool(t, time.Second)
	c, endpoint, _ := connectUnread(t, pool)
	io.WriteString(endpoint, okResponse)
	received := make(chan *Attempt, 1)
	go func() {
		_, attempt, _ := c.receive(make([]byte, 99))
		c.mu.Lock() // the next attempt takes the connection before the bytes are parsed
		c.attempt = &Attempt{}
		c.mu.Unlock()
		received <- attempt
	}()
	if attempt := <-received; attempt != nil {
		t.Error("bytes that arrived before the attempt began were attributed to it")
	}
}

// The remaining time that an endpoint receives is the time left when the request is sent, even if the attempt had to
// wait for its connection.
func TestEncodesRemainingTimeAsRequestGoesOut(t *testing.T) {
	address, open := newFullBacklogListener(t)
	pool := newTestPool(t, 3*time.Second)
	encoded := make(chan time.Duration, 1)
	sendRequest(pool, address, 2*time.Second, func(remaining time.Duration) []byte {
		encoded <- remaining
		return []byte("x")
	}, make(chan attemptResult, 1))
	time.Sleep(50 * time.Millisecond)
	open()
	select {
	case remaining := <-encoded:
		if remaining > 1500*time.Millisecond || remaining < 100*time.Millisecond {
			t.Errorf("got %v remaining after about 1 s of 2 s, want 100 ms to 1.5 s", remaining)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("request was not encoded within 3 s")
	}
}

// A connection that ends at the moment its attempt finishes does not become idle, and its descriptor is released.
func TestClosedConnectionDoesNotBecomeIdle(t *testing.T) {
	pool := newTestPool(t, time.Second)
	c, _, _ := connectUnread(t, pool)
	c.close("test")
	pool.putIdle(c)
	if len(pool.idleOldestFirst) != 0 || len(pool.idleByAddress) != 0 || pool.quota.inUse != 0 {
		t.Errorf("got %d idle connections and %d descriptors in use, want 0", len(pool.idleOldestFirst), pool.quota.inUse)
	}
}

// Guards against a busy loop of the reader when an attempt takes a connection at the moment of its idle timeout. The
// attempt's goroutine never ran, and the gateway answered no further requests. Found by the simulator, scenario
// calm+mass.
func TestReaderDoesNotSpinWhenAttemptTakesConnectionAtIdleTimeout(t *testing.T) {
	pool := newTestPool(t, time.Second)
	c, endpoint, _ := connectUnread(t, pool)
	c.conn.SetReadDeadline(time.Now().Add(-time.Second)) // the deadline has passed, and the connection is not idle
	processorTime := func() time.Duration {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			t.Fatal(err)
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	before := processorTime()
	go c.readResponses()
	time.Sleep(300 * time.Millisecond) // until the attempt's goroutine runs
	if used := processorTime() - before; used > 150*time.Millisecond {
		t.Errorf("reader used %v of processor time in 300 ms, want at most 150 ms", used)
	}
	results := make(chan attemptResult, 1)
	attempt := newTextAttempt("ask\n", testClock(), results)
	go c.send(attempt, true)
	if line, err := bufio.NewReader(endpoint).ReadString('\n'); line != "ask\n" {
		t.Fatal(line, err)
	}
	io.WriteString(endpoint, okResponse)
	if result := awaitResult(t, results); result != okResult {
		t.Errorf("got %v, want success with value ok", result)
	}
}

// An attempt that was decided too long ago, because the process stalled before its first byte was sent, finishes as not
// sent. Its connection serves the next attempt.
func TestDoesNotSendAttemptDecidedTooLongAgo(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	address := listener.Addr().String()
	pool := newTestPool(t, 100*time.Millisecond)
	_, results := sendText(pool, address, "first", time.Second)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	request := make([]byte, len("first"))
	io.ReadFull(conn, request)
	io.WriteString(conn, okResponse)
	awaitResult(t, results)
	time.Sleep(2 * reuseDelay)
	c := pool.takeIdle(address)
	if c == nil {
		t.Fatal("no idle connection")
	}
	lateResults := make(chan attemptResult, 1)
	late := newTextAttempt("late", testClock()-maxDecisionAge-time.Millisecond, lateResults)
	c.send(late, true)
	if result := awaitResult(t, lateResults); result.outcome != decision.OutcomeNotSent {
		t.Errorf("got outcome %v, want not sent", result.outcome)
	}
	time.Sleep(2 * reuseDelay)
	_, results = sendText(pool, address, "next!", time.Second)
	if _, err := io.ReadFull(conn, request); err != nil || string(request) != "next!" {
		t.Errorf("got request %q, %v on the open connection, want next!", request, err)
	}
	io.WriteString(conn, okResponse)
	awaitResult(t, results)
}

// An endpoint may send a response before anything of the attempt has been sent. The attempt has no connection then,
// which must neither crash the process nor count as proof that the endpoint accepts requests.
func TestUnsentAttemptHasNoConnectionTime(t *testing.T) {
	attempt := newTextAttempt("ask\n", testClock(), make(chan attemptResult, 1))
	if at := attempt.ConnectedAt(); at <= testClock() {
		t.Errorf("got connection time %v, want a time in the future", at)
	}
}
