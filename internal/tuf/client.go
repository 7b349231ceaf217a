// Package tuf fetches what the release desk has signed: it carries bytes between mirrors, the keeper of trust and the
// store, and obeys what package trust and package mirror decide.
package tuf

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/sha512"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/store"
	"laurelring/internal/verifiedmetadata"
)

// Client is one holder of trust. It is owned by one goroutine.
type Client struct {
	keeper *verifiedmetadata.Verifier
	pool   *mirrorpool.Pool
	store  *store.Store
	http   *http.Client
	now    func() int64 // the time of day, for expiry
	begun  time.Time    // of the steady clock, for mirrors
	watch  Observer
	unkept error // why the last change was not kept
	drains atomic.Pointer[[]string]
	left   []error
}

const metadataFolder, targetFolder = "", "targets/"

// New makes a client of a root that the operator trusts, with what the store has kept.
func NewClient(root []byte, limits verifiedmetadata.Limits, pool *mirrorpool.Pool, kept *store.Store, now func() int64, watch Observer) (*Client, error) {
	if watch == nil {
		watch = noObserver{}
	}
	k, left, err := verifiedmetadata.NewVerifier(root, limits, kept.Records())
	if err != nil {
		return nil, err
	}
	return &Client{keeper: k, pool: pool, store: kept, now: now, begun: time.Now(), watch: watch, left: left,
		http: &http.Client{
			Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second},
			// A mirror serves by itself, or it is none.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}, nil
}

// Watcher is told what a client does.
type Observer interface {
	RefreshFinished(refused error, spent Usage)
	FetchFinished(refused error, spent Usage)
	AttemptFinished(mirror string, how mirrorpool.AttemptOutcome)
	StoreFailed()
	StatusReported(s Status, now int64)
}

type noObserver struct{}

func (noObserver) RefreshFinished(error, Usage)                      {}
func (noObserver) FetchFinished(error, Usage)                        {}
func (noObserver) AttemptFinished(string, mirrorpool.AttemptOutcome) {}
func (noObserver) StoreFailed()                                      {}
func (noObserver) StatusReported(Status, int64)                      {}

// Close lets go of its connections; the store is its owner's.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) steady() int64 { return int64(time.Since(c.begun)) }

// Drain has nothing new go to these mirrors from here on, and to the others again; what is under way goes on. Anyone may
// call it, also while a fetch runs.
func (c *Client) SetDraining(names []string) { c.drains.Store(&names) }

// next asks the pool for a fetch's next step, by the mirrors that drain now.
func (c *Client) next(f *mirrorpool.Fetch) mirrorpool.Step {
	if names := c.drains.Load(); names != nil {
		c.pool.SetDrainingMirrors(*names)
	}
	return f.NextStep(c.steady())
}

// Spent is what work cost.
type Usage struct {
	Bytes    int64 `json:"bytes"`
	Attempts int   `json:"attempts"`
	Duration int64 `json:"took_ns"`
}

// Refresh brings the metadata of the roles up to date within a time. A refusal says why what was trusted stands
// instead.
func (c *Client) Refresh(ctx context.Context, within time.Duration) (spent Usage, refused error) {
	until := c.steady() + int64(within)
	defer func(begun int64) {
		spent.Duration = c.steady() - begun
		c.keep()
		c.watch.RefreshFinished(refused, spent)
	}(c.steady())
	if refused = c.keeper.BeginRefresh(c.now()); refused != nil {
		return spent, refused
	}
	defer c.keeper.AbandonRefresh()
	for {
		want, more := c.keeper.NextFile()
		if !more {
			return spent, nil
		}
		missing, refused := c.metadata(ctx, want, until, &spent, c.keeper.VerifyFile)
		switch {
		case refused != nil:
			return spent, refused
		case missing:
			if refused := c.keeper.FileNotFound(); refused != nil {
				return spent, refused
			}
		}
	}
}

// metadata brings one file of metadata to whoever takes it, from one mirror after the other until one's is taken. It
// tells whether an optional one is missing.
func (c *Client) metadata(ctx context.Context, want verifiedmetadata.NeededFile, until int64, spent *Usage,
	take func([]byte) error) (missing bool, refused error) {
	f := c.pool.NewFetch(want.MaxBytes, until)
	var text bytes.Buffer
	how := c.bring(ctx, f, metadataFolder+want.Name, spent, func(from int64) (io.Writer, error) {
		text.Reset()
		f.Restart()
		return &text, nil
	}, func() bool {
		refused = take(text.Bytes())
		return refused == nil
	})
	switch {
	case how == mirrorpool.OutcomeCompleted:
		return false, nil
	case want.Optional && f.NotFoundCount() > 0: // and no other brought one that is trusted
		return true, nil
	}
	return false, verdict(want.Role, how, refused)
}

// verdict is why a file was not had: what came was not trusted, or nothing whole came.
func verdict(of string, how mirrorpool.AttemptOutcome, refused error) error {
	switch {
	case refused != nil:
		return refused
	case how == mirrorpool.OutcomeTooLarge:
		return &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonTooLarge, Subject: of, Detail: "more came than it may be long"}
	}
	return &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonUnavailable, Subject: of, Detail: "the last mirror: " + how.String()}
}

