package tuf

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"laurelring/internal/tuftest"
	"laurelring/internal/verifiedmetadata"
)

// Targets that do not verify, are not listed or have an unsafe path, and targets of invalid metadata, are rejected with
// their exact reason and not stored.
func TestUnverifiedTargetsAreNotStored(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   verifiedmetadata.Reason
		path   string
		change func(f *fixture)
	}{
		{"altered contents", verifiedmetadata.ReasonWrongHash, targetPath, func(f *fixture) { f.setFault(tuftest.Corrupt) }},
		{"truncated contents", verifiedmetadata.ReasonWrongLength, targetPath, func(f *fixture) { f.setFault(tuftest.RespondWith(targetBody[:8192])) }},
		{"contents longer than listed", verifiedmetadata.ReasonTooLarge, "plain", func(f *fixture) { f.setFault(tuftest.RespondWith(append(bytes.Clone(targetBody), 'x'))) }},
		{"other contents of the same length", verifiedmetadata.ReasonWrongHash, "plain", func(f *fixture) {
			f.setFault(tuftest.RespondWith(bytes.Repeat([]byte("x"), len(targetBody))))
		}},
		{"unlisted target", verifiedmetadata.ReasonNotListed, "builds/8.json", func(*fixture) {}},
		{"path outside the folder", verifiedmetadata.ReasonUnsafePath, "../../etc/passwd", func(*fixture) {}},
		{"absolute path", verifiedmetadata.ReasonUnsafePath, "/etc/passwd", func(*fixture) {}},
		{"path with backslashes", verifiedmetadata.ReasonUnsafePath, `a\..\b`, func(*fixture) {}},
		{"unknown hash algorithm", verifiedmetadata.ReasonUnknownAlgorithm, "odd", func(*fixture) {}},
		{"metadata expired since the refresh", verifiedmetadata.ReasonExpired, targetPath, func(f *fixture) { f.clockOffset.Store(int64(2 * time.Hour)) }},
		{"stale metadata", verifiedmetadata.ReasonStale, targetPath, func(f *fixture) { f.clockOffset.Store(int64(30 * time.Minute)) }},
		{"clock set back", verifiedmetadata.ReasonClockWentBack, targetPath, func(f *fixture) { f.clockOffset.Store(-int64(30 * time.Minute)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, true)
			f.limits.MaxStaleness = 10 * time.Minute
			f.folder = t.TempDir()
			f.repo.AddTarget(metadata.TARGETS, "plain", targetBody, 0)
			f.repo.AddTarget(metadata.TARGETS, "odd", targetBody, 0)
			f.repo.Targets[metadata.TARGETS].Signed.Targets["odd"].Hashes = metadata.Hashes{"md9": {1, 2}}
			f.repo.Publish()
			f.syncMirrors()
			client := f.newClient(3)
			if got := f.refresh(client); got != verifiedmetadata.ReasonNone {
				t.Fatal(got)
			}
			c.change(f)
			_, _, err := client.FetchTarget(context.Background(), c.path, 3*time.Second)
			if verifiedmetadata.ReasonOf(err) != c.want {
				t.Errorf("got error %v, want reason %v", err, c.want)
			}
			if _, err := client.store.OpenTarget(c.path); err == nil {
				t.Error("rejected target is in the store")
			}
		})
	}
}

