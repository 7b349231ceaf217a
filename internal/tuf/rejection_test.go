package tuf

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"laurelring/internal/tuftest"
	"laurelring/internal/verifiedmetadata"
)

// Each kind of invalid metadata is rejected with its exact reason, and the metadata trusted before stays trusted.
func TestInvalidMetadataIsRejectedWithReason(t *testing.T) {
	hour := time.Hour
	for _, c := range []struct {
		name   string
		want   verifiedmetadata.Reason
		change func(f *fixture)
	}{
		{"timestamp expired", verifiedmetadata.ReasonExpired, func(f *fixture) { f.repo.Validity = -hour; f.repo.PublishTimestamp() }},
		{"snapshot expired", verifiedmetadata.ReasonExpired, func(f *fixture) {
			f.repo.Snapshot.Signed.Version++
			f.repo.Snapshot.Signed.Expires = time.Unix(0, f.now()).Add(-hour).UTC()
			f.repo.PublishSnapshot(tuftest.Sign(f.repo.Snapshot, f.repo.Keys[metadata.SNAPSHOT]...))
		}},
		{"targets expired", verifiedmetadata.ReasonExpired, func(f *fixture) {
			f.repo.Validity = -hour
			f.repo.Publish()
			f.repo.Validity = hour
			f.repo.Snapshot.Signed.Version++
			f.repo.Snapshot.Signed.Expires = f.repo.Expiry()
			f.repo.PublishSnapshot(tuftest.Sign(f.repo.Snapshot, f.repo.Keys[metadata.SNAPSHOT]...))
		}},
		{"root expired", verifiedmetadata.ReasonExpired, func(f *fixture) {
			f.repo.Validity = -hour
			f.repo.PublishRoot(func() {})
			f.repo.Validity = hour
			f.repo.Publish()
		}},
		{"clock far ahead", verifiedmetadata.ReasonExpired, func(f *fixture) { f.clockOffset.Store(int64(10 * hour)) }},
		{"clock set back", verifiedmetadata.ReasonClockWentBack, func(f *fixture) { f.clockOffset.Store(-int64(10 * hour)) }},
		{"timestamp rolled back", verifiedmetadata.ReasonRolledBack, func(f *fixture) {
			old := f.repo.Files["timestamp.json"]
			f.repo.Publish()
			f.syncMirrors()
			f.refresh(f.client)
			f.repo.Files["timestamp.json"] = old
		}},
		{"snapshot rolled back", verifiedmetadata.ReasonRolledBack, func(f *fixture) {
			f.repo.Snapshot.Signed.Version = 0
			f.repo.PublishSnapshot(tuftest.Sign(f.repo.Snapshot, f.repo.Keys[metadata.SNAPSHOT]...))
		}},
		{"targets rolled back", verifiedmetadata.ReasonRolledBack, func(f *fixture) {
			f.repo.Snapshot.Signed.Version++
			f.repo.Snapshot.Signed.Meta["targets.json"].Version = 1
			f.repo.PublishSnapshot(tuftest.Sign(f.repo.Snapshot, f.repo.Keys[metadata.SNAPSHOT]...))
		}},
		{"old targets with a new snapshot", verifiedmetadata.ReasonWrongHash, func(f *fixture) {
			old := f.repo.Files["2.targets.json"]
			f.repo.AddTarget(metadata.TARGETS, "more", targetBody, 0)
			f.repo.Publish()
			f.repo.Files["3.targets.json"] = old
		}},
		{"old targets without a listed hash", verifiedmetadata.ReasonMixAndMatch, func(f *fixture) {
			old := f.repo.Files["2.targets.json"]
			f.repo.Publish()
			f.repo.Snapshot.Signed.Version++
			f.repo.Snapshot.Signed.Meta["targets.json"] = metadata.MetaFile(3)
			f.repo.PublishSnapshot(tuftest.Sign(f.repo.Snapshot, f.repo.Keys[metadata.SNAPSHOT]...))
			f.repo.Files["3.targets.json"] = old
		}},
		{"old snapshot without a listed hash", verifiedmetadata.ReasonMixAndMatch, func(f *fixture) {
			f.repo.Publish()
			f.syncMirrors()
			f.repo.Timestamp.Signed.Meta["snapshot.json"] = metadata.MetaFile(f.repo.Snapshot.Signed.Version + 1)
			f.repo.PublishTimestamp()
			f.repo.Files[fmt.Sprintf("%d.snapshot.json", f.repo.Snapshot.Signed.Version+1)] =
				f.repo.Files[fmt.Sprintf("%d.snapshot.json", f.repo.Snapshot.Signed.Version)]
		}},
		{"too few signatures", verifiedmetadata.ReasonTooFewSignatures, func(f *fixture) {
			f.repo.PublishRoot(func() {})
			f.repo.SignRoot(f.repo.Keys[metadata.ROOT][:1])
		}},
		{"no signature", verifiedmetadata.ReasonTooFewSignatures, func(f *fixture) {
			f.repo.Files["timestamp.json"] = tuftest.Sign(f.repo.Timestamp)
		}},
		{"repeated signatures", verifiedmetadata.ReasonRepeatedSignature, func(f *fixture) {
			f.repo.PublishRoot(func() {})
			one := f.repo.Keys[metadata.ROOT][0]
			f.repo.Files["2.root.json"] = signWithRepeatedSignature(f.repo.Root, one)
		}},
		{"signature by an unknown key", verifiedmetadata.ReasonTooFewSignatures, func(f *fixture) {
			f.repo.Timestamp.Signed.Version++
			f.repo.Files["timestamp.json"] = tuftest.Sign(f.repo.Timestamp, tuftest.NewKey())
		}},
		{"root signed only by the old keys", verifiedmetadata.ReasonTooFewSignatures, func(f *fixture) {
			f.repo.PublishRoot(func() {
				by := f.repo.Keys[metadata.ROOT]
				f.repo.ReplaceKeys(metadata.ROOT)
				f.repo.AddKey(metadata.ROOT)
				f.repo.Root.Signed.Roles[metadata.ROOT].Threshold = 2
				f.repo.Keys[metadata.ROOT] = by
			})
		}},
		{"root signed only by the new keys", verifiedmetadata.ReasonTooFewSignatures, func(f *fixture) {
			f.repo.PublishRoot(func() { f.repo.ReplaceKeys(metadata.ROOT); f.repo.AddKey(metadata.ROOT) })
			f.repo.SignRoot(f.repo.Keys[metadata.ROOT])
		}},
		{"root that skips a version", verifiedmetadata.ReasonMissingVersion, func(f *fixture) {
			f.repo.PublishRoot(func() {})
			f.repo.PublishRoot(func() {})
			f.repo.Files["2.root.json"] = f.repo.Files["3.root.json"]
		}},
		{"previous root instead of the next one", verifiedmetadata.ReasonMissingVersion, func(f *fixture) {
			f.repo.Files["2.root.json"] = f.repo.Files["1.root.json"]
		}},
		{"more root versions than allowed", verifiedmetadata.ReasonTooManyRoots, func(f *fixture) {
			for range 5 {
				f.repo.PublishRoot(func() {})
			}
		}},
		{"metadata of another role", verifiedmetadata.ReasonWrongRole, func(f *fixture) {
			f.repo.Files["timestamp.json"] = f.repo.Files["1.root.json"]
		}},
		{"malformed metadata", verifiedmetadata.ReasonMalformed, func(f *fixture) { f.repo.Files["timestamp.json"] = []byte(`{"signed":7`) }},
		{"snapshot shorter than listed", verifiedmetadata.ReasonWrongHash, func(f *fixture) {
			f.repo.Publish()
			name := fmt.Sprintf("%d.snapshot.json", f.repo.Snapshot.Signed.Version)
			f.repo.Files[name] = f.repo.Files[name][:len(f.repo.Files[name])-1]
		}},
		{"snapshot longer than listed", verifiedmetadata.ReasonTooLarge, func(f *fixture) {
			f.repo.Publish()
			name := fmt.Sprintf("%d.snapshot.json", f.repo.Snapshot.Signed.Version)
			f.repo.Files[name] = append(bytes.Clone(f.repo.Files[name]), ' ')
		}},
		{"timestamp above the size limit", verifiedmetadata.ReasonTooLarge, func(f *fixture) {
			f.repo.Files["timestamp.json"] = append(f.repo.Files["timestamp.json"], bytes.Repeat([]byte(" "), 20<<10)...)
		}},
		{"endless timestamp", verifiedmetadata.ReasonTooLarge, func(f *fixture) { f.setFault(tuftest.OnlyFor("timestamp.json", tuftest.EndlessData)) }},
		{"corrupt snapshot", verifiedmetadata.ReasonWrongHash, func(f *fixture) {
			f.repo.Publish()
			f.setFault(tuftest.OnlyFor("snapshot.json", tuftest.Corrupt))
		}},
		{"root served as the timestamp", verifiedmetadata.ReasonWrongRole, func(f *fixture) {
			f.setFault(tuftest.OnlyFor("timestamp.json", tuftest.RespondWith(f.repo.InitialRoot())))
		}},
		{"mirrors stall", verifiedmetadata.ReasonUnavailable, func(f *fixture) { f.setFault(tuftest.OnlyFor("timestamp.json", tuftest.StallAfter(9))) }},
		{"mirrors send too slowly", verifiedmetadata.ReasonUnavailable, func(f *fixture) {
			f.setFault(tuftest.OnlyFor("timestamp.json", tuftest.SendByteEvery(5*time.Millisecond)))
		}},
		{"mirrors close early", verifiedmetadata.ReasonUnavailable, func(f *fixture) { f.setFault(tuftest.OnlyFor("timestamp.json", tuftest.CloseAfter(9))) }},
		{"mirrors redirect", verifiedmetadata.ReasonUnavailable, func(f *fixture) {
			f.setFault(tuftest.RedirectTo(f.mirrors[0].URL))
		}},
		{"mirrors fail", verifiedmetadata.ReasonUnavailable, func(f *fixture) { f.setFault(tuftest.FailRequest) }},
		{"missing timestamp", verifiedmetadata.ReasonUnavailable, func(f *fixture) { delete(f.repo.Files, "timestamp.json") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, true)
			f.limits.RootRotations = 4
			f.client = f.newClient(2)
			if got := f.refresh(f.client); got != verifiedmetadata.ReasonNone {
				t.Fatal(got)
			}
			before := fmt.Sprint(f.client.verifier.TrustedRoles()[1:])
			c.change(f)
			f.syncMirrors()
			_, err := f.client.Refresh(context.Background(), 4*time.Second)
			if verifiedmetadata.ReasonOf(err) != c.want {
				t.Errorf("got error %v, want reason %v", err, c.want)
			}
			if after := fmt.Sprint(f.client.verifier.TrustedRoles()[1:]); after != before && c.name != "timestamp rolled back" {
				t.Errorf("trusted roles changed: got %s, want %s", after, before)
			}
		})
	}
}

// signWithRepeatedSignature returns a root with one signature of a key listed twice.
func signWithRepeatedSignature(root *metadata.Metadata[metadata.RootType], key *tuftest.Key) []byte {
	contents := tuftest.Sign(root, key)
	start := bytes.Index(contents, []byte(`"signatures":[`)) + len(`"signatures":[`)
	end := start + bytes.IndexByte(contents[start:], '}') + 1
	return slices.Concat(contents[:end], []byte(","), contents[start:end], contents[end:])
}
