// Package store persists verified metadata and fetched targets across restarts. Changes of several records are atomic.
// Record versions never decrease, unless a record allows a rollback. A state file that was truncated or altered on disk
// is detected, reported and never used. Without a folder all data are held in memory and lost when the process ends.
package store

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"laurelring/internal/verifiedmetadata"
)

// Errors that callers can handle. Their texts are part of the output of gatewayctl.
var (
	// ErrInUse is returned by Open if another process holds the lock of the store.
	ErrInUse = errors.New("another process holds the store")
	// ErrRollback is returned by Put if the version of a record is lower than the stored version.
	ErrRollback = errors.New("version is lower than the stored version")
	// ErrMemoryFull is returned by CreateTarget if a target does not fit into the memory that is left for targets.
	ErrMemoryFull = errors.New("no room in memory for the target")

	errDamaged = errors.New("the store is damaged")
)

// File and folder names in the store's folder. They must not change, as other versions of the program read them.
const (
	stateName         = "trust"         // the current state
	previousStateName = "trust.old"     // the state before the last change
	damagedStateName  = "trust.damaged" // the last state file that was found damaged, kept for inspection
	lockName          = "lock"
	targetsFolder     = "targets"
	partsFolder       = "parts" // unfinished files, removed by Open
)

// Store holds records of verified metadata and fetched targets. It is not safe for concurrent use.
type Store struct {
	folder        string   // empty if all data are in memory
	lock          *os.File // nil if all data are in memory, and after Close
	current       state
	memoryTargets map[string][]byte // contents by target path, if all data are in memory
	memoryBytes   int               // total size of memoryTargets
	damage        error             // damage found by Open, or nil
}

// NewMemory returns a store that holds all data in memory. They are lost when the process ends.
func NewMemory() *Store {
	return &Store{current: emptyState(), memoryTargets: map[string][]byte{}}
}

// Open opens the store in a folder, which it creates if it does not exist. If the state file is damaged or missing,
// Open uses the previous state, or an empty state if there is no usable previous one. Damage reports this, unless the
// state file is missing and there is no usable previous one. Open returns ErrInUse if another process holds the store.
func Open(folder string) (*Store, error) {
	s := &Store{folder: folder}
	if err := os.MkdirAll(s.path(partsFolder), 0o700); err != nil {
		return nil, err
	}
	var err error
	if s.lock, err = acquireLock(s.path(lockName)); err != nil {
		return nil, err
	}
	if err := s.loadState(); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.removeUnfinishedFiles(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// removeUnfinishedFiles removes the files that interrupted writes left behind.
func (s *Store) removeUnfinishedFiles() error {
	parts, err := os.ReadDir(s.path(partsFolder))
	if err != nil {
		return err
	}
	for _, part := range parts {
		os.Remove(filepath.Join(s.path(partsFolder), part.Name()))
	}
	return nil
}

// path returns the path of a file or folder in the store's folder.
func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// Damage returns an error that describes the damage found when the store was opened, or nil. In case of damage, the
// last change of the state is lost, or all stored data if no previous state could be used.
func (s *Store) Damage() error { return s.damage }

// InMemory reports whether all data are held in memory and lost when the process ends.
func (s *Store) InMemory() bool { return s.folder == "" }

// Close releases the lock of the store.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	err := s.lock.Close()
	s.lock = nil
	return err
}

// Records returns all records, sorted by name.
func (s *Store) Records() []verifiedmetadata.Record {
	var records []verifiedmetadata.Record
	for _, name := range slices.Sorted(maps.Keys(s.current.Records)) {
		records = append(records, s.current.Records[name])
	}
	return records
}

// Put stores records atomically: all of them or none. A record with nil Bytes is deleted. Put returns ErrRollback if a
// version is lower than the stored one and the record does not allow a rollback.
func (s *Store) Put(records []verifiedmetadata.Record) error {
	for _, record := range records {
		stored, ok := s.current.Records[record.Name]
		if ok && !record.AllowRollback && record.Bytes != nil && record.Version < stored.Version {
			return fmt.Errorf("%s: %w", record.Name, ErrRollback)
		}
	}
	return s.updateState(func(next *state) {
		for _, record := range records {
			if record.Bytes == nil {
				delete(next.Records, record.Name)
				continue
			}
			record.AllowRollback = false
			next.Records[record.Name] = record
		}
	})
}

// updateState applies a change to a copy of the state and writes the copy to disk, unless the store is in memory. On an
// error the state in use stays unchanged.
func (s *Store) updateState(change func(*state)) error {
	next := state{Records: maps.Clone(s.current.Records), Targets: maps.Clone(s.current.Targets)}
	change(&next)
	if !s.InMemory() {
		if s.lock == nil {
			return os.ErrClosed
		}
		if err := s.writeState(next); err != nil {
			return err
		}
	}
	s.current = next
	return nil
}
