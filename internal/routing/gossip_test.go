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

// gossipFixture is a fixture with a router that exchanges views with two peers. It records the datagrams sent.
type gossipFixture struct {
	*fixture
	sentDatagrams map[int][][]byte // by rank of the recipient
}

func newGossipFixture(t *testing.T) *gossipFixture {
	env := &gossipFixture{fixture: newFixture(t, 1), sentDatagrams: map[int][][]byte{}}
	env.router.drivers.SendDatagram = func(to int, text []byte, _ monotonic.Time) {
		env.sentDatagrams[to] = append(env.sentDatagrams[to], text)
	}
	env.router.list.exchange = gossip.NewExchange(gossip.Config{Rank: 0, Gateways: 3, Revision: 1,
		Random: func(int64) int64 { return 0 }}, env.now)
	env.router.balancer.StartLease(env.now)
	return env
}

// receiveMembers gives the router an answer from discovery.
func (env *gossipFixture) receiveMembers(revision int, full, complete bool, members ...string) {
	text := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(members, ","))
	if err := env.receiveList(text, full); err != nil {
		env.t.Fatal(err)
	}
}

func memberJSON(id, phase string, startedAt monotonic.Time) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","locality":"a","phase":%q,"up_since_ms":%d,"build":1}`, id, phase, startedAt)
}

// receiveView gives the router a peer's view. The map ready holds the start times of the ready incarnations, in
// milliseconds, by endpoint id.
func (env *gossipFixture) receiveView(revision int64, ready map[string]int64) {
	view := gossip.View{Revision: revision, Parts: 1}
	for id, startedAt := range ready {
		view.Ready = append(view.Ready, gossip.Incarnation(id, time.Duration(startedAt)*ms, 1))
	}
	env.router.DatagramReceived(1, protocol.EncodeGossipView(view))
	env.router.turn()
}

