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

// state is everything that is stored but the targets' contents. It is one file, replaced atomically.
type state struct {
	Records map[string]verifiedmetadata.Record `json:"records"`
	Targets map[string]fetchedTarget           `json:"targets"`
}

// fetchedTarget is what is recorded of a target in the store.
type fetchedTarget struct {
	Length int64  `json:"length"`
	Digest []byte `json:"sum"`
}

func emptyState() state {
	return state{Records: map[string]verifiedmetadata.Record{}, Targets: map[string]fetchedTarget{}}
}

// encode returns the contents of a state file: the SHA-256 digest of the body in hex, a line feed, and the body.
func encode(current state) ([]byte, error) {
	body, err := json.Marshal(current)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%x\n%s", sha256.Sum256(body), body), nil
}

// decode reads the contents of a state file. It returns errDamaged where they do not match their digest.
func decode(contents []byte) (state, error) {
	digest, body, ok := bytes.Cut(contents, []byte{'\n'})
	if want := fmt.Sprintf("%x", sha256.Sum256(body)); !ok || string(digest) != want {
		return state{}, fmt.Errorf("%w: %d bytes do not bear out their hash", errDamaged, len(contents))
	}
	decoded := emptyState()
	if err := json.Unmarshal(body, &decoded); err != nil {
		return state{}, fmt.Errorf("%w: %w", errDamaged, err)
	}
	return decoded, nil
}

func readState(path string) (state, error) {
	contents, err := os.ReadFile(path)
	if err != nil {
		return state{}, err
	}
	return decode(contents)
}

// load reads the state, or the previous one where the state is damaged or missing.
func (s *Store) load() error {
	var err error
	if s.current, err = readState(s.path(fileName)); err == nil {
		return nil
	}
	exists := !errors.Is(err, fs.ErrNotExist)
	if exists && !errors.Is(err, errDamaged) {
		return err
	}
	previous, previousErr := readState(s.path(previousName))
	if exists {
		s.damage = err
		if err := os.Rename(s.path(fileName), s.path(damagedName)); err != nil {
			return err
		}
	}
	switch {
	case previousErr == nil:
		s.current = previous
		if s.damage == nil {
			s.damage = fmt.Errorf("%w: its file is gone", errDamaged)
		}
		return s.write(s.current)
	case errors.Is(previousErr, fs.ErrNotExist), errors.Is(previousErr, errDamaged):
		s.current = emptyState()
		return nil
	}
	return previousErr
}

// write replaces the state file. A kill at any moment leaves the previous or the new contents, never a mixture.
func (s *Store) write(next state) error {
	contents, err := encode(next)
	if err != nil {
		return err
	}
	pending, err := renameio.NewPendingFile(s.path(fileName), renameio.WithTempDir(s.path(partsFolder)), renameio.WithPermissions(0o600))
	if err != nil {
		return err
	}
	defer pending.Cleanup()
	if _, err := pending.Write(contents); err != nil {
		return err
	}
	os.Remove(s.path(previousName))
	if err := os.Link(s.path(fileName), s.path(previousName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := pending.CloseAtomicallyReplace(); err != nil {
		return err
	}
	return syncFolder(s.folder)
}

// syncFolder makes the names in a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
