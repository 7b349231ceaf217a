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

func newTestDiscoveryClient(t *testing.T, url string, revision int64, onListStart func(),
	onList func(text []byte, full bool) (int64, error), onFailure func(error), seed uint64) *DiscoveryClient {
	t.Helper()
	client, err := NewDiscoveryClient(DiscoveryClientConfig{Address: strings.TrimPrefix(url, "http://"),
		MaxWait: 10 * time.Second, Revision: revision, Random: seededrand.New(seed),
		OnListStart: onListStart, OnList: onList, OnFailure: onFailure})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// Socket bench, spoilt answers and a recorded day: an answer that stops halfway, and a call that nobody answers, held the
// list up for 12 s while all machines were replaced.
func TestListIsAskedAgain(t *testing.T) {
	asked := make(chan string, 9)
	whole := `{"revision":1,"members":[]}`
	list := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		wait := in.URL.Query().Get("wait_ms")
		if asked <- wait; wait == "1" {
			io.WriteString(out, whole)
			return
		}
		out.Header().Set("Content-Length", "100")
		io.WriteString(out, `{"revision":2,`)
		out.(http.Flusher).Flush()
		<-in.Context().Done()
	}))
	defer list.Close()
	failed := make(chan error, 1)
	d := newTestDiscoveryClient(t, list.URL, 1, func() {},
		func(text []byte, _ bool) (int64, error) {
			if string(text) != whole {
				t.Errorf("told %q", text)
			}
			return 1, nil
		}, func(err error) { failed <- err }, 1)
	d.StartWatch(context.Background())
	select {
	case <-failed:
	case <-time.After(2 * time.Second):
		t.Error("an answer that stops halfway is still waited for")
	}
	if wait := <-asked; wait != "1" {
		t.Errorf("the first call waits %s ms: until it is answered the list is not confirmed", wait)
	}
	if wait, err := strconv.Atoi(<-asked); err != nil || wait < 1600 || wait > 2400 || d.client.Timeout > 4*time.Second {
		t.Errorf("a call waits %d ms, and is waited for for %v", wait, d.client.Timeout)
	}
}

// Watches that fall silent at once, without a byte: each gateway finds out and has called again within 6 s, its
// second call sent, and they do not find out in step.
func TestSilentWatchIsFound(t *testing.T) {
	const gateways = 12
	begun, found := time.Now(), make(chan time.Duration, gateways)
	var calls sync.Map
	list := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		who := in.URL.Query().Get("after")
		if _, again := calls.LoadOrStore(who, true); again {
			found <- time.Since(begun)
		}
		<-in.Context().Done()
	}))
	defer list.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for i := range gateways {
		d := newTestDiscoveryClient(t, list.URL, int64(i), func() {}, func([]byte, bool) (int64, error) { return 0, nil },
			func(error) {}, uint64(i))
		go d.KeepWatching(ctx)
	}
	var all []time.Duration
	for range gateways {
		select {
		case at := <-found:
			all = append(all, at)
		case <-time.After(7 * time.Second):
			t.Fatalf("%d of %d called again", len(all), gateways)
		}
	}
	if spread := slices.Max(all) - slices.Min(all); slices.Max(all) > 5500*time.Millisecond || spread < 400*time.Millisecond {
		t.Errorf("the last after %v, over %v", slices.Max(all), spread)
	}
	stop()
}

// An answer that goes on in pieces, each soon after the last, is told whole, though it takes longer than one pause: a
// gateway short of processor time was cut off from its list by the bytes that it had not yet read.
func TestSlowListIsRead(t *testing.T) {
	whole := `{"revision":7,"complete":true,"members":[]}`
	list := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		if in.URL.Query().Get("after") != "1" {
			<-in.Context().Done()
			return
		}
		out.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		for part := range slices.Chunk([]byte(whole), 12) {
			out.Write(part)
			out.(http.Flusher).Flush()
			time.Sleep(responseStallTimeout * 6 / 10)
		}
	}))
	defer list.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	told, failed := make(chan string, 1), make(chan error, 1)
	d := newTestDiscoveryClient(t, list.URL, 1, func() {},
		func(text []byte, _ bool) (int64, error) { told <- string(text); return 7, nil }, func(err error) { failed <- err }, 1)
	d.StartWatch(ctx)
	select {
	case text := <-told:
		if text != whole {
			t.Errorf("told %q", text)
		}
	case err := <-failed:
		t.Error(err)
	}
}

