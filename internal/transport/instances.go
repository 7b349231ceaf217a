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

// Instances carries deliveries to instances. A connection has one delivery in work at a time, so that no
// answer waits behind another and giving up costs no other delivery.
type Instances struct {
	share         *Share
	complaints    *Complaints
	connectWithin time.Duration
	idleFor       time.Duration

	mu   sync.Mutex
	idle map[string][]*link // by address, the latest used last
	all  []*link            // idle ones, the longest idle first
}

// restFor is how long a connection stands idle before it is used again: what an instance sends beyond its
// answer comes right behind it, and would be taken for the answer to the next command.
const restFor = 20 * time.Millisecond

// NewInstances takes how long a connection may take to come up and how long it may stand idle.
func NewInstances(budget *Budget, complaints *Complaints, connectWithin, idleFor time.Duration) *Instances {
	in := &Instances{complaints: complaints, connectWithin: connectWithin, idleFor: idleFor, idle: map[string][]*link{}}
	in.share = budget.join(in, instancesPart)
	return in
}

// link is one connection to an instance. It ends in close, which alone gives its descriptor back.
type link struct {
	in       *Instances
	address  string
	openedAt time.Time
	conn     *net.TCPConn
	raw      syscall.RawConn

	mu      sync.Mutex // held while bytes are read too: what came before a delivery began is none of its answer
	work    *Sending
	writing bool
	closed  bool
	spent   bool      // its end or more than an answer was read: nothing may begin on it
	idleAt  time.Time // since when it has stood idle
}

// heldUp is how much longer than a connection may take to come up a delivery may wait for its first byte to go out:
// what it was decided by is then of another time, as where the process stood still meanwhile.
const heldUp = 250 * time.Millisecond

// Sending is a delivery on its way. It ends once, by what comes back or by GiveUp.
type Sending struct {
	since  time.Time
	until  time.Time
	encode func(wait time.Duration) []byte
	ended  func(protocol.Response)

	mu    sync.Mutex
	over  bool
	begun bool // its first byte may have gone out
	on    *link
}

// Send starts a delivery, for which the gateway waits until the given time. What comes of it is told to
// ended, on another goroutine, unless it was given up before.
func (in *Instances) Send(address string, until time.Time, encode func(wait time.Duration) []byte,
	ended func(protocol.Response)) *Sending {
	s := newSending(until, encode, ended)
	if l := in.takeIdle(address); l != nil {
		go l.write(s, true)
	} else {
		go in.open(address, s)
	}
	return s
}

// newSending is a delivery that is decided now.
func newSending(until time.Time, encode func(wait time.Duration) []byte,
	ended func(protocol.Response)) *Sending {
	return &Sending{since: time.Now(), until: until, encode: encode, ended: ended}
}

// GiveUp ends a delivery without an outcome and closes its connection before it returns: what is sent
// elsewhere after it is no second copy. It tells whether the delivery may have reached the instance, and
// whether it had ended before: then its outcome is on its way. The connection of one that had not begun serves
// another.
func (s *Sending) GiveUp() (reached, ended bool) {
	s.mu.Lock()
	l, begun, was := s.on, s.begun, s.over
	s.over = true
	s.mu.Unlock()
	if begun && !was {
		l.close("its delivery was given up")
	}
	return begun, was
}

// Withhold gives a delivery up if nothing of it has gone out, and tells whether it did.
func (s *Sending) Withhold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun || s.over {
		return false
	}
	s.over = true
	return true
}

// ConnectionAge is for how long the connection has stood that the delivery went out on; 0 before it did.
func (s *Sending) ConnectionAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.on == nil {
		return 0
	}
	return time.Since(s.on.openedAt)
}

// end tells the outcome, unless one was told or the delivery was given up.
func (s *Sending) end(outcome decision.Outcome) {
	if s.settle() {
		s.ended(protocol.Response{Outcome: outcome})
	}
}

// settle marks the delivery as over and tells whether it was not.
func (s *Sending) settle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.over
	s.over = true
	return !was
}