// bring obeys the pool until a fetch is over. Begin gives where the bytes of an attempt go, from a first one on; whole
// tells whether what came is trusted.
func (c *Client) bring(ctx context.Context, f *mirrorpool.Fetch, name string, spent *Usage,
	begin func(from int64) (io.Writer, error), whole func() bool) mirrorpool.AttemptOutcome {
	for {
		if ctx.Err() != nil {
			f.Cancel(c.steady())
		}
		step := c.next(f)
		switch step.Act {
		case mirrorpool.Over:
			how, _ := f.Outcome()
			return how
		case mirrorpool.Wait:
			select {
			case <-time.After(time.Duration(step.Until - c.steady())):
			case <-ctx.Done():
			}
		case mirrorpool.Try:
			spent.Attempts++
			how := c.try(ctx, f, step, name, spent, begin)
			if how == mirrorpool.OutcomeCompleted && !whole() {
				how = mirrorpool.OutcomeUnverified
			}
			f.FinishAttempt(how, c.steady())
			c.watch.AttemptFinished(step.To.Name, how)
		}
	}
}

// try asks one mirror once.
func (c *Client) try(ctx context.Context, f *mirrorpool.Fetch, step mirrorpool.Step, name string, spent *Usage,
	begin func(from int64) (io.Writer, error)) mirrorpool.AttemptOutcome {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watch := time.AfterFunc(time.Duration(f.NextCheck()-c.steady()), stop)
	defer watch.Stop()
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, step.To.Name+name, nil)
	if err != nil {
		return mirrorpool.OutcomeRefused
	}
	if step.From > 0 {
		ask.Header.Set("Range", fmt.Sprintf("bytes=%d-", step.From))
	}
	answer, err := c.http.Do(ask)
	if err != nil {
		return c.brokeOff(ctx, f, mirrorpool.OutcomeRefused)
	}
	defer answer.Body.Close()
	from := step.From
	switch code := answer.StatusCode; {
	case code == http.StatusOK:
		from = 0 // the whole file, also where a part was asked for
	case code == http.StatusPartialContent && from > 0 &&
		strings.HasPrefix(answer.Header.Get("Content-Range"), fmt.Sprintf("bytes %d-", from)):
	case code == http.StatusNotFound || code == http.StatusGone:
		return mirrorpool.OutcomeNotFound
	case code >= 300 && code < 400:
		return mirrorpool.OutcomeRedirected
	default:
		return mirrorpool.OutcomeRefused
	}
	into, err := begin(from)
	if err != nil {
		return mirrorpool.OutcomeUnverified
	}
	for b := make([]byte, 16<<10); ; {
		n, err := answer.Body.Read(b)
		spent.Bytes += int64(n)
		if n > 0 {
			if _, bad := into.Write(b[:n]); bad != nil {
				return mirrorpool.OutcomeUnverified
			}
			if f.IsComplete(verified(into)) {
				return mirrorpool.OutcomeCompleted // what more may come is nobody's
			}
			if !f.Received(int64(n), verified(into), c.steady()) {
				how, _ := f.LastAttempt()
				return how
			}
			watch.Reset(time.Duration(f.NextCheck() - c.steady()))
		}
		switch {
		case errors.Is(err, io.EOF):
			return mirrorpool.OutcomeCompleted
		case err != nil:
			return c.brokeOff(ctx, f, mirrorpool.OutcomeClosedEarly)
		}
	}
}

