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
	ReasonNone              Reason = iota
	ReasonExpired                  // its time is over
	ReasonRolledBack               // older than what was trusted before
	ReasonMissingVersion           // a root that is not the next one
	ReasonTooFewSignatures         // of keys that the role names
	ReasonRepeatedSignature        // one key signs twice
	ReasonWrongLength
	ReasonWrongHash
	ReasonTooLarge         // beyond the bound, told or not
	ReasonMalformed        // no metadata at all
	ReasonWrongRole        // metadata of another role
	ReasonUnknownAlgorithm // a key or hash that nobody here can check
	ReasonMixAndMatch      // of another time than what names it
	ReasonClockWentBack    // the clock stands before a moment at which metadata were fresh
	ReasonStale            // nothing fresh came for longer than the last trusted state may stand
	ReasonNeverRefreshed   // nothing was ever trusted
	ReasonNotListed        // no role lists the target
	ReasonUnsafePath       // a target's path that leaves its folder
	ReasonTooDeep          // more delegations than are followed
	ReasonTooManyRoots     // more new roots than are followed at once
	ReasonUnavailable      // no mirror brought it
)

var reasonTexts = [...]string{"none", "expired", "rolled back", "missing step", "too few signatures", "repeated signature",
	"wrong length", "wrong hash", "too large", "unreadable", "wrong role", "unknown algorithm", "mixed", "clock went back",
	"stale", "never refreshed", "not listed", "unsafe path", "too deep", "too many roots", "unavailable"}

// String names a reason for people, metrics and programs.
func (r Reason) String() string { return reasonTexts[r] }

// Refusal is why one thing was not trusted.
type VerificationError struct {
	Reason  Reason
	Subject string // the role or target
	Detail  string
}

func (r *VerificationError) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s", r.Subject, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", r.Subject, r.Reason, r.Detail)
}

func refuse(reason Reason, of, format string, about ...any) *VerificationError {
	return &VerificationError{reason, of, fmt.Sprintf(format, about...)}
}

// why words an error of the library. A wrong version means what the caller says: a way back, a missing step, or
// metadata of different times.
func why(of string, err error, version Reason) *VerificationError {
	reason := ReasonMalformed
	switch {
	case errors.Is(err, &metadata.ErrExpiredMetadata{}):
		reason = ReasonExpired
	case errors.Is(err, &metadata.ErrBadVersionNumber{}), errors.Is(err, &metadata.ErrEqualVersionNumber{}):
		reason = version
	case errors.Is(err, &metadata.ErrUnsignedMetadata{}):
		reason = ReasonTooFewSignatures
	case errors.Is(err, &metadata.ErrLengthOrHashMismatch{}):
		reason = ReasonWrongHash
	case errors.Is(err, &metadata.ErrRepository{}):
		reason = version
	}
	return refuse(reason, of, "%s", err)
}
