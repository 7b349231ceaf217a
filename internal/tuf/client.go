// Package tuf fetches signed metadata and targets of The Update Framework. It carries bytes between mirrors, the
// verified metadata and the store, and executes what packages verifiedmetadata, mirrorpool and schedule decide. It also
// reads the operator's file.
package tuf

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/internal/mirrorpool"
	"laurelring/internal/store"
	"laurelring/internal/verifiedmetadata"
)

// Connections to one mirror are few: a client fetches one file at a time.
const (
	maxConnectionsPerMirror     = 2
	maxIdleConnectionsPerMirror = 1
	idleConnectionTimeout       = 5 * time.Second
)

// ClientConfig is what a client needs.
type ClientConfig struct {
	Root     []byte // the root metadata that the operator trusts
	Limits   verifiedmetadata.Limits
	Mirrors  *mirrorpool.Pool
	Store    *store.Store // of the caller, who closes it after the client
	Now      func() int64 // wall clock in ns since the Unix epoch, by which metadata expire
	Observer Observer     // may be nil
}

// Client holds verified metadata and refreshes them, and fetches targets. It is not safe for concurrent use, but for
// SetDraining.
type Client struct {
	verifier *verifiedmetadata.Verifier
	mirrors  *mirrorpool.Pool
	store    *store.Store
	http     *http.Client
	now      func() int64
	started  time.Time
	observer Observer
	rejected []error // stored records that did not verify
	storeErr error   // why the last change could not be stored, or nil

	drainingMirrors atomic.Pointer[[]string]
}

// NewClient returns a client that starts from the operator's root and the store's records. Its error is a
// *verifiedmetadata.VerificationError where the root cannot be used.
func NewClient(config ClientConfig) (*Client, error) {
	verifier, rejected, err := verifiedmetadata.NewVerifier(config.Root, config.Limits, config.Store.Records())
	if err != nil {
		return nil, err
	}
	observer := config.Observer
	if observer == nil {
		observer = noObserver{}
	}
	return &Client{
		verifier: verifier,
		mirrors:  config.Mirrors,
		store:    config.Store,
		http:     newHTTPClient(),
		now:      config.Now,
		started:  time.Now(),
		observer: observer,
		rejected: rejected,
	}, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableCompression:  true, // lengths and ranges count the file's own bytes
			MaxConnsPerHost:     maxConnectionsPerMirror,
			MaxIdleConnsPerHost: maxIdleConnectionsPerMirror,
			IdleConnTimeout:     idleConnectionTimeout,
		},
		// A mirror must serve by itself: a redirect counts as a failure of the mirror.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// elapsed returns the moment on the monotonic clock that the mirror pool counts by.
func (c *Client) elapsed() monotonic.Time { return time.Since(c.started) }

// remaining returns the time left until a moment of elapsed.
func (c *Client) remaining(until monotonic.Time) time.Duration { return until - c.elapsed() }

// SetDraining sets which mirrors drain: they get no new attempts, while those in flight go on. It is safe for concurrent
// use, also while a fetch runs.
func (c *Client) SetDraining(mirrors []string) { c.drainingMirrors.Store(&mirrors) }

// applyDraining has the pool go by the mirrors that drain now.
func (c *Client) applyDraining() {
	if draining := c.drainingMirrors.Load(); draining != nil {
		c.mirrors.SetDrainingMirrors(*draining)
	}
}

// Usage is what a refresh or a fetch cost. Its JSON form is part of what gatewayctl prints.
type Usage struct {
	Bytes    int64         `json:"bytes"`
	Attempts int           `json:"attempts"`
	Duration time.Duration `json:"took_ns"`
}

// Refresh brings the metadata of the top-level roles up to date within a time. On an error, a
// *verifiedmetadata.VerificationError, what was trusted stays so.
func (c *Client) Refresh(ctx context.Context, timeout time.Duration) (usage Usage, err error) {
	start := c.elapsed()
	err = c.refresh(ctx, start+timeout, &usage)
	usage.Duration = c.elapsed() - start
	c.persist()
	c.observer.RefreshFinished(err, usage)
	return usage, err
}

func (c *Client) refresh(ctx context.Context, deadline monotonic.Time, usage *Usage) error {
	if err := c.verifier.BeginRefresh(c.now()); err != nil {
		return err
	}
	defer c.verifier.AbandonRefresh()
	for {
		needed, more := c.verifier.NextFile()
		if !more {
			return nil
		}
		found, err := c.fetchMetadata(ctx, metadataRequest{needed, deadline, c.verifier.VerifyFile}, usage)
		if err != nil {
			return err
		}
		if !found {
			if err := c.verifier.FileNotFound(); err != nil {
				return err
			}
		}
	}
}

// metadataRequest is a metadata file to be fetched and who verifies it.
type metadataRequest struct {
	file     verifiedmetadata.NeededFile
	deadline monotonic.Time
	verify   func(contents []byte) error
}

// fetchMetadata fetches a metadata file from one mirror after the other until one delivers contents that verify. It
// returns false without an error where an optional file was not found.
func (c *Client) fetchMetadata(ctx context.Context, request metadataRequest, usage *Usage) (found bool, err error) {
	fetch := c.mirrors.NewFetch(request.file.MaxBytes, request.deadline)
	d := &download{
		client:      c,
		fetch:       fetch,
		path:        request.file.Name,
		destination: &metadataContents{fetch: fetch, verify: request.verify},
		usage:       usage,
	}
	outcome := d.run(ctx)
	switch {
	case outcome == mirrorpool.OutcomeCompleted:
		return true, nil
	case request.file.Optional && fetch.NotFoundCount() > 0: // and no other mirror delivered one that verifies
		return false, nil
	}
	return false, downloadError(request.file.Role, outcome, d.verifyErr)
}

