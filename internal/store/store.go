// Package store persists verified metadata and fetched targets over a restart. The records of all roles change
// together or not at all; versions never go back; a file that was cut off or altered on disk is detected, reported and
// never used. Without a folder everything is held in memory and lost with the process.
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

// Errors that a caller can act on. Their texts are part of what gatewayctl prints.
var (
	// ErrInUse is returned by Open while another process holds the store's lock.
	ErrInUse = errors.New("another process holds the store")
	// ErrRollback is returned by Put for a record whose version is lower than the stored one.
	ErrRollback = errors.New("the version would go back")
	// ErrMemoryFull is returned by CreateTarget where a target exceeds the memory left for targets.
	ErrMemoryFull = errors.New("no room in memory for the target")

	errDamaged = errors.New("the store is damaged")
)

// Names in the store's folder. They are a stored form: other versions of the program read them.
const (
	fileName      = "trust"
	previousName  = "trust.old"     // the state before the last change
	damagedName   = "trust.damaged" // the last state file that was found damaged, for inspection
	lockName      = "lock"
	targetsFolder = "targets"
	partsFolder   = "parts" // unfinished files
)

// Store holds the records and targets. It is not safe for concurrent use.
type Store struct {
	folder        string // empty: everything is in memory
	lock          *os.File
	current       state
	memoryTargets map[string][]byte // contents by path, without a folder
	memoryBytes   int
	damage        error
}

// NewMemory returns a store that lives in memory and is lost with the process.
func NewMemory() *Store {
	return &Store{current: emptyState(), memoryTargets: map[string][]byte{}}
}

// Open opens the store in a folder, which it creates if there is none. Where the state file is damaged or missing, the
// previous state is used, or an empty one if there is none; Damage reports that. It returns ErrInUse while another
// process holds the store.
func Open(folder string) (*Store, error) {
	s := &Store{folder: folder}
	if err := os.MkdirAll(s.path(partsFolder), 0o700); err != nil {
		return nil, err
	}
	var err error
	if s.lock, err = acquireLock(s.path(lockName)); err != nil {
		return nil, err
	}
	if err := s.load(); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.removeParts(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// removeParts removes what interrupted writes left behind.
func (s *Store) removeParts() error {
	parts, err := os.ReadDir(s.path(partsFolder))
	if err != nil {
		return err
	}
	for _, part := range parts {
		os.Remove(filepath.Join(s.path(partsFolder), part.Name()))
	}
	return nil
}

// path returns the path of a name in the store's folder.
func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// Damage returns what was found damaged when the store was opened, or nil. What was stored after the previous state is
// then lost, or everything.
func (s *Store) Damage() error { return s.damage }

// InMemory reports whether nothing outlives the process.
func (s *Store) InMemory() bool { return s.folder == "" }

// Close releases the store's lock.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	err := s.lock.Close()
	s.lock = nil
	return err
}

// Records returns all records, ordered by name.
func (s *Store) Records() []verifiedmetadata.Record {
	var records []verifiedmetadata.Record
	for _, name := range slices.Sorted(maps.Keys(s.current.Records)) {
		records = append(records, s.current.Records[name])
	}
	return records
}

// Put stores records, all of them or none; one without bytes is deleted. A version lower than the stored one is
// refused with ErrRollback, unless the record allows it.
func (s *Store) Put(records []verifiedmetadata.Record) error {
	for _, record := range records {
		stored, ok := s.current.Records[record.Name]
		if ok && !record.AllowRollback && record.Bytes != nil && record.Version < stored.Version {
			return fmt.Errorf("%s: %w", record.Name, ErrRollback)
		}
	}
	return s.update(func(next *state) {
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

// update changes a copy of the state and makes it durable. On an error the state stays as it was.
func (s *Store) update(change func(*state)) error {
	next := state{Records: maps.Clone(s.current.Records), Targets: maps.Clone(s.current.Targets)}
	change(&next)
	if !s.InMemory() {
		if s.lock == nil {
			return os.ErrClosed
		}
		if err := s.write(next); err != nil {
			return err
		}
	}
	s.current = next
	return nil
}
