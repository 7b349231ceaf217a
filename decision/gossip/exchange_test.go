package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"laurelring/decision/monotonic"
)

// fleet is some gateways that exchange queries and views, of which a share is lost.
type fleet struct {
	now         monotonic.Time
	random      *rand.Rand
	exchanges   []*Exchange
	ready       []uint32 // at the newest revision
	lossPercent int
	sent        int
	learned     []int64 // the newest revision that each has learned of
	violation   string
	partitioned func(from, to int) bool
}

func newFleet(gateways int, seed uint64) *fleet {
	n := &fleet{now: 1000 * time.Second, random: rand.New(rand.NewPCG(seed, 1)), learned: make([]int64, gateways),
		partitioned: func(int, int) bool { return false }}
	for i := range gateways {
		n.exchanges = append(n.exchanges, NewExchange(Config{Rank: i, Gateways: gateways, Revision: 1, Random: n.random.Int64N}, n.now))
	}
	return n
}

func (n *fleet) deliver(from, to int, tell func(e *Exchange, to int)) {
	for i, e := range n.exchanges {
		if i == from || to != AllGateways && to != i {
			continue
		}
		if n.sent++; n.random.IntN(100) >= n.lossPercent && !n.partitioned(from, i) {
			tell(e, i)
		}
	}
}

func (n *fleet) run(span time.Duration) {
	for end := n.now + span; n.now < end; n.now += 5 * time.Millisecond {
		for from, e := range n.exchanges {
			due, wait := e.Tick(n.now)
			if wait <= 0 {
				n.violation = "no wait"
			}
			for _, to := range due.QueryRecipients {
				n.deliver(from, to, func(e *Exchange, _ int) { e.QueryReceived(from, due.Query, n.now) })
			}
			for _, reply := range due.Replies {
				views := []View{{Revision: reply.Revision, Age: reply.Age}}
				if reply.IncludeReady {
					views = SplitView(reply.Revision, reply.Age, n.ready, 50)
				}
				for _, view := range views {
					n.deliver(from, reply.To, func(e *Exchange, to int) { n.receiveView(e, from, to, view) })
				}
			}
		}
	}
}

func (n *fleet) receiveView(e *Exchange, from, to int, view View) {
	learned := e.ViewReceived(from, view, n.now)
	if learned == nil {
		return
	}
	if learned.ConfirmedAt > n.now {
		n.violation = "a confirmation from the future"
	}
	if learned.Ready == nil {
		return
	}
	if learned.Revision <= n.learned[to] {
		n.violation = fmt.Sprintf("revision %d learned after %d", learned.Revision, n.learned[to])
	}
	if n.learned[to] = learned.Revision; len(learned.Ready) != len(n.ready) {
		n.violation = fmt.Sprintf("%d of %d incarnations", len(learned.Ready), len(n.ready))
	}
}

// Discovery gives one gateway of a fleet a newer list. All others, which it does not answer, learn of it from that one
// though a fifth of the messages are lost, and stay confirmed, by a bounded number of messages.
func TestOneAnswerOfDiscoveryReachesAllGateways(t *testing.T) {
	for _, gateways := range []int{2, 3, 24, 300} {
		n := newFleet(gateways, uint64(gateways))
		n.lossPercent = 20
		for i := range 140 {
			n.ready = append(n.ready, Incarnation(fmt.Sprint("s-", i), 0, 1))
		}
		n.run(2 * time.Second)
		if slices.Max(n.learned) != 0 {
			t.Errorf("%d gateways: something was learned though discovery answered nobody", gateways)
		}
		n.sent = 0
		for range 5 { // its watch is answered every second
			n.exchanges[0].DiscoveryConfirmed(7, false, n.now)
			n.run(time.Second)
		}
		for i, revision := range n.learned[1:] {
			if age := n.now - n.exchanges[i+1].knownCurrentAt; revision != 7 || age > 4*time.Second {
				t.Errorf("%d gateways: gateway %d has revision %d, confirmed %d ms ago", gateways, i+1, revision, age/time.Millisecond)
				break
			}
		}
		if each := n.sent / gateways / 5; each > 80 {
			t.Errorf("%d gateways: %d messages a second came to each", gateways, each)
		}
		if n.violation != "" {
			t.Errorf("%d gateways: %s", gateways, n.violation)
		}
	}
}

