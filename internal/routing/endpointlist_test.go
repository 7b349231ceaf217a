package routing

import (
	"fmt"
	"strings"
	"testing"
)

// A truncated or older list leaves the list held, and its drains, as they are. An empty one removes all endpoints, whose
// ids may return. An older one of a full request is followed, but what was draining or removed by a newer list stays so
// until it is restarted, or discovery has counted beyond.
func TestRejectsTruncatedAndOlderEndpointLists(t *testing.T) {
	env := newFixture(t, 1)
	entry := func(id, phase string) string {
		return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","locality":"a","phase":%q,"up_since_ms":0,"build":1}`, id, phase)
	}
	ready := func() int {
		n := 0
		for _, i := range env.router.endpoints.byID {
			if env.router.balancer.EndpointReady(i.endpoint) {
				n++
			}
		}
		return n
	}
	for i, c := range []struct {
		text string
		err  bool
		want int
	}{
		{`{"revision":50,"complete":true,"members":[` + entry("a", "up") + "," + entry("b", "draining") + "]}", false, 1},
		{`{"revision":49,"complete":true,"members":[` + entry("a", "up") + "," + entry("b", "up") + "]}", true, 1},
		{`{"revision":48,"complete":false,"members":[` + entry("b", "up") + "]}", true, 1},
		{`{"revision":51,"complete":true,"members":[` + entry("a", "up"), true, 1},
		{"{\n  \"revision\": 51,\n  \"complete\": false,\n  \"members\": [\n" + entry("c", "up") + "\n  ]\n}\n", false, 2},
		{`{"revision":52,"complete":false,"members":[` + entry("c", "removed") + "]}", false, 1},
		{`{"revision":53,"complete":false,"members":[` + entry("c", "up") + "]}", false, 2},
		{`{"revision":54,"complete":true,"members":[]}`, false, 0},
		{`{"revision":55,"complete":true,"members":[` + entry("b", "up") + "]}", false, 1},
	} {
		if err := env.receiveList(c.text, false); (err != nil) != c.err || ready() != c.want {
			t.Errorf("list %d: %v, %d ready, want %d", i, err, ready(), c.want)
		}
	}
	restarted := func(id string) string {
		return strings.Replace(entry(id, "up"), `"up_since_ms":0`, `"up_since_ms":77`, 1)
	}
	if err := env.receiveList(`{"revision":56,"complete":false,"members":[`+entry("b", "draining")+"]}", false); err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct {
		revision int
		members  string
		full     bool
		err      bool
		want     int
	}{
		{3, entry("a", "up") + "," + entry("b", "up"), false, true, 0},
		{3, entry("a", "up") + "," + entry("b", "up") + "," + entry("d", "up"), true, false, 1}, // a went by 54, b drained by 56
		{4, restarted("a"), false, false, 2},
		{5, entry("d", "draining"), false, false, 1},
		{57, entry("b", "up"), false, false, 2},
	} {
		text := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, c.revision, i < 2, c.members)
		if err := env.receiveList(text, c.full); (err != nil) != c.err || ready() != c.want {
			t.Errorf("discovery counts from before, list %d: %v, %d ready, want %d", i, err, ready(), c.want)
		}
	}
}
