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
	"laurelring/internal/protocol"
)

const served = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"

func newTestPool(t *testing.T, connectTimeout time.Duration) *EndpointPool {
	t.Helper()
	pool, err := NewEndpointPool(EndpointPoolConfig{Budget: NewDescriptorBudget(reservedDescriptors + 20), Log: &RateLimitedLog{},
		ConnectTimeout: connectTimeout, IdleTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	return pool
}

// outcome is what a delivery came to.
type outcome struct {
	how   decision.Outcome
	value string
}

// deliver sends words to an address and gives the place of their outcome.
func deliver(in *EndpointPool, address, words string, within time.Duration) (*Attempt, chan outcome) {
	came := make(chan outcome, 2)
	return in.Send(address, time.Now().Add(within), func(time.Duration) []byte { return []byte(words) },
		func(r protocol.Response) { came <- outcome{r.Outcome, string(r.Value)} }), came
}

func wait(t *testing.T, came chan outcome) outcome {
	t.Helper()
	select {
	case o := <-came:
		return o
	case <-time.After(3 * time.Second):
		t.Fatal("no outcome")
		return outcome{}
	}
}

// lateListener listens at an address where connections only come up once open is called: until then its queue is
// full, and the kernel asks again after a second.
func lateListener(t *testing.T) (address string, open func() net.Listener) {
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
	ln, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	file.Close()
	t.Cleanup(func() { ln.Close() })
	address = ln.Addr().String()
	filled := 0
	for ; ; filled++ {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { conn.Close() })
	}
	return address, func() net.Listener {
		for range filled {
			if conn, err := ln.Accept(); err == nil {
				conn.Close()
			}
		}
		return ln
	}
}

// A connection comes up after a second, and its command has been withheld meanwhile, as its client left or its
// instance drains: nothing of it goes out, and the connection serves the next one.
func TestWithheldWhileConnecting(t *testing.T) {
	address, open := lateListener(t)
	in := newTestPool(t, 3*time.Second)
	first, none := deliver(in, address, "first", 2*time.Second)
	time.Sleep(50 * time.Millisecond)
	if !first.Withhold() || first.Withhold() {
		t.Fatal("a delivery of which nothing has gone out is withheld, once")
	}
	ln := open()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := conn.Read(make([]byte, 9)); n > 0 || err == io.EOF {
		t.Fatalf("%d bytes of a command that was withheld, %v", n, err)
	}
	second, came := deliver(in, address, "second", 2*time.Second)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	b := make([]byte, 6)
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != "second" {
		t.Fatalf("on the connection that stood: %q, %v", b, err)
	}
	if second.Withhold() {
		t.Error("a delivery that has gone out was withheld")
	}
	io.WriteString(conn, served)
	if got := wait(t, came); got != (outcome{decision.OutcomeSuccess, "ok"}) || len(none) > 0 {
		t.Errorf("%v; of the withheld one %d outcomes", got, len(none))
	}
}

// stale gives a connection that stands idle, of which nobody has read yet what came on it since, and the other
// side of it, with the listener.
func stale(t *testing.T, in *EndpointPool) (l *endpointConnection, far net.Conn, ln net.Listener) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil || !in.quota.acquire() {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	l = &endpointConnection{pool: in, address: ln.Addr().String(), conn: conn.(*net.TCPConn)}
	l.rawConn, _ = l.conn.SyscallConn()
	return l, far, ln
}

// An idle connection that its instance closes as it is taken, and one on which a second answer came late: what is
// written there would end as a reset, or be taken for answered by the other's value. A new one serves, whether or
// not the reader has met it by then.
func TestStaleConnectionIsReplaced(t *testing.T) {
	second := func(far net.Conn) { io.WriteString(far, strings.Replace(served, "ok", "no", 1)) }
	closed := func(far net.Conn) { far.Close() }
	for i, spoil := range []func(far net.Conn){closed, second, closed, second} {
		in := newTestPool(t, time.Second)
		l, far, ln := stale(t, in)
		spoil(far)
		time.Sleep(20 * time.Millisecond) // it is in the kernel's buffer by now
		came := make(chan outcome, 2)
		s := newAttempt(time.Now().Add(time.Second), func(time.Duration) []byte { return []byte("ask\n") },
			func(r protocol.Response) { came <- outcome{r.Outcome, string(r.Value)} })
		if i >= 2 {
			go l.readResponses()
		}
		go l.send(s, true)
		go func() {
			next, err := ln.Accept()
			if err != nil {
				return
			}
			defer next.Close()
			if line, _ := bufio.NewReader(next).ReadString('\n'); line == "ask\n" {
				io.WriteString(next, served)
			}
			time.Sleep(100 * time.Millisecond)
		}()
		if got := wait(t, came); got != (outcome{decision.OutcomeSuccess, "ok"}) {
			t.Errorf("case %d: %v", i, got)
		}
	}
}

// What was read before a delivery began is none of its answer, also when the two cross: the reader holds the bytes
// of a late second answer while the connection is given to the next command.
func TestLateAnswerIsNobodys(t *testing.T) {
	in := newTestPool(t, time.Second)
	l, far, _ := stale(t, in)
	io.WriteString(far, served)
	got := make(chan *Attempt, 1)
	go func() {
		b := make([]byte, 99)
		_, s, _ := l.receive(b)
		l.mu.Lock() // the next command gets the connection before the bytes are looked at
		l.attempt = &Attempt{}
		l.mu.Unlock()
		got <- s
	}()
	if s := <-got; s != nil {
		t.Error("bytes of before were counted to the delivery in work now")
	}
}

// The time that an instance is told is what is left when the bytes go out, also after a wait for the connection.
func TestTimeLeftIsToldLate(t *testing.T) {
	address, open := lateListener(t)
	in := newTestPool(t, 3*time.Second)
	told := make(chan time.Duration, 1)
	in.Send(address, time.Now().Add(2*time.Second), func(within time.Duration) []byte { told <- within; return []byte("x") },
		func(protocol.Response) {})
	time.Sleep(50 * time.Millisecond)
	open()
	select {
	case within := <-told:
		if left := within; left > 1500*time.Millisecond || left < 100*time.Millisecond {
			t.Errorf("told %v after about a second of two", left)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("nothing was sent")
	}
}

// A connection that ends as its delivery does stands nowhere afterwards, and its descriptor is back.
func TestEndedConnectionIsNotIdle(t *testing.T) {
	in := newTestPool(t, time.Second)
	l, _, _ := stale(t, in)
	l.close("test")
	in.putIdle(l)
	if len(in.idleOldestFirst) != 0 || len(in.idleByAddress) != 0 || in.quota.inUse != 0 {
		t.Errorf("%d idle, %d held", len(in.idleOldestFirst), in.quota.inUse)
	}
}

// Standing test, calm+mass: a connection was taken in the moment in which its idle time was over; its reader turned round
// for ever, the delivery's goroutine never got to run, and the gateway answered nothing any more.
func TestTakenAsItsIdleTimeEnds(t *testing.T) {
	in := newTestPool(t, time.Second)
	l, far, _ := stale(t, in)
	l.conn.SetReadDeadline(time.Now().Add(-time.Second)) // over, and it stands among the idle ones no longer
	spent := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			t.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before := spent()
	go l.readResponses()
	time.Sleep(300 * time.Millisecond) // until the delivery's goroutine gets to run
	if used := spent() - before; used > 150*time.Millisecond {
		t.Errorf("its reader used %v of processor time in 300 ms", used)
	}
	came := make(chan outcome, 1)
	s := newAttempt(time.Now().Add(time.Second), func(time.Duration) []byte { return []byte("ask\n") },
		func(r protocol.Response) { came <- outcome{r.Outcome, string(r.Value)} })
	go l.send(s, true)
	if line, err := bufio.NewReader(far).ReadString('\n'); line != "ask\n" {
		t.Fatal(line, err)
	}
	io.WriteString(far, served)
	if got := wait(t, came); got != (outcome{decision.OutcomeSuccess, "ok"}) {
		t.Errorf("%v", got)
	}
}

// A delivery that was decided long ago, as the process stood still before its first byte went out, is told as never sent;
// its connection serves the next one.
func TestOldDecisionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	in := newTestPool(t, 100*time.Millisecond)
	_, came := deliver(in, ln.Addr().String(), "first", time.Second)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, len("first"))
	io.ReadFull(conn, b)
	io.WriteString(conn, served)
	wait(t, came)
	time.Sleep(2 * reuseDelay)
	l := in.takeIdle(ln.Addr().String())
	if l == nil {
		t.Fatal("no connection rests")
	}
	late := make(chan outcome, 1)
	old := newAttempt(time.Now().Add(time.Second), func(time.Duration) []byte { return []byte("late") },
		func(r protocol.Response) { late <- outcome{how: r.Outcome} })
	old.decidedAt = time.Now().Add(-100*time.Millisecond - maxStartDelay - time.Millisecond)
	l.send(old, true)
	if got := wait(t, late); got.how != decision.OutcomeNotSent {
		t.Errorf("told as %v", got.how)
	}
	time.Sleep(2 * reuseDelay)
	_, came = deliver(in, ln.Addr().String(), "next!", time.Second)
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != "next!" {
		t.Errorf("on the connection that stood: %q, %v", b, err)
	}
	io.WriteString(conn, served)
	wait(t, came)
}