// Delegations are followed in order, a terminating delegation ends the search, loops end and the depth is limited. The
// metadata of a delegated role that a mirror has altered is rejected.
func TestDelegationsAreFollowed(t *testing.T) {
	f := newFixture(t, true)
	f.limits.DelegationDepth = 4
	f.repo.Delegate(metadata.TARGETS, "east", false, "east/*")
	f.repo.Delegate("east", "rolls", false, "east/*")
	f.repo.Delegate("rolls", "east", false, "east/*") // a loop
	f.repo.AddTarget("rolls", "east/1", targetBody, 0)
	f.repo.Delegate(metadata.TARGETS, "west", true, "west/*")
	f.repo.Delegate(metadata.TARGETS, "late", false, "west/*")
	f.repo.AddTarget("late", "west/1", targetBody, 0) // not reached, because the delegation to west is terminating
	for i, from := 0, metadata.TARGETS; i < 6; i++ {
		to := fmt.Sprint("deep", i)
		f.repo.Delegate(from, to, false, "deep/*")
		from = to
	}
	f.repo.AddTarget("deep5", "deep/1", targetBody, 0)
	f.repo.Publish()
	f.syncMirrors()
	c := f.newClient(1)
	if got := f.refresh(c); got != verifiedmetadata.ReasonNone {
		t.Fatal(got)
	}
	for path, want := range map[string]verifiedmetadata.Reason{"east/1": verifiedmetadata.ReasonNone, "east/2": verifiedmetadata.ReasonNotListed, "west/1": verifiedmetadata.ReasonNotListed,
		"deep/1": verifiedmetadata.ReasonTooDeep, targetPath: verifiedmetadata.ReasonNone} {
		var usage Usage
		_, err := c.FindTarget(context.Background(), path, 2*time.Second, &usage)
		if verifiedmetadata.ReasonOf(err) != want {
			t.Errorf("target %s: got %v, want reason %v", path, err, want)
		}
	}
	f.setFault(tuftest.OnlyFor("west.json", tuftest.Corrupt))
	other := f.newClient(4)
	f.refresh(other)
	if _, _, err := other.FetchTarget(context.Background(), "west/1", 2*time.Second); verifiedmetadata.ReasonOf(err) != verifiedmetadata.ReasonWrongHash {
		t.Errorf("altered delegated role: got %v, want wrong hash", err)
	}
}

func TestTargetAlteredOnDiskIsDetected(t *testing.T) {
	f := newFixture(t, true)
	f.folder = t.TempDir()
	c := f.newClient(1)
	f.refresh(c)
	if _, _, err := c.FetchTarget(context.Background(), targetPath, time.Second); err != nil {
		t.Fatal(err)
	}
	file := f.folder + "/targets/" + targetPath
	text, _ := os.ReadFile(file)
	noise := make([]byte, 4)
	io.ReadFull(rand.Reader, noise)
	noise[0] = text[100] ^ 1
	os.WriteFile(file, append(append(bytes.Clone(text[:100]), noise...), text[104:]...), 0o600)
	if got := c.VerifyTarget(targetPath); verifiedmetadata.ReasonOf(got) != verifiedmetadata.ReasonWrongHash {
		t.Errorf("target altered on disk: got %v, want wrong hash", got)
	}
	os.WriteFile(file, append(text, 'x'), 0o600)
	if got := c.VerifyTarget(targetPath); verifiedmetadata.ReasonOf(got) != verifiedmetadata.ReasonWrongLength {
		t.Errorf("target extended on disk: got %v, want wrong length", got)
	}
}

// Unlisted targets are removed and listed ones remain. While the metadata is not valid no target is removed.
func TestRemoveUnlistedTargets(t *testing.T) {
	for _, folder := range []string{"", t.TempDir()} {
		f := newFixture(t, true)
		f.folder = folder
		f.repo.AddTarget(metadata.TARGETS, "builds/6.json", targetBody, 0)
		f.repo.Publish()
		f.syncMirrors()
		c := f.newClient(1)
		f.refresh(c)
		for _, path := range []string{targetPath, "builds/6.json"} {
			if _, _, err := c.FetchTarget(context.Background(), path, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		delete(f.repo.Targets[metadata.TARGETS].Signed.Targets, "builds/6.json")
		f.repo.Publish()
		f.syncMirrors()
		f.refresh(c)
		f.clockOffset.Store(int64(3 * time.Hour))
		if n := c.RemoveUnlisted(); n != 0 {
			t.Errorf("got %d targets removed while the metadata is not valid, want 0", n)
		}
		f.clockOffset.Store(0)
		if n := c.RemoveUnlisted(); n != 1 || c.VerifyTarget(targetPath) != nil || len(c.store.TargetPaths()) != 1 {
			t.Errorf("got %d targets removed, want 1; remaining %v, verification %v", n, c.store.TargetPaths(), c.VerifyTarget(targetPath))
		}
		if _, err := c.store.OpenTarget("builds/6.json"); err == nil {
			t.Error("contents of the removed target are still stored")
		}
	}
}
