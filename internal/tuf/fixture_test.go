package tuf

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/store"
	"laurelring/internal/tuftest"
	"laurelring/internal/verifiedmetadata"
)

// fixture is a repository with three mirrors and a wall clock that tests can shift.
type fixture struct {
	t           *testing.T
	repo        *tuftest.Repository
	mirrors     []*tuftest.Mirror
	clockOffset atomic.Int64 // ns by which now is ahead of the real clock
	limits      verifiedmetadata.Limits
	poolLimits  mirrorpool.Limits
	folder      string // folder of the store; if empty, the store is in memory
	openStores  []*store.Store
	client      *Client // client that refreshed before the test case changes the repository
}

const targetPath = "builds/7.json"

var targetBody = bytes.Repeat([]byte("signed by the release desk\n"), 2000)

func (f *fixture) now() int64 { return time.Now().UnixNano() + f.clockOffset.Load() }

func newFixture(t *testing.T, consistent bool) *fixture {
	f := &fixture{t: t, limits: verifiedmetadata.DefaultLimits, poolLimits: mirrorpool.Limits{
		MaxAttempts:            6,
		AttemptTimeout:         2 * time.Second,
		StallTimeout:           300 * time.Millisecond,
		MinBytesPerSecond:      20_000,
		RateGracePeriod:        400 * time.Millisecond,
		MaxConcurrentPerMirror: 4,
		InitialBackoff:         10 * time.Millisecond,
		MaxBackoff:             100 * time.Millisecond,
		BudgetBytes:            256 << 20,
		BudgetWindow:           time.Minute,
	}}
	f.repo = tuftest.NewRepository(consistent, func() time.Time { return time.Unix(0, f.now()) })
	f.repo.AddTarget(metadata.TARGETS, targetPath, targetBody, 4096)
	f.repo.Publish()
	for range 3 {
		mirror := tuftest.NewMirror(f.repo.Files)
		t.Cleanup(mirror.Close)
		f.mirrors = append(f.mirrors, mirror)
	}
	return f
}

// syncMirrors makes all mirrors serve the current files of the repository.
func (f *fixture) syncMirrors() {
	for _, mirror := range f.mirrors {
		mirror.SetFiles(f.repo.Files)
	}
}

// setFault sets the fault of all mirrors; nil removes it.
func (f *fixture) setFault(fault tuftest.Fault) {
	for _, mirror := range f.mirrors {
		mirror.SetFault(fault)
	}
}

// newClient returns a client as after a restart of the process. With a folder it closes the previous store and opens
// the folder again, otherwise the client starts with an empty store in memory.
func (f *fixture) newClient(seed uint64) *Client {
	opened := store.NewMemory()
	if f.folder != "" {
		for _, previous := range f.openStores {
			previous.Close()
		}
		var err error
		if opened, err = store.Open(f.folder); err != nil {
			f.t.Fatal(err)
		}
		f.openStores = []*store.Store{opened}
	}
	var urls []string
	for _, mirror := range f.mirrors {
		urls = append(urls, mirror.URL)
	}
	client, err := NewClient(ClientConfig{
		Root:    f.repo.InitialRoot(),
		Limits:  f.limits,
		Mirrors: mirrorpool.NewPool(urls, seed, f.poolLimits),
		Store:   opened,
		Now:     f.now,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { client.Close(); opened.Close() })
	return client
}

// refresh refreshes a client and returns the reason of the error, ReasonNone on success.
func (f *fixture) refresh(c *Client) verifiedmetadata.Reason {
	f.t.Helper()
	_, err := c.Refresh(context.Background(), 4*time.Second)
	return verifiedmetadata.ReasonOf(err)
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
