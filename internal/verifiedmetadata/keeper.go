package verifiedmetadata

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"github.com/theupdateframework/go-tuf/v2/metadata/trustedmetadata"
)

// Limits bound what is read and followed, and for how long what was trusted stands.
type Limits struct {
	RootBytes, TimestampBytes, SnapshotBytes, TargetsBytes int64 // bytes of one file of the role
	RootRotations                                          int   // new roots in one refresh
	DelegationDepth, DelegatedRoles                        int   // of delegations followed for one target
	MaxStaleness                                           int64 // ns: how long the last trusted state stands without a fresh one
	ClockSlack                                             int64 // ns by which the clock may stand before the last refresh
}

// Ordinary limits are those of the specification's examples, with room.
var DefaultLimits = Limits{RootBytes: 512 << 10, TimestampBytes: 16 << 10, SnapshotBytes: 2 << 20, TargetsBytes: 5 << 20, RootRotations: 32,
	DelegationDepth: 8, DelegatedRoles: 32, MaxStaleness: int64(24 * time.Hour), ClockSlack: int64(time.Minute)}

// Want is a file that is needed next.
type NeededFile struct {
	Role     string
	Name     string // as a mirror has it
	MaxBytes int64  // bytes
	Optional bool   // that it is missing is an answer: there is no newer root
}

// Record is one thing to be kept over a restart.
type Record struct {
	Name    string // the role, or "fresh" for the moment of the last refresh
	Version int64
	Bytes   []byte // nil: nothing is kept of it any more
	// AllowRollback says that a lower version may follow: the keys that signed the stored one are no longer trusted.
	AllowRollback bool `json:"Anew"`
}

const (
	fresh = "fresh" // names the record of the moment of the last refresh
	seen  = "seen"  // and that of a newer timestamp, whose refresh did not end well: no older one is taken after it
)

// Keeper keeps what is trusted. It is owned by one goroutine.
type Verifier struct {
	limits  Limits
	root    []byte
	kept    map[string][]byte // of each other role the bytes last trusted
	current *trustedmetadata.TrustedMetadata
	freshAt int64 // when a refresh last ended well; 0 if none has

	next      *trustedmetadata.TrustedMetadata // under way
	staged    map[string][]byte                // what it has brought
	rotations int
	dirty     map[string]bool // records that have changed
	anew      map[string]bool // and were dropped in between
}

// New starts from a root that the operator trusts, and from what was kept since. A record that does not verify
// under the roots is left out and told.
func NewVerifier(root []byte, limits Limits, kept []Record) (*Verifier, []*VerificationError) {
	k := &Verifier{limits: limits, root: root, kept: map[string][]byte{}, dirty: map[string]bool{},
		anew: map[string]bool{}}
	mine, refused := readRoot(root)
	if refused != nil {
		return nil, []*VerificationError{refused}
	}
	var left []*VerificationError
	for _, r := range kept {
		switch r.Name {
		case metadata.ROOT:
			had, refused := readRoot(r.Bytes)
			if refused != nil {
				left = append(left, refused)
			} else if had.Signed.Version > mine.Signed.Version {
				k.root = r.Bytes
			}
		case fresh:
			json.Unmarshal(r.Bytes, &k.freshAt)
		default:
			k.kept[r.Name] = r.Bytes
		}
	}
	if k.freshAt > 0 {
		left = append(left, k.resume()...)
	}
	return k, left
}

func readRoot(text []byte) (*metadata.Metadata[metadata.RootType], *VerificationError) {
	had, err := trustedmetadata.New(text)
	if err != nil {
		return nil, why(metadata.ROOT, err, ReasonMissingVersion)
	}
	return had.Root, nil
}

