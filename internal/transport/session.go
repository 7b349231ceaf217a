package transport

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/internal/protocol"
)

const (
	inHandMost = 32                     // commands of one connection that wait for their answers
	answerFor  = 5 * time.Second        // a client that takes no answer for so long is cut off
	faultPause = 100 * time.Millisecond // what a client brings next after a fault of its own is read this late
	passedMost = 1 << 20                // bytes passed over after a lost framing, to see the client leave
)

// session is a client's connection: its reader tells of commands and of the client's leaving, its writer, from
// the first command on, brings the answers in the order of the commands.
type session struct {
	client  *client
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
func (a *Answer) Acked(value []byte) {
	a.end(protocol.BulkStringHeader(len(value)), value, protocol.BulkStringEnd)
}

// Nacked tells that trying again is harmless, and when to, if there is such a time.
func (a *Answer) Nacked(after time.Duration) {
	a.end(redcon.AppendError(nil, protocol.RejectedMessage(after)))
}

// Failed promises nothing.
func (a *Answer) Failed() { a.end(redcon.AppendError(nil, protocol.FailedMessage)) }

// refuse answers what cannot be taken as a command.
func (f *Front) refuse(a *Answer, why string) {
	a.end(redcon.AppendError(nil, "ERR "+why))
	f.complaints.Complain("a client sent what cannot be taken", "cause", why)
}

func newSession(c *client) *session {
	return &session{client: c, answers: make(chan *Answer, inHandMost), left: make(chan struct{}),
		cut: make(chan struct{})}
}

// read takes the client's commands in, in their order. A client that brings what cannot be taken is answered
// at once, and read on later; one that loses its framing, or brings too much at once, is read no more: it gets
// the answers that it is owed, and its end.
func (s *session) read() {
	c, f := s.client, s.client.front
	var inHand []*Answer
	writing := false
	for !c.lost {
		cmd, fault, err := c.next()
		if err != nil {
			break
		}
		if !writing {
			writing = true
			go s.write()
		}
		if inHand = slices.DeleteFunc(inHand, (*Answer).isDone); len(inHand) >= inHandMost {
			c.lost, fault = true, "too many commands at once"
		}
		a := &Answer{done: make(chan struct{}), size: int64(len(cmd.Raw))}
		f.room.Acquire(context.Background(), a.size) // others' answers make room
		select {
		case s.answers <- a:
		case <-s.cut:
			f.room.Release(a.size)
		}
		inHand = append(inHand, a)
		if fault == "" {
			fault = f.command(cmd, a, c.admit())
		}
		if fault != "" {
			f.refuse(a, fault)
			if !c.lost {
				time.Sleep(faultPause)
			}
		}
	}
	close(s.answers)
	if c.lost && !c.leaves() {
		return // the client has got the answers that it was owed, or goes on sending without end
	}
	if close(s.left); !writing {
		c.Close()
	}
	for _, a := range inHand {
		if !a.isDone() {
			f.gone(a)
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

// command takes one command in, or tells why it cannot. One for which there is no room has no time left: it
// gets its final answer.
func (f *Front) command(cmd redcon.Command, a *Answer, room bool) (fault string) {
	switch string(cmd.Args[0]) {
	case "API.READ", "API.WRITE":
		request, err := protocol.ParseRequest(cmd.Args, f.ops)
		if err != nil {
			return err.Error()
		}
		if !room {
			request.Remaining = 0
		}
		request.Remaining = min(request.Remaining, f.longest)
		f.take(request, a)
	case "PING":
		a.end(redcon.AppendString(nil, "PONG"))
	default:
		return "unknown command"
	}
	return ""
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
