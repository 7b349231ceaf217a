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
	d.repo = tuftest.New(true, func() time.Time { return d.now })
	d.put("a", "first")
	return d
}

func (d *desk) put(path, text string) {
	d.signed[sha256.Sum256([]byte(text))] = true
	d.repo.Put(metadata.TARGETS, path, []byte(text), 0)
	d.repo.Publish()
	d.copies = append(d.copies, d.repo.Copy())
}

// refresh carries files to a keeper as a mirror's copy has them; altered gives what comes in a file's place.
func refresh(k *verifiedmetadata.Keeper, now int64, files map[string][]byte, altered func(name string, text []byte) []byte) *verifiedmetadata.Refusal {
	if refused := k.Begin(now); refused != nil {
		return refused
	}
	defer k.Abandon()
	for range 100 {
		want, more := k.Next()
		if !more {
			return nil
		}
		text, ok := files[want.Name]
		if ok && altered != nil {
			text = altered(want.Name, text)
		}
		if !ok {
			if refused := k.Missing(); refused != nil {
				return refused
			}
		} else if refused := k.Got(text); refused != nil {
			return refused
		}
	}
	panic("a refresh does not end")
}

func versions(k *verifiedmetadata.Keeper) map[string]int64 {
	all := map[string]int64{}
	for _, r := range k.Roles() {
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
		kept := store.Memory()
		k, _ := verifiedmetadata.New(d.repo.FirstRoot(), verifiedmetadata.Ordinary, nil)
		seen, rotated := versions(k), false
		names := []string{"a", "b", "c"}
		for step := range rapid.IntRange(5, 40).Draw(t, "steps") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				d.put(rapid.SampledFrom(names).Draw(t, "name"), fmt.Sprint("text ", step))
			case 1:
				d.repo.Stamp()
				d.copies = append(d.copies, d.repo.Copy())
			case 2:
				role := rapid.SampledFrom([]string{metadata.TIMESTAMP, metadata.SNAPSHOT, metadata.TARGETS}).Draw(t, "role")
				d.repo.NextRoot(func() { d.repo.Replace(role) })
				d.repo.Publish()
				d.copies = append(d.copies, d.repo.Copy())
				rotated = rotated || role != metadata.TARGETS
			case 3: // a kill: what was kept is there, what was not is gone
				var left []*verifiedmetadata.Refusal
				if k, left = verifiedmetadata.New(d.repo.FirstRoot(), verifiedmetadata.Ordinary, kept.Records()); k == nil {
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
				if err := kept.Put(k.Changes()); err != nil {
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
				target, refused := k.Listed(name, at)
				if refused != nil {
					continue
				}
				if sum := [32]byte(target.Hashes["sha256"]); !d.signed[sum] {
					t.Fatalf("%s is listed with a hash that nobody signed", name)
				}
				for _, r := range k.Roles()[:4] {
					if r.Expires <= at {
						t.Fatalf("listed though %s has expired", r.Name)
					}
				}
			}
		}
		// In the end a good mirror and a right clock bring all up to date.
		d.repo.Stamp()
		if refused := refresh(k, max(d.now.UnixNano(), k.FreshAt()), d.repo.Files, nil); refused != nil && k.FreshAt() <= d.now.UnixNano() {
			// a root that has expired since cannot be helped by a newer timestamp
			if root := d.repo.Root.Signed; !root.IsExpired(d.now) && refused.Reason != verifiedmetadata.Expired {
				t.Fatal(refused)
			}
		}
	})
}

// A frozen timestamp is taken until it expires, and by then no longer; and nothing stands for longer than it may.
func TestFreeze(t *testing.T) {
	d := newDesk(0)
	k, _ := verifiedmetadata.New(d.repo.FirstRoot(), verifiedmetadata.Ordinary, nil)
	frozen := d.repo.Copy()
	for _, c := range []struct {
		after  time.Duration
		reason verifiedmetadata.Reason
	}{{0, verifiedmetadata.None}, {30 * time.Minute, verifiedmetadata.None}, {time.Hour + time.Second, verifiedmetadata.Expired}} {
		refused := refresh(k, d.now.Add(c.after).UnixNano(), frozen, nil)
		if (refused == nil) != (c.reason == verifiedmetadata.None) || refused != nil && refused.Reason != c.reason {
			t.Errorf("after %v: %v", c.after, refused)
		}
	}
}

