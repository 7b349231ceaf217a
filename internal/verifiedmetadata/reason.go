package verifiedmetadata

import (
	"errors"
	"fmt"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Reason classifies why metadata or a target is not trusted.
type Reason uint8

// The reasons for a refusal. Their texts are used as metric labels and in the output of gatewayctl.
const (
	ReasonNone              Reason = iota
	ReasonExpired                  // metadata past their expiration by the local clock, which may itself be ahead
	ReasonRolledBack               // a lower version than was trusted before
	ReasonMissingVersion           // a root whose version is not the trusted root's version plus one
	ReasonTooFewSignatures         // fewer valid signatures than the role's threshold
	ReasonRepeatedSignature        // more than one signature by the same key
	ReasonWrongLength              // a target whose length differs from the listed one
	ReasonWrongHash                // contents that do not match a listed hash, or metadata of another length than listed
	ReasonTooLarge                 // a file above the size limit or the listed length
	ReasonMalformed                // contents that are not valid TUF metadata
	ReasonWrongRole                // metadata of another role's type
	ReasonUnknownAlgorithm         // a key or hash with an unsupported algorithm
	ReasonMixAndMatch              // metadata that do not belong to the snapshot or timestamp in use
	ReasonClockWentBack            // the clock is before the last successful refresh, by more than Limits.ClockSlack
	ReasonStale                    // no refresh succeeded for longer than Limits.MaxStaleness
	ReasonNeverRefreshed           // no complete set of metadata has been verified with the current keys
	ReasonNotListed                // no visited role lists the target
	ReasonUnsafePath               // a target path or role name that could point outside the store's folder
	ReasonTooDeep                  // deeper or more delegations than the limits allow
	ReasonTooManyRoots             // more root rotations in one refresh than the limits allow
	ReasonUnavailable              // the file was not available from any mirror
)

var reasonTexts = [...]string{"none", "expired", "rolled back", "missing step", "too few signatures", "repeated signature",
	"wrong length", "wrong hash", "too large", "unreadable", "wrong role", "unknown algorithm", "mixed", "clock went back",
	"stale", "never refreshed", "not listed", "unsafe path", "too deep", "too many roots", "unavailable"}

// String returns the text of the reason. The texts are stable.
func (r Reason) String() string { return reasonTexts[r] }

// VerificationError is the error for a metadata file, role or target that is not trusted.
type VerificationError struct {
	Reason  Reason
	Subject string // a role name, a target path, or "metadata", "clock" or "refresh"
	Detail  string // optional further information
}

func (e *VerificationError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Subject, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Subject, e.Reason, e.Detail)
}

// ReasonOf returns the reason of the VerificationError in err's chain, or ReasonNone if there is no such error.
func ReasonOf(err error) Reason {
	var verification *VerificationError
	if errors.As(err, &verification) {
		return verification.Reason
	}
	return ReasonNone
}

// newError returns a VerificationError with a formatted detail.
func newError(reason Reason, subject, format string, args ...any) *VerificationError {
	return &VerificationError{Reason: reason, Subject: subject, Detail: fmt.Sprintf(format, args...)}
}

// classify converts an error from go-tuf to a VerificationError. go-tuf reports every wrong version with the same
// error, so the caller passes the reason that a wrong version has for this file: rollback, missing version or
// mix-and-match.
func classify(subject string, err error, wrongVersion Reason) *VerificationError {
	reason := ReasonMalformed
	switch {
	case errors.Is(err, &metadata.ErrExpiredMetadata{}):
		reason = ReasonExpired
	case errors.Is(err, &metadata.ErrBadVersionNumber{}), errors.Is(err, &metadata.ErrEqualVersionNumber{}):
		reason = wrongVersion
	case errors.Is(err, &metadata.ErrUnsignedMetadata{}):
		reason = ReasonTooFewSignatures
	case errors.Is(err, &metadata.ErrLengthOrHashMismatch{}):
		reason = ReasonWrongHash
	case errors.Is(err, &metadata.ErrRepository{}):
		reason = wrongVersion
	}
	return newError(reason, subject, "%s", err)
}
