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

// newTestDiscoveryClient returns a client of a test server. It fills in defaults for fields that the configuration does
// not set: callbacks that do nothing, except that OnList fails the test, and a fixed seed.
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

// newDiscoveryServer runs a fake discovery server until the test ends.
func newDiscoveryServer(t *testing.T, handle http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return server
}

// newTestContext returns a context that is canceled when the test ends, before its servers are closed, because closing
// a server waits for its pending requests.
func newTestContext(t *testing.T) (context.Context, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ctx, cancel
}

// keepWatching makes a client start its watch again at once whenever the watch has failed, and starts it. It must be
// called before the client is used.
func keepWatching(ctx context.Context, client *DiscoveryClient) {
	onFailure := client.config.OnFailure
	client.config.OnFailure = func(err error) {
		onFailure(err)
		client.StartWatch(ctx)
	}
	client.StartWatch(ctx)
}

// writePart responds with the start of a longer list and then stalls.
func writePart(w http.ResponseWriter, r *http.Request, status int, text string) {
	w.Header().Set("Content-Length", "100")
	w.WriteHeader(status)
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// Guards against a response that stalls halfway. Together with a poll without a response it delayed the list for 12 s
// while all endpoints were replaced. Found by the socket benchmark, with malformed responses and on a recorded day.
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
		t.Error("poll with a stalled response did not fail within 2 s")
	}
	if wait := <-waits; wait != "1" {
		t.Errorf("got wait of %s ms in the first poll, want 1 ms: the list is not confirmed until its response", wait)
	}
	if wait, err := strconv.Atoi(<-waits); err != nil || wait < 1600 || wait > 2400 || client.client.Timeout > 4*time.Second {
		t.Errorf("got wait of %d ms and timeout of %v, want 1600 to 2400 ms and at most 4 s", wait, client.client.Timeout)
	}
}

// The watches of several gateways stop responding at the same time, without a byte. Each gateway must detect that and
// send its second poll within 6 s, and the gateways must not do so in step.
func TestDetectsSilentWatchWithinSixSecondsWithJitter(t *testing.T) {
	const gateways = 12
	started, secondPolls := time.Now(), make(chan time.Duration, gateways)
	var polls sync.Map
	server := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		gateway := r.URL.Query().Get("after")
		if _, again := polls.LoadOrStore(gateway, true); again {
			secondPolls <- time.Since(started)
		}
		<-r.Context().Done()
	})
	ctx, cancel := newTestContext(t)
	for i := range gateways {
		client := newTestDiscoveryClient(t, server,
			DiscoveryClientConfig{Revision: int64(i), Random: seededrand.New(uint64(i))})
		keepWatching(ctx, client)
	}
	var delays []time.Duration
	for range gateways {
		select {
		case delay := <-secondPolls:
			delays = append(delays, delay)
		case <-time.After(7 * time.Second):
			t.Fatalf("got a second poll from %d of %d gateways within 7 s", len(delays), gateways)
		}
	}
	if spread := slices.Max(delays) - slices.Min(delays); slices.Max(delays) > 5500*time.Millisecond || spread < 400*time.Millisecond {
		t.Errorf("got the last second poll after %v, spread over %v, want at most 5.5 s and at least 400 ms",
			slices.Max(delays), spread)
	}
	cancel()
}

// A response that arrives in parts, each soon after the last, is read to its end, even if it takes longer than
// responseStallTimeout in all. A gateway short of processor time used to lose its list because of bytes that it had not
// read yet.
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

// The address of discovery changes while the old address is still responding. That poll is canceled, and the next poll
// goes to the new address at once, from the revision held.
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
			t.Errorf("got poll from revision %s, want 4", after)
		}
	case <-time.After(400 * time.Millisecond):
		t.Error("new address was not polled within 400 ms")
	}
	cancel()
}

// With new configurations in quick succession, the address of discovery may change and revert before the canceled poll
// has returned. The watch used to report a failed poll and pause for the failure backoff, and changes of the list went
// unnoticed during the pause.
func TestWatchContinuesWhenAddressChangesAndReverts(t *testing.T) {
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
		t.Errorf("watch ended: %v", err)
	case <-time.After(responseTimeout):
		t.Error("watch did not poll again within responseTimeout")
	}
}

// An overloaded discovery refuses polls after a delay. The next polls must request no more than before: when a fleet
// requested full lists instead, it doubled the polls and fewer were served. Found by the simulator, scenarios herd+mass
// and disco+mass.
func TestPollsFromHeldRevisionAfterLateRefusal(t *testing.T) {
	polled := make(chan string, 9)
	server := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		polled <- r.URL.Query().Get("after")
		time.Sleep(1100 * time.Millisecond)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	ctx, cancel := newTestContext(t)
	client := newTestDiscoveryClient(t, server, DiscoveryClientConfig{Revision: 8})
	keepWatching(ctx, client)
	for range 2 {
		select {
		case after := <-polled:
			if after != "8" {
				t.Fatalf("got poll from revision %q, want 8", after)
			}
		case <-time.After(4 * time.Second):
			t.Fatal("no further poll within 4 s")
		}
	}
	cancel()
}

// After discovery has sent a list older than the one held, the next poll requests the full list. If discovery refuses a
// poll at once, as it does under load, the next poll requests no more than the refused one.
func TestRequestsFullListAfterOlderList(t *testing.T) {
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
	keepWatching(ctx, client)
	<-ctx.Done()
	for i, fromRevision := range []bool{true, true, false} {
		if query := <-queries; strings.Contains(query, "after=8") != fromRevision {
			t.Errorf("poll %d: got query %q, want after=8 in all polls but the last", i, query)
		}
	}
}

// The start of a list is reported before the list is complete, as the list is binding from the time it is written. A
// refusal is not reported as a start. If the list does not complete, the error states that its response had started.
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
					t.Errorf("got error %v, want a CallError for revision 1 that says whether a list had started", err)
				}
			case <-time.After(2 * time.Second):
				t.Error("poll with a stalled list did not fail within 2 s")
			}
			if got := len(started) > 0; got != test.wantStarted {
				t.Errorf("got list start reported %t, want %t", got, test.wantStarted)
			}
		})
	}
}