// resume brings what was kept to what it was, as of the last refresh.
func (k *Verifier) resume() (left []*VerificationError) {
	k.next = k.fresh(k.freshAt)
	defer func() { k.next = nil }()
	for _, role := range []string{metadata.TIMESTAMP, metadata.SNAPSHOT, metadata.TARGETS} {
		if refused := k.load(role, k.kept[role], true); refused != nil {
			return append(left, refused)
		}
	}
	k.current = k.next
	for _, role := range k.delegated() {
		if _, done := k.current.Targets[role]; done {
			continue
		}
		for _, from := range k.delegators() {
			if delegates(k.current.Targets[from], role) {
				k.current.UpdateDelegatedTargets(k.kept[role], role, from)
			}
		}
	}
	return left
}

func (k *Verifier) fresh(now int64) *trustedmetadata.TrustedMetadata {
	t, err := trustedmetadata.New(k.root)
	if err != nil {
		panic("the root was verified when it was taken: " + err.Error())
	}
	t.RefTime = time.Unix(0, now).UTC()
	return t
}

// Begin begins a refresh. It is refused while the clock stands before a moment at which metadata were fresh.
func (k *Verifier) BeginRefresh(now int64) *VerificationError {
	if refused := k.clock(now); refused != nil {
		return refused
	}
	k.next, k.rotations, k.staged = k.fresh(now), 0, map[string][]byte{}
	return nil
}

func (k *Verifier) clock(now int64) *VerificationError {
	if now < k.freshAt-k.limits.ClockSlack {
		return refuse(ReasonClockWentBack, "clock", "%s before the last refresh", time.Duration(k.freshAt-now).Round(time.Second))
	}
	return nil
}

// Next tells which file the refresh needs next; none once it is over.
func (k *Verifier) NextFile() (NeededFile, bool) {
	t := k.next
	switch {
	case t == nil:
		return NeededFile{}, false
	case t.Timestamp == nil && k.rotations >= 0:
		return NeededFile{metadata.ROOT, fmt.Sprintf("%d.root.json", t.Root.Signed.Version+1), k.limits.RootBytes, true}, true
	case k.rotations == atTimestamp:
		return NeededFile{metadata.TIMESTAMP, "timestamp.json", k.limits.TimestampBytes, false}, true
	case k.rotations == atSnapshot:
		return k.named(metadata.SNAPSHOT, t.Timestamp.Signed.Meta, k.limits.SnapshotBytes), true
	}
	return k.named(metadata.TARGETS, t.Snapshot.Signed.Meta, k.limits.TargetsBytes), true
}

// Where a refresh is once its roots are done.
const (
	atTimestamp = -1 - iota
	atSnapshot
	atTargets
)

// named is a file that trusted metadata name, with the length that they give.
func (k *Verifier) named(role string, by map[string]*metadata.MetaFiles, most int64) NeededFile {
	name := role + ".json"
	meta := by[name]
	if meta != nil && k.source().Root.Signed.ConsistentSnapshot {
		name = fmt.Sprintf("%d.%s", meta.Version, name)
	}
	if meta != nil && meta.Length > 0 {
		most = min(most, meta.Length)
	}
	return NeededFile{role, name, most, false}
}

func (k *Verifier) source() *trustedmetadata.TrustedMetadata {
	if k.next != nil {
		return k.next
	}
	return k.current
}

