package transport

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

const (
	acceptAgain = 5 * time.Millisecond
	beyondMost  = 8 // clients beyond the limit, whose commands find no room
	// A client brings its next command within this time, or is quiet. While the gateway ends it waits as long for
	// a last one.
	bringsWithin = 300 * time.Millisecond
	firstWithin  = 2500 * time.Millisecond // a client that brings no whole command by then is ended
	quietFor     = 2 * time.Second         // between two commands: some ask once and stay for good
	newWithin    = 50 * time.Millisecond   // where room is short one that has been quiet for so long may go
	// Clients open no further connections beyond a part of the descriptors: what stands quiet keeps others out.
	// Beyond this part of them the longest quiet ones go, so often.
	quietPart  = 0.2
	sweepEvery = 50 * time.Millisecond
)

// Front takes commands from clients and brings them their answers.
type Front struct {
	share      *Share
	complaints *Complaints
	room       *semaphore.Weighted         // bytes of commands in hand
	longest    time.Duration               // a client waits
	beyond     chan struct{}               // holds one for each client beyond the limit
	manyQuiet  int                         // connections that have brought a command and may stand quiet
	ops        map[string]*decision.OpType // by the words that ask for them
	take       func(request protocol.Request, to *Answer)
	gone       func(to *Answer)

	mu      sync.Mutex
	clients []*client // the longest quiet first
	closing bool
}

// NewFront takes how many bytes of commands may be in hand, the longest time for which a client is taken to
// wait, the op types by the words that ask for them, and whom to tell of a command and of a client that left
// before its answer.
func NewFront(budget *Budget, complaints *Complaints, room int64, longest time.Duration, ops map[string]*decision.OpType,
	take func(request protocol.Request, to *Answer),
	gone func(to *Answer)) *Front {
	f := &Front{complaints: complaints, room: semaphore.NewWeighted(room), longest: longest,
		beyond: make(chan struct{}, beyondMost), ops: ops, take: take, gone: gone}
	f.share, f.manyQuiet = budget.join(f, clientsPart), int(quietPart*float64(budget.most))
	return f
}

// Serve accepts connections until the listener is closed.
func (f *Front) Serve(ln net.Listener) error {
	sweep, done := time.NewTicker(sweepEvery), make(chan struct{})
	defer sweep.Stop()
	defer close(done)
	go func() {
		for {
			select {
			case <-sweep.C:
				f.endMany()
			case <-done:
				return
			}
		}
	}()
	return redcon.Serve(&door{ln, f}, f.begin, nil, nil)
}

// endMany ends the longest quiet of the connections that have brought a command, where there are too many.
func (f *Front) endMany() {
	all := slices.DeleteFunc(f.all(), func(c *client) bool { return !c.hasBrought() })
	for _, c := range all[:max(0, len(all)-f.manyQuiet)] {
		c.endQuiet(newWithin, true, false)
	}
}

// door is the listener that redcon accepts from: its connections count against the budget.
type door struct {
	net.Listener
	front *Front
}

// Accept waits for a client. One for which there is no descriptor is taken beyond the limit, so that its
// commands get an answer: what waits outside has been taken all the same, as the machine has accepted it.
func (d *door) Accept() (net.Conn, error) {
	for {
		conn, err := d.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil { // the machine is short of something: redcon would ask again at once
			time.Sleep(acceptAgain)
			continue
		}
		f := d.front
		c := &client{Conn: conn, front: f, buffer: protocol.NewBuffer(protocol.MaxRequestSize), activeAt: time.Now()}
		c.within = f.share.take()
		for begun := time.Now(); !c.within && f.crowded() && time.Since(begun) < newWithin; c.within = f.share.take() {
			time.Sleep(acceptAgain)
		}
		if c.within {
			c.release = f.share.give
		} else {
			f.goBeyond(c)
		}
		f.mu.Lock()
		f.clients = append(f.clients, c)
		closing := f.closing
		f.mu.Unlock()
		if closing || !c.within { // while closing it may bring again what crossed the end of another
			c.endLater()
		}
		return c, nil
	}
}

// goBeyond finds a place beyond the limit; where none is left a quiet client there has to go.
func (f *Front) goBeyond(c *client) {
	c.release = func() { <-f.beyond }
	select {
	case f.beyond <- struct{}{}:
		return
	default:
	}
	for _, o := range f.all() {
		if o.endQuiet(0, false, true) {
			break
		}
	}
	f.beyond <- struct{}{}
}

