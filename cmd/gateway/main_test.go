package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"github.com/tidwall/redcon"

	"laurelring/internal/store"
	"laurelring/internal/tuftest"
)

const settings = `{"rank":0,"balancers":2,"locality":0,"period_ms":5,"areas":["a"],"host_types":["m"],"lanes":[
{"name":"look","aim_ms":500,"give_up_ms":2000,"gain":1,"repeat":"repeatable"},
{"name":"book","aim_ms":500,"give_up_ms":1500,"gain":3,"repeat":"once"}],"orgs":[],
"limits":{"max_attempts":5,"may_cancel":true,"retry_after":true,"max_retry_after_ms":500,"peer_messages":true,
"connect_timeout_ms":250,"idle_close_ms":30000},
"prices":{"cross_zone":0.04},"invariants":{"cold_from":0.31,"cold_ms":4400,"fall_multiple":2,"fall_ms":3000,
"ask_within_ms":10000},
"registry_mode":"ask","family_info":{"window_ms":4000,"allowance":3,"per":"all","closed_stages":0,
"one_way":false,"exposure_caps":[0.1,0.5,1],"decided_by":"share","ayes_needed":1,"votes_to_revert":1,
"steps":[0.1,0.5,1],"lag_fee":0.3,"damage_price":8,"vote_ttl_ms":6000,"api_timeout_ms":2000},
"feedback":{"how":"inline","fields":["utilization"]}}`

// world is what a gateway reaches: one instance, discovery, the platform and one other gateway, all on
// loopback.
type world struct {
	t      *testing.T
	listen string
	kind   chan os.Signal
	again  chan os.Signal
	ended  chan error
	config atomic.Value // the text of the file
	ran    atomic.Int64 // commands that the instance began
	ballot chan string
	told   chan string // what discovery tells next
	heard  chan int    // sizes of datagrams to the other gateway
}

