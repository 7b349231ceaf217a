package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"laurelring/internal/protocol"
	"laurelring/internal/seededrand"
)

const (
	// longPollLimit bounds the wait of one poll, however long the gateway may go without one. A random part of the wait,
	// up to 1/waitJitterDivisor, is left out, so that gateways whose watches fall silent at once notice, and poll again,
	// one after the other. With responseGrace, and two of the backoffs that follow where the first new poll is refused,
	// that is within 6 s, the longest time for which a silent watch is tolerated.
	longPollLimit     = 2400 * time.Millisecond
	waitJitterDivisor = 3
	// responseGrace is for how long a response is awaited after its wait: discovery serves polls in turn.
	responseGrace = 1200 * time.Millisecond
	// firstPollWait has the first poll of a watch answered at once: until then the list is not confirmed.
	firstPollWait = time.Millisecond
	// responseStallTimeout is the time between two reads of a response, after which it is given up.
	responseStallTimeout = 500 * time.Millisecond
	// watchRetryDelay is the mean delay after a failed watch of KeepWatching; each is up to half as much shorter or
	// longer. It is short as a list that has been pushed counts as received at once.
	watchRetryDelay = 400 * time.Millisecond
)

// DiscoveryClient watches the endpoint list by long polls.
type DiscoveryClient struct {
	config   DiscoveryClientConfig
	client   *http.Client
	maxWait  time.Duration
	watching atomic.Bool
	conn     atomic.Pointer[trackedConn] // the one opened last, nil before the first

	// Only the goroutine of the watch touches these.
	revision    int64 // of the last list that OnList accepted
	requestFull bool  // the next poll asks for the full list: discovery answered with one older than the one held

	mu             sync.Mutex
	address        string
	addressChanges int                // how often the address has changed
	cancelPoll     context.CancelFunc // ends the present poll
}

// DiscoveryClientConfig is what a DiscoveryClient needs. All fields but Revision are required. The callbacks are
// called one at a time, on the goroutine of the watch.
type DiscoveryClientConfig struct {
	Address  string             // of discovery
	MaxWait  time.Duration      // of one long poll; the client may wait for less
	Revision int64              // of the endpoint list that the gateway starts with
	Random   *seededrand.Source // spreads the polls of a fleet
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
	maxWait := min(config.MaxWait, longPollLimit)
	c := &DiscoveryClient{
		config:     config,
		maxWait:    maxWait,
		revision:   config.Revision,
		address:    config.Address,
		cancelPoll: func() {},
	}
	c.client = &http.Client{
		Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true, DialContext: c.dial},
		Timeout:   maxWait + responseGrace,
	}
	return c, nil
}

// dial opens a connection whose unread bytes HasUnhandled sees.
func (c *DiscoveryClient) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked, err := trackInput(conn)
	if err != nil {
		return nil, err
	}
	c.conn.Store(tracked)
	return tracked, nil
}

// HasUnhandled reports whether discovery has sent something that OnList or OnFailure has not been given yet. It does not
// wait.
func (c *DiscoveryClient) HasUnhandled() bool {
	conn := c.conn.Load()
	return conn != nil && conn.hasUnhandledInput()
}

// markHandled says that what discovery has sent so far was handled.
func (c *DiscoveryClient) markHandled() {
	if conn := c.conn.Load(); conn != nil {
		conn.markHandled()
	}
}

// StartWatch watches the list from the last revision on, unless it is being watched already. It does not wait. The
// watch ends when a poll fails, which OnFailure reports, or when the context ends, which it does not.
func (c *DiscoveryClient) StartWatch(ctx context.Context) {
	if !c.watching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		err := c.watch(ctx)
		c.watching.Store(false)
		if ctx.Err() == nil {
			c.config.OnFailure(err)
			c.markHandled()
		}
	}()
}

