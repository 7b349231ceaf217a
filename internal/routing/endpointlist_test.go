package routing

import (
	"fmt"
	"strings"
	"testing"
)

// A truncated or older list leaves the list held, and its drains, as they are. An empty one removes all endpoints, whose
// ids may return. An older one of a full request is followed, but what was draining or removed by a newer list stays so
// until it is restarted, or discovery has counted beyond.
func TestRefusesTruncatedAndOlderEndpointLists(t *testing.T) {
	env := newFixture(t, 1)
	one := func(id, phase string) string {
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
		{`{"revision":50,"complete":true,"members":[` + one("a", "up") + "," + one("b", "draining") + "]}", false, 1},
		{`{"revision":49,"complete":true,"members":[` + one("a", "up") + "," + one("b", "up") + "]}", true, 1},
		{`{"revision":48,"complete":false,"members":[` + one("b", "up") + "]}", true, 1},
		{`{"revision":51,"complete":true,"members":[` + one("a", "up"), true, 1},
		{"{\n  \"revision\": 51,\n  \"complete\": false,\n  \"members\": [\n" + one("c", "up") + "\n  ]\n}\n", false, 2},
		{`{"revision":52,"complete":false,"members":[` + one("c", "removed") + "]}", false, 1},
		{`{"revision":53,"complete":false,"members":[` + one("c", "up") + "]}", false, 2},
		{`{"revision":54,"complete":true,"members":[]}`, false, 0},
		{`{"revision":55,"complete":true,"members":[` + one("b", "up") + "]}", false, 1},
	} {
		if err := env.receiveList(c.text, false); (err != nil) != c.err || ready() != c.want {
			t.Errorf("list %d: %v, %d ready, want %d", i, err, ready(), c.want)
		}
	}
	started := func(id string) string {
		return strings.Replace(one(id, "up"), `"up_since_ms":0`, `"up_since_ms":77`, 1)
	}
	if err := env.receiveList(`{"revision":56,"complete":false,"members":[`+one("b", "draining")+"]}", false); err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct {
		revision int
		members  string
		anew     bool
		err      bool
		want     int
	}{
		{3, one("a", "up") + "," + one("b", "up"), false, true, 0},
		{3, one("a", "up") + "," + one("b", "up") + "," + one("d", "up"), true, false, 1}, // a went by 54, b drained by 56
		{4, started("a"), false, false, 2},
		{5, one("d", "draining"), false, false, 1},
		{57, one("b", "up"), false, false, 2},
	} {
		text := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, c.revision, i < 2, c.members)
		if err := env.receiveList(text, c.anew); (err != nil) != c.err || ready() != c.want {
			t.Errorf("discovery counts from before, list %d: %v, %d ready, want %d", i, err, ready(), c.want)
		}
	}
}