// The list moves while the old place still answers: what is under way there is left, and the next call goes to the
// new place from the revision that is held.
func TestMovedWhileAnswering(t *testing.T) {
	began, asked := make(chan bool, 1), make(chan string, 9)
	old := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		out.Header().Set("Content-Length", "99")
		io.WriteString(out, `{"revision":9,"complete":true,`)
		out.(http.Flusher).Flush()
		began <- true
		<-in.Context().Done()
	}))
	defer old.Close()
	next := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		asked <- in.URL.Query().Get("after")
		<-in.Context().Done()
	}))
	defer next.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d := newTestDiscoveryClient(t, old.URL, 4, func() {},
		func(text []byte, _ bool) (int64, error) { t.Errorf("told %q", text); return 9, nil },
		func(err error) { t.Error(err) }, 1)
	d.StartWatch(ctx)
	<-began
	d.SetAddress(strings.TrimPrefix(next.URL, "http://"))
	select {
	case after := <-asked:
		if after != "4" {
			t.Errorf("asked from %s, want 4", after)
		}
	case <-time.After(400 * time.Millisecond):
		t.Error("the new place is not asked at once")
	}
	stop()
}

// Standing test, herd+mass and disco+mass: discovery that is short of time turns calls away after a while. It is not
// asked for more than before: all of the list, asked for by a fleet, doubled the calls and served fewer.
func TestLateRefusalAsksForNoMore(t *testing.T) {
	asked := make(chan string, 9)
	list := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		asked <- in.URL.Query().Get("after")
		time.Sleep(1100 * time.Millisecond)
		out.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer list.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d := newTestDiscoveryClient(t, list.URL, 8, func() {},
		func([]byte, bool) (int64, error) { t.Error("told"); return 3, nil }, func(error) {}, 1)
	go d.KeepWatching(ctx)
	for range 2 {
		select {
		case after := <-asked:
			if after != "8" {
				t.Fatalf("asked from %q", after)
			}
		case <-time.After(4 * time.Second):
			t.Fatal("not asked again")
		}
	}
	stop()
}

// A list that is older than held is asked for anew; where discovery turns calls away at once, as it does under
// many, it is not asked for more than before.
func TestOlderListIsAskedForAnew(t *testing.T) {
	asked := make(chan string, 9)
	calls := 0
	list := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		asked <- in.URL.RawQuery
		if calls++; calls == 1 {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(out, `{"revision":3,"complete":true,"members":[]}`)
	}))
	defer list.Close()
	ctx, stop := context.WithCancel(context.Background())
	d := newTestDiscoveryClient(t, list.URL, 8, func() {}, func(_ []byte, anew bool) (int64, error) {
		if !anew {
			return 0, protocol.ErrOlderList
		}
		stop()
		return 3, nil
	}, func(error) {}, 1)
	d.KeepWatching(ctx)
	for i, want := range []bool{true, true, false} {
		if query := <-asked; strings.Contains(query, "after=8") != want {
			t.Errorf("call %d asked for %q", i, query)
		}
	}
}

// A list that begins to come is told of before it is there, as what it brings counts as told when it is written; a refusal
// is none. Where it does not come whole the failure says that it had begun.
func TestBegunListIsTold(t *testing.T) {
	for status, want := range map[int]bool{http.StatusOK: true, http.StatusServiceUnavailable: false} {
		list := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
			out.Header().Set("Content-Length", "100")
			out.WriteHeader(status)
			io.WriteString(out, `{"revision":2,`)
			out.(http.Flusher).Flush()
			<-in.Context().Done()
		}))
		begun, failed := make(chan bool, 1), make(chan error, 1)
		d := newTestDiscoveryClient(t, list.URL, 1, func() { begun <- true },
			func([]byte, bool) (int64, error) { t.Error("told"); return 2, nil }, func(err error) { failed <- err }, 1)
		d.StartWatch(context.Background())
		select {
		case err := <-failed:
			var call *protocol.CallError
			if !errors.As(err, &call) || call.ResponseStarted != want || call.Revision != 1 || call.Duration <= 0 {
				t.Errorf("status %d: %v", status, err)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("status %d: a list that stops is still waited for", status)
		}
		if (len(begun) > 0) != want {
			t.Errorf("status %d: begun is told %t, want %t", status, len(begun) > 0, want)
		}
		list.Close()
	}
}
