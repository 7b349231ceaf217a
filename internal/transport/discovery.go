package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"laurelring/internal/protocol"
	"laurelring/internal/seededrand"
)

// Discovery watches the list of instances.
type Discovery struct {
	client   *http.Client
	wait     time.Duration
	begun    func()
	told     func(text []byte, anew bool) (revision int64, err error)
	failed   func(error)
	chance   *seededrand.Chance
	revision int64
	anew     bool // the next call asks for all, from no revision on: discovery has come back with an older list
	watching atomic.Bool

	mu      sync.Mutex
	address string
	leave   context.CancelFunc // ends the present call
}

const (
	// A call that goes unanswered tells so no sooner than after its wait: a third of that is by lot, so that gateways
	// whose watches fall silent at once find out, and call again, one after the other. With the grace, and two pauses
	// of the module where the first new call is turned away, that is within the 6 s that a silent watch is excused.
	waitMost       = 2400 * time.Millisecond
	waitLot        = 3
	graceAfterWait = 1200 * time.Millisecond // after its wait an answer may still come: discovery takes calls in turn
	// The first call of a watch asks for an answer at once: until one has come the list is not confirmed.
	waitFirst  = time.Millisecond
	moreWithin = 500 * time.Millisecond // after any of its bytes an answer goes on, or never does
	keepAgain  = 400 * time.Millisecond // after a failed call, and up to half as much less or more by lot: what a local agent has counts as told at once
)

// NewDiscovery takes the address, how long the list may go unasked, the revision that is known, and whom
// to tell of a list that begins to come, of an answer, which gives its revision, or of a failure.
func NewDiscovery(address string, wait time.Duration, revision int64, begun func(),
	told func(text []byte, anew bool) (revision int64, err error), failed func(error), chance *seededrand.Chance) *Discovery {
	wait = min(wait, waitMost)
	return &Discovery{address: address, wait: wait, begun: begun, told: told, failed: failed, revision: revision, leave: func() {},
		chance: chance,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
			Timeout: wait + graceAfterWait}}
}

// Watch asks for the changes from here on, unless a watch stands. It does not wait; a watch ends when a call
// of it fails, which is told.
func (d *Discovery) Watch(ctx context.Context) {
	if !d.watching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		err := d.watch(ctx)
		d.watching.Store(false)
		if ctx.Err() == nil {
			d.failed(err)
		}
	}()
}

// Keep watches for as long as the context stands, where gateways need not ask for themselves.
func (d *Discovery) Keep(ctx context.Context) {
	for ctx.Err() == nil {
		d.failed(d.watch(ctx))
		select {
		case <-time.After(keepAgain/2 + d.chance.Time(keepAgain)):
		case <-ctx.Done():
		}
	}
}

// Move has the watch go on at another address, at once: the present call ends unanswered. It tells whether the address
// is another.
func (d *Discovery) Move(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.address == address {
		return false
	}
	d.address = address
	d.leave()
	return true
}

// watch calls again and again, each time as soon as the answer is told, until a call fails where the list
// still is.
func (d *Discovery) watch(ctx context.Context) error {
	defer d.client.CloseIdleConnections()
	first := true
	for {
		call, leave := context.WithCancel(ctx)
		d.mu.Lock()
		address := d.address
		d.leave = leave
		d.mu.Unlock()
		since := time.Now()
		begun, err := d.call(call, leave, address, first)
		leave()
		if err != nil {
			err = &protocol.CallError{Revision: d.revision, Duration: time.Since(since), ResponseStarted: begun, Err: err}
		}
		d.mu.Lock()
		moved := d.address != address
		d.mu.Unlock()
		if first = moved; moved {
			d.client.CloseIdleConnections()
		} else if err != nil {
			return err
		}
	}
}

// call makes one call of a watch and tells what it brought. An answer that begins and does not go on is given
// up soon: the connection may stand for ever. One that goes on slowly, to a gateway short of processor time say,
// is read until the call's whole time is over. To leave a call that has ended does nothing. It tells whether a list
// had begun to come that was not taken in.
func (d *Discovery) call(ctx context.Context, leave context.CancelFunc, address string, first bool) (begun bool, err error) {
	var answering atomic.Bool
	wait := d.wait - d.chance.Time(d.wait/waitLot)
	stalled := time.AfterFunc(wait+graceAfterWait, leave)
	defer stalled.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		answering.Store(true)
		stalled.Reset(moreWithin)
	}})
	anew := d.anew
	url := fmt.Sprintf("http://%s/discovery/hosts", address)
	asked := wait
	if first {
		asked = waitFirst
	}
	if d.anew = false; !anew {
		url += fmt.Sprintf("?after=%d&wait_ms=%d", d.revision, asked.Milliseconds())
	}
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	answer, err := d.client.Do(ask)
	if err != nil {
		return answering.Load(), err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answered %s", answer.Status)
	}
	d.begun()
	text, err := io.ReadAll(io.LimitReader(&going{answer.Body, stalled}, protocol.MaxEndpointListSize))
	if err != nil {
		return true, err
	}
	revision, err := d.told(text, anew)
	if err == nil {
		d.revision = revision
	}
	d.anew = errors.Is(err, protocol.ErrOlderList)
	return err != nil && !d.anew, err
}

// going puts the end of a call off with each of its bytes.
type going struct {
	io.Reader
	stalled *time.Timer
}

func (g *going) Read(p []byte) (int, error) {
	n, err := g.Reader.Read(p)
	if n > 0 && err == nil {
		g.stalled.Reset(moreWithin)
	}
	return n, err
}
