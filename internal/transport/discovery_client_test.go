package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"laurelring/internal/protocol"
	"laurelring/internal/seededrand"
)

// newTestDiscoveryClient returns a client of a test server. It fills in what the configuration does not set: callbacks
// that do nothing, and a fixed seed.
func newTestDiscoveryClient(t *testing.T, server *httptest.Server, config DiscoveryClientConfig) *DiscoveryClient {
	t.Helper()
	config.Address = addressOf(server)
	config.MaxWait = 10 * time.Second
	if config.Random == nil {
		config.Random = seededrand.New(1)
	}
	if config.OnListStart == nil {
		config.OnListStart = func() {}
	}
	if config.OnList == nil {
		config.OnList = func([]byte, bool) (int64, error) {
			t.Error("unexpected list")
			return 0, nil
		}
	}
	if config.OnFailure == nil {
		config.OnFailure = func(error) {}
	}
	client, err := NewDiscoveryClient(config)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func addressOf(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// newDiscoveryServer runs a stand-in for discovery until the test ends.
func newDiscoveryServer(t *testing.T, handle http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return server
}

// newTestContext returns a context that is canceled as the test ends, before its servers are closed: they wait for
// their requests.
func newTestContext(t *testing.T) (context.Context, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ctx, cancel
}

// writePart responds with a part of a longer list and does not go on.
func writePart(w http.ResponseWriter, r *http.Request, status int, text string) {
	w.Header().Set("Content-Length", "100")
	w.WriteHeader(status)
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// A response that stopped halfway, and a poll without a response, held the list up for 12 s while all endpoints were
// replaced (socket bench, malformed responses and a recorded day).
func TestPollFailsWhenResponseStallsHalfway(t *testing.T) {
	const list = `{"revision":1,"members":[]}`
	waits := make(chan string, 9)
	server := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		wait := r.URL.Query().Get("wait_ms")
		waits <- wait
		if wait == "1" {
			io.WriteString(w, list)
			return
		}
		writePart(w, r, http.StatusOK, `{"revision":2,`)
	})
	failed := make(chan error, 1)
	client := newTestDiscoveryClient(t, server, DiscoveryClientConfig{
		Revision: 1,
		OnList: func(text []byte, _ bool) (int64, error) {
			if string(text) != list {
				t.Errorf("got list %q", text)
			}
			return 1, nil
		},
		OnFailure: func(err error) { failed <- err },
	})
	client.StartWatch(context.Background())
	select {
	case <-failed:
	case <-time.After(2 * time.Second):
		t.Error("a response that stalls halfway is still awaited")
	}
	if wait := <-waits; wait != "1" {
		t.Errorf("the first poll waits %s ms: until its response the list is not confirmed", wait)
	}
	if wait, err := strconv.Atoi(<-waits); err != nil || wait < 1600 || wait > 2400 || client.client.Timeout > 4*time.Second {
		t.Errorf("a poll waits %d ms, with a timeout of %v", wait, client.client.Timeout)
	}
}

// Watches of several gateways fall silent at once, without a byte: each gateway notices and has sent its second poll
// within 6 s, and they do not do so in step.
func TestNoticesSilentWatchWithinSixSecondsAndOutOfStep(t *testing.T) {
	const gateways = 12
	started, repolled := time.Now(), make(chan time.Duration, gateways)
	var polls sync.Map
	server := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		gateway := r.URL.Query().Get("after")
		if _, again := polls.LoadOrStore(gateway, true); again {
			repolled <- time.Since(started)
		}
		<-r.Context().Done()
	})
	ctx, cancel := newTestContext(t)
	for i := range gateways {
		client := newTestDiscoveryClient(t, server,
			DiscoveryClientConfig{Revision: int64(i), Random: seededrand.New(uint64(i))})
		go client.KeepWatching(ctx)
	}
	var all []time.Duration
	for range gateways {
		select {
		case at := <-repolled:
			all = append(all, at)
		case <-time.After(7 * time.Second):
			t.Fatalf("%d of %d polled again", len(all), gateways)
		}
	}
	if spread := slices.Max(all) - slices.Min(all); slices.Max(all) > 5500*time.Millisecond || spread < 400*time.Millisecond {
		t.Errorf("the last after %v, over %v", slices.Max(all), spread)
	}
	cancel()
}

// A response that arrives in pieces, each soon after the last, is read to its end, though it takes longer than one stall
// timeout: a gateway short of processor time was cut off from its list by the bytes that it had not read yet.
func TestReadsListThatArrivesSlowly(t *testing.T) {
	const list = `{"revision":7,"complete":true,"members":[]}`
	server := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "1" {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(list)))
		for part := range slices.Chunk([]byte(list), 12) {
			w.Write(part)
			w.(http.Flusher).Flush()
			time.Sleep(responseStallTimeout * 6 / 10)
		}
	})
	ctx, _ := newTestContext(t)
	received, failed := make(chan string, 1), make(chan error, 1)
	client := newTestDiscoveryClient(t, server, DiscoveryClientConfig{
		Revision:  1,
		OnList:    func(text []byte, _ bool) (int64, error) { received <- string(text); return 7, nil },
		OnFailure: func(err error) { failed <- err },
	})
	client.StartWatch(ctx)
	select {
	case text := <-received:
		if text != list {
			t.Errorf("got list %q", text)
		}
	case err := <-failed:
		t.Error(err)
	}
}