// Unknown fields are carried along and change nothing; a key of an unknown kind is told as such.
func TestUnknown(t *testing.T) {
	d := newDesk(0)
	d.repo.Timestamp.Signed.UnrecognizedFields = map[string]any{"x-later": []any{1, "two"}}
	d.repo.Stamp()
	k, _ := verifiedmetadata.New(d.repo.FirstRoot(), verifiedmetadata.Ordinary, nil)
	if refused := refresh(k, d.now.UnixNano(), d.repo.Files, nil); refused != nil {
		t.Fatal(refused)
	}
	d.repo.NextRoot(func() {
		for _, id := range d.repo.Root.Signed.Roles[metadata.TIMESTAMP].KeyIDs {
			d.repo.Root.Signed.Keys[id].Scheme, d.repo.Root.Signed.Keys[id].Type = "odd-9", "odd"
		}
	})
	d.repo.Stamp()
	refused := refresh(k, d.now.UnixNano(), d.repo.Files, nil)
	if refused == nil || refused.Reason != verifiedmetadata.UnknownAlgorithm {
		t.Errorf("a key of an unknown kind: %v", refused)
	}
}

// What was kept and does not verify any more is left out and told, and nothing of it is trusted.
func TestKeptIsVerified(t *testing.T) {
	d := newDesk(0)
	k, _ := verifiedmetadata.New(d.repo.FirstRoot(), verifiedmetadata.Ordinary, nil)
	if refused := refresh(k, d.now.UnixNano(), d.repo.Files, nil); refused != nil {
		t.Fatal(refused)
	}
	all := k.Changes()
	for i := range all {
		bad := slices.Clone(all)
		bad[i].Bytes = bytes.Replace(bad[i].Bytes, []byte("version\":"), []byte("version\":9"), 1)
		if bytes.Equal(bad[i].Bytes, all[i].Bytes) { // the moment of the last refresh
			continue
		}
		again, left := verifiedmetadata.New(d.repo.FirstRoot(), verifiedmetadata.Ordinary, bad)
		if len(left) == 0 {
			t.Errorf("an altered %s is not told", bad[i].Name)
		}
		if bad[i].Name != metadata.ROOT && again.Standing(d.now.UnixNano()) == nil {
			t.Errorf("an altered %s stands", bad[i].Name)
		}
	}
	if again, left := verifiedmetadata.New(d.repo.FirstRoot(), verifiedmetadata.Ordinary, all); len(left) > 0 || again.Standing(d.now.UnixNano()) != nil {
		t.Errorf("what was kept: %v, %v", left, again.Standing(d.now.UnixNano()))
	}
}

// The paths that a target may have.
func TestSafePath(t *testing.T) {
	for path, want := range map[string]bool{"a": true, "a/b.json": true, "..": false, "a/../b": false, "/a": false, "a/": false,
		"a//b": false, "": false, `a\b`: false, "C:x": false, "a\x00b": false, "a\nb": false, ".": false, "...": true,
		string(bytes.Repeat([]byte("a"), 513)): false} {
		if verifiedmetadata.SafePath(path) != want {
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
		k, _ := verifiedmetadata.New(d.repo.FirstRoot(), verifiedmetadata.Ordinary, nil)
		k.Begin(d.now.UnixNano())
		k.Got(text) // as the next root
		k.Missing()
		refused := k.Got(text) // as the timestamp
		if want, more := k.Next(); refused == nil && more && want.Role == metadata.SNAPSHOT {
			var one, real struct{ Signed json.RawMessage }
			json.Unmarshal(text, &one)
			json.Unmarshal(d.repo.Files["timestamp.json"], &real)
			if !json.Valid(one.Signed) {
				t.Errorf("taken: %q", text)
			}
		}
	})
}
