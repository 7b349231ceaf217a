package store

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"laurelring/internal/verifiedmetadata"
)

func newRecord(name string, version int64, text string) verifiedmetadata.Record {
	return verifiedmetadata.Record{Name: name, Version: version, Bytes: []byte(text)}
}

func openStore(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// recordSet returns the records of one change. All have the given version, which is repeated in their contents.
func recordSet(version int64) []verifiedmetadata.Record {
	var records []verifiedmetadata.Record
	for _, name := range []string{"root", "snapshot", "targets", "timestamp"} {
		records = append(records, newRecord(name, version, strings.Repeat(fmt.Sprintf("%s %d;", name, version), 300)))
	}
	return records
}

// versionOf returns the common version of all records, or 0 if there are none. It returns an error if the records are
// not exactly those of one recordSet.
func versionOf(s *Store) (int64, error) {
	records := s.Records()
	if len(records) == 0 {
		return 0, nil
	}
	for i, want := range recordSet(records[0].Version) {
		if len(records) != 4 || records[i].Name != want.Name || records[i].Version != want.Version || !bytes.Equal(records[i].Bytes, want.Bytes) {
			return 0, fmt.Errorf("record %d is not the one of version %d", i, records[0].Version)
		}
	}
	return records[0].Version, nil
}

func TestPutIsAtomicDurableAndRefusesRollback(t *testing.T) {
	folder := t.TempDir()
	for _, s := range []*Store{openStore(t, folder), NewMemory()} {
		if err := s.Put(recordSet(5)); err != nil {
			t.Fatal(err)
		}
		if err := s.Put([]verifiedmetadata.Record{newRecord("root", 6, "x"), newRecord("timestamp", 4, "x")}); !errors.Is(err, ErrRollback) {
			t.Errorf("Put of a lower version: got error %v, want ErrRollback", err)
		}
		if v, err := versionOf(s); v != 5 || err != nil {
			t.Errorf("after a refused change: got version %d, error %v; want version 5", v, err)
		}
		if err := s.Put([]verifiedmetadata.Record{{Name: "timestamp", Version: 2, Bytes: []byte("y"), AllowRollback: true}, {Name: "snapshot"}}); err != nil {
			t.Error(err)
		}
		if records := s.Records(); len(records) != 3 || records[2].Version != 2 {
			t.Errorf("got records %v, want 3 with timestamp version 2", records)
		}
		s.Close()
	}
	s := openStore(t, folder)
	if records := s.Records(); len(records) != 3 || s.Damage() != nil {
		t.Errorf("after a restart: got records %v, damage %v", records, s.Damage())
	}
}

func TestOpenFailsWhileAnotherProcessHoldsTheStore(t *testing.T) {
	folder := t.TempDir()
	openStore(t, folder)
	start := time.Now()
	if _, err := Open(folder); !errors.Is(err, ErrInUse) || time.Since(start) > 2*lockTimeout {
		t.Errorf("got error %v after %v, want ErrInUse", err, time.Since(start))
	}
}

// If its folder cannot be created, Open returns an error that does not report a damaged store.
func TestOpenDistinguishesFolderErrorFromDamage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := Open(filepath.Join(file, "store")); err == nil || errors.Is(err, errDamaged) {
		t.Error(err)
	}
}

