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

// desk is a repository with a clock, and all that it has ever signed.
type desk struct {
	repo   *tuftest.Repository
	now    time.Time
	copies []map[string][]byte
	signed map[[32]byte]bool // of targets
}

func newDesk(seconds int64) *desk {
	d := &desk{now: time.Unix(2_000_000_000+seconds, 0), signed: map[[32]byte]bool{}}
	d.repo = tuftest.NewRepository(true, func() time.Time { return d.now })
	d.put("a", "first")
	return d
}

func (d *desk) put(path, text string) {
	d.signed[sha256.Sum256([]byte(text))] = true
	d.repo.AddTarget(metadata.TARGETS, path, []byte(text), 0)
	d.repo.Publish()
	d.copies = append(d.copies, d.repo.CopyFiles())
}

// refresh carries files to a keeper as a mirror's copy has them; altered gives what comes in a file's place.
func refresh(k *verifiedmetadata.Verifier, now int64, files map[string][]byte, altered func(name string, text []byte) []byte) *verifiedmetadata.VerificationError {
	if refused := k.BeginRefresh(now); refused != nil {
		return refused
	}
	defer k.AbandonRefresh()
	for range 100 {
		want, more := k.NextFile()
		if !more {
			return nil
		}
		text, ok := files[want.Name]
		if ok && altered != nil {
			text = altered(want.Name, text)
		}
		if !ok {
			if refused := k.FileNotFound(); refused != nil {
				return refused
			}
		} else if refused := k.VerifyFile(text); refused != nil {
			return refused
		}
	}
	panic("a refresh does not end")
}

func versions(k *verifiedmetadata.Verifier) map[string]int64 {
	all := map[string]int64{}
	for _, r := range k.TrustedRoles() {
		all[r.Name] = r.Version
	}
	return all
}

// Over random histories of the desk, mirrors, kills and clocks: versions never fall, also over restarts, but where the
// desk replaced the keys that made them; no target is listed that was not signed; a refresh ends; what is told as
// trusted has not expired.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDesk(0)
		kept := store.NewMemory()
		k, _ := verifiedmetadata.NewVerifier(d.repo.InitialRoot(), verifiedmetadata.DefaultLimits, nil)
		seen, rotated := versions(k), false
		names := []string{"a", "b", "c"}
		for step := range rapid.IntRange(5, 40).Draw(t, "steps") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				d.put(rapid.SampledFrom(names).Draw(t, "name"), fmt.Sprint("text ", step))
			case 1:
				d.repo.PublishTimestamp()
				d.copies = append(d.copies, d.repo.CopyFiles())
			case 2:
				role := rapid.SampledFrom([]string{metadata.TIMESTAMP, metadata.SNAPSHOT, metadata.TARGETS}).Draw(t, "role")
				d.repo.PublishRoot(func() { d.repo.ReplaceKeys(role) })
				d.repo.Publish()
				d.copies = append(d.copies, d.repo.CopyFiles())
				rotated = rotated || role != metadata.TARGETS
			case 3: // a kill: what was kept is there, what was not is gone
				var left []*verifiedmetadata.VerificationError
				if k, left = verifiedmetadata.NewVerifier(d.repo.InitialRoot(), verifiedmetadata.DefaultLimits, kept.Records()); k == nil {
					t.Fatal(left)
				}
			default:
				files := d.copies[rapid.IntRange(0, len(d.copies)-1).Draw(t, "copy")]
				other := d.copies[rapid.IntRange(0, len(d.copies)-1).Draw(t, "other")]
				ill := rapid.IntRange(0, 4).Draw(t, "ill")
				clock := d.now.UnixNano()
				if rapid.IntRange(0, 5).Draw(t, "jump") == 0 {
					clock += rapid.Int64Range(-7200, 7200).Draw(t, "by") * int64(time.Second)
				}
				before := versions(k)
				refused := refresh(k, clock, files, func(name string, text []byte) []byte {
					switch {
					case ill == 0 && rapid.IntRange(0, 2).Draw(t, "hit") == 0 && len(text) > 0:
						text = bytes.Clone(text)
						text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
					case ill == 1 && other[name] != nil:
						return other[name]
					case ill == 2:
						return text[:rapid.IntRange(0, len(text)).Draw(t, "cut")]
					}
					return text
				})
				if refused != nil {
					after := versions(k)
					// Each root stands by itself; one that replaces keys takes along what they signed.
					taken := len(after) == 1 && after[metadata.ROOT] > before[metadata.ROOT]
					before[metadata.ROOT] = after[metadata.ROOT]
					if !taken && fmt.Sprint(after) != fmt.Sprint(before) {
						t.Fatalf("refused (%v), and yet %v has become %v", refused, before, after)
					}
				}
				if err := kept.Put(k.TakeChanges()); err != nil {
					t.Fatal(err)
				}
			}
			now := versions(k)
			for role, had := range seen {
				if v, ok := now[role]; ok && v < had && !(rotated && role != metadata.ROOT) {
					t.Fatalf("%s fell from %d to %d", role, had, v)
				} else if ok {
					seen[role] = v
				}
			}
			for role, v := range now {
				seen[role] = v
			}
			at := d.now.UnixNano()
			for _, name := range names {
				target, refused := k.LookupTarget(name, at)
				if refused != nil {
					continue
				}
				if sum := [32]byte(target.Hashes["sha256"]); !d.signed[sum] {
					t.Fatalf("%s is listed with a hash that nobody signed", name)
				}
				for _, r := range k.TrustedRoles()[:4] {
					if r.Expires <= at {
						t.Fatalf("listed though %s has expired", r.Name)
					}
				}
			}
		}
		// In the end a good mirror and a right clock bring all up to date.
		d.repo.PublishTimestamp()
		if refused := refresh(k, max(d.now.UnixNano(), k.LastRefresh()), d.repo.Files, nil); refused != nil && k.LastRefresh() <= d.now.UnixNano() {
			// a root that has expired since cannot be helped by a newer timestamp
			if root := d.repo.Root.Signed; !root.IsExpired(d.now) && refused.Reason != verifiedmetadata.ReasonExpired {
				t.Fatal(refused)
			}
		}
	})
}

