package transport

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"laurelring/internal/protocol"
)

// Discovery watches the list of instances.
type Discovery struct {
	client   *http.Client
	address  string
	wait     time.Duration
	told     func(text []byte) (revision int64, err error)
	failed   func(error)
	revision int64
	watching atomic.Bool
}

// graceAfterWait is how long after its wait an answer may still come.
const graceAfterWait = 2 * time.Second

// NewDiscovery takes the address, how long one call waits for changes, the revision that is known, and whom
// to tell of an answer, which gives its revision, or of a failure.
func NewDiscovery(address string, wait time.Duration, revision int64,
	told func(text []byte) (revision int64, err error), failed func(error)) *Discovery {
	return &Discovery{address: address, wait: wait, told: told, failed: failed, revision: revision,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
			Timeout: wait + graceAfterWait}}
}

// Watch asks for the changes from here on, unless a watch stands. It does not wait; a watch ends when a call
// of it fails, which is told.
func (d *Discovery) Watch(ctx context.Context) {
	if !d.watching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		for {
			err := d.call(ctx)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				d.client.CloseIdleConnections()
				d.watching.Store(false)
				d.failed(err)
				return
			}
		}
	}()
}

// call makes one call of a watch and tells what it brought.
func (d *Discovery) call(ctx context.Context) error {
	url := fmt.Sprintf("http://%s/discovery/hosts?after=%d&wait_ms=%d", d.address, d.revision, d.wait.Milliseconds())
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := d.client.Do(ask)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", answer.Status)
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, protocol.ListMost))
	if err != nil {
		return err
	}
	revision, err := d.told(text)
	if err == nil {
		d.revision = revision
	}
	return err
}
