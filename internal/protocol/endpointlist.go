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

// MaxEndpointListSize is the maximum size of an endpoint list that is read, in bytes.
const MaxEndpointListSize = 8 << 20

// ErrOlderList is the error for an endpoint list from discovery that is older than the one held.
var ErrOlderList = errors.New("endpoint list is older than the one held")

var (
	errListNotJSON    = errors.New("endpoint list is not JSON")
	errListIncomplete = errors.New("endpoint list has no valid revision or members")
)

// CallError is the error of a call to discovery that returned no endpoint list.
type CallError struct {
	Revision        int64         // revision of the list held
	Duration        time.Duration // time from the start of the call to its failure
	ResponseStarted bool          // a response had started, so discovery may have written changes that were not read
	Err             error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("discovery call from revision %d failed after %v: %v", e.Revision, e.Duration, e.Err)
}

// Unwrap returns why the call failed.
func (e *CallError) Unwrap() error { return e.Err }

// EndpointEntry is the entry of one endpoint in an endpoint list. For a removed endpoint only ID is sure to be set.
type EndpointEntry struct {
	ID, Address string
	Ready       bool // endpoint accepts new requests
	Present     bool // endpoint is up or draining, not removed
	Build       int
	Zone        int // index of the zone in the settings, or the number of zones if its name is unknown
	MachineType int // index of the machine type in the settings, or the number of machine types if its name is unknown
	Cell        int
	Size        float64
	StartedAt   monotonic.Time // wall-clock time since 1970, 0 if long ago
}

// EndpointList is a response from discovery.
type EndpointList struct {
	Revision int64
	Complete bool // Entries lists all endpoints rather than only the changed ones
	Entries  []EndpointEntry
}

// ParseEndpointList parses a response from discovery. It returns an error for the whole list if one entry is invalid.
// zones and machineTypes are the names in the settings, in their order.
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

// checkEndpointEntry returns an error if an entry is invalid. An unknown phase is an error, as the endpoint would
// otherwise be taken for removed.
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
		return entryFieldError("phase", "has an unknown value")
	}
	if _, err := netip.ParseAddrPort(member.Get("host_port").Str); err != nil {
		return entryFieldError("host_port", "is not an IP address and port")
	}
	for _, name := range []string{"build", "up_since_ms"} {
		if member.Get(name).Type != gjson.Number {
			return entryFieldError(name, "is not a number")
		}
	}
	return nil
}

func entryFieldError(name, reason string) error {
	return &FieldError{Kind: "endpoint list field", Field: name, Reason: reason}
}

// indexOrCount returns the index of a name in names, or the number of names if it is not among them.
func indexOrCount(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
