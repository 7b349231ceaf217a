package verifiedmetadata

import (
	"fmt"
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"github.com/theupdateframework/go-tuf/v2/metadata/trustedmetadata"
)

// NeededFile describes the metadata file to fetch next.
type NeededFile struct {
	Role     string
	Name     string // file name on a mirror
	MaxBytes int64
	Optional bool // if no mirror has the file, there is no newer root and the refresh goes on
}

// refreshStage is the role whose file a refresh needs next.
type refreshStage uint8

const (
	stageRoot refreshStage = iota
	stageTimestamp
	stageSnapshot
	stageTargets
)

// refresh is an update of the top-level roles in progress. Except for new roots, its metadata are not trusted before it
// is complete.
type refresh struct {
	next          *trustedmetadata.TrustedMetadata
	verified      map[string][]byte // contents of the files that this refresh has verified, by role
	rootRotations int               // number of new root versions so far
	stage         refreshStage
}

// BeginRefresh starts a refresh. It fails if the clock is before the last successful refresh by more than
// Limits.ClockSlack.
func (v *Verifier) BeginRefresh(now int64) error {
	if err := v.checkClock(now); err != nil {
		return err
	}
	v.refresh = &refresh{next: v.newTrustedMetadata(now), verified: map[string][]byte{}}
	return nil
}

// NextFile returns the file that the refresh needs next, or false if no refresh is in progress.
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

// listedFile returns the file of a role that other metadata list. Its size is limited by maxBytes and the listed
// length.
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

// newestMetadata returns the metadata of the refresh in progress, or the trusted ones if there is no refresh.
func (v *Verifier) newestMetadata() *trustedmetadata.TrustedMetadata {
	if v.refresh != nil {
		return v.refresh.next
	}
	return v.trusted
}

// VerifyFile verifies the contents of the file that NextFile returned. An error leaves the trusted metadata unchanged,
// so that the file can be fetched from another mirror.
func (v *Verifier) VerifyFile(contents []byte) error {
	needed, ok := v.NextFile()
	if !ok {
		return newError(ReasonUnavailable, "refresh", "no metadata file is needed")
	}
	if int64(len(contents)) > needed.MaxBytes {
		return newError(ReasonTooLarge, needed.Role, "got %d bytes, want at most %d", len(contents), needed.MaxBytes)
	}
	if needed.Role == metadata.ROOT {
		return v.verifyRoot(contents)
	}
	if err := v.verifyRole(needed.Role, contents, false); err != nil {
		return err
	}
	v.refresh.verified[needed.Role] = contents
	v.reuseStoredFiles()
	if v.refresh.next.Targets[metadata.TARGETS] != nil {
		v.finishRefresh()
	}
	return nil
}

// verifyRoot verifies the next root version. It is trusted at once, even if the refresh fails later.
func (v *Verifier) verifyRoot(contents []byte) error {
	if v.refresh.rootRotations >= v.limits.RootRotations {
		return newError(ReasonTooManyRoots, metadata.ROOT, "%d root rotations in this refresh already", v.refresh.rootRotations)
	}
	previous := v.refresh.next.Root
	if _, err := v.refresh.next.UpdateRoot(contents); err != nil {
		return v.diagnose(metadata.ROOT, contents, err, ReasonMissingVersion)
	}
	v.refresh.rootRotations++
	v.root = contents
	v.changed[metadata.ROOT] = true
	keysChanged := func(role string) bool {
		return !sameKeys(previous.Signed.Roles[role], v.refresh.next.Root.Signed.Roles[role])
	}
	// Fast-forward attack recovery: a stolen key may have raised the versions of timestamp and snapshot, so replacing
	// the keys of either role allows lower versions.
	if keysChanged(metadata.TIMESTAMP) || keysChanged(metadata.SNAPSHOT) {
		v.deleteRecord(metadata.TIMESTAMP)
		v.deleteRecord(metadata.SNAPSHOT)
		v.deleteRecord(newestTimestampRecord)
	}
	// Metadata signed by revoked keys are no longer trusted, even if this refresh fails.
	if keysChanged(metadata.TIMESTAMP) || keysChanged(metadata.SNAPSHOT) || keysChanged(metadata.TARGETS) {
		v.trusted = nil
	}
	return nil
}