// Got takes the bytes of the file that was wanted. A refusal leaves what was trusted as it was: another mirror may
// bring what is wanted.
func (k *Verifier) VerifyFile(text []byte) *VerificationError {
	want, ok := k.NextFile()
	if !ok {
		return refuse(ReasonUnavailable, "refresh", "nothing was wanted")
	}
	if int64(len(text)) > want.MaxBytes {
		return refuse(ReasonTooLarge, want.Role, "%d bytes, %d at most", len(text), want.MaxBytes)
	}
	if want.Role != metadata.ROOT {
		if refused := k.load(want.Role, text, false); refused != nil {
			return refused
		}
		k.staged[want.Role] = text
		k.reuse()
		return nil
	}
	if k.rotations >= k.limits.RootRotations {
		return refuse(ReasonTooManyRoots, metadata.ROOT, "%d in one refresh", k.rotations)
	}
	was := k.next.Root
	if _, err := k.next.UpdateRoot(text); err != nil {
		return k.diagnose(metadata.ROOT, text, err, ReasonMissingVersion)
	}
	k.rotations++
	k.root = text
	k.dirty[metadata.ROOT] = true
	// A new key for the timestamp or the snapshot recovers from versions that were driven up with a stolen one.
	for _, role := range []string{metadata.TIMESTAMP, metadata.SNAPSHOT} {
		if !sameKeys(was.Signed.Roles[role], k.next.Root.Signed.Roles[role]) {
			k.drop(metadata.TIMESTAMP)
			k.drop(metadata.SNAPSHOT)
			k.drop(seen)
		}
	}
	// What keys signed that the root no longer names stands no longer, whatever becomes of this refresh.
	for _, role := range []string{metadata.TIMESTAMP, metadata.SNAPSHOT, metadata.TARGETS} {
		if !sameKeys(was.Signed.Roles[role], k.next.Root.Signed.Roles[role]) {
			k.current = nil
		}
	}
	return nil
}

// Missing takes that no mirror has the file that was wanted.
func (k *Verifier) FileNotFound() *VerificationError {
	want, ok := k.NextFile()
	if !ok || !want.Optional {
		return k.FailRefresh(want.Role)
	}
	k.rotations = atTimestamp
	for _, name := range []string{metadata.TIMESTAMP, seen} { // guards against a way back; they may have expired since
		if had := k.kept[name]; had != nil {
			k.next.UpdateTimestamp(had)
		}
	}
	return nil
}

// Fail ends a refresh of which a file could not be had: what was trusted stands.
func (k *Verifier) FailRefresh(of string) *VerificationError {
	k.AbandonRefresh()
	return refuse(ReasonUnavailable, of, "no mirror brought it")
}

// Abandon ends a refresh: what was trusted stands, and no timestamp older than one that was seen is taken from here on.
func (k *Verifier) AbandonRefresh() {
	if k.next == nil {
		return
	}
	if text := k.staged[metadata.TIMESTAMP]; text != nil {
		k.keep(seen, text)
	}
	k.next, k.staged = nil, nil
}

// reuse goes on with what is kept where it is still what the newer metadata name, and ends the refresh.
func (k *Verifier) reuse() {
	if k.rotations == atSnapshot && k.kept[metadata.SNAPSHOT] != nil {
		k.load(metadata.SNAPSHOT, k.kept[metadata.SNAPSHOT], true)
	}
	if k.rotations == atTargets && k.next.Targets[metadata.TARGETS] == nil && k.kept[metadata.TARGETS] != nil {
		k.load(metadata.TARGETS, k.kept[metadata.TARGETS], true)
	}
	if k.next.Targets[metadata.TARGETS] == nil {
		return
	}
	for role, text := range k.staged { // each by itself: their order does not matter
		k.keep(role, text)
	}
	k.drop(seen)
	k.current, k.next, k.staged = k.next, nil, nil
	k.freshAt = k.current.RefTime.UnixNano()
	k.dirty[fresh] = true
	for _, role := range k.delegated() { // they may be of another time: they are verified again as they are needed
		if k.current.Snapshot.Signed.Meta[role+".json"] == nil {
			k.drop(role)
		}
	}
}

// load verifies metadata of a role other than the root and goes on to the next.
func (k *Verifier) load(role string, text []byte, kept bool) *VerificationError {
	if text == nil {
		return refuse(ReasonNeverRefreshed, role, "nothing is kept")
	}
	switch role {
	case metadata.TIMESTAMP:
		_, err := k.next.UpdateTimestamp(text)
		same := err != nil && k.next.Timestamp != nil && k.isSame(text)
		if err != nil && !same {
			return k.diagnose(role, text, err, ReasonRolledBack)
		}
		if same && k.next.Timestamp.Signed.IsExpired(k.next.RefTime) {
			return refuse(ReasonExpired, role, "version %d", k.next.Timestamp.Signed.Version)
		}
		k.rotations = atSnapshot
	case metadata.SNAPSHOT:
		if _, err := k.next.UpdateSnapshot(text, kept); err != nil {
			return k.diagnose(role, text, err, k.backOrMixed(text))
		}
		k.rotations = atTargets
	case metadata.TARGETS:
		if _, err := k.next.UpdateTargets(text); err != nil {
			return k.diagnose(role, text, err, ReasonMixAndMatch)
		}
	}
	return nil
}