// FindTarget looks for the role that lists a target, and fetches the metadata of delegated roles that it needs.
func (c *Client) FindTarget(ctx context.Context, path string, timeout time.Duration, usage *Usage) (*verifiedmetadata.Target, error) {
	deadline := c.elapsed() + timeout
	search, err := c.verifier.SearchTarget(path, c.now())
	if err != nil {
		return nil, err
	}
	defer c.persist()
	for {
		target, needed, err := search.Next()
		if target != nil || err != nil {
			return target, err
		}
		if _, err := c.fetchMetadata(ctx, metadataRequest{needed, deadline, search.VerifyRole}, usage); err != nil {
			return nil, err
		}
	}
}

// targetsFolder is where a mirror has targets.
const targetsFolder = "targets/"

// FetchTarget fetches a target into the store, complete and verified, or not at all.
func (c *Client) FetchTarget(ctx context.Context, path string, timeout time.Duration) (target *verifiedmetadata.Target, usage Usage, err error) {
	start := c.elapsed()
	target, err = c.fetchTarget(ctx, path, start, timeout, &usage)
	usage.Duration = c.elapsed() - start
	c.observer.FetchFinished(err, usage)
	return target, usage, err
}

func (c *Client) fetchTarget(ctx context.Context, path string, start monotonic.Time, timeout time.Duration, usage *Usage) (*verifiedmetadata.Target, error) {
	target, err := c.FindTarget(ctx, path, timeout, usage)
	if err != nil {
		return nil, err
	}
	writer, err := c.store.CreateTarget(path, target.Length)
	if err != nil {
		return nil, storeError(path, err)
	}
	defer writer.Abort()
	fetch := c.mirrors.NewFetch(target.Length, start+timeout)
	contents := newTargetContents(target, writer, fetch)
	d := &download{client: c, fetch: fetch, path: targetsFolder + target.MirrorName, destination: contents, usage: usage}
	if outcome := d.run(ctx); outcome != mirrorpool.OutcomeCompleted {
		if d.storageErr != nil {
			return nil, storeError(path, d.storageErr)
		}
		verifyErr := d.verifyErr
		if verifyErr == nil {
			verifyErr = contents.blockErr
		}
		return nil, downloadError(path, outcome, verifyErr)
	}
	if err := writer.Commit(target); err != nil {
		return nil, storeError(path, err)
	}
	return target, nil
}

// VerifyTarget reads a fetched target and returns why it is not what the trusted roles list now, or nil.
func (c *Client) VerifyTarget(path string) error {
	target, err := c.verifier.LookupTarget(path, c.now())
	if err != nil {
		return err
	}
	reader, err := c.store.OpenTarget(path)
	if err != nil {
		return unavailable(path, "it was not fetched")
	}
	defer reader.Close()
	withoutBlocks := *target // the hash of the whole file is enough
	withoutBlocks.BlockSize = 0
	contents := newTargetContents(&withoutBlocks, store.Discard(), nil)
	if _, err := io.Copy(contents, io.LimitReader(reader, target.Length+1)); err != nil {
		return unavailable(path, err.Error())
	}
	return contents.finish()
}

// CheckTrusted returns why a target may not be used now by the metadata that are trusted already, or nil.
func (c *Client) CheckTrusted(path string) error {
	_, err := c.verifier.LookupTarget(path, c.now())
	return err
}

// RemoveUnlisted removes the fetched targets that no role lists any more and returns how many.
func (c *Client) RemoveUnlisted() (removed int) {
	for _, path := range c.store.TargetPaths() {
		if verifiedmetadata.ReasonOf(c.CheckTrusted(path)) != verifiedmetadata.ReasonNotListed {
			continue
		}
		if c.store.RemoveTarget(path) == nil {
			removed++
		}
	}
	return removed
}

// persist stores what has changed. Where the store fails, what is trusted stays so until the process ends, and the next
// call tries again.
func (c *Client) persist() {
	changes := c.verifier.TakeChanges()
	if len(changes) == 0 {
		return
	}
	if c.storeErr = c.store.Put(changes); c.storeErr != nil {
		c.verifier.RestoreChanges(changes)
		c.observer.StoreFailed()
	}
}

// downloadError is why a file was not fetched: its contents did not verify, or no mirror delivered it completely.
func downloadError(subject string, outcome mirrorpool.AttemptOutcome, verifyErr error) error {
	switch {
	case verifyErr != nil:
		return verifyErr
	case outcome == mirrorpool.OutcomeTooLarge:
		return &verifiedmetadata.VerificationError{
			Reason: verifiedmetadata.ReasonTooLarge, Subject: subject, Detail: "more came than it may be long"}
	}
	return unavailable(subject, "the last mirror: "+outcome.String())
}

func storeError(path string, err error) error {
	return unavailable(path, fmt.Sprintf("it cannot be kept: %s", err))
}

func unavailable(subject, detail string) error {
	return &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonUnavailable, Subject: subject, Detail: detail}
}
