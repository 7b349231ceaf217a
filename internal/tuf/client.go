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
	keeper *verifiedmetadata.Keeper
	pool   *mirrorpool.Pool
	store  *store.Store
	http   *http.Client
	now    func() int64 // the time of day, for expiry
	begun  time.Time    // of the steady clock, for mirrors
	watch  Watcher
	unkept error // why the last change was not kept
	drains atomic.Pointer[[]string]
	left   []*verifiedmetadata.Refusal
}

const metadataFolder, targetFolder = "", "targets/"

// New makes a client of a root that the operator trusts, with what the store has kept.
func New(root []byte, limits verifiedmetadata.Limits, pool *mirrorpool.Pool, kept *store.Store, now func() int64, watch Watcher) (*Client, error) {
	if watch == nil {
		watch = nobody{}
	}
	k, left := verifiedmetadata.New(root, limits, kept.Records())
	if k == nil {
		return nil, left[0]
	}
	return &Client{keeper: k, pool: pool, store: kept, now: now, begun: time.Now(), watch: watch, left: left,
		http: &http.Client{
			Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second},
			// A mirror serves by itself, or it is none.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}, nil
}

// Watcher is told what a client does.
type Watcher interface {
	Refreshed(refused *verifiedmetadata.Refusal, spent Spent)
	Fetched(refused *verifiedmetadata.Refusal, spent Spent)
	Tried(mirror string, how mirrorpool.How)
	Unkept()
	Standing(s Status, now int64)
}

type nobody struct{}

func (nobody) Refreshed(*verifiedmetadata.Refusal, Spent) {}
func (nobody) Fetched(*verifiedmetadata.Refusal, Spent)   {}
func (nobody) Tried(string, mirrorpool.How)               {}
func (nobody) Unkept()                                    {}
func (nobody) Standing(Status, int64)                     {}

// Close lets go of its connections; the store is its owner's.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) steady() int64 { return int64(time.Since(c.begun)) }

// Drain has nothing new go to these mirrors from here on, and to the others again; what is under way goes on. Anyone may
// call it, also while a fetch runs.
func (c *Client) Drain(names []string) { c.drains.Store(&names) }

// next asks the pool for a fetch's next step, by the mirrors that drain now.
func (c *Client) next(f *mirrorpool.Fetch) mirrorpool.Step {
	if names := c.drains.Load(); names != nil {
		c.pool.Drained(*names)
	}
	return f.Next(c.steady())
}

// Spent is what work cost.
type Spent struct {
	Bytes    int64 `json:"bytes"`
	Attempts int   `json:"attempts"`
	Took     int64 `json:"took_ns"`
}

// Refresh brings the metadata of the roles up to date within a time. A refusal says why what was trusted stands
// instead.
func (c *Client) Refresh(ctx context.Context, within time.Duration) (spent Spent, refused *verifiedmetadata.Refusal) {
	until := c.steady() + int64(within)
	defer func(begun int64) {
		spent.Took = c.steady() - begun
		c.keep()
		c.watch.Refreshed(refused, spent)
	}(c.steady())
	if refused = c.keeper.Begin(c.now()); refused != nil {
		return spent, refused
	}
	defer c.keeper.Abandon()
	for {
		want, more := c.keeper.Next()
		if !more {
			return spent, nil
		}
		missing, refused := c.metadata(ctx, want, until, &spent, c.keeper.Got)
		switch {
		case refused != nil:
			return spent, refused
		case missing:
			if refused := c.keeper.Missing(); refused != nil {
				return spent, refused
			}
		}
	}
}

// metadata brings one file of metadata to whoever takes it, from one mirror after the other until one's is taken. It
// tells whether an optional one is missing.
func (c *Client) metadata(ctx context.Context, want verifiedmetadata.Want, until int64, spent *Spent,
	take func([]byte) *verifiedmetadata.Refusal) (missing bool, refused *verifiedmetadata.Refusal) {
	f := c.pool.Begin(want.Most, until)
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
	case how == mirrorpool.Brought:
		return false, nil
	case want.Optional && f.Misses() > 0: // and no other brought one that is trusted
		return true, nil
	}
	return false, verdict(want.Role, how, refused)
}

// verdict is why a file was not had: what came was not trusted, or nothing whole came.
func verdict(of string, how mirrorpool.How, refused *verifiedmetadata.Refusal) *verifiedmetadata.Refusal {
	switch {
	case refused != nil:
		return refused
	case how == mirrorpool.Large:
		return &verifiedmetadata.Refusal{Reason: verifiedmetadata.TooLarge, Of: of, Detail: "more came than it may be long"}
	}
	return &verifiedmetadata.Refusal{Reason: verifiedmetadata.Unavailable, Of: of, Detail: "the last mirror: " + how.String()}
}

