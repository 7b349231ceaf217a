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

// MaxEndpointListSize is the size of the longest endpoint list that is read, in bytes.
const MaxEndpointListSize = 8 << 20

// ErrOlderList says that an answer to a watch is older than the endpoint list held.
var ErrOlderList = errors.New("endpoint list is older than the one held")

var (
	errListNotJSON    = errors.New("endpoint list is not JSON")
	errListIncomplete = errors.New("endpoint list lacks its revision or members")
)

// CallError is a call to discovery that brought no endpoint list.
type CallError struct {
	Revision        int64         // of the list held
	Duration        time.Duration // from the start of the call to its failure
	ResponseStarted bool          // so that changes may have been written that were not read
	Err             error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("call from revision %d failed after %v: %v", e.Revision, e.Duration, e.Err)
}

// Unwrap returns why the call failed.
func (e *CallError) Unwrap() error { return e.Err }

// EndpointEntry is one endpoint as the endpoint list shows it. Of an endpoint that is gone only the ID is sure to be set.
type EndpointEntry struct {
	ID, Address string
	Ready       bool // it takes new requests
	Present     bool // it runs or drains; else it is gone
	Build       int
	Zone        int // its position in the settings; the number of zones where its name is unknown
	MachineType int // its position in the settings; the number of machine types where its name is unknown
	Cell        int
	Size        float64
	StartedAt   monotonic.Time // by the wall clock, since 1970; 0 for long ago
}

// EndpointList is an answer of discovery: all endpoints, or those that have changed.
type EndpointList struct {
	Revision int64
	Complete bool
	Entries  []EndpointEntry
}

// ParseEndpointList parses an answer of discovery. A list with an entry that is at fault is an error as a whole.
// Zones and machine types are given by name, in their order in the settings.
func ParseEndpointList(text []byte, zones, machineTypes []string) (*EndpointList, error) {
	if !gjson.ValidBytes(text) {
		return nil, errListNotJSON
	}
	root := gjson.ParseBytes(text)
	members := root.Get("members")
	if root.Get("revision").Type != gjson.Number || !members.IsArray() {
		return nil, errListIncomplete
	}
	list := &EndpointList{Revision: root.Get("revision").Int(), Complete: root.Get("complete").Bool()}
	for _, member := range members.Array() {
		if err := checkEndpointEntry(member); err != nil {
			return nil, err
		}
		list.Entries = append(list.Entries, parseEndpointEntry(member, zones, machineTypes))
	}
	return list, nil
}

func parseEndpointEntry(member gjson.Result, zones, machineTypes []string) EndpointEntry {
	size := 1.0
	if field := member.Get("size"); field.Type == gjson.Number {
		size = field.Num
	}
	phase := member.Get("phase").Str
	return EndpointEntry{
		ID:          member.Get("id").Str,
		Address:     member.Get("host_port").Str,
		Ready:       phase == "up",
		Present:     phase == "up" || phase == "draining",
		Build:       int(member.Get("build").Int()),
		Zone:        indexOrCount(zones, member.Get("locality").Str),
		MachineType: indexOrCount(machineTypes, member.Get("flavor").Str),
		Cell:        int(member.Get("cell").Int()),
		Size:        size,
		StartedAt:   durationFromMs(member.Get("up_since_ms").Num),
	}
}

// checkEndpointEntry says what an entry lacks. An unknown phase is an error, as it would read as an endpoint that is gone.
func checkEndpointEntry(member gjson.Result) error {
	id, phase := member.Get("id"), member.Get("phase")
	if id.Type != gjson.String || id.Str == "" {
		return entryFieldError("id", "is missing")
	}
	if phase.Type != gjson.String {
		return entryFieldError("phase", "is missing")
	}
	switch phase.Str {
	case "up", "draining":
	case "removed":
		return nil
	default:
		return entryFieldError("phase", "is unknown")
	}
	if _, err := netip.ParseAddrPort(member.Get("host_port").Str); err != nil {
		return entryFieldError("host_port", "is no address and port")
	}
	for _, name := range []string{"build", "up_since_ms"} {
		if member.Get(name).Type != gjson.Number {
			return entryFieldError(name, "is no number")
		}
	}
	return nil
}

func entryFieldError(name, reason string) error {
	return &FieldError{Kind: "endpoint list field", Field: name, Reason: reason}
}

// indexOrCount returns the position of a name, or the number of names where it is not among them.
func indexOrCount(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
