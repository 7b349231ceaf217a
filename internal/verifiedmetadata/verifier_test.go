package verifiedmetadata_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"pgregory.net/rapid"

	"laurelring/internal/store"
	"laurelring/internal/tuftest"
	"laurelring/internal/verifiedmetadata"
)

// publisher is a repository with its own clock. It records every state that it published and the SHA-256 hash of every
// target that it signed.
type publisher struct {
	repo   *tuftest.Repository
	now    time.Time
	states []map[string][]byte
	signed map[[32]byte]bool
}

func newPublisher() *publisher {
	p := &publisher{now: time.Unix(2_000_000_000, 0), signed: map[[32]byte]bool{}}
	p.repo = tuftest.NewRepository(true, func() time.Time { return p.now })
	p.addTarget("a", "first")
	return p
}

func (p *publisher) addTarget(path, contents string) {
	p.signed[sha256.Sum256([]byte(contents))] = true
	p.repo.AddTarget(metadata.TARGETS, path, []byte(contents), 0)
	p.repo.Publish()
	p.saveState()
}

func (p *publisher) saveState() { p.states = append(p.states, p.repo.CopyFiles()) }

// newVerifier returns a verifier that starts from the publisher's first root and stored records, and the errors of
// rejected records.
func (p *publisher) newVerifier(t testing.TB, records []verifiedmetadata.Record) (*verifiedmetadata.Verifier, []error) {
	t.Helper()
	verifier, rejected, err := verifiedmetadata.NewVerifier(p.repo.InitialRoot(), verifiedmetadata.DefaultLimits, records)
	if err != nil {
		t.Fatal(err)
	}
	return verifier, rejected
}

// refresh runs a refresh with the files of a mirror. If alter is not nil, it returns the contents to deliver instead.
func refresh(verifier *verifiedmetadata.Verifier, now int64, files map[string][]byte, alter func(name string, contents []byte) []byte) error {
	if err := verifier.BeginRefresh(now); err != nil {
		return err
	}
	defer verifier.AbandonRefresh()
	for range 100 {
		needed, more := verifier.NextFile()
		if !more {
			return nil
		}
		contents, ok := files[needed.Name]
		if ok && alter != nil {
			contents = alter(needed.Name, contents)
		}
		if !ok {
			if err := verifier.FileNotFound(); err != nil {
				return err
			}
		} else if err := verifier.VerifyFile(contents); err != nil {
			return err
		}
	}
	panic("refresh still needs files after 100 steps")
}

// versions returns the trusted version of each role.
func versions(verifier *verifiedmetadata.Verifier) map[string]int64 {
	byRole := map[string]int64{}
	for _, role := range verifier.TrustedRoles() {
		byRole[role.Name] = role.Version
	}
	return byRole
}

// Runs random histories of publications, mirror faults, process kills and clock jumps. Versions must never decrease,
// also across restarts, unless the publisher replaced the keys that signed them. Only signed targets may be listed,
// every refresh must end, and expired metadata must not be trusted.
func TestRandomHistoriesNeverRollBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPublisher()
		storage := store.NewMemory()
		verifier, _, _ := verifiedmetadata.NewVerifier(p.repo.InitialRoot(), verifiedmetadata.DefaultLimits, nil)
		previous, rotated := versions(verifier), false
		names := []string{"a", "b", "c"}
		for step := range rapid.IntRange(5, 40).Draw(t, "steps") {
			p.now = p.now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				p.addTarget(rapid.SampledFrom(names).Draw(t, "name"), fmt.Sprint("text ", step))
			case 1:
				p.repo.PublishTimestamp()
				p.saveState()
			case 2:
				role := rapid.SampledFrom([]string{metadata.TIMESTAMP, metadata.SNAPSHOT, metadata.TARGETS}).Draw(t, "role")
				p.repo.PublishRoot(func() { p.repo.ReplaceKeys(role) })
				p.repo.Publish()
				p.saveState()
				rotated = rotated || role != metadata.TARGETS
			case 3: // the process is killed and restarts with only the stored records
				var err error
				if verifier, _, err = verifiedmetadata.NewVerifier(p.repo.InitialRoot(), verifiedmetadata.DefaultLimits, storage.Records()); err != nil {
					t.Fatal(err)
				}
			default:
				refreshFromRandomMirror(t, p, verifier)
				if err := storage.Put(verifier.TakeChanges()); err != nil {
					t.Fatal(err)
				}
			}
			checkNoRollback(t, verifier, previous, rotated)
			checkListedTargets(t, p, verifier, names)
		}
		// At the end, a refresh from a correct mirror with a correct clock must succeed.
		p.repo.PublishTimestamp()
		err := refresh(verifier, max(p.now.UnixNano(), verifier.LastRefresh()), p.repo.Files, nil)
		if err != nil && verifier.LastRefresh() <= p.now.UnixNano() {
			// a newer timestamp does not help if the root has expired since
			if root := p.repo.Root.Signed; !root.IsExpired(p.now) && verifiedmetadata.ReasonOf(err) != verifiedmetadata.ReasonExpired {
				t.Fatal(err)
			}
		}
	})
}

