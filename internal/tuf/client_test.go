package tuf

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
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

// world is a repository with three mirrors and a clock of its own.
type fixture struct {
	t           *testing.T
	repo        *tuftest.Repository
	mirrors     []*tuftest.Mirror
	clockOffset atomic.Int64 // of the clock
	limits      verifiedmetadata.Limits
	poolLimits  mirrorpool.Limits
	folder      string
	open        []*store.Store
	initial     *Client
}

const targetPath = "builds/7.json"

var targetBody = bytes.Repeat([]byte("signed by the release desk\n"), 2000)

func (w *fixture) now() int64 { return time.Now().UnixNano() + w.clockOffset.Load() }

func newFixture(t *testing.T, consistent bool) *fixture {
	w := &fixture{t: t, limits: verifiedmetadata.DefaultLimits, poolLimits: mirrorpool.Limits{MaxAttempts: 6, AttemptTimeout: 2 * time.Second, StallTimeout: 300 * time.Millisecond,
		MinBytesPerSecond: 20_000, RateGracePeriod: 400 * time.Millisecond, MaxConcurrentPerMirror: 4, InitialBackoff: 10 * time.Millisecond, MaxBackoff: 100 * time.Millisecond,
		BudgetBytes: 256 << 20, BudgetWindow: time.Minute}}
	w.repo = tuftest.NewRepository(consistent, func() time.Time { return time.Unix(0, w.now()) })
	w.repo.AddTarget(metadata.TARGETS, targetPath, targetBody, 4096)
	w.repo.Publish()
	for range 3 {
		m := tuftest.NewMirror(w.repo.Files)
		t.Cleanup(m.Close)
		w.mirrors = append(w.mirrors, m)
	}
	return w
}

// sync has all mirrors serve what the repository holds.
func (w *fixture) syncMirrors() {
	for _, m := range w.mirrors {
		m.SetFiles(w.repo.Files)
	}
}

// plant has all mirrors act by a fault.
func (w *fixture) setFault(f tuftest.Fault) {
	for _, m := range w.mirrors {
		m.SetFault(f)
	}
}

// client is a new process: it begins with what the store has kept.
func (w *fixture) newClient(seed uint64) *Client {
	kept := store.NewMemory()
	if w.folder != "" {
		for _, s := range w.open {
			s.Close()
		}
		var err error
		if kept, err = store.Open(w.folder); err != nil {
			w.t.Fatal(err)
		}
		w.open = []*store.Store{kept}
	}
	var names []string
	for _, m := range w.mirrors {
		names = append(names, m.URL)
	}
	c, err := NewClient(w.repo.InitialRoot(), w.limits, mirrorpool.NewPool(names, seed, w.poolLimits), kept, w.now, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close(); kept.Close() })
	return c
}

