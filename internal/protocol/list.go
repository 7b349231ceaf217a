package protocol

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"laurelring/decision/monotonic"
)

// ErrOlder says that an answer to a watch is older than the list that is held.
var ErrOlder = errors.New("the list is older than the one held")

// CallError tells of a call to discovery that brought no list.
type CallError struct {
	Revision int64         // the one that was held
	Took     time.Duration // from the call's beginning to its failure
	Begun    bool          // an answer had begun: what it would have told may have been written
	Cause    error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("a call from revision %d failed after %v: %v", e.Revision, e.Took, e.Cause)
}

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// ListMost is the size of the longest list that is read.
const ListMost = 8 << 20

// Member is one instance as the list shows it.
type Member struct {
	ID, Address string
	Ready       bool // it takes new commands
	Present     bool // it runs or drains; else it is gone, and only its ID is sure to be told
	Build       int
	Zone        int // by their order in the settings; one more than those for an unknown name
	Model       int
	Cell        int
	Size        float64
	StartedAt   monotonic.Time // ns of Unix time; 0 for long ago
}

// List is an answer of discovery: all members, or those that have changed.
type List struct {
	Revision int64
	Whole    bool
	Members  []Member
}

// ReadList reads an answer of discovery. One that cannot be read whole is an error, and nothing of it is given. Names
// of zones and models are found by their order in the settings.
func ReadList(text []byte, zones, models []string) (*List, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("the list is not JSON")
	}
	root := gjson.ParseBytes(text)
	members := root.Get("members")
	if root.Get("revision").Type != gjson.Number || !members.IsArray() {
		return nil, errors.New("the list lacks its revision or members")
	}
	list := &List{Revision: root.Get("revision").Int(), Whole: root.Get("complete").Bool()}
	for _, m := range members.Array() {
		if err := sound(m); err != nil {
			return nil, err
		}
		list.Members = append(list.Members, readMember(m, zones, models))
	}
	return list, nil
}

func readMember(m gjson.Result, zones, models []string) Member {
	size := 1.0
	if v := m.Get("size"); v.Type == gjson.Number {
		size = v.Num
	}
	phase := m.Get("phase").Str
	return Member{ID: m.Get("id").Str, Address: m.Get("host_port").Str, Ready: phase == "up",
		Present: phase == "up" || phase == "draining", Build: int(m.Get("build").Int()),
		Zone: place(zones, m.Get("locality").Str), Model: place(models, m.Get("flavor").Str),
		Cell: int(m.Get("cell").Int()), Size: size, StartedAt: asNs(m.Get("up_since_ms").Num)}
}

// sound tells what a member lacks. An unknown word in place of a phase would read as a machine that is gone.
func sound(m gjson.Result) error {
	phase := m.Get("phase")
	if m.Get("id").Type != gjson.String || m.Get("id").Str == "" || phase.Type != gjson.String {
		return errors.New("a member lacks its id or phase")
	}
	switch phase.Str {
	case "up", "draining":
	case "removed":
		return nil
	default:
		return errors.New("a member is in no known phase")
	}
	if _, err := netip.ParseAddrPort(m.Get("host_port").Str); err != nil {
		return errors.New("a member lacks its address")
	}
	for _, name := range []string{"build", "up_since_ms"} {
		if m.Get(name).Type != gjson.Number {
			return errors.New("a member lacks its " + name)
		}
	}
	return nil
}

func place(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
