package tuf

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"laurelring/internal/tuftest"
	"laurelring/internal/verifiedmetadata"
)

// Refreshes and fetches succeed over several published versions, with and without consistent snapshots.
func TestVerifiedMetadataAndTargetsAreStored(t *testing.T) {
	for _, consistent := range []bool{true, false} {
		f := newFixture(t, consistent)
		c := f.newClient(1)
		if got := c.CheckTrusted(targetPath); verifiedmetadata.ReasonOf(got) != verifiedmetadata.ReasonNeverRefreshed {
			t.Errorf("before the first refresh: got %v, want never refreshed", got)
		}
		for range 3 {
			if got := f.refresh(c); got != verifiedmetadata.ReasonNone {
				t.Fatal(got)
			}
			got, _, err := c.FetchTarget(context.Background(), targetPath, 4*time.Second)
			if err != nil || got.Length != int64(len(targetBody)) || c.VerifyTarget(targetPath) != nil {
				t.Fatal(err, c.VerifyTarget(targetPath))
			}
			f.repo.AddTarget(metadata.TARGETS, targetPath, targetBody, 4096)
			f.repo.Publish()
			f.syncMirrors()
		}
		if s := c.Status(); s.Trust != "trusted" || len(s.Roles) != 4 || s.Roles[3].Version != 4 {
			t.Errorf("unexpected status %+v", s)
		}
	}
}

// A rollback is rejected even after a restart, because the store holds the versions that were trusted. A store in
// memory cannot do this, which the status reports.
func TestStoredVersionsPreventRollbackAfterRestart(t *testing.T) {
	for _, folder := range []bool{true, false} {
		f := newFixture(t, true)
		if folder {
			f.folder = t.TempDir()
		}
		old := f.repo.CopyFiles()
		f.repo.Publish()
		f.syncMirrors()
		if got := f.refresh(f.newClient(1)); got != verifiedmetadata.ReasonNone {
			t.Fatal(got)
		}
		for _, m := range f.mirrors {
			m.SetFiles(old)
		}
		c := f.newClient(2)
		want := verifiedmetadata.ReasonRolledBack
		if !folder {
			want = verifiedmetadata.ReasonNone
		}
		if got := f.refresh(c); got != want {
			t.Errorf("store in a folder %t: got reason %v", folder, got)
		}
		if s := c.Status(); (s.Store == "kept") != folder {
			t.Errorf("store in a folder %t: got store status %q", folder, s.Store)
		}
	}
}

// The root rotates over several versions, each signed with the previous and the new root keys, which replace the keys
// of the root, timestamp and targets roles. Afterwards metadata signed with a replaced key is rejected. The client also
// recovers from a fast-forward attack, in which a stolen key raised the version of the timestamp: after the key
// rotation it accepts a lower version.
func TestRootRotationReplacesKeys(t *testing.T) {
	f := newFixture(t, true)
	f.folder = t.TempDir()
	f.repo.Timestamp.Signed.Version = 1 << 40
	f.repo.PublishTimestamp()
	f.syncMirrors()
	if got := f.refresh(f.newClient(1)); got != verifiedmetadata.ReasonNone {
		t.Fatal(got)
	}
	stolen := f.repo.Keys[metadata.TIMESTAMP]
	for _, role := range []string{metadata.ROOT, metadata.TIMESTAMP, metadata.TARGETS} {
		f.repo.PublishRoot(func() {
			f.repo.ReplaceKeys(role)
			if role == metadata.ROOT {
				f.repo.AddKey(role)
			}
		})
	}
	f.repo.Timestamp.Signed.Version = 7
	f.repo.Publish()
	f.syncMirrors()
	c := f.newClient(2)
	if got := f.refresh(c); got != verifiedmetadata.ReasonNone || c.verifier.TrustedRoles()[0].Version != 4 || c.verifier.TrustedRoles()[1].Version != 8 {
		t.Fatalf("after the rotation: reason %v, trusted roles %v", got, c.verifier.TrustedRoles())
	}
	if c = f.newClient(3); c.Status().Trust != "trusted" {
		t.Errorf("after a restart: got status %+v, want trusted", c.Status())
	}
	f.repo.Timestamp.Signed.Version++
	f.repo.Files["timestamp.json"] = tuftest.Sign(f.repo.Timestamp, stolen...)
	f.syncMirrors()
	if got := f.refresh(c); got != verifiedmetadata.ReasonTooFewSignatures {
		t.Errorf("timestamp signed with the old key: got reason %v, want too few signatures", got)
	}
}