func (w *fixture) refresh(c *Client) verifiedmetadata.Reason {
	w.t.Helper()
	_, refused := c.Refresh(context.Background(), 4*time.Second)
	return verifiedmetadata.ReasonOf(refused)
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// What is signed reaches the store whole, over several versions, with and without names by version.
func TestSignedIsTaken(t *testing.T) {
	for _, consistent := range []bool{true, false} {
		w := newFixture(t, consistent)
		c := w.newClient(1)
		if got := c.CheckTrusted(targetPath); verifiedmetadata.ReasonOf(got) != verifiedmetadata.ReasonNeverRefreshed {
			t.Errorf("before a refresh: %v", got)
		}
		for range 3 {
			if got := w.refresh(c); got != verifiedmetadata.ReasonNone {
				t.Fatal(got)
			}
			got, _, refused := c.FetchTarget(context.Background(), targetPath, 4*time.Second)
			if refused != nil || got.Length != int64(len(targetBody)) || c.VerifyTarget(targetPath) != nil {
				t.Fatal(refused, c.VerifyTarget(targetPath))
			}
			w.repo.AddTarget(metadata.TARGETS, targetPath, targetBody, 4096)
			w.repo.Publish()
			w.syncMirrors()
		}
		if s := c.Status(); s.Trust != "trusted" || len(s.Roles) != 4 || s.Roles[3].Version != 4 {
			t.Errorf("%+v", s)
		}
	}
}

// Each way in which metadata are not what they should be, with the exact reason; what was trusted stands.
func TestRefusals(t *testing.T) {
	hour := time.Hour
	for _, c := range []struct {
		name string
		want verifiedmetadata.Reason
		do   func(w *fixture)
	}{
		{"timestamp expired", verifiedmetadata.ReasonExpired, func(w *fixture) { w.repo.Validity = -hour; w.repo.PublishTimestamp() }},
		{"snapshot expired", verifiedmetadata.ReasonExpired, func(w *fixture) {
			w.repo.Snapshot.Signed.Version++
			w.repo.Snapshot.Signed.Expires = time.Unix(0, w.now()).Add(-hour).UTC()
			w.repo.PutSnapshot(tuftest.Sign(w.repo.Snapshot, w.repo.Keys[metadata.SNAPSHOT]...))
		}},
		{"targets expired", verifiedmetadata.ReasonExpired, func(w *fixture) {
			w.repo.Validity = -hour
			w.repo.Publish()
			w.repo.Validity = hour
			w.repo.Snapshot.Signed.Version++
			w.repo.Snapshot.Signed.Expires = w.repo.Expiry()
			w.repo.PutSnapshot(tuftest.Sign(w.repo.Snapshot, w.repo.Keys[metadata.SNAPSHOT]...))
		}},
		{"root expired", verifiedmetadata.ReasonExpired, func(w *fixture) {
			w.repo.Validity = -hour
			w.repo.PublishRoot(func() {})
			w.repo.Validity = hour
			w.repo.Publish()
		}},
		{"the clock far ahead", verifiedmetadata.ReasonExpired, func(w *fixture) { w.clockOffset.Store(int64(10 * hour)) }},
		{"the clock back", verifiedmetadata.ReasonClockWentBack, func(w *fixture) { w.clockOffset.Store(-int64(10 * hour)) }},
		{"timestamp rolled back", verifiedmetadata.ReasonRolledBack, func(w *fixture) {
			old := w.repo.Files["timestamp.json"]
			w.repo.Publish()
			w.syncMirrors()
			w.refresh(w.initial)
			w.repo.Files["timestamp.json"] = old
		}},
		{"snapshot rolled back", verifiedmetadata.ReasonRolledBack, func(w *fixture) {
			w.repo.Snapshot.Signed.Version = 0
			w.repo.PutSnapshot(tuftest.Sign(w.repo.Snapshot, w.repo.Keys[metadata.SNAPSHOT]...))
		}},
		{"targets rolled back", verifiedmetadata.ReasonRolledBack, func(w *fixture) {
			w.repo.Snapshot.Signed.Version++
			w.repo.Snapshot.Signed.Meta["targets.json"].Version = 1
			w.repo.PutSnapshot(tuftest.Sign(w.repo.Snapshot, w.repo.Keys[metadata.SNAPSHOT]...))
		}},
		{"old targets behind a new snapshot", verifiedmetadata.ReasonWrongHash, func(w *fixture) {
			old := w.repo.Files["2.targets.json"]
			w.repo.AddTarget(metadata.TARGETS, "more", targetBody, 0)
			w.repo.Publish()
			w.repo.Files["3.targets.json"] = old
		}},
		{"old targets where no hash is told", verifiedmetadata.ReasonMixAndMatch, func(w *fixture) {
			old := w.repo.Files["2.targets.json"]
			w.repo.Publish()
			w.repo.Snapshot.Signed.Version++
			w.repo.Snapshot.Signed.Meta["targets.json"] = metadata.MetaFile(3)
			w.repo.PutSnapshot(tuftest.Sign(w.repo.Snapshot, w.repo.Keys[metadata.SNAPSHOT]...))
			w.repo.Files["3.targets.json"] = old
		}},
		{"an old snapshot where no hash is told", verifiedmetadata.ReasonMixAndMatch, func(w *fixture) {
			w.repo.Publish()
			w.syncMirrors()
			w.repo.Timestamp.Signed.Meta["snapshot.json"] = metadata.MetaFile(w.repo.Snapshot.Signed.Version + 1)
			w.repo.PublishTimestamp()
			w.repo.Files[fmt.Sprintf("%d.snapshot.json", w.repo.Snapshot.Signed.Version+1)] =
				w.repo.Files[fmt.Sprintf("%d.snapshot.json", w.repo.Snapshot.Signed.Version)]
		}},
		{"too few signatures", verifiedmetadata.ReasonTooFewSignatures, func(w *fixture) {
			w.repo.PublishRoot(func() {})
			w.repo.SignRoot(w.repo.Keys[metadata.ROOT][:1])
		}},
		{"no signature", verifiedmetadata.ReasonTooFewSignatures, func(w *fixture) {
			w.repo.Files["timestamp.json"] = tuftest.Sign(w.repo.Timestamp)
		}},
		{"repeated signatures", verifiedmetadata.ReasonRepeatedSignature, func(w *fixture) {
			w.repo.PublishRoot(func() {})
			one := w.repo.Keys[metadata.ROOT][0]
			w.repo.Files["2.root.json"] = signTwice(w.repo.Root, one)
		}},
		{"unknown keys", verifiedmetadata.ReasonTooFewSignatures, func(w *fixture) {
			w.repo.Timestamp.Signed.Version++
			w.repo.Files["timestamp.json"] = tuftest.Sign(w.repo.Timestamp, tuftest.NewKey())
		}},
		{"a root signed by the old keys alone", verifiedmetadata.ReasonTooFewSignatures, func(w *fixture) {
			w.repo.PublishRoot(func() {
				by := w.repo.Keys[metadata.ROOT]
				w.repo.ReplaceKeys(metadata.ROOT)
				w.repo.AddKey(metadata.ROOT)
				w.repo.Root.Signed.Roles[metadata.ROOT].Threshold = 2
				w.repo.Keys[metadata.ROOT] = by
			})
		}},
		{"a root signed by the new keys alone", verifiedmetadata.ReasonTooFewSignatures, func(w *fixture) {
			w.repo.PublishRoot(func() { w.repo.ReplaceKeys(metadata.ROOT); w.repo.AddKey(metadata.ROOT) })
			w.repo.SignRoot(w.repo.Keys[metadata.ROOT])
		}},
		{"a root of the version after next", verifiedmetadata.ReasonMissingVersion, func(w *fixture) {
			w.repo.PublishRoot(func() {})
			w.repo.PublishRoot(func() {})
			w.repo.Files["2.root.json"] = w.repo.Files["3.root.json"]
		}},
		{"an older root as the next one", verifiedmetadata.ReasonMissingVersion, func(w *fixture) {
			w.repo.Files["2.root.json"] = w.repo.Files["1.root.json"]
		}},
		{"more roots than are followed", verifiedmetadata.ReasonTooManyRoots, func(w *fixture) {
			for range 5 {
				w.repo.PublishRoot(func() {})
			}
		}},
		{"metadata of another role", verifiedmetadata.ReasonWrongRole, func(w *fixture) {
			w.repo.Files["timestamp.json"] = w.repo.Files["1.root.json"]
		}},
		{"no metadata", verifiedmetadata.ReasonMalformed, func(w *fixture) { w.repo.Files["timestamp.json"] = []byte(`{"signed":7`) }},
		{"a snapshot of another length", verifiedmetadata.ReasonWrongHash, func(w *fixture) {
			w.repo.Publish()
			name := fmt.Sprintf("%d.snapshot.json", w.repo.Snapshot.Signed.Version)
			w.repo.Files[name] = w.repo.Files[name][:len(w.repo.Files[name])-1]
		}},
		{"a snapshot that is longer than named", verifiedmetadata.ReasonTooLarge, func(w *fixture) {
			w.repo.Publish()
			name := fmt.Sprintf("%d.snapshot.json", w.repo.Snapshot.Signed.Version)
			w.repo.Files[name] = append(bytes.Clone(w.repo.Files[name]), ' ')
		}},
		{"a timestamp beyond its bound", verifiedmetadata.ReasonTooLarge, func(w *fixture) {
			w.repo.Files["timestamp.json"] = append(w.repo.Files["timestamp.json"], bytes.Repeat([]byte(" "), 20<<10)...)
		}},
		{"a timestamp without end", verifiedmetadata.ReasonTooLarge, func(w *fixture) { w.setFault(tuftest.OnlyFor("timestamp.json", tuftest.Endless)) }},
		{"altered", verifiedmetadata.ReasonWrongHash, func(w *fixture) {
			w.repo.Publish()
			w.setFault(tuftest.OnlyFor("snapshot.json", tuftest.Corrupt))
		}},
		{"another file's answer", verifiedmetadata.ReasonWrongRole, func(w *fixture) {
			w.setFault(tuftest.OnlyFor("timestamp.json", tuftest.RespondWith(w.repo.InitialRoot())))
		}},
		{"a mirror that stalls", verifiedmetadata.ReasonUnavailable, func(w *fixture) { w.setFault(tuftest.OnlyFor("timestamp.json", tuftest.StallAfter(9))) }},
		{"a mirror that drips", verifiedmetadata.ReasonUnavailable, func(w *fixture) {
			w.setFault(tuftest.OnlyFor("timestamp.json", tuftest.Drip(5*time.Millisecond)))
		}},
		{"a mirror that closes early", verifiedmetadata.ReasonUnavailable, func(w *fixture) { w.setFault(tuftest.OnlyFor("timestamp.json", tuftest.CloseAfter(9))) }},
		{"a mirror that redirects", verifiedmetadata.ReasonUnavailable, func(w *fixture) {
			w.setFault(tuftest.RedirectTo(w.mirrors[0].URL))
		}},
		{"all mirrors fail", verifiedmetadata.ReasonUnavailable, func(w *fixture) { w.setFault(tuftest.FailRequest) }},
		{"a timestamp that is missing", verifiedmetadata.ReasonUnavailable, func(w *fixture) { delete(w.repo.Files, "timestamp.json") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, true)
			w.limits.RootRotations = 4
			w.initial = w.newClient(2)
			if got := w.refresh(w.initial); got != verifiedmetadata.ReasonNone {
				t.Fatal(got)
			}
			before := fmt.Sprint(w.initial.keeper.TrustedRoles()[1:])
			c.do(w)
			w.syncMirrors()
			_, refused := w.initial.Refresh(context.Background(), 4*time.Second)
			if verifiedmetadata.ReasonOf(refused) != c.want {
				t.Errorf("refused for %v, want %v", refused, c.want)
			}
			if after := fmt.Sprint(w.initial.keeper.TrustedRoles()[1:]); after != before && c.name != "timestamp rolled back" {
				t.Errorf("trusted %s, before %s", after, before)
			}
			// Good again: what was refused leaves nothing behind.
			w.setFault(nil)
			w.clockOffset.Store(0)
		})
	}
}

