package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"laurelring/choice"
	"laurelring/internal/protocol"
)

const (
	inHandMost  = 32              // commands of one connection that wait for their answers
	answerFor   = 5 * time.Second // a client that takes no answer for so long is cut off
	acceptAgain = 5 * time.Millisecond
	beyondMost  = 8 // clients beyond the limit, whose commands find no room
	// A client brings its next command within this time, or is quiet. While the gateway ends it waits as long for
	// a last one.
	bringsWithin = 300 * time.Millisecond
)

// Front takes commands from clients and brings them their answers.
type Front struct {
	budget     *Budget
	complaints *Complaints
	room       *semaphore.Weighted // bytes of commands in hand
	longest    int64               // a client waits
	beyond     chan struct{}       // holds one for each client beyond the limit
	ops        map[string]*choice.OpType
	take       func(op *choice.OpType, key uint64, left int64, again func(within int64) []byte, to *Answer)
	gone       func(to *Answer)

	mu      sync.Mutex
	clients []*client // the longest quiet first
	closing bool
}

// NewFront takes how many bytes of commands may be in hand, the longest time for which a client is taken to
// wait, the op types by their names, and whom to tell of a command and of a client that left before its
// answer.
func NewFront(budget *Budget, complaints *Complaints, room, longest int64, ops map[string]*choice.OpType,
	take func(op *choice.OpType, key uint64, left int64, again func(within int64) []byte, to *Answer),
	gone func(to *Answer)) *Front {
	f := &Front{budget: budget, complaints: complaints, room: semaphore.NewWeighted(room), longest: longest,
		beyond: make(chan struct{}, beyondMost), ops: ops, take: take, gone: gone}
	budget.join(f)
	return f
}

// Serve accepts connections until the listener is closed.
func (f *Front) Serve(ln net.Listener) error { return redcon.Serve(&door{ln, f}, f.begin, nil, nil) }

// door is the listener that redcon accepts from: its connections count against the budget and carry whole
// commands only.
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
		c := &client{Conn: conn, front: f, buffer: protocol.NewBuffer(protocol.CommandMost), activeAt: time.Now()}
		if c.within = f.budget.take(f); c.within {
			c.release = f.budget.give
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
	if !c.within && !c.shut && c.front.budget.free() {
		c.release()
		c.within, c.release = true, c.front.budget.give
	}
	return c.within
}

