package verifiedmetadata

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Record is a piece of the verifier's state to be stored over a restart. Its JSON form is a stored form.
type Record struct {
	Name    string `json:"Name"` // the role's name, or one of the two record names below
	Version int64  `json:"Version"`
	Bytes   []byte `json:"Bytes"` // nil: the record is to be deleted
	// AllowRollback says that a lower version may follow: the keys that signed the stored one are no longer trusted.
	AllowRollback bool `json:"Anew"`
}

// Names of records that are no role's metadata.
const (
	lastRefreshRecord = "fresh" // the moment of the last successful refresh
	// newestTimestampRecord is a timestamp newer than the trusted one, whose refresh did not succeed. No older one is
	// accepted after it.
	newestTimestampRecord = "seen"
)

// store sets a record's contents.
func (v *Verifier) store(name string, contents []byte) {
	v.stored[name] = contents
	v.changed[name] = true
}

// drop deletes a record, after which a lower version may follow.
func (v *Verifier) drop(name string) {
	if v.stored[name] != nil {
		delete(v.stored, name)
		v.changed[name], v.versionsReset[name] = true, true
	}
}

// TakeChanges returns the records that have changed since the last call, ordered by name. They belong together: a
// store must take all of them or none.
func (v *Verifier) TakeChanges() []Record {
	var changes []Record
	for name := range v.changed {
		changes = append(changes, v.record(name))
	}
	clear(v.changed)
	clear(v.versionsReset)
	slices.SortFunc(changes, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// RestoreChanges marks records that could not be stored as changed again.
func (v *Verifier) RestoreChanges(records []Record) {
	for _, record := range records {
		v.changed[record.Name] = true
		if record.AllowRollback && record.Name != lastRefreshRecord {
			v.versionsReset[record.Name] = true
		}
	}
}

func (v *Verifier) record(name string) Record {
	switch name {
	case metadata.ROOT:
		return Record{Name: name, Version: versionOf(v.root), Bytes: v.root}
	case lastRefreshRecord:
		contents, _ := json.Marshal(v.refreshedAt) // a number cannot fail
		// The moment may go back: an operator may set a clock right that was ahead.
		return Record{Name: name, Version: v.refreshedAt, Bytes: contents, AllowRollback: true}
	}
	return Record{Name: name, Version: versionOf(v.stored[name]), Bytes: v.stored[name], AllowRollback: v.versionsReset[name]}
}

// versionOf reads the version of a metadata file, 0 where there is none.
func versionOf(contents []byte) int64 {
	var parsed struct {
		Signed struct{ Version int64 }
	}
	if json.Unmarshal(contents, &parsed) != nil {
		return 0
	}
	return parsed.Signed.Version
}
