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
	// longPollLimit is the upper bound on the wait of one long poll, even if the configured wait is longer. A random part
	// of the wait, up to 1/waitJitterDivisor, is subtracted, so that gateways whose watches stop responding at the same
	// time detect it, and poll again, one after the other. A silent watch is tolerated for at most 6 s: the wait,
	// responseGrace and two pauses before the next call, in case the first new poll is refused, stay within that.
	longPollLimit     = 2400 * time.Millisecond
	waitJitterDivisor = 3
	// responseGrace is how long to wait for a response after the wait of its long poll, because discovery serves polls one
	// after the other.
	responseGrace = 1200 * time.Millisecond
	// firstPollWait is the wait of the first poll of a watch. It is short so that discovery responds at once, because the
	// endpoint list is not confirmed until then.
	firstPollWait = time.Millisecond
	// responseStallTimeout is the maximum time between two reads of a response. A response that exceeds it is abandoned.
	responseStallTimeout = 500 * time.Millisecond
)

// DiscoveryClient watches the endpoint list of discovery with long polls.
type DiscoveryClient struct {
	config   DiscoveryClientConfig
	client   *http.Client
	maxWait  time.Duration
	watching atomic.Bool
	conn     atomic.Pointer[trackedConn] // the most recent connection, nil before the first

	// The following fields are used only on the goroutine of the watch.
	revision    int64 // of the last list that OnList accepted
	requestFull bool  // request the full list in the next poll, as discovery sent a list older than the one held

	mu             sync.Mutex
	address        string
	addressChanges int                // how often the address has changed
	cancelPoll     context.CancelFunc // ends the current poll
}

// DiscoveryClientConfig configures a DiscoveryClient. All fields but Revision are required. The callbacks are called
// one at a time, on the goroutine of the watch.
type DiscoveryClientConfig struct {
	Address  string             // of discovery
	MaxWait  time.Duration      // of one long poll; the client may wait for less
	Revision int64              // of the endpoint list that the gateway starts with
	Random   *seededrand.Source // adds jitter to the polls, so that the gateways of a fleet do not poll in step
	// OnListStart is called when an endpoint list begins to arrive, before it is complete, because the list is binding
	// for the gateway from the time discovery writes it.
	OnListStart func()
	// OnList is called with the text of each list that arrives. full is true if the poll requested the full list rather
	// than the changes after a revision. OnList returns the revision of the list, or protocol.ErrOlderList if a newer list
	// is held, in which case the next poll requests the full list.
	OnList func(text []byte, full bool) (revision int64, err error)
	// OnFailure is called with a *protocol.CallError when a poll has failed, which ends the watch.
	OnFailure func(error)
}

func (c *DiscoveryClientConfig) validate() error {
	switch {
	case c.Random == nil:
		return errors.New("discovery client needs a source of random numbers")
	case c.MaxWait < 0:
		return errors.New("discovery client wait must not be negative")
	case c.OnListStart == nil || c.OnList == nil || c.OnFailure == nil:
		return errors.New("discovery client needs the callbacks OnListStart, OnList and OnFailure")
	}
	return nil
}

// NewDiscoveryClient returns a client that polls once StartWatch is called. It returns an error if a field of its
// configuration is missing or negative.
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

// dial opens a connection of which HasUnhandledInput reports unhandled input.
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

// HasUnhandledInput reports whether discovery has sent anything that has not been passed to OnList or OnFailure yet. It
// does not block.
func (c *DiscoveryClient) HasUnhandledInput() bool {
	conn := c.conn.Load()
	return conn != nil && conn.hasUnhandledInput()
}

// StartWatch starts a watch of the endpoint list from the last revision, unless a watch is running already. It does not
// block. The watch ends when a poll fails, which is reported to OnFailure, or when the context ends, which is not
// reported.
func (c *DiscoveryClient) StartWatch(ctx context.Context) {
	if !c.watching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		err := c.watch(ctx)
		conn := c.conn.Load() // the next watch may begin, on another connection, as soon as watching is false
		c.watching.Store(false)
		if ctx.Err() == nil {
			c.config.OnFailure(err)
			conn.markHandled()
		}
	}()
}

// SetAddress makes the watch continue at another address at once, by canceling the current poll. It reports whether the
// address has changed.
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

// watch polls repeatedly, each time as soon as the last list has been handled, until a poll fails for another reason
// than a change of the address. A change counts even if the address has been changed back since. The error is a
// *protocol.CallError.
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
		c.conn.Load().markHandled()
	}
}

// pollCurrentAddress polls once and reports whether the address was changed during the poll.
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

// poll makes one long poll and handles its list. responseStarted is true if a response had started to arrive whose list
// was lost. A response that starts and then stalls is abandoned after responseStallTimeout, as its connection may stay
// open indefinitely. A response that makes progress, however slowly, for example because the gateway is short of
// processor time, is read until the timeout of the whole poll. cancel ends the poll and has no effect after that.
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

// listURL returns the URL of a poll, which requests either the full list at once or the changes after the held
// revision.
func (c *DiscoveryClient) listURL(address string, wait time.Duration, full bool) string {
	url := fmt.Sprintf("http://%s/discovery/hosts", address)
	if full {
		return url
	}
	return url + fmt.Sprintf("?after=%d&wait_ms=%d", c.revision, wait.Milliseconds())
}

// readList reads a list and passes it to OnList. listLost is true if the list did not arrive completely, or if OnList
// rejected it for another reason than its revision.
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

// progressReader restarts the stall timer of a poll with each read of the response.
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
