package protocol

import (
	"errors"
	"net/netip"
	"slices"

	"github.com/tidwall/gjson"
)

// ErrOlder says that an answer to a watch is older than the list that is held.
var ErrOlder = errors.New("the list is older than the one held")

// ListMost is the size of the longest list that is read.
const ListMost = 8 << 20

// List reads an answer of discovery and tells its entries one by one. Nothing is told of one that cannot be
// read whole. Names of zones and models are found by their order in the settings; an unknown one counts as
// one more. Without a call it is only checked.
func List(text []byte, zones, models []string, each func(id, address string, ready, present bool, build, zone,
	model, cell int, size float64, startedAt int64)) (revision int64, whole bool, err error) {
	if !gjson.ValidBytes(text) {
		return 0, false, errors.New("the list is not JSON")
	}
	root := gjson.ParseBytes(text)
	members := root.Get("members")
	if root.Get("revision").Type != gjson.Number || !members.IsArray() {
		return 0, false, errors.New("the list lacks its revision or members")
	}
	for _, m := range members.Array() {
		if err := sound(m); err != nil {
			return 0, false, err
		}
	}
	for _, m := range members.Array() {
		if each == nil {
			break
		}
		size := 1.0
		if v := m.Get("size"); v.Type == gjson.Number {
			size = v.Num
		}
		phase := m.Get("phase").Str
		each(m.Get("id").Str, m.Get("host_port").Str, phase == "up", phase == "up" || phase == "draining",
			int(m.Get("build").Int()), place(zones, m.Get("locality").Str), place(models, m.Get("flavor").Str),
			int(m.Get("cell").Int()), size, asNs(m.Get("up_since_ms").Num))
	}
	return root.Get("revision").Int(), root.Get("complete").Bool(), nil
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
