package store_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/store"
	"laurelring/internal/tuf"
	"laurelring/internal/verifiedmetadata"
)

// fixtureFolder contains a store folder that was written by the code of commit 84f12dd, and the operator's first
// trusted root. The store is the result of two refreshes, with a root rotation and a new delegated role between them,
// two fetched targets, and a third refresh that was interrupted after a newer timestamp. All metadata expire one hour
// after fixtureTime.
const fixtureFolder = "testdata/store-84f12dd"

var fixtureTime = time.Unix(2_000_000_000, 0)

// fixtureRecord describes a record of the fixture by the SHA-256 digest of its contents.
type fixtureRecord struct {
	name    string
	version int64
	digest  string
}

// fixtureRecords are the records of the previous state, sorted by name.
var fixtureRecords = []fixtureRecord{
	{"east", 2, "6d6ee4cb59e658e77ccee009227c0ce0baf31bcb097aa59b39e0c1b91f5e36e1"},
	{"fresh", 2000000000000000000, "67db9925785bb4a8e9d905586ec22315679636ee03073cacd51955e42c3c43fe"},
	{"root", 2, "127ab60c74c7f9aa924f4ed7efadcf64d2bd87f0cd3ff852a77b615df1306b56"},
	{"snapshot", 3, "258b3afdc2b204dfc73cd6481833ad719a6a1f35fd3e0ac9b75788cc9d11dad0"},
	{"targets", 3, "d42ed9f64ff4c1bb617b4b379a7caf22fdf5b95172af2e86d7c479345534fc2a"},
	{"timestamp", 3, "d0bc0553f60afd756391834de4e992b611f718d4060090753e39b7080d42b48d"},
}

// interruptedRecord is the newer timestamp that the interrupted refresh added to the current state.
var interruptedRecord = fixtureRecord{"seen", 4, "9fae9452427109ffc5ee9357e766096908a3c672bc02ac7dd844f4bf5c5c8e69"}

// fixtureTargets are the contents of the fetched targets, by path.
var fixtureTargets = map[string]string{
	"builds/7.json": "{\"build\": 7, \"signed\": true}\n",
	"east/1":        "delegated target\n",
}

// fixtureRoles are the trusted roles of the fixture.
var fixtureRoles = []verifiedmetadata.TrustedRole{
	{Name: "root", Version: 2, Expires: 2000003600000000000},
	{Name: "timestamp", Version: 3, Expires: 2000003600000000000},
	{Name: "snapshot", Version: 3, Expires: 2000003600000000000},
	{Name: "targets", Version: 3, Expires: 2000003600000000000},
	{Name: "east", Version: 2, Expires: 2000003600000000000},
}

// copyFixture returns a copy of the fixture's store folder, because opening a store writes to its folder.
func copyFixture(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "store")
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(fixtureFolder, "store"))); err != nil {
		t.Fatal(err)
	}
	return folder
}

func openFixture(t *testing.T, folder string) *store.Store {
	t.Helper()
	opened, err := store.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { opened.Close() })
	return opened
}

// checkContents checks the records of the opened store and its targets, which must be those of the fixture.
func checkContents(t *testing.T, opened *store.Store, records []fixtureRecord) {
	t.Helper()
	var got []fixtureRecord
	for _, record := range opened.Records() {
		got = append(got, fixtureRecord{record.Name, record.Version, fmt.Sprintf("%x", sha256.Sum256(record.Bytes))})
	}
	if !slices.Equal(got, records) {
		t.Errorf("got records %v, want %v", got, records)
	}
	if paths := opened.TargetPaths(); !slices.Equal(paths, []string{"builds/7.json", "east/1"}) {
		t.Errorf("got target paths %v", paths)
	}
	for path, want := range fixtureTargets {
		file, err := opened.OpenTarget(path)
		if err != nil {
			t.Fatal(err)
		}
		contents, err := io.ReadAll(file)
		file.Close()
		if err != nil || string(contents) != want {
			t.Errorf("%s: got contents %q, error %v; want %q", path, contents, err, want)
		}
	}
}

// checkClient starts a client from the store. It must trust the fixture's roles and targets and reject no record.
func checkClient(t *testing.T, opened *store.Store) {
	t.Helper()
	root, err := os.ReadFile(filepath.Join(fixtureFolder, "1.root.json"))
	if err != nil {
		t.Fatal(err)
	}
	mirrors := mirrorpool.NewPool([]string{"http://127.0.0.1:1/"}, 1, mirrorpool.DefaultLimits)
	now := func() int64 { return fixtureTime.Add(time.Minute).UnixNano() }
	client, err := tuf.NewClient(tuf.ClientConfig{
		Root:    root,
		Limits:  verifiedmetadata.DefaultLimits,
		Mirrors: mirrors,
		Store:   opened,
		Now:     now,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	status := client.Status()
	if len(status.RejectedRecords) > 0 || status.Trust != "trusted" || status.LastRefresh != fixtureTime.UnixNano() {
		t.Errorf("unexpected status %+v", status)
	}
	if !slices.Equal(status.Roles, fixtureRoles) {
		t.Errorf("got roles %v, want %v", status.Roles, fixtureRoles)
	}
	for path := range fixtureTargets {
		if refused := client.VerifyTarget(path); refused != nil {
			t.Error(refused)
		}
	}
}

func TestOpensStoreWrittenByEarlierVersion(t *testing.T) {
	opened := openFixture(t, copyFixture(t))
	if opened.Damage() != nil {
		t.Error(opened.Damage())
	}
	records := slices.Insert(slices.Clone(fixtureRecords), 3, interruptedRecord)
	checkContents(t, opened, records)
	checkClient(t, opened)
}

func TestFallsBackToPreviousStateOfEarlierVersion(t *testing.T) {
	folder := copyFixture(t)
	if err := os.WriteFile(filepath.Join(folder, "trust"), []byte("cut off"), 0o600); err != nil {
		t.Fatal(err)
	}
	opened := openFixture(t, folder)
	if opened.Damage() == nil {
		t.Error("damage is not reported")
	}
	if damaged, err := os.ReadFile(filepath.Join(folder, "trust.damaged")); string(damaged) != "cut off" {
		t.Errorf("trust.damaged: got %q, error %v", damaged, err)
	}
	checkContents(t, opened, fixtureRecords)
	checkClient(t, opened)
}

// Writing the state again without a change must produce the same bytes as the earlier version.
func TestWritesSameBytesAsEarlierVersion(t *testing.T) {
	folder := copyFixture(t)
	before, err := os.ReadFile(filepath.Join(folder, "trust"))
	if err != nil {
		t.Fatal(err)
	}
	if err := openFixture(t, folder).Put(nil); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"trust", "trust.old"} {
		if after, err := os.ReadFile(filepath.Join(folder, name)); err != nil || !bytes.Equal(after, before) {
			t.Errorf("%s differs from the file of the earlier version, or cannot be read: %v", name, err)
		}
	}
}