// sameKeys reports whether a role has the same keys and threshold in two roots.
func sameKeys(a, b *metadata.Role) bool {
	if a == nil || b == nil || a.Threshold != b.Threshold {
		return a == b
	}
	aKeys, bKeys := slices.Clone(a.KeyIDs), slices.Clone(b.KeyIDs)
	slices.Sort(aKeys)
	slices.Sort(bKeys)
	return slices.Equal(aKeys, bKeys)
}

// FileNotFound reports that no mirror has the file that NextFile returned. If the file is optional, which only the next
// root is, the refresh goes on with the timestamp. Otherwise it ends with an error.
func (v *Verifier) FileNotFound() error {
	needed, ok := v.NextFile()
	if !ok || !needed.Optional {
		v.AbandonRefresh()
		return newError(ReasonUnavailable, needed.Role, "no mirror delivered the file")
	}
	v.refresh.stage = stageTimestamp
	// The stored timestamps are loaded for rollback protection, even if they have expired.
	for _, name := range []string{metadata.TIMESTAMP, newestTimestampRecord} {
		if contents := v.stored[name]; contents != nil {
			v.refresh.next.UpdateTimestamp(contents)
		}
	}
	return nil
}

// AbandonRefresh ends a refresh that is not complete. Without a refresh in progress it does nothing. The trusted
// metadata stay trusted, and a timestamp verified in this refresh is stored so that no older one is accepted later.
func (v *Verifier) AbandonRefresh() {
	if v.refresh == nil {
		return
	}
	if contents := v.refresh.verified[metadata.TIMESTAMP]; contents != nil {
		v.putRecord(newestTimestampRecord, contents)
	}
	v.refresh = nil
}

// reuseStoredFiles verifies the stored snapshot and targets files against the newer metadata, so that unchanged files
// need not be fetched again.
func (v *Verifier) reuseStoredFiles() {
	if v.refresh.stage == stageSnapshot && v.stored[metadata.SNAPSHOT] != nil {
		v.verifyRole(metadata.SNAPSHOT, v.stored[metadata.SNAPSHOT], true)
	}
	if v.refresh.stage == stageTargets && v.refresh.next.Targets[metadata.TARGETS] == nil && v.stored[metadata.TARGETS] != nil {
		v.verifyRole(metadata.TARGETS, v.stored[metadata.TARGETS], true)
	}
}

// finishRefresh makes the metadata of a complete refresh the trusted metadata.
func (v *Verifier) finishRefresh() {
	for role, contents := range v.refresh.verified {
		v.putRecord(role, contents) // one record per role, so the order of the map does not matter
	}
	v.deleteRecord(newestTimestampRecord)
	v.trusted, v.refresh = v.refresh.next, nil
	v.refreshedAt = v.trusted.RefTime.UnixNano()
	v.changed[lastRefreshRecord] = true
	// Delegated roles that the new snapshot does not list are deleted. The others may belong to an older snapshot and
	// are verified again when a search needs them.
	for _, role := range v.storedDelegatedRoles() {
		if v.trusted.Snapshot.Signed.Meta[role+".json"] == nil {
			v.deleteRecord(role)
		}
	}
}

// verifyRole verifies the file of a top-level role other than the root and moves the refresh to the next stage. stored
// is true for a file that was verified before: go-tuf then does not check a snapshot against the hashes in the
// timestamp.
func (v *Verifier) verifyRole(role string, contents []byte, stored bool) error {
	if contents == nil {
		return newError(ReasonNeverRefreshed, role, "no stored metadata file")
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

// isCurrentTimestamp reports whether a timestamp file is correctly signed and has the version that the refresh already
// holds. go-tuf reports such an unchanged timestamp as an error.
func (v *Verifier) isCurrentTimestamp(contents []byte) bool {
	next := v.refresh.next
	timestamp, err := metadata.Timestamp().FromBytes(contents)
	return err == nil && timestamp.Signed.Version == next.Timestamp.Signed.Version &&
		next.Root.VerifyDelegate(metadata.TIMESTAMP, timestamp) == nil
}
