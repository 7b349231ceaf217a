package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"laurelring/decision/monotonic"
)

// fleet simulates gateways that exchange queries and views, some of which are lost.
type fleet struct {
	now         monotonic.Time
	random      *rand.Rand
	exchanges   []*Exchange
	ready       []uint32 // ready incarnations at the newest revision
	lossPercent int
	sent        int
	learned     []int64 // by gateway, the newest revision learned from peers
	violation   string
	partitioned func(from, to int) bool
}

func newFleet(gateways int, seed uint64) *fleet {
	f := &fleet{now: 1000 * time.Second, random: rand.New(rand.NewPCG(seed, 1)), learned: make([]int64, gateways),
		partitioned: func(int, int) bool { return false }}
	for i := range gateways {
		f.exchanges = append(f.exchanges, NewExchange(Config{Rank: i, Gateways: gateways, Revision: 1, Random: f.random.Int64N}, f.now))
	}
	return f
}

func (f *fleet) deliver(from, to int, receive func(e *Exchange, to int)) {
	for i, e := range f.exchanges {
		if i == from || to != AllGateways && to != i {
			continue
		}
		if f.sent++; f.random.IntN(100) >= f.lossPercent && !f.partitioned(from, i) {
			receive(e, i)
		}
	}
}

func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += 5 * time.Millisecond {
		for from, e := range f.exchanges {
			due, wait := e.Tick(f.now)
			if wait <= 0 {
				f.violation = "Tick returned no wait above 0"
			}
			for _, to := range due.QueryRecipients {
				f.deliver(from, to, func(e *Exchange, _ int) { e.QueryReceived(from, due.Query, f.now) })
			}
			for _, reply := range due.Replies {
				views := []View{{Revision: reply.Revision, Age: reply.Age}}
				if reply.IncludeReady {
					views = SplitView(reply.Revision, reply.Age, f.ready, 50)
				}
				for _, view := range views {
					f.deliver(from, reply.To, func(e *Exchange, to int) { f.receiveView(e, from, to, view) })
				}
			}
		}
	}
}

func (f *fleet) receiveView(e *Exchange, from, to int, view View) {
	learned := e.ViewReceived(from, view, f.now)
	if learned == nil {
		return
	}
	if learned.ConfirmedAt > f.now {
		f.violation = "confirmation time in the future"
	}
	if learned.Ready == nil {
		return
	}
	if learned.Revision <= f.learned[to] {
		f.violation = fmt.Sprintf("learned revision %d after revision %d", learned.Revision, f.learned[to])
	}
	if f.learned[to] = learned.Revision; len(learned.Ready) != len(f.ready) {
		f.violation = fmt.Sprintf("learned %d of %d ready incarnations", len(learned.Ready), len(f.ready))
	}
}

// Discovery answers only one gateway of the fleet, with a newer list. All others learn the revision from that gateway
// although a fifth of the messages are lost, and stay confirmed, with a limited number of messages.
func TestOneDiscoveryAnswerReachesAllGateways(t *testing.T) {
	for _, gateways := range []int{2, 3, 24, 300} {
		f := newFleet(gateways, uint64(gateways))
		f.lossPercent = 20
		for i := range 140 {
			f.ready = append(f.ready, Incarnation(fmt.Sprint("s-", i), 0, 1))
		}
		f.run(2 * time.Second)
		if slices.Max(f.learned) != 0 {
			t.Errorf("%d gateways: a revision was learned although discovery answered no gateway", gateways)
		}
		f.sent = 0
		for range 5 { // discovery answers the watch of gateway 0 every second
			f.exchanges[0].DiscoveryConfirmed(7, false, f.now)
			f.run(time.Second)
		}
		for i, revision := range f.learned[1:] {
			if age := f.now - f.exchanges[i+1].knownCurrentAt; revision != 7 || age > 4*time.Second {
				t.Errorf("%d gateways: gateway %d: got revision %d, confirmed %d ms ago, want 7, at most 4000 ms ago", gateways, i+1, revision, age/time.Millisecond)
				break
			}
		}
		if each := f.sent / gateways / 5; each > 80 {
			t.Errorf("%d gateways: got %d messages per second to each, want at most 80", gateways, each)
		}
		if f.violation != "" {
			t.Errorf("%d gateways: %s", gateways, f.violation)
		}
	}
}