// Discovery moves while the old address is still responding: that poll is canceled, and the next goes to the new
// address at once, from the revision that is held.
func TestContinuesAtNewAddressFromHeldRevision(t *testing.T) {
	responding, polled := make(chan bool, 1), make(chan string, 9)
	oldServer := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "99")
		io.WriteString(w, `{"revision":9,"complete":true,`)
		w.(http.Flusher).Flush()
		responding <- true
		<-r.Context().Done()
	})
	newServer := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		polled <- r.URL.Query().Get("after")
		<-r.Context().Done()
	})
	ctx, cancel := newTestContext(t)
	client := newTestDiscoveryClient(t, oldServer,
		DiscoveryClientConfig{Revision: 4, OnFailure: func(err error) { t.Error(err) }})
	client.StartWatch(ctx)
	<-responding
	client.SetAddress(addressOf(newServer))
	select {
	case after := <-polled:
		if after != "4" {
			t.Errorf("polled from revision %s, want 4", after)
		}
	case <-time.After(400 * time.Millisecond):
		t.Error("the new address is not polled at once")
	}
	cancel()
}

// New configurations in quick succession: discovery moves away and back before the canceled poll has returned. The watch took
// that for a failed poll, reported it, and paused for the backoff of failures, during which no change of the list is seen.
func TestContinuesAfterMoveThereAndBack(t *testing.T) {
	polls := make(chan struct{}, 9)
	server := newDiscoveryServer(t, func(_ http.ResponseWriter, r *http.Request) {
		polls <- struct{}{}
		<-r.Context().Done()
	})
	failures := make(chan error, 9)
	client := newTestDiscoveryClient(t, server, DiscoveryClientConfig{OnFailure: func(err error) { failures <- err }})
	ctx, _ := newTestContext(t)
	client.StartWatch(ctx)
	<-polls
	client.SetAddress("127.0.0.1:1")
	client.SetAddress(addressOf(server))
	select {
	case <-polls:
	case err := <-failures:
		t.Errorf("the watch ended: %v", err)
	case <-time.After(responseTimeout):
		t.Error("the watch does not go on")
	}
}

// Discovery that is overloaded refuses polls after a while. It gets no larger polls than before: full lists, requested
// by a fleet, doubled the polls and served fewer (scenarios herd+mass and disco+mass of the simulator).
func TestPollsFromHeldRevisionAfterLateRefusal(t *testing.T) {
	polled := make(chan string, 9)
	server := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		polled <- r.URL.Query().Get("after")
		time.Sleep(1100 * time.Millisecond)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	ctx, cancel := newTestContext(t)
	client := newTestDiscoveryClient(t, server, DiscoveryClientConfig{Revision: 8})
	go client.KeepWatching(ctx)
	for range 2 {
		select {
		case after := <-polled:
			if after != "8" {
				t.Fatalf("polled from revision %q", after)
			}
		case <-time.After(4 * time.Second):
			t.Fatal("no further poll")
		}
	}
	cancel()
}

// After a list that is older than the one held the full list is requested. Where discovery refuses polls at once, as
// it does under load, the next is no larger than before.
func TestRequestsFullListAfterOlderOne(t *testing.T) {
	queries := make(chan string, 9)
	polls := 0
	server := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if polls++; polls == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, `{"revision":3,"complete":true,"members":[]}`)
	})
	ctx, cancel := newTestContext(t)
	client := newTestDiscoveryClient(t, server, DiscoveryClientConfig{
		Revision: 8,
		OnList: func(_ []byte, full bool) (int64, error) {
			if !full {
				return 0, protocol.ErrOlderList
			}
			cancel()
			return 3, nil
		},
	})
	client.KeepWatching(ctx)
	for i, fromRevision := range []bool{true, true, false} {
		if query := <-queries; strings.Contains(query, "after=8") != fromRevision {
			t.Errorf("poll %d has query %q", i, query)
		}
	}
}

// A list that starts to arrive is reported before it is complete, as what it says counts from when it is written; a
// refusal is not. If the list does not complete, the failure says that it had started.
func TestReportsListStartBeforeListIsComplete(t *testing.T) {
	for name, test := range map[string]struct {
		status      int
		wantStarted bool
	}{
		"list":    {http.StatusOK, true},
		"refusal": {http.StatusServiceUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
				writePart(w, r, test.status, `{"revision":2,`)
			})
			started, failed := make(chan bool, 1), make(chan error, 1)
			client := newTestDiscoveryClient(t, server, DiscoveryClientConfig{
				Revision:    1,
				OnListStart: func() { started <- true },
				OnFailure:   func(err error) { failed <- err },
			})
			client.StartWatch(context.Background())
			select {
			case err := <-failed:
				var callError *protocol.CallError
				if !errors.As(err, &callError) || callError.ResponseStarted != test.wantStarted || callError.Revision != 1 || callError.Duration <= 0 {
					t.Errorf("got error %v", err)
				}
			case <-time.After(2 * time.Second):
				t.Error("a list that stalls is still awaited")
			}
			if got := len(started) > 0; got != test.wantStarted {
				t.Errorf("list start reported: %t, want %t", got, test.wantStarted)
			}
		})
	}
}