func local(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func member(address, phase string) string {
	return fmt.Sprintf(`{"id":"s-1","host_port":%q,"locality":"a","flavor":"m","cell":0,"phase":%q,"size":4,`+
		`"up_since_ms":0,"build":1}`, address, phase)
}

// start brings a gateway up in its world.
func start(t *testing.T, descriptors int) *world { return startWith(t, descriptors, settings) }

func startWith(t *testing.T, descriptors int, settings string) *world {
	w := &world{t: t, kind: make(chan os.Signal, 1), again: make(chan os.Signal, 1), ended: make(chan error, 1), ballot: make(chan string, 9),
		told: make(chan string, 9), heard: make(chan int, 99)}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	instance, list, desk, front := local(t), local(t), local(t), local(t)
	go redcon.Serve(instance, w.instance, nil, nil)
	go http.Serve(list, http.HandlerFunc(w.list))
	go w.desk(desk)
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	go func() {
		for b := make([]byte, 1<<10); ; {
			n, _, err := peer.ReadFrom(b)
			if err != nil {
				return
			}
			w.heard <- n
		}
	}()
	own, _ := net.ListenPacket("udp", "127.0.0.1:0")
	w.listen = front.Addr().String()
	front.Close()
	own.Close()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"peer_listen":%q,"peers":[%q,%q],
"pipeline":{"address":%q,"news":{"release":1,"tranche":2,"mode":"live","exposure":1,"old_ms":0}},
"known":{"revision":1,"complete":true,"members":[%s]},"settings":%s}`, w.listen, list.Addr(), descriptors,
		own.LocalAddr(), own.LocalAddr(), peer.LocalAddr(), desk.Addr(), member(instance.Addr().String(), "up"), settings)
	w.config.Store(text)
	reread := func() ([]byte, error) { return []byte(w.config.Load().(string)), nil }
	go func() { w.ended <- run([]byte(text), reread, w.kind, w.again) }()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", w.listen); err == nil {
			conn.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal("the gateway does not listen")
		}
	}
	t.Cleanup(func() {
		select {
		case w.kind <- syscall.SIGTERM:
			<-w.ended
		default:
		}
	})
	return w
}

// list answers a watch with what is told next.
func (w *world) list(out http.ResponseWriter, in *http.Request) {
	select {
	case text := <-w.told:
		io.WriteString(out, text)
	case <-time.After(time.Second):
		fmt.Fprintf(out, `{"revision":%s,"members":[]}`, in.URL.Query().Get("after"))
	}
}

// ends waits until the gateway has ended as it was told to.
func (w *world) ends() {
	select {
	case err := <-w.ended:
		if err != nil {
			w.t.Error(err)
		}
	case <-time.After(2 * time.Second):
		w.t.Error("it does not end")
	}
	w.kind <- syscall.SIGTERM // nothing is left to clean up
}

// elsewhere is another place of the list, with what it is asked for.
func (w *world) elsewhere() (net.Listener, chan string) {
	ln, asked := local(w.t), make(chan string, 99)
	go http.Serve(ln, http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		asked <- in.URL.RequestURI()
		w.list(out, in)
	}))
	return ln, asked
}

// instance answers by the command's key.
func (w *world) instance(conn redcon.Conn, cmd redcon.Command) {
	if len(cmd.Args) < 4 || !strings.Contains(string(cmd.Args[3]), "d=") {
		w.t.Errorf("the instance got %q", cmd.Args)
		return
	}
	w.ran.Add(1)
	switch key := string(cmd.Args[1]); {
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
		time.Sleep(300 * time.Millisecond)
		fallthrough
	default:
		conn.WriteArray(3)
		conn.WriteBulk(cmd.Args[len(cmd.Args)-1])
		conn.WriteNull()
		conn.WriteBulkString("utilization=0.4")
	}
}

// desk listens to calls, tells of a build on trial and takes votes.
func (w *world) desk(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			for in := bufio.NewScanner(conn); in.Scan(); {
				if strings.Contains(in.Text(), "listen") {
					io.WriteString(conn, `{"id":1,"result":true}`+"\n"+`{"method":"news","params":{"release":1,"tranche":2,`+
						`"mode":"live","exposure":1,"old_ms":0}}`+"\n")
				} else {
					w.ballot <- in.Text()
				}
			}
		}()
	}
}

// ask sends commands on one connection and gives the lines that come back until it ends or falls silent.
func (w *world) ask(wait time.Duration, text ...string) string {
	conn, err := net.Dial("tcp", w.listen)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	for _, one := range text {
		var b []byte
		words := strings.Split(one, " ")
		b = redcon.AppendArray(b, len(words))
		for _, word := range words {
			b = redcon.AppendBulkString(b, word)
		}
		conn.Write(b)
	}
	conn.SetReadDeadline(time.Now().Add(wait))
	all, _ := io.ReadAll(conn)
	return string(all)
}

// ids counts commands: each has its own.
var ids atomic.Int64

func read(key string) string { return fmt.Sprintf("API.READ %s %d c=look,d=600", key, ids.Add(1)) }
func book(key, body string) string {
	return fmt.Sprintf("API.WRITE %s %d c=book,d=600 %s", key, ids.Add(1), body)
}

// What clients see in each case that an instance can bring, and of bad input.
func TestAnswers(t *testing.T) {
	w := start(t, 1024)
	large := strings.Repeat("x", 64<<10)
	bulk := func(text string) string { return string(redcon.AppendBulkString(nil, text)) }
	for _, one := range []struct {
		name, want string
		wait       time.Duration
		text       []string
	}{
		{"ordinary", "+PONG\r\n" + bulk("c=look,d=") + bulk("body"), 300, []string{"PING", read("a"), book("a", "body")}},
		{"the largest value", bulk(large), 500, []string{book("a", large)}},
		{"too large", "-ERR a command is larger", 300, []string{book("a", large+"x"), "PING"}},
		{"in order", bulk("one") + "+PONG\r\n", 800, []string{book("slow", "one"), "PING"}},
		{"failed", "-ERR failed\r\n", 300, []string{book("fails", "x")}},
		{"broken after the last byte", "-ERR failed\r\n", 900, []string{book("breaks", "x")}},
		{"damaged", "-ERR failed\r\n", 900, []string{book("damaged", "x")}},
		{"silent", "-ERR failed\r\n", 900, []string{book("silent", "x")}},
		{"an id in hand", bulk("one") + "-ERR failed\r\n", 800, []string{"API.WRITE slow twice c=book,d=600 one",
			"API.WRITE b twice c=book,d=600 two"}},
		{"unknown op type", "-ERR unknown op type\r\n+PONG\r\n", 300, []string{"API.READ k id c=none,d=5", "PING"}},
		{"no time", "-ERR c or d is missing\r\n", 300, []string{"API.READ k id c=look"}},
		{"unknown command", "-ERR unknown command\r\n", 300, []string{"GET k"}},
	} {
		got := w.ask(one.wait*time.Millisecond, one.text...)
		want := one.want
		if i := strings.Index(want, "d="); i >= 0 { // the time left is the gateway's
			want = want[:strings.Index(want, "$")]
		}
		if !strings.HasPrefix(got, want) || strings.Count(got, "\r\n") < strings.Count(want, "\r\n") {
			t.Errorf("%s: %.200q, want %.200q", one.name, got, want)
		}
	}
	conn, _ := net.Dial("tcp", w.listen)
	conn.Write([]byte("*1\r\n$9223372036854775807\r\n"))
	if all, err := io.ReadAll(conn); string(all) != "-ERR Protocol error\r\n" || err != nil {
		t.Errorf("lost framing: %q, %v", all, err)
	}
	// Of bad clients each gets an error or its end within 3 s: one that stops halfway, one that says nothing, one
	// that brings hundreds of commands at once.
	for text, want := range map[string]string{"*2\r\n$4\r\nAPI": "-ERR a command does not end\r\n", "": "",
		strings.Repeat("*4\r\n$8\r\nAPI.READ\r\n$6\r\nsilent\r\n$0\r\n\r\n$12\r\nc=look,d=200\r\n", 300): "-ERR no id\r\n",
	} {
		conn, _ := net.Dial("tcp", w.listen)
		conn.Write([]byte(text))
		in := bufio.NewReader(conn)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		if line, err := in.ReadString('\n'); line != want || want == "" && errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%.20q got %q, %v", text, line, err)
		}
		conn.Close()
	}
	// Never run: tried again, and refused with a time to come back.
	before := w.ran.Load()
	if got := w.ask(700*time.Millisecond, book("full", "x")); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("turned away: %q", got)
	}
	if w.ran.Load() == before {
		t.Error("a command turned away was not tried")
	}
	select {
	case n := <-w.heard:
		if n > 256 {
			t.Errorf("a datagram of %d bytes", n)
		}
	case <-time.After(2 * time.Second):
		t.Error("no totals were posted")
	}
}

// No connection that is refused counts as run, and what is listed anew is used at once.
func TestListIsFollowed(t *testing.T) {
	w := start(t, 1024)
	dead := local(t)
	w.told <- `{"revision":2,"members":[` + member(dead.Addr().String(), "up") + `]}`
	dead.Close()
	time.Sleep(1200 * time.Millisecond)
	if got := w.ask(700*time.Millisecond, book("a", "x")); !strings.HasPrefix(got, "-BUSY") || w.ran.Load() > 0 {
		t.Errorf("no connection: %q", got)
	}
}

// A client that leaves is seen while its command is in hand; its connection is given back.
func TestClientsLeave(t *testing.T) {
	w := start(t, 32) // eight descriptors for clients and instances together
	for range 40 {
		conn, err := net.Dial("tcp", w.listen)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "*4\r\n$8\r\nAPI.READ\r\n$6\r\nsilent\r\n$5\r\n%05d\r\n$12\r\nc=look,d=200\r\n", ids.Add(1))
		time.Sleep(2 * time.Millisecond)
		conn.Close()
	}
	time.Sleep(400 * time.Millisecond)
	if got := w.ask(300*time.Millisecond, book("a", "x")); got != "$1\r\nx\r\n" {
		t.Errorf("after those who left: %q", got)
	}
	// At the limit quiet clients go first; with none, a new one gets a refusal or a close.
	for i := range 60 {
		conn, err := net.Dial("tcp", w.listen)
		if err != nil {
			t.Fatal(i, err)
		}
		defer conn.Close()
	}
	time.Sleep(3 * time.Second) // those beyond the limit wait outside until they are let in, and are ended
	if got := w.ask(300*time.Millisecond, "PING"); got != "+PONG\r\n" {
		t.Errorf("beside quiet clients: %q", got)
	}
	// With every descriptor at work a command is refused at once, with a time to come back.
	for range 4 {
		go w.ask(900*time.Millisecond, read("silent"))
	}
	time.Sleep(200 * time.Millisecond)
	if got := w.ask(250*time.Millisecond, read("a"), read("a")); strings.Count(got, "-BUSY 1") != 2 {
		t.Errorf("at the limit: %q", got)
	}
}

// SIGTERM: what is taken is answered, clients are served on for the grace, and the program ends by itself.
func TestEnds(t *testing.T) {
	w := start(t, 1024)
	got := make(chan string, 2)
	go func() { got <- w.ask(5*time.Second, book("slow", "before")) }()
	time.Sleep(50 * time.Millisecond)
	w.kind <- syscall.SIGTERM
	time.Sleep(300 * time.Millisecond)
	if after := w.ask(5*time.Second, book("slow", "after")); after != "$5\r\nafter\r\n" {
		t.Errorf("in the grace: %q", after)
	}
	conn, err := net.Dial("tcp", w.listen) // it stays quiet, and is ended: a reset tells that nothing was read
	if err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a quiet connection at the end: %v", err)
	}
	if crossed := w.ask(5*time.Second, book("a", "crossed")); crossed != "$7\r\ncrossed\r\n" {
		t.Errorf("brought again on a new connection: %q", crossed)
	}
	if before := <-got; before != "$6\r\nbefore\r\n" {
		t.Errorf("taken before the signal: %q", before)
	}
	w.ends()
}

// SIGHUP: the list and the platform are where the file says by then, commands in hand go on, and a file that
// cannot be read changes nothing. It ended the program on the socket bench.
func TestReadsAgain(t *testing.T) {
	w := start(t, 1024)
	desk, other, called := local(t), local(t), make(chan string, 99)
	list, asked := w.elsewhere()
	go func() {
		conn, err := desk.Accept()
		for in := bufio.NewScanner(conn); err == nil && in.Scan(); {
			called <- in.Text()
		}
	}()
	go redcon.Serve(other, w.instance, nil, nil)
	old := w.config.Load().(string)
	got := make(chan string, 1)
	go func() { got <- w.ask(900*time.Millisecond, book("slow", "kept")) }()
	time.Sleep(50 * time.Millisecond)
	for _, text := range []string{`{"name":"n0"`, at("discovery", "nowhere", old),
		at("discovery", list.Addr().String(), at("address", desk.Addr().String(), old))} {
		w.config.Store(text)
		for range 2 { // the second may come before the first has settled
			w.again <- syscall.SIGHUP
		}
		time.Sleep(100 * time.Millisecond)
	}
	for name, from := range map[string]chan string{"/discovery/hosts?after=1": asked, `"listen"`: called} {
		select {
		case text := <-from:
			if !strings.Contains(text, name) {
				t.Errorf("%q was asked, want %q", text, name)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("%s is not asked for where the file says", name)
		}
	}
	w.told <- `{"revision":2,"members":[` + member(other.Addr().String(), "up") + `]}`
	if kept := <-got; kept != "$4\r\nkept\r\n" {
		t.Errorf("in hand meanwhile: %q", kept)
	}
	if after := w.ask(300*time.Millisecond, book("a", "after")); after != "$5\r\nafter\r\n" {
		t.Errorf("afterwards: %q", after)
	}
}

// at puts another address in the place of the one that a configuration names.
func at(name, address string, text string) string {
	head, tail, _ := strings.Cut(text, name+`":"`)
	return head + name + `":"` + address + tail[strings.Index(tail, `"`):]
}

// SIGTERM, twice, upon a connection that has brought half a command and one whose command lies unread: both are
// answered, and so is one that comes on a connection that stays open.
func TestEndsUponHalfACommand(t *testing.T) {
	w := start(t, 1024)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", w.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		io.WriteString(conn, "PING\r\n")
		if line, err := bufio.NewReader(conn).ReadString('\n'); line != "+PONG\r\n" {
			t.Fatal(line, err)
		}
		return conn
	}
	halves := dial()
	var b []byte
	b = redcon.AppendArray(b, 5)
	for _, word := range strings.Split(book("a", "whole"), " ") {
		b = redcon.AppendBulkString(b, word)
	}
	halves.Write(b[:len(b)-9])
	first, err := net.Dial("tcp", w.listen) // its first command, in pieces
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	time.Sleep(50 * time.Millisecond)
	w.kind <- syscall.SIGTERM
	first.Write(redcon.AppendArray(nil, 1))
	time.Sleep(time.Second)
	w.kind <- syscall.SIGTERM
	first.Write([]byte("$4\r\nPING\r\n"))
	halves.Write(b[len(b)-9:])
	for name, c := range map[string]struct {
		conn net.Conn
		want string
	}{"halves": {halves, "$5\r\nwhole\r\n"}, "first": {first, "+PONG\r\n"}} {
		c.conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if got, err := io.ReadAll(c.conn); string(got) != c.want || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %q, %v; want %q and the end", name, got, err, c.want)
		}
	}
	w.ends()
}

