package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// EndpointPool carries deliveries to instances. A connection has one delivery in work at a time, so that no
// answer waits behind another and giving up costs no other delivery.
type EndpointPool struct {
	quota          *descriptorQuota
	log            *RateLimitedLog
	connectTimeout time.Duration
	idleTimeout    time.Duration

	mu              sync.Mutex
	idleByAddress   map[string][]*endpointConnection // by address, the latest used last
	idleOldestFirst []*endpointConnection            // idle ones, the longest idle first
}

// restFor is how long a connection stands idle before it is used again: what an instance sends beyond its
// answer comes right behind it, and would be taken for the answer to the next command.
const reuseDelay = 20 * time.Millisecond

// EndpointPoolConfig is what an EndpointPool needs. All fields are required.
type EndpointPoolConfig struct {
	Budget         *DescriptorBudget
	Log            *RateLimitedLog
	ConnectTimeout time.Duration // until a connection is established
	IdleTimeout    time.Duration // after which an unused connection is closed
}

func (c *EndpointPoolConfig) validate() error {
	switch {
	case c.Budget == nil || c.Log == nil:
		return errors.New("endpoint pool needs a descriptor budget and a log")
	case c.ConnectTimeout < 0 || c.IdleTimeout < 0:
		return errors.New("endpoint pool timeouts must not be negative")
	}
	return nil
}

// NewEndpointPool returns a pool without connections. It fails where a field of its configuration is missing or
// negative.
func NewEndpointPool(config EndpointPoolConfig) (*EndpointPool, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	in := &EndpointPool{log: config.Log, connectTimeout: config.ConnectTimeout, idleTimeout: config.IdleTimeout,
		idleByAddress: map[string][]*endpointConnection{}}
	in.quota = config.Budget.addQuota(in, endpointShare)
	return in, nil
}

// link is one connection to an instance. It ends in close, which alone gives its descriptor back.
type endpointConnection struct {
	pool     *EndpointPool
	address  string
	openedAt time.Time
	conn     *net.TCPConn
	rawConn  syscall.RawConn

	mu        sync.Mutex // held while bytes are read too: what came before a delivery began is none of its answer
	attempt   *Attempt
	writing   bool
	closed    bool
	unusable  bool      // its end or more than an answer was read: nothing may begin on it
	idleSince time.Time // since when it has stood idle
}

// heldUp is how much longer than a connection may take to come up a delivery may wait for its first byte to go out:
// what it was decided by is then of another time, as where the process stood still meanwhile.
const maxStartDelay = 250 * time.Millisecond

// Attempt is a delivery on its way. It ends once, by what comes back or by GiveUp.
type Attempt struct {
	decidedAt  time.Time
	deadline   time.Time
	encode     func(wait time.Duration) []byte
	onResponse func(protocol.Response)

	mu         sync.Mutex
	finished   bool
	started    bool // its first byte may have gone out
	connection *endpointConnection
}

// Send starts a delivery, for which the gateway waits until the given time. What comes of it is told to
// ended, on another goroutine, unless it was given up before.
func (in *EndpointPool) Send(address string, until time.Time, encode func(wait time.Duration) []byte,
	ended func(protocol.Response)) *Attempt {
	s := newAttempt(until, encode, ended)
	if l := in.takeIdle(address); l != nil {
		go l.send(s, true)
	} else {
		go in.connect(address, s)
	}
	return s
}

// newAttempt is a delivery that is decided now.
func newAttempt(until time.Time, encode func(wait time.Duration) []byte,
	ended func(protocol.Response)) *Attempt {
	return &Attempt{decidedAt: time.Now(), deadline: until, encode: encode, onResponse: ended}
}

// GiveUp ends a delivery without an outcome and closes its connection before it returns: what is sent
// elsewhere after it is no second copy. It tells whether the delivery may have reached the instance, and
// whether it had ended before: then its outcome is on its way. The connection of one that had not begun serves
// another.
func (s *Attempt) GiveUp() (reached, ended bool) {
	s.mu.Lock()
	l, begun, was := s.connection, s.started, s.finished
	s.finished = true
	s.mu.Unlock()
	if begun && !was {
		l.close("its delivery was given up")
	}
	return begun, was
}

// Withhold gives a delivery up if nothing of it has gone out, and tells whether it did.
func (s *Attempt) Withhold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started || s.finished {
		return false
	}
	s.finished = true
	return true
}

// ConnectionAge is for how long the connection has stood that the delivery went out on; 0 before it did.
func (s *Attempt) ConnectionAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connection == nil {
		return 0
	}
	return time.Since(s.connection.openedAt)
}

