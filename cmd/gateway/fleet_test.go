package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// gatewayProcess in the environment has the test program be a gateway: a fleet is made of real processes.
const gatewayProcess = "LAURELRING_TEST_GATEWAY"

func TestMain(m *testing.M) {
	if os.Getenv(gatewayProcess) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// listEntry is one instance as discovery lists it.
type listEntry struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Locality string `json:"locality"`
	Flavor   string `json:"flavor"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Size     int    `json:"size"`
	UpSince  int64  `json:"up_since_ms"`
	Build    int    `json:"build"`
}

const (
	discoveryTimeout  = 2 * time.Second        // a call that would wait longer is refused once that time is over
	discoveryOverbook = 5 * time.Second        // one that would wait longer than this is refused at once
	watchContinues    = 200 * time.Millisecond // a call this soon after an answer on its connection costs nothing
)

// discoveryService is a stand-in for discovery with a fixed capacity: calls are taken in turn, each costs the same, and
// what is admitted is worked on even if its caller is refused for having waited too long.
type discoveryService struct {
	cost time.Duration // of a call that begins a watch

	mu        sync.Mutex
	entries   []listEntry
	revision  int64
	changed   chan struct{} // closed at the next change
	down      bool
	fell      chan struct{} // closed when it goes down
	busyUntil time.Time
	calls     int  // that began a watch
	halves    bool // it writes half of each newer list, and refuses what comes after
	halved    bool // it has
	refuses   bool // all calls, at once
}

func newDiscoveryService(t *testing.T, cost time.Duration, entries []listEntry) (*discoveryService, string) {
	d := &discoveryService{cost: cost, entries: entries, revision: 1, changed: make(chan struct{}),
		fell: make(chan struct{})}
	listener := local(t)
	type lastAnswer struct{}
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		d.serve(out, in, in.Context().Value(lastAnswer{}).(*atomic.Int64))
	}), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, lastAnswer{}, &atomic.Int64{})
	}}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return d, listener.Addr().String()
}

// set changes the list.
func (d *discoveryService) set(entries []listEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = entries
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// setDown takes the service down, which ends all watches, or brings it back.
func (d *discoveryService) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down = down; down {
		close(d.fell)
		d.fell = make(chan struct{})
	}
}

func (d *discoveryService) serve(out http.ResponseWriter, in *http.Request, lastAnswer *atomic.Int64) {
	if !d.admit(in.Context(), time.Since(time.Unix(0, lastAnswer.Load())) < watchContinues) {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.ParseInt(in.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(in.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		d.mu.Lock()
		changed, fell, newer := d.changed, d.fell, d.revision > after
		d.mu.Unlock()
		if newer {
			break
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-fell:
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		case <-in.Context().Done():
			return
		}
	}
	d.mu.Lock()
	text, _ := json.Marshal(map[string]any{"revision": d.revision, "complete": true, "members": d.entries})
	half := d.halves && d.revision > after
	d.halved = d.halved || half
	d.mu.Unlock()
	if half {
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		out.Write(text[:len(text)/2])
		out.(http.Flusher).Flush()
		<-in.Context().Done()
		return
	}
	lastAnswer.Store(time.Now().UnixNano())
	out.Write(text)
}

// setHalves has it write half of each newer list and refuse calls after that, or answer again.
func (d *discoveryService) setHalves(halves bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.halves, d.halved = halves, false
}

// setRefuses brings it back, but without an answer for anybody.
func (d *discoveryService) setRefuses(refuses bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.refuses = false, refuses
}

// admit waits for a call's turn and tells whether it is served.
func (d *discoveryService) admit(ctx context.Context, continues bool) bool {
	now := time.Now()
	d.mu.Lock()
	if d.halved || d.refuses {
		d.mu.Unlock()
		return false
	}
	down := d.down
	if !continues && !down {
		d.calls++
		d.busyUntil = later(d.busyUntil, now).Add(d.cost)
	}
	wait := d.busyUntil.Sub(now)
	if !continues && !down && wait > discoveryOverbook {
		d.busyUntil = d.busyUntil.Add(-d.cost)
	}
	d.mu.Unlock()
	switch {
	case down:
		sleep(ctx, discoveryTimeout)
		return false
	case continues:
		return true
	case wait > discoveryOverbook:
		return false
	case wait > discoveryTimeout:
		sleep(ctx, discoveryTimeout)
		return false
	}
	sleep(ctx, wait)
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}

// platformService is a stand-in for the platform: it tells each listener where the newest build stands, at once and at
// each change, and gives a sign of life every second.
type platformService struct {
	mu        sync.Mutex
	news      string
	listeners []net.Conn
}

const releasedNews = `{"release":1,"tranche":2,"mode":"live","exposure":1,"old_ms":0}`

func newPlatformService(t *testing.T) (*platformService, string) {
	p := &platformService{news: releasedNews}
	listener := local(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	go func() {
		for ticks := time.NewTicker(time.Second); t.Context().Err() == nil; <-ticks.C {
			p.tell(`{"jsonrpc":"2.0","method":"ping"}`)
		}
	}()
	return p, listener.Addr().String()
}

func (p *platformService) serve(conn net.Conn) {
	for in := bufio.NewScanner(conn); in.Scan(); {
		if !strings.Contains(in.Text(), "listen") {
			continue // a vote
		}
		p.mu.Lock()
		fmt.Fprintf(conn, "%s\n%s\n", `{"jsonrpc":"2.0","id":1,"result":true}`, newsLine(p.news))
		p.listeners = append(p.listeners, conn)
		p.mu.Unlock()
	}
}

// set tells all listeners where the newest build stands now.
func (p *platformService) set(news string) {
	p.mu.Lock()
	p.news = news
	p.mu.Unlock()
	p.tell(newsLine(news))
}

func (p *platformService) tell(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.listeners {
		fmt.Fprintln(conn, line)
	}
}

func newsLine(news string) string { return `{"jsonrpc":"2.0","method":"news","params":` + news + `}` }

// instanceServer is a stand-in for an instance: it serves, or turns commands away once it drains, and keeps when each
// came.
type instanceServer struct {
	entry    listEntry
	draining atomic.Bool

	mu          sync.Mutex
	arrived     []time.Time
	connections []redcon.Conn
}

func newInstanceServer(t *testing.T, id string) *instanceServer {
	listener := local(t)
	s := &instanceServer{entry: listEntry{ID: id, HostPort: listener.Addr().String(), Locality: "a", Flavor: "m",
		Phase: "up", Size: 4, Build: 1}}
	go redcon.Serve(listener, s.serve, func(conn redcon.Conn) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.connections = append(s.connections, conn)
		return true
	}, nil)
	return s
}

// restart ends all connections, as the end of a process does; new ones are served as before.
func (s *instanceServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.connections {
		conn.NetConn().Close()
	}
	s.connections = nil
}

func (s *instanceServer) serve(conn redcon.Conn, cmd redcon.Command) {
	s.mu.Lock()
	s.arrived = append(s.arrived, time.Now())
	s.mu.Unlock()
	if s.draining.Load() {
		conn.WriteError("BUSY")
		return
	}
	conn.WriteArray(3)
	conn.WriteBulk(cmd.Args[1])
	conn.WriteNull()
	conn.WriteBulkString("utilization=0.2")
}

// arrivedAfter counts the commands that came after a moment.
func (s *instanceServer) arrivedAfter(moment time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrived {
		if at.After(moment) {
			n++
		}
	}
	return n
}

// gatewayFleet is some gateways, each a process of its own, with a client at each.
type gatewayFleet struct {
	t         *testing.T
	platform  *platformService
	listen    []string
	logs      []string // files
	processes []*exec.Cmd

	mu      sync.Mutex
	answers []clientAnswer
}

// clientAnswer is what a client got for one request.
type clientAnswer struct {
	gateway int
	sentAt  time.Time
	served  bool
}

// startFleet starts gateways that know the given list, with messages between them or without.
func startFleet(t *testing.T, gateways int, discovery string, known []listEntry, messages bool) *gatewayFleet {
	f := &gatewayFleet{t: t}
	platform, platformAddress := newPlatformService(t)
	f.platform = platform
	members, _ := json.Marshal(known)
	var listen, peers []string
	for range gateways {
		front, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		datagrams, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer front.Close()
		defer datagrams.Close()
		listen = append(listen, front.Addr().String())
		peers = append(peers, strconv.Quote(datagrams.LocalAddr().String()))
	}
	folder := t.TempDir()
	f.listen = listen
	for i := range gateways {
		text := strings.Replace(settings, `"rank":0,"balancers":2`, fmt.Sprintf(`"rank":%d,"balancers":%d`, i, gateways), 1)
		between := fmt.Sprintf(`"peer_listen":%s,"peers":[%s],`, peers[i], strings.Join(peers, ","))
		if !messages {
			text, between = strings.Replace(text, `"peer_messages":true`, `"peer_messages":false`, 1), ""
		}
		config := fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"%016x",
"limits":{"cores":1.0,"memory_mb":192,"sockets":256},%s
"pipeline":{"address":%q,"news":%s},
"known":{"revision":1,"complete":true,"members":%s},"settings":%s}`, i, listen[i], discovery, i+1, between,
			platformAddress, releasedNews, members, text)
		path := filepath.Join(folder, fmt.Sprintf("n%d.json", i))
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		f.logs = append(f.logs, path+".log")
	}
	return f
}

