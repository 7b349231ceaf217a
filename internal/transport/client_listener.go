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
	if c.hasDescriptor = s.acquireForNewConnection(); c.hasDescriptor {
		c.releasePlace = s.quota.release
	} else {
		s.placeInOverflow(c)
	}
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

// acquireForNewConnection takes a descriptor. Where there is none it tries again for a while, as long as some
// connections have not sent a request yet and may make room.
func (s *ClientServer) acquireForNewConnection() bool {
	acquired := s.quota.acquire()
	started := time.Now()
	for !acquired && s.hasUnusedConnection() && time.Since(started) < minIdleBeforeReclaim {
		time.Sleep(shortageRetryDelay)
		acquired = s.quota.acquire()
	}
	return acquired
}

// placeInOverflow waits for a place beyond the descriptor limit. Where none is left it closes idle connections there.
func (s *ClientServer) placeInOverflow(c *clientConnection) {
	c.releasePlace = func() { <-s.overflow }
	retry := time.NewTicker(shortageRetryDelay)
	defer retry.Stop()
	for {
		select {
		case s.overflow <- struct{}{}:
			return
		default:
		}
		if s.closeIdleInOverflow() {
			continue
		}
		select {
		case s.overflow <- struct{}{}:
			return
		case <-retry.C:
		}
	}
}

// closeIdleInOverflow closes a connection beyond the descriptor limit that has had its answers, or that has not sent a
// request for a while, and reports whether there was one. The first request of a new one may still be on its way.
func (s *ClientServer) closeIdleInOverflow() bool {
	for _, other := range s.snapshot() {
		minIdle := minIdleBeforeReclaim
		if other.usedBefore() {
			minIdle = 0
		}
		if other.closeIfIdle(minIdle, overflow) {
			return true
		}
	}
	return false
}