// twice signs by one key as if there were two.
func signTwice(root *metadata.Metadata[metadata.RootType], key *tuftest.Key) []byte {
	text := tuftest.Sign(root, key)
	at := bytes.Index(text, []byte(`"signatures":[`)) + len(`"signatures":[`)
	end := at + bytes.IndexByte(text[at:], '}') + 1
	one := bytes.Clone(text[at:end])
	return append(append(append(bytes.Clone(text[:end]), ','), one...), text[end:]...)
}

// A rollback of each role is refused after a restart as well, as the store has kept what was seen; without a folder it
// is not, which the status says.
func TestRollbackAfterRestart(t *testing.T) {
	for _, folder := range []bool{true, false} {
		w := newFixture(t, true)
		if folder {
			w.folder = t.TempDir()
		}
		old := w.repo.CopyFiles()
		w.repo.Publish()
		w.syncMirrors()
		if got := w.refresh(w.newClient(1)); got != verifiedmetadata.ReasonNone {
			t.Fatal(got)
		}
		for _, m := range w.mirrors {
			m.SetFiles(old)
		}
		c := w.newClient(2)
		want := verifiedmetadata.ReasonRolledBack
		if !folder {
			want = verifiedmetadata.ReasonNone
		}
		if got := w.refresh(c); got != want {
			t.Errorf("folder %t: %v", folder, got)
		}
		if s := c.Status(); (s.Store == "kept") != folder {
			t.Errorf("folder %t: %q", folder, s.Store)
		}
	}
}

