package verifiedmetadata

import (
	"fmt"
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"github.com/theupdateframework/go-tuf/v2/metadata/trustedmetadata"
)

// NeededFile is a metadata file to be fetched next.
type NeededFile struct {
	Role     string
	Name     string // on a mirror
	MaxBytes int64
	Optional bool // that no mirror has it is a valid answer: there is no newer root
}

// refreshStage is the role whose file a refresh needs next.
type refreshStage uint8

const (
	stageRoot refreshStage = iota
	stageTimestamp
	stageSnapshot
	stageTargets
)

// refresh is an update of the top-level roles under way. Nothing of it but new roots is trusted before it is complete.
type refresh struct {
	next      *trustedmetadata.TrustedMetadata
	verified  map[string][]byte // files that this refresh has verified, by role
	rotations int               // new roots
	stage     refreshStage
}

// BeginRefresh starts a refresh. It fails while the clock is before a moment at which metadata were fresh.
func (v *Verifier) BeginRefresh(now int64) error {
	if err := v.checkClock(now); err != nil {
		return err
	}
	v.refresh = &refresh{next: v.newTrustedMetadata(now), verified: map[string][]byte{}}
	return nil
}

// NextFile returns the file that the refresh needs next, or false once there is none.
func (v *Verifier) NextFile() (NeededFile, bool) {
	if v.refresh == nil {
		return NeededFile{}, false
	}
	next := v.refresh.next
	switch v.refresh.stage {
	case stageRoot:
		name := fmt.Sprintf("%d.root.json", next.Root.Signed.Version+1)
		return NeededFile{Role: metadata.ROOT, Name: name, MaxBytes: v.limits.RootBytes, Optional: true}, true
	case stageTimestamp:
		return NeededFile{Role: metadata.TIMESTAMP, Name: "timestamp.json", MaxBytes: v.limits.TimestampBytes}, true
	case stageSnapshot:
		return v.listedFile(metadata.SNAPSHOT, next.Timestamp.Signed.Meta, v.limits.SnapshotBytes), true
	}
	return v.listedFile(metadata.TARGETS, next.Snapshot.Signed.Meta, v.limits.TargetsBytes), true
}

// listedFile is a file that other metadata list, bounded by the length that they give.
func (v *Verifier) listedFile(role string, listed map[string]*metadata.MetaFiles, maxBytes int64) NeededFile {
	name := role + ".json"
	file := listed[name]
	if file != nil && v.newestMetadata().Root.Signed.ConsistentSnapshot {
		name = fmt.Sprintf("%d.%s", file.Version, name)
	}
	if file != nil && file.Length > 0 {
		maxBytes = min(maxBytes, file.Length)
	}
	return NeededFile{Role: role, Name: name, MaxBytes: maxBytes}
}

// newestMetadata returns the metadata of the refresh under way, or the trusted ones.
func (v *Verifier) newestMetadata() *trustedmetadata.TrustedMetadata {
	if v.refresh != nil {
		return v.refresh.next
	}
	return v.trusted
}

// VerifyFile takes the contents of the file that NextFile returned. An error leaves what is trusted as it was; another
// mirror may deliver the right contents.
func (v *Verifier) VerifyFile(contents []byte) error {
	needed, ok := v.NextFile()
	if !ok {
		return newError(ReasonUnavailable, "refresh", "nothing was wanted")
	}
	if int64(len(contents)) > needed.MaxBytes {
		return newError(ReasonTooLarge, needed.Role, "%d bytes, %d at most", len(contents), needed.MaxBytes)
	}
	if needed.Role == metadata.ROOT {
		return v.verifyRoot(contents)
	}
	if err := v.verifyRole(needed.Role, contents, false); err != nil {
		return err
	}
	v.refresh.verified[needed.Role] = contents
	v.reuseStored()
	if v.refresh.next.Targets[metadata.TARGETS] != nil {
		v.finishRefresh()
	}
	return nil
}

// verifyRoot takes the next root, which is trusted at once, whatever becomes of the rest of the refresh.
func (v *Verifier) verifyRoot(contents []byte) error {
	if v.refresh.rotations >= v.limits.RootRotations {
		return newError(ReasonTooManyRoots, metadata.ROOT, "%d in one refresh", v.refresh.rotations)
	}
	previous := v.refresh.next.Root
	if _, err := v.refresh.next.UpdateRoot(contents); err != nil {
		return v.diagnose(metadata.ROOT, contents, err, ReasonMissingVersion)
	}
	v.refresh.rotations++
	v.root = contents
	v.changed[metadata.ROOT] = true
	keysChanged := func(role string) bool {
		return !sameKeys(previous.Signed.Roles[role], v.refresh.next.Root.Signed.Roles[role])
	}
	// A new key of the timestamp or the snapshot recovers from versions that were driven up with a stolen key.
	if keysChanged(metadata.TIMESTAMP) || keysChanged(metadata.SNAPSHOT) {
		v.drop(metadata.TIMESTAMP)
		v.drop(metadata.SNAPSHOT)
		v.drop(newestTimestampRecord)
	}
	// What revoked keys signed is no longer trusted, whatever becomes of this refresh.
	if keysChanged(metadata.TIMESTAMP) || keysChanged(metadata.SNAPSHOT) || keysChanged(metadata.TARGETS) {
		v.trusted = nil
	}
	return nil
}

