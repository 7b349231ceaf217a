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
	maxPipelinedRequests  = 32                     // commands of one connection that wait for their answers
	responseWriteTimeout  = 5 * time.Second        // a client that takes no answer for so long is cut off
	malformedRequestDelay = 100 * time.Millisecond // what a client brings next after a fault of its own is read this late
	maxDiscardedBytes     = 1 << 20                // bytes passed over after a lost framing, to see the client leave
)

// session is a client's connection: its reader tells of commands and of the client's leaving, its writer, from
// the first command on, brings the answers in the order of the commands.
type clientSession struct {
	connection   *clientConnection
	responses    chan *PendingResponse
	disconnected chan struct{} // closed when the client has left
	writerDone   chan struct{} // closed when no more answers go out
}

// PendingResponse is the place of a command's final answer.
type PendingResponse struct {
	once         sync.Once
	done         chan struct{}
	payload      net.Buffers
	requestBytes int64 // of its command
}

func (a *PendingResponse) complete(parts ...[]byte) {
	a.once.Do(func() {
		a.payload = parts
		close(a.done)
	})
}

// Acked gives the value that an instance gave.
func (a *PendingResponse) Acked(value []byte) {
	a.complete(protocol.BulkHead(len(value)), value, protocol.End)
}

// Nacked tells that trying again is harmless, and when to, if there is such a time.
func (a *PendingResponse) Nacked(after time.Duration) {
	a.complete(redcon.AppendError(nil, protocol.Refused(after)))
}

// Failed promises nothing.
func (a *PendingResponse) Failed() { a.complete(redcon.AppendError(nil, protocol.Failed)) }

// refuse answers what cannot be taken as a command.
func (f *ClientServer) rejectMalformed(a *PendingResponse, why string) {
	a.complete(redcon.AppendError(nil, "ERR "+why))
	f.log.Warn("a client sent what cannot be taken", "cause", why)
}

func newClientSession(c *clientConnection) *clientSession {
	return &clientSession{connection: c, responses: make(chan *PendingResponse, maxPipelinedRequests), disconnected: make(chan struct{}),
		writerDone: make(chan struct{})}
}

// read takes the client's commands in, in their order. A client that brings what cannot be taken is answered
// at once, and read on later; one that loses its framing, or brings too much at once, is read no more: it gets
// the answers that it is owed, and its end.
func (s *clientSession) readRequests() {
	c, f := s.connection, s.connection.server
	var inHand []*PendingResponse
	writing := false
	for !c.framingLost {
		cmd, fault, err := c.readRequest()
		if err != nil {
			break
		}
		if !writing {
			writing = true
			go s.writeResponses()
		}
		if inHand = slices.DeleteFunc(inHand, (*PendingResponse).isDone); len(inHand) >= maxPipelinedRequests {
			c.framingLost, fault = true, "too many commands at once"
		}
		a := &PendingResponse{done: make(chan struct{}), requestBytes: int64(len(cmd.Raw))}
		f.requestBytes.Acquire(context.Background(), a.requestBytes) // others' answers make room
		select {
		case s.responses <- a:
		case <-s.writerDone:
			f.requestBytes.Release(a.requestBytes)
		}
		inHand = append(inHand, a)
		if fault == "" {
			fault = f.dispatch(cmd, a, c.ensureDescriptor())
		}
		if fault != "" {
			f.rejectMalformed(a, fault)
			if !c.framingLost {
				time.Sleep(malformedRequestDelay)
			}
		}
	}
	close(s.responses)
	if c.framingLost && !c.awaitDisconnect() {
		return // the client has got the answers that it was owed, or goes on sending without end
	}
	if close(s.disconnected); !writing {
		c.Close()
	}
	for _, a := range inHand {
		if !a.isDone() {
			f.onDisconnect(a)
		}
	}
}

func (a *PendingResponse) isDone() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// command takes one command in, or tells why it cannot. One for which there is no room has no time left: it
// gets its final answer.
func (f *ClientServer) dispatch(cmd redcon.Command, a *PendingResponse, room bool) (fault string) {
	switch string(cmd.Args[0]) {
	case "API.READ", "API.WRITE":
		request, err := protocol.ParseRequest(cmd.Args, f.opTypes)
		if err != nil {
			return err.Error()
		}
		if !room {
			request.Remaining = 0
		}
		request.Remaining = min(request.Remaining, f.maxRemaining)
		f.onRequest(request, a)
	case "PING":
		a.complete(redcon.AppendString(nil, "PONG"))
	default:
		return "unknown command"
	}
	return ""
}

// write brings the answers out until the client has left or takes none.
func (s *clientSession) writeResponses() {
	defer func() {
		close(s.writerDone)
		s.connection.Close()
		for a := range s.responses { // until the reader has seen the end
			s.connection.server.requestBytes.Release(a.requestBytes)
		}
	}()
	for a := range s.responses {
		ok := s.writeResponse(a)
		s.connection.server.requestBytes.Release(a.requestBytes)
		if !ok {
			return
		}
		s.connection.finishRequest()
	}
}

// bring waits for an answer and writes it; it tells whether the client took it.
func (s *clientSession) writeResponse(a *PendingResponse) bool {
	select {
	case <-a.done:
	case <-s.disconnected:
		return false
	}
	s.connection.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_, err := a.payload.WriteTo(s.connection.Conn)
	return err == nil
}