// The root goes over several versions, each signed by the one before and by itself, with all keys replaced; after it
// what the old keys sign is not taken. A timestamp whose version a stolen key has driven up is left behind with it.
func TestRootRotates(t *testing.T) {
	w := newFixture(t, true)
	w.folder = t.TempDir()
	w.repo.Timestamp.Signed.Version = 1 << 40
	w.repo.PublishTimestamp()
	w.syncMirrors()
	if got := w.refresh(w.newClient(1)); got != verifiedmetadata.ReasonNone {
		t.Fatal(got)
	}
	stolen := w.repo.Keys[metadata.TIMESTAMP]
	for _, role := range []string{metadata.ROOT, metadata.TIMESTAMP, metadata.TARGETS} {
		w.repo.PublishRoot(func() {
			w.repo.ReplaceKeys(role)
			if role == metadata.ROOT {
				w.repo.AddKey(role)
			}
		})
	}
	w.repo.Timestamp.Signed.Version = 7
	w.repo.Publish()
	w.syncMirrors()
	c := w.newClient(2)
	if got := w.refresh(c); got != verifiedmetadata.ReasonNone || c.keeper.TrustedRoles()[0].Version != 4 || c.keeper.TrustedRoles()[1].Version != 8 {
		t.Fatalf("%v, %v", got, c.keeper.TrustedRoles())
	}
	if c = w.newClient(3); c.Status().Trust != "trusted" {
		t.Errorf("after a restart: %+v", c.Status())
	}
	w.repo.Timestamp.Signed.Version++
	w.repo.Files["timestamp.json"] = tuftest.Sign(w.repo.Timestamp, stolen...)
	w.syncMirrors()
	if got := w.refresh(c); got != verifiedmetadata.ReasonTooFewSignatures {
		t.Errorf("by the old key: %v", got)
	}
}