// While discovery answers all gateways nothing is sent. The queries received show how many it does not answer.
func TestSilentWhileDiscoveryAnswersAllAndEstimatesUnansweredShare(t *testing.T) {
	const gateways = 40
	n := newFleet(gateways, 5)
	follow := func(many int) {
		for range 6 {
			for _, e := range n.exchanges[:many] {
				e.DiscoveryConfirmed(2, false, n.now)
			}
			n.run(time.Second)
		}
	}
	follow(gateways)
	if n.sent = 0; n.exchanges[0].UnansweredShare(n.now) > 0.1 {
		t.Errorf("an unanswered share of %.2f where discovery answers all", n.exchanges[0].UnansweredShare(n.now))
	}
	follow(gateways)
	if n.sent > 0 {
		t.Errorf("%d messages while discovery answers all", n.sent)
	}
	for _, without := range []int{gateways / 2, gateways} {
		for _, e := range n.exchanges[gateways-without:] {
			e.DiscoveryLost(n.now)
		}
		follow(gateways - without)
		sum := 0.0
		for _, e := range n.exchanges {
			sum += e.UnansweredShare(n.now) / gateways
		}
		if want := float64(without) / gateways; sum < 0.7*want || sum > 1.3*want {
			t.Errorf("discovery does not answer %d of %d, which is estimated as %.2f", without, gateways, sum)
		}
	}
}

// An older view, an incomplete one, or an older confirmation changes nothing. A gateway that is partitioned from all that
// discovery answered learns nothing.
func TestIgnoresOlderAndPartialViews(t *testing.T) {
	e := NewExchange(Config{Rank: 0, Gateways: 3, Revision: 5, Random: func(int64) int64 { return 0 }}, time.Second)
	for _, v := range []View{{Revision: 4, Parts: 1}, {Revision: 6, Parts: 2, Part: 0, Ready: []uint32{1}},
		{Revision: 6, Parts: 2, Part: 2}, {Revision: 6, Parts: 2, Part: -1}, {Revision: 6, Parts: 0}} {
		if learned := e.ViewReceived(1, v, 10*time.Second); learned != nil {
			t.Errorf("%+v told %+v", v, learned)
		}
	}
	if learned := e.ViewReceived(1, View{Revision: 6, Parts: 2, Part: 1, Ready: []uint32{2}, Age: time.Second}, 10*time.Second); learned == nil ||
		len(learned.Ready) != 2 || learned.ConfirmedAt != 9*time.Second {
		t.Errorf("two parts told %+v", learned)
	}
	if learned := e.ViewReceived(2, View{Revision: 6, Age: 2 * time.Second}, 10*time.Second); learned != nil {
		t.Errorf("an older confirmation told %+v", learned)
	}
	if !e.DiscoveryConfirmed(9, false, 11*time.Second) || e.DiscoveryConfirmed(8, false, 12*time.Second) || !e.DiscoveryConfirmed(8, true, 12*time.Second) || e.knownRevision != 8 {
		t.Error("a list older than what is known counts as current, or one of a full request does not")
	}
	n := newFleet(6, 9)
	n.ready = []uint32{1}
	n.partitioned = func(from, to int) bool { return from < 3 != (to < 3) }
	n.exchanges[0].DiscoveryConfirmed(3, false, n.now)
	n.run(2 * time.Second)
	if n.learned[1] != 3 || n.learned[2] != 3 || slices.Max(n.learned[3:]) != 0 {
		t.Errorf("learned %v over a partition", n.learned)
	}
}
