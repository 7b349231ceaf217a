package transport

import (
	"errors"
	"net"
	"time"
)

// budgetedListener is the listener that redcon accepts from: its connections count against the descriptor budget.
type budgetedListener struct {
	net.Listener
	server *ClientServer
}

// Accept waits for a connection of a client. One for which there is no descriptor is accepted beyond the limit, so
// that its requests get an answer: the kernel has accepted it already, and the client has sent what it has to send.
func (l *budgetedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil { // the machine is short of some resource: redcon would accept again at once
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

// register enters an accepted connection into the table, with a descriptor or in overflow.
func (s *ClientServer) register(conn net.Conn) (*clientConnection, error) {
	stream, ok := conn.(streamConn)
	if !ok {
		return nil, errors.New("not a stream connection of the system")
	}
	c, err := newClientConnection(stream, s)
	if err != nil {
		return nil, err
	}
	s.awaitPlace(c)
	c.lastActive = time.Now()
	s.mu.Lock()
	s.connections = append(s.connections, c)
	draining := s.draining
	s.mu.Unlock()
	// While the server drains, the client may be sending again what it sent as its last connection was closed.
	if draining || !c.hasDescriptor {
		c.closeIfIdleLater()
	}
	return c, nil
}

// awaitPlace gives a new connection a descriptor, or a place in overflow. All connections that are yet to be accepted wait
// behind it, so it waits for none that has sent something: only while each place in overflow is held by a connection whose
// response is on its way, or by one that has sent nothing and still has its time for that.
func (s *ClientServer) awaitPlace(c *clientConnection) {
	if s.takePlace(c) {
		return
	}
	s.shortage.begin()
	defer s.shortage.end()
	retry := time.NewTicker(shortageRetryDelay)
	defer retry.Stop()
	for !s.takePlace(c) {
		select {
		case s.overflow <- struct{}{}:
			c.releasePlace = s.releaseOverflow
			return
		case <-retry.C:
		}
	}
}

// takePlace gives a new connection a place if there is one, or an idle connection can be closed for it.
func (s *ClientServer) takePlace(c *clientConnection) bool {
	if s.quota.acquire() {
		c.hasDescriptor, c.releasePlace = true, s.quota.release
		return true
	}
	for {
		select {
		case s.overflow <- struct{}{}:
			c.releasePlace = s.releaseOverflow
			return true
		default:
		}
		if !s.closeIdleInOverflow() {
			return false
		}
	}
}

func (s *ClientServer) releaseOverflow() { <-s.overflow }

// closeIdleInOverflow closes a connection beyond the descriptor limit that has had its answers, or that has not sent a
// request for a while, and reports whether there was one. The first request of a new one may still be on its way.
func (s *ClientServer) closeIdleInOverflow() bool {
	firstRequestTime := s.shortage.firstRequestTime()
	for _, other := range s.snapshot() {
		minIdle := firstRequestTime
		if other.usedBefore() {
			minIdle = 0
		}
		if other.closeIfIdle(minIdle, overflow) {
			return true
		}
	}
	return false
}