// end tells the outcome, unless one was told or the delivery was given up.
func (s *Attempt) finish(outcome decision.Outcome) {
	if s.markFinished() {
		s.onResponse(protocol.Response{Outcome: outcome})
	}
}

// settle marks the delivery as over and tells whether it was not.
func (s *Attempt) markFinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.finished
	s.finished = true
	return !was
}

// begin marks that bytes go out on a connection from here on, unless the delivery was given up meanwhile.
func (s *Attempt) markStarted(on *endpointConnection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started, s.connection = !s.finished, on
	return s.started
}

// open brings a connection up for a delivery.
func (in *EndpointPool) connect(address string, s *Attempt) {
	if !in.quota.acquire() {
		s.finish(decision.OutcomeNotSent)
		return
	}
	conn, err := net.DialTimeout("tcp", address, in.connectTimeout)
	if err != nil {
		in.quota.release()
		s.finish(decision.OutcomeConnectFailed)
		return
	}
	l := &endpointConnection{pool: in, address: address, openedAt: time.Now(), conn: conn.(*net.TCPConn)}
	if l.rawConn, err = l.conn.SyscallConn(); err != nil {
		l.close(err.Error())
		s.finish(decision.OutcomeConnectFailed)
		return
	}
	go l.send(s, false)
	l.readResponses()
}

// write sends a delivery's bytes. Until the last of them is written the command can't have run. A used
// connection that has ended meanwhile, or on which anything has come since its last answer, is replaced, as
// long as nothing was written.
func (l *endpointConnection) send(s *Attempt, used bool) {
	l.mu.Lock()
	closed := l.closed || l.unusable || used && !l.isQuiet()
	if !closed {
		l.attempt, l.writing = s, true
	}
	l.mu.Unlock()
	if closed {
		l.close("it ended or brought more while idle")
		l.replaceFor(s, used)
		return
	}
	within := time.Until(s.deadline)
	bytes := s.encode(within)
	l.conn.SetReadDeadline(time.Time{})
	// Nothing but the writing itself comes after this look at the time: the process may stand still at any point.
	if within <= 0 || time.Since(s.decidedAt) > l.pool.connectTimeout+maxStartDelay {
		s.finish(decision.OutcomeNotSent)
	}
	if !s.markStarted(l) {
		l.returnUnused()
		return
	}
	n, err := l.conn.Write(bytes)
	l.mu.Lock()
	l.writing = false
	closed, answered := l.closed, l.attempt == nil
	l.mu.Unlock()
	switch {
	case err != nil && n == 0:
		l.close(err.Error())
		l.replaceFor(s, used)
	case err != nil:
		s.finish(decision.OutcomeConnectFailed)
		l.close(err.Error())
	case closed:
		s.finish(decision.OutcomeConnectionLost)
	case answered: // before it was written
		l.pool.putIdle(l)
	}
}

// silent tells whether the connection stands and nothing waits on it to be read.
func (l *endpointConnection) isQuiet() bool {
	_, err := peekByte(l.rawConn)
	return err == unix.EAGAIN
}

// spare keeps a connection whose delivery was given up before it began, for another.
func (l *endpointConnection) returnUnused() {
	l.mu.Lock()
	l.attempt, l.writing = nil, false
	l.mu.Unlock()
	l.pool.putIdle(l)
}

// again opens a new connection for a delivery of which nothing was written on a used one.
func (l *endpointConnection) replaceFor(s *Attempt, used bool) {
	s.mu.Lock()
	s.started, s.connection = false, nil
	over := s.finished
	s.mu.Unlock()
	if over {
		return
	}
	if used {
		l.pool.connect(l.address, s)
	} else {
		s.finish(decision.OutcomeConnectFailed)
	}
}

// read carries what comes back to the state machine until the connection ends. Nothing but the reply to the
// delivery in work may come: a connection on which more comes is of no further use.
func (l *endpointConnection) readResponses() {
	reason := "it has stood idle for long enough"
	defer func() { l.close(reason) }()
	b, reply := protocol.NewBuffer(protocol.ReplyMost), protocol.Reply{}
	for {
		n, s, err := l.receive(b.Room())
		b.Add(n)
		if n > 0 && !l.handleBytes(s, b, &reply) {
			reason = "it brought what belongs to no answer"
			return
		}
		if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
			if l.pool.expireIdle(l) {
				return // it has stood idle for long enough
			}
		} else if err != nil {
			reason = err.Error()
			return
		}
	}
}

