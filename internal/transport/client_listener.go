package transport

import (
	"errors"
	"net"
	"time"
)

// budgetedListener is the listener that redcon accepts from. Its connections count against the descriptor budget.
type budgetedListener struct {
	net.Listener
	server *ClientServer
}

// Accept waits for a connection of a client. A connection for which there is no descriptor is accepted beyond the
// limit, so that its requests get a response: the kernel has already accepted it, and the client has already sent its
// requests.
func (l *budgetedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil { // the system is short of some resource, and redcon would retry without a pause
			time.Sleep(shortageRetryDelay)
			continue
		}
		c, err := l.server.register(conn)
		if err != nil {
			conn.Close()
			continue
		}
		return c, nil
	}
}

// register adds an accepted connection to the table, once it has a descriptor or an overflow slot.
func (s *ClientServer) register(conn net.Conn) (*clientConnection, error) {
	stream, ok := conn.(streamConn)
	if !ok {
		return nil, errors.New("accepted connection is not a stream socket")
	}
	c, err := newClientConnection(stream, s)
	if err != nil {
		return nil, err
	}
	s.awaitSlot(c)
	s.mu.Lock()
	s.connections = append(s.connections, c)
	draining := s.draining
	s.mu.Unlock()
	// While the server drains, the client may be retrying a request that it sent as its previous connection was closed.
	if draining {
		c.scheduleIdleClose()
	}
	return c, nil
}

// awaitSlot waits until a new connection has a descriptor or an overflow slot. All connections not yet accepted wait
// behind it, so connections whose responses are written are closed to make room. It waits only while every overflow
// slot is held by a connection whose response is pending, by one that has sent nothing and is within the time for
// its first request, or by one whose request is partly received and not stalled.
func (s *ClientServer) awaitSlot(c *clientConnection) {
	if s.acquireSlot(c) {
		return
	}
	s.shortage.beginWait()
	defer s.shortage.endWait()
	retry := time.NewTicker(shortageRetryDelay)
	defer retry.Stop()
	for !s.acquireSlot(c) {
		select {
		case s.overflow <- struct{}{}:
			c.releaseSlot = s.releaseOverflow
			return
		case <-retry.C:
		}
	}
}

// acquireSlot gives a new connection a descriptor or an overflow slot if one is free or an idle connection can be
// closed to free one, and reports whether it did.
func (s *ClientServer) acquireSlot(c *clientConnection) bool {
	if s.quota.acquire() {
		c.hasDescriptor, c.releaseSlot = true, s.quota.release
		return true
	}
	for {
		select {
		case s.overflow <- struct{}{}:
			c.releaseSlot = s.releaseOverflow
			return true
		default:
		}
		if !s.closeIdleInOverflow() {
			return false
		}
	}
}

func (s *ClientServer) releaseOverflow() { <-s.overflow }
