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
type gossipFixture struct {
	*fixture
	sentDatagrams map[int][][]byte
}

func newGossipFixture(t *testing.T) *gossipFixture {
	w := &gossipFixture{fixture: newFixture(t, 1), sentDatagrams: map[int][][]byte{}}
	w.r.drivers.SendDatagram = func(to int, text []byte) { w.sentDatagrams[to] = append(w.sentDatagrams[to], text) }
	w.r.list.exchange = gossip.NewExchange(gossip.Config{Rank: 0, Gateways: 3, Revision: 1,
		Random: func(int64) int64 { return 0 }}, w.now)
	w.r.balancer.StartLease(w.now)
	return w
}

// lists tells an answer of discovery.
func (w *gossipFixture) receiveMembers(revision int, anew, whole bool, members ...string) {
	text := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, whole, strings.Join(members, ","))
	if err := w.receiveList(text, anew); err != nil {
		w.t.Fatal(err)
	}
}

func memberJSON(id, phase string, startedAt monotonic.Time) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","locality":"a","phase":%q,"up_since_ms":%d,"build":1}`, id, phase, startedAt)
}

// hears tells a peer's view: the incarnations started at a moment, by id.
func (w *gossipFixture) receiveView(revision int64, ready map[string]int64) {
	view := gossip.View{Revision: revision, Parts: 1}
	for id, startedAt := range ready {
		view.Ready = append(view.Ready, gossip.Incarnation(id, time.Duration(startedAt)*ms, 1))
	}
	w.r.DatagramReceived(1, protocol.EncodeGossipView(view))
	w.r.turn()
}

func (w *gossipFixture) readyEndpoints() string {
	var all []string
	for id, i := range w.r.endpoints.byID {
		if w.r.balancer.EndpointReady(i.endpoint) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// What a peer's newer view lacks has drained or gone, also if discovery still lists it by an older revision, until
// discovery has counted as far. An incarnation that was restarted is another. Nothing becomes ready by a view.
func TestPeerViewRemovesEndpointsUntilDiscoveryCatchesUp(t *testing.T) {
	w := newGossipFixture(t)
	expect := func(when, want string) {
		t.Helper()
		if got := w.readyEndpoints(); got != want {
			t.Errorf("%s: %q is ready, want %q", when, got, want)
		}
	}
	w.receiveMembers(10, false, true, memberJSON("a", "up", 0), memberJSON("b", "up", 0), memberJSON("c", "up", 0))
	w.receiveView(9, map[string]int64{"a": 0})
	expect("an older view", "a b c")
	w.receiveView(12, map[string]int64{"a": 0, "b": 77, "d": 0})
	expect("a newer view, by which b has restarted and c is gone", "a")
	w.receiveMembers(11, false, false, memberJSON("e", "up", 0), memberJSON("b", "up", 77))
	expect("discovery, one revision behind the view", "a b")
	w.receiveView(13, map[string]int64{"a": 0, "b": 77, "c": 0, "e": 0})
	expect("a newer view, by which c and e take requests again", "a b c e")
	w.receiveView(14, map[string]int64{"b": 77})
	expect("a newer view without a, c and e", "b")
	w.receiveMembers(14, false, false, memberJSON("c", "removed", 0))
	expect("discovery as far as the view", "a b e")
	w.receiveView(20, map[string]int64{"b": 77})
	w.receiveMembers(3, true, true, memberJSON("a", "up", 0), memberJSON("b", "up", 77), memberJSON("e", "up", 88))
	expect("discovery that counts anew: e was restarted, a was not", "b e")
	w.receiveMembers(21, false, false, memberJSON("a", "up", 0))
	expect("discovery beyond the view", "a b e")
	w.receiveView(30, map[string]int64{"e": 88})
	expect("a view that discovery does not come to", "e")
	w.receiveMembers(22, false, false)
	expect("the same", "e")
	w.now += 6500 * ms
	w.receiveMembers(22, false, false)
	expect("the same after 6.5 s: the view is given up", "a b e")
}

// A list that discovery does not confirm runs out for the module, a peer's view or a confirmation renews it, and one of
// a list that this gateway knows nothing of does not.
func TestPeersRenewEndpointListLease(t *testing.T) {
	w := newGossipFixture(t)
	w.receiveMembers(10, false, true, memberJSON("a", "up", 0))
	trusted := func(after monotonic.Time) bool {
		w.now += after
		w.r.turn()
		return w.r.balancer.EndpointListTrusted(w.now)
	}
	confirm := func(revision int64) {
		w.r.DatagramReceived(2, protocol.EncodeGossipView(gossip.View{Revision: revision}))
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
	if w.receiveView(12, map[string]int64{"a": 0}); !trusted(0) {
		t.Error("a peer's view does not renew the list")
	}
	w.r.DiscoveryFailed(&protocol.CallError{ResponseStarted: true})
	if w.r.turn(); !trusted(150*ms) || trusted(100*ms) {
		t.Error("an answer that broke off does not end the lease a fifth of a second later")
	}
	w.receiveMembers(12, false, false)
	if !trusted(0) {
		t.Error("an answer does not renew the list")
	}
	w.r.DiscoveryResponseStarted()
	if w.r.turn(); !trusted(650*ms) || trusted(100*ms) {
		t.Error("an answer that goes on and on does not end the lease before a drain's grace is over")
	}
	w.receiveMembers(12, false, false)
	w.r.DiscoveryMoved()
	if w.r.turn(); !trusted(3900*ms) || trusted(200*ms) {
		t.Error("a move of discovery does not end the lease after 4 s")
	}
}

// A gateway that follows discovery replies to one that does not, with all that is ready where the other's revision is
// older; it queries peers itself once its own watch is gone.
func TestRepliesToGossipQueriesOnlyWhileDiscoveryAnswers(t *testing.T) {
	w := newGossipFixture(t)
	var members []string
	for i := range 100 {
		members = append(members, memberJSON(fmt.Sprint("s-", i), []string{"up", "draining"}[i%2], 0))
	}
	w.receiveMembers(10, false, true, members...)
	ask := func(revision int64) (views []gossip.View) {
		w.sentDatagrams = map[int][][]byte{}
		w.r.DatagramReceived(2, protocol.EncodeGossipQuery(gossip.Query{Revision: revision, Age: 5000 * ms}))
		w.now += 500 * ms
		w.r.turn()
		for _, text := range w.sentDatagrams[2] {
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
	w.r.DiscoveryFailed(&protocol.CallError{})
	w.now += 500 * ms
	if views := ask(4); len(views) > 0 {
		t.Errorf("a gateway whose watch is gone replies %+v", views)
	}
	queries := 0
	for _, texts := range w.sentDatagrams {
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