// run starts the processes, once the ports that were found for them are free, and a client at each.
func (f *gatewayFleet) run(ctx context.Context) {
	for i, path := range f.logs {
		log, err := os.Create(path)
		if err != nil {
			f.t.Fatal(err)
		}
		process := exec.Command(os.Args[0])
		process.Env = append(os.Environ(), gatewayProcess+"=1", "RELAY_CONFIG="+strings.TrimSuffix(path, ".log"))
		process.Stderr = log
		if err := process.Start(); err != nil {
			f.t.Fatal(err)
		}
		f.processes = append(f.processes, process)
		f.t.Cleanup(func() {
			process.Process.Signal(syscall.SIGKILL)
			process.Wait()
			log.Close()
		})
		go f.client(ctx, i)
	}
}

const (
	requestEvery = 40 * time.Millisecond
	clientWaits  = 600 * time.Millisecond
)

// client sends reads to a gateway, one after the other, until the context ends.
func (f *gatewayFleet) client(ctx context.Context, gateway int) {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", f.listen[gateway])
		if err != nil {
			time.Sleep(requestEvery)
			continue
		}
		for in := bufio.NewReader(conn); ctx.Err() == nil; time.Sleep(requestEvery) {
			answer := clientAnswer{gateway: gateway, sentAt: time.Now()}
			request := redcon.AppendArray(nil, 4)
			for _, word := range strings.Fields(read("key")) {
				request = redcon.AppendBulkString(request, word)
			}
			conn.Write(request)
			conn.SetReadDeadline(answer.sentAt.Add(clientWaits + time.Second))
			line, err := in.ReadString('\n')
			if err == nil && strings.HasPrefix(line, "$") {
				answer.served = true
				_, err = io.CopyN(io.Discard, in, int64(len("key\r\n")))
			}
			if err != nil {
				break
			}
			f.mu.Lock()
			f.answers = append(f.answers, answer)
			f.mu.Unlock()
		}
		conn.Close()
	}
}

// showLogs prints the first gateways' logs if the test has failed.
func (f *gatewayFleet) showLogs(many int) {
	if !f.t.Failed() {
		return
	}
	for _, path := range f.logs[:many] {
		text, _ := os.ReadFile(path)
		f.t.Logf("%s", strings.TrimSpace(string(text)))
	}
}

// waitServing waits until clients are served at all gateways.
func (f *gatewayFleet) waitServing() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		seen := map[int]bool{}
		f.mu.Lock()
		for _, answer := range f.answers {
			seen[answer.gateway] = seen[answer.gateway] || answer.served
		}
		f.mu.Unlock()
		if len(seen) == len(f.listen) {
			return
		}
	}
	f.t.Fatal("not all gateways serve")
}