// One good mirror of three is enough, whatever the others do; a target goes on there behind what is verified.
func TestOneGoodMirrorIsEnough(t *testing.T) {
	for name, f := range map[string]tuftest.Fault{"stalls": tuftest.StallAfter(30_000), "drips": tuftest.Drip(time.Millisecond),
		"closes early": tuftest.CloseAfter(30_000), "endless": tuftest.Endless, "altered": tuftest.Corrupt, "fails": tuftest.FailRequest,
		"another file": tuftest.RespondWith(targetBody[:99])} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, true)
			w.mirrors[0].SetFault(f)
			w.mirrors[1].SetFault(f)
			for seed := range uint64(4) {
				c := w.newClient(seed)
				if got := w.refresh(c); got != verifiedmetadata.ReasonNone {
					t.Fatal(got)
				}
				_, spent, refused := c.FetchTarget(context.Background(), targetPath, 4*time.Second)
				if refused != nil || c.VerifyTarget(targetPath) != nil {
					t.Fatalf("seed %d: %v", seed, refused)
				}
				if name == "stalls" && spent.Attempts > 1 && spent.Bytes > int64(len(targetBody))+3*4096 {
					t.Errorf("%d bytes for %d: it did not go on behind what was verified", spent.Bytes, len(targetBody))
				}
			}
		})
	}
}

// A target that is not what the roles list never reaches the store.
func TestTargetsAreVerified(t *testing.T) {
	for _, c := range []struct {
		name string
		want verifiedmetadata.Reason
		path string
		do   func(w *fixture)
	}{
		{"altered", verifiedmetadata.ReasonWrongHash, targetPath, func(w *fixture) { w.setFault(tuftest.Corrupt) }},
		{"cut off", verifiedmetadata.ReasonWrongLength, targetPath, func(w *fixture) { w.setFault(tuftest.RespondWith(targetBody[:8192])) }},
		{"longer", verifiedmetadata.ReasonTooLarge, "plain", func(w *fixture) { w.setFault(tuftest.RespondWith(append(bytes.Clone(targetBody), 'x'))) }},
		{"another of the same length", verifiedmetadata.ReasonWrongHash, "plain", func(w *fixture) {
			w.setFault(tuftest.RespondWith(bytes.Repeat([]byte("x"), len(targetBody))))
		}},
		{"not listed", verifiedmetadata.ReasonNotListed, "builds/8.json", func(*fixture) {}},
		{"out of its folder", verifiedmetadata.ReasonUnsafePath, "../../etc/passwd", func(*fixture) {}},
		{"of another root", verifiedmetadata.ReasonUnsafePath, "/etc/passwd", func(*fixture) {}},
		{"by a backslash", verifiedmetadata.ReasonUnsafePath, `a\..\b`, func(*fixture) {}},
		{"an unknown hash", verifiedmetadata.ReasonUnknownAlgorithm, "odd", func(*fixture) {}},
		{"expired meanwhile", verifiedmetadata.ReasonExpired, targetPath, func(w *fixture) { w.clockOffset.Store(int64(2 * time.Hour)) }},
		{"nothing fresh for long", verifiedmetadata.ReasonStale, targetPath, func(w *fixture) { w.clockOffset.Store(int64(30 * time.Minute)) }},
		{"the clock back", verifiedmetadata.ReasonClockWentBack, targetPath, func(w *fixture) { w.clockOffset.Store(-int64(30 * time.Minute)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, true)
			w.limits.MaxStaleness = 10 * time.Minute
			w.folder = t.TempDir()
			w.repo.AddTarget(metadata.TARGETS, "plain", targetBody, 0)
			w.repo.AddTarget(metadata.TARGETS, "odd", targetBody, 0)
			w.repo.Targets[metadata.TARGETS].Signed.Targets["odd"].Hashes = metadata.Hashes{"md9": {1, 2}}
			w.repo.Publish()
			w.syncMirrors()
			cl := w.newClient(3)
			if got := w.refresh(cl); got != verifiedmetadata.ReasonNone {
				t.Fatal(got)
			}
			c.do(w)
			_, _, refused := cl.FetchTarget(context.Background(), c.path, 3*time.Second)
			if verifiedmetadata.ReasonOf(refused) != c.want {
				t.Errorf("refused for %v, want %v", refused, c.want)
			}
			if _, err := cl.store.OpenTarget(c.path); err == nil {
				t.Error("it reached the store")
			}
		})
	}
}

