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
var ErrOlderList = errors.New("the list is older than the one held")

// CallError tells of a call to discovery that brought no list.
type CallError struct {
	Revision        int64         // the one that was held
	Duration        time.Duration // from the call's beginning to its failure
	ResponseStarted bool          // an answer had begun: what it would have told may have been written
	Err             error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("a call from revision %d failed after %v: %v", e.Revision, e.Duration, e.Err)
}

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Err }

// ListMost is the size of the longest list that is read.
const MaxEndpointListSize = 8 << 20

// Member is one instance as the list shows it.
type EndpointEntry struct {
	ID, Address string
	Ready       bool // it takes new commands
	Present     bool // it runs or drains; else it is gone, and only its ID is sure to be told
	Build       int
	Zone        int // by their order in the settings; one more than those for an unknown name
	MachineType int
	Cell        int
	Size        float64
	StartedAt   monotonic.Time // ns of Unix time; 0 for long ago
}

// List is an answer of discovery: all members, or those that have changed.
type EndpointList struct {
	Revision int64
	Complete bool
	Entries  []EndpointEntry
}

// ReadList reads an answer of discovery. One that cannot be read whole is an error, and nothing of it is given. Names
// of zones and models are found by their order in the settings.
func ParseEndpointList(text []byte, zones, models []string) (*EndpointList, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("the list is not JSON")
	}
	root := gjson.ParseBytes(text)
	members := root.Get("members")
	if root.Get("revision").Type != gjson.Number || !members.IsArray() {
		return nil, errors.New("the list lacks its revision or members")
	}
	list := &EndpointList{Revision: root.Get("revision").Int(), Complete: root.Get("complete").Bool()}
	for _, m := range members.Array() {
		if err := checkEndpointEntry(m); err != nil {
			return nil, err
		}
		list.Entries = append(list.Entries, parseEndpointEntry(m, zones, models))
	}
	return list, nil
}

func parseEndpointEntry(m gjson.Result, zones, models []string) EndpointEntry {
	size := 1.0
	if v := m.Get("size"); v.Type == gjson.Number {
		size = v.Num
	}
	phase := m.Get("phase").Str
	return EndpointEntry{ID: m.Get("id").Str, Address: m.Get("host_port").Str, Ready: phase == "up",
		Present: phase == "up" || phase == "draining", Build: int(m.Get("build").Int()),
		Zone: indexOrCount(zones, m.Get("locality").Str), MachineType: indexOrCount(models, m.Get("flavor").Str),
		Cell: int(m.Get("cell").Int()), Size: size, StartedAt: durationFromMs(m.Get("up_since_ms").Num)}
}

// sound tells what a member lacks. An unknown word in place of a phase would read as a machine that is gone.
func checkEndpointEntry(m gjson.Result) error {
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

func indexOrCount(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