// checkNoRollback checks that no trusted version is lower than the previous one and updates previous. Lower versions of
// roles other than the root are allowed if keys were rotated.
func checkNoRollback(t *rapid.T, verifier *verifiedmetadata.Verifier, previous map[string]int64, rotated bool) {
	for role, version := range versions(verifier) {
		if before, ok := previous[role]; ok && version < before && !(rotated && role != metadata.ROOT) {
			t.Fatalf("version of %s decreased from %d to %d", role, before, version)
		}
		previous[role] = version
	}
}

// refreshFromRandomMirror refreshes from a mirror that serves any published state and may corrupt, mix or truncate
// files, with a clock that may be wrong. A failed refresh must leave the trusted metadata unchanged.
func refreshFromRandomMirror(t *rapid.T, p *publisher, verifier *verifiedmetadata.Verifier) {
	files := p.states[rapid.IntRange(0, len(p.states)-1).Draw(t, "state")]
	otherFiles := p.states[rapid.IntRange(0, len(p.states)-1).Draw(t, "other state")]
	fault := rapid.IntRange(0, 4).Draw(t, "fault")
	clock := p.now.UnixNano()
	if rapid.IntRange(0, 5).Draw(t, "clock jump") == 0 {
		clock += rapid.Int64Range(-7200, 7200).Draw(t, "jump in seconds") * int64(time.Second)
	}
	before := versions(verifier)
	err := refresh(verifier, clock, files, func(name string, contents []byte) []byte {
		switch {
		case fault == 0 && rapid.IntRange(0, 2).Draw(t, "corrupt file") == 0 && len(contents) > 0:
			contents = bytes.Clone(contents)
			contents[rapid.IntRange(0, len(contents)-1).Draw(t, "position")] ^= byte(rapid.IntRange(1, 255).Draw(t, "byte mask"))
		case fault == 1 && otherFiles[name] != nil:
			return otherFiles[name]
		case fault == 2:
			return contents[:rapid.IntRange(0, len(contents)).Draw(t, "truncated length")]
		}
		return contents
	})
	if err == nil {
		return
	}
	after := versions(verifier)
	// A new root is trusted even if the refresh fails, and one that replaces keys revokes the metadata they signed.
	revoked := len(after) == 1 && after[metadata.ROOT] > before[metadata.ROOT]
	before[metadata.ROOT] = after[metadata.ROOT]
	if !revoked && fmt.Sprint(after) != fmt.Sprint(before) {
		t.Fatalf("failed refresh (%v) changed the trusted versions from %v to %v", err, before, after)
	}
}

// checkListedTargets checks that each listed target was signed and that no top-level role has expired if one is listed.
func checkListedTargets(t *rapid.T, p *publisher, verifier *verifiedmetadata.Verifier, names []string) {
	now := p.now.UnixNano()
	for _, name := range names {
		target, err := verifier.LookupTarget(name, now)
		if err != nil {
			continue
		}
		if hash := [32]byte(target.Hashes["sha256"]); !p.signed[hash] {
			t.Fatalf("%s is listed with a hash that was never signed", name)
		}
		for _, role := range verifier.TrustedRoles()[:4] {
			if role.Expires <= now {
				t.Fatalf("target is listed although role %s has expired", role.Name)
			}
		}
	}
}

// Freeze attack: a mirror that keeps serving an old timestamp is accepted only until that timestamp expires.
func TestFreezeAttackEndsWhenTimestampExpires(t *testing.T) {
	p := newPublisher()
	verifier, _ := p.newVerifier(t, nil)
	frozen := p.repo.CopyFiles()
	for _, c := range []struct {
		after time.Duration
		want  verifiedmetadata.Reason
	}{
		{0, verifiedmetadata.ReasonNone},
		{30 * time.Minute, verifiedmetadata.ReasonNone},
		{time.Hour + time.Second, verifiedmetadata.ReasonExpired},
	} {
		err := refresh(verifier, p.now.Add(c.after).UnixNano(), frozen, nil)
		if (err == nil) != (c.want == verifiedmetadata.ReasonNone) || verifiedmetadata.ReasonOf(err) != c.want {
			t.Errorf("refresh after %v: unexpected result %v", c.after, err)
		}
	}
}