// begin marks that bytes go out on a connection from here on, unless the delivery was given up meanwhile.
func (s *Sending) begin(on *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.on = !s.over, on
	return s.begun
}

// open brings a connection up for a delivery.
func (in *Instances) open(address string, s *Sending) {
	if !in.share.take() {
		s.end(decision.OutcomeNotSent)
		return
	}
	conn, err := net.DialTimeout("tcp", address, in.connectWithin)
	if err != nil {
		in.share.give()
		s.end(decision.OutcomeConnectFailed)
		return
	}
	l := &link{in: in, address: address, openedAt: time.Now(), conn: conn.(*net.TCPConn)}
	if l.raw, err = l.conn.SyscallConn(); err != nil {
		l.close(err.Error())
		s.end(decision.OutcomeConnectFailed)
		return
	}
	go l.write(s, false)
	l.read()
}

// write sends a delivery's bytes. Until the last of them is written the command can't have run. A used
// connection that has ended meanwhile, or on which anything has come since its last answer, is replaced, as
// long as nothing was written.
func (l *link) write(s *Sending, used bool) {
	l.mu.Lock()
	closed := l.closed || l.spent || used && !l.silent()
	if !closed {
		l.work, l.writing = s, true
	}
	l.mu.Unlock()
	if closed {
		l.close("it ended or brought more while idle")
		l.again(s, used)
		return
	}
	within := time.Until(s.until)
	bytes := s.encode(within)
	l.conn.SetReadDeadline(time.Time{})
	// Nothing but the writing itself comes after this look at the time: the process may stand still at any point.
	if within <= 0 || time.Since(s.since) > l.in.connectWithin+heldUp {
		s.end(decision.OutcomeNotSent)
	}
	if !s.begin(l) {
		l.spare()
		return
	}
	n, err := l.conn.Write(bytes)
	l.mu.Lock()
	l.writing = false
	closed, answered := l.closed, l.work == nil
	l.mu.Unlock()
	switch {
	case err != nil && n == 0:
		l.close(err.Error())
		l.again(s, used)
	case err != nil:
		s.end(decision.OutcomeConnectFailed)
		l.close(err.Error())
	case closed:
		s.end(decision.OutcomeConnectionLost)
	case answered: // before it was written
		l.in.giveIdle(l)
	}
}

// silent tells whether the connection stands and nothing waits on it to be read.
func (l *link) silent() bool {
	_, err := peek(l.raw)
	return err == unix.EAGAIN
}

// peek tells whether a byte waits on a connection, without reading it: 1 if one does, 0 at its end, an error otherwise.
func peek(raw syscall.RawConn) (n int, err error) {
	if failed := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); failed != nil {
		return 0, failed
	}
	return n, err
}

// spare keeps a connection whose delivery was given up before it began, for another.
func (l *link) spare() {
	l.mu.Lock()
	l.work, l.writing = nil, false
	l.mu.Unlock()
	l.in.giveIdle(l)
}

// again opens a new connection for a delivery of which nothing was written on a used one.
func (l *link) again(s *Sending, used bool) {
	s.mu.Lock()
	s.begun, s.on = false, nil
	over := s.over
	s.mu.Unlock()
	if over {
		return
	}
	if used {
		l.in.open(l.address, s)
	} else {
		s.end(decision.OutcomeConnectFailed)
	}
}

