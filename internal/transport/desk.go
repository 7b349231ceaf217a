package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"laurelring/choice"
	"laurelring/internal/protocol"
)

// Desk keeps a connection to the platform: it listens to what the platform tells and casts votes on it.
type Desk struct {
	address string
	within  time.Duration
	told    func(build, stage int, phase choice.Phase, most float64, since int64)
	voted   func(how choice.Outcome)
	state   func(up bool, why error)
	votes   chan choice.Vote
	number  int // of the last call
}

const (
	votesMost  = 4                       // votes that wait to be cast; the module casts one at a time
	silentFor  = 3500 * time.Millisecond // a sign of life comes every second
	deskAgain  = 300 * time.Millisecond  // between two connections
	deskWithin = time.Second             // for a connection to come up
)

// NewDesk takes the platform's address, how long a vote's answer is waited for, and whom to tell of news, of
// how a vote ended, and of the connection's coming and going.
func NewDesk(address string, within time.Duration,
	told func(build, stage int, phase choice.Phase, most float64, since int64), voted func(how choice.Outcome),
	state func(up bool, why error)) *Desk {
	return &Desk{address: address, within: within, told: told, voted: voted, state: state,
		votes: make(chan choice.Vote, votesMost)}
}

// Vote casts a vote. It does not wait; a vote for which there is no room was not carried out.
func (d *Desk) Vote(v choice.Vote) {
	select {
	case d.votes <- v:
	default:
		go d.voted(choice.Unconnected)
	}
}

// Run keeps the connection until the context ends.
func (d *Desk) Run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: deskWithin}).DialContext(ctx, "tcp", d.address)
		if err == nil {
			err = d.serve(ctx, conn)
		}
		d.state(false, err)
		again := time.After(deskAgain)
		for waiting := true; waiting; {
			select {
			case <-d.votes:
				d.voted(choice.Unconnected)
			case <-again:
				waiting = false
			case <-ctx.Done():
				return
			}
		}
	}
}

// waiting is a vote whose answer is to come.
type waiting struct {
	id int
	at time.Time // when it is no longer waited for
}

// serve listens and votes on one connection until it ends or falls silent.
func (d *Desk) serve(ctx context.Context, conn net.Conn) error {
	var votes []waiting
	defer func() {
		conn.Close()
		for range votes {
			d.voted(choice.TimedOut)
		}
	}()
	lines, broken, done := make(chan []byte), make(chan error, 1), make(chan struct{})
	defer close(done)
	go readLines(conn, lines, broken, done)
	d.number++
	if _, err := conn.Write(protocol.Listen(d.number)); err != nil {
		return err
	}
	listening, alive := d.number, time.Now()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case line := <-lines:
			alive = time.Now()
			err := protocol.Desk(line, d.told, func(id int, how choice.Outcome) {
				if id == listening {
					d.state(true, nil)
				}
				for i, v := range votes {
					if v.id == id {
						votes = append(votes[:i], votes[i+1:]...)
						d.voted(how)
						return
					}
				}
			})
			if err != nil {
				return err
			}
		case v := <-d.votes:
			d.number++
			text := protocol.Ballot(d.number, v)
			conn.SetWriteDeadline(time.Now().Add(d.within))
			if n, err := conn.Write(text); n < len(text) {
				d.voted(choice.Unconnected)
				return err
			}
			votes = append(votes, waiting{d.number, time.Now().Add(d.within)})
		case now := <-tick.C:
			for len(votes) > 0 && now.After(votes[0].at) {
				votes = votes[1:]
				d.voted(choice.TimedOut)
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

// readLines hands on whole lines until the connection ends.
func readLines(conn net.Conn, lines chan<- []byte, broken chan<- error, done <-chan struct{}) {
	b := protocol.NewBuffer(protocol.LineMost)
	for {
		n, err := conn.Read(b.Room())
		b.Add(n)
		for {
			line, bad := protocol.Line(b)
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
	}
}

var errSilent = errors.New("no sign of life")