// admit tells whether a connection is within the limit, or can be by now.
func (c *client) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.within && !c.shut && c.front.share.free() {
		c.release()
		c.within, c.release = true, c.front.share.give
	}
	return c.within
}

// client is one connection of a client. It ends in Close, which alone gives its place back.
type client struct {
	net.Conn
	front    *Front
	buffer   *protocol.Buffer
	commands protocol.RequestScanner
	greeted  bool      // redcon has been handed what it passes the connection on for
	begunAt  time.Time // when a command that is not whole was first met; zero if there is none
	lost     bool      // its framing

	mu       sync.Mutex
	inHand   int  // commands read and not yet answered
	brought  bool // one was read
	halfway  bool // another has begun
	activeAt time.Time
	shut     bool   // no further command is read
	within   bool   // the limit
	release  func() // gives back its descriptor, or its place beyond the limit
	once     sync.Once
}

// hold counts a command that was read; none is any more once the connection is to be closed.
func (c *client) hold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.halfway = false; !c.shut {
		c.inHand++
		c.brought = true
	}
	return !c.shut
}

// free counts one that was answered.
func (c *client) free() {
	c.mu.Lock()
	c.inHand, c.activeAt = c.inHand-1, time.Now()
	within := c.within
	c.mu.Unlock()
	f := c.front
	f.mu.Lock()
	if at := slices.Index(f.clients, c); at >= 0 && f.clients[len(f.clients)-1] != c {
		f.clients = append(slices.Delete(f.clients, at, at+1), c)
	}
	closing := f.closing
	f.mu.Unlock()
	if closing {
		c.endQuiet(0, true, true)
	} else if !within {
		c.endLater()
	}
}

// endLater ends the connection if it is quiet after a while and the gateway ends or it is beyond the limit.
func (c *client) endLater() {
	time.AfterFunc(bringsWithin, func() { c.endQuiet(bringsWithin, c.front.isClosing(), true) })
}

// endNew ends a connection within the limit that has brought nothing for a while.
func (c *client) endNew() bool { return !c.hasBrought() && c.endQuiet(newWithin, true, false) }

func (c *client) hasBrought() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.brought
}

// endQuiet ends a connection that has no command in hand and had none for so long, if such as are within the
// limit or beyond it are to end. One on which a command is on its way stays, unless it would be the first and
// room is short.
func (c *client) endQuiet(since time.Duration, within, beyond bool) bool {
	closing := c.front.isClosing()
	c.mu.Lock()
	quiet := !c.shut && c.inHand == 0 && (c.within && within || !c.within && beyond) && time.Since(c.activeAt) >= since
	if quiet && (c.brought || closing) {
		quiet = !c.halfway && !c.unread()
	}
	c.shut = c.shut || quiet
	c.mu.Unlock()
	if quiet {
		slog.Debug("a client's connection is closed", "client", c.RemoteAddr(), "reason", "quiet", "ending", closing)
		c.reset()
		c.Close()
	}
	return quiet
}

// unread tells whether bytes of the client wait to be read.
func (c *client) unread() bool {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n, err := peek(raw)
	return err == nil && n > 0
}

// reset has the connection end in a reset where all answers have arrived. It tells a client that what crossed
// the end was not read, so that it may bring it again; an orderly end after a whole command would not.
func (c *client) reset() {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	arrived := false
	raw.Control(func(fd uintptr) {
		waiting, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		arrived = err == nil && waiting == 0
	})
	if arrived {
		conn.SetLinger(0)
	}
}

// greeting is what redcon reads first on each connection: it passes the connection on.
var greeting = []byte("*1\r\n$5\r\nBEGIN\r\n")

// Read hands redcon the greeting, and nothing after it: the connection's session reads by itself. redcon's
// own buffers are so let go of at once: a connection that stands for long would keep them at their largest.
func (c *client) Read(p []byte) (int, error) {
	if c.greeted {
		return 0, io.EOF
	}
	c.greeted = true
	return copy(p, greeting), nil
}

