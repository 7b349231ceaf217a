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

const maxMemoryBytes = 64 << 20 // maximum total size of the targets of a store in memory

// TargetWriter receives the contents of a target that is being fetched. The store does not contain them before Commit.
type TargetWriter struct {
	store  *Store
	path   string
	file   *os.File
	memory *bytes.Buffer
}

// CreateTarget returns a writer for a target with a length in bytes. It returns ErrMemoryFull if a store in memory has
// no room for the target, and an error if the path could point outside the store's folder.
func (s *Store) CreateTarget(path string, length int64) (*TargetWriter, error) {
	if !verifiedmetadata.IsSafePath(path) {
		return nil, fmt.Errorf("path %q could leave the store's folder", path)
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

// Discard returns a writer that discards all bytes, for targets that are only verified. It must not be committed.
func Discard() *TargetWriter { return &TargetWriter{} }

// Write appends data to the target's contents.
func (w *TargetWriter) Write(data []byte) (int, error) {
	switch {
	case w.memory != nil:
		return w.memory.Write(data)
	case w.file != nil:
		return w.file.Write(data)
	}
	return len(data), nil
}

// Reset discards all written bytes, so that the target can be written again from its start.
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

// Abort closes the writer and removes its unfinished file. After Commit it does nothing.
func (w *TargetWriter) Abort() {
	if w.file != nil {
		w.file.Close()
		os.Remove(w.file.Name())
		w.file = nil
	}
}

// Commit replaces the target's contents atomically and adds the target to the state. Before, readers find the previous
// contents or none, and afterwards all of the new contents.
func (w *TargetWriter) Commit(target *verifiedmetadata.Target) error {
	if w.memory != nil {
		w.store.memoryBytes += w.memory.Len() - len(w.store.memoryTargets[w.path])
		w.store.memoryTargets[w.path] = w.memory.Bytes()
		return w.recordTarget(target)
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
	return w.recordTarget(target)
}

// recordTarget adds the target to the state.
func (w *TargetWriter) recordTarget(target *verifiedmetadata.Target) error {
	return w.store.updateState(func(next *state) {
		next.Targets[w.path] = fetchedTarget{Length: target.Length, Digest: digestOf(target)}
	})
}

// digestOf returns the digest that is recorded for a target: SHA-256, or SHA-512 if the role lists no SHA-256 hash.
func digestOf(target *verifiedmetadata.Target) []byte {
	if digest := target.Hashes["sha256"]; digest != nil {
		return digest
	}
	return target.Hashes["sha512"]
}

// targetPath returns the file path of a target's contents.
func (s *Store) targetPath(path string) string {
	return filepath.Join(s.folder, targetsFolder, filepath.FromSlash(path))
}

// OpenTarget opens the contents of a fetched target. They may have been altered on disk since, so callers must verify
// them again before use. OpenTarget returns fs.ErrNotExist for a target that was not fetched.
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

// RemoveTarget removes a target from the state and then deletes its contents. In this order, a kill in between leaves a
// file that is not listed rather than a listed target without a file.
func (s *Store) RemoveTarget(path string) error {
	if err := s.updateState(func(next *state) { delete(next.Targets, path) }); err != nil {
		return err
	}
	if s.InMemory() {
		s.memoryBytes -= len(s.memoryTargets[path])
		delete(s.memoryTargets, path)
		return nil
	}
	return os.Remove(s.targetPath(path))
}

// TargetPaths returns the sorted paths of the fetched targets.
func (s *Store) TargetPaths() []string { return slices.Sorted(maps.Keys(s.current.Targets)) }
