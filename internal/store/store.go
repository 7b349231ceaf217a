// Package store keeps over a restart what is trusted: the records of the roles, which change together or not at all,
// and the targets that were fetched. What is torn or altered on disk is noticed, told, and never trusted; versions do
// not go back. Without a folder all of it lives in memory.
package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"

	"laurelring/internal/verifiedmetadata"
)

var (
	// ErrInUse says that another process holds the store.
	ErrInUse = errors.New("another process holds the store")
	// ErrBack says that a version would go back.
	ErrBack = errors.New("the version would go back")
	// ErrRoom says that a target does not fit into memory.
	ErrRoom = errors.New("no room in memory for the target")

	errDamaged = errors.New("the store is damaged")
)

const (
	fileName    = "trust"
	oldName     = "trust.old"     // the state before
	damagedName = "trust.damaged" // the last one that was found so, for people to look at
	lockName    = "lock"
	filesName   = "targets"
	partsName   = "parts"
	waitFor     = time.Second // for another process to let go
	waitStep    = 20 * time.Millisecond
	memoryMost  = 64 << 20 // bytes of targets that are held without a folder
)

// state is all that is kept, in one file that is replaced whole.
type state struct {
	Records map[string]verifiedmetadata.Record `json:"records"`
	Targets map[string]fetched                 `json:"targets"`
}

type fetched struct {
	Length int64  `json:"length"`
	Sum    []byte `json:"sum"`
}

// Store is owned by one goroutine.
type Store struct {
	folder  string // empty: all of it lives in memory
	lock    *os.File
	now     state
	held    map[string][]byte // targets in memory
	heldAll int
	damage  error
}

func empty() state {
	return state{Records: map[string]verifiedmetadata.Record{}, Targets: map[string]fetched{}}
}

// Memory makes a store that forgets all at its end.
func Memory() *Store { return &Store{now: empty(), held: map[string][]byte{}} }

// Open opens the store in a folder, which it makes if there is none. Where its file is damaged the state before
// serves, or none: Damage tells so.
func Open(folder string) (*Store, error) {
	s := &Store{folder: folder}
	if err := os.MkdirAll(s.at(partsName), 0o700); err != nil {
		return nil, err
	}
	var err error
	if s.lock, err = hold(s.at(lockName)); err != nil {
		return nil, err
	}
	if err := s.load(); err != nil {
		s.Close()
		return nil, err
	}
	left, err := os.ReadDir(s.at(partsName)) // of fetches and changes that were cut off
	if err != nil {
		s.Close()
		return nil, err
	}
	for _, one := range left {
		os.Remove(filepath.Join(s.at(partsName), one.Name()))
	}
	return s, nil
}

func (s *Store) at(name string) string { return filepath.Join(s.folder, name) }

// hold takes the lock, which the system gives back when the process ends, however it does.
func hold(at string) (*os.File, error) {
	f, err := os.OpenFile(at, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(waitFor); ; time.Sleep(waitStep) {
		switch err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
		case err == nil:
			return f, nil
		case err != unix.EWOULDBLOCK && err != unix.EINTR:
			f.Close()
			return nil, err
		case time.Now().After(until):
			f.Close()
			return nil, ErrInUse
		}
	}
}

// load reads the state, or the one before it where it is damaged.
func (s *Store) load() error {
	var err error
	if s.now, err = read(s.at(fileName)); err == nil {
		return nil
	}
	had := !errors.Is(err, fs.ErrNotExist)
	if had && !errors.Is(err, errDamaged) {
		return err
	}
	before, bad := read(s.at(oldName))
	if had {
		s.damage = err
		if err := os.Rename(s.at(fileName), s.at(damagedName)); err != nil {
			return err
		}
	}
	switch {
	case bad == nil:
		if s.now = before; s.damage == nil {
			s.damage = fmt.Errorf("%w: its file is gone", errDamaged)
		}
		return s.write(s.now)
	case errors.Is(bad, fs.ErrNotExist), errors.Is(bad, errDamaged):
		s.now = empty()
		return nil
	}
	return bad
}

// The file is the hash of all that follows, in hex on a line, and the state.
func encode(now state) ([]byte, error) {
	text, err := json.Marshal(now)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%x\n%s", sha256.Sum256(text), text), nil
}

func decode(text []byte) (state, error) {
	sum, body, ok := bytes.Cut(text, []byte{'\n'})
	if want := fmt.Sprintf("%x", sha256.Sum256(body)); !ok || string(sum) != want {
		return state{}, fmt.Errorf("%w: %d bytes do not bear out their hash", errDamaged, len(text))
	}
	now := empty()
	if err := json.Unmarshal(body, &now); err != nil {
		return state{}, fmt.Errorf("%w: %w", errDamaged, err)
	}
	return now, nil
}

func read(at string) (state, error) {
	text, err := os.ReadFile(at)
	if err != nil {
		return state{}, err
	}
	return decode(text)
}

// write replaces the file: a kill at any moment leaves the one before or the new one, whole.
func (s *Store) write(next state) error {
	text, err := encode(next)
	if err != nil {
		return err
	}
	f, err := renameio.NewPendingFile(s.at(fileName), renameio.WithTempDir(s.at(partsName)), renameio.WithPermissions(0o600))
	if err != nil {
		return err
	}
	defer f.Cleanup()
	if _, err := f.Write(text); err != nil {
		return err
	}
	os.Remove(s.at(oldName))
	if err := os.Link(s.at(fileName), s.at(oldName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return err
	}
	return syncFolder(s.folder)
}

// change makes a change of the state durable, or leaves it as it was.
func (s *Store) change(by func(*state)) error {
	next := state{maps.Clone(s.now.Records), maps.Clone(s.now.Targets)}
	by(&next)
	if !s.InMemory() {
		if s.lock == nil {
			return os.ErrClosed
		}
		if err := s.write(next); err != nil {
			return err
		}
	}
	s.now = next
	return nil
}

// Damage tells what was found damaged when the store was opened: what was kept since the state before is lost, or
// all of it.
func (s *Store) Damage() error { return s.damage }

// InMemory tells whether nothing outlives the process.
func (s *Store) InMemory() bool { return s.folder == "" }

// Close lets go of the store.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	err := s.lock.Close()
	s.lock = nil
	return err
}

