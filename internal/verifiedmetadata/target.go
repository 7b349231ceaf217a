package verifiedmetadata

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Target is a target file as a trusted role lists it.
type Target struct {
	Path        string
	Role        string // name of the role that lists the target
	Length      int64
	Hashes      map[string][]byte // by algorithm, only sha256 and sha512
	MirrorName  string            // path on a mirror, below the targets folder
	BlockSize   int64             // block size in bytes, 0 if the role lists no block hashes
	BlockHashes [][]byte          // SHA-256 hash of each block
}

// LookupTarget returns a target if the metadata that are available already list it. If the file of a delegated role
// would have to be fetched first, it returns an error with ReasonUnavailable.
func (v *Verifier) LookupTarget(path string, now int64) (*Target, error) {
	search, err := v.SearchTarget(path, now)
	if err != nil {
		return nil, err
	}
	target, needed, err := search.Next()
	if err == nil && target == nil {
		err = newError(ReasonUnavailable, needed.Role, "role metadata have not been fetched yet")
	}
	return target, err
}

// newTarget converts the entry that a role lists for a target. It refuses an entry without a supported hash or with a
// negative length.
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
		return nil, newError(ReasonUnknownAlgorithm, path, "no sha256 or sha512 hash is listed")
	}
	if file.Length < 0 {
		return nil, newError(ReasonWrongLength, path, "listed length of %d bytes is negative", file.Length)
	}
	target.readBlocks(file)
	return target, nil
}

// readBlocks reads the block size and the block hashes from the target's custom field. It ignores them if the number of
// hashes does not match the target's length.
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