// isSame tells whether a timestamp is of the version that is held.
func (k *Verifier) isSame(text []byte) bool {
	one, err := metadata.Timestamp().FromBytes(text)
	return err == nil && one.Signed.Version == k.next.Timestamp.Signed.Version &&
		k.next.Root.VerifyDelegate(metadata.TIMESTAMP, one) == nil
}

// backOrMixed tells what a wrong version in a snapshot means: a file older than the trusted snapshot had it, or a
// snapshot of another time than the timestamp's.
func (k *Verifier) backOrMixed(text []byte) Reason {
	one, err := metadata.Snapshot().FromBytes(text)
	if err != nil || k.next.Timestamp == nil {
		return ReasonMixAndMatch
	}
	if named := k.next.Timestamp.Signed.Meta["snapshot.json"]; named != nil && one.Signed.Version < named.Version {
		if had := k.current; had != nil && had.Snapshot != nil && one.Signed.Version < had.Snapshot.Signed.Version {
			return ReasonRolledBack
		}
		return ReasonMixAndMatch
	}
	if k.next.Snapshot != nil {
		for name, had := range k.next.Snapshot.Signed.Meta {
			if now := one.Signed.Meta[name]; now == nil || now.Version < had.Version {
				return ReasonRolledBack
			}
		}
	}
	return ReasonMixAndMatch
}

// diagnose words a refusal of the library as exactly as the bytes tell.
func (k *Verifier) diagnose(role string, text []byte, err error, version Reason) *VerificationError {
	r := why(role, err, version)
	var one struct {
		Signed struct {
			Type string `json:"_type"`
			Keys map[string]struct {
				Type, Scheme string
			} `json:"keys"`
		} `json:"signed"`
		Signatures []struct {
			KeyID string `json:"keyid"`
		} `json:"signatures"`
	}
	if json.Unmarshal(text, &one) != nil || one.Signed.Type == "" {
		if r.Reason == ReasonWrongHash {
			return r
		}
		return refuse(ReasonMalformed, role, "%s", err)
	}
	want := role
	if want != metadata.ROOT && want != metadata.TIMESTAMP && want != metadata.SNAPSHOT {
		want = metadata.TARGETS
	}
	ids := map[string]bool{}
	for _, s := range one.Signatures {
		if ids[s.KeyID] && r.Reason != ReasonWrongHash {
			return refuse(ReasonRepeatedSignature, role, "key %.8s signs twice", s.KeyID)
		}
		ids[s.KeyID] = true
	}
	if one.Signed.Type != want && r.Reason != ReasonWrongHash {
		return refuse(ReasonWrongRole, role, "it is of %q", one.Signed.Type)
	}
	if (r.Reason == ReasonTooFewSignatures || r.Reason == ReasonMalformed) && k.unknownKeys(role, ids) {
		r.Reason = ReasonUnknownAlgorithm
	}
	return r
}

// unknownKeys tells whether a role's keys that signed are of kinds that cannot be checked here.
func (k *Verifier) unknownKeys(role string, signed map[string]bool) bool {
	keys := k.source().Root.Signed.Keys
	named := k.source().Root.Signed.Roles[role]
	if named == nil {
		return false
	}
	unknown := 0
	for _, id := range named.KeyIDs {
		if key := keys[id]; key != nil && signed[id] {
			if _, err := key.ToPublicKey(); err != nil {
				unknown++
			}
		}
	}
	return unknown > 0
}

