package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
	"laurelring/internal/seededrand"
)

// Desk keeps a connection to the platform: it listens to what the platform tells and casts votes on it.
type Desk struct {
	within time.Duration
	told   func(decision.RolloutStatus)
	voted  func(how decision.Outcome)
	state  func(address string, why error) // without a reason it is heard
	chance *seededrand.Chance
	votes  chan decision.Vote
	moved  chan struct{} // holds one once the address has changed
	number int           // of the last call
	heard  int           // the last call to listen that was answered

	mu      sync.Mutex
	address string
}

const (
	votesMost  = 4                       // votes that wait to be cast; the module casts one at a time
	silentFor  = 3500 * time.Millisecond // a sign of life comes every second
	lineWithin = 500 * time.Millisecond  // a line that has begun is whole, or is never
	leaveFor   = time.Second             // an address that is left is still heard for votes in hand
	deskFirst  = 300 * time.Millisecond  // the first connection comes within this, by lot: fleets start at once
	deskAgain  = 100 * time.Millisecond  // between two connections, and as much more by lot
	deskMost   = 800 * time.Millisecond  // the same where one after the other fails
	deskWithin = time.Second             // for a connection to come up
)

// NewDesk takes the platform's address, how long a vote's answer is waited for, and whom to tell of news, of
// how a vote ended, and of the connection's coming and going.
func NewDesk(address string, within time.Duration,
	told func(decision.RolloutStatus), voted func(how decision.Outcome),
	state func(address string, why error), chance *seededrand.Chance) *Desk {
	return &Desk{address: address, within: within, told: told, voted: voted, state: state, chance: chance,
		votes: make(chan decision.Vote, votesMost), moved: make(chan struct{}, 1)}
}

// Move has the platform heard at another address. Votes in hand are waited for where they were cast; those
// to come are cast there.
func (d *Desk) Move(address string) {
	d.mu.Lock()
	changed := d.address != address
	d.address = address
	d.mu.Unlock()
	if changed {
		select {
		case d.moved <- struct{}{}:
		default:
		}
	}
}

func (d *Desk) at() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// Vote casts a vote. It does not wait; a vote for which there is no room was not carried out.
func (d *Desk) Vote(v decision.Vote) {
	select {
	case d.votes <- v:
	default:
		go d.voted(decision.OutcomeConnectFailed)
	}
}

// Run keeps the connection until the context ends. One that was heard is replaced soon, one after another
// that is not, later each time.
func (d *Desk) Run(ctx context.Context) {
	d.rest(ctx, d.chance.Time(deskFirst))
	for pause := deskAgain; ctx.Err() == nil; {
		number := d.number + 1
		address := d.at()
		conn, err := (&net.Dialer{Timeout: deskWithin}).DialContext(ctx, "tcp", address)
		if err == nil {
			err = d.serve(ctx, address, conn)
		}
		if err == nil || d.heard >= number {
			pause = deskAgain
		}
		if err == nil { // left for another address
			continue
		}
		d.state(address, err)
		d.rest(ctx, pause+d.chance.Time(pause))
		pause = min(2*pause, deskMost)
	}
}

// rest waits before the next connection, unless the address changes. Votes meanwhile are not carried out.
func (d *Desk) rest(ctx context.Context, pause time.Duration) {
	again := time.After(pause)
	for {
		select {
		case <-d.votes:
			d.voted(decision.OutcomeConnectFailed)
		case <-d.moved:
			return
		case <-again:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waiting is a vote whose answer is to come.
type waiting struct {
	id int
	at time.Time // when it is no longer waited for
}

// serve listens and votes on one connection until it ends or falls silent; no error says that it was left for
// another address, or that the context has ended.
func (d *Desk) serve(ctx context.Context, address string, conn net.Conn) error {
	var votes []waiting
	defer func() {
		conn.Close()
		for range votes {
			d.voted(decision.OutcomeTimeout)
		}
	}()
	lines, broken, done := make(chan []byte), make(chan error, 1), make(chan struct{})
	defer close(done)
	go readLines(conn, lines, broken, done)
	d.number++
	if _, err := conn.Write(protocol.EncodeListen(d.number)); err != nil {
		return err
	}
	listening, alive := d.number, time.Now()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	cast, leaveAt := d.votes, time.Time{}
	for {
		if cast == nil && len(votes) == 0 {
			return nil
		}
		select {
		case <-d.moved:
			cast, leaveAt = nil, time.Now().Add(leaveFor)
		case line := <-lines:
			alive = time.Now()
			err := protocol.ParseControllerLine(line, protocol.ControllerEvents{Status: d.told, Answered: func(id int, how decision.Outcome) {
				if id == listening {
					d.heard = id
					d.state(address, nil)
				}
				for i, v := range votes {
					if v.id == id {
						votes = append(votes[:i], votes[i+1:]...)
						d.voted(how)
						return
					}
				}
			}})
			if err != nil {
				return err
			}
		case v := <-cast:
			d.number++
			text := protocol.EncodeVote(d.number, v)
			conn.SetWriteDeadline(time.Now().Add(d.within))
			if n, err := conn.Write(text); n < len(text) {
				d.voted(decision.OutcomeConnectFailed)
				return err
			}
			votes = append(votes, waiting{d.number, time.Now().Add(d.within)})
		case now := <-tick.C:
			for len(votes) > 0 && now.After(votes[0].at) {
				votes = votes[1:]
				d.voted(decision.OutcomeTimeout)
			}
			if cast == nil && now.After(leaveAt) {
				return nil
			}
			if now.Sub(alive) > silentFor {
				return errSilent
			}
		case err := <-broken:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// readLines hands on whole lines until the connection ends, or a line is not whole in time.
func readLines(conn net.Conn, lines chan<- []byte, broken chan<- error, done <-chan struct{}) {
	b := protocol.NewBuffer(protocol.MaxLineSize)
	for {
		n, err := conn.Read(b.Space())
		b.Commit(n)
		for {
			line, bad := protocol.NextLine(b)
			if bad != nil {
				err = bad
			}
			if line == nil {
				break
			}
			select {
			case lines <- append([]byte(nil), line...):
			case <-done:
				return
			}
		}
		if err != nil {
			broken <- err
			return
		}
		late := time.Time{}
		if len(b.Bytes()) > 0 {
			late = time.Now().Add(lineWithin)
		}
		conn.SetReadDeadline(late)
	}
}

var errSilent = errors.New("no sign of life")