func (env *gossipFixture) readyEndpoints() string {
	var all []string
	for id, record := range env.router.endpoints.byID {
		if env.router.balancer.EndpointReady(record.endpoint) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// An endpoint that is missing from a peer's newer view counts as draining or removed, even if discovery still lists it
// at an older revision, until discovery reaches the revision of the view. After a restart an endpoint is another
// incarnation. No view makes an endpoint ready.
func TestPeerViewRemovesEndpointsUntilDiscoveryCatchesUp(t *testing.T) {
	env := newGossipFixture(t)
	expect := func(when, want string) {
		t.Helper()
		if got := env.readyEndpoints(); got != want {
			t.Errorf("%s: got ready endpoints %q, want %q", when, got, want)
		}
	}
	env.receiveMembers(10, false, true, memberJSON("a", "up", 0), memberJSON("b", "up", 0), memberJSON("c", "up", 0))
	env.receiveView(9, map[string]int64{"a": 0})
	expect("older view", "a b c")
	env.receiveView(12, map[string]int64{"a": 0, "b": 77, "d": 0})
	expect("newer view with b restarted and without c", "a")
	env.receiveMembers(11, false, false, memberJSON("e", "up", 0), memberJSON("b", "up", 77))
	expect("list one revision behind the view", "a b")
	env.receiveView(13, map[string]int64{"a": 0, "b": 77, "c": 0, "e": 0})
	expect("newer view with c and e ready", "a b c e")
	env.receiveView(14, map[string]int64{"b": 77})
	expect("newer view without a, c and e", "b")
	env.receiveMembers(14, false, false, memberJSON("c", "removed", 0))
	expect("list at the revision of the view", "a b e")
	env.receiveView(20, map[string]int64{"b": 77})
	// Discovery has started again from an older revision.
	env.receiveMembers(3, true, true, memberJSON("a", "up", 0), memberJSON("b", "up", 77), memberJSON("e", "up", 88))
	expect("complete list at an earlier revision, with e restarted and a not", "b e")
	env.receiveMembers(21, false, false, memberJSON("a", "up", 0))
	expect("list newer than the view", "a b e")
	env.receiveView(30, map[string]int64{"e": 88}) // discovery does not reach this revision
	expect("view of a revision that discovery does not reach", "e")
	env.receiveMembers(22, false, false)
	expect("list older than that view", "e")
	env.now += 6500 * ms
	env.receiveMembers(22, false, false)
	expect("list older than that view, 6.5 s later, after the view has expired", "a b e")
}

// Guards against a single view that keeps endpoints from traffic until they restart. The revision of such a view is far
// ahead, because the view is faulty or because discovery has since started again from an older revision. Discovery
// answered with a complete list of ready endpoints, but those missing from the view stayed unready because of the
// view's higher revision. TestDatagramHistories found this with seed 1: no endpoint was ready, the lease was valid, and
// every request was queued until its deadline. A view is valid for at most 6 s if discovery does not reach its
// revision.
func TestPeerViewOfUnreachedRevisionExpires(t *testing.T) {
	env := newGossipFixture(t)
	env.receiveMembers(10, false, true, memberJSON("a", "up", 0), memberJSON("b", "up", 0))
	env.receiveView(1<<40, nil)
	env.receiveMembers(10, true, true, memberJSON("a", "up", 0), memberJSON("b", "up", 0))
	if got := env.readyEndpoints(); got != "" {
		t.Errorf("right after the view: got ready endpoints %q, want none", got)
	}
	env.now += 6500 * ms
	env.receiveMembers(10, false, false)
	if got := env.readyEndpoints(); got != "a b" {
		t.Errorf("6.5 s after the view: got ready endpoints %q, want both", got)
	}
}

// The lease on a list that discovery does not confirm expires. It is renewed by a peer's view and by a peer's
// confirmation of the known revision, but not by the confirmation of another revision.
func TestPeersRenewEndpointListLease(t *testing.T) {
	env := newGossipFixture(t)
	env.receiveMembers(10, false, true, memberJSON("a", "up", 0))
	trusted := func(after monotonic.Time) bool {
		env.now += after
		env.router.turn()
		return env.router.balancer.EndpointListTrusted(env.now)
	}
	confirm := func(revision int64) {
		env.router.DatagramReceived(2, protocol.EncodeGossipView(gossip.View{Revision: revision}))
		env.router.turn()
	}
	if !trusted(5000*ms) || trusted(1000*ms) {
		t.Error("the lease does not expire 5 to 6 s after the answer")
	}
	if confirm(11); trusted(0) {
		t.Error("a revision whose endpoints are not known renews the lease")
	}
	if confirm(10); !trusted(0) || !trusted(5000*ms) || trusted(1000*ms) {
		t.Error("a peer's confirmation does not renew the lease for 5 to 6 s")
	}
	if env.receiveView(12, map[string]int64{"a": 0}); !trusted(0) {
		t.Error("a peer's view does not renew the lease")
	}
	env.router.DiscoveryFailed(&protocol.CallError{ResponseStarted: true})
	if env.router.turn(); !trusted(150*ms) || trusted(100*ms) {
		t.Error("a broken answer does not end the lease 150 to 250 ms later")
	}
	env.receiveMembers(12, false, false)
	if !trusted(0) {
		t.Error("an answer does not renew the lease")
	}
	env.router.DiscoveryResponseStarted()
	if env.router.turn(); !trusted(650*ms) || trusted(100*ms) {
		t.Error("an answer that does not become complete does not end the lease 650 to 750 ms later, within the grace period of a drain")
	}
	env.receiveMembers(12, false, false)
	env.router.DiscoveryMoved()
	if env.router.turn(); !trusted(3900*ms) || trusted(200*ms) {
		t.Error("a move of discovery to another address does not end the lease 3.9 to 4.1 s later")
	}
}

// Guards against the renewal of the lease by an old view. A view that was in the socket buffer while the process
// stalled renewed the lease as if it had just been sent: its age counts from its sending, and the gateway read its
// clock after the stall. A list from 1.5 s before was then trusted for the full duration of a lease. Here the lease
// would be valid 5 ms after the stall, because of a confirmation that may have been sent when the stall began.
func TestViewReadAfterStallDoesNotRenewLease(t *testing.T) {
	env := newGossipFixture(t)
	env.router.stall.start(env.now)
	env.receiveMembers(10, false, true, memberJSON("a", "up", 0))
	env.router.turn()
	confirm := func() bool {
		env.router.DatagramReceived(2, protocol.EncodeGossipView(gossip.View{Revision: 10}))
		env.router.turn()
		return env.router.balancer.EndpointListTrusted(env.now)
	}
	env.now += 1500 * ms
	env.router.turn() // notices the stall
	env.now += 5 * ms
	if confirm() {
		t.Error("a view that may have been unread during the stall renews the lease")
	}
	env.now += 50 * ms
	if !confirm() {
		t.Error("a view that was sent after the stall does not renew the lease")
	}
}

// A gateway that discovery answers replies to queries, and includes all ready incarnations if the querier's revision is
// older. After its own watch has failed, it does not reply and queries peers itself.
func TestRepliesToGossipQueriesOnlyWhileDiscoveryAnswers(t *testing.T) {
	env := newGossipFixture(t)
	var members []string
	for i := range 100 {
		members = append(members, memberJSON(fmt.Sprint("s-", i), []string{"up", "draining"}[i%2], 0))
	}
	env.receiveMembers(10, false, true, members...)
	query := func(revision int64) (views []gossip.View) {
		env.sentDatagrams = map[int][][]byte{}
		env.router.DatagramReceived(2, protocol.EncodeGossipQuery(gossip.Query{Revision: revision, Age: 5000 * ms}))
		env.now += 500 * ms
		env.router.turn()
		for _, text := range env.sentDatagrams[2] {
			if view, ok := protocol.DecodeGossipView(text); ok {
				views = append(views, view)
			}
		}
		return views
	}
	if views := query(10); len(views) != 1 || views[0].Parts != 0 || views[0].Revision != 10 {
		t.Errorf("query with the same revision: got views %+v, want one with revision 10 and no parts", views)
	}
	ready := 0
	for _, view := range query(4) {
		ready += len(view.Ready)
	}
	if ready != 50 {
		t.Errorf("query with an older revision: got %d incarnations, want 50", ready)
	}
	env.router.DiscoveryFailed(&protocol.CallError{})
	env.now += 500 * ms
	if views := query(4); len(views) > 0 {
		t.Errorf("query after the watch has failed: got views %+v, want none", views)
	}
	queries := 0
	for _, texts := range env.sentDatagrams {
		for _, text := range texts {
			if _, ok := protocol.DecodeGossipQuery(text); ok {
				queries++
			}
		}
	}
	if queries == 0 {
		t.Error("the gateway sends no queries after its watch has failed")
	}
}
