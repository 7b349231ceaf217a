// Package verifiedmetadata decides which metadata of the release desk are trusted, why others are not, and which targets may be
// taken. It does no I/O and reads no clock: bytes and times are handed in, plain values come back. Signatures,
// thresholds and the order of an update are those of a library for The Update Framework; ours are the decisions
// around it.
package verifiedmetadata

import (
	"errors"
	"fmt"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Reason says why something is not trusted.
type Reason uint8

// The reasons.
const (
	None              Reason = iota
	Expired                  // its time is over
	RolledBack               // older than what was trusted before
	MissingStep              // a root that is not the next one
	TooFewSignatures         // of keys that the role names
	RepeatedSignature        // one key signs twice
	WrongLength
	WrongHash
	TooLarge         // beyond the bound, told or not
	Unreadable       // no metadata at all
	WrongRole        // metadata of another role
	UnknownAlgorithm // a key or hash that nobody here can check
	Mixed            // of another time than what names it
	ClockBack        // the clock stands before a moment at which metadata were fresh
	Stale            // nothing fresh came for longer than the last trusted state may stand
	NeverRefreshed   // nothing was ever trusted
	NotListed        // no role lists the target
	UnsafePath       // a target's path that leaves its folder
	TooDeep          // more delegations than are followed
	TooManyRoots     // more new roots than are followed at once
	Unavailable      // no mirror brought it
)

var reasons = [...]string{"none", "expired", "rolled back", "missing step", "too few signatures", "repeated signature",
	"wrong length", "wrong hash", "too large", "unreadable", "wrong role", "unknown algorithm", "mixed", "clock went back",
	"stale", "never refreshed", "not listed", "unsafe path", "too deep", "too many roots", "unavailable"}

// String names a reason for people, metrics and programs.
func (r Reason) String() string { return reasons[r] }

// Refusal is why one thing was not trusted.
type Refusal struct {
	Reason Reason
	Of     string // the role or target
	Detail string
}

func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s", r.Of, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", r.Of, r.Reason, r.Detail)
}

func refuse(reason Reason, of, format string, about ...any) *Refusal {
	return &Refusal{reason, of, fmt.Sprintf(format, about...)}
}

// why words an error of the library. A wrong version means what the caller says: a way back, a missing step, or
// metadata of different times.
func why(of string, err error, version Reason) *Refusal {
	reason := Unreadable
	switch {
	case errors.Is(err, &metadata.ErrExpiredMetadata{}):
		reason = Expired
	case errors.Is(err, &metadata.ErrBadVersionNumber{}), errors.Is(err, &metadata.ErrEqualVersionNumber{}):
		reason = version
	case errors.Is(err, &metadata.ErrUnsignedMetadata{}):
		reason = TooFewSignatures
	case errors.Is(err, &metadata.ErrLengthOrHashMismatch{}):
		reason = WrongHash
	case errors.Is(err, &metadata.ErrRepository{}):
		reason = version
	}
	return refuse(reason, of, "%s", err)
}
