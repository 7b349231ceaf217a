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

// recordSet returns records that are stored together, all of one version, which their contents repeat.
func recordSet(version int64) []verifiedmetadata.Record {
	var records []verifiedmetadata.Record
	for _, name := range []string{"root", "snapshot", "targets", "timestamp"} {
		records = append(records, newRecord(name, version, strings.Repeat(fmt.Sprintf("%s %d;", name, version), 300)))
	}
	return records
}

// versionOf returns the one version of all records, 0 where there are none. Mixed versions are an error.
func versionOf(s *Store) (int64, error) {
	records := s.Records()
	if len(records) == 0 {
		return 0, nil
	}
	for i, want := range recordSet(records[0].Version) {
		if len(records) != 4 || records[i].Name != want.Name || records[i].Version != want.Version || !bytes.Equal(records[i].Bytes, want.Bytes) {
			return 0, fmt.Errorf("record %d is not of version %d", i, records[0].Version)
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
			t.Errorf("rollback: %v", err)
		}
		if v, err := versionOf(s); v != 5 || err != nil {
			t.Errorf("after a refused change: %d, %v", v, err)
		}
		if err := s.Put([]verifiedmetadata.Record{{Name: "timestamp", Version: 2, Bytes: []byte("y"), AllowRollback: true}, {Name: "snapshot"}}); err != nil {
			t.Error(err)
		}
		if records := s.Records(); len(records) != 3 || records[2].Version != 2 {
			t.Errorf("%v", records)
		}
		s.Close()
	}
	s := openStore(t, folder)
	if records := s.Records(); len(records) != 3 || s.Damage() != nil {
		t.Errorf("after a restart: %v, %v", records, s.Damage())
	}
}

func TestOpenFailsWhileAnotherProcessHoldsTheStore(t *testing.T) {
	folder := t.TempDir()
	openStore(t, folder)
	start := time.Now()
	if _, err := Open(folder); !errors.Is(err, ErrInUse) || time.Since(start) > 2*lockTimeout {
		t.Errorf("%v after %v", err, time.Since(start))
	}
}

func TestFolderThatCannotBeCreatedIsNoDamage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := Open(filepath.Join(file, "store")); err == nil || errors.Is(err, errDamaged) {
		t.Error(err)
	}
}

// damageFile flips bytes of a file, clears a block of it, truncates it or removes it, by turns.
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

// A damaged state file is detected and reported; the previous state is used, or an empty one where that is damaged too.
// Nothing else is ever read.
func TestDamageIsDetected(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	folder := t.TempDir()
	for i := range 300 {
		s := openStore(t, folder)
		v, _ := versionOf(s)
		for range 2 {
			v++
			if err := s.Put(recordSet(v)); err != nil {
				t.Fatalf("damage %d: the store cannot be used: %v", i, err)
			}
		}
		s.Close()
		want := v - 1
		if damageFile(t, random, s.path(fileName), i); i%5 == 0 {
			damageFile(t, random, s.path(previousName), i/5)
			want = 0
		}
		s = openStore(t, folder)
		got, err := versionOf(s)
		if err != nil || got != want || s.Damage() == nil && !(i%4 == 3 && want == 0) {
			t.Fatalf("damage %d: version %d, want %d; %v, reported %v", i, got, want, err, s.Damage())
		}
		s.Close()
	}
}

// Steps at which a kill can interrupt a change of the state file, in the order in which the file system sees them.
const (
	killedInPart       = iota // a part of the new file is written
	killedAfterRemove         // the link to the previous file is removed
	killedAfterLink           // it is replaced
	killedAfterPart           // the new file is written
	killedAfterReplace        // the new file is in its place
	killSteps
)