// bring obeys the pool until a fetch is over. Begin gives where the bytes of an attempt go, from a first one on; whole
// tells whether what came is trusted.
func (c *Client) bring(ctx context.Context, f *mirrorpool.Fetch, name string, spent *Spent,
	begin func(from int64) (io.Writer, error), whole func() bool) mirrorpool.How {
	for {
		if ctx.Err() != nil {
			f.Give(c.steady())
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
			if how == mirrorpool.Brought && !whole() {
				how = mirrorpool.Bad
			}
			f.Ended(how, c.steady())
			c.watch.Tried(step.To.Name, how)
		}
	}
}

// try asks one mirror once.
func (c *Client) try(ctx context.Context, f *mirrorpool.Fetch, step mirrorpool.Step, name string, spent *Spent,
	begin func(from int64) (io.Writer, error)) mirrorpool.How {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watch := time.AfterFunc(time.Duration(f.CheckAt()-c.steady()), stop)
	defer watch.Stop()
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, step.To.Name+name, nil)
	if err != nil {
		return mirrorpool.Refused
	}
	if step.From > 0 {
		ask.Header.Set("Range", fmt.Sprintf("bytes=%d-", step.From))
	}
	answer, err := c.http.Do(ask)
	if err != nil {
		return c.brokeOff(ctx, f, mirrorpool.Refused)
	}
	defer answer.Body.Close()
	from := step.From
	switch code := answer.StatusCode; {
	case code == http.StatusOK:
		from = 0 // the whole file, also where a part was asked for
	case code == http.StatusPartialContent && from > 0 &&
		strings.HasPrefix(answer.Header.Get("Content-Range"), fmt.Sprintf("bytes %d-", from)):
	case code == http.StatusNotFound || code == http.StatusGone:
		return mirrorpool.Missing
	case code >= 300 && code < 400:
		return mirrorpool.Redirected
	default:
		return mirrorpool.Refused
	}
	into, err := begin(from)
	if err != nil {
		return mirrorpool.Bad
	}
	for b := make([]byte, 16<<10); ; {
		n, err := answer.Body.Read(b)
		spent.Bytes += int64(n)
		if n > 0 {
			if _, bad := into.Write(b[:n]); bad != nil {
				return mirrorpool.Bad
			}
			if f.Whole(verified(into)) {
				return mirrorpool.Brought // what more may come is nobody's
			}
			if !f.Came(int64(n), verified(into), c.steady()) {
				how, _ := f.Last()
				return how
			}
			watch.Reset(time.Duration(f.CheckAt() - c.steady()))
		}
		switch {
		case errors.Is(err, io.EOF):
			return mirrorpool.Brought
		case err != nil:
			return c.brokeOff(ctx, f, mirrorpool.Closed)
		}
	}
}