// Delegations: followed in their order, terminating ones end the search, loops and depth are bounded, a role that a
// mirror alters is not taken.
func TestDelegations(t *testing.T) {
	w := newFixture(t, true)
	w.limits.DelegationDepth = 4
	w.repo.Delegate(metadata.TARGETS, "east", false, "east/*")
	w.repo.Delegate("east", "rolls", false, "east/*")
	w.repo.Delegate("rolls", "east", false, "east/*") // a loop
	w.repo.AddTarget("rolls", "east/1", targetBody, 0)
	w.repo.Delegate(metadata.TARGETS, "west", true, "west/*")
	w.repo.Delegate(metadata.TARGETS, "late", false, "west/*")
	w.repo.AddTarget("late", "west/1", targetBody, 0) // behind a terminating role
	for i, from := 0, metadata.TARGETS; i < 6; i++ {
		to := fmt.Sprint("deep", i)
		w.repo.Delegate(from, to, false, "deep/*")
		from = to
	}
	w.repo.AddTarget("deep5", "deep/1", targetBody, 0)
	w.repo.Publish()
	w.syncMirrors()
	c := w.newClient(1)
	if got := w.refresh(c); got != verifiedmetadata.ReasonNone {
		t.Fatal(got)
	}
	for path, want := range map[string]verifiedmetadata.Reason{"east/1": verifiedmetadata.ReasonNone, "east/2": verifiedmetadata.ReasonNotListed, "west/1": verifiedmetadata.ReasonNotListed,
		"deep/1": verifiedmetadata.ReasonTooDeep, targetPath: verifiedmetadata.ReasonNone} {
		var spent Usage
		_, refused := c.FindTarget(context.Background(), path, 2*time.Second, &spent)
		if verifiedmetadata.ReasonOf(refused) != want {
			t.Errorf("%s: %v, want %v", path, refused, want)
		}
	}
	w.setFault(tuftest.OnlyFor("west.json", tuftest.Corrupt))
	other := w.newClient(4)
	w.refresh(other)
	if _, _, refused := other.FetchTarget(context.Background(), "west/1", 2*time.Second); verifiedmetadata.ReasonOf(refused) != verifiedmetadata.ReasonWrongHash {
		t.Errorf("an altered role: %v", refused)
	}
}

// All mirrors are bad, then good again: each refresh ends in its time, what was trusted stands meanwhile, and the first
// refresh after that succeeds.
func TestMirrorsRecover(t *testing.T) {
	w := newFixture(t, true)
	c := w.newClient(1)
	w.refresh(c)
	for _, f := range []tuftest.Fault{tuftest.FailRequest, tuftest.StallAfter(0), tuftest.Endless} {
		w.setFault(f)
		begun := time.Now()
		_, refused := c.Refresh(context.Background(), 500*time.Millisecond)
		if took := time.Since(begun); refused == nil || took > 900*time.Millisecond {
			t.Errorf("%v after %v", refused, took)
		}
		if c.CheckTrusted(targetPath) != nil {
			t.Error("what was trusted does not stand")
		}
	}
	w.setFault(nil)
	time.Sleep(250 * time.Millisecond) // beyond the longest time that a mirror is left alone
	if got := w.refresh(c); got != verifiedmetadata.ReasonNone {
		t.Errorf("good again: %v", got)
	}
}

