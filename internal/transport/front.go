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

	"laurelring/choice"
	"laurelring/internal/protocol"
)

const (
	inHandMost  = 32              // commands of one connection that wait for their answers
	answerFor   = 5 * time.Second // a client that takes no answer for so long is cut off
	acceptAgain = 5 * time.Millisecond
	// While the gateway ends, a new connection brings its command within this time or is closed. It also waits
	// so long for a last one.
	bringsWithin = 300 * time.Millisecond
)

// Front takes commands from clients and brings them their answers.
type Front struct {
	budget     *Budget
	complaints *Complaints
	room       *semaphore.Weighted // bytes of commands in hand
	longest    int64               // a client waits
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
	f := &Front{budget: budget, complaints: complaints, room: semaphore.NewWeighted(room), longest: longest, ops: ops, take: take, gone: gone}
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

// Accept waits for a client for which there is a descriptor.
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
		if f.budget.take(f) {
			c := &client{Conn: conn, front: f, buffer: protocol.NewBuffer(protocol.CommandMost)}
			f.mu.Lock()
			f.clients = append(f.clients, c)
			closing := f.closing
			f.mu.Unlock()
			if closing { // it may bring again what crossed the end of another
				time.AfterFunc(bringsWithin, func() { c.closeQuiet() })
			}
			return c, nil
		}
		conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
		conn.Write([]byte("-" + protocol.Refused(0) + "\r\n"))
		conn.Close()
	}
}

// client is one connection of a client. It ends in Close, which alone gives its descriptor back.
type client struct {
	net.Conn
	front    *Front
	buffer   *protocol.Buffer
	commands protocol.Commands
	ready    int    // bytes of a whole command that the buffer begins with
	standIn  []byte // handed out in place of a command that cannot be
	lost     bool   // its framing

	mu     sync.Mutex
	inHand int  // commands read and not yet answered
	shut   bool // no further command is read
	once   sync.Once
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
	c.inHand--
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
	}
}

// closeQuiet closes the connection unless a command is in hand.
func (c *client) closeQuiet() bool {
	c.mu.Lock()
	quiet := c.inHand == 0 && !c.shut
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
		f.budget.give()
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
		c.closeQuiet()
	}
}

// Rest waits until every client's connection has ended, but no longer than so long, and tells how many are
// left.
func (f *Front) Rest(within time.Duration) int {
	last, end := time.Now().Add(bringsWithin), time.Now().Add(within)
	for ; ; time.Sleep(acceptAgain) {
		f.mu.Lock()
		n := len(f.clients)
		f.mu.Unlock()
		if now := time.Now(); n == 0 && now.After(last) || now.After(end) {
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
		s.client.front.command(cmd, a)
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