// If the disk is full or read-only, refreshed metadata is trusted until the process ends, the status reports the
// failure, and a fetch fails as unavailable.
func TestRefreshSucceedsWhenStoreFails(t *testing.T) {
	f := newFixture(t, true)
	f.folder = t.TempDir()
	c := f.newClient(1)
	if err := os.RemoveAll(f.folder + "/parts"); err != nil { // from here on every write fails
		t.Fatal(err)
	}
	if err := os.WriteFile(f.folder+"/parts", nil, 0o400); err != nil {
		t.Fatal(err)
	}
	if got := f.refresh(c); got != verifiedmetadata.ReasonNone || c.CheckTrusted(targetPath) != nil {
		t.Errorf("refresh with a failing store: reason %v, target error %v", got, c.CheckTrusted(targetPath))
	}
	if s := c.Status(); s.Store == "kept" {
		t.Errorf("got store status %q, want an error", s.Store)
	}
	if _, _, err := c.FetchTarget(context.Background(), targetPath, time.Second); verifiedmetadata.ReasonOf(err) != verifiedmetadata.ReasonUnavailable {
		t.Errorf("fetch of a target that cannot be stored: got %v, want unavailable", err)
	}
}

// After an interrupted refresh and a restart the previous metadata is still trusted, and a timestamp older than the
// newest verified one is rejected, although the refresh that verified that one was not completed.
func TestInterruptedRefreshStillPreventsRollback(t *testing.T) {
	f := newFixture(t, true)
	f.folder = t.TempDir()
	c := f.newClient(1)
	f.refresh(c)
	old := f.repo.Files["timestamp.json"]
	f.repo.Publish()
	f.syncMirrors()
	f.setFault(tuftest.OnlyFor("snapshot.json", tuftest.FailRequest))
	if _, err := c.Refresh(context.Background(), 500*time.Millisecond); verifiedmetadata.ReasonOf(err) != verifiedmetadata.ReasonUnavailable {
		t.Fatal(err)
	}
	if c = f.newClient(2); c.CheckTrusted(targetPath) != nil {
		t.Errorf("after the restart: got %v, want trusted", c.CheckTrusted(targetPath))
	}
	f.setFault(nil)
	f.repo.Files["timestamp.json"] = old
	f.syncMirrors()
	if got := f.refresh(c); got != verifiedmetadata.ReasonRolledBack {
		t.Errorf("timestamp older than the newest verified one: got reason %v, want rolled back", got)
	}
	f.repo.PublishTimestamp()
	f.syncMirrors()
	if got := f.refresh(c); got != verifiedmetadata.ReasonNone {
		t.Errorf("refresh with a newer timestamp: got reason %v, want none", got)
	}
}

// Metadata signed with revoked keys is no longer trusted, even if the rest of the refresh fails, and after a restart.
func TestKeyRevocationInvalidatesSignedMetadata(t *testing.T) {
	f := newFixture(t, true)
	f.folder = t.TempDir()
	c := f.newClient(1)
	f.refresh(c)
	f.repo.PublishRoot(func() { f.repo.ReplaceKeys(metadata.TARGETS) })
	f.syncMirrors()
	f.setFault(tuftest.OnlyFor("timestamp.json", tuftest.FailRequest))
	for range 2 {
		if _, err := c.Refresh(context.Background(), 500*time.Millisecond); err == nil || verifiedmetadata.ReasonOf(c.CheckTrusted(targetPath)) != verifiedmetadata.ReasonNeverRefreshed {
			t.Errorf("after the revocation: refresh error %v, target error %v", err, c.CheckTrusted(targetPath))
		}
		c = f.newClient(2)
	}
	f.setFault(nil)
	f.repo.Publish()
	f.syncMirrors()
	if got := f.refresh(c); got != verifiedmetadata.ReasonNone || c.CheckTrusted(targetPath) != nil {
		t.Errorf("refresh with new keys: reason %v, target error %v", got, c.CheckTrusted(targetPath))
	}
}
