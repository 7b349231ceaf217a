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

// attemptResult is how an attempt finished.
type attemptResult struct {
	outcome decision.Outcome
	value   string
}

var okResult = attemptResult{decision.OutcomeSuccess, "ok"}

// sendText starts an attempt whose request is a text and returns the channel of its result.
func sendText(pool *EndpointPool, address, text string, timeout time.Duration) (*Attempt, chan attemptResult) {
	results := make(chan attemptResult, 2)
	return sendRequest(pool, address, timeout, encodeText(text), results), results
}

// sendRequest starts an attempt that goes out as soon as it has its connection.
func sendRequest(pool *EndpointPool, address string, timeout time.Duration, encode func(time.Duration) []byte,
	results chan<- attemptResult) *Attempt {
	now := testClock()
	started := make(chan *Attempt, 1)
	attempt := pool.Send(AttemptRequest{Address: address, DecidedAt: now, Deadline: now + timeout, Encode: encode,
		Connected: func() { (<-started).Proceed(testClock()) }, SentLate: func(time.Duration) {}, Finished: resultTo(results)})
	started <- attempt
	return attempt
}

// newTextAttempt makes an attempt that was decided at a moment, without sending it.
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
		t.Fatal("the attempt did not finish")
		return attemptResult{}
	}
}

// lateListener listens at an address where connections are established only once open is called: until then its
// backlog is full, and the kernel tries again after a second.
func lateListener(t *testing.T) (address string, open func() net.Listener) {
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

// A connection is established after a second, and its attempt was withheld meanwhile, as its client disconnected or
// its endpoint drains: nothing of the attempt goes out, and the connection serves the next one.
func TestWithheldAttemptSendsNothingAndLeavesItsConnection(t *testing.T) {
	address, open := lateListener(t)
	pool := newTestPool(t, 3*time.Second)
	first, firstResults := sendText(pool, address, "first", 2*time.Second)
	time.Sleep(50 * time.Millisecond)
	if !first.Withhold() || first.Withhold() {
		t.Fatal("an attempt that has not started is not withheld exactly once")
	}
	conn, err := open().Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := conn.Read(make([]byte, 9)); n > 0 || err == io.EOF {
		t.Fatalf("%d bytes of an attempt that was withheld, %v", n, err)
	}
	second, secondResults := sendText(pool, address, "second", 2*time.Second)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	request := make([]byte, 6)
	if _, err := io.ReadFull(conn, request); err != nil || string(request) != "second" {
		t.Fatalf("on the open connection: %q, %v", request, err)
	}
	if second.Withhold() {
		t.Error("an attempt that has started was withheld")
	}
	io.WriteString(conn, okResponse)
	if result := awaitResult(t, secondResults); result != okResult || len(firstResults) > 0 {
		t.Errorf("%v; of the withheld attempt %d results", result, len(firstResults))
	}
}

// connectUnread returns a connection that no goroutine reads, so that what arrives stays in the kernel, and the
// endpoint's side of it, with the listener.
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

// An idle connection may be closed by its endpoint as an attempt takes it, or have got a late second response. What is
// written there would end in a reset, or be taken for answered by the other's value. A new connection serves the
// attempt, whether or not the reader has met the bytes by then.
func TestReplacesStaleIdleConnection(t *testing.T) {
	closeIt := func(endpoint net.Conn) { endpoint.Close() }
	respondAgain := func(endpoint net.Conn) { io.WriteString(endpoint, strings.Replace(okResponse, "ok", "no", 1)) }
	for name, test := range map[string]struct {
		makeStale func(endpoint net.Conn)
		read      bool
	}{
		"closed":                   {closeIt, false},
		"second response":          {respondAgain, false},
		"closed, reader runs":      {closeIt, true},
		"second response, is read": {respondAgain, true},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newTestPool(t, time.Second)
			c, endpoint, listener := connectUnread(t, pool)
			test.makeStale(endpoint)
			time.Sleep(20 * time.Millisecond) // until it is in the kernel's buffer
			results := make(chan attemptResult, 2)
			attempt := newTextAttempt("ask\n", testClock(), results)
			if test.read {
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
				t.Errorf("got %v", result)
			}
		})
	}
}

// What was read before an attempt began is no part of its response, also when the two cross: the reader holds the bytes
// of a late second response while the next attempt takes the connection.
func TestLateResponseBelongsToNoAttempt(t *testing.T) {
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
		t.Error("bytes that arrived before were counted to the attempt in flight")
	}
}

// The remaining time that an endpoint gets is what is left as the request goes out, also after a wait for the
// connection.
func TestEncodesRemainingTimeAsRequestGoesOut(t *testing.T) {
	address, open := lateListener(t)
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
			t.Errorf("%v remaining after about a second of two", remaining)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("nothing was sent")
	}
}

// A connection that ends as its attempt finishes does not become idle, and its descriptor is released.
func TestClosedConnectionDoesNotBecomeIdle(t *testing.T) {
	pool := newTestPool(t, time.Second)
	c, _, _ := connectUnread(t, pool)
	c.close("test")
	pool.putIdle(c)
	if len(pool.idleOldestFirst) != 0 || len(pool.idleByAddress) != 0 || pool.quota.inUse != 0 {
		t.Errorf("%d idle, %d descriptors in use", len(pool.idleOldestFirst), pool.quota.inUse)
	}
}

// An attempt took a connection at the moment of its idle timeout; the reader spun, the attempt's goroutine never ran,
// and the gateway answered nothing any more (scenario calm+mass of the simulator).
func TestReaderDoesNotSpinWhenTakenAtIdleTimeout(t *testing.T) {
	pool := newTestPool(t, time.Second)
	c, endpoint, _ := connectUnread(t, pool)
	c.conn.SetReadDeadline(time.Now().Add(-time.Second)) // it has passed, and the connection is not among the idle ones
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
		t.Errorf("the reader used %v of processor time in 300 ms", used)
	}
	results := make(chan attemptResult, 1)
	attempt := newTextAttempt("ask\n", testClock(), results)
	go c.send(attempt, true)
	if line, err := bufio.NewReader(endpoint).ReadString('\n'); line != "ask\n" {
		t.Fatal(line, err)
	}
	io.WriteString(endpoint, okResponse)
	if result := awaitResult(t, results); result != okResult {
		t.Errorf("got %v", result)
	}
}

// An attempt that was decided too long ago, as the process stalled before its first byte went out, finishes as not
// sent; its connection serves the next one.
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
		t.Errorf("got %v", result.outcome)
	}
	time.Sleep(2 * reuseDelay)
	_, results = sendText(pool, address, "next!", time.Second)
	if _, err := io.ReadFull(conn, request); err != nil || string(request) != "next!" {
		t.Errorf("on the open connection: %q, %v", request, err)
	}
	io.WriteString(conn, okResponse)
	awaitResult(t, results)
}

// An endpoint may send a response before anything of the attempt has gone out. The attempt has no connection then, which must
// neither end the process nor prove that the endpoint takes requests.
func TestAttemptThatWasNotSentProvesNothing(t *testing.T) {
	attempt := newTextAttempt("ask\n", testClock(), make(chan attemptResult, 1))
	if at := attempt.ConnectedAt(); at <= testClock() {
		t.Errorf("connected at %v", at)
	}
}
