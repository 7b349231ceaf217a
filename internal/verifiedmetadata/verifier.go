// Package verifiedmetadata verifies metadata of The Update Framework (TUF): it decides which metadata are trusted, why
// others are refused, and which targets may be used. It does no I/O and reads no clock: file contents and times are
// arguments. go-tuf checks signatures, thresholds and the order of an update. This package decides what stays trusted
// without fresh metadata, what is stored to survive a restart, and which exact reason a refusal has.
//
// Times are wall-clock times in nanoseconds since the Unix epoch, because metadata expire by the wall clock.
package verifiedmetadata

import (
	"encoding/json"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"github.com/theupdateframework/go-tuf/v2/metadata/trustedmetadata"
)

// Limits bounds file sizes, root rotations and delegations, and how long verified metadata stay trusted.
type Limits struct {
	RootBytes       int64         // maximum size of a root file
	TimestampBytes  int64         // maximum size of a timestamp file
	SnapshotBytes   int64         // maximum size of a snapshot file
	TargetsBytes    int64         // maximum size of a targets file, including those of delegated roles
	RootRotations   int           // maximum number of new root versions in one refresh
	DelegationDepth int           // maximum depth of delegations in the search for a target
	DelegatedRoles  int           // maximum number of roles visited in the search for a target
	MaxStaleness    time.Duration // maximum age of the last successful refresh
	ClockSlack      time.Duration // how far the clock may be before the last successful refresh
}

// DefaultLimits are the limits in the examples of the TUF specification, with some headroom.
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

// Verifier holds the trusted metadata and the state of a refresh in progress. It is not safe for concurrent use.
type Verifier struct {
	limits      Limits
	root        []byte            // contents of the newest trusted root file
	stored      map[string][]byte // contents by record name: last trusted file of each other role, newest timestamp
	trusted     *trustedmetadata.TrustedMetadata
	refreshedAt int64 // time of the last successful refresh, 0 if there was none

	refresh *refresh // the refresh in progress, or nil

	changed         map[string]bool // names of the records that are not stored yet
	rollbackAllowed map[string]bool // names of changed records that were deleted and may get a lower version
}

// NewVerifier returns a verifier that starts from the operator's trusted root and the stored records. Stored metadata
// that do not verify are not trusted, and rejected holds an error with the reason. The returned error is a
// *VerificationError if the operator's root cannot be used.
func NewVerifier(root []byte, limits Limits, records []Record) (verifier *Verifier, rejected []error, err error) {
	v := &Verifier{
		limits:          limits,
		root:            root,
		stored:          map[string][]byte{},
		changed:         map[string]bool{},
		rollbackAllowed: map[string]bool{},
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
		if err := v.restoreTrustedMetadata(); err != nil {
			rejected = append(rejected, err)
		}
	}
	return v, rejected, nil
}

// parseRoot parses a root file and verifies it against its own keys.
func parseRoot(contents []byte) (*metadata.Metadata[metadata.RootType], error) {
	parsed, err := trustedmetadata.New(contents)
	if err != nil {
		return nil, classify(metadata.ROOT, err, ReasonMissingVersion)
	}
	return parsed.Root, nil
}

// restoreTrustedMetadata verifies the stored files as of the time of the last successful refresh and makes them the
// trusted metadata.
func (v *Verifier) restoreTrustedMetadata() error {
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

// newTrustedMetadata returns a set of metadata that holds only the trusted root. The set checks expiration as of now.
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

// TrustedRoles returns the roles whose metadata are trusted: the root and, after a successful refresh, the timestamp,
// the snapshot, the top-level targets and the delegated roles, which are sorted by name.
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

// LastRefresh returns the time of the last successful refresh, or 0 if there was none.
func (v *Verifier) LastRefresh() int64 { return v.refreshedAt }

// topLevelRoleCount is the number of top-level roles, which come first in the result of TrustedRoles.
const topLevelRoleCount = 4

// CheckValid returns an error if the trusted metadata must not be used now: because there is no complete set of them, a
// top-level role has expired, the clock went back, or the last successful refresh is older than Limits.MaxStaleness.
func (v *Verifier) CheckValid(now int64) error {
	if v.trusted == nil {
		return newError(ReasonNeverRefreshed, "metadata", "no complete set of metadata has been verified with the keys of the trusted root")
	}
	if err := v.checkClock(now); err != nil {
		return err
	}
	for _, role := range v.TrustedRoles()[:topLevelRoleCount] {
		if now >= role.Expires {
			return newError(ReasonExpired, role.Name, "version %d expired %s ago", role.Version, time.Duration(now-role.Expires).Round(time.Second))
		}
	}
	if age := time.Duration(now - v.refreshedAt); age > v.limits.MaxStaleness {
		return newError(ReasonStale, "metadata", "no successful refresh for %s", age.Round(time.Second))
	}
	return nil
}

// checkClock returns an error if the clock is before the last successful refresh by more than Limits.ClockSlack.
func (v *Verifier) checkClock(now int64) error {
	if now < v.refreshedAt-int64(v.limits.ClockSlack) {
		return newError(ReasonClockWentBack, "clock", "%s before the last refresh", time.Duration(v.refreshedAt-now).Round(time.Second))
	}
	return nil
}