// receive waits for bytes and reads them, with the delivery that was in work then: a late second answer must
// not be taken for the answer to a delivery that begins as it is read.
func (l *endpointConnection) receive(room []byte) (n int, s *Attempt, err error) {
	failed := l.rawConn.Read(func(fd uintptr) bool {
		l.mu.Lock()
		n, err = unix.Read(int(fd), room)
		again := err == unix.EAGAIN || err == unix.EINTR
		s = l.attempt
		l.unusable = l.unusable || s == nil && !again
		l.mu.Unlock()
		return !again
	})
	switch {
	case failed != nil:
		return 0, nil, failed
	case err != nil:
		return 0, nil, err
	case n == 0:
		return 0, nil, io.EOF
	}
	return n, s, nil
}

// take reads on in what has come for a delivery, and tells whether the connection is still of use.
func (l *endpointConnection) handleBytes(s *Attempt, b *protocol.Buffer, reply *protocol.Reply) bool {
	if s == nil {
		l.pool.log.Warn("an instance sent what nobody asked for", "address", l.address)
		return false
	}
	response, done, err := reply.Next(b)
	if err != nil {
		l.pool.log.Warn("an instance sent a damaged reply", "address", l.address)
		response, done = protocol.Response{Outcome: decision.OutcomeError}, true // it may have run, and the instance is there
	}
	if !done {
		return true
	}
	sound := err == nil && len(b.Bytes()) == 0
	l.mu.Lock()
	writing := l.writing
	l.attempt = nil
	l.mu.Unlock()
	told := s.markFinished() // before the connection serves another
	switch {
	case !sound:
		l.close("a spoilt answer")
	case !writing:
		l.pool.putIdle(l)
	}
	if told {
		s.onResponse(response)
	}
	return sound
}

// close ends a connection and what it had in work, and gives its descriptor back. The reason goes to the log.
func (l *endpointConnection) close(reason string) {
	l.mu.Lock()
	was, s, writing := l.closed, l.attempt, l.writing
	l.closed = true
	l.mu.Unlock()
	if was {
		return
	}
	slog.Debug("an instance's connection is closed", "address", l.address, "reason", reason)
	l.pool.forgetIdle(l)
	l.conn.Close()
	l.pool.quota.release()
	if s == nil {
		return
	}
	if !writing { // else write tells, which knows whether the last byte went out
		s.finish(decision.OutcomeConnectionLost)
	}
}

func (in *EndpointPool) takeIdle(address string) *endpointConnection {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	for _, l := range slices.Backward(in.idleByAddress[address]) {
		if now.Sub(l.idleSince) >= reuseDelay {
			in.removeIdle(l)
			return l
		}
	}
	return nil
}

// giveIdle lets a connection stand for the next delivery, unless it has ended.
func (in *EndpointPool) putIdle(l *endpointConnection) {
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	l.conn.SetReadDeadline(now.Add(in.idleTimeout)) // read ends then, if nothing was sent since
	l.mu.Lock()
	closed := l.closed
	l.mu.Unlock()
	if closed {
		return
	}
	l.idleSince = now
	in.idleByAddress[l.address] = append(in.idleByAddress[l.address], l)
	in.idleOldestFirst = append(in.idleOldestFirst, l)
}

// remove takes a connection off the idle ones and tells whether it was one.
func (in *EndpointPool) removeIdle(l *endpointConnection) bool {
	at := slices.Index(in.idleOldestFirst, l)
	if at < 0 {
		return false
	}
	in.idleOldestFirst = slices.Delete(in.idleOldestFirst, at, at+1)
	some := in.idleByAddress[l.address]
	at = slices.Index(some, l)
	if in.idleByAddress[l.address] = slices.Delete(some, at, at+1); len(some) == 1 {
		delete(in.idleByAddress, l.address)
	}
	return true
}

// rested takes a connection off the idle ones whose time is over. One that a delivery has just taken has no such time:
// to read again at once would turn round for ever where nothing else gets to run.
func (in *EndpointPool) expireIdle(l *endpointConnection) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	idle := in.removeIdle(l)
	if !idle {
		l.conn.SetReadDeadline(time.Time{})
	}
	return idle
}

func (in *EndpointPool) forgetIdle(l *endpointConnection) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.removeIdle(l)
}

// closeIdle closes the connection that has stood idle longest.
func (in *EndpointPool) closeIdle() bool {
	in.mu.Lock()
	var l *endpointConnection
	if len(in.idleOldestFirst) > 0 {
		l = in.idleOldestFirst[0]
		in.removeIdle(l)
	}
	in.mu.Unlock()
	if l != nil {
		l.close("its descriptor is wanted")
	}
	return l != nil
}

// CloseIdleTo closes the idle connections to an address that is no longer listed.
func (in *EndpointPool) CloseIdleTo(address string) {
	in.mu.Lock()
	some := slices.Clone(in.idleByAddress[address])
	for _, l := range some {
		in.removeIdle(l)
	}
	in.mu.Unlock()
	for _, l := range some {
		l.close("its address is no longer listed")
	}
}
