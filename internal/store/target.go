package store

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"laurelring/internal/verifiedmetadata"
)

const maxMemoryBytes = 64 << 20 // of all targets together, without a folder

// TargetWriter receives the contents of a target that is being fetched. Nothing of it is in the store before Commit.
type TargetWriter struct {
	store  *Store
	path   string
	file   *os.File
	memory *bytes.Buffer
}

// CreateTarget starts to write a target with a length in bytes. It returns ErrMemoryFull where a store in memory has
// no room for it, and an error for a path that could leave the store's folder.
func (s *Store) CreateTarget(path string, length int64) (*TargetWriter, error) {
	if !verifiedmetadata.IsSafePath(path) {
		return nil, fmt.Errorf("%q leaves its folder", path)
	}
	if s.InMemory() {
		if length > maxMemoryBytes-int64(s.memoryBytes) {
			return nil, ErrMemoryFull
		}
		return &TargetWriter{store: s, path: path, memory: &bytes.Buffer{}}, nil
	}
	file, err := os.CreateTemp(s.path(partsFolder), "part-*")
	if err != nil {
		return nil, err
	}
	return &TargetWriter{store: s, path: path, file: file}, nil
}

// Discard returns a writer that drops what is written, for targets that are only verified. It cannot be committed.
func Discard() *TargetWriter { return &TargetWriter{} }

// Write appends bytes.
func (w *TargetWriter) Write(data []byte) (int, error) {
	switch {
	case w.memory != nil:
		return w.memory.Write(data)
	case w.file != nil:
		return w.file.Write(data)
	}
	return len(data), nil
}

// Reset drops what was written, so that the target can be written from its start.
func (w *TargetWriter) Reset() error {
	if w.memory != nil {
		w.memory.Reset()
		return nil
	}
	if err := w.file.Truncate(0); err != nil {
		return err
	}
	_, err := w.file.Seek(0, io.SeekStart)
	return err
}

// Abort releases the writer and removes what was written. After Commit it does nothing.
func (w *TargetWriter) Abort() {
	if w.file != nil {
		w.file.Close()
		os.Remove(w.file.Name())
		w.file = nil
	}
}

// Commit puts the target in its place: readers find the previous contents or none before it, and all of the new ones
// after it.
func (w *TargetWriter) Commit(target *verifiedmetadata.Target) error {
	if w.memory != nil {
		w.store.memoryBytes += w.memory.Len() - len(w.store.memoryTargets[w.path])
		w.store.memoryTargets[w.path] = w.memory.Bytes()
		return w.record(target)
	}
	defer w.Abort()
	path := w.store.targetPath(w.path)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	if err := os.Rename(w.file.Name(), path); err != nil {
		return err
	}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return err
	}
	return w.record(target)
}

// record adds the target to the state.
func (w *TargetWriter) record(target *verifiedmetadata.Target) error {
	return w.store.update(func(next *state) {
		next.Targets[w.path] = fetchedTarget{Length: target.Length, Digest: digestOf(target)}
	})
}

func digestOf(target *verifiedmetadata.Target) []byte {
	if digest := target.Hashes["sha256"]; digest != nil {
		return digest
	}
	return target.Hashes["sha512"]
}

// targetPath returns the path of a target's file.
func (s *Store) targetPath(path string) string {
	return filepath.Join(s.folder, targetsFolder, filepath.FromSlash(path))
}

// OpenTarget opens a fetched target. Its contents may have been altered on disk since: whoever uses them verifies them
// again. It returns fs.ErrNotExist for a target that was not fetched.
func (s *Store) OpenTarget(path string) (io.ReadCloser, error) {
	if !verifiedmetadata.IsSafePath(path) {
		return nil, fs.ErrNotExist
	}
	if s.InMemory() {
		if contents, ok := s.memoryTargets[path]; ok {
			return io.NopCloser(bytes.NewReader(contents)), nil
		}
		return nil, fs.ErrNotExist
	}
	return os.Open(s.targetPath(path))
}

// RemoveTarget removes a target, first from the state: a kill in between leaves a file that is not listed, rather than
// a listed target without a file.
func (s *Store) RemoveTarget(path string) error {
	if err := s.update(func(next *state) { delete(next.Targets, path) }); err != nil {
		return err
	}
	if s.InMemory() {
		s.memoryBytes -= len(s.memoryTargets[path])
		delete(s.memoryTargets, path)
		return nil
	}
	return os.Remove(s.targetPath(path))
}

// TargetPaths returns the paths of the fetched targets, sorted.
func (s *Store) TargetPaths() []string { return slices.Sorted(maps.Keys(s.current.Targets)) }
