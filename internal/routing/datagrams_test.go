package routing

import (
	"encoding/binary"
	"log/slog"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// Guards against a panic: two evidence reports on build 0 ended a gateway with no build under evaluation, and all its
// requests were lost. Build 0 means that no build is under evaluation, so the reports were taken for reports on the
// build under evaluation. The second counted fewer finished attempts than the first, which means that its sender
// restarted, and the totals of the first were added to a table that exists only while a build is under evaluation:
//
//	panic: runtime error: index out of range [0] with length 0
//	rollout.Table.Add, decision.(*Balancer).reconcileTotals, (*Balancer).EvidenceReceived
func TestEvidenceForBuildZeroDoesNotPanic(t *testing.T) {
	env := newGossipFixture(t)
	for i, finishedHalves := range []uint32{10, 4} {
		counters := make([]uint32, 12)
		counters[2] = finishedHalves
		report := &decision.EvidenceReport{CountedAt: env.now + time.Duration(i), Build: 0, Counters: counters}
		env.router.DatagramReceived(1, protocol.EncodeEvidenceReport(report, env.router.endpoints.hashOf))
	}
	env.router.turn()
	if client := env.sendRequest(0); client != nil {
		env.router.turn()
		if len(env.attempts) == 0 {
			t.Error("the gateway starts no attempt after the reports")
		}
	}
}

// Whatever datagrams known peers send, in any order, the gateway does not crash, follows the rules that the fixture
// checks, and serves requests again once the peers are silent.
func TestDatagramHistories(t *testing.T) {
	const (
		seeds      = 60
		historyLen = 6000
	)
	sent := 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 35))
		sent += playDatagrams(t, seed, randomScript(random, historyLen))
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if sent < seeds*100 {
		t.Errorf("only %d datagrams were sent", sent)
	}
}

// FuzzDatagrams searches for sequences of datagrams that crash or block a gateway or make it break the rules.
func FuzzDatagrams(f *testing.F) {
	f.Add([]byte{0, 1, 0, 0, 0, 0, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, script []byte) { playDatagrams(t, 1, script) })
}

// The memory that a gateway keeps for received datagrams is bounded, as a fleet exchanges several datagrams per second
// for months.
func TestMemoryKeptForDatagramsIsBounded(t *testing.T) {
	const (
		datagrams = 100_000
		maxGrowth = 4 << 20 // bytes; the parts of eight views of the largest size take half a megabyte
	)
	env := newGossipFixture(t)
	random := rand.New(rand.NewPCG(7, 35))
	before := heapInUse()
	for i := range datagrams {
		player := datagramPlayer{env: env, script: randomScript(random, 96)}
		player.sendDatagram()
		if i%16 == 0 {
			env.now += ms
			env.router.turn()
		}
	}
	env.router.turn()
	if grown := heapInUse() - before; grown > maxGrowth {
		t.Errorf("the heap grew by %d bytes over %d datagrams, want at most 4 MiB", grown, datagrams)
	}
	runtime.KeepAlive(env)
}

