package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/google/renameio/v2"

	"laurelring/internal/verifiedmetadata"
)

// state is all stored data except the contents of the targets. It is stored in one file, which is replaced atomically.
type state struct {
	Records map[string]verifiedmetadata.Record `json:"records"`
	Targets map[string]fetchedTarget           `json:"targets"`
}

// fetchedTarget describes a target whose contents are in the store.
type fetchedTarget struct {
	Length int64  `json:"length"`
	Digest []byte `json:"sum"`
}

// emptyState returns a state without records and targets.
func emptyState() state {
	return state{Records: map[string]verifiedmetadata.Record{}, Targets: map[string]fetchedTarget{}}
}

// encodeState returns the contents of a state file: the SHA-256 digest of the body in hexadecimal, a line feed and the
// body, which is JSON.
func encodeState(current state) ([]byte, error) {
	body, err := json.Marshal(current)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%x\n%s", sha256.Sum256(body), body), nil
}

// decodeState parses the contents of a state file. It returns errDamaged if they do not match their digest or are not
// valid JSON.
func decodeState(contents []byte) (state, error) {
	digest, body, ok := bytes.Cut(contents, []byte{'\n'})
	if want := fmt.Sprintf("%x", sha256.Sum256(body)); !ok || string(digest) != want {
		return state{}, fmt.Errorf("%w: %d bytes do not match their hash", errDamaged, len(contents))
	}
	decoded := emptyState()
	if err := json.Unmarshal(body, &decoded); err != nil {
		return state{}, fmt.Errorf("%w: %w", errDamaged, err)
	}
	return decoded, nil
}

// readState reads and parses a state file.
func readState(path string) (state, error) {
	contents, err := os.ReadFile(path)
	if err != nil {
		return state{}, err
	}
	return decodeState(contents)
}

// loadState reads the state file, or the previous state file if the current one is damaged or missing. It renames a
// damaged state file for inspection, and starts from an empty state if the previous one cannot be used either.
func (s *Store) loadState() error {
	var err error
	if s.current, err = readState(s.path(stateName)); err == nil {
		return nil
	}
	exists := !errors.Is(err, fs.ErrNotExist)
	if exists && !errors.Is(err, errDamaged) {
		return err
	}
	previous, previousErr := readState(s.path(previousStateName))
	if exists {
		s.damage = err
		if err := os.Rename(s.path(stateName), s.path(damagedStateName)); err != nil {
			return err
		}
	}
	switch {
	case previousErr == nil:
		s.current = previous
		if s.damage == nil {
			s.damage = fmt.Errorf("%w: its state file is missing", errDamaged)
		}
		return s.writeState(s.current)
	case errors.Is(previousErr, fs.ErrNotExist), errors.Is(previousErr, errDamaged):
		s.current = emptyState()
		return nil
	}
	return previousErr
}

// writeState replaces the state file atomically and keeps the previous one. If the state file exists, a kill at any
// time leaves either its previous or its new contents, never a mixture.
func (s *Store) writeState(next state) error {
	contents, err := encodeState(next)
	if err != nil {
		return err
	}
	pending, err := renameio.NewPendingFile(s.path(stateName), renameio.WithTempDir(s.path(partsFolder)), renameio.WithPermissions(0o600))
	if err != nil {
		return err
	}
	defer pending.Cleanup()
	if _, err := pending.Write(contents); err != nil {
		return err
	}
	os.Remove(s.path(previousStateName))
	if err := os.Link(s.path(stateName), s.path(previousStateName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := pending.CloseAtomicallyReplace(); err != nil {
		return err
	}
	return syncFolder(s.folder)
}

// syncFolder syncs a folder, so that file creations and renames in it survive a crash.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
