// Package tuftest is our stand-in for the release desk: a repository of metadata and targets whose keys are made as it
// starts, and mirrors of it on loopback with planted faults. It serves the tests and nothing else.
package tuftest

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/sigstore/sigstore/pkg/signature"
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Key signs for a role.
type Key struct {
	signer signature.Signer
	public *metadata.Key
}

// NewKey makes a key.
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

// Repository is what the release desk has signed. Files holds all that a mirror could serve, by name.
type Repository struct {
	Files      map[string][]byte
	Keys       map[string][]*Key // by role
	Root       *metadata.Metadata[metadata.RootType]
	Timestamp  *metadata.Metadata[metadata.TimestampType]
	Snapshot   *metadata.Metadata[metadata.SnapshotType]
	Targets    map[string]*metadata.Metadata[metadata.TargetsType]
	Validity   time.Duration // how long what is signed from here on lasts
	Now        func() time.Time
	consistent bool
}

// New makes a repository with a root of two keys, both needed, and one key for each other role.
func NewRepository(consistent bool, now func() time.Time) *Repository {
	r := &Repository{Files: map[string][]byte{}, Keys: map[string][]*Key{}, Validity: time.Hour, Now: now, consistent: consistent,
		Targets: map[string]*metadata.Metadata[metadata.TargetsType]{}}
	r.Root = metadata.Root(r.Expiry())
	r.Root.Signed.ConsistentSnapshot = consistent
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

// Until is when what is signed now expires.
func (r *Repository) Expiry() time.Time { return r.Now().Add(r.Validity).UTC().Truncate(time.Second) }

// AddKey gives a role one more key; what it signs changes with the next signing.
func (r *Repository) AddKey(role string) *Key {
	key := NewKey()
	r.Keys[role] = append(r.Keys[role], key)
	must(r.Root.Signed.AddKey(key.public, role))
	return key
}

// Replace gives a role a new key in the place of all it had.
func (r *Repository) ReplaceKeys(role string) {
	for _, key := range r.Keys[role] {
		id, err := key.public.ID()
		must(err)
		must(r.Root.Signed.RevokeKey(id, role))
	}
	r.Keys[role] = nil
	r.AddKey(role)
}

// SignRoot signs the root as it is by these keys and files it as its version.
func (r *Repository) SignRoot(by []*Key) {
	r.Root.Signed.Expires = r.Expiry()
	r.Files[fmt.Sprintf("%d.root.json", r.Root.Signed.Version)] = sign(r.Root, by)
}

// NextRoot files a root of the next version, signed by the keys of before and of now.
func (r *Repository) PublishRoot(change func()) {
	before := r.Keys[metadata.ROOT]
	by := append([]*Key(nil), before...)
	r.Root.Signed.Version++
	change()
	for _, key := range r.Keys[metadata.ROOT] {
		known := false
		for _, had := range before {
			known = known || had == key
		}
		if !known {
			by = append(by, key)
		}
	}
	r.SignRoot(by)
}

// FirstRoot is what an operator is handed.
func (r *Repository) InitialRoot() []byte { return r.Files["1.root.json"] }

func sign[T metadata.Roles](one *metadata.Metadata[T], by []*Key) []byte {
	one.ClearSignatures()
	for _, key := range by {
		_, err := one.Sign(key.signer)
		must(err)
	}
	text, err := one.ToBytes(false)
	must(err)
	return text
}

// Sign signs any metadata by keys: for what no honest desk would.
func Sign[T metadata.Roles](one *metadata.Metadata[T], by ...*Key) []byte { return sign(one, by) }

// Put lists a target in a role; blocks, where given, has it tell the hash of each so many bytes.
func (r *Repository) AddTarget(role, path string, data []byte, block int) {
	file, err := metadata.TargetFile().FromBytes(path, data, "sha256")
	must(err)
	if block > 0 {
		var blocks struct {
			Blocks struct {
				Size   int      `json:"size"`
				Sha256 []string `json:"sha256"`
			} `json:"blocks"`
		}
		blocks.Blocks.Size = block
		for from := 0; from < len(data); from += block {
			sum := sha256.Sum256(data[from:min(from+block, len(data))])
			blocks.Blocks.Sha256 = append(blocks.Blocks.Sha256, fmt.Sprintf("%x", sum))
		}
		text, err := json.Marshal(blocks)
		must(err)
		raw := json.RawMessage(text)
		file.Custom = &raw
	}
	r.Targets[role].Signed.Targets[path] = file
	name := path
	if r.consistent {
		at := 0
		for i := range path {
			if path[i] == '/' {
				at = i + 1
			}
		}
		name = fmt.Sprintf("%s%x.%s", path[:at], []byte(file.Hashes["sha256"]), path[at:])
	}
	r.Files["targets/"+name] = data
}

// Delegate has a role hand paths on to another, with a key of its own.
func (r *Repository) Delegate(from, to string, terminating bool, paths ...string) {
	if r.Keys[to] == nil {
		r.Keys[to] = []*Key{NewKey()}
		r.Targets[to] = metadata.Targets(r.Expiry())
		r.Targets[to].Signed.Version = 0
	}
	one := &r.Targets[from].Signed
	if one.Delegations == nil {
		one.Delegations = &metadata.Delegations{Keys: map[string]*metadata.Key{}}
	}
	key := r.Keys[to][0].public
	id, err := key.ID()
	must(err)
	one.Delegations.Keys[id] = key
	one.Delegations.Roles = append(one.Delegations.Roles, metadata.DelegatedRole{Name: to, KeyIDs: []string{id}, Threshold: 1,
		Terminating: terminating, Paths: paths})
}

// Publish signs targets, snapshot and timestamp of the next version.
func (r *Repository) Publish() {
	for role, one := range r.Targets {
		one.Signed.Version++
		one.Signed.Expires = r.Expiry()
		text := sign(one, r.Keys[role])
		r.Snapshot.Signed.Meta[role+".json"] = metaOf(one.Signed.Version, text)
		r.addFile(role, one.Signed.Version, text)
	}
	r.Snapshot.Signed.Version++
	r.Snapshot.Signed.Expires = r.Expiry()
	r.PutSnapshot(sign(r.Snapshot, r.Keys[metadata.SNAPSHOT]))
}

// PutSnapshot files a snapshot's bytes and has the next timestamp name them.
func (r *Repository) PutSnapshot(text []byte) {
	r.addFile(metadata.SNAPSHOT, r.Snapshot.Signed.Version, text)
	r.Timestamp.Signed.Meta["snapshot.json"] = metaOf(r.Snapshot.Signed.Version, text)
	r.PublishTimestamp()
}

// Stamp signs the next timestamp.
func (r *Repository) PublishTimestamp() {
	r.Timestamp.Signed.Version++
	r.Timestamp.Signed.Expires = r.Expiry()
	r.Files["timestamp.json"] = sign(r.Timestamp, r.Keys[metadata.TIMESTAMP])
}

func (r *Repository) addFile(role string, version int64, text []byte) {
	if r.consistent {
		r.Files[fmt.Sprintf("%d.%s.json", version, role)] = text
	} else {
		r.Files[role+".json"] = text
	}
}

func metaOf(version int64, text []byte) *metadata.MetaFiles {
	sum := sha256.Sum256(text)
	return &metadata.MetaFiles{Length: int64(len(text)), Version: version, Hashes: metadata.Hashes{"sha256": sum[:]}}
}

// Copy is all files as they are now.
func (r *Repository) CopyFiles() map[string][]byte { return maps.Clone(r.Files) }
