package verifiedmetadata

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Record is a part of the verifier's state that is stored to survive a restart. The store writes its JSON encoding to
// disk, so the encoding must stay compatible.
type Record struct {
	Name    string `json:"Name"` // a role name, lastRefreshRecord or newestTimestampRecord
	Version int64  `json:"Version"`
	Bytes   []byte `json:"Bytes"` // contents; nil deletes the record
	// AllowRollback permits a version lower than the stored one, because the keys that signed the stored version are
	// no longer trusted.
	AllowRollback bool `json:"Anew"`
}

// Names of the records that do not hold the trusted metadata of a role.
const (
	lastRefreshRecord = "fresh" // the time of the last successful refresh
	// newestTimestampRecord holds the timestamp that was verified in a refresh that did not complete, and may be newer
	// than the trusted one. It is stored so that older timestamps are refused as a rollback.
	newestTimestampRecord = "seen"
)

// putRecord sets the contents of a record and marks it as changed.
func (v *Verifier) putRecord(name string, contents []byte) {
	v.stored[name] = contents
	v.changed[name] = true
}

// deleteRecord deletes a record and allows a lower version to replace it in the store.
func (v *Verifier) deleteRecord(name string) {
	if v.stored[name] != nil {
		delete(v.stored, name)
		v.changed[name], v.rollbackAllowed[name] = true, true
	}
}

// TakeChanges returns the records that have changed since the last call, sorted by name. A store must apply all of them
// or none, as they form one consistent set.
func (v *Verifier) TakeChanges() []Record {
	var changes []Record
	for name := range v.changed {
		changes = append(changes, v.recordToStore(name))
	}
	clear(v.changed)
	clear(v.rollbackAllowed)
	slices.SortFunc(changes, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// RestoreChanges marks records as changed again after a store failed to write them.
func (v *Verifier) RestoreChanges(records []Record) {
	for _, record := range records {
		v.changed[record.Name] = true
		if record.AllowRollback && record.Name != lastRefreshRecord {
			v.rollbackAllowed[record.Name] = true
		}
	}
}

// recordToStore returns the current form of a changed record.
func (v *Verifier) recordToStore(name string) Record {
	switch name {
	case metadata.ROOT:
		return Record{Name: name, Version: versionOf(v.root), Bytes: v.root}
	case lastRefreshRecord:
		contents, _ := json.Marshal(v.refreshedAt) // encoding an integer cannot fail
		// This time may decrease: an operator may correct a clock that was ahead.
		return Record{Name: name, Version: v.refreshedAt, Bytes: contents, AllowRollback: true}
	}
	return Record{Name: name, Version: versionOf(v.stored[name]), Bytes: v.stored[name], AllowRollback: v.rollbackAllowed[name]}
}

// versionOf returns the version in a metadata file, or 0 if it cannot be read.
func versionOf(contents []byte) int64 {
	var parsed struct {
		Signed struct{ Version int64 }
	}
	if json.Unmarshal(contents, &parsed) != nil {
		return 0
	}
	return parsed.Signed.Version
}
