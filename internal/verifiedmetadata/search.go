package verifiedmetadata

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Target is a file that a trusted role lists.
type Target struct {
	Path        string
	Role        string // that lists it
	Length      int64
	Hashes      map[string][]byte
	MirrorName  string // as a mirror has it, under the folder of targets
	BlockSize   int64  // bytes of a block, 0 where the role gives no hashes of blocks
	BlockHashes [][]byte
}

// Search looks for the role that answers for a target: the roles that delegate to each other in their order, each
// once, those behind a terminating one not at all.
type TargetSearch struct {
	k      *Verifier
	path   string
	now    int64
	open   []edge // to be visited, the next one last
	seen   map[string]bool
	answer *Target
}

// edge is a role with the role that delegates to it.
type edge struct {
	role, from string
	depth      int
}

// Search begins to look for a target in what is trusted and stands.
func (k *Verifier) SearchTarget(path string, now int64) (*TargetSearch, *VerificationError) {
	if !IsSafePath(path) {
		return nil, refuse(ReasonUnsafePath, fmt.Sprintf("%q", path), "it could leave its folder")
	}
	if refused := k.CheckValid(now); refused != nil {
		return nil, refused
	}
	return &TargetSearch{k: k, path: path, now: now, seen: map[string]bool{metadata.TARGETS: true},
		open: []edge{{metadata.TARGETS, metadata.ROOT, 0}}}, nil
}

// Next gives the target, or the file that is needed to go on, or why there is neither.
func (s *TargetSearch) Next() (*Target, NeededFile, *VerificationError) {
	k := s.k
	for s.answer == nil {
		if len(s.open) == 0 {
			return nil, NeededFile{}, refuse(ReasonNotListed, s.path, "by %d roles", len(s.seen))
		}
		at := s.open[len(s.open)-1]
		if at.depth > k.limits.DelegationDepth || len(s.seen) > k.limits.DelegatedRoles {
			return nil, NeededFile{}, refuse(ReasonTooDeep, s.path, "at role %q", at.role)
		}
		one := k.current.Targets[at.role]
		if one == nil {
			if had := k.kept[at.role]; had != nil && s.take(at, had) == nil {
				continue
			}
			if k.current.Snapshot.Signed.Meta[at.role+".json"] == nil {
				return nil, NeededFile{}, refuse(ReasonMixAndMatch, at.role, "the snapshot does not name it")
			}
			return nil, k.named(at.role, k.current.Snapshot.Signed.Meta, k.limits.TargetsBytes), nil
		}
		if one.Signed.Expires.UnixNano() <= s.now {
			return nil, NeededFile{}, refuse(ReasonExpired, at.role, "version %d", one.Signed.Version)
		}
		s.open = s.open[:len(s.open)-1]
		if file := one.Signed.Targets[s.path]; file != nil {
			t, refused := k.target(s.path, at.role, file)
			if refused != nil {
				return nil, NeededFile{}, refused
			}
			s.answer = t
			break
		}
		s.follow(at, one)
	}
	return s.answer, NeededFile{}, nil
}

// follow puts the roles that a role delegates the target to before the others that are still to be visited.
func (s *TargetSearch) follow(at edge, one *metadata.Metadata[metadata.TargetsType]) {
	if one.Signed.Delegations == nil {
		return
	}
	var further []edge
	for _, r := range one.Signed.Delegations.GetRolesForTarget(s.path) {
		if !s.seen[r.Name] {
			s.seen[r.Name] = true
			further = append(further, edge{r.Name, at.role, at.depth + 1})
		}
		if r.Terminating {
			s.open = nil
			break
		}
	}
	slices.Reverse(further)
	s.open = append(s.open, further...)
}

// Got takes the bytes of the role that was wanted.
func (s *TargetSearch) VerifyRole(text []byte) *VerificationError {
	if len(s.open) == 0 {
		return refuse(ReasonUnavailable, s.path, "nothing was wanted")
	}
	at := s.open[len(s.open)-1]
	if most := s.k.named(at.role, s.k.current.Snapshot.Signed.Meta, s.k.limits.TargetsBytes).MaxBytes; int64(len(text)) > most {
		return refuse(ReasonTooLarge, at.role, "%d bytes, %d at most", len(text), most)
	}
	if refused := s.take(at, text); refused != nil {
		return refused
	}
	s.k.keep(at.role, text)
	return nil
}