// damageFile damages a file in one of four ways, selected by turn: it flips bytes, clears a block, truncates the file
// or removes it.
func damageFile(t *testing.T, random *rand.Rand, path string, turn int) {
	t.Helper()
	contents, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	switch turn % 4 {
	case 0:
		for n := range 1 + random.IntN(8) {
			contents[(n*997+random.IntN(len(contents)))%len(contents)] ^= byte(1 + random.IntN(255))
		}
	case 1:
		block := random.IntN(len(contents)/512 + 1)
		clear(contents[block*512 : min(len(contents), (block+1)*512)])
	case 2:
		contents = contents[:random.IntN(len(contents))]
	case 3:
		os.Remove(path)
		return
	}
	if err := os.WriteFile(path, contents, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Damage to the state file must be detected and reported. The store must then use the previous state, or an empty state
// if the previous state file is damaged too, and never any other data.
func TestDamageIsDetected(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	folder := t.TempDir()
	for i := range 300 {
		s := openStore(t, folder)
		v, _ := versionOf(s)
		for range 2 {
			v++
			if err := s.Put(recordSet(v)); err != nil {
				t.Fatalf("damage %d: cannot put records: %v", i, err)
			}
		}
		s.Close()
		want := v - 1
		if damageFile(t, random, s.path(stateName), i); i%5 == 0 {
			damageFile(t, random, s.path(previousStateName), i/5)
			want = 0
		}
		s = openStore(t, folder)
		got, err := versionOf(s)
		if err != nil || got != want || s.Damage() == nil && !(i%4 == 3 && want == 0) {
			t.Fatalf("damage %d: got version %d, want %d; error %v, reported damage %v", i, got, want, err, s.Damage())
		}
		s.Close()
	}
}

// Points at which a kill can interrupt a change of the state file, in the order in which the file system applies the
// steps.
const (
	killedDuringWrite  = iota // the new file is partly written
	killedAfterRemove         // the previous state file is removed
	killedAfterLink           // the current state file is linked as the previous one
	killedAfterWrite          // the new file is completely written
	killedAfterReplace        // the new file has replaced the state file
	killStepCount
)

// interruptChange changes the files of a closed store to those that a kill leaves behind at a step of a change to the
// next state.
func interruptChange(t *testing.T, random *rand.Rand, s *Store, next state, step int) {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	contents, err := encodeState(next)
	must(err)
	part := s.path(partsFolder) + "/." + stateName + "123"
	if step < killedAfterReplace {
		must(os.WriteFile(part, contents[:random.IntN(len(contents)+1)], 0o600))
	}
	if step >= killedAfterRemove {
		must(os.Remove(s.path(previousStateName)))
	}
	if step >= killedAfterLink {
		must(os.Link(s.path(stateName), s.path(previousStateName)))
	}
	if step >= killedAfterWrite {
		must(os.WriteFile(part, contents, 0o600))
	}
	if step == killedAfterReplace {
		must(os.Rename(part, s.path(stateName)))
	}
}

// After a kill at any point of a change, the store must hold either the complete previous state or the complete new
// state, and report no damage.
func TestKillPoints(t *testing.T) {
	points := 300
	if n, err := strconv.Atoi(os.Getenv("LAURELRING_KILL_POINTS")); err == nil {
		points = n
	}
	random := rand.New(rand.NewPCG(3, 4))
	var before, after int
	for i := range points {
		folder := t.TempDir()
		s := openStore(t, folder)
		v := int64(2 + i%3)
		for version := range v {
			if err := s.Put(recordSet(version + 1)); err != nil {
				t.Fatal(err)
			}
		}
		next := state{Records: recordsByName(recordSet(v + 1)), Targets: s.current.Targets}
		s.Close()
		step := i % killStepCount
		interruptChange(t, random, s, next, step)
		s = openStore(t, folder)
		switch got, err := versionOf(s); {
		case err != nil || s.Damage() != nil:
			t.Fatalf("point %d: error %v, damage %v", i, err, s.Damage())
		case got == v && step < killedAfterReplace:
			before++
		case got == v+1 && step == killedAfterReplace:
			after++
		default:
			t.Fatalf("point %d, step %d: got version %d, previous %d, new %d", i, step, got, v, v+1)
		}
		if parts, _ := os.ReadDir(s.path(partsFolder)); len(parts) > 0 {
			t.Fatalf("point %d: %d unfinished files remain", i, len(parts))
		}
		s.Close()
	}
	t.Logf("%d kill points: %d left the previous state, %d the new one", points, before, after)
}

// recordsByName returns the records as a map with their names as keys.
func recordsByName(records []verifiedmetadata.Record) map[string]verifiedmetadata.Record {
	named := map[string]verifiedmetadata.Record{}
	for _, record := range records {
		named[record.Name] = record
	}
	return named
}

// putUntilKilled runs in the child process that is killed. It stores one version after the other and prints each stored
// version.
func putUntilKilled(folder string) {
	s, err := Open(folder)
	if err != nil {
		fmt.Println("failed", err)
		return
	}
	stored, _ := versionOf(s)
	for version := stored + 1; ; version++ {
		if err := s.Put(recordSet(version)); err != nil {
			fmt.Println("failed", err)
			return
		}
		fmt.Println("stored", version)
	}
}

// A child process is killed repeatedly while it writes. Everything that it reported as stored must then be present and
// complete.
func TestKilledProcess(t *testing.T) {
	if folder := os.Getenv("LAURELRING_STORE"); folder != "" {
		putUntilKilled(folder)
		return
	}
	folder, random := t.TempDir(), rand.New(rand.NewPCG(5, 6))
	last := int64(0)
	for round := range 12 {
		child := exec.Command(os.Args[0], "-test.run=^TestKilledProcess$")
		child.Env = append(os.Environ(), "LAURELRING_STORE="+folder)
		out, err := child.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := child.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for n := 1 + random.IntN(6); n > 0 && lines.Scan(); n-- {
			if strings.HasPrefix(lines.Text(), "failed") {
				t.Fatal(lines.Text())
			}
			fmt.Sscanf(lines.Text(), "stored %d", &last)
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Microsecond)
		child.Process.Signal(syscall.SIGKILL)
		for lines.Scan() {
			fmt.Sscanf(lines.Text(), "stored %d", &last)
		}
		child.Wait()
		s := openStore(t, folder)
		if v, err := versionOf(s); err != nil || v < last || v > last+1 || s.Damage() != nil {
			t.Fatalf("round %d: got version %d after %d was reported as stored; error %v, damage %v", round, v, last, err, s.Damage())
		}
		s.Close()
	}
	if last < 12 {
		t.Errorf("only %d versions were stored, want at least 12", last)
	}
}

// A target must be readable either completely or not at all, and Open must remove the files of interrupted fetches.
func TestTargetsAreStoredCompletely(t *testing.T) {
	folder := t.TempDir()
	want := &verifiedmetadata.Target{Path: "a/b", Length: 5, Hashes: map[string][]byte{"sha256": {1}}}
	for _, s := range []*Store{openStore(t, folder), NewMemory()} {
		for _, path := range []string{"../x", "/x", "a//b", ""} {
			if _, err := s.CreateTarget(path, 1); err == nil {
				t.Errorf("CreateTarget accepted the unsafe path %q", path)
			}
		}
		writer, err := s.CreateTarget("a/b", 5)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(writer, "wrong")
		if _, err := s.OpenTarget("a/b"); err == nil {
			t.Error("OpenTarget succeeded for a target that is not committed")
		}
		writer.Reset()
		io.WriteString(writer, "right")
		if err := writer.Commit(want); err != nil {
			t.Fatal(err)
		}
		reader, err := s.OpenTarget("a/b")
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(reader)
		reader.Close()
		if paths := s.TargetPaths(); string(text) != "right" || len(paths) != 1 {
			t.Errorf("got contents %q, target paths %v", text, paths)
		}
		interrupted, _ := s.CreateTarget("a/c", 5)
		io.WriteString(interrupted, "ri")
		if !s.InMemory() {
			interrupted.file.Close()
		}
		s.Close()
	}
	s := openStore(t, folder)
	if parts, _ := os.ReadDir(filepath.Join(folder, partsFolder)); len(parts) > 0 {
		t.Errorf("%d unfinished files remain", len(parts))
	}
	if paths := s.TargetPaths(); len(paths) != 1 {
		t.Errorf("got target paths %v, want one", paths)
	}
	if _, err := NewMemory().CreateTarget("a", maxMemoryBytes+1); !errors.Is(err, ErrMemoryFull) {
		t.Error(err)
	}
}

// Arbitrary contents must be either refused with an error or decoded to a state that can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	good, err := encodeState(state{Records: recordsByName(recordSet(3))})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("\n"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		decoded, err := decodeState(text)
		if err != nil {
			return
		}
		encoded, err := encodeState(decoded)
		if err != nil {
			t.Fatal(err)
		}
		if same, err := decodeState(encoded); err != nil || len(same.Records) != len(decoded.Records) {
			t.Errorf("state decoded from %q changes when it is encoded and decoded again", text)
		}
	})
}