// brokeOff says why an attempt ended: by our watch on it, or by itself.
func (c *Client) brokeOff(ctx context.Context, f *mirrorpool.Fetch, how mirrorpool.How) mirrorpool.How {
	if ctx.Err() == nil || f.Check(c.steady()) {
		return how
	}
	last, _ := f.Last()
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
func (c *Client) Target(ctx context.Context, path string, within time.Duration, spent *Spent) (*verifiedmetadata.Target, *verifiedmetadata.Refusal) {
	until := c.steady() + int64(within)
	s, refused := c.keeper.Search(path, c.now())
	if refused != nil {
		return nil, refused
	}
	defer c.keep()
	for {
		t, want, refused := s.Next()
		if t != nil || refused != nil {
			return t, refused
		}
		if _, refused := c.metadata(ctx, want, until, spent, s.Got); refused != nil {
			return nil, refused
		}
	}
}

// Fetch brings a target into the store. What is handed over is whole and trusted, or nothing is.
func (c *Client) Fetch(ctx context.Context, path string, within time.Duration) (t *verifiedmetadata.Target, spent Spent, refused *verifiedmetadata.Refusal) {
	begun := c.steady()
	defer func() {
		spent.Took = c.steady() - begun
		c.watch.Fetched(refused, spent)
	}()
	if t, refused = c.Target(ctx, path, within, &spent); refused != nil {
		return nil, spent, refused
	}
	part, err := c.store.Begin(path, t.Length)
	if err != nil {
		return nil, spent, unkept(path, err)
	}
	defer part.Drop()
	into := &check{t: t, part: part}
	f := c.pool.Begin(t.Length, begun+int64(within))
	how := c.bring(ctx, f, targetFolder+t.Name, &spent, func(from int64) (io.Writer, error) {
		if into.t.Block == 0 { // nothing of it is verified before its end
			f.Restart()
			return into, into.reset()
		}
		into.block, into.skip = into.block[:0], into.done-from // a mirror may bring all where a part was asked for
		return into, nil
	}, func() bool { refused = into.whole(); return refused == nil })
	if how != mirrorpool.Brought {
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

func unkept(path string, err error) *verifiedmetadata.Refusal {
	return &verifiedmetadata.Refusal{Reason: verifiedmetadata.Unavailable, Of: path, Detail: "it cannot be kept: " + err.Error()}
}

// check takes the bytes of a target. Where the role gives the hashes of its blocks, each is verified before it is
// written, so that another mirror may go on behind it.
type check struct {
	t     *verifiedmetadata.Target
	part  *store.Part
	done  int64 // bytes written
	skip  int64 // bytes to come that are written already
	block []byte
	sums  map[string]hash.Hash
	bad   *verifiedmetadata.Refusal
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
	if c.t.Block == 0 {
		return len(some), c.pass(some)
	}
	rest := some[min(c.skip, int64(len(some))):]
	c.skip -= int64(len(some) - len(rest))
	for len(rest) > 0 {
		size := min(c.t.Block, c.t.Length-c.done)
		n := min(len(rest), int(size)-len(c.block))
		if n <= 0 {
			break // all of it is there
		}
		c.block, rest = append(c.block, rest[:n]...), rest[n:]
		if int64(len(c.block)) < size {
			break
		}
		if sum := sha256.Sum256(c.block); !bytes.Equal(sum[:], c.t.Blocks[c.done/c.t.Block]) {
			c.bad = &verifiedmetadata.Refusal{Reason: verifiedmetadata.WrongHash, Of: c.t.Path, Detail: fmt.Sprintf("block %d", c.done/c.t.Block)}
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
	if c.t.Block == 0 {
		return 0
	}
	return c.done
}

// whole tells whether all of the target came, and nothing else.
func (c *check) whole() *verifiedmetadata.Refusal {
	if c.done != c.t.Length {
		return &verifiedmetadata.Refusal{Reason: verifiedmetadata.WrongLength, Of: c.t.Path, Detail: fmt.Sprintf("%d bytes of %d", c.done, c.t.Length)}
	}
	if c.sums == nil {
		c.Write(nil)
	}
	for _, kind := range []string{"sha256", "sha512"} {
		if want := c.t.Hashes[kind]; want != nil && !bytes.Equal(c.sums[kind].Sum(nil), want) {
			return &verifiedmetadata.Refusal{Reason: verifiedmetadata.WrongHash, Of: c.t.Path, Detail: kind}
		}
	}
	return nil
}

// Verify reads a target that was fetched and tells whether it is still what the roles list now.
func (c *Client) Verify(path string) *verifiedmetadata.Refusal {
	t, refused := c.keeper.Listed(path, c.now())
	if refused != nil {
		return refused
	}
	from, err := c.store.Target(path)
	if err != nil {
		return &verifiedmetadata.Refusal{Reason: verifiedmetadata.Unavailable, Of: path, Detail: "it was not fetched"}
	}
	defer from.Close()
	plain := *t
	plain.Block = 0
	into := &check{t: &plain, part: store.Nowhere()}
	if _, err := io.Copy(into, io.LimitReader(from, t.Length+1)); err != nil {
		return &verifiedmetadata.Refusal{Reason: verifiedmetadata.Unavailable, Of: path, Detail: err.Error()}
	}
	return into.whole()
}

// Clean lets go of the targets that were fetched and that no role lists any more; it tells how many.
func (c *Client) Clean() (gone int) {
	for _, path := range c.store.Targets() {
		if refused := c.Trusted(path); refused == nil || refused.Reason != verifiedmetadata.NotListed {
			continue
		}
		if c.store.Remove(path) == nil {
			gone++
		}
	}
	return gone
}

// Trusted tells whether a target may be used now, by what is trusted already.
func (c *Client) Trusted(path string) *verifiedmetadata.Refusal {
	_, refused := c.keeper.Listed(path, c.now())
	return refused
}

// keep has the store keep what has changed. Where it cannot, what is trusted stands until the process ends.
func (c *Client) keep() {
	some := c.keeper.Changes()
	if len(some) == 0 {
		return
	}
	if c.unkept = c.store.Put(some); c.unkept != nil {
		c.keeper.Again(some)
		c.watch.Unkept()
	}
}

// Status is what people and programs are told.
type Status struct {
	Standing string                  `json:"standing"` // "trusted", or why not
	FreshAt  int64                   `json:"fresh_at_ns"`
	Roles    []verifiedmetadata.Role `json:"roles"`
	Mirrors  []mirrorpool.State      `json:"mirrors"`
	Targets  []string                `json:"targets"`
	Store    string                  `json:"store"` // "kept", "memory", or what is wrong
	Left     []string                `json:"left_out,omitempty"`
}

// Status tells what is trusted, and how the mirrors and the store are.
func (c *Client) Status() Status {
	s := Status{Standing: "trusted", FreshAt: c.keeper.FreshAt(), Roles: c.keeper.Roles(), Mirrors: c.pool.States(c.steady()),
		Store: "kept", Targets: []string{}}
	if refused := c.keeper.Standing(c.now()); refused != nil {
		s.Standing = refused.Error()
	}
	switch {
	case c.store.InMemory():
		s.Store = "memory: versions may go back over a restart"
	case c.unkept != nil:
		s.Store = "not kept: " + c.unkept.Error()
	case c.store.Damage() != nil:
		s.Store = "begun anew: " + c.store.Damage().Error()
	}
	if some := c.store.Targets(); len(some) > 0 {
		s.Targets = some
	}
	for _, r := range c.left {
		s.Left = append(s.Left, r.Error())
	}
	c.watch.Standing(s, c.now())
	return s
}