// next reads the client's next command, or what is wrong with what came in its place. An error says that the
// connection has ended, be it by the gateway itself.
func (c *client) next() (cmd redcon.Command, fault string, err error) {
	for {
		size, large, err := c.commands.Next(c.buffer)
		switch {
		case err != nil:
			c.lost, fault = true, "Protocol error"
		case large:
			fault = "a command is larger than 64 KiB"
		case size > 0:
			raw := bytes.Clone(c.buffer.Bytes()[:size])
			c.buffer.Discard(size)
			if cmd, err = redcon.Parse(raw); err != nil {
				c.lost, fault = true, "Protocol error"
			}
		case !c.await():
			c.lost, fault = true, "a command does not end"
		default:
			n, err := c.Conn.Read(c.buffer.Space())
			c.buffer.Commit(n)
			if late := net.Error(nil); n == 0 && err != nil && !(errors.As(err, &late) && late.Timeout()) {
				return cmd, "", err
			}
			continue
		}
		c.begunAt = time.Time{}
		if !c.hold() { // it crossed the end
			return cmd, "", io.EOF
		}
		return cmd, fault, nil
	}
}

// leaves passes over what comes after a lost framing and tells whether the client ended the connection, rather
// than the gateway.
func (c *client) leaves() bool {
	c.SetReadDeadline(time.Time{})
	n, err := io.CopyN(io.Discard, c.Conn, passedMost)
	return n < passedMost && !errors.Is(err, net.ErrClosed)
}

// await sets until when the next bytes are waited for: a command that has begun is whole in a while, a first
// one comes in a while. It ends a connection on which none does, and tells whether no command stops halfway.
func (c *client) await() bool {
	now := time.Now()
	if len(c.buffer.Bytes()) > 0 || c.commands.Started() {
		if c.begunAt.IsZero() {
			c.begunAt = now
			c.mu.Lock()
			c.halfway = true
			c.mu.Unlock()
		}
		over := c.begunAt.Add(firstWithin)
		c.SetReadDeadline(over)
		return now.Before(over)
	}
	c.mu.Lock()
	within, since := quietFor, c.activeAt
	if !c.brought {
		within = firstWithin
	}
	if c.inHand > 0 {
		since = now
	}
	c.mu.Unlock()
	over := since.Add(within)
	if !now.Before(over) {
		c.endQuiet(within, true, true)
		over = now.Add(within)
	}
	c.SetReadDeadline(over)
	return true
}

// Close ends the connection.
func (c *client) Close() error {
	c.once.Do(func() {
		f := c.front
		f.mu.Lock()
		if at := slices.Index(f.clients, c); at >= 0 {
			f.clients = slices.Delete(f.clients, at, at+1)
		}
		f.mu.Unlock()
		c.Conn.Close()
		c.mu.Lock()
		c.shut = true
		c.release()
		c.mu.Unlock()
	})
	return nil
}

// begin takes a connection over from redcon, so that a client that leaves is seen while its command is in
// hand, and a listener that closes takes no connection along.
func (f *Front) begin(conn redcon.Conn, _ redcon.Command) {
	c := conn.NetConn().(*client)
	conn.Detach()
	go newSession(c).read()
}

// Drain closes the connections of clients as each has no command in hand. New ones are served all the same:
// a client sends again what crossed the end of its connection.
func (f *Front) Drain() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	for _, c := range f.all() {
		if !c.endQuiet(bringsWithin, true, true) { // one that is new may still bring its first
			c.endLater()
		}
	}
}

// all gives the connections, the longest quiet first.
func (f *Front) all() []*client {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.clients)
}

func (f *Front) isClosing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closing
}

// Rest waits until every client's connection has ended and none has come for a while, but no longer than so
// long, and tells how many are left.
func (f *Front) Rest(within time.Duration) int {
	begun := time.Now()
	for last := begun; ; time.Sleep(acceptAgain) {
		f.mu.Lock()
		n := len(f.clients)
		f.mu.Unlock()
		if n > 0 {
			last = time.Now()
		}
		if time.Since(last) > bringsWithin || time.Since(begun) > within {
			return n
		}
	}
}

// closeIdle closes a connection that has brought nothing, or else the one that has been quiet for longest.
func (f *Front) closeIdle() bool {
	all := f.all()
	return slices.ContainsFunc(all, (*client).endNew) ||
		slices.ContainsFunc(all, func(c *client) bool { return c.endQuiet(newWithin, true, false) })
}

// crowded tells whether some have brought nothing yet: they will make room soon, by a command or their end.
func (f *Front) crowded() bool {
	return slices.ContainsFunc(f.all(), func(c *client) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.within && !c.brought
	})
}