// Records gives all records, by their names.
func (s *Store) Records() []verifiedmetadata.Record {
	var all []verifiedmetadata.Record
	for _, name := range slices.Sorted(maps.Keys(s.now.Records)) {
		all = append(all, s.now.Records[name])
	}
	return all
}

// Put keeps records, all of them or none. A version that would go back is refused, unless the record says that it
// may.
func (s *Store) Put(some []verifiedmetadata.Record) error {
	for _, r := range some {
		if had, ok := s.now.Records[r.Name]; ok && !r.Anew && r.Bytes != nil && r.Version < had.Version {
			return fmt.Errorf("%s: %w", r.Name, ErrBack)
		}
	}
	return s.change(func(next *state) {
		for _, r := range some {
			if r.Bytes == nil {
				delete(next.Records, r.Name)
			} else {
				r.Anew = false
				next.Records[r.Name] = r
			}
		}
	})
}

// Part is a target on its way: what is verified is written to it in order.
type Part struct {
	store  *Store
	path   string
	file   *os.File
	memory *bytes.Buffer
}

// Begin begins a target of so many bytes.
func (s *Store) Begin(path string, length int64) (*Part, error) {
	if !verifiedmetadata.SafePath(path) {
		return nil, fmt.Errorf("%q leaves its folder", path)
	}
	if s.InMemory() {
		if length > memoryMost-int64(s.heldAll) {
			return nil, ErrRoom
		}
		return &Part{store: s, path: path, memory: &bytes.Buffer{}}, nil
	}
	file, err := os.CreateTemp(s.at(partsName), "part-*")
	if err != nil {
		return nil, err
	}
	return &Part{store: s, path: path, file: file}, nil
}

// Nowhere takes bytes that are only read.
func Nowhere() *Part { return &Part{} }

// Write adds verified bytes.
func (p *Part) Write(some []byte) (int, error) {
	if p.memory == nil && p.file == nil {
		return len(some), nil
	}
	if p.memory != nil {
		return p.memory.Write(some)
	}
	return p.file.Write(some)
}

// Reset begins anew.
func (p *Part) Reset() error {
	if p.memory != nil {
		p.memory.Reset()
		return nil
	}
	if err := p.file.Truncate(0); err != nil {
		return err
	}
	_, err := p.file.Seek(0, io.SeekStart)
	return err
}

// Drop lets go of what was written.
func (p *Part) Drop() {
	if p.file != nil {
		p.file.Close()
		os.Remove(p.file.Name())
		p.file = nil
	}
}

// Commit puts the target into its place: before it there was the old one or none, after it the whole new one.
func (p *Part) Commit(t *verifiedmetadata.Target) error {
	s := p.store
	if p.memory != nil {
		s.heldAll += p.memory.Len() - len(s.held[p.path])
		s.held[p.path] = p.memory.Bytes()
		return s.change(func(next *state) { next.Targets[p.path] = fetched{t.Length, sumOf(t)} })
	}
	defer p.Drop()
	at := filepath.Join(s.folder, filesName, filepath.FromSlash(p.path))
	if err := os.MkdirAll(filepath.Dir(at), 0o700); err != nil {
		return err
	}
	if err := p.file.Sync(); err != nil {
		return err
	}
	if err := os.Rename(p.file.Name(), at); err != nil {
		return err
	}
	if err := syncFolder(filepath.Dir(at)); err != nil {
		return err
	}
	return s.change(func(next *state) { next.Targets[p.path] = fetched{t.Length, sumOf(t)} })
}

func sumOf(t *verifiedmetadata.Target) []byte {
	if h := t.Hashes["sha256"]; h != nil {
		return h
	}
	return t.Hashes["sha512"]
}

func syncFolder(at string) error {
	d, err := os.Open(at)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Target gives the bytes of a target that was fetched. Whoever uses them verifies them anew.
func (s *Store) Target(path string) (io.ReadCloser, error) {
	if !verifiedmetadata.SafePath(path) {
		return nil, fs.ErrNotExist
	}
	if s.InMemory() {
		if had, ok := s.held[path]; ok {
			return io.NopCloser(bytes.NewReader(had)), nil
		}
		return nil, fs.ErrNotExist
	}
	return os.Open(filepath.Join(s.folder, filesName, filepath.FromSlash(path)))
}

// Remove lets go of a target. It is forgotten first: a kill in between leaves bytes that nobody knows, not a target
// without bytes.
func (s *Store) Remove(path string) error {
	if err := s.change(func(next *state) { delete(next.Targets, path) }); err != nil {
		return err
	}
	if s.InMemory() {
		s.heldAll -= len(s.held[path])
		delete(s.held, path)
		return nil
	}
	return os.Remove(s.at(filepath.Join(filesName, filepath.FromSlash(path))))
}

// Targets gives the paths of the targets that were fetched, in their order.
func (s *Store) Targets() []string { return slices.Sorted(maps.Keys(s.now.Targets)) }
