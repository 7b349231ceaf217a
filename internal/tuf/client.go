// Package tuf is a client for signed metadata and targets after The Update Framework (TUF). It downloads files from
// mirrors, passes them to package verifiedmetadata and writes the results to the store. The decisions are those of
// other packages: verifiedmetadata decides what is trusted, mirrorpool which mirror is requested and when, and schedule
// when background jobs run. The package also reads the operator's configuration file.
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

// Limits of the HTTP connections to one mirror. They are low because a client fetches one file at a time.
const (
	maxConnectionsPerMirror     = 2
	maxIdleConnectionsPerMirror = 1
	idleConnectionTimeout       = 5 * time.Second
)

// ClientConfig holds the dependencies and limits of a client.
type ClientConfig struct {
	Root     []byte // trusted root metadata, provided by the operator
	Limits   verifiedmetadata.Limits
	Mirrors  *mirrorpool.Pool
	Store    *store.Store // owned by the caller, who closes it after the client
	Now      func() int64 // wall clock in ns since the Unix epoch, used for the expiration of metadata
	Observer Observer     // may be nil
}

// Client holds verified metadata, refreshes it and fetches targets. It is not safe for concurrent use, except for
// SetDraining.
type Client struct {
	verifier *verifiedmetadata.Verifier
	mirrors  *mirrorpool.Pool
	store    *store.Store
	http     *http.Client
	now      func() int64
	started  time.Time
	observer Observer
	rejected []error // one error for each stored record that did not verify
	storeErr error   // error of the last attempt to store changes, or nil

	drainingMirrors atomic.Pointer[[]string] // URLs set by SetDraining, nil before its first call
}

// NewClient returns a client that starts from the operator's root and the records in the store. It returns a
// *verifiedmetadata.VerificationError if the root cannot be used.
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
			DisableCompression:  true, // lengths and byte ranges refer to the uncompressed file
			MaxConnsPerHost:     maxConnectionsPerMirror,
			MaxIdleConnsPerHost: maxIdleConnectionsPerMirror,
			IdleConnTimeout:     idleConnectionTimeout,
		},
		// A mirror must serve files itself: a redirect counts as a failure of the mirror.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections to mirrors.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// elapsed returns the monotonic time since the client was created. The mirror pool uses this clock.
func (c *Client) elapsed() monotonic.Time { return time.Since(c.started) }

// remaining returns the time left until a time on the clock of elapsed.
func (c *Client) remaining(until monotonic.Time) time.Duration { return until - c.elapsed() }

// SetDraining sets the URLs of the draining mirrors. A draining mirror gets no new attempts, but attempts in flight
// continue. SetDraining is safe for concurrent use, also while a fetch runs.
func (c *Client) SetDraining(mirrors []string) { c.drainingMirrors.Store(&mirrors) }

// applyDraining passes the current set of draining mirrors to the pool.
func (c *Client) applyDraining() {
	if draining := c.drainingMirrors.Load(); draining != nil {
		c.mirrors.SetDrainingMirrors(*draining)
	}
}

// Usage is the traffic, the attempts and the time that a refresh or a fetch used. Its JSON form is part of the output
// of gatewayctl.
type Usage struct {
	Bytes    int64         `json:"bytes"`
	Attempts int           `json:"attempts"`
	Duration time.Duration `json:"took_ns"`
}

// Refresh updates the metadata of the top-level roles within a timeout. Its errors are
// *verifiedmetadata.VerificationError; after an error the metadata trusted before is still trusted, except where a new
// root has revoked its keys.
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

// metadataRequest describes a metadata file to fetch and the function that verifies its contents.
type metadataRequest struct {
	file     verifiedmetadata.NeededFile
	deadline monotonic.Time
	verify   func(contents []byte) error
}

// fetchMetadata fetches a metadata file from one mirror after another until one delivers contents that verify. It
// returns false without an error if an optional file was not found.
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
	case request.file.Optional && fetch.NotFoundCount() > 0: // and no other mirror delivered a valid file
		return false, nil
	}
	return false, downloadError(request.file.Role, outcome, d.verifyErr)
}

// FindTarget searches for the role that lists a target. It fetches the metadata of delegated roles as the search needs
// it.
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

// targetsFolder is the path of the targets below a mirror's URL.
const targetsFolder = "targets/"

// FetchTarget fetches a target and adds it to the store once it is complete and verified. On an error nothing is added.
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

// VerifyTarget verifies the stored contents of a target against the length and hashes that the trusted roles list now.
// It returns nil if they match.
func (c *Client) VerifyTarget(path string) error {
	target, err := c.verifier.LookupTarget(path, c.now())
	if err != nil {
		return err
	}
	reader, err := c.store.OpenTarget(path)
	if err != nil {
		return unavailable(path, "target has not been fetched")
	}
	defer reader.Close()
	withoutBlocks := *target // the hashes of the whole file are sufficient
	withoutBlocks.BlockSize = 0
	contents := newTargetContents(&withoutBlocks, store.Discard(), nil)
	if _, err := io.Copy(contents, io.LimitReader(reader, target.Length+1)); err != nil {
		return unavailable(path, err.Error())
	}
	return contents.finish()
}

// CheckTrusted returns nil if the metadata that is already trusted allows the use of a target now, otherwise the
// reason. It fetches nothing.
func (c *Client) CheckTrusted(path string) error {
	_, err := c.verifier.LookupTarget(path, c.now())
	return err
}

// RemoveUnlisted removes the stored targets that no role lists any more and returns their number.
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

// persist writes changed records to the store. If that fails, the metadata stays trusted until the process ends, and
// the next call tries again.
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

// downloadError returns the error of a failed download: its contents did not verify, it was too large, or no mirror
// delivered it completely.
func downloadError(subject string, outcome mirrorpool.AttemptOutcome, verifyErr error) error {
	switch {
	case verifyErr != nil:
		return verifyErr
	case outcome == mirrorpool.OutcomeTooLarge:
		return &verifiedmetadata.VerificationError{
			Reason: verifiedmetadata.ReasonTooLarge, Subject: subject, Detail: "received more bytes than the maximum length"}
	}
	return unavailable(subject, "no mirror delivered the file, last outcome: "+outcome.String())
}

func storeError(path string, err error) error {
	return unavailable(path, fmt.Sprintf("cannot store the target: %s", err))
}

func unavailable(subject, detail string) error {
	return &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonUnavailable, Subject: subject, Detail: detail}
}
