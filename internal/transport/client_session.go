package transport

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/internal/protocol"
)

const (
	maxPipelinedRequests = 32              // of one connection that wait for their responses
	responseWriteTimeout = 5 * time.Second // a client that does not read its responses is cut off
	// malformedRequestDelay is the pause before a connection is read again after a malformed request, so that a
	// client that sends the same again and again costs little.
	malformedRequestDelay = 100 * time.Millisecond
)

// The commands that clients send.
const (
	commandRead  = "API.READ"
	commandWrite = "API.WRITE"
	commandPing  = "PING"
)

// clientSession serves one connection with two goroutines: its reader passes requests on and sees the client
// disconnect; its writer, from the first request on, writes the responses in the order of the requests.
type clientSession struct {
	connection   *clientConnection
	responses    chan *PendingResponse
	disconnected chan struct{} // closed when the client has disconnected
	writerDone   chan struct{} // closed when no more responses are written

	// Only the reader touches these.
	unanswered    []*PendingResponse
	writerStarted bool
}

func newClientSession(c *clientConnection) *clientSession {
	return &clientSession{connection: c, responses: make(chan *PendingResponse, maxPipelinedRequests),
		disconnected: make(chan struct{}), writerDone: make(chan struct{})}
}

// readRequests passes the client's requests on, in their order. A malformed request is answered at once, and the
// connection read on later. A connection that loses its framing, or sends too many requests at once, is read no
// more: it gets the responses that it is owed, and is closed.
func (s *clientSession) readRequests() {
	c := s.connection
	for !c.framingLost {
		command, err := c.readRequest()
		var malformed malformedRequestError
		if err != nil && !errors.As(err, &malformed) {
			break
		}
		s.startWriter()
		if s.unanswered = slices.DeleteFunc(s.unanswered, (*PendingResponse).isDone); len(s.unanswered) >= maxPipelinedRequests {
			c.framingLost, err = true, errTooManyRequests
		}
		response := s.enqueueResponse(len(command.Raw))
		if err == nil {
			err = c.server.dispatch(command, response, c)
		}
		if err != nil {
			c.server.rejectMalformed(response, err)
			if !c.framingLost {
				time.Sleep(malformedRequestDelay)
			}
		}
	}
	s.finishReading()
}

// startWriter starts the writer with the first request.
func (s *clientSession) startWriter() {
	if !s.writerStarted {
		s.writerStarted = true
		go s.writeResponses()
	}
}

// enqueueResponse adds the response to a request to those that the writer is to write. It waits while the requests
// of all connections take too much memory: as responses are written, room becomes free.
func (s *clientSession) enqueueResponse(requestBytes int) *PendingResponse {
	response := newPendingResponse(requestBytes)
	available := s.connection.server.requestBytes
	available.Acquire(context.Background(), response.requestBytes)
	select {
	case s.responses <- response:
	case <-s.writerDone:
		available.Release(response.requestBytes)
	}
	s.unanswered = append(s.unanswered, response)
	return response
}

// finishReading ends the session from the reader's side, once no further request is read. If the client has
// disconnected it reports each request without a response.
func (s *clientSession) finishReading() {
	c := s.connection
	close(s.responses)
	if c.framingLost && !c.awaitDisconnect() {
		return // the client has got the responses that it was owed, or goes on sending without end
	}
	close(s.disconnected)
	if !s.writerStarted {
		c.Close()
	}
	for _, response := range s.unanswered {
		if !response.isDone() {
			c.server.onDisconnect(response)
		}
	}
}

// dispatch passes a request on, or returns what is wrong with it. One for whose connection there is no descriptor
// has no time left: it gets its final response without an attempt. A request's time runs from the reading of its last byte.
func (s *ClientServer) dispatch(command redcon.Command, response *PendingResponse, c *clientConnection) error {
	switch string(command.Args[0]) {
	case commandRead, commandWrite:
		request, err := protocol.ParseRequest(command.Args, s.opTypes)
		if err != nil {
			return err
		}
		request.Remaining = min(request.Remaining, s.maxRemaining)
		if !c.awaitDescriptor() {
			request.Remaining = 0
		}
		request.Remaining -= time.Since(c.receivedAt)
		s.onRequest(request, response)
	case commandPing:
		response.complete(redcon.AppendString(nil, "PONG"))
	default:
		return errUnknownCommand
	}
	return nil
}

// rejectMalformed responds to what is not a request with the error's text.
func (s *ClientServer) rejectMalformed(response *PendingResponse, err error) {
	response.complete(redcon.AppendError(nil, "ERR "+err.Error()))
	s.log.Warn("malformed request from client", "error", err)
}

// writeResponses writes the responses until the client has disconnected or does not read them.
func (s *clientSession) writeResponses() {
	available := s.connection.server.requestBytes
	defer func() {
		close(s.writerDone)
		s.connection.Close()
		for response := range s.responses { // until the reader has met the end
			available.Release(response.requestBytes)
		}
	}()
	for response := range s.responses {
		written := s.writeResponse(response)
		available.Release(response.requestBytes)
		if !written {
			return
		}
		s.connection.finishRequest()
	}
}

// writeResponse waits for a response and writes it. It returns false if the client disconnected before, or did not
// read it.
func (s *clientSession) writeResponse(response *PendingResponse) bool {
	select {
	case <-response.done:
	case <-s.disconnected:
		return false
	}
	s.connection.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_, err := response.payload.WriteTo(s.connection.streamConn)
	return err == nil
}