// Socket bench, restarts amid long deadlines: what clients would still wait for was unanswered when the platform killed
// the program, 3.7 s after SIGTERM. All has its final answer by then, and the program ends by itself.
func TestAllIsAnsweredBeforeTheKill(t *testing.T) {
	w := startWith(t, 1024, strings.Replace(settings, `"give_up_ms":2000`, `"give_up_ms":20000`, 1))
	patient := func() string {
		return w.ask(5*time.Second, fmt.Sprintf("API.READ silent %d c=look,d=20000", ids.Add(1)))
	}
	got := make(chan string, 2)
	go func() { got <- patient() }()
	time.Sleep(50 * time.Millisecond)
	w.kind <- syscall.SIGTERM
	begun := time.Now()
	time.AfterFunc(time.Second, func() { got <- patient() })
	for range 2 {
		if one := <-got; !strings.HasPrefix(one, "-BUSY") || time.Since(begun) > 3600*time.Millisecond {
			t.Errorf("%q, %v after SIGTERM", one, time.Since(begun))
		}
	}
	select {
	case err := <-w.ended:
		if err != nil || time.Since(begun) > 4200*time.Millisecond {
			t.Errorf("%v, %v after SIGTERM", err, time.Since(begun))
		}
	case <-time.After(2 * time.Second):
		t.Error("it does not end")
	}
	w.kind <- syscall.SIGTERM // nothing is left to clean up
}

