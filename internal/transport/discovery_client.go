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

// DiscoveryClient watches the list of instances.
type DiscoveryClient struct {
	config      DiscoveryClientConfig
	client      *http.Client
	maxWait     time.Duration
	revision    int64
	requestFull bool // the next call asks for all, from no revision on: discovery has come back with an older list
	watching    atomic.Bool

	mu         sync.Mutex
	address    string
	cancelPoll context.CancelFunc // ends the present call
}

const (
	// A call that goes unanswered tells so no sooner than after its wait: a third of that is by lot, so that gateways
	// whose watches fall silent at once find out, and call again, one after the other. With the grace, and two pauses
	// of the module where the first new call is turned away, that is within the 6 s that a silent watch is excused.
	longPollLimit     = 2400 * time.Millisecond
	waitJitterDivisor = 3
	responseGrace     = 1200 * time.Millisecond // after its wait an answer may still come: discovery takes calls in turn
	// The first call of a watch asks for an answer at once: until one has come the list is not confirmed.
	firstPollWait        = time.Millisecond
	responseStallTimeout = 500 * time.Millisecond // after any of its bytes an answer goes on, or never does
	watchRetryDelay      = 400 * time.Millisecond // after a failed call, and up to half as much less or more by lot: what a local agent has counts as told at once
)

// DiscoveryClientConfig is what a DiscoveryClient needs. All fields but Revision are required. The callbacks are
// called one at a time, on the goroutine of the watch.
type DiscoveryClientConfig struct {
	Address  string             // of discovery
	MaxWait  time.Duration      // of one long poll; the client may wait for less
	Revision int64              // of the endpoint list that the gateway starts with
	Random   *seededrand.Chance // spreads the polls of a fleet
	// OnListStart is called when an endpoint list begins to arrive, before it is complete: what the list says
	// binds the gateway from the moment it is written.
	OnListStart func()
	// OnList is called with the text of each list that arrived. full says that the poll asked for the list from
	// no revision on. It returns the revision of the list, or protocol.ErrOlderList where a newer one is held: the
	// next poll asks for the full list then.
	OnList func(text []byte, full bool) (revision int64, err error)
	// OnFailure is called with a *protocol.CallError when a poll failed and the watch has ended.
	OnFailure func(error)
}

func (c *DiscoveryClientConfig) validate() error {
	switch {
	case c.Random == nil:
		return errors.New("discovery client needs a source of random numbers")
	case c.MaxWait < 0:
		return errors.New("discovery client wait must not be negative")
	case c.OnListStart == nil || c.OnList == nil || c.OnFailure == nil:
		return errors.New("discovery client needs its callbacks")
	}
	return nil
}

// NewDiscoveryClient returns a client that polls once StartWatch or KeepWatching is called. It fails where a field
// of its configuration is missing or negative.
func NewDiscoveryClient(config DiscoveryClientConfig) (*DiscoveryClient, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	wait := min(config.MaxWait, longPollLimit)
	return &DiscoveryClient{config: config, address: config.Address, maxWait: wait, revision: config.Revision,
		cancelPoll: func() {},
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
			Timeout: wait + responseGrace}}, nil
}

// StartWatch asks for the changes from here on, unless a watch stands. It does not wait; a watch ends when a call
// of it fails, which is told.
func (d *DiscoveryClient) StartWatch(ctx context.Context) {
	if !d.watching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		err := d.watch(ctx)
		d.watching.Store(false)
		if ctx.Err() == nil {
			d.config.OnFailure(err)
		}
	}()
}

// KeepWatching watches for as long as the context stands, where gateways need not ask for themselves.
func (d *DiscoveryClient) KeepWatching(ctx context.Context) {
	for ctx.Err() == nil {
		d.config.OnFailure(d.watch(ctx))
		select {
		case <-time.After(watchRetryDelay/2 + d.config.Random.Time(watchRetryDelay)):
		case <-ctx.Done():
		}
	}
}

// SetAddress has the watch go on at another address, at once: the present call ends unanswered. It tells whether the address
// is another.
func (d *DiscoveryClient) SetAddress(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.address == address {
		return false
	}
	d.address = address
	d.cancelPoll()
	return true
}

// watch calls again and again, each time as soon as the answer is told, until a call fails where the list
// still is.
func (d *DiscoveryClient) watch(ctx context.Context) error {
	defer d.client.CloseIdleConnections()
	first := true
	for {
		call, leave := context.WithCancel(ctx)
		d.mu.Lock()
		address := d.address
		d.cancelPoll = leave
		d.mu.Unlock()
		since := time.Now()
		begun, err := d.poll(call, leave, address, first)
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
func (d *DiscoveryClient) poll(ctx context.Context, leave context.CancelFunc, address string, first bool) (begun bool, err error) {
	var answering atomic.Bool
	wait := d.maxWait - d.config.Random.Time(d.maxWait/waitJitterDivisor)
	stalled := time.AfterFunc(wait+responseGrace, leave)
	defer stalled.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		answering.Store(true)
		stalled.Reset(responseStallTimeout)
	}})
	anew := d.requestFull
	url := fmt.Sprintf("http://%s/discovery/hosts", address)
	asked := wait
	if first {
		asked = firstPollWait
	}
	if d.requestFull = false; !anew {
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
	d.config.OnListStart()
	text, err := io.ReadAll(io.LimitReader(&stallResettingReader{answer.Body, stalled}, protocol.MaxEndpointListSize))
	if err != nil {
		return true, err
	}
	revision, err := d.config.OnList(text, anew)
	if err == nil {
		d.revision = revision
	}
	d.requestFull = errors.Is(err, protocol.ErrOlderList)
	return err != nil && !d.requestFull, err
}

// going puts the end of a call off with each of its bytes.
type stallResettingReader struct {
	io.Reader
	stalled *time.Timer
}

func (g *stallResettingReader) Read(p []byte) (int, error) {
	n, err := g.Reader.Read(p)
	if n > 0 && err == nil {
		g.stalled.Reset(responseStallTimeout)
	}
	return n, err
}
