package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sync/semaphore"

	"laurelring/choice"
	"laurelring/internal/protocol"
)

const (
	inHandMost  = 32              // commands of one connection that wait for their answers
	answerFor   = 5 * time.Second // a client that takes no answer for so long is cut off
	acceptAgain = 5 * time.Millisecond
	beyondMost  = 8 // clients beyond the limit, whose commands are refused
	// A new connection is not quiet before it has had so long to bring its command. While the gateway ends it
	// waits so long for a last one.
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
	f := &Front{budget: budget, complaints: complaints, room: semaphore.NewWeighted(room), longest: longest, ops: ops, beyond: make(chan struct{}, beyondMost), take: take, gone: gone}
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
// commands can be refused; with several of these the next ones wait outside.
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
		if c.within = f.budget.take(f); !c.within {
			f.beyond <- struct{}{}
		}
		f.mu.Lock()
		f.clients = append(f.clients, c)
		closing := f.closing
		f.mu.Unlock()
		if closing || !c.within { // while closing it may bring again what crossed the end of another
			c.closeLater()
		}
		return c, nil
	}
}

// admit tells whether a connection is within the limit, or can be by now.
func (c *client) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.within && !c.shut && c.front.budget.free() {
		c.within = true
		<-c.front.beyond
	}
	return c.within
}

// client is one connection of a client. It ends in Close, which alone gives its descriptor back.
type client struct {
	net.Conn
	front    *Front
	buffer   *protocol.Buffer
	commands protocol.Commands
	ready    int         // bytes of a whole command that the buffer begins with
	standIn  []byte      // handed out in place of a command that cannot be
	reading  atomic.Bool // bytes have come that may be a command
	lost     bool        // its framing

	mu       sync.Mutex
	inHand   int  // commands read and not yet answered
	served   bool // one was answered
	activeAt time.Time
	shut     bool // no further command is read
	within   bool // the limit; its descriptor is the budget's
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
	c.inHand, c.served, c.activeAt = c.inHand-1, true, time.Now()
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
		c.closeQuiet()
	} else if !within {
		c.closeLater()
	}
}

// closeLater closes the connection if it is quiet after a while.
func (c *client) closeLater() {
	time.AfterFunc(bringsWithin, func() {
		c.mu.Lock()
		busy := time.Since(c.activeAt) < bringsWithin || c.within && !c.front.isClosing()
		c.mu.Unlock()
		if !busy {
			c.closeQuiet()
		}
	})
}

// closeQuiet closes the connection unless a command is in hand, lies unread, or may be on its way for the first
// time. What comes after the look is the client's to send again.
func (c *client) closeQuiet() bool {
	c.mu.Lock()
	quiet := c.inHand == 0 && !c.shut && (c.served || time.Since(c.activeAt) >= bringsWithin) &&
		!c.reading.Load() && !unread(c.Conn)
	c.shut = c.shut || quiet
	c.mu.Unlock()
	if quiet {
		c.Close()
	}
	return quiet
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
			if !c.hold() {
				return 0, io.EOF
			}
		} else {
			room := c.buffer.Room()
			c.reading.Store(false)
			n, err := c.Conn.Read(room)
			c.reading.Store(n > 0)
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
		within := c.within
		c.shut = true
		c.mu.Unlock()
		if within {
			f.budget.give()
		} else {
			<-f.beyond
		}
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
	all := slices.Clone(f.clients)
	f.mu.Unlock()
	for _, c := range all {
		if !c.closeQuiet() {
			c.closeLater()
		}
	}
}

func (f *Front) isClosing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closing
}

// unread tells whether bytes that have come lie unread in a connection.
func unread(conn net.Conn) bool {
	some := false
	if raw, err := conn.(syscall.Conn).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			some = err == nil && n > 0
		})
	}
	return some
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
	f.mu.Lock()
	all := slices.Clone(f.clients)
	f.mu.Unlock()
	return slices.ContainsFunc(all, (*client).closeQuiet)
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
		if s.client.admit() {
			s.client.front.command(cmd, a)
		} else {
			a.Nacked(0)
		}
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

// command takes one command in.
func (f *Front) command(cmd redcon.Command, a *Answer) {
	switch name := strings.ToUpper(string(cmd.Args[0])); name {
	case "API.READ", "API.WRITE":
		op, key, left, again, err := protocol.Decode(cmd.Args, f.ops)
		if err != nil {
			f.refuse(a, err.Error())
			return
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
