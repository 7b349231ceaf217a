package verifiedmetadata

import (
	"encoding/json"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// signedFile is the part of a metadata file that is read to explain why the library refused it.
type signedFile struct {
	Signed struct {
		Type string              `json:"_type"`
		Keys map[string]struct { // unused, but a root whose keys are no such objects counts as malformed
			Type, Scheme string
		} `json:"keys"`
	} `json:"signed"`
	Signatures []struct {
		KeyID string `json:"keyid"`
	} `json:"signatures"`
}

// diagnose converts an error of the library to the most exact reason that the file's contents allow. The contents are
// not trusted: they only decide which refusal it is.
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
			return newError(ReasonRepeatedSignature, role, "key %.8s signs twice", signature.KeyID)
		}
		signers[signature.KeyID] = true
	}
	if file.Signed.Type != typeOf(role) && classified.Reason != ReasonWrongHash {
		return newError(ReasonWrongRole, role, "it is of %q", file.Signed.Type)
	}
	unsigned := classified.Reason == ReasonTooFewSignatures || classified.Reason == ReasonMalformed
	if unsigned && v.signedByUnsupportedKey(role, signers) {
		classified.Reason = ReasonUnknownAlgorithm
	}
	return classified
}

// typeOf returns the type that a role's metadata bear: delegated roles are of the type of the top-level targets.
func typeOf(role string) string {
	switch role {
	case metadata.ROOT, metadata.TIMESTAMP, metadata.SNAPSHOT:
		return role
	}
	return metadata.TARGETS
}

// signedByUnsupportedKey reports whether one of the role's keys that signed cannot be checked here.
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

// wrongSnapshotVersion returns what a wrong version in a snapshot means: a rollback where a trusted snapshot had a
// higher one, otherwise a snapshot of another time than the timestamp.
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
