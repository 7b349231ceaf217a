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

// quietAnswer is how long ScriptedDiscovery waits before it answers that nothing has changed.
const quietAnswer = time.Second

// ScriptedDiscovery is a fake discovery service that answers each call with the next text of a test's script, or after a
// second with no change.
type ScriptedDiscovery struct {
	Lists    chan string // answers to come; those that move a gateway elsewhere may share them
	Requests chan string // the path and query of each call, unless nil
}

// Listen starts to answer on a free port and returns its address.
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
	case <-time.After(quietAnswer):
		fmt.Fprintf(out, `{"revision":%s,"members":[]}`, in.URL.Query().Get("after"))
	}
}

const (
	discoveryTimeout  = 2 * time.Second        // a call that would wait longer is refused once that time is over
	discoveryOverbook = 5 * time.Second        // one that would wait longer than this is refused at once
	watchContinues    = 200 * time.Millisecond // a call this soon after an answer on its connection costs nothing
)

// Discovery is a fake discovery service with a fixed capacity: calls are taken in turn, each costs the same, and what is
// admitted is worked on even if its caller is refused for having waited too long.
type Discovery struct {
	mu          sync.Mutex
	callCost    time.Duration // of a call that begins a watch
	records     []EndpointRecord
	revision    int64
	changed     chan struct{} // closed at the next change
	down        bool
	fell        chan struct{} // closed when it goes down
	busyUntil   time.Time
	calls       int  // that began a watch
	partial     bool // half of each newer list is written, and what comes after is refused
	wrotePartly bool // that has happened
	refusing    bool // all calls are refused at once
	written     []WrittenList
	server      *http.Server
}

// WrittenList is a list that the service has written to a caller.
type WrittenList struct {
	At       time.Time
	Revision int64
}

// Written returns all lists that were written, in their order.
func (d *Discovery) Written() []WrittenList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.written)
}

// Listen has the service answer at one more address, which it returns.
func (d *Discovery) Listen(t *testing.T) string {
	t.Helper()
	listener := Listen(t)
	go d.server.Serve(listener)
	return listener.Addr().String()
}

// NewDiscovery starts a discovery service whose calls cost nothing, and returns its address.
func NewDiscovery(t *testing.T, records []EndpointRecord) (*Discovery, string) {
	t.Helper()
	d := &Discovery{records: records, revision: 1, changed: make(chan struct{}), fell: make(chan struct{})}
	type lastAnswer struct{}
	d.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		d.serve(out, in, in.Context().Value(lastAnswer{}).(*atomic.Int64))
	}), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, lastAnswer{}, &atomic.Int64{})
	}}
	t.Cleanup(func() { d.server.Close() })
	return d, d.Listen(t)
}

// SetEndpoints changes the list and returns its revision.
func (d *Discovery) SetEndpoints(records []EndpointRecord) (revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records = records
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
	return d.revision
}

// SetDown takes the service down, which ends all watches, or brings it back.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down = down; down {
		close(d.fell)
		d.fell = make(chan struct{})
	}
}

// SetCallCost sets how long the service is at work on a call that begins a watch.
func (d *Discovery) SetCallCost(cost time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callCost = cost
}

// SetPartial makes the service write half of each newer list and refuse calls after that, or answer again.
func (d *Discovery) SetPartial(partial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partial, d.wrotePartly = partial, false
}

// SetRefusing brings the service back, which then refuses each call or answers.
func (d *Discovery) SetRefusing(refusing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.refusing = false, refusing
}

// Calls counts the calls that began a watch.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

func (d *Discovery) serve(out http.ResponseWriter, in *http.Request, lastAnswer *atomic.Int64) {
	if !d.admit(in.Context(), time.Since(time.Unix(0, lastAnswer.Load())) < watchContinues) {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.ParseInt(in.URL.Query().Get("after"), 10, 64)
	milliseconds, _ := strconv.Atoi(in.URL.Query().Get("wait_ms"))
	switch d.await(in.Context(), after, time.Duration(milliseconds)*time.Millisecond) {
	case watchEnded:
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case callerLeft:
		return
	}
	text, revision, partial := d.answer(after)
	if partial {
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(out, text[:len(text)/2])
		out.(http.Flusher).Flush()
		<-in.Context().Done()
		return
	}
	lastAnswer.Store(time.Now().UnixNano())
	io.WriteString(out, text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.written = append(d.written, WrittenList{time.Now(), revision})
}

// watchOutcome is how the wait for a newer list ended.
type watchOutcome int

const (
	answerDue  watchOutcome = iota // there is a newer list, or the wait is over
	watchEnded                     // the service went down
	callerLeft
)

// await waits for a list newer than a revision.
func (d *Discovery) await(ctx context.Context, after int64, wait time.Duration) watchOutcome {
	over := time.After(wait)
	for {
		d.mu.Lock()
		changed, fell, newer := d.changed, d.fell, d.revision > after
		d.mu.Unlock()
		if newer {
			return answerDue
		}
		select {
		case <-changed:
		case <-over:
			return answerDue
		case <-fell:
			return watchEnded
		case <-ctx.Done():
			return callerLeft
		}
	}
}

// answer is the list as it is now, with its revision, and whether only a part of it is to be written.
func (d *Discovery) answer(after int64) (text string, revision int64, partial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	partial = d.partial && d.revision > after
	d.wrotePartly = d.wrotePartly || partial
	return EndpointList{Revision: d.revision, Complete: true, Endpoints: d.records}.Text(), d.revision, partial
}

// admit waits for a call's turn and reports whether it is served.
func (d *Discovery) admit(ctx context.Context, continues bool) bool {
	now := time.Now()
	d.mu.Lock()
	if d.wrotePartly || d.refusing {
		d.mu.Unlock()
		return false
	}
	down := d.down
	if !continues && !down {
		d.calls++
		if d.busyUntil.Before(now) {
			d.busyUntil = now
		}
		d.busyUntil = d.busyUntil.Add(d.callCost)
	}
	wait := d.busyUntil.Sub(now)
	if !continues && !down && wait > discoveryOverbook {
		d.busyUntil = d.busyUntil.Add(-d.callCost)
	}
	d.mu.Unlock()
	switch {
	case down:
		sleep(ctx, discoveryTimeout)
		return false
	case continues:
		return true
	case wait > discoveryOverbook:
		return false
	case wait > discoveryTimeout:
		sleep(ctx, discoveryTimeout)
		return false
	}
	sleep(ctx, wait)
	return true
}

// sleep waits for a span, or until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