// No messages are sent while discovery answers all gateways. The share of gateways that discovery does not answer is
// estimated from the received queries.
func TestExchangeSendsOnlyDuringOutageAndEstimatesUnansweredShare(t *testing.T) {
	const gateways = 40
	f := newFleet(gateways, 5)
	confirmFirst := func(answered int) { // discovery answers only the first gateways, for 6 s
		for range 6 {
			for _, e := range f.exchanges[:answered] {
				e.DiscoveryConfirmed(2, false, f.now)
			}
			f.run(time.Second)
		}
	}
	confirmFirst(gateways)
	if f.sent = 0; f.exchanges[0].UnansweredShare(f.now) > 0.1 {
		t.Errorf("got an unanswered share of %.2f while discovery answers all, want at most 0.1", f.exchanges[0].UnansweredShare(f.now))
	}
	confirmFirst(gateways)
	if f.sent > 0 {
		t.Errorf("got %d messages while discovery answers all, want none", f.sent)
	}
	for _, unanswered := range []int{gateways / 2, gateways} {
		for _, e := range f.exchanges[gateways-unanswered:] {
			e.DiscoveryLost(f.now)
		}
		confirmFirst(gateways - unanswered)
		sum := 0.0
		for _, e := range f.exchanges {
			sum += e.UnansweredShare(f.now) / gateways
		}
		if want := float64(unanswered) / gateways; sum < 0.7*want || sum > 1.3*want {
			t.Errorf("discovery does not answer %d of %d gateways: got an estimated share of %.2f, want 0.7 to 1.3 times the share", unanswered, gateways, sum)
		}
	}
}

// An older view, an incomplete view or an older confirmation changes nothing. A gateway that is partitioned from all
// gateways that discovery has answered learns nothing.
func TestOlderAndPartialViewsAreIgnored(t *testing.T) {
	e := NewExchange(Config{Rank: 0, Gateways: 3, Revision: 5, Random: func(int64) int64 { return 0 }}, time.Second)
	for _, v := range []View{{Revision: 4, Parts: 1}, {Revision: 6, Parts: 2, Part: 0, Ready: []uint32{1}},
		{Revision: 6, Parts: 2, Part: 2}, {Revision: 6, Parts: 2, Part: -1}, {Revision: 6, Parts: 0}} {
		if learned := e.ViewReceived(1, v, 10*time.Second); learned != nil {
			t.Errorf("view %+v: got %+v, want nothing learned", v, learned)
		}
	}
	if learned := e.ViewReceived(1, View{Revision: 6, Parts: 2, Part: 1, Ready: []uint32{2}, Age: time.Second}, 10*time.Second); learned == nil ||
		len(learned.Ready) != 2 || learned.ConfirmedAt != 9*time.Second {
		t.Errorf("two parts of a view: got %+v, want 2 ready incarnations confirmed at 9s", learned)
	}
	if learned := e.ViewReceived(2, View{Revision: 6, Age: 2 * time.Second}, 10*time.Second); learned != nil {
		t.Errorf("older confirmation: got %+v, want nothing learned", learned)
	}
	if !e.DiscoveryConfirmed(9, false, 11*time.Second) || e.DiscoveryConfirmed(8, false, 12*time.Second) || !e.DiscoveryConfirmed(8, true, 12*time.Second) || e.knownRevision != 8 {
		t.Error("a list older than the known revision counts as current, or a list from a full request does not")
	}
	f := newFleet(6, 9)
	f.ready = []uint32{1}
	f.partitioned = func(from, to int) bool { return from < 3 != (to < 3) }
	f.exchanges[0].DiscoveryConfirmed(3, false, f.now)
	f.run(2 * time.Second)
	if f.learned[1] != 3 || f.learned[2] != 3 || slices.Max(f.learned[3:]) != 0 {
		t.Errorf("got learned revisions %v with a partition, want 3 for gateways 1 and 2 and 0 beyond the partition", f.learned)
	}
}