// SIGHUP after SIGTERM: what still serves asks for the list where it is by now.
func TestReadsAgainWhileEnding(t *testing.T) {
	w := start(t, 1024)
	list, asked := w.elsewhere()
	w.kind <- syscall.SIGTERM
	w.config.Store(at("discovery", list.Addr().String(), w.config.Load().(string)))
	time.Sleep(50 * time.Millisecond)
	w.again <- syscall.SIGHUP
	select {
	case <-asked:
	case <-time.After(500 * time.Millisecond):
		t.Error("the list is not asked for where the file says")
	}
	if got := w.ask(300*time.Millisecond, "PING"); got != "+PONG\r\n" {
		t.Errorf("meanwhile: %q", got)
	}
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	w.kind <- syscall.SIGTERM // nothing is left to clean up
}

// A restart while nothing else answers: the gateway is ready at once and serves by the list that it was given; a
// SIGTERM that came before is obeyed.
func TestReadyWithoutOthers(t *testing.T) {
	w := start(t, 1024)
	text := w.config.Load().(string)
	silent, listen := local(t), local(t) // accepted by the machine, and never answered
	listen.Close()
	for _, name := range []string{"discovery", "address"} {
		text = at(name, silent.Addr().String(), text)
	}
	text = at("peer_listen", "127.0.0.1:0", at("listen", listen.Addr().String(), text))
	kind, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- run([]byte(text), nil, kind, nil) }()
	other := &world{listen: listen.Addr().String()}
	begun := time.Now()
	for other.ask(100*time.Millisecond, "PING") != "+PONG\r\n" {
		if time.Since(begun) > 2*time.Second {
			t.Fatal("not ready")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got := other.ask(300*time.Millisecond, book("a", "x")); got != "$1\r\nx\r\n" {
		t.Errorf("served by the list of before: %q", got)
	}
	kind <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
	// Again at the same address, as after a kill right after an accept: that leaves connections of the old process.
	kind <- syscall.SIGTERM
	begun = time.Now()
	if err := run([]byte(text), nil, kind, nil); err != nil || time.Since(begun) > 3*time.Second {
		t.Errorf("told to end before it was ready: %v after %v", err, time.Since(begun))
	}
}

// SIGHUP and SIGTERM in the same moment, in either order: the file is read, and the program ends in its time.
func TestReloadCrossesTheEnd(t *testing.T) {
	w := start(t, 1024)
	list, asked := w.elsewhere()
	w.config.Store(at("discovery", list.Addr().String(), w.config.Load().(string)))
	w.again <- syscall.SIGHUP
	w.kind <- syscall.SIGTERM
	w.again <- syscall.SIGHUP
	begun := time.Now()
	if got := w.ask(300*time.Millisecond, book("a", "x")); got != "$1\r\nx\r\n" {
		t.Errorf("meanwhile: %q", got)
	}
	if err := <-w.ended; err != nil || time.Since(begun) > 2*time.Second || len(asked) == 0 {
		t.Errorf("%v after %v, %d calls for the list where the file says", err, time.Since(begun), len(asked))
	}
	w.kind <- syscall.SIGTERM // nothing is left to clean up
}

// An answer, a reset and a time-out come in the same moment, swept over it: each command that may not be repeated
// runs once at most, also one that the instance turned away before, and gets one final answer, its own.
func TestNothingRunsTwice(t *testing.T) {
	const commands, machines, patience = 240, 12, 300 * time.Millisecond
	var ran sync.Map // how often each body was begun
	serve := func(conn net.Conn) {
		defer conn.Close()
		for in := bufio.NewReader(conn); ; {
			body, err := lastWord(in)
			if err != nil {
				return
			}
			n, _ := ran.LoadOrStore(body, new(atomic.Int64))
			number, _ := strconv.Atoi(body)
			if number%4 == 3 && n.(*atomic.Int64).CompareAndSwap(0, -1) { // turned away, which proves that it never ran
				io.WriteString(conn, "-BUSY\r\n")
				continue
			}
			n.(*atomic.Int64).Add(1)
			answer := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(body), body)
			switch number % 3 {
			case 1: // about when its client gives up
				time.Sleep(patience + time.Duration(number%50-40)*time.Millisecond)
			case 2: // with time left for a further delivery: all of the answer and a reset, a part, or none
				io.WriteString(conn, answer[:number%5*len(answer)/4])
				conn.(*net.TCPConn).SetLinger(0)
				return
			}
			io.WriteString(conn, answer)
		}
	}
	w := start(t, 1024)
	var members []string
	for i := range machines {
		instance := local(t)
		members = append(members, strings.Replace(member(instance.Addr().String(), "up"), "s-1", fmt.Sprint("s-", i), 1))
		go func() {
			for {
				conn, err := instance.Accept()
				if err != nil {
					return
				}
				go serve(conn)
			}
		}()
	}
	w.told <- `{"revision":2,"complete":true,"members":[` + strings.Join(members, ",") + `]}`
	time.Sleep(1300 * time.Millisecond)
	var all sync.WaitGroup
	for i := range commands {
		all.Go(func() {
			patience := patience
			if i%3 == 2 {
				patience *= 4
			}
			text := fmt.Sprintf("API.WRITE k once-%d c=book,d=%d %d", i, patience.Milliseconds(), i)
			got := w.ask(patience+300*time.Millisecond, text)
			own := string(redcon.AppendBulkString(nil, fmt.Sprint(i)))
			if got != own && got != "-ERR failed\r\n" && !strings.HasPrefix(got, "-BUSY") || strings.Count(got, "\n") > 2 {
				t.Errorf("command %d got %q", i, got)
			}
		})
		if i%6 == 5 {
			time.Sleep(40 * time.Millisecond)
		}
	}
	all.Wait()
	begun := 0
	ran.Range(func(body, n any) bool {
		begun++
		if n := n.(*atomic.Int64).Load(); n > 1 {
			t.Errorf("command %s ran %d times", body, n)
		}
		return true
	})
	if begun < 15 { // the gateway leaves machines alone that break off commands
		t.Errorf("only %d of %d commands came to the instance", begun, commands)
	}
}

