package transport

import (
	"errors"
	"slices"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/internal/protocol"
)

const (
	maxPipelinedRequests = 32              // limit on the requests of one connection that wait for their responses
	maxRejectedAtOnce    = 8               // limit on the requests of one connection rejected for lack of memory within nextRequestWindow
	responseWriteTimeout = 5 * time.Second // after it a client that does not read its responses is disconnected
	// malformedRequestDelay is the pause before a connection is read again after a malformed request. It limits the
	// cost of a client that keeps sending malformed requests.
	malformedRequestDelay = 100 * time.Millisecond
	// disconnectPoll is the interval at which it is checked during that pause whether the client has left. No attempt may
	// begin more than 100 ms after that.
	disconnectPoll = 20 * time.Millisecond
	// maxUnreadInPause is how many bytes may wait to be read during that pause: less than any receive buffer holds, so
	// that a disconnect behind them is seen.
	maxUnreadInPause = 32 << 10
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
	unanswered     []*PendingResponse // enqueued responses; complete ones are removed with the next request
	rejected       int                // requests rejected for lack of memory since rejectingSince
	rejectingSince time.Time
	writerStarted  bool
	clientLeft     bool // the client closed the connection behind what has been read
}

func newClientSession(c *clientConnection) *clientSession {
	return &clientSession{connection: c, responses: make(chan *PendingResponse, maxPipelinedRequests),
		disconnected: make(chan struct{}), writerDone: make(chan struct{})}
}

// readRequests passes the client's requests on in order. A malformed request is answered at once, and the connection is
// read again after malformedRequestDelay. A connection that loses its framing, or sends more than maxPipelinedRequests, or
// maxRejectedAtOnce for which there is no memory, or a malformed request while other connections wait for a slot, is not
// read any further: its outstanding responses are written, and it is closed.
func (s *clientSession) readRequests() {
	c := s.connection
	for !c.framingLost && !s.clientLeft {
		request, err := c.readRequest()
		var malformed malformedRequestError
		if err != nil && !errors.As(err, &malformed) && !errors.Is(err, errOutOfMemory) {
			break
		}
		s.startWriter()
		if s.unanswered = slices.DeleteFunc(s.unanswered, (*PendingResponse).isDone); len(s.unanswered) >= maxPipelinedRequests {
			c.framingLost, err = true, errTooManyRequests
		}
		s.respond(request, err)
	}
	s.finishReading()
}

// respond passes a request on, or responds to what was received instead, as err says. It pauses after a malformed
// request.
func (s *clientSession) respond(request receivedRequest, err error) {
	c := s.connection
	response := s.enqueueResponse(request.memory)
	c.recordConduct(err != nil || len(s.unanswered) > maxPipelinedRequests/2)
	if err == nil {
		err = c.server.dispatch(request.command, response, c)
	}
	switch {
	case err == nil:
	case errors.Is(err, errOutOfMemory):
		s.rejectOutOfMemory(response)
	default:
		c.recordConduct(true)
		c.server.rejectMalformed(response, err)
		if !c.framingLost {
			s.pauseReading()
		}
	}
}

// pauseReading waits for malformedRequestDelay, and ends the reading if the client leaves meanwhile. It also ends it, with
// the connection closed behind its responses, if another connection waits for a slot, as the client may have sent hundreds
// of malformed requests and would keep its slot for a pause each, or if earlier requests are pending and so much waits to
// be read that the client could leave unnoticed.
func (s *clientSession) pauseReading() {
	c := s.connection
	if !s.allAnswered() && unreadBytes(c.rawConn) > maxUnreadInPause {
		c.framingLost = true
		return
	}
	pause, poll := time.NewTimer(malformedRequestDelay), time.NewTicker(disconnectPoll)
	defer pause.Stop()
	defer poll.Stop()
	for !s.clientLeft {
		select {
		case <-pause.C:
			return
		case <-poll.C:
			s.clientLeft = peerHasClosed(c.rawConn)
		case <-c.server.shortage.waitStarted():
			c.framingLost = true
			return
		}
	}
}

// startWriter starts the writer when the first request has been read.
func (s *clientSession) startWriter() {
	if !s.writerStarted {
		s.writerStarted = true
		go s.writeResponses()
	}
}

// enqueueResponse adds the response to a request to the writer's queue. The memory of the request is released when the
// response is written.
func (s *clientSession) enqueueResponse(memory int64) *PendingResponse {
	response := newPendingResponse(memory)
	select {
	case s.responses <- response:
	case <-s.writerDone:
		s.connection.server.memory.release(response.memory)
	}
	s.unanswered = append(s.unanswered, response)
	return response
}

// finishReading ends the session on the reader's side, once no further request is read. If the client has disconnected,
// it reports each request that has no response yet to onDisconnect. If the client goes on sending, so that its disconnect
// would not be seen, it reports them to onReadingStopped, and the connection is closed after its last response.
func (s *clientSession) finishReading() {
	c := s.connection
	c.releaseBuffer()
	close(s.responses)
	if c.framingLost {
		if s.allAnswered() {
			return // the connection is closed after its last response
		}
		switch c.awaitDisconnect() {
		case closedByGateway:
			return
		case stillSending:
			s.reportUnanswered(c.server.onReadingStopped)
			return
		}
	}
	close(s.disconnected)
	if !s.writerStarted {
		c.Close()
	}
	s.reportUnanswered(c.server.onDisconnect)
}

// reportUnanswered calls report for each request that has no response yet.
func (s *clientSession) reportUnanswered(report func(*PendingResponse)) {
	for _, response := range s.unanswered {
		if !response.isDone() {
			report(response)
		}
	}
}

// allAnswered reports whether every request that was read has its response.
func (s *clientSession) allAnswered() bool {
	return !slices.ContainsFunc(s.unanswered, func(response *PendingResponse) bool { return !response.isDone() })
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
		request.GoesLast = c.describe(time.Now()).GoesLast(s.crowded.Load())
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

// rejectOutOfMemory responds to a request that was dropped for lack of memory, and logs it. After maxRejectedAtOnce of
// them the connection is not read any further, because reading all that is rejected would take the processor time of the
// other clients.
func (s *clientSession) rejectOutOfMemory(response *PendingResponse) {
	server := s.connection.server
	response.Reject(server.retryAfter)
	server.log.Warn("client request rejected for lack of memory", "used_bytes", server.memory.used(), "limit_bytes", server.memory.limit)
	if now := time.Now(); now.Sub(s.rejectingSince) > nextRequestWindow {
		s.rejected, s.rejectingSince = 0, now
	}
	s.rejected++
	if s.rejected >= maxRejectedAtOnce {
		s.connection.framingLost = true
	}
}

// writeResponses writes the responses until the reader has closed the queue and all are written, or until the client
// disconnects or does not read them.
func (s *clientSession) writeResponses() {
	memory := s.connection.server.memory
	defer func() {
		close(s.writerDone)
		s.connection.Close()
		for response := range s.responses { // until the reader has closed the queue
			memory.release(response.memory)
		}
	}()
	for response := range s.responses {
		written := s.writeResponse(response)
		memory.release(response.memory)
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
