package verifiedmetadata

import (
	"errors"
	"fmt"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Reason classifies why metadata or a target are not trusted.
type Reason uint8

// The reasons. Their texts are labels of metrics and part of what gatewayctl prints.
const (
	ReasonNone              Reason = iota
	ReasonExpired                  // past its expiry, or a clock that is far ahead
	ReasonRolledBack               // older than metadata that were trusted before
	ReasonMissingVersion           // a root that is not the next version
	ReasonTooFewSignatures         // below the role's threshold of its keys
	ReasonRepeatedSignature        // one key signs more than once
	ReasonWrongLength              // a target of another length than the role lists
	ReasonWrongHash                // contents that do not match the listed hash
	ReasonTooLarge                 // beyond the limit or the listed length
	ReasonMalformed                // not metadata at all
	ReasonWrongRole                // metadata of another role
	ReasonUnknownAlgorithm         // a key or hash of an unsupported algorithm
	ReasonMixAndMatch              // of another time than the metadata that name it
	ReasonClockWentBack            // the clock is before the last refresh
	ReasonStale                    // no refresh succeeded for longer than Limits.MaxStaleness
	ReasonNeverRefreshed           // no complete set of metadata was ever verified
	ReasonNotListed                // no role lists the target
	ReasonUnsafePath               // a target path or role name that could leave its folder
	ReasonTooDeep                  // more delegations than the limits allow
	ReasonTooManyRoots             // more root rotations in one refresh than the limits allow
	ReasonUnavailable              // no mirror delivered it
)

var reasonTexts = [...]string{"none", "expired", "rolled back", "missing step", "too few signatures", "repeated signature",
	"wrong length", "wrong hash", "too large", "unreadable", "wrong role", "unknown algorithm", "mixed", "clock went back",
	"stale", "never refreshed", "not listed", "unsafe path", "too deep", "too many roots", "unavailable"}

// String returns the reason's text, which is stable.
func (r Reason) String() string { return reasonTexts[r] }

// VerificationError reports why one file, role or target is not trusted.
type VerificationError struct {
	Reason  Reason
	Subject string // the role or target
	Detail  string // may be empty
}

func (e *VerificationError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Subject, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Subject, e.Reason, e.Detail)
}

// ReasonOf returns the reason of the VerificationError in err's chain, or ReasonNone where there is none.
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

// classify converts an error of the TUF library. The library has one error for every wrong version; the caller says
// what it means at its place: a rollback, a missing version, or mix-and-match.
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
