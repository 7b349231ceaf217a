package routing

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// A truncated or older list is rejected and leaves the held list and its drains unchanged. An empty complete list
// removes all endpoints, whose ids may be listed again later. An older list that answers a request without a revision
// is applied, but an endpoint that a newer list showed as draining or removed stays so until it restarts, or until
// discovery has reached the revision of that list.
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
			t.Errorf("list %d: got error %v and %d ready endpoints, want %d", i, err, ready(), c.want)
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
		{3, entry("a", "up") + "," + entry("b", "up") + "," + entry("d", "up"), true, false, 1}, // revision 54 removed a, revision 56 drained b
		{4, restarted("a"), false, false, 2},
		{5, entry("d", "draining"), false, false, 1},
		{57, entry("b", "up"), false, false, 2},
	} {
		text := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, c.revision, i < 2, c.members)
		if err := env.receiveList(text, c.full); (err != nil) != c.err || ready() != c.want {
			t.Errorf("after a return to older revisions, list %d: got error %v and %d ready endpoints, want %d", i, err, ready(), c.want)
		}
	}
}

// While discovery that pushes the list is down, its watch is opened again many times a second. The log gets the first
// failure and then one line a second at most, each with the number of failures so far.
func TestLogsFailuresOfDiscoveryAtMostOnceASecond(t *testing.T) {
	env := newFixture(t, 1)
	var log strings.Builder
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	for range 100 { // over 2.5 s
		env.router.DiscoveryFailed(errors.New("refused"))
		env.router.turn()
		env.now += 25 * ms
	}
	if got := strings.Count(log.String(), "endpoint list watch failed"); got != 3 {
		t.Errorf("got %d log lines for failures over 2.5 s, want 3", got)
	}
	for _, failures := range []string{"failures=1 ", "failures=41 ", "failures=81 "} {
		if !strings.Contains(log.String(), failures) {
			t.Errorf("no log line with %s", failures)
		}
	}
}