func TestIgnoresUnknownFieldsAndReportsUnknownKeyTypes(t *testing.T) {
	p := newPublisher()
	p.repo.Timestamp.Signed.UnrecognizedFields = map[string]any{"x-later": []any{1, "two"}}
	p.repo.PublishTimestamp()
	verifier, _ := p.newVerifier(t, nil)
	if err := refresh(verifier, p.now.UnixNano(), p.repo.Files, nil); err != nil {
		t.Fatal(err)
	}
	p.repo.PublishRoot(func() {
		for _, id := range p.repo.Root.Signed.Roles[metadata.TIMESTAMP].KeyIDs {
			p.repo.Root.Signed.Keys[id].Scheme, p.repo.Root.Signed.Keys[id].Type = "odd-9", "odd"
		}
	})
	p.repo.PublishTimestamp()
	err := refresh(verifier, p.now.UnixNano(), p.repo.Files, nil)
	if verifiedmetadata.ReasonOf(err) != verifiedmetadata.ReasonUnknownAlgorithm {
		t.Errorf("key of an unknown type: unexpected result %v", err)
	}
}

func TestStoredRecordsAreVerifiedAgain(t *testing.T) {
	p := newPublisher()
	verifier, _ := p.newVerifier(t, nil)
	if err := refresh(verifier, p.now.UnixNano(), p.repo.Files, nil); err != nil {
		t.Fatal(err)
	}
	records := verifier.TakeChanges()
	for i := range records {
		altered := slices.Clone(records)
		altered[i].Bytes = bytes.Replace(altered[i].Bytes, []byte("version\":"), []byte("version\":9"), 1)
		if bytes.Equal(altered[i].Bytes, records[i].Bytes) { // no version to alter: the time of the last refresh
			continue
		}
		restarted, rejected := p.newVerifier(t, altered)
		if len(rejected) == 0 {
			t.Errorf("altered record %s is not rejected", altered[i].Name)
		}
		if altered[i].Name != metadata.ROOT && restarted.CheckValid(p.now.UnixNano()) == nil {
			t.Errorf("altered record %s is trusted", altered[i].Name)
		}
	}
	restarted, rejected := p.newVerifier(t, records)
	if err := restarted.CheckValid(p.now.UnixNano()); len(rejected) > 0 || err != nil {
		t.Errorf("unaltered records: rejected %v, error %v", rejected, err)
	}
}

func TestIsSafePathRejectsPathsOutsideFolder(t *testing.T) {
	for path, want := range map[string]bool{"a": true, "a/b.json": true, "..": false, "a/../b": false, "/a": false, "a/": false,
		"a//b": false, "": false, `a\b`: false, "C:x": false, "a\x00b": false, "a\nb": false, ".": false, "...": true,
		string(bytes.Repeat([]byte("a"), 513)): false} {
		if verifiedmetadata.IsSafePath(path) != want {
			t.Errorf("IsSafePath(%.20q): got %t", path, !want)
		}
	}
}

// Arbitrary contents delivered as a metadata file must be refused without a panic, unless they were signed.
func FuzzVerifyFile(f *testing.F) {
	p := newPublisher()
	for _, name := range []string{"timestamp.json", "2.snapshot.json", "1.root.json"} {
		f.Add(p.repo.Files[name])
	}
	f.Add([]byte(`{"signed":{"_type":"timestamp","version":1e99,"expires":"x"},"signatures":[{}]}`))
	f.Fuzz(func(t *testing.T, contents []byte) {
		verifier, _ := p.newVerifier(t, nil)
		verifier.BeginRefresh(p.now.UnixNano())
		verifier.VerifyFile(contents) // as the next root
		verifier.FileNotFound()
		err := verifier.VerifyFile(contents) // as the timestamp
		if needed, more := verifier.NextFile(); err == nil && more && needed.Role == metadata.SNAPSHOT {
			var delivered, signed struct{ Signed json.RawMessage }
			json.Unmarshal(contents, &delivered)
			json.Unmarshal(p.repo.Files["timestamp.json"], &signed)
			if !json.Valid(delivered.Signed) {
				t.Errorf("accepted contents without valid signed metadata: %q", contents)
			}
		}
	})
}
