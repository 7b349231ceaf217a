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

// publisher is a repository with a clock, every state that it published and the hash of every target that it signed.
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

// newVerifier starts from the publisher's first root and stored records, which may be rejected.
func (p *publisher) newVerifier(t testing.TB, records []verifiedmetadata.Record) (*verifiedmetadata.Verifier, []error) {
	t.Helper()
	verifier, rejected, err := verifiedmetadata.NewVerifier(p.repo.InitialRoot(), verifiedmetadata.DefaultLimits, records)
	if err != nil {
		t.Fatal(err)
	}
	return verifier, rejected
}

// refresh hands files to a verifier as a mirror has them; alter, where given, returns the contents to deliver instead.
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
	panic("a refresh does not end")
}

func versions(verifier *verifiedmetadata.Verifier) map[string]int64 {
	byRole := map[string]int64{}
	for _, role := range verifier.TrustedRoles() {
		byRole[role.Name] = role.Version
	}
	return byRole
}

// Over random histories of the publisher, mirrors, kills and clocks: versions never fall, also over restarts, but where
// the publisher replaced the keys that signed them; no target is listed that was not signed; a refresh ends; nothing
// that has expired is trusted.
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
			case 3: // a kill: what was stored is there, everything else is gone
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
		// In the end a good mirror and a right clock bring everything up to date.
		p.repo.PublishTimestamp()
		err := refresh(verifier, max(p.now.UnixNano(), verifier.LastRefresh()), p.repo.Files, nil)
		if err != nil && verifier.LastRefresh() <= p.now.UnixNano() {
			// a newer timestamp cannot help against a root that has expired since
			if root := p.repo.Root.Signed; !root.IsExpired(p.now) && verifiedmetadata.ReasonOf(err) != verifiedmetadata.ReasonExpired {
				t.Fatal(err)
			}
		}
	})
}

// checkNoRollback checks that no trusted version is below the previous one, which it replaces, but where keys of a role
// other than the root were rotated.
func checkNoRollback(t *rapid.T, verifier *verifiedmetadata.Verifier, previous map[string]int64, rotated bool) {
	for role, version := range versions(verifier) {
		if before, ok := previous[role]; ok && version < before && !(rotated && role != metadata.ROOT) {
			t.Fatalf("%s fell from %d to %d", role, before, version)
		}
		previous[role] = version
	}
}

// refreshFromRandomMirror refreshes from a mirror of any published state, which may alter, mix or truncate files, by a
// clock that may be wrong. A refresh that fails must leave what was trusted as it was.
func refreshFromRandomMirror(t *rapid.T, p *publisher, verifier *verifiedmetadata.Verifier) {
	files := p.states[rapid.IntRange(0, len(p.states)-1).Draw(t, "state")]
	otherFiles := p.states[rapid.IntRange(0, len(p.states)-1).Draw(t, "other")]
	fault := rapid.IntRange(0, 4).Draw(t, "fault")
	clock := p.now.UnixNano()
	if rapid.IntRange(0, 5).Draw(t, "jump") == 0 {
		clock += rapid.Int64Range(-7200, 7200).Draw(t, "by") * int64(time.Second)
	}
	before := versions(verifier)
	err := refresh(verifier, clock, files, func(name string, contents []byte) []byte {
		switch {
		case fault == 0 && rapid.IntRange(0, 2).Draw(t, "hit") == 0 && len(contents) > 0:
			contents = bytes.Clone(contents)
			contents[rapid.IntRange(0, len(contents)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		case fault == 1 && otherFiles[name] != nil:
			return otherFiles[name]
		case fault == 2:
			return contents[:rapid.IntRange(0, len(contents)).Draw(t, "length")]
		}
		return contents
	})
	if err == nil {
		return
	}
	after := versions(verifier)
	// Each root is trusted by itself; one that replaces keys revokes what they signed.
	revoked := len(after) == 1 && after[metadata.ROOT] > before[metadata.ROOT]
	before[metadata.ROOT] = after[metadata.ROOT]
	if !revoked && fmt.Sprint(after) != fmt.Sprint(before) {
		t.Fatalf("refused (%v), and yet %v has become %v", err, before, after)
	}
}

// checkListedTargets checks that each listed target was signed, by roles that have not expired.
func checkListedTargets(t *rapid.T, p *publisher, verifier *verifiedmetadata.Verifier, names []string) {
	now := p.now.UnixNano()
	for _, name := range names {
		target, err := verifier.LookupTarget(name, now)
		if err != nil {
			continue
		}
		if hash := [32]byte(target.Hashes["sha256"]); !p.signed[hash] {
			t.Fatalf("%s is listed with a hash that nobody signed", name)
		}
		for _, role := range verifier.TrustedRoles()[:4] {
			if role.Expires <= now {
				t.Fatalf("listed though %s has expired", role.Name)
			}
		}
	}
}

// A mirror that freezes the timestamp is accepted until the timestamp expires.
func TestFreezeIsRefusedOnceTheTimestampExpires(t *testing.T) {
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
			t.Errorf("after %v: %v", c.after, err)
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
		t.Errorf("a key of an unknown type: %v", err)
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
		if bytes.Equal(altered[i].Bytes, records[i].Bytes) { // the moment of the last refresh
			continue
		}
		restarted, rejected := p.newVerifier(t, altered)
		if len(rejected) == 0 {
			t.Errorf("an altered %s is not rejected", altered[i].Name)
		}
		if altered[i].Name != metadata.ROOT && restarted.CheckValid(p.now.UnixNano()) == nil {
			t.Errorf("an altered %s is trusted", altered[i].Name)
		}
	}
	restarted, rejected := p.newVerifier(t, records)
	if err := restarted.CheckValid(p.now.UnixNano()); len(rejected) > 0 || err != nil {
		t.Errorf("unaltered records: %v, %v", rejected, err)
	}
}

func TestTargetPathsStayInTheirFolder(t *testing.T) {
	for path, want := range map[string]bool{"a": true, "a/b.json": true, "..": false, "a/../b": false, "/a": false, "a/": false,
		"a//b": false, "": false, `a\b`: false, "C:x": false, "a\x00b": false, "a\nb": false, ".": false, "...": true,
		string(bytes.Repeat([]byte("a"), 513)): false} {
		if verifiedmetadata.IsSafePath(path) != want {
			t.Errorf("%.20q: %t", path, !want)
		}
	}
}

// Any contents delivered as a file are refused or are those that were signed, without a panic.
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
				t.Errorf("accepted: %q", contents)
			}
		}
	})
}