// brokeOff says why an attempt ended: by our watch on it, or by itself.
func (c *Client) brokeOff(ctx context.Context, f *mirrorpool.Fetch, how mirrorpool.AttemptOutcome) mirrorpool.AttemptOutcome {
	if ctx.Err() == nil || f.CheckAttempt(c.steady()) {
		return how
	}
	last, _ := f.LastAttempt()
	return last
}

// verified tells how much of what a writer was given is verified already.
func verified(into io.Writer) int64 {
	if v, ok := into.(interface{ verified() int64 }); ok {
		return v.verified()
	}
	return 0
}

// Target looks for a target, fetching the metadata of roles that it needs on the way.
func (c *Client) FindTarget(ctx context.Context, path string, within time.Duration, spent *Usage) (*verifiedmetadata.Target, error) {
	until := c.steady() + int64(within)
	s, refused := c.keeper.SearchTarget(path, c.now())
	if refused != nil {
		return nil, refused
	}
	defer c.keep()
	for {
		t, want, refused := s.Next()
		if t != nil || refused != nil {
			return t, refused
		}
		if _, refused := c.metadata(ctx, want, until, spent, s.VerifyRole); refused != nil {
			return nil, refused
		}
	}
}

// Fetch brings a target into the store. What is handed over is whole and trusted, or nothing is.
func (c *Client) FetchTarget(ctx context.Context, path string, within time.Duration) (t *verifiedmetadata.Target, spent Usage, refused error) {
	begun := c.steady()
	defer func() {
		spent.Duration = c.steady() - begun
		c.watch.FetchFinished(refused, spent)
	}()
	if t, refused = c.FindTarget(ctx, path, within, &spent); refused != nil {
		return nil, spent, refused
	}
	part, err := c.store.CreateTarget(path, t.Length)
	if err != nil {
		return nil, spent, unkept(path, err)
	}
	defer part.Abort()
	into := &check{t: t, part: part}
	f := c.pool.NewFetch(t.Length, begun+int64(within))
	how := c.bring(ctx, f, targetFolder+t.MirrorName, &spent, func(from int64) (io.Writer, error) {
		if into.t.BlockSize == 0 { // nothing of it is verified before its end
			f.Restart()
			return into, into.reset()
		}
		into.block, into.skip = into.block[:0], into.done-from // a mirror may bring all where a part was asked for
		return into, nil
	}, func() bool { refused = into.whole(); return refused == nil })
	if how != mirrorpool.OutcomeCompleted {
		if refused == nil {
			refused = into.bad
		}
		return nil, spent, verdict(path, how, refused)
	}
	if err := part.Commit(t); err != nil {
		return nil, spent, unkept(path, err)
	}
	return t, spent, nil
}

func unkept(path string, err error) error {
	return &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonUnavailable, Subject: path, Detail: "it cannot be kept: " + err.Error()}
}

// check takes the bytes of a target. Where the role gives the hashes of its blocks, each is verified before it is
// written, so that another mirror may go on behind it.
type check struct {
	t     *verifiedmetadata.Target
	part  *store.TargetWriter
	done  int64 // bytes written
	skip  int64 // bytes to come that are written already
	block []byte
	sums  map[string]hash.Hash
	bad   error
}

func (c *check) reset() error {
	c.done, c.block, c.sums = 0, c.block[:0], nil
	return c.part.Reset()
}

var errBlock = errors.New("a block is another file's")

func (c *check) Write(some []byte) (int, error) {
	if c.sums == nil {
		c.sums = map[string]hash.Hash{}
		for kind := range c.t.Hashes {
			if c.sums[kind] = sha256.New(); kind == "sha512" {
				c.sums[kind] = sha512.New()
			}
		}
	}
	if c.t.BlockSize == 0 {
		return len(some), c.pass(some)
	}
	rest := some[min(c.skip, int64(len(some))):]
	c.skip -= int64(len(some) - len(rest))
	for len(rest) > 0 {
		size := min(c.t.BlockSize, c.t.Length-c.done)
		n := min(len(rest), int(size)-len(c.block))
		if n <= 0 {
			break // all of it is there
		}
		c.block, rest = append(c.block, rest[:n]...), rest[n:]
		if int64(len(c.block)) < size {
			break
		}
		if sum := sha256.Sum256(c.block); !bytes.Equal(sum[:], c.t.BlockHashes[c.done/c.t.BlockSize]) {
			c.bad = &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonWrongHash, Subject: c.t.Path, Detail: fmt.Sprintf("block %d", c.done/c.t.BlockSize)}
			return 0, errBlock
		}
		if err := c.pass(c.block); err != nil {
			return 0, err
		}
		c.block = c.block[:0]
	}
	return len(some), nil
}

