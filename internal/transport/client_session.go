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
	maxPipelinedRequests = 32              // limit on the requests of one connection that wait for their responses
	responseWriteTimeout = 5 * time.Second // after it a client that does not read its responses is disconnected
	// malformedRequestDelay is the pause before a connection is read again after a malformed request. It limits the
	// cost of a client that keeps sending malformed requests.
	malformedRequestDelay = 100 * time.Millisecond
)

// The commands that clients send.
const (
	commandRead  = "API.READ"
	commandWrite = "API.WRITE"
	commandPing  = "PING"
)

// clientSession serves one connection with two goroutines. The reader passes requests on and detects that the client
// disconnects. The writer, started with the first request, writes the responses in the order of the requests.
type clientSession struct {
	connection   *clientConnection
	responses    chan *PendingResponse
	disconnected chan struct{} // closed when the client has disconnected
	writerDone   chan struct{} // closed when no more responses are written

	// The fields of this group are used only by the reader.
	unanswered    []*PendingResponse // enqueued responses; complete ones are removed with the next request
	writerStarted bool
}

func newClientSession(c *clientConnection) *clientSession {
	return &clientSession{connection: c, responses: make(chan *PendingResponse, maxPipelinedRequests),
		disconnected: make(chan struct{}), writerDone: make(chan struct{})}
}

// readRequests passes the client's requests on in order. A malformed request is answered at once, and the connection is
// read again after malformedRequestDelay. A connection that loses its framing, or sends more than maxPipelinedRequests
// at once, is not read any further: its outstanding responses are written, and it is closed.
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

// startWriter starts the writer when the first request has been read.
func (s *clientSession) startWriter() {
	if !s.writerStarted {
		s.writerStarted = true
		go s.writeResponses()
	}
}

// enqueueResponse adds the response to a request to the writer's queue. It blocks while the request, together with the
// pending requests of all connections, would exceed the memory limit. Writing responses frees memory.
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

// finishReading ends the session on the reader's side, once no further request is read. If the client has disconnected,
// it reports each request that has no response yet to onDisconnect.
func (s *clientSession) finishReading() {
	c := s.connection
	close(s.responses)
	if c.framingLost && !c.awaitDisconnect() {
		return // the connection was closed after its last response, or the client sends without end
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

// dispatch passes a request on, or returns an error that says what is wrong with it. A request whose connection gets no
// descriptor has no time left, so that it gets its final response without an attempt. A request's time runs from the
// arrival of its last byte, as recorded when it was read.
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

// rejectMalformed responds to a malformed request with the text of err, and logs it.
func (s *ClientServer) rejectMalformed(response *PendingResponse, err error) {
	response.complete(redcon.AppendError(nil, "ERR "+err.Error()))
	s.log.Warn("malformed request from client", "error", err)
}

// writeResponses writes the responses until the reader has closed the queue and all are written, or until the client
// disconnects or does not read them.
func (s *clientSession) writeResponses() {
	available := s.connection.server.requestBytes
	defer func() {
		close(s.writerDone)
		s.connection.Close()
		for response := range s.responses { // until the reader has closed the queue
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

// writeResponse waits for a response and writes it. It returns false if the client disconnected before that, or did not
// read the response within responseWriteTimeout.
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