// client is one connection of a client. It ends in Close, which alone gives its place back.
type client struct {
	net.Conn
	front    *Front
	buffer   *protocol.Buffer
	commands protocol.Commands
	ready    int    // bytes of a whole command that the buffer begins with
	standIn  []byte // handed out in place of a command that cannot be
	lost     bool   // its framing

	mu       sync.Mutex
	inHand   int // commands read and not yet answered
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
	if !c.shut {
		c.inHand++
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

// endQuiet ends a connection that has no command in hand and had none for so long, if such as are within the
// limit or beyond it are to end.
func (c *client) endQuiet(since time.Duration, within, beyond bool) bool {
	c.mu.Lock()
	quiet := !c.shut && c.inHand == 0 && (c.within && within || !c.within && beyond) && time.Since(c.activeAt) >= since
	c.shut = c.shut || quiet
	c.mu.Unlock()
	if quiet {
		c.reset()
		c.Close()
	}
	return quiet
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

// Read hands whole commands to redcon, one at a time.
func (c *client) Read(p []byte) (int, error) {
	for {
		if len(c.standIn) > 0 {
			n := copy(p, c.standIn)
			c.standIn = c.standIn[n:]
			return n, nil
		}
		if c.ready > 0 {
			n := copy(p, c.buffer.Bytes()[:c.ready])
			c.buffer.Drop(n)
			c.ready -= n
			return n, nil
		}
		if c.lost {
			return 0, io.EOF
		}
		size, large, err := c.commands.Next(c.buffer)
		if err != nil {
			c.lost, c.standIn = true, protocol.BadFrame
		} else if large {
			c.standIn = protocol.TooLarge
		} else {
			c.ready = size
		}
		if len(c.standIn)+c.ready > 0 {
			if !c.hold() { // it crossed the end
				return 0, io.EOF
			}
		} else {
			n, err := c.Conn.Read(c.buffer.Room())
			c.buffer.Add(n)
			if n == 0 && err != nil {
				return 0, err
			}
		}
	}
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

// begin takes a connection over from redcon on its first command, so that a client that leaves is seen while
// its command is in hand, and a listener that closes takes no connection along.
func (f *Front) begin(conn redcon.Conn, first redcon.Command) {
	c, detached := conn.NetConn().(*client), conn.Detach()
	s := &session{client: c, conn: detached, answers: make(chan *Answer, inHandMost), left: make(chan struct{}),
		cut: make(chan struct{})}
	go s.write()
	go s.read(first)
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

// closeIdle closes the connection that has been quiet for longest.
func (f *Front) closeIdle() bool {
	return slices.ContainsFunc(f.all(), func(c *client) bool { return c.endQuiet(bringsWithin, true, false) })
}

// session is a client's connection once it has sent a command: its reader tells of commands and of the
// client's leaving, its writer brings the answers in the order of the commands.
type session struct {
	client  *client
	conn    redcon.DetachedConn
	answers chan *Answer
	left    chan struct{} // closed when the client has left
	cut     chan struct{} // closed when no more answers go out
}

// Answer is the place of a command's final answer.
type Answer struct {
	once sync.Once
	done chan struct{}
	text net.Buffers
	size int64 // of its command
}

func (a *Answer) end(parts ...[]byte) {
	a.once.Do(func() {
		a.text = parts
		close(a.done)
	})
}

// Acked gives the value that an instance gave.
func (a *Answer) Acked(value []byte) { a.end(protocol.BulkHead(len(value)), value, protocol.End) }

// Nacked tells that trying again is harmless, and when to, if there is such a time.
func (a *Answer) Nacked(after int64) { a.end(redcon.AppendError(nil, protocol.Refused(after))) }

// Failed promises nothing.
func (a *Answer) Failed() { a.end(redcon.AppendError(nil, protocol.Failed)) }

// refuse answers what cannot be taken as a command.
func (f *Front) refuse(a *Answer, why string) {
	a.end(redcon.AppendError(nil, "ERR "+why))
	f.complaints.Complain("a client sent what cannot be taken", "cause", why)
}

func (s *session) read(cmd redcon.Command) {
	var inHand []*Answer
	for err := error(nil); err == nil; cmd, err = s.conn.ReadCommand() {
		a := &Answer{done: make(chan struct{}), size: int64(len(cmd.Raw))}
		s.client.front.room.Acquire(context.Background(), a.size) // others' answers make room
		select {
		case s.answers <- a:
		case <-s.cut:
			s.client.front.room.Release(a.size)
		}
		inHand = append(slices.DeleteFunc(inHand, (*Answer).isDone), a)
		s.client.front.command(cmd, a, s.client.admit())
	}
	close(s.answers)
	if s.client.lost {
		return // the client is there and is owed its answers
	}
	close(s.left)
	for _, a := range inHand {
		if !a.isDone() {
			s.client.front.gone(a)
		}
	}
}

func (a *Answer) isDone() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// command takes one command in. One for which there is no room has no time left: it gets its final answer.
func (f *Front) command(cmd redcon.Command, a *Answer, room bool) {
	switch name := strings.ToUpper(string(cmd.Args[0])); name {
	case "API.READ", "API.WRITE":
		op, key, left, again, err := protocol.Decode(cmd.Args, f.ops)
		if err != nil {
			f.refuse(a, err.Error())
			return
		}
		if !room {
			left = 0
		}
		f.take(op, key, min(left, f.longest), again, a)
	case "PING":
		a.end(redcon.AppendString(nil, "PONG"))
	case "TOO.LARGE":
		f.refuse(a, "a command is larger than 64 KiB")
	case "BAD.FRAME":
		f.refuse(a, "Protocol error")
	default:
		f.refuse(a, "unknown command")
	}
}

// write brings the answers out until the client has left or takes none.
func (s *session) write() {
	defer func() {
		close(s.cut)
		s.client.Close()
		for a := range s.answers { // until the reader has seen the end
			s.client.front.room.Release(a.size)
		}
	}()
	for a := range s.answers {
		ok := s.bring(a)
		s.client.front.room.Release(a.size)
		if !ok {
			return
		}
		s.client.free()
	}
}

// bring waits for an answer and writes it; it tells whether the client took it.
func (s *session) bring(a *Answer) bool {
	select {
	case <-a.done:
	case <-s.left:
		return false
	}
	s.client.SetWriteDeadline(time.Now().Add(answerFor))
	_, err := a.text.WriteTo(s.client.Conn)
	return err == nil
}