// A frozen timestamp is taken until it expires, and by then no longer; and nothing stands for longer than it may.
func TestFreeze(t *testing.T) {
	d := newDesk(0)
	k, _ := verifiedmetadata.NewVerifier(d.repo.InitialRoot(), verifiedmetadata.DefaultLimits, nil)
	frozen := d.repo.CopyFiles()
	for _, c := range []struct {
		after  time.Duration
		reason verifiedmetadata.Reason
	}{{0, verifiedmetadata.ReasonNone}, {30 * time.Minute, verifiedmetadata.ReasonNone}, {time.Hour + time.Second, verifiedmetadata.ReasonExpired}} {
		refused := refresh(k, d.now.Add(c.after).UnixNano(), frozen, nil)
		if (refused == nil) != (c.reason == verifiedmetadata.ReasonNone) || refused != nil && refused.Reason != c.reason {
			t.Errorf("after %v: %v", c.after, refused)
		}
	}
}

// Unknown fields are carried along and change nothing; a key of an unknown kind is told as such.
func TestUnknown(t *testing.T) {
	d := newDesk(0)
	d.repo.Timestamp.Signed.UnrecognizedFields = map[string]any{"x-later": []any{1, "two"}}
	d.repo.PublishTimestamp()
	k, _ := verifiedmetadata.NewVerifier(d.repo.InitialRoot(), verifiedmetadata.DefaultLimits, nil)
	if refused := refresh(k, d.now.UnixNano(), d.repo.Files, nil); refused != nil {
		t.Fatal(refused)
	}
	d.repo.PublishRoot(func() {
		for _, id := range d.repo.Root.Signed.Roles[metadata.TIMESTAMP].KeyIDs {
			d.repo.Root.Signed.Keys[id].Scheme, d.repo.Root.Signed.Keys[id].Type = "odd-9", "odd"
		}
	})
	d.repo.PublishTimestamp()
	refused := refresh(k, d.now.UnixNano(), d.repo.Files, nil)
	if refused == nil || refused.Reason != verifiedmetadata.ReasonUnknownAlgorithm {
		t.Errorf("a key of an unknown kind: %v", refused)
	}
}

// What was kept and does not verify any more is left out and told, and nothing of it is trusted.
func TestKeptIsVerified(t *testing.T) {
	d := newDesk(0)
	k, _ := verifiedmetadata.NewVerifier(d.repo.InitialRoot(), verifiedmetadata.DefaultLimits, nil)
	if refused := refresh(k, d.now.UnixNano(), d.repo.Files, nil); refused != nil {
		t.Fatal(refused)
	}
	all := k.TakeChanges()
	for i := range all {
		bad := slices.Clone(all)
		bad[i].Bytes = bytes.Replace(bad[i].Bytes, []byte("version\":"), []byte("version\":9"), 1)
		if bytes.Equal(bad[i].Bytes, all[i].Bytes) { // the moment of the last refresh
			continue
		}
		again, left := verifiedmetadata.NewVerifier(d.repo.InitialRoot(), verifiedmetadata.DefaultLimits, bad)
		if len(left) == 0 {
			t.Errorf("an altered %s is not told", bad[i].Name)
		}
		if bad[i].Name != metadata.ROOT && again.CheckValid(d.now.UnixNano()) == nil {
			t.Errorf("an altered %s stands", bad[i].Name)
		}
	}
	if again, left := verifiedmetadata.NewVerifier(d.repo.InitialRoot(), verifiedmetadata.DefaultLimits, all); len(left) > 0 || again.CheckValid(d.now.UnixNano()) != nil {
		t.Errorf("what was kept: %v, %v", left, again.CheckValid(d.now.UnixNano()))
	}
}

// The paths that a target may have.
func TestSafePath(t *testing.T) {
	for path, want := range map[string]bool{"a": true, "a/b.json": true, "..": false, "a/../b": false, "/a": false, "a/": false,
		"a//b": false, "": false, `a\b`: false, "C:x": false, "a\x00b": false, "a\nb": false, ".": false, "...": true,
		string(bytes.Repeat([]byte("a"), 513)): false} {
		if verifiedmetadata.IsSafePath(path) != want {
			t.Errorf("%.20q: %t", path, !want)
		}
	}
}

// Whatever comes in the place of a file is refused or is what was signed; nothing of it makes the keeper fail.
func FuzzGot(f *testing.F) {
	d := newDesk(0)
	for _, name := range []string{"timestamp.json", "2.snapshot.json", "1.root.json"} {
		f.Add(d.repo.Files[name])
	}
	f.Add([]byte(`{"signed":{"_type":"timestamp","version":1e99,"expires":"x"},"signatures":[{}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		k, _ := verifiedmetadata.NewVerifier(d.repo.InitialRoot(), verifiedmetadata.DefaultLimits, nil)
		k.BeginRefresh(d.now.UnixNano())
		k.VerifyFile(text) // as the next root
		k.FileNotFound()
		refused := k.VerifyFile(text) // as the timestamp
		if want, more := k.NextFile(); refused == nil && more && want.Role == metadata.SNAPSHOT {
			var one, real struct{ Signed json.RawMessage }
			json.Unmarshal(text, &one)
			json.Unmarshal(d.repo.Files["timestamp.json"], &real)
			if !json.Valid(one.Signed) {
				t.Errorf("taken: %q", text)
			}
		}
	})
}