// Forty clients refresh and fetch at once: each ends well, and they spread over the mirrors.
func TestManyAtOnce(t *testing.T) {
	w := newFixture(t, true)
	ended := make(chan error, 40)
	for i := range 40 {
		c := w.newClient(uint64(i) + 100)
		go func() {
			if _, refused := c.Refresh(context.Background(), 10*time.Second); refused != nil {
				ended <- refused
				return
			}
			_, _, refused := c.FetchTarget(context.Background(), targetPath, 10*time.Second)
			if refused != nil {
				ended <- refused
				return
			}
			ended <- nil
		}()
	}
	for range 40 {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	for i, m := range w.mirrors {
		if n := m.Requests.Load(); n < 40 || n > 140 {
			t.Errorf("mirror %d was asked %d times of about 240", i, n)
		}
	}
}

// A full or read-only disk: what is trusted stands until the process ends, and the status says what is lost.
func TestStoreFails(t *testing.T) {
	w := newFixture(t, true)
	w.folder = t.TempDir()
	c := w.newClient(1)
	if err := os.RemoveAll(w.folder + "/parts"); err != nil { // any write fails from here on
		t.Fatal(err)
	}
	if err := os.WriteFile(w.folder+"/parts", nil, 0o400); err != nil {
		t.Fatal(err)
	}
	if got := w.refresh(c); got != verifiedmetadata.ReasonNone || c.CheckTrusted(targetPath) != nil {
		t.Errorf("%v, %v", got, c.CheckTrusted(targetPath))
	}
	if s := c.Status(); s.Store == "kept" {
		t.Errorf("%q", s.Store)
	}
	if _, _, refused := c.FetchTarget(context.Background(), targetPath, time.Second); verifiedmetadata.ReasonOf(refused) != verifiedmetadata.ReasonUnavailable {
		t.Errorf("a target that cannot be kept: %v", refused)
	}
}

// A caller that leaves ends a fetch at once.
func TestCallerLeaves(t *testing.T) {
	w := newFixture(t, true)
	c := w.newClient(1)
	w.setFault(tuftest.StallAfter(0))
	ctx, stop := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, stop)
	begun := time.Now()
	if _, refused := c.Refresh(ctx, 4*time.Second); refused == nil || time.Since(begun) > 120*time.Millisecond {
		t.Errorf("%v after %v", refused, time.Since(begun))
	}
}

// What is kept of a target is verified each time that it is asked for.
func TestAlteredOnDisk(t *testing.T) {
	w := newFixture(t, true)
	w.folder = t.TempDir()
	c := w.newClient(1)
	w.refresh(c)
	if _, _, refused := c.FetchTarget(context.Background(), targetPath, time.Second); refused != nil {
		t.Fatal(refused)
	}
	at := w.folder + "/targets/" + targetPath
	text, _ := os.ReadFile(at)
	noise := make([]byte, 4)
	io.ReadFull(rand.Reader, noise)
	noise[0] = text[100] ^ 1
	os.WriteFile(at, append(append(bytes.Clone(text[:100]), noise...), text[104:]...), 0o600)
	if got := c.VerifyTarget(targetPath); verifiedmetadata.ReasonOf(got) != verifiedmetadata.ReasonWrongHash {
		t.Errorf("altered: %v", got)
	}
	os.WriteFile(at, append(text, 'x'), 0o600)
	if got := c.VerifyTarget(targetPath); verifiedmetadata.ReasonOf(got) != verifiedmetadata.ReasonWrongLength {
		t.Errorf("longer: %v", got)
	}
}

// What is no longer listed is cleared away, what is listed stays; while nothing trusted stands nothing is cleared.
func TestClean(t *testing.T) {
	for _, folder := range []string{"", t.TempDir()} {
		w := newFixture(t, true)
		w.folder = folder
		w.repo.AddTarget(metadata.TARGETS, "builds/6.json", targetBody, 0)
		w.repo.Publish()
		w.syncMirrors()
		c := w.newClient(1)
		w.refresh(c)
		for _, path := range []string{targetPath, "builds/6.json"} {
			if _, _, refused := c.FetchTarget(context.Background(), path, time.Second); refused != nil {
				t.Fatal(refused)
			}
		}
		delete(w.repo.Targets[metadata.TARGETS].Signed.Targets, "builds/6.json")
		w.repo.Publish()
		w.syncMirrors()
		w.refresh(c)
		w.clockOffset.Store(int64(3 * time.Hour))
		if n := c.RemoveUnlisted(); n != 0 {
			t.Errorf("%d cleared while nothing stands", n)
		}
		w.clockOffset.Store(0)
		if n := c.RemoveUnlisted(); n != 1 || c.VerifyTarget(targetPath) != nil || len(c.store.TargetPaths()) != 1 {
			t.Errorf("%d cleared, %v left, %v", n, c.store.TargetPaths(), c.VerifyTarget(targetPath))
		}
		if _, err := c.store.OpenTarget("builds/6.json"); err == nil {
			t.Error("its bytes are still there")
		}
	}
}