func randomScript(random *rand.Rand, length int) []byte {
	script := make([]byte, length)
	for i := range script {
		script[i] = byte(random.Uint32())
	}
	return script
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// playDatagrams plays a script of datagrams, requests, endpoint lists, rollout statuses and passing time. It returns
// the number of datagrams sent.
func playDatagrams(t *testing.T, seed uint64, script []byte) (sent int) {
	t.Helper()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	player := datagramPlayer{env: newGossipFixture(t), script: script}
	env := player.env
	for len(player.script) > 0 {
		switch player.next() % 8 {
		case 0:
			env.advance(time.Duration(player.next()%128) * 5 * ms)
		case 1:
			env.sendRequest(int(player.next() % 2))
		case 2:
			env.router.RolloutStatusReceived(decision.RolloutStatus{Build: edgeBuilds[int(player.next())%3],
				Stage: int(player.next() % 3), Phase: decision.RolloutPhase(player.next() % 4), ExposureCap: 1})
		case 3:
			env.receiveAll(int64(1 + player.next()%4))
		default:
			player.sendDatagram()
			sent++
		}
		env.finishRandomAttempts()
		env.router.turn()
		if env.checkDeadlines(); env.violation != "" {
			t.Fatalf("seed %d: %s", seed, env.violation)
		}
	}
	player.checkServes(t)
	return sent
}

// checkServes fails the test if the gateway starts no attempt for any request after its peers have been silent, and
// discovery has answered, for longer than any information from a peer is valid.
func (p *datagramPlayer) checkServes(t *testing.T) {
	t.Helper()
	env := p.env
	released := decision.RolloutStatus{Build: math.MaxUint16, Stage: 2, Phase: decision.PhaseReleased, ExposureCap: 1}
	env.router.RolloutStatusReceived(released)
	for range 20 {
		env.advance(500 * ms)
		env.finishAll()
		env.receiveAll(5)
	}
	started := len(env.attempts)
	for range 10 { // some requests have too little time left for an attempt
		env.sendRequest(0)
	}
	env.router.turn()
	if len(env.attempts) == started {
		t.Error("the gateway starts no attempt after its peers have fallen silent")
	}
}

// advance advances the clock by the given span in steps of one tick, with a turn of the router after each.
func (env *gossipFixture) advance(span time.Duration) {
	for ; span > 0; span -= 5 * ms {
		env.now += 5 * ms
		env.router.turn()
	}
}

// finishAll finishes all attempts in flight with success.
func (env *gossipFixture) finishAll() {
	for _, fake := range env.attempts {
		env.finishAttempt(fake, decision.OutcomeSuccess)
	}
	env.attempts = nil
}

// receiveAll gives the router the complete list of all members, as the answer to a poll without a revision.
func (env *gossipFixture) receiveAll(revision int64) {
	var entries []string
	for _, m := range env.members {
		entries = append(entries, encodeMember(m))
	}
	env.receiveMembers(int(revision), true, true, entries...)
}

// Edge values of the fields of datagrams.
var (
	edgeBuilds    = []int{0, 1, 2, 3, math.MaxInt16, math.MaxUint16 - 1, math.MaxUint16}
	edgeSenders   = []int{0, 1, 2, 1, 2, 3, math.MaxUint16}
	edgeCounters  = []uint32{0, 1, 4, 10, math.MaxInt32, math.MaxUint32 - 1, math.MaxUint32}
	edgeRevisions = []int64{0, 1, 2, 3, 5, 1 << 40, 1 << 62}
	edgeParts     = []int{0, 1, 2, 3, 254, 255}
	edgeCosts     = []float64{0, -1, 1e-300, 0.5, math.MaxFloat32, math.Inf(1), math.Inf(-1), math.NaN()}
)

// datagramPlayer generates datagrams from a script of random bytes or of bytes from the fuzzer.
type datagramPlayer struct {
	env    *gossipFixture
	script []byte
}

// next returns the next byte of the script, or 0 at its end.
func (p *datagramPlayer) next() byte {
	if len(p.script) == 0 {
		return 0
	}
	first := p.script[0]
	p.script = p.script[1:]
	return first
}

// draw returns the value that the next byte of the script selects.
func draw[T any](p *datagramPlayer, values []T) T { return values[int(p.next())%len(values)] }

// drawMoment returns a time near the current time, or far from it.
func (p *datagramPlayer) drawMoment() monotonic.Time {
	now := p.env.now
	return draw(p, []monotonic.Time{now, now - ms, now + ms, now - time.Hour, now + time.Hour, 0, -1, math.MinInt64, math.MaxInt64})
}

// hash returns the hash of an endpoint that the script selects, or 0, which stands for no endpoint.
func (p *datagramPlayer) hash(*decision.Endpoint) uint32 {
	if i := int(p.next()) % (len(p.env.members) + 1); i < len(p.env.members) {
		return hashID(p.env.members[i].id)
	}
	return 0
}

// sendDatagram gives the router one datagram of any kind.
func (p *datagramPlayer) sendDatagram() {
	sender := draw(p, edgeSenders)
	var datagram []byte
	switch p.next() % 5 {
	case 0:
		datagram = protocol.EncodeEvidenceReport(p.evidenceReport(), p.hash)
	case 1:
		datagram = protocol.EncodeVoterReport(p.voterReport(), p.hash)
	case 2:
		datagram = protocol.EncodeGossipQuery(gossip.Query{Revision: draw(p, edgeRevisions), Age: time.Duration(p.next()) * time.Second})
	case 3:
		view := gossip.View{Revision: draw(p, edgeRevisions), Age: time.Duration(p.next()) * time.Second,
			Part: draw(p, edgeParts), Parts: draw(p, edgeParts)}
		for range p.next() % 4 {
			m := draw(p, p.env.members)
			view.Ready = append(view.Ready, gossip.Incarnation(m.id, m.startedAt, m.build))
		}
		datagram = protocol.EncodeGossipView(view)
	default:
		datagram = binary.BigEndian.AppendUint64([]byte{p.next() % 6}, uint64(p.next())<<56|uint64(p.next()))
		for range p.next() % 64 {
			datagram = append(datagram, p.next())
		}
	}
	p.env.router.DatagramReceived(sender, datagram)
}

func (p *datagramPlayer) evidenceReport() *decision.EvidenceReport {
	report := &decision.EvidenceReport{CountedAt: p.drawMoment(), Build: draw(p, edgeBuilds)}
	for range draw(p, []int{12, 12, 12, 12, 0, 1, 11, 13, 24}) {
		report.Counters = append(report.Counters, draw(p, edgeCounters))
	}
	for range p.next() % 4 {
		report.Observations = append(report.Observations, decision.Observation{Utilization: float64(p.next()%4) - 1,
			Successes: int(p.next()), Losses: int(p.next())})
	}
	return report
}

func (p *datagramPlayer) voterReport() *decision.VoterReport {
	report := &decision.VoterReport{FoundAt: p.drawMoment(), Build: draw(p, edgeBuilds), Stage: int(p.next()),
		Verdict: decision.Verdict(p.next() % 6), BaselineCost: draw(p, edgeCosts)}
	for range p.next() % 4 {
		report.Outliers = append(report.Outliers, nil)
	}
	return report
}