// KeepWatching watches the list until the context ends, with a short delay after each failure. It is for gateways to
// which the list is pushed: the balancer does not pace their polls.
func (c *DiscoveryClient) KeepWatching(ctx context.Context) {
	for ctx.Err() == nil {
		c.config.OnFailure(c.watch(ctx))
		c.markHandled()
		select {
		case <-time.After(watchRetryDelay/2 + c.config.Random.Duration(watchRetryDelay)):
		case <-ctx.Done():
		}
	}
}

// SetAddress has the watch continue at another address, at once: the present poll is canceled. It reports whether
// the address is another one.
func (c *DiscoveryClient) SetAddress(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == address {
		return false
	}
	c.address = address
	c.addressChanges++
	c.cancelPoll()
	return true
}

// watch polls again and again, each time as soon as the last list is handled, until a poll fails and the address has
// not changed meanwhile, there and back included. It returns a *protocol.CallError.
func (c *DiscoveryClient) watch(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	first := true
	for {
		addressChanged, err := c.pollCurrentAddress(ctx, first)
		if first = addressChanged; addressChanged {
			c.client.CloseIdleConnections()
		} else if err != nil {
			return err
		}
		c.markHandled()
	}
}

// pollCurrentAddress polls once and reports whether the address has changed meanwhile.
func (c *DiscoveryClient) pollCurrentAddress(ctx context.Context, first bool) (addressChanged bool, err error) {
	pollCtx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	address, addressChanges := c.address, c.addressChanges
	c.cancelPoll = cancel
	c.mu.Unlock()
	started := time.Now()
	responseStarted, err := c.poll(pollCtx, cancel, address, first)
	cancel()
	if err != nil {
		err = &protocol.CallError{Revision: c.revision, Duration: time.Since(started), ResponseStarted: responseStarted, Err: err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addressChanges != addressChanges, err
}

// poll makes one long poll and handles its list. It reports whether a list had started to arrive that was not taken
// over. A response that starts and stalls is given up soon, as its connection may stay open for ever; one that makes
// progress, if slowly, as to a gateway short of processor time, is read until the timeout of the whole poll. cancel
// ends the poll; to call it after that does nothing.
func (c *DiscoveryClient) poll(ctx context.Context, cancel context.CancelFunc, address string, first bool) (responseStarted bool, err error) {
	var responding atomic.Bool
	wait := c.maxWait - c.config.Random.Duration(c.maxWait/waitJitterDivisor)
	stallTimer := time.AfterFunc(wait+responseGrace, cancel)
	defer stallTimer.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		responding.Store(true)
		stallTimer.Reset(responseStallTimeout)
	}})
	if first {
		wait = firstPollWait
	}
	full := c.requestFull
	c.requestFull = false
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.listURL(address, wait, full), nil)
	if err != nil {
		return false, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return responding.Load(), err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery responded with status %s", response.Status)
	}
	c.config.OnListStart()
	return c.readList(&progressReader{response.Body, stallTimer}, full)
}

// listURL is the URL of a poll: of the full list at once, or of what changed after the revision.
func (c *DiscoveryClient) listURL(address string, wait time.Duration, full bool) string {
	url := fmt.Sprintf("http://%s/discovery/hosts", address)
	if full {
		return url
	}
	return url + fmt.Sprintf("?after=%d&wait_ms=%d", c.revision, wait.Milliseconds())
}

// readList reads a list and has it handled. notTaken is true where it did not arrive completely, or was refused for
// another reason than its revision.
func (c *DiscoveryClient) readList(body io.Reader, full bool) (listLost bool, err error) {
	text, err := io.ReadAll(io.LimitReader(body, protocol.MaxEndpointListSize))
	if err != nil {
		return true, err
	}
	revision, err := c.config.OnList(text, full)
	if err == nil {
		c.revision = revision
		return false, nil
	}
	c.requestFull = errors.Is(err, protocol.ErrOlderList)
	return !c.requestFull, err
}

// progressReader postpones the end of a poll with each read of its response.
type progressReader struct {
	io.Reader
	stallTimer *time.Timer
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && err == nil {
		r.stallTimer.Reset(responseStallTimeout)
	}
	return n, err
}
