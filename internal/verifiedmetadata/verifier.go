// Package verifiedmetadata decides which metadata of The Update Framework (TUF) are trusted, why others are not, and
// which targets may be used. It does no I/O and reads no clock: file contents and moments are arguments. Signatures,
// thresholds and the order of an update are those of go-tuf; this package adds the decisions around them: what stays
// trusted without fresh metadata, what is stored over a restart, and the exact reason of a refusal.
//
// Moments are nanoseconds since the Unix epoch, as metadata expire by the wall clock.
package verifiedmetadata

import (
	"encoding/json"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"github.com/theupdateframework/go-tuf/v2/metadata/trustedmetadata"
)

// Limits bound what is read and followed, and how long verified metadata stay trusted.
type Limits struct {
	RootBytes       int64 // of one root file
	TimestampBytes  int64 // of one timestamp file
	SnapshotBytes   int64 // of one snapshot file
	TargetsBytes    int64 // of one targets file, also of a delegated role
	RootRotations   int   // new roots in one refresh
	DelegationDepth int   // of the roles visited for one target
	DelegatedRoles  int   // visited for one target
	MaxStaleness    time.Duration
	ClockSlack      time.Duration // by which the clock may be before the last refresh
}

// DefaultLimits are those of the TUF specification's examples, with room.
var DefaultLimits = Limits{
	RootBytes:       512 << 10,
	TimestampBytes:  16 << 10,
	SnapshotBytes:   2 << 20,
	TargetsBytes:    5 << 20,
	RootRotations:   32,
	DelegationDepth: 8,
	DelegatedRoles:  32,
	MaxStaleness:    24 * time.Hour,
	ClockSlack:      time.Minute,
}

// Verifier holds the trusted metadata and the state of a refresh. It is not safe for concurrent use.
type Verifier struct {
	limits      Limits
	root        []byte            // the newest trusted root file
	stored      map[string][]byte // the file last trusted of each other role, and the newest timestamp seen, by record name
	trusted     *trustedmetadata.TrustedMetadata
	refreshedAt int64 // of the last successful refresh, 0 if there was none

	refresh *refresh // under way, or nil

	changed       map[string]bool // names of records to be stored
	versionsReset map[string]bool // records among them that were dropped: a lower version may follow
}

// NewVerifier starts from a root that the operator trusts and the records that were stored since. Records that do not
// verify are left out and returned as rejected, each with its reason. The error, a *VerificationError, says why the
// root cannot be used.
func NewVerifier(root []byte, limits Limits, records []Record) (verifier *Verifier, rejected []error, err error) {
	v := &Verifier{
		limits:        limits,
		root:          root,
		stored:        map[string][]byte{},
		changed:       map[string]bool{},
		versionsReset: map[string]bool{},
	}
	operatorRoot, err := parseRoot(root)
	if err != nil {
		return nil, nil, err
	}
	for _, record := range records {
		switch record.Name {
		case metadata.ROOT:
			storedRoot, err := parseRoot(record.Bytes)
			if err != nil {
				rejected = append(rejected, err)
			} else if storedRoot.Signed.Version > operatorRoot.Signed.Version {
				v.root = record.Bytes
			}
		case lastRefreshRecord:
			json.Unmarshal(record.Bytes, &v.refreshedAt)
		default:
			v.stored[record.Name] = record.Bytes
		}
	}
	if v.refreshedAt > 0 {
		if err := v.restore(); err != nil {
			rejected = append(rejected, err)
		}
	}
	return v, rejected, nil
}

// parseRoot verifies a root file against its own keys.
func parseRoot(contents []byte) (*metadata.Metadata[metadata.RootType], error) {
	parsed, err := trustedmetadata.New(contents)
	if err != nil {
		return nil, classify(metadata.ROOT, err, ReasonMissingVersion)
	}
	return parsed.Root, nil
}

