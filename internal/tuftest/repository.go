// Package tuftest provides a TUF repository with keys generated at run time, and mirrors of it on loopback that can
// simulate faults. It is only for tests and panics if signing fails.
package tuftest

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sigstore/sigstore/pkg/signature"
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Key is a key pair of a role.
type Key struct {
	signer signature.Signer
	public *metadata.Key
}

// NewKey generates an Ed25519 key pair.
func NewKey() *Key {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	must(err)
	signer, err := signature.LoadSigner(private, crypto.Hash(0))
	must(err)
	key, err := metadata.KeyFromPublicKey(public)
	must(err)
	return &Key{signer, key}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Repository signs metadata and holds all files for mirrors to serve. Tests may change its metadata and files to
// publish invalid or malicious ones. It is not safe for concurrent use.
type Repository struct {
	Files              map[string][]byte // by name
	Keys               map[string][]*Key // by role
	Root               *metadata.Metadata[metadata.RootType]
	Timestamp          *metadata.Metadata[metadata.TimestampType]
	Snapshot           *metadata.Metadata[metadata.SnapshotType]
	Targets            map[string]*metadata.Metadata[metadata.TargetsType]
	Validity           time.Duration // time from signing to expiration, for metadata signed from now on
	Now                func() time.Time
	consistentSnapshot bool
}

// NewRepository returns a repository that has published a first version. The root has two keys and a threshold of two,
// each other role has one key. The argument consistentSnapshot selects consistent snapshots.
func NewRepository(consistentSnapshot bool, now func() time.Time) *Repository {
	r := &Repository{
		Files:              map[string][]byte{},
		Keys:               map[string][]*Key{},
		Targets:            map[string]*metadata.Metadata[metadata.TargetsType]{},
		Validity:           time.Hour,
		Now:                now,
		consistentSnapshot: consistentSnapshot,
	}
	r.Root = metadata.Root(r.Expiry())
	r.Root.Signed.ConsistentSnapshot = consistentSnapshot
	for _, role := range metadata.TOP_LEVEL_ROLE_NAMES {
		r.AddKey(role)
	}
	r.AddKey(metadata.ROOT)
	r.Root.Signed.Roles[metadata.ROOT].Threshold = 2
	r.SignRoot(r.Keys[metadata.ROOT])
	r.Targets[metadata.TARGETS] = metadata.Targets(r.Expiry())
	r.Targets[metadata.TARGETS].Signed.Version = 0
	r.Snapshot, r.Timestamp = metadata.Snapshot(r.Expiry()), metadata.Timestamp(r.Expiry())
	r.Snapshot.Signed.Version, r.Timestamp.Signed.Version = 0, 0
	r.Publish()
	return r
}

// Expiry returns the expiration time of metadata that is signed now.
func (r *Repository) Expiry() time.Time { return r.Now().Add(r.Validity).UTC().Truncate(time.Second) }

// AddKey adds a new key to a top-level role. The change takes effect with the next signed root.
func (r *Repository) AddKey(role string) *Key {
	key := NewKey()
	r.Keys[role] = append(r.Keys[role], key)
	must(r.Root.Signed.AddKey(key.public, role))
	return key
}

// ReplaceKeys revokes all keys of a top-level role and adds one new key.
func (r *Repository) ReplaceKeys(role string) {
	for _, key := range r.Keys[role] {
		id, err := key.public.ID()
		must(err)
		must(r.Root.Signed.RevokeKey(id, role))
	}
	r.Keys[role] = nil
	r.AddKey(role)
}

// SignRoot signs the current root with keys and publishes it under its version number.
func (r *Repository) SignRoot(keys []*Key) {
	r.Root.Signed.Expires = r.Expiry()
	r.Files[fmt.Sprintf("%d.root.json", r.Root.Signed.Version)] = Sign(r.Root, keys...)
}

// PublishRoot applies a change to the root and publishes it as the next version, signed with the previous and the new
// root keys.
func (r *Repository) PublishRoot(change func()) {
	previous := r.Keys[metadata.ROOT]
	signers := slices.Clone(previous)
	r.Root.Signed.Version++
	change()
	for _, key := range r.Keys[metadata.ROOT] {
		if !slices.Contains(previous, key) {
			signers = append(signers, key)
		}
	}
	r.SignRoot(signers)
}

// InitialRoot returns version 1 of the root metadata, which an operator would receive out of band.
func (r *Repository) InitialRoot() []byte { return r.Files["1.root.json"] }

// Sign returns metadata signed with the given keys only, which need not be keys of its role.
func Sign[T metadata.Roles](unsigned *metadata.Metadata[T], keys ...*Key) []byte {
	unsigned.ClearSignatures()
	for _, key := range keys {
		_, err := unsigned.Sign(key.signer)
		must(err)
	}
	contents, err := unsigned.ToBytes(false)
	must(err)
	return contents
}

// AddTarget lists a target in a role and adds its file. With a block size above 0 the role also lists the hash of each
// block.
func (r *Repository) AddTarget(role, path string, contents []byte, blockSize int) {
	file, err := metadata.TargetFile().FromBytes(path, contents, "sha256")
	must(err)
	if blockSize > 0 {
		custom := blockHashList(contents, blockSize)
		file.Custom = &custom
	}
	r.Targets[role].Signed.Targets[path] = file
	name := path
	if r.consistentSnapshot {
		base := strings.LastIndexByte(path, '/') + 1
		name = fmt.Sprintf("%s%x.%s", path[:base], []byte(file.Hashes["sha256"]), path[base:])
	}
	r.Files["targets/"+name] = contents
}

// blockHashList returns the custom field of a target, which lists the SHA-256 hashes of its blocks.
func blockHashList(contents []byte, blockSize int) json.RawMessage {
	var custom struct {
		Blocks struct {
			Size   int      `json:"size"`
			Sha256 []string `json:"sha256"`
		} `json:"blocks"`
	}
	custom.Blocks.Size = blockSize
	for block := range slices.Chunk(contents, blockSize) {
		custom.Blocks.Sha256 = append(custom.Blocks.Sha256, fmt.Sprintf("%x", sha256.Sum256(block)))
	}
	encoded, err := json.Marshal(custom)
	must(err)
	return encoded
}

// Delegate adds a delegation of paths from one targets role to another, with a threshold of one. A new role gets a key
// of its own.
func (r *Repository) Delegate(from, to string, terminating bool, paths ...string) {
	if r.Keys[to] == nil {
		r.Keys[to] = []*Key{NewKey()}
		r.Targets[to] = metadata.Targets(r.Expiry())
		r.Targets[to].Signed.Version = 0
	}
	delegator := &r.Targets[from].Signed
	if delegator.Delegations == nil {
		delegator.Delegations = &metadata.Delegations{Keys: map[string]*metadata.Key{}}
	}
	key := r.Keys[to][0].public
	id, err := key.ID()
	must(err)
	delegator.Delegations.Keys[id] = key
	delegator.Delegations.Roles = append(delegator.Delegations.Roles, metadata.DelegatedRole{Name: to, KeyIDs: []string{id}, Threshold: 1,
		Terminating: terminating, Paths: paths})
}

// Publish signs and publishes the next version of all targets roles, the snapshot and the timestamp.
func (r *Repository) Publish() {
	for role, targets := range r.Targets {
		targets.Signed.Version++
		targets.Signed.Expires = r.Expiry()
		contents := Sign(targets, r.Keys[role]...)
		r.Snapshot.Signed.Meta[role+".json"] = fileInfo(targets.Signed.Version, contents)
		r.addFile(role, targets.Signed.Version, contents)
	}
	r.Snapshot.Signed.Version++
	r.Snapshot.Signed.Expires = r.Expiry()
	r.PublishSnapshot(Sign(r.Snapshot, r.Keys[metadata.SNAPSHOT]...))
}

// PublishSnapshot publishes the contents of a signed snapshot and a new timestamp that lists their length and hash.
func (r *Repository) PublishSnapshot(contents []byte) {
	r.addFile(metadata.SNAPSHOT, r.Snapshot.Signed.Version, contents)
	r.Timestamp.Signed.Meta["snapshot.json"] = fileInfo(r.Snapshot.Signed.Version, contents)
	r.PublishTimestamp()
}

// PublishTimestamp signs and publishes the next version of the timestamp.
func (r *Repository) PublishTimestamp() {
	r.Timestamp.Signed.Version++
	r.Timestamp.Signed.Expires = r.Expiry()
	r.Files["timestamp.json"] = Sign(r.Timestamp, r.Keys[metadata.TIMESTAMP]...)
}

// addFile adds a metadata file of a role, with the version in its name if consistent snapshots are used.
func (r *Repository) addFile(role string, version int64, contents []byte) {
	if r.consistentSnapshot {
		r.Files[fmt.Sprintf("%d.%s.json", version, role)] = contents
	} else {
		r.Files[role+".json"] = contents
	}
}

// fileInfo returns the version, length and hash of a metadata file, as a snapshot or timestamp lists them.
func fileInfo(version int64, contents []byte) *metadata.MetaFiles {
	digest := sha256.Sum256(contents)
	return &metadata.MetaFiles{Length: int64(len(contents)), Version: version, Hashes: metadata.Hashes{"sha256": digest[:]}}
}

// CopyFiles returns a copy of the map of current files.
func (r *Repository) CopyFiles() map[string][]byte { return maps.Clone(r.Files) }