// A mirror that is told to drain while a fetch runs gets nothing new from then on; the fetch ends well elsewhere. Once it
// is told to serve again it is asked again.
func TestDrainingMirror(t *testing.T) {
	w := newFixture(t, true)
	c := w.newClient(1)
	w.setFault(tuftest.StallAfter(0))
	ended := make(chan error, 1)
	go func() {
		_, refused := c.Refresh(context.Background(), 4*time.Second)
		ended <- refused
	}()
	time.Sleep(50 * time.Millisecond)
	c.SetDraining([]string{w.mirrors[0].URL, w.mirrors[1].URL})
	time.Sleep(20 * time.Millisecond)
	before := w.mirrors[0].Requests.Load() + w.mirrors[1].Requests.Load()
	w.setFault(nil)
	if refused := <-ended; refused != nil {
		t.Error(refused)
	}
	if after := w.mirrors[0].Requests.Load() + w.mirrors[1].Requests.Load(); after != before || w.mirrors[2].Requests.Load() < 4 {
		t.Errorf("draining mirrors were asked %d times more, the other %d times", after-before, w.mirrors[2].Requests.Load())
	}
	c.SetDraining(nil)
	for range 6 {
		w.refresh(c)
	}
	if w.mirrors[0].Requests.Load()+w.mirrors[1].Requests.Load() == before {
		t.Error("they are never asked again")
	}
}

// A refresh that ends midway, and a restart after it: what was trusted before stands, and the newer timestamp that was
// seen is not gone back behind.
func TestInterruptedRefresh(t *testing.T) {
	w := newFixture(t, true)
	w.folder = t.TempDir()
	c := w.newClient(1)
	w.refresh(c)
	old := w.repo.Files["timestamp.json"]
	w.repo.Publish()
	w.syncMirrors()
	w.setFault(tuftest.OnlyFor("snapshot.json", tuftest.FailRequest))
	if _, refused := c.Refresh(context.Background(), 500*time.Millisecond); verifiedmetadata.ReasonOf(refused) != verifiedmetadata.ReasonUnavailable {
		t.Fatal(refused)
	}
	if c = w.newClient(2); c.CheckTrusted(targetPath) != nil {
		t.Errorf("after the restart: %v", c.CheckTrusted(targetPath))
	}
	w.setFault(nil)
	w.repo.Files["timestamp.json"] = old
	w.syncMirrors()
	if got := w.refresh(c); got != verifiedmetadata.ReasonRolledBack {
		t.Errorf("behind what was seen: %v", got)
	}
	w.repo.PublishTimestamp()
	w.syncMirrors()
	if got := w.refresh(c); got != verifiedmetadata.ReasonNone {
		t.Errorf("good again: %v", got)
	}
}

// A root that replaces keys takes what they signed along, also where the rest of the refresh fails, and over a restart.
func TestReplacedKeysTakeTheirsAlong(t *testing.T) {
	w := newFixture(t, true)
	w.folder = t.TempDir()
	c := w.newClient(1)
	w.refresh(c)
	w.repo.PublishRoot(func() { w.repo.ReplaceKeys(metadata.TARGETS) })
	w.syncMirrors()
	w.setFault(tuftest.OnlyFor("timestamp.json", tuftest.FailRequest))
	for range 2 {
		if _, refused := c.Refresh(context.Background(), 500*time.Millisecond); refused == nil || verifiedmetadata.ReasonOf(c.CheckTrusted(targetPath)) != verifiedmetadata.ReasonNeverRefreshed {
			t.Errorf("%v; %v", refused, c.CheckTrusted(targetPath))
		}
		c = w.newClient(2)
	}
	w.setFault(nil)
	w.repo.Publish()
	w.syncMirrors()
	if got := w.refresh(c); got != verifiedmetadata.ReasonNone || c.CheckTrusted(targetPath) != nil {
		t.Errorf("%v, %v", got, c.CheckTrusted(targetPath))
	}
}

// Whatever an operator's file holds, it is rejected in words or read within the bounds of the schema.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"root":"r","mirrors":["http://127.0.0.1:1/"],"builds":"b/{build}"}`))
	f.Add([]byte(`{"root":"r","mirrors":[],"bytes":{"root":-1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		o, fault := ParseOperatorConfig(text)
		if fault != nil && fault.Reason == "" {
			t.Error("rejected without a reason")
		}
		if o != nil && (o.Root == "" || len(o.Mirrors) == 0 || o.Bytes.Root < 1024 || o.RefreshWithin() <= 0 || o.Attempts < 1) {
			t.Errorf("taken: %q", text)
		}
	})
}