// restore verifies the stored files as of the last refresh, which makes them the trusted ones.
func (v *Verifier) restore() error {
	v.refresh = &refresh{next: v.newTrustedMetadata(v.refreshedAt)}
	defer func() { v.refresh = nil }()
	for _, role := range []string{metadata.TIMESTAMP, metadata.SNAPSHOT, metadata.TARGETS} {
		if err := v.verifyRole(role, v.stored[role], true); err != nil {
			return err
		}
	}
	v.trusted = v.refresh.next
	for _, role := range v.storedDelegatedRoles() {
		if v.trusted.Targets[role] != nil {
			continue
		}
		for _, delegator := range v.trustedTargetsRoles() {
			if delegatesTo(v.trusted.Targets[delegator], role) {
				v.trusted.UpdateDelegatedTargets(v.stored[role], role, delegator)
			}
		}
	}
	return nil
}

// newTrustedMetadata starts a set of metadata from the trusted root, with expiry judged as of now.
func (v *Verifier) newTrustedMetadata(now int64) *trustedmetadata.TrustedMetadata {
	trusted, err := trustedmetadata.New(v.root)
	if err != nil {
		panic("verifiedmetadata: a root that was verified before is refused: " + err.Error())
	}
	trusted.RefTime = time.Unix(0, now).UTC()
	return trusted
}

// TrustedRole describes the trusted metadata of one role.
type TrustedRole struct {
	Name    string `json:"role"`
	Version int64  `json:"version"`
	Expires int64  `json:"expires"` // ns since the Unix epoch
}

// TrustedRoles returns what is trusted: the root, and after a refresh the timestamp, the snapshot, the top-level
// targets and the delegated roles by name.
func (v *Verifier) TrustedRoles() []TrustedRole {
	root, _ := parseRoot(v.root)
	roles := []TrustedRole{{metadata.ROOT, root.Signed.Version, root.Signed.Expires.UnixNano()}}
	if v.trusted == nil {
		return roles
	}
	timestamp, snapshot := v.trusted.Timestamp.Signed, v.trusted.Snapshot.Signed
	roles = append(roles,
		TrustedRole{metadata.TIMESTAMP, timestamp.Version, timestamp.Expires.UnixNano()},
		TrustedRole{metadata.SNAPSHOT, snapshot.Version, snapshot.Expires.UnixNano()})
	for _, name := range v.trustedTargetsRoles() {
		targets := v.trusted.Targets[name].Signed
		roles = append(roles, TrustedRole{name, targets.Version, targets.Expires.UnixNano()})
	}
	return roles
}

// LastRefresh returns the moment of the last successful refresh, 0 if there was none.
func (v *Verifier) LastRefresh() int64 { return v.refreshedAt }

// topLevelRoles is the number of the top-level roles, which come first in TrustedRoles.
const topLevelRoles = 4

// CheckValid returns why the trusted metadata may not be relied on now, or nil: a top-level role has expired, the
// clock went back, or the last refresh is longer ago than Limits.MaxStaleness.
func (v *Verifier) CheckValid(now int64) error {
	if v.trusted == nil {
		return newError(ReasonNeverRefreshed, "metadata", "nothing has been trusted yet by the keys that the root names")
	}
	if err := v.checkClock(now); err != nil {
		return err
	}
	for _, role := range v.TrustedRoles()[:topLevelRoles] {
		if now >= role.Expires {
			return newError(ReasonExpired, role.Name, "version %d, since %s", role.Version, time.Duration(now-role.Expires).Round(time.Second))
		}
	}
	if age := time.Duration(now - v.refreshedAt); age > v.limits.MaxStaleness {
		return newError(ReasonStale, "metadata", "nothing fresh for %s", age.Round(time.Second))
	}
	return nil
}

// checkClock returns an error while the clock is before a moment at which metadata were fresh.
func (v *Verifier) checkClock(now int64) error {
	if now < v.refreshedAt-int64(v.limits.ClockSlack) {
		return newError(ReasonClockWentBack, "clock", "%s before the last refresh", time.Duration(v.refreshedAt-now).Round(time.Second))
	}
	return nil
}