// lastWord reads a command and gives its last word.
func lastWord(in *bufio.Reader) (word string, err error) {
	head, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	words, err := strconv.Atoi(strings.Trim(head, "*\r\n"))
	for range 2 * words {
		if word, err = in.ReadString('\n'); err != nil {
			return "", err
		}
	}
	return strings.TrimRight(word, "\r\n"), err
}

// Where the operator has builds vouched for, one whose target is not signed gets nothing: commands are refused in their
// time, with a time to come back. Once the release desk has signed it, it serves; while the mirrors fail it serves on.
func TestOnlyWhatWasSigned(t *testing.T) {
	repo := tuftest.NewRepository(true, time.Now)
	m := tuftest.NewMirror(repo.Files)
	defer m.Close()
	folder := t.TempDir()
	if err := os.WriteFile(folder+"/root.json", repo.InitialRoot(), 0o600); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`{"root":"root.json","store":"kept","mirrors":[%q],"refresh_every_ms":1000,"stall_ms":200,"builds":"builds/{build}.json"}`, m.URL)
	if err := os.WriteFile(folder+"/trust.json", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RELAY_TRUST", folder+"/trust.json")
	w := start(t, 1024)
	time.Sleep(300 * time.Millisecond)
	if got := w.ask(time.Second, book("a", "x")); !strings.HasPrefix(got, "-BUSY ") || w.ran.Load() > 0 {
		t.Errorf("not signed: %q, %d ran", got, w.ran.Load())
	}
	repo.AddTarget(metadata.TARGETS, "builds/1.json", []byte("{}"), 0)
	repo.Publish()
	m.SetFiles(repo.Files)
	begun := time.Now()
	for w.ask(time.Second, book("a", "x")) != "$1\r\nx\r\n" {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("signed, and yet it gets nothing")
		}
	}
	m.SetFault(tuftest.StallAfter(0))
	time.Sleep(1500 * time.Millisecond)
	if got := w.ask(time.Second, book("a", "x")); got != "$1\r\nx\r\n" {
		t.Errorf("while the mirrors fail: %q", got)
	}
	w.kind <- syscall.SIGTERM
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	w.kind <- syscall.SIGTERM // nothing is left to clean up
	if s, err := store.Open(folder + "/kept"); err != nil || len(s.Records()) == 0 {
		t.Errorf("what it kept: %v", err)
	} else {
		s.Close()
	}
	// A file with a fault ends the start.
	if err := os.WriteFile(folder+"/trust.json", []byte(`{"root":"root.json"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := run([]byte(w.config.Load().(string)), nil, nil, nil); err == nil || !strings.Contains(err.Error(), `field "mirrors": is missing`) {
		t.Errorf("an operator's file with a fault: %v", err)
	}
}

// A flood of commands while metadata are refreshed each second: none is lost or late, and the refreshes go on. What it
// costs the commands is logged.
func TestRefreshUnderAFlood(t *testing.T) {
	const clients, each = 24, 100
	repo := tuftest.NewRepository(true, time.Now)
	repo.AddTarget(metadata.TARGETS, "builds/1.json", []byte("{}"), 0)
	repo.Publish()
	m := tuftest.NewMirror(repo.Files)
	defer m.Close()
	folder := t.TempDir()
	os.WriteFile(folder+"/root.json", repo.InitialRoot(), 0o600)
	os.WriteFile(folder+"/trust.json", fmt.Appendf(nil, `{"root":"root.json","store":"kept","mirrors":[%q],"refresh_every_ms":1000,"builds":"builds/{build}.json"}`, m.URL), 0o600)
	for _, file := range []string{"", folder + "/trust.json"} {
		t.Setenv("RELAY_TRUST", file)
		w := start(t, 1024)
		time.Sleep(400 * time.Millisecond)
		var allocs [2]runtime.MemStats
		runtime.ReadMemStats(&allocs[0])
		asked := m.Requests.Load()
		took := make(chan time.Duration, clients*each)
		var all sync.WaitGroup
		for range clients {
			all.Go(func() {
				conn, err := net.Dial("tcp", w.listen)
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				in := bufio.NewReader(conn)
				for range each {
					var b []byte
					b = redcon.AppendArray(b, 4)
					for _, word := range strings.Split(read("a"), " ") {
						b = redcon.AppendBulkString(b, word)
					}
					begun := time.Now()
					conn.Write(b)
					conn.SetReadDeadline(begun.Add(2 * time.Second))
					if line, err := in.ReadString('\n'); err != nil || line[0] == '-' && !strings.HasPrefix(line, "-BUSY") {
						t.Errorf("%q, %v", line, err)
						return
					} else if line[0] == '$' {
						in.ReadString('\n')
					}
					took <- time.Since(begun)
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
		all.Wait()
		close(took)
		runtime.ReadMemStats(&allocs[1])
		var sorted []time.Duration
		for one := range took {
			sorted = append(sorted, one)
		}
		slices.Sort(sorted)
		n := len(sorted)
		if n != clients*each {
			t.Errorf("%d of %d commands got an answer", n, clients*each)
			continue
		}
		t.Logf("metadata refreshed: %t; %d commands: p50 %v, p99 %v, %d allocations a command; %d requests to the mirror", file != "",
			n, sorted[n/2].Round(time.Microsecond), sorted[n*99/100].Round(time.Microsecond), (allocs[1].Mallocs-allocs[0].Mallocs)/uint64(n), m.Requests.Load()-asked)
		if file != "" && m.Requests.Load()-asked < 2 {
			t.Error("the flood keeps the metadata from being refreshed")
		}
		w.kind <- syscall.SIGTERM
		<-w.ended
		w.kind <- syscall.SIGTERM // nothing is left to clean up
	}
}

// A bad configuration is told in one line, before anything listens.
func TestBadConfigurations(t *testing.T) {
	for text, want := range map[string]string{"{": "JSON", "{}": `field "name" is missing`} {
		if err := run([]byte(text), nil, nil, nil); err == nil || !strings.Contains(err.Error(), want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// The level of the log is read from the environment, and a word that names none is told.
func TestLogLevel(t *testing.T) {
	for text, want := range map[string]slog.Level{"": slog.LevelInfo, "debug": slog.LevelDebug, "error": slog.LevelError} {
		if level, err := logLevel(text); err != nil || level != want {
			t.Errorf("%q is level %v, %v", text, level, err)
		}
	}
	if _, err := logLevel("loud"); err == nil || !strings.Contains(err.Error(), "RELAY_LOG_LEVEL") {
		t.Errorf("an unknown level: %v", err)
	}
}