// read carries what comes back to the state machine until the connection ends. Nothing but the reply to the
// delivery in work may come: a connection on which more comes is of no further use.
func (l *link) read() {
	reason := "it has stood idle for long enough"
	defer func() { l.close(reason) }()
	b, reply := protocol.NewBuffer(protocol.MaxResponseSize), protocol.ResponseReader{}
	for {
		n, s, err := l.receive(b.Space())
		b.Commit(n)
		if n > 0 && !l.take(s, b, &reply) {
			reason = "it brought what belongs to no answer"
			return
		}
		if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
			if l.in.rested(l) {
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
func (l *link) receive(room []byte) (n int, s *Sending, err error) {
	failed := l.raw.Read(func(fd uintptr) bool {
		l.mu.Lock()
		n, err = unix.Read(int(fd), room)
		again := err == unix.EAGAIN || err == unix.EINTR
		s = l.work
		l.spent = l.spent || s == nil && !again
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
func (l *link) take(s *Sending, b *protocol.Buffer, reply *protocol.ResponseReader) bool {
	if s == nil {
		l.in.complaints.Complain("an instance sent what nobody asked for", "address", l.address)
		return false
	}
	response, done, err := reply.Next(b)
	if err != nil {
		l.in.complaints.Complain("an instance sent a damaged reply", "address", l.address)
		response, done = protocol.Response{Outcome: decision.OutcomeError}, true // it may have run, and the instance is there
	}
	if !done {
		return true
	}
	sound := err == nil && len(b.Bytes()) == 0
	l.mu.Lock()
	writing := l.writing
	l.work = nil
	l.mu.Unlock()
	told := s.settle() // before the connection serves another
	switch {
	case !sound:
		l.close("a spoilt answer")
	case !writing:
		l.in.giveIdle(l)
	}
	if told {
		s.ended(response)
	}
	return sound
}

// close ends a connection and what it had in work, and gives its descriptor back. The reason goes to the log.
func (l *link) close(reason string) {
	l.mu.Lock()
	was, s, writing := l.closed, l.work, l.writing
	l.closed = true
	l.mu.Unlock()
	if was {
		return
	}
	slog.Debug("an instance's connection is closed", "address", l.address, "reason", reason)
	l.in.forget(l)
	l.conn.Close()
	l.in.share.give()
	if s == nil {
		return
	}
	if !writing { // else write tells, which knows whether the last byte went out
		s.end(decision.OutcomeConnectionLost)
	}
}

func (in *Instances) takeIdle(address string) *link {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	for _, l := range slices.Backward(in.idle[address]) {
		if now.Sub(l.idleAt) >= restFor {
			in.remove(l)
			return l
		}
	}
	return nil
}

// giveIdle lets a connection stand for the next delivery, unless it has ended.
func (in *Instances) giveIdle(l *link) {
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	l.conn.SetReadDeadline(now.Add(in.idleFor)) // read ends then, if nothing was sent since
	l.mu.Lock()
	closed := l.closed
	l.mu.Unlock()
	if closed {
		return
	}
	l.idleAt = now
	in.idle[l.address] = append(in.idle[l.address], l)
	in.all = append(in.all, l)
}

// remove takes a connection off the idle ones and tells whether it was one.
func (in *Instances) remove(l *link) bool {
	at := slices.Index(in.all, l)
	if at < 0 {
		return false
	}
	in.all = slices.Delete(in.all, at, at+1)
	some := in.idle[l.address]
	at = slices.Index(some, l)
	if in.idle[l.address] = slices.Delete(some, at, at+1); len(some) == 1 {
		delete(in.idle, l.address)
	}
	return true
}

// rested takes a connection off the idle ones whose time is over. One that a delivery has just taken has no such time:
// to read again at once would turn round for ever where nothing else gets to run.
func (in *Instances) rested(l *link) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	idle := in.remove(l)
	if !idle {
		l.conn.SetReadDeadline(time.Time{})
	}
	return idle
}

func (in *Instances) forget(l *link) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.remove(l)
}

// closeIdle closes the connection that has stood idle longest.
func (in *Instances) closeIdle() bool {
	in.mu.Lock()
	var l *link
	if len(in.all) > 0 {
		l = in.all[0]
		in.remove(l)
	}
	in.mu.Unlock()
	if l != nil {
		l.close("its descriptor is wanted")
	}
	return l != nil
}

// Drop closes the idle connections to an address that is no longer listed.
func (in *Instances) Drop(address string) {
	in.mu.Lock()
	some := slices.Clone(in.idle[address])
	for _, l := range some {
		in.remove(l)
	}
	in.mu.Unlock()
	for _, l := range some {
		l.close("its address is no longer listed")
	}
}
