package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// shared is a router that exchanges views with two peers; it keeps what is posted.
type shared struct {
	*outside
	posted map[int][][]byte
}

func newShared(t *testing.T) *shared {
	w := &shared{outside: newOutside(t, 1), posted: map[int][][]byte{}}
	w.r.outside.Post = func(to int, text []byte) { w.posted[to] = append(w.posted[to], text) }
	w.r.Share(gossip.NewExchange(0, 3, 1, func(int64) int64 { return 0 }, w.now))
	w.r.gateway.StartLease(w.now)
	return w
}

// lists tells an answer of discovery.
func (w *shared) lists(revision int, anew, whole bool, members ...string) {
	text := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, whole, strings.Join(members, ","))
	if err := w.tell(text, anew); err != nil {
		w.t.Fatal(err)
	}
}

func listed(id, phase string, startedAt monotonic.Time) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","locality":"a","phase":%q,"up_since_ms":%d,"build":1}`, id, phase, startedAt)
}

// hears tells a peer's view: the incarnations started at a moment, by id.
func (w *shared) hears(revision int64, ready map[string]int64) {
	view := gossip.View{Revision: revision, Parts: 1}
	for id, startedAt := range ready {
		view.Ready = append(view.Ready, gossip.Incarnation(id, time.Duration(startedAt)*ms, 1))
	}
	w.r.Heard(1, protocol.EncodeGossipView(view))
	w.r.turn()
}

func (w *shared) ready() string {
	var all []string
	for id, i := range w.r.instances {
		if w.r.gateway.EndpointReady(i.it) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// What a peer's newer view lacks has drained or gone, also if discovery still lists it by an older revision, until
// discovery has counted as far. An incarnation that was restarted is another. Nothing becomes ready by a view.
func TestPeersView(t *testing.T) {
	w := newShared(t)
	expect := func(when, want string) {
		t.Helper()
		if got := w.ready(); got != want {
			t.Errorf("%s: %q is ready, want %q", when, got, want)
		}
	}
	w.lists(10, false, true, listed("a", "up", 0), listed("b", "up", 0), listed("c", "up", 0))
	w.hears(9, map[string]int64{"a": 0})
	expect("an older view", "a b c")
	w.hears(12, map[string]int64{"a": 0, "b": 77, "d": 0})
	expect("a newer view, by which b has restarted and c is gone", "a")
	w.lists(11, false, false, listed("e", "up", 0), listed("b", "up", 77))
	expect("discovery, one revision behind the view", "a b")
	w.hears(13, map[string]int64{"a": 0, "b": 77, "c": 0, "e": 0})
	expect("a newer view, by which c and e take requests again", "a b c e")
	w.hears(14, map[string]int64{"b": 77})
	expect("a newer view without a, c and e", "b")
	w.lists(14, false, false, listed("c", "removed", 0))
	expect("discovery as far as the view", "a b e")
	w.hears(20, map[string]int64{"b": 77})
	w.lists(3, true, true, listed("a", "up", 0), listed("b", "up", 77), listed("e", "up", 88))
	expect("discovery that counts anew: e was restarted, a was not", "b e")
	w.lists(21, false, false, listed("a", "up", 0))
	expect("discovery beyond the view", "a b e")
	w.hears(30, map[string]int64{"e": 88})
	expect("a view that discovery does not come to", "e")
	w.lists(22, false, false)
	expect("the same", "e")
	w.now += 6500 * ms
	w.lists(22, false, false)
	expect("the same after 6.5 s: the view is given up", "a b e")
}

// A list that discovery does not confirm runs out for the module, a peer's view or a confirmation renews it, and one of
// a list that this gateway knows nothing of does not.
func TestPeersRenewTheList(t *testing.T) {
	w := newShared(t)
	w.lists(10, false, true, listed("a", "up", 0))
	trusted := func(after monotonic.Time) bool {
		w.now += after
		w.r.turn()
		return w.r.gateway.EndpointListTrusted(w.now)
	}
	confirm := func(revision int64) {
		w.r.Heard(2, protocol.EncodeGossipView(gossip.View{Revision: revision}))
		w.r.turn()
	}
	if !trusted(5000*ms) || trusted(1000*ms) {
		t.Error("the list does not run out after 5 to 6 s")
	}
	if confirm(11); trusted(0) {
		t.Error("a revision whose instances are not known renews the list")
	}
	if confirm(10); !trusted(0) || !trusted(5000*ms) || trusted(1000*ms) {
		t.Error("a peer's confirmation does not renew the list for 5 to 6 s")
	}
	if w.hears(12, map[string]int64{"a": 0}); !trusted(0) {
		t.Error("a peer's view does not renew the list")
	}
	w.r.ListFailed(&protocol.CallError{ResponseStarted: true})
	if w.r.turn(); !trusted(150*ms) || trusted(100*ms) {
		t.Error("an answer that broke off does not end the lease a fifth of a second later")
	}
	w.lists(12, false, false)
	if !trusted(0) {
		t.Error("an answer does not renew the list")
	}
	w.r.ListBegun()
	if w.r.turn(); !trusted(650*ms) || trusted(100*ms) {
		t.Error("an answer that goes on and on does not end the lease before a drain's grace is over")
	}
	w.lists(12, false, false)
	w.r.ListMoved()
	if w.r.turn(); !trusted(3900*ms) || trusted(200*ms) {
		t.Error("a move of discovery does not end the lease after 4 s")
	}
}

// A gateway that follows discovery replies to one that does not, with all that is ready where the other's revision is
// older; it queries peers itself once its own watch is gone.
func TestRepliesToQueries(t *testing.T) {
	w := newShared(t)
	var members []string
	for i := range 100 {
		members = append(members, listed(fmt.Sprint("s-", i), []string{"up", "draining"}[i%2], 0))
	}
	w.lists(10, false, true, members...)
	ask := func(revision int64) (views []gossip.View) {
		w.posted = map[int][][]byte{}
		w.r.Heard(2, protocol.EncodeGossipQuery(gossip.Query{Revision: revision, Age: 5000 * ms}))
		w.now += 500 * ms
		w.r.turn()
		for _, text := range w.posted[2] {
			if view, ok := protocol.DecodeGossipView(text); ok {
				views = append(views, view)
			}
		}
		return views
	}
	if views := ask(10); len(views) != 1 || views[0].Parts != 0 || views[0].Revision != 10 {
		t.Errorf("the same revision is answered with %+v", views)
	}
	ready := 0
	for _, view := range ask(4) {
		ready += len(view.Ready)
	}
	if ready != 50 {
		t.Errorf("an older revision is answered with %d of 50 incarnations", ready)
	}
	w.r.ListFailed(&protocol.CallError{})
	w.now += 500 * ms
	if views := ask(4); len(views) > 0 {
		t.Errorf("a gateway whose watch is gone replies %+v", views)
	}
	queries := 0
	for _, texts := range w.posted {
		for _, text := range texts {
			if _, ok := protocol.DecodeGossipQuery(text); ok {
				queries++
			}
		}
	}
	if queries == 0 {
		t.Error("a gateway whose watch is gone queries nobody")
	}
}
