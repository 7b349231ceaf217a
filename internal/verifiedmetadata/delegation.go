package verifiedmetadata

import (
	"fmt"
	"slices"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// TargetSearch is a search for the role that lists a target. It visits delegated roles in pre-order, each role once,
// and no further roles after a terminating delegation that matches the target path.
type TargetSearch struct {
	verifier *Verifier
	path     string
	now      int64
	pending  []delegation    // a stack of the roles to visit: the next one is last
	visited  map[string]bool // names of all roles that were ever pending
	found    *Target
}

// delegation is a role to visit and the role that delegates to it.
type delegation struct {
	role, delegator string
	depth           int
}

// SearchTarget starts a search for a target in the trusted metadata. It fails if the path is unsafe or CheckValid does.
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

// Next returns the target if it was found. If the target is nil and there is no error, the search needs the returned
// file to go on.
func (s *TargetSearch) Next() (*Target, NeededFile, error) {
	v := s.verifier
	for s.found == nil {
		if len(s.pending) == 0 {
			return nil, NeededFile{}, newError(ReasonNotListed, s.path, "by %d roles", len(s.visited))
		}
		current := s.pending[len(s.pending)-1]
		if current.depth > v.limits.DelegationDepth || len(s.visited) > v.limits.DelegatedRoles {
			return nil, NeededFile{}, newError(ReasonTooDeep, s.path, "delegation limit exceeded at role %q", current.role)
		}
		targets := v.trusted.Targets[current.role]
		if targets == nil {
			if stored := v.stored[current.role]; stored != nil && s.verifyDelegatedRole(current, stored) == nil {
				continue
			}
			if v.trusted.Snapshot.Signed.Meta[current.role+".json"] == nil {
				return nil, NeededFile{}, newError(ReasonMixAndMatch, current.role, "snapshot does not list this role")
			}
			return nil, s.roleFile(current.role), nil
		}
		if err := s.visit(current, targets); err != nil {
			return nil, NeededFile{}, err
		}
	}
	return s.found, NeededFile{}, nil
}

// roleFile returns the file of a delegated role, as the snapshot lists it.
func (s *TargetSearch) roleFile(role string) NeededFile {
	v := s.verifier
	return v.listedFile(role, v.trusted.Snapshot.Signed.Meta, v.limits.TargetsBytes)
}

// visit looks up the target in the metadata of the next pending role, or follows the role's delegations if they do not
// list the target.
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
	s.followDelegations(current, targets)
	return nil
}

// followDelegations adds the roles to which a role delegates the target path, to be visited before the roles that are
// pending already. After a terminating delegation no others remain pending.
func (s *TargetSearch) followDelegations(current delegation, targets *metadata.Metadata[metadata.TargetsType]) {
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

// VerifyRole verifies the contents of the file that Next returned, and adds them to the records to be stored.
func (s *TargetSearch) VerifyRole(contents []byte) error {
	if len(s.pending) == 0 {
		return newError(ReasonUnavailable, s.path, "no metadata file is needed")
	}
	current := s.pending[len(s.pending)-1]
	if limit := s.roleFile(current.role).MaxBytes; int64(len(contents)) > limit {
		return newError(ReasonTooLarge, current.role, "got %d bytes, want at most %d", len(contents), limit)
	}
	if err := s.verifyDelegatedRole(current, contents); err != nil {
		return err
	}
	s.verifier.putRecord(current.role, contents)
	return nil
}

// verifyDelegatedRole verifies the file of a delegated role. It refuses a role whose name could point outside a folder
// or is the name of another record.
func (s *TargetSearch) verifyDelegatedRole(current delegation, contents []byte) error {
	unsafeName := !IsSafePath(current.role) || strings.Contains(current.role, "/") || slices.Contains(reservedNames, current.role)
	if current.delegator != metadata.ROOT && unsafeName {
		return newError(ReasonUnsafePath, fmt.Sprintf("%q", current.role), "delegated role name is unsafe or reserved")
	}
	if _, err := s.verifier.trusted.UpdateDelegatedTargets(contents, current.role, current.delegator); err != nil {
		return s.verifier.diagnose(current.role, contents, err, ReasonMixAndMatch)
	}
	return nil
}

// reservedNames are the record names that a delegated role must not have.
var reservedNames = []string{metadata.ROOT, metadata.TIMESTAMP, metadata.SNAPSHOT, metadata.TARGETS,
	lastRefreshRecord, newestTimestampRecord}

// trustedTargetsRoles returns the names of the trusted targets roles: the top-level role, then the delegated roles,
// sorted by name.
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

// storedDelegatedRoles returns the sorted names of the delegated roles with a stored file.
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

// delegatesTo reports whether targets metadata, which may be nil, delegate to a role.
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