func (c *check) pass(some []byte) error {
	for _, h := range c.sums {
		h.Write(some)
	}
	n, err := c.part.Write(some)
	c.done += int64(n)
	return err
}

func (c *check) verified() int64 {
	if c.t.BlockSize == 0 {
		return 0
	}
	return c.done
}

// whole tells whether all of the target came, and nothing else.
func (c *check) whole() error {
	if c.done != c.t.Length {
		return &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonWrongLength, Subject: c.t.Path, Detail: fmt.Sprintf("%d bytes of %d", c.done, c.t.Length)}
	}
	if c.sums == nil {
		c.Write(nil)
	}
	for _, kind := range []string{"sha256", "sha512"} {
		if want := c.t.Hashes[kind]; want != nil && !bytes.Equal(c.sums[kind].Sum(nil), want) {
			return &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonWrongHash, Subject: c.t.Path, Detail: kind}
		}
	}
	return nil
}

// Verify reads a target that was fetched and tells whether it is still what the roles list now.
func (c *Client) VerifyTarget(path string) error {
	t, refused := c.keeper.LookupTarget(path, c.now())
	if refused != nil {
		return refused
	}
	from, err := c.store.OpenTarget(path)
	if err != nil {
		return &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonUnavailable, Subject: path, Detail: "it was not fetched"}
	}
	defer from.Close()
	plain := *t
	plain.BlockSize = 0
	into := &check{t: &plain, part: store.Discard()}
	if _, err := io.Copy(into, io.LimitReader(from, t.Length+1)); err != nil {
		return &verifiedmetadata.VerificationError{Reason: verifiedmetadata.ReasonUnavailable, Subject: path, Detail: err.Error()}
	}
	return into.whole()
}

// Clean lets go of the targets that were fetched and that no role lists any more; it tells how many.
func (c *Client) RemoveUnlisted() (gone int) {
	for _, path := range c.store.TargetPaths() {
		if refused := c.CheckTrusted(path); verifiedmetadata.ReasonOf(refused) != verifiedmetadata.ReasonNotListed {
			continue
		}
		if c.store.RemoveTarget(path) == nil {
			gone++
		}
	}
	return gone
}

// Trusted tells whether a target may be used now, by what is trusted already.
func (c *Client) CheckTrusted(path string) error {
	_, refused := c.keeper.LookupTarget(path, c.now())
	return refused
}

// keep has the store keep what has changed. Where it cannot, what is trusted stands until the process ends.
func (c *Client) keep() {
	some := c.keeper.TakeChanges()
	if len(some) == 0 {
		return
	}
	if c.unkept = c.store.Put(some); c.unkept != nil {
		c.keeper.RestoreChanges(some)
		c.watch.StoreFailed()
	}
}

// Status is what people and programs are told.
type Status struct {
	Trust           string                         `json:"standing"` // "trusted", or why not
	LastRefresh     int64                          `json:"fresh_at_ns"`
	Roles           []verifiedmetadata.TrustedRole `json:"roles"`
	Mirrors         []mirrorpool.MirrorState       `json:"mirrors"`
	Targets         []string                       `json:"targets"`
	Store           string                         `json:"store"` // "kept", "memory", or what is wrong
	RejectedRecords []string                       `json:"left_out,omitempty"`
}

// Status tells what is trusted, and how the mirrors and the store are.
func (c *Client) Status() Status {
	s := Status{Trust: "trusted", LastRefresh: c.keeper.LastRefresh(), Roles: c.keeper.TrustedRoles(), Mirrors: c.pool.States(c.steady()),
		Store: "kept", Targets: []string{}}
	if refused := c.keeper.CheckValid(c.now()); refused != nil {
		s.Trust = refused.Error()
	}
	switch {
	case c.store.InMemory():
		s.Store = "memory: versions may go back over a restart"
	case c.unkept != nil:
		s.Store = "not kept: " + c.unkept.Error()
	case c.store.Damage() != nil:
		s.Store = "begun anew: " + c.store.Damage().Error()
	}
	if some := c.store.TargetPaths(); len(some) > 0 {
		s.Targets = some
	}
	for _, r := range c.left {
		s.RejectedRecords = append(s.RejectedRecords, r.Error())
	}
	c.watch.StatusReported(s, c.now())
	return s
}
