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

const (
	graceAfterWait = 2 * time.Second // after its wait an answer may still come
	keepAgain      = time.Second     // after a failed call
)

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
		err := d.watch(ctx)
		d.watching.Store(false)
		if ctx.Err() == nil {
			d.failed(err)
		}
	}()
}

// Keep watches for as long as the context stands, where gateways need not ask for themselves.
func (d *Discovery) Keep(ctx context.Context) {
	for ctx.Err() == nil {
		d.failed(d.watch(ctx))
		select {
		case <-time.After(keepAgain):
		case <-ctx.Done():
		}
	}
}

// watch calls again and again, each time as soon as the answer is told, until a call fails.
func (d *Discovery) watch(ctx context.Context) error {
	defer d.client.CloseIdleConnections()
	for {
		if err := d.call(ctx); err != nil {
			return err
		}
	}
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
