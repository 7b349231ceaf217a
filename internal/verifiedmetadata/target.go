package verifiedmetadata

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Target is a file that a trusted role lists.
type Target struct {
	Path        string
	Role        string // that lists it
	Length      int64
	Hashes      map[string][]byte // by algorithm, sha256 and sha512 alone
	MirrorName  string            // on a mirror, below the folder of targets
	BlockSize   int64             // bytes of a block, 0 where the role lists no hashes of blocks
	BlockHashes [][]byte          // SHA-256
}

// LookupTarget returns a target by the metadata that are trusted already. Where a delegated role's file would have to be
// fetched first the error's reason is ReasonUnavailable.
func (v *Verifier) LookupTarget(path string, now int64) (*Target, error) {
	search, err := v.SearchTarget(path, now)
	if err != nil {
		return nil, err
	}
	target, needed, err := search.Next()
	if err == nil && target == nil {
		err = newError(ReasonUnavailable, needed.Role, "it has not been fetched yet")
	}
	return target, err
}

// newTarget reads what a role lists of a target. One without a supported hash is refused.
func (v *Verifier) newTarget(path, role string, file *metadata.TargetFiles) (*Target, error) {
	target := &Target{Path: path, Role: role, Length: file.Length, Hashes: map[string][]byte{}, MirrorName: path}
	for _, algorithm := range []string{"sha256", "sha512"} {
		hash := file.Hashes[algorithm]
		if len(hash) == 0 {
			continue
		}
		target.Hashes[algorithm] = hash
		if v.trusted.Root.Signed.ConsistentSnapshot && target.MirrorName == path {
			base := strings.LastIndexByte(path, '/') + 1
			target.MirrorName = path[:base] + fmt.Sprintf("%x.", []byte(hash)) + path[base:]
		}
	}
	if len(target.Hashes) == 0 {
		return nil, newError(ReasonUnknownAlgorithm, path, "no hash that can be checked")
	}
	if file.Length < 0 {
		return nil, newError(ReasonWrongLength, path, "%d bytes", file.Length)
	}
	target.readBlocks(file)
	return target, nil
}

// readBlocks reads the hashes of blocks from the custom field, where they cover the target's length.
func (t *Target) readBlocks(file *metadata.TargetFiles) {
	var custom struct {
		Blocks struct {
			Size   int64               `json:"size"`
			Sha256 []metadata.HexBytes `json:"sha256"`
		} `json:"blocks"`
	}
	if file.Custom == nil || json.Unmarshal(*file.Custom, &custom) != nil || custom.Blocks.Size <= 0 {
		return
	}
	if int64(len(custom.Blocks.Sha256)) != (file.Length+custom.Blocks.Size-1)/custom.Blocks.Size {
		return
	}
	t.BlockSize = custom.Blocks.Size
	for _, hash := range custom.Blocks.Sha256 {
		t.BlockHashes = append(t.BlockHashes, hash)
	}
}