func (k *Verifier) keep(role string, text []byte) {
	k.kept[role] = text
	k.dirty[role] = true
}

func (k *Verifier) drop(role string) {
	if k.kept[role] != nil {
		delete(k.kept, role)
		k.dirty[role], k.anew[role] = true, true
	}
}

// Changes gives the records that have changed since it was last asked, in a fixed order; one without bytes is gone.
// All of them belong together: they are kept at once or not at all.
func (k *Verifier) TakeChanges() []Record {
	var all []Record
	for name := range k.dirty {
		all = append(all, k.record(name))
	}
	clear(k.dirty)
	clear(k.anew)
	slices.SortFunc(all, func(a, b Record) int { return order(a.Name, b.Name) })
	return all
}

// Again has records that could not be kept count as changed.
func (k *Verifier) RestoreChanges(some []Record) {
	for _, r := range some {
		k.dirty[r.Name] = true
		if r.AllowRollback && r.Name != fresh {
			k.anew[r.Name] = true
		}
	}
}

func order(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (k *Verifier) record(name string) Record {
	switch name {
	case metadata.ROOT:
		return Record{name, versionOf(k.root), k.root, false}
	case fresh:
		text, _ := json.Marshal(k.freshAt)         // a number
		return Record{name, k.freshAt, text, true} // the clock may be set right

	}
	return Record{name, versionOf(k.kept[name]), k.kept[name], k.anew[name]}
}

func versionOf(text []byte) int64 {
	var one struct {
		Signed struct{ Version int64 }
	}
	if json.Unmarshal(text, &one) != nil {
		return 0
	}
	return one.Signed.Version
}

func sameKeys(a, b *metadata.Role) bool {
	if a == nil || b == nil || a.Threshold != b.Threshold {
		return a == b
	}
	x, y := slices.Clone(a.KeyIDs), slices.Clone(b.KeyIDs)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}

// Role is what is trusted of one role.
type TrustedRole struct {
	Name    string `json:"role"`
	Version int64  `json:"version"`
	Expires int64  `json:"expires"` // ns
}

// Roles gives what is trusted, in the order of an update.
func (k *Verifier) TrustedRoles() []TrustedRole {
	root, _ := readRoot(k.root)
	all := []TrustedRole{{metadata.ROOT, root.Signed.Version, root.Signed.Expires.UnixNano()}}
	if t := k.current; t != nil {
		all = append(all, TrustedRole{metadata.TIMESTAMP, t.Timestamp.Signed.Version, t.Timestamp.Signed.Expires.UnixNano()},
			TrustedRole{metadata.SNAPSHOT, t.Snapshot.Signed.Version, t.Snapshot.Signed.Expires.UnixNano()})
		for _, role := range k.delegators() {
			one := t.Targets[role].Signed
			all = append(all, TrustedRole{role, one.Version, one.Expires.UnixNano()})
		}
	}
	return all
}

// FreshAt is when a refresh last ended well, 0 if none has.
func (k *Verifier) LastRefresh() int64 { return k.freshAt }

// Standing tells whether what is trusted may be relied on now: nothing of it has expired, the clock has not gone
// back, and the last refresh is not too long ago.
func (k *Verifier) CheckValid(now int64) *VerificationError {
	if k.current == nil {
		return refuse(ReasonNeverRefreshed, "metadata", "nothing has been trusted yet by the keys that the root names")
	}
	if refused := k.clock(now); refused != nil {
		return refused
	}
	for _, role := range k.TrustedRoles()[:4] {
		if now >= role.Expires {
			return refuse(ReasonExpired, role.Name, "version %d, since %s", role.Version, time.Duration(now-role.Expires).Round(time.Second))
		}
	}
	if age := now - k.freshAt; age > k.limits.MaxStaleness {
		return refuse(ReasonStale, "metadata", "nothing fresh for %s", time.Duration(age).Round(time.Second))
	}
	return nil
}
