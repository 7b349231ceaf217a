package verifiedmetadata

import (
	"fmt"
	"slices"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// TargetSearch looks for the role that lists a target: delegations in pre-order, each role once, and nothing behind a
// terminating delegation that matches.
type TargetSearch struct {
	verifier *Verifier
	path     string
	now      int64
	pending  []delegation // to be visited, the next one last
	visited  map[string]bool
	found    *Target
}

// delegation is a role to be visited with the role that delegates to it.
type delegation struct {
	role, delegator string
	depth           int
}

// SearchTarget starts to look for a target in the trusted metadata, which have to be valid now.
func (v *Verifier) SearchTarget(path string, now int64) (*TargetSearch, error) {
	if !IsSafePath(path) {
		return nil, newError(ReasonUnsafePath, fmt.Sprintf("%q", path), "it could leave its folder")
	}
	if err := v.CheckValid(now); err != nil {
		return nil, err
	}
	return &TargetSearch{
		verifier: v,
		path:     path,
		now:      now,
		pending:  []delegation{{role: metadata.TARGETS, delegator: metadata.ROOT}},
		visited:  map[string]bool{metadata.TARGETS: true},
	}, nil
}

// Next returns the target, or the file that is needed to go on where the target is nil, or an error.
func (s *TargetSearch) Next() (*Target, NeededFile, error) {
	v := s.verifier
	for s.found == nil {
		if len(s.pending) == 0 {
			return nil, NeededFile{}, newError(ReasonNotListed, s.path, "by %d roles", len(s.visited))
		}
		current := s.pending[len(s.pending)-1]
		if current.depth > v.limits.DelegationDepth || len(s.visited) > v.limits.DelegatedRoles {
			return nil, NeededFile{}, newError(ReasonTooDeep, s.path, "at role %q", current.role)
		}
		targets := v.trusted.Targets[current.role]
		if targets == nil {
			if stored := v.stored[current.role]; stored != nil && s.verify(current, stored) == nil {
				continue
			}
			if v.trusted.Snapshot.Signed.Meta[current.role+".json"] == nil {
				return nil, NeededFile{}, newError(ReasonMixAndMatch, current.role, "the snapshot does not name it")
			}
			return nil, s.roleFile(current.role), nil
		}
		if err := s.visit(current, targets); err != nil {
			return nil, NeededFile{}, err
		}
	}
	return s.found, NeededFile{}, nil
}

// roleFile is the file of a delegated role that the snapshot lists.
func (s *TargetSearch) roleFile(role string) NeededFile {
	v := s.verifier
	return v.listedFile(role, v.trusted.Snapshot.Signed.Meta, v.limits.TargetsBytes)
}

// visit looks for the target in a role, which is the next pending one, or follows its delegations.
func (s *TargetSearch) visit(current delegation, targets *metadata.Metadata[metadata.TargetsType]) error {
	if targets.Signed.Expires.UnixNano() <= s.now {
		return newError(ReasonExpired, current.role, "version %d", targets.Signed.Version)
	}
	s.pending = s.pending[:len(s.pending)-1]
	if file := targets.Signed.Targets[s.path]; file != nil {
		target, err := s.verifier.newTarget(s.path, current.role, file)
		if err != nil {
			return err
		}
		s.found = target
		return nil
	}
	s.follow(current, targets)
	return nil
}

// follow puts the roles that a role delegates the target to before the others that are pending.
func (s *TargetSearch) follow(current delegation, targets *metadata.Metadata[metadata.TargetsType]) {
	if targets.Signed.Delegations == nil {
		return
	}
	var children []delegation
	for _, role := range targets.Signed.Delegations.GetRolesForTarget(s.path) {
		if !s.visited[role.Name] {
			s.visited[role.Name] = true
			children = append(children, delegation{role: role.Name, delegator: current.role, depth: current.depth + 1})
		}
		if role.Terminating {
			s.pending = nil
			break
		}
	}
	slices.Reverse(children)
	s.pending = append(s.pending, children...)
}

// VerifyRole takes the contents of the file that Next returned.
func (s *TargetSearch) VerifyRole(contents []byte) error {
	if len(s.pending) == 0 {
		return newError(ReasonUnavailable, s.path, "nothing was wanted")
	}
	current := s.pending[len(s.pending)-1]
	if limit := s.roleFile(current.role).MaxBytes; int64(len(contents)) > limit {
		return newError(ReasonTooLarge, current.role, "%d bytes, %d at most", len(contents), limit)
	}
	if err := s.verify(current, contents); err != nil {
		return err
	}
	s.verifier.store(current.role, contents)
	return nil
}

// verify verifies a delegated role's file. A role is refused whose name could leave a folder or is a record's name.
func (s *TargetSearch) verify(current delegation, contents []byte) error {
	unsafeName := !IsSafePath(current.role) || strings.Contains(current.role, "/") || slices.Contains(reservedNames, current.role)
	if current.delegator != metadata.ROOT && unsafeName {
		return newError(ReasonUnsafePath, fmt.Sprintf("%q", current.role), "a role's name")
	}
	if _, err := s.verifier.trusted.UpdateDelegatedTargets(contents, current.role, current.delegator); err != nil {
		return s.verifier.diagnose(current.role, contents, err, ReasonMixAndMatch)
	}
	return nil
}

// reservedNames are record names that no delegated role may have.
var reservedNames = []string{metadata.ROOT, metadata.TIMESTAMP, metadata.SNAPSHOT, metadata.TARGETS,
	lastRefreshRecord, newestTimestampRecord}

// trustedTargetsRoles returns the trusted roles that list targets: the top-level one, then the delegated ones by name.
func (v *Verifier) trustedTargetsRoles() []string {
	roles := []string{metadata.TARGETS}
	for role := range v.trusted.Targets {
		if role != metadata.TARGETS {
			roles = append(roles, role)
		}
	}
	slices.Sort(roles[1:])
	return roles
}

// storedDelegatedRoles returns the names of the delegated roles that are stored, sorted.
func (v *Verifier) storedDelegatedRoles() []string {
	var roles []string
	for role := range v.stored {
		if !slices.Contains(reservedNames, role) {
			roles = append(roles, role)
		}
	}
	slices.Sort(roles)
	return roles
}

// delegatesTo reports whether a role's metadata delegate to a role.
func delegatesTo(targets *metadata.Metadata[metadata.TargetsType], role string) bool {
	if targets == nil || targets.Signed.Delegations == nil {
		return false
	}
	if succinct := targets.Signed.Delegations.SuccinctRoles; succinct != nil && succinct.IsDelegatedRole(role) {
		return true
	}
	return slices.ContainsFunc(targets.Signed.Delegations.Roles, func(delegated metadata.DelegatedRole) bool {
		return delegated.Name == role
	})
}