// sameKeys reports whether two roots give a role the same keys and threshold.
func sameKeys(a, b *metadata.Role) bool {
	if a == nil || b == nil || a.Threshold != b.Threshold {
		return a == b
	}
	aKeys, bKeys := slices.Clone(a.KeyIDs), slices.Clone(b.KeyIDs)
	slices.Sort(aKeys)
	slices.Sort(bKeys)
	return slices.Equal(aKeys, bKeys)
}

// FileNotFound reports that no mirror has the file that NextFile returned. Where that is an optional root the refresh
// goes on; otherwise it ends with an error.
func (v *Verifier) FileNotFound() error {
	needed, ok := v.NextFile()
	if !ok || !needed.Optional {
		v.AbandonRefresh()
		return newError(ReasonUnavailable, needed.Role, "no mirror brought it")
	}
	v.refresh.stage = stageTimestamp
	// The stored timestamps guard against a rollback, even if they have expired since.
	for _, name := range []string{metadata.TIMESTAMP, newestTimestampRecord} {
		if contents := v.stored[name]; contents != nil {
			v.refresh.next.UpdateTimestamp(contents)
		}
	}
	return nil
}

// AbandonRefresh ends a refresh that is not complete; otherwise it does nothing. What was trusted stays so, and a
// newer timestamp that was verified is stored, so that no older one is accepted later.
func (v *Verifier) AbandonRefresh() {
	if v.refresh == nil {
		return
	}
	if contents := v.refresh.verified[metadata.TIMESTAMP]; contents != nil {
		v.store(newestTimestampRecord, contents)
	}
	v.refresh = nil
}

// reuseStored continues with stored files where they are still those that the newer metadata list.
func (v *Verifier) reuseStored() {
	if v.refresh.stage == stageSnapshot && v.stored[metadata.SNAPSHOT] != nil {
		v.verifyRole(metadata.SNAPSHOT, v.stored[metadata.SNAPSHOT], true)
	}
	if v.refresh.stage == stageTargets && v.refresh.next.Targets[metadata.TARGETS] == nil && v.stored[metadata.TARGETS] != nil {
		v.verifyRole(metadata.TARGETS, v.stored[metadata.TARGETS], true)
	}
}

// finishRefresh makes the metadata of a complete refresh the trusted ones.
func (v *Verifier) finishRefresh() {
	for role, contents := range v.refresh.verified {
		v.store(role, contents) // one record a role, so that the order does not matter
	}
	v.drop(newestTimestampRecord)
	v.trusted, v.refresh = v.refresh.next, nil
	v.refreshedAt = v.trusted.RefTime.UnixNano()
	v.changed[lastRefreshRecord] = true
	// Stored delegated roles may be of an older snapshot: each is verified again when a search needs it.
	for _, role := range v.storedDelegatedRoles() {
		if v.trusted.Snapshot.Signed.Meta[role+".json"] == nil {
			v.drop(role)
		}
	}
}

// verifyRole verifies a file of a top-level role other than the root and goes on to the next stage. Stored says that
// the file was verified before, which the library needs to know of a snapshot.
func (v *Verifier) verifyRole(role string, contents []byte, stored bool) error {
	if contents == nil {
		return newError(ReasonNeverRefreshed, role, "nothing is kept")
	}
	next := v.refresh.next
	switch role {
	case metadata.TIMESTAMP:
		_, err := next.UpdateTimestamp(contents)
		unchanged := err != nil && next.Timestamp != nil && v.isCurrentTimestamp(contents)
		if err != nil && !unchanged {
			return v.diagnose(role, contents, err, ReasonRolledBack)
		}
		if unchanged && next.Timestamp.Signed.IsExpired(next.RefTime) {
			return newError(ReasonExpired, role, "version %d", next.Timestamp.Signed.Version)
		}
		v.refresh.stage = stageSnapshot
	case metadata.SNAPSHOT:
		if _, err := next.UpdateSnapshot(contents, stored); err != nil {
			return v.diagnose(role, contents, err, v.wrongSnapshotVersion(contents))
		}
		v.refresh.stage = stageTargets
	case metadata.TARGETS:
		if _, err := next.UpdateTargets(contents); err != nil {
			return v.diagnose(role, contents, err, ReasonMixAndMatch)
		}
	}
	return nil
}

// isCurrentTimestamp reports whether a timestamp file is signed and of the version that the refresh already has: the
// library refuses that as an error.
func (v *Verifier) isCurrentTimestamp(contents []byte) bool {
	next := v.refresh.next
	timestamp, err := metadata.Timestamp().FromBytes(contents)
	return err == nil && timestamp.Signed.Version == next.Timestamp.Signed.Version &&
		next.Root.VerifyDelegate(metadata.TIMESTAMP, timestamp) == nil
}
