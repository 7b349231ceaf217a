package verifiedmetadata

import (
	"encoding/json"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// signedFile is the part of a metadata file that is parsed to find out why go-tuf refused the file.
type signedFile struct {
	Signed struct {
		Type string              `json:"_type"`
		Keys map[string]struct { // unused, but a root with keys of another JSON type is reported as malformed
			Type, Scheme string
		} `json:"keys"`
	} `json:"signed"`
	Signatures []struct {
		KeyID string `json:"keyid"`
	} `json:"signatures"`
}

// diagnose converts an error from go-tuf to a VerificationError with the most specific reason that the contents of the
// refused file allow. The contents are not trusted and only select the reason: the file stays refused in any case.
func (v *Verifier) diagnose(role string, contents []byte, err error, wrongVersion Reason) *VerificationError {
	classified := classify(role, err, wrongVersion)
	var file signedFile
	if json.Unmarshal(contents, &file) != nil || file.Signed.Type == "" {
		if classified.Reason == ReasonWrongHash {
			return classified
		}
		return newError(ReasonMalformed, role, "%s", err)
	}
	signers := map[string]bool{}
	for _, signature := range file.Signatures {
		if signers[signature.KeyID] && classified.Reason != ReasonWrongHash {
			return newError(ReasonRepeatedSignature, role, "more than one signature by key %.8s", signature.KeyID)
		}
		signers[signature.KeyID] = true
	}
	if file.Signed.Type != metadataType(role) && classified.Reason != ReasonWrongHash {
		return newError(ReasonWrongRole, role, "metadata type is %q", file.Signed.Type)
	}
	unsigned := classified.Reason == ReasonTooFewSignatures || classified.Reason == ReasonMalformed
	if unsigned && v.signedByUnsupportedKey(role, signers) {
		classified.Reason = ReasonUnknownAlgorithm
	}
	return classified
}

// metadataType returns the value of the _type field in a role's metadata. Delegated roles have the type of the
// top-level targets role.
func metadataType(role string) string {
	switch role {
	case metadata.ROOT, metadata.TIMESTAMP, metadata.SNAPSHOT:
		return role
	}
	return metadata.TARGETS
}

// signedByUnsupportedKey reports whether one of the signers is a key of the role that go-tuf cannot use, because its
// type or scheme is not supported. Keys of delegated roles are not looked up.
func (v *Verifier) signedByUnsupportedKey(role string, signers map[string]bool) bool {
	root := v.newestMetadata().Root.Signed
	listed := root.Roles[role]
	if listed == nil {
		return false
	}
	for _, id := range listed.KeyIDs {
		if key := root.Keys[id]; key != nil && signers[id] {
			if _, err := key.ToPublicKey(); err != nil {
				return true
			}
		}
	}
	return false
}

// wrongSnapshotVersion returns the reason for a wrong version in snapshot metadata: a rollback if trusted snapshot
// metadata had a higher version of the snapshot or of a file that it lists, otherwise mix-and-match, as the snapshot
// does not belong to the timestamp.
func (v *Verifier) wrongSnapshotVersion(contents []byte) Reason {
	next := v.refresh.next
	snapshot, err := metadata.Snapshot().FromBytes(contents)
	if err != nil || next.Timestamp == nil {
		return ReasonMixAndMatch
	}
	listed := next.Timestamp.Signed.Meta["snapshot.json"]
	if listed != nil && snapshot.Signed.Version < listed.Version {
		if v.trusted != nil && v.trusted.Snapshot != nil && snapshot.Signed.Version < v.trusted.Snapshot.Signed.Version {
			return ReasonRolledBack
		}
		return ReasonMixAndMatch
	}
	if next.Snapshot == nil {
		return ReasonMixAndMatch
	}
	for name, previous := range next.Snapshot.Signed.Meta {
		if file := snapshot.Signed.Meta[name]; file == nil || file.Version < previous.Version {
			return ReasonRolledBack
		}
	}
	return ReasonMixAndMatch
}
