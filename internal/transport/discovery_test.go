package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Socket bench, spoilt answers and a recorded day: an answer that stops halfway, and a call that nobody answers, held the
// list up for 12 s while all machines were replaced.
func TestListIsAskedAgain(t *testing.T) {
	asked := make(chan string, 9)
	list := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		asked <- in.URL.Query().Get("wait_ms")
		out.Header().Set("Content-Length", "100")
		io.WriteString(out, `{"revision":2,`)
		out.(http.Flusher).Flush()
		<-in.Context().Done()
	}))
	defer list.Close()
	failed := make(chan error, 1)
	d := NewDiscovery(strings.TrimPrefix(list.URL, "http://"), 10*time.Second, 1,
		func(text []byte) (int64, error) { t.Errorf("told %q", text); return 2, nil }, func(err error) { failed <- err })
	d.Watch(context.Background())
	select {
	case <-failed:
	case <-time.After(2 * time.Second):
		t.Error("an answer that stops halfway is still waited for")
	}
	if wait := <-asked; wait != "3000" || d.client.Timeout > 5*time.Second {
		t.Errorf("a call waits %s ms, and is waited for for %v", wait, d.client.Timeout)
	}
}
