package gatewaytest

import (
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"
)

// slowAnswer is how long a KeyedEndpoint takes for keys that begin with "slow".
const slowAnswer = 300 * time.Millisecond

// KeyedEndpoint is a fake endpoint whose answer a request's key chooses: "breaks" closes the connection, "fails" is an
// error, "full" turns the request away, "silent" is no answer, "damaged" a malformed one; keys that begin with "slow"
// are answered late, all others at once.
type KeyedEndpoint struct {
	t        *testing.T
	requests atomic.Int64
}

// NewKeyedEndpoint makes an endpoint that listens nowhere yet.
func NewKeyedEndpoint(t *testing.T) *KeyedEndpoint { return &KeyedEndpoint{t: t} }

// Listen starts to serve on one more free port and returns its address.
func (e *KeyedEndpoint) Listen() string {
	e.t.Helper()
	listener := Listen(e.t)
	go redcon.Serve(listener, e.serve, nil, nil)
	return listener.Addr().String()
}

// Requests counts the requests that it got.
func (e *KeyedEndpoint) Requests() int64 { return e.requests.Load() }

func (e *KeyedEndpoint) serve(conn redcon.Conn, request redcon.Command) {
	if !expectRequest(e.t, conn, request) {
		return
	}
	e.requests.Add(1)
	switch key := string(request.Args[1]); {
	case key == "breaks":
		conn.Close()
	case key == "fails":
		conn.WriteError("ERR failed utilization=0.5")
	case key == "full":
		conn.WriteError("BUSY")
	case key == "silent":
	case key == "damaged":
		conn.WriteRaw([]byte("*3\r\n:x\r\n"))
	case strings.HasPrefix(key, "slow"):
		time.Sleep(slowAnswer)
		fallthrough
	default:
		writeAnswer(conn, request.Args[len(request.Args)-1], "utilization=0.4")
	}
}

// expectRequest reports whether what came is a request as gateways pass them on. Anything else is answered with an error, and
// the test fails, with the sender and its words: it may be a process of another test.
func expectRequest(t *testing.T, conn redcon.Conn, request redcon.Command) bool {
	command := string(request.Args[0])
	if len(request.Args) >= 4 && (command == "API.READ" || command == "API.WRITE") && strings.Contains(string(request.Args[3]), "d=") {
		return true
	}
	if t.Context().Err() == nil { // not after the test
		t.Errorf("the endpoint at %v got %q from %v", conn.NetConn().LocalAddr(), request.Args, conn.RemoteAddr())
	}
	conn.WriteError("ERR unknown command")
	return false
}

// writeAnswer writes a successful response with a load report.
func writeAnswer(conn redcon.Conn, value []byte, load string) {
	conn.WriteArray(3)
	conn.WriteBulk(value)
	conn.WriteNull()
	conn.WriteBulkString(load)
}

// Endpoint is a fake endpoint that answers with the request's key, or turns requests away once it drains. It records
// when each request arrived.
type Endpoint struct {
	Record   EndpointRecord // as discovery lists it; for one goroutine
	t        *testing.T
	draining atomic.Bool

	// NextBehavior, if set before the first request, decides how each request is answered.
	NextBehavior func() Behavior

	mu          sync.Mutex
	arrivals    []Arrival
	connections []redcon.Conn
}

// Arrival is a request as an endpoint got it: the ledger of what ran.
type Arrival struct {
	At        time.Time // when its last byte came, by the kernel
	HandledAt time.Time // when the endpoint took it, later beside load
	ID        string
	Write     bool // it is not idempotent
	Executed  bool // it was not turned away
}

// Behavior is how an Endpoint answers a request.
type Behavior struct {
	Delay   time.Duration
	Outcome EndpointOutcome
}

// EndpointOutcome is what becomes of a request at an Endpoint.
type EndpointOutcome int

// The outcomes of requests at an Endpoint.
const (
	Answers   EndpointOutcome = iota
	Fails                     // it has run and failed
	TurnsAway                 // it never ran
	Breaks                    // it has run, and its connection ends
)

// NewEndpoint starts an endpoint.
func NewEndpoint(t *testing.T, id string) *Endpoint {
	t.Helper()
	listener := Listen(t)
	e := &Endpoint{Record: ReadyEndpoint(id, listener.Addr().String()), t: t}
	go redcon.Serve(listener, e.serve, func(conn redcon.Conn) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.connections = append(e.connections, conn)
		return true
	}, nil)
	return e
}

// SetDraining makes the endpoint turn requests away, or serve them again.
func (e *Endpoint) SetDraining(draining bool) { e.draining.Store(draining) }

// Restart closes all connections, as the end of a process does; new ones are served as before.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.connections {
		conn.NetConn().Close()
	}
	e.connections = nil
}

func (e *Endpoint) serve(conn redcon.Conn, request redcon.Command) {
	takenAt := time.Now()
	if !expectRequest(e.t, conn, request) {
		return
	}
	behavior := Behavior{}
	if e.NextBehavior != nil {
		behavior = e.NextBehavior()
	}
	if e.draining.Load() {
		behavior.Outcome = TurnsAway
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, Arrival{At: takenAt.Add(-sinceLastByte(conn.NetConn())), HandledAt: takenAt,
		ID: string(request.Args[2]), Write: string(request.Args[0]) == "API.WRITE", Executed: behavior.Outcome != TurnsAway})
	e.mu.Unlock()
	time.Sleep(behavior.Delay)
	switch behavior.Outcome {
	case Answers:
		writeAnswer(conn, request.Args[1], "utilization=0.2")
	case Fails:
		conn.WriteError("ERR failed")
	case TurnsAway:
		conn.WriteError("BUSY")
	case Breaks:
		conn.Close()
	}
}

// kernelTick is the longest tick of the kernel's clock, by which it dates what comes.
const kernelTick = 10 * time.Millisecond

// sinceLastByte returns for how long the last byte of a connection has been there at the least, by the kernel: beside load the
// fake takes a request long after it came.
func sinceLastByte(conn net.Conn) time.Duration {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	if raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO) }) != nil || err != nil {
		return 0 // it has ended meanwhile
	}
	return max(0, time.Duration(info.Last_data_recv)*time.Millisecond-kernelTick)
}

// Arrivals returns the requests that arrived, in their order.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// CountArrivalsAfter counts the requests that arrived at any of the endpoints after a moment.
func CountArrivalsAfter(endpoints []*Endpoint, moment time.Time) int {
	arrived, _ := ArrivalsAfter(endpoints, moment, nil)
	return len(arrived)
}