// interruptChange leaves a closed store as a kill does at a step of a change to the next state.
func interruptChange(t *testing.T, random *rand.Rand, s *Store, next state, step int) {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	contents, err := encode(next)
	must(err)
	part := s.path(partsFolder) + "/." + fileName + "123"
	if step < killedAfterReplace {
		must(os.WriteFile(part, contents[:random.IntN(len(contents)+1)], 0o600))
	}
	if step >= killedAfterRemove {
		must(os.Remove(s.path(previousName)))
	}
	if step >= killedAfterLink {
		must(os.Link(s.path(fileName), s.path(previousName)))
	}
	if step >= killedAfterPart {
		must(os.WriteFile(part, contents, 0o600))
	}
	if step == killedAfterReplace {
		must(os.Rename(part, s.path(fileName)))
	}
}

// At each point at which a kill can interrupt a change the store holds all of the previous or all of the new state, and
// reports no damage.
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
		next := state{Records: byName(recordSet(v + 1)), Targets: s.current.Targets}
		s.Close()
		step := i % killSteps
		interruptChange(t, random, s, next, step)
		s = openStore(t, folder)
		switch got, err := versionOf(s); {
		case err != nil || s.Damage() != nil:
			t.Fatalf("point %d: %v, %v", i, err, s.Damage())
		case got == v && step < killedAfterReplace:
			before++
		case got == v+1 && step == killedAfterReplace:
			after++
		default:
			t.Fatalf("point %d, step %d: version %d of %d and %d", i, step, got, v, v+1)
		}
		if parts, _ := os.ReadDir(s.path(partsFolder)); len(parts) > 0 {
			t.Fatalf("point %d: %d unfinished files remain", i, len(parts))
		}
		s.Close()
	}
	t.Logf("of %d kill points %d hold the previous state, %d the new one", points, before, after)
}

func byName(records []verifiedmetadata.Record) map[string]verifiedmetadata.Record {
	named := map[string]verifiedmetadata.Record{}
	for _, record := range records {
		named[record.Name] = record
	}
	return named
}

// writeForever is the process that is killed: it reports each version that it has stored.
func writeForever(folder string) {
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

// A process is killed while it writes, again and again: what it reported as stored is there, complete.
func TestKilledProcess(t *testing.T) {
	if folder := os.Getenv("LAURELRING_STORE"); folder != "" {
		writeForever(folder)
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
			t.Fatalf("round %d: version %d after %d was stored: %v, %v", round, v, last, err, s.Damage())
		}
		s.Close()
	}
	if last < 12 {
		t.Errorf("only %d versions were stored", last)
	}
}

// A target is in its place completely or not at all, and what an interrupted fetch left behind is removed.
func TestTargetsAreStoredCompletely(t *testing.T) {
	folder := t.TempDir()
	want := &verifiedmetadata.Target{Path: "a/b", Length: 5, Hashes: map[string][]byte{"sha256": {1}}}
	for _, s := range []*Store{openStore(t, folder), NewMemory()} {
		for _, path := range []string{"../x", "/x", "a//b", ""} {
			if _, err := s.CreateTarget(path, 1); err == nil {
				t.Errorf("%q was created", path)
			}
		}
		writer, err := s.CreateTarget("a/b", 5)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(writer, "wrong")
		if _, err := s.OpenTarget("a/b"); err == nil {
			t.Error("an unfinished target is in its place")
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
			t.Errorf("%q, %v", text, paths)
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
		t.Errorf("%v", paths)
	}
	if _, err := NewMemory().CreateTarget("a", maxMemoryBytes+1); !errors.Is(err, ErrMemoryFull) {
		t.Error(err)
	}
}

// Any contents are decoded to a state that encodes back, or refused with an error.
func FuzzDecode(f *testing.F) {
	good, err := encode(state{Records: byName(recordSet(3))})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("\n"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		decoded, err := decode(text)
		if err != nil {
			return
		}
		encoded, err := encode(decoded)
		if err != nil {
			t.Fatal(err)
		}
		if same, err := decode(encoded); err != nil || len(same.Records) != len(decoded.Records) {
			t.Errorf("%q decodes to another state after encoding", text)
		}
	})
}
