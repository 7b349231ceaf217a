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

// slowResponseDelay is the response time of a KeyedEndpoint for keys that begin with "slow".
const slowResponseDelay = 300 * time.Millisecond

// KeyedEndpoint is a fake endpoint whose response depends on the request's key: "breaks" closes the connection, "fails"
// gives an error, "full" rejects the request, "silent" gives no response, and "damaged" gives a malformed response.
// Keys that begin with "slow" are answered after slowResponseDelay, all others at once.
type KeyedEndpoint struct {
	t        *testing.T
	requests atomic.Int64
}

// NewKeyedEndpoint returns an endpoint that does not listen until Listen is called.
func NewKeyedEndpoint(t *testing.T) *KeyedEndpoint { return &KeyedEndpoint{t: t} }

// Listen starts serving on one more free port and returns the address.
func (e *KeyedEndpoint) Listen() string {
	e.t.Helper()
	listener := Listen(e.t)
	go redcon.Serve(listener, e.serve, nil, nil)
	return listener.Addr().String()
}

// Requests returns the number of requests received.
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
		time.Sleep(slowResponseDelay)
		fallthrough
	default:
		writeResponse(conn, request.Args[len(request.Args)-1], "utilization=0.4")
	}
}

// expectRequest reports whether a command is a request in the form that gateways forward. Any other command is answered
// with an error and fails the test, with the sender and the command's words in the message, because it may come from a
// process of another test.
func expectRequest(t *testing.T, conn redcon.Conn, request redcon.Command) bool {
	command := string(request.Args[0])
	if len(request.Args) >= 4 && (command == "API.READ" || command == "API.WRITE") && strings.Contains(string(request.Args[3]), "d=") {
		return true
	}
	if t.Context().Err() == nil { // the test has not ended
		t.Errorf("endpoint %v: got %q from %v, want a request forwarded by a gateway", conn.NetConn().LocalAddr(), request.Args, conn.RemoteAddr())
	}
	conn.WriteError("ERR unknown command")
	return false
}

// writeResponse writes a successful response with a load report.
func writeResponse(conn redcon.Conn, value []byte, load string) {
	conn.WriteArray(3)
	conn.WriteBulk(value)
	conn.WriteNull()
	conn.WriteBulkString(load)
}

// Endpoint is a fake endpoint that answers with the request's key, or rejects requests while it drains. It records when
// each request arrived.
type Endpoint struct {
	Record   EndpointRecord // its entry in discovery's list; not safe for concurrent use
	t        *testing.T
	draining atomic.Bool

	// NextBehavior, if not nil, is called for each request and decides how it is answered. It is set before the first
	// request.
	NextBehavior func() Behavior

	mu          sync.Mutex
	arrivals    []Arrival
	connections []redcon.Conn
}

// Arrival records a request that an endpoint received. The arrivals show which requests were executed.
type Arrival struct {
	At        time.Time // when its last byte arrived, according to the kernel
	HandledAt time.Time // when the endpoint began to handle it, later than At under load
	ID        string
	Write     bool // whether it is not idempotent
	Executed  bool // whether it was not rejected
}

// Behavior describes how an Endpoint answers a request.
type Behavior struct {
	Delay   time.Duration
	Outcome EndpointOutcome
}

// EndpointOutcome is the outcome of a request at an Endpoint.
type EndpointOutcome int

// Outcomes of a request at an Endpoint.
const (
	Succeeds    EndpointOutcome = iota
	Fails                       // it was executed and failed
	Rejects                     // it was not executed
	Disconnects                 // it was executed, and the connection is closed without a response
)

// NewEndpoint starts an endpoint with the given id on a free port.
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

// SetDraining makes the endpoint reject requests, or serve them again.
func (e *Endpoint) SetDraining(draining bool) { e.draining.Store(draining) }

// Restart closes all connections, as if the process had been restarted. New connections are served as before.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.connections {
		conn.NetConn().Close()
	}
	e.connections = nil
}

func (e *Endpoint) serve(conn redcon.Conn, request redcon.Command) {
	handledAt := time.Now()
	if !expectRequest(e.t, conn, request) {
		return
	}
	behavior := Behavior{}
	if e.NextBehavior != nil {
		behavior = e.NextBehavior()
	}
	if e.draining.Load() {
		behavior.Outcome = Rejects
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, Arrival{At: handledAt.Add(-sinceLastByte(conn.NetConn())), HandledAt: handledAt,
		ID: string(request.Args[2]), Write: string(request.Args[0]) == "API.WRITE", Executed: behavior.Outcome != Rejects})
	e.mu.Unlock()
	time.Sleep(behavior.Delay)
	switch behavior.Outcome {
	case Succeeds:
		writeResponse(conn, request.Args[1], "utilization=0.2")
	case Fails:
		conn.WriteError("ERR failed")
	case Rejects:
		conn.WriteError("BUSY")
	case Disconnects:
		conn.Close()
	}
}

// maxKernelTick is the longest tick of the kernel clock that received data is timestamped with.
const maxKernelTick = 10 * time.Millisecond

// sinceLastByte returns the minimum time since the last byte of a connection arrived, according to the kernel. Under
// load, the fake endpoint handles a request long after it arrived.
func sinceLastByte(conn net.Conn) time.Duration {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	if raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO) }) != nil || err != nil {
		return 0 // the connection has been closed in the meantime
	}
	return max(0, time.Duration(info.Last_data_recv)*time.Millisecond-maxKernelTick)
}

// Arrivals returns the requests that arrived, in the order in which they were handled.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// CountArrivalsAfter returns the number of requests that arrived at any of the endpoints after the given time.
func CountArrivalsAfter(endpoints []*Endpoint, moment time.Time) int {
	arrived, _ := ArrivalsAfter(endpoints, moment, nil)
	return len(arrived)
}
