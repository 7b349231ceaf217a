package gatewaytest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// unchangedResponseDelay is how long ScriptedDiscovery waits for a scripted response before it reports no change.
const unchangedResponseDelay = time.Second

// ScriptedDiscovery is a fake discovery service that answers each call with the next response from Lists. If none comes
// within a second, it reports no change.
type ScriptedDiscovery struct {
	Lists    chan string // scripted responses; services that a gateway moves between may share the channel
	Requests chan string // receives the path and query of each call, unless nil
}

// Listen starts serving on a free port and returns the address.
func (d *ScriptedDiscovery) Listen(t *testing.T) string {
	t.Helper()
	listener := Listen(t)
	go http.Serve(listener, d)
	return listener.Addr().String()
}

// ServeHTTP answers one call.
func (d *ScriptedDiscovery) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if d.Requests != nil {
		d.Requests <- in.URL.RequestURI()
	}
	select {
	case text := <-d.Lists:
		io.WriteString(out, text)
	case <-time.After(unchangedResponseDelay):
		fmt.Fprintf(out, `{"revision":%s,"members":[]}`, in.URL.Query().Get("after"))
	}
}

const (
	discoveryTimeout       = 2 * time.Second        // a queued call, or any call while down, is refused after this time
	discoveryMaxWait       = 5 * time.Second        // a call that would have to wait longer is refused at once
	watchContinuationLimit = 200 * time.Millisecond // a call this soon after a response on its connection costs nothing
)

// Discovery is a fake discovery service with a fixed capacity: calls are processed one after the other, and each costs
// the same time. A queued call uses capacity even if it is refused after waiting too long.
type Discovery struct {
	mu             sync.Mutex
	callCost       time.Duration // processing time of a call that begins a watch
	records        []EndpointRecord
	revision       int64
	changed        chan struct{} // closed at the next change of the endpoint list
	down           bool
	wentDown       chan struct{} // closed when the service goes down
	busyUntil      time.Time     // when the queued calls will have been processed
	calls          int           // number of calls that began a watch
	partial        bool          // only half of each newer list is written, and later calls are refused
	partialWritten bool          // a partial list has been written
	refusing       bool          // each call is refused at once
	written        []WrittenList
	server         *http.Server
}

// WrittenList records that the service has written a list to a caller.
type WrittenList struct {
	At       time.Time
	Revision int64
}

// Written returns all lists that were written, in order.
func (d *Discovery) Written() []WrittenList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.written)
}

// Listen makes the service listen at one more address and returns it.
func (d *Discovery) Listen(t *testing.T) string {
	t.Helper()
	listener := Listen(t)
	go d.server.Serve(listener)
	return listener.Addr().String()
}

// NewDiscovery starts a discovery service whose calls cost nothing, and returns the service and its address.
func NewDiscovery(t *testing.T, records []EndpointRecord) (*Discovery, string) {
	t.Helper()
	d := &Discovery{records: records, revision: 1, changed: make(chan struct{}), wentDown: make(chan struct{})}
	type lastResponseKey struct{}
	d.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		d.serve(out, in, in.Context().Value(lastResponseKey{}).(*atomic.Int64))
	}), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, lastResponseKey{}, &atomic.Int64{})
	}}
	t.Cleanup(func() { d.server.Close() })
	return d, d.Listen(t)
}

// SetEndpoints replaces the endpoint list and returns the new revision.
func (d *Discovery) SetEndpoints(records []EndpointRecord) (revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records = records
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
	return d.revision
}

// SetDown takes the service down, which ends all watches, or brings it back up.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down = down; down {
		close(d.wentDown)
		d.wentDown = make(chan struct{})
	}
}

// SetCallCost sets the processing time of a call that begins a watch.
func (d *Discovery) SetCallCost(cost time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callCost = cost
}

// SetPartial makes the service write only half of each newer list and refuse all later calls, or makes it answer
// normally again.
func (d *Discovery) SetPartial(partial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partial, d.partialWritten = partial, false
}

// SetRefusing brings the service back up and makes it refuse each call at once, or answer normally.
func (d *Discovery) SetRefusing(refusing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.refusing = false, refusing
}

// Calls returns the number of calls that began a watch.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

func (d *Discovery) serve(out http.ResponseWriter, in *http.Request, lastResponseAt *atomic.Int64) {
	if !d.admit(in.Context(), time.Since(time.Unix(0, lastResponseAt.Load())) < watchContinuationLimit) {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.ParseInt(in.URL.Query().Get("after"), 10, 64)
	milliseconds, _ := strconv.Atoi(in.URL.Query().Get("wait_ms"))
	switch d.awaitNewerList(in.Context(), after, time.Duration(milliseconds)*time.Millisecond) {
	case watchEnded:
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case callerDisconnected:
		return
	}
	text, revision, partial := d.response(after)
	if partial {
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(out, text[:len(text)/2])
		out.(http.Flusher).Flush()
		<-in.Context().Done()
		return
	}
	lastResponseAt.Store(time.Now().UnixNano())
	io.WriteString(out, text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.written = append(d.written, WrittenList{time.Now(), revision})
}

// watchOutcome is how the wait for a newer list ended.
type watchOutcome int

const (
	responseDue watchOutcome = iota // there is a newer list, or the caller's wait is over
	watchEnded                      // the service went down
	callerDisconnected
)

// awaitNewerList waits for a list newer than the given revision, for the given time at most.
func (d *Discovery) awaitNewerList(ctx context.Context, after int64, wait time.Duration) watchOutcome {
	timeout := time.After(wait)
	for {
		d.mu.Lock()
		changed, wentDown, newer := d.changed, d.wentDown, d.revision > after
		d.mu.Unlock()
		if newer {
			return responseDue
		}
		select {
		case <-changed:
		case <-timeout:
			return responseDue
		case <-wentDown:
			return watchEnded
		case <-ctx.Done():
			return callerDisconnected
		}
	}
}

// response returns the current list, its revision, and whether only a part of it is to be written.
func (d *Discovery) response(after int64) (text string, revision int64, partial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	partial = d.partial && d.revision > after
	d.partialWritten = d.partialWritten || partial
	return EndpointList{Revision: d.revision, Complete: true, Endpoints: d.records}.Text(), d.revision, partial
}

// admit waits until the service has capacity for a call and reports whether the call is served. A call that continues a
// watch needs no capacity.
func (d *Discovery) admit(ctx context.Context, continuesWatch bool) bool {
	now := time.Now()
	d.mu.Lock()
	if d.partialWritten || d.refusing {
		d.mu.Unlock()
		return false
	}
	down := d.down
	if !continuesWatch && !down {
		d.calls++
		if d.busyUntil.Before(now) {
			d.busyUntil = now
		}
		d.busyUntil = d.busyUntil.Add(d.callCost)
	}
	wait := d.busyUntil.Sub(now)
	if !continuesWatch && !down && wait > discoveryMaxWait {
		d.busyUntil = d.busyUntil.Add(-d.callCost)
	}
	d.mu.Unlock()
	switch {
	case down:
		sleep(ctx, discoveryTimeout)
		return false
	case continuesWatch:
		return true
	case wait > discoveryMaxWait:
		return false
	case wait > discoveryTimeout:
		sleep(ctx, discoveryTimeout)
		return false
	}
	sleep(ctx, wait)
	return true
}

// sleep waits for the given time, or until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