// reserved names stand for records of their own.
var reserved = []string{metadata.ROOT, metadata.TIMESTAMP, metadata.SNAPSHOT, metadata.TARGETS, fresh, seen}

// take verifies a delegated role. One whose name could leave a folder, or stands for something else, is none.
func (s *TargetSearch) take(at edge, text []byte) *VerificationError {
	if at.from != metadata.ROOT && (!IsSafePath(at.role) || strings.Contains(at.role, "/") || slices.Contains(reserved, at.role)) {
		return refuse(ReasonUnsafePath, fmt.Sprintf("%q", at.role), "a role's name")
	}
	if _, err := s.k.current.UpdateDelegatedTargets(text, at.role, at.from); err != nil {
		return s.k.diagnose(at.role, text, err, ReasonMixAndMatch)
	}
	return nil
}

// target reads what a role lists of a target. One without a hash that can be checked here is not taken.
func (k *Verifier) target(path, role string, file *metadata.TargetFiles) (*Target, *VerificationError) {
	t := &Target{Path: path, Role: role, Length: file.Length, Hashes: map[string][]byte{}, MirrorName: path}
	for _, kind := range []string{"sha256", "sha512"} {
		if h := file.Hashes[kind]; len(h) > 0 {
			t.Hashes[kind] = h
			if k.current.Root.Signed.ConsistentSnapshot && t.MirrorName == path {
				at := strings.LastIndexByte(path, '/') + 1
				t.MirrorName = path[:at] + fmt.Sprintf("%x.", []byte(h)) + path[at:]
			}
		}
	}
	if len(t.Hashes) == 0 {
		return nil, refuse(ReasonUnknownAlgorithm, path, "no hash that can be checked")
	}
	if file.Length < 0 {
		return nil, refuse(ReasonWrongLength, path, "%d bytes", file.Length)
	}
	var custom struct {
		Blocks struct {
			Size   int64               `json:"size"`
			Sha256 []metadata.HexBytes `json:"sha256"`
		} `json:"blocks"`
	}
	if file.Custom != nil && json.Unmarshal(*file.Custom, &custom) == nil && custom.Blocks.Size > 0 &&
		int64(len(custom.Blocks.Sha256)) == (file.Length+custom.Blocks.Size-1)/custom.Blocks.Size {
		t.BlockSize = custom.Blocks.Size
		for _, h := range custom.Blocks.Sha256 {
			t.BlockHashes = append(t.BlockHashes, h)
		}
	}
	return t, nil
}

// Listed tells whether a target may be taken now, by what is trusted already: nothing is asked for.
func (k *Verifier) LookupTarget(path string, now int64) (*Target, *VerificationError) {
	s, refused := k.SearchTarget(path, now)
	if refused != nil {
		return nil, refused
	}
	t, want, refused := s.Next()
	if refused == nil && t == nil {
		refused = refuse(ReasonUnavailable, want.Role, "it has not been fetched yet")
	}
	return t, refused
}

// delegators gives the roles that list targets and are trusted, the first among them the top one.
func (k *Verifier) delegators() []string {
	all := []string{metadata.TARGETS}
	for role := range k.current.Targets {
		if role != metadata.TARGETS {
			all = append(all, role)
		}
	}
	slices.Sort(all[1:])
	return all
}

// delegated gives the delegated roles that are kept.
func (k *Verifier) delegated() []string {
	var all []string
	for role := range k.kept {
		if !slices.Contains(reserved, role) {
			all = append(all, role)
		}
	}
	slices.Sort(all)
	return all
}

func delegates(from *metadata.Metadata[metadata.TargetsType], role string) bool {
	if from == nil || from.Signed.Delegations == nil {
		return false
	}
	if s := from.Signed.Delegations.SuccinctRoles; s != nil && s.IsDelegatedRole(role) {
		return true
	}
	return slices.ContainsFunc(from.Signed.Delegations.Roles, func(r metadata.DelegatedRole) bool { return r.Name == role })
}
