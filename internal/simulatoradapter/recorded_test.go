package simulatoradapter_test

import (
	"bufio"
	"bytes"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"

	"laurelring/internal/simulatoradapter"
)

// The test in this file guards against unintended changes of decisions. It plays seeded sessions of a simulated fleet
// over the simulator's protocol and compares the digest of all reply bytes with a recorded one. It uses none of the
// packages behind the protocol, so that it need not change when they are renamed or restructured.

const (
	recordedSessions = 320
	recordedFile     = "testdata/recorded.txt"
)

var writeRecording = flag.Bool("record", false, "overwrite the recorded digests of the sessions")

// TestRecordedSessions plays every session and compares the digest of its replies with the recorded one.
func TestRecordedSessions(t *testing.T) {
	digests := playAll(t)
	if *writeRecording {
		if err := os.WriteFile(recordedFile, []byte(strings.Join(digests, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(recordedFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(want) != len(digests) {
		t.Fatalf("recording has %d sessions, %d were played", len(want), len(digests))
	}
	differing := 0
	for i, digest := range digests {
		if digest != want[i] {
			if differing++; differing <= 5 {
				t.Errorf("session %d: got digest %s, want %s", i, digest, want[i])
			}
		}
	}
	if differing > 0 {
		t.Errorf("%d of %d sessions differ from the recording", differing, len(want))
	}
}

// playAll plays all sessions, at most eight at a time, and returns their digests in the order of their seeds.
func playAll(t *testing.T) []string {
	digests := make([]string, recordedSessions)
	var group sync.WaitGroup
	limit := make(chan struct{}, 8)
	for i := range digests {
		group.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			digest, err := playSession(uint64(i))
			if err != nil {
				t.Errorf("session %d: %v", i, err)
			}
			digests[i] = digest
		})
	}
	group.Wait()
	return digests
}

// Times are in milliseconds of the session's clock.
const (
	sessionStart = 1000.0
	clockStep    = 5.0
)

// scheduledEvent is either a record that reaches a gateway or a function that runs at a given time.
type scheduledEvent struct {
	at          float64
	sequence    int
	gateway     int // index of the gateway that gets the record, -1 if run is set
	incarnation int // the record is dropped if the gateway has a different incarnation by then
	record      []byte
	run         func()
}

// schedule is a heap of events, ordered by time and then by sequence number.
type schedule []*scheduledEvent

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(a, b int) bool {
	return s[a].at < s[b].at || s[a].at == s[b].at && s[a].sequence < s[b].sequence
}
func (s schedule) Swap(a, b int) { s[a], s[b] = s[b], s[a] }
func (s *schedule) Push(e any)   { *s = append(*s, e.(*scheduledEvent)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	*s = (*s)[:last]
	return e
}

type opType struct {
	idempotency, dedupScope               string
	latencyObjective, clientTimeout, work float64
	dedupWindow                           float64
	lateValueShare, priorityWeight        float64
	objectiveStretch                      float64
}

type endpoint struct {
	id                 uint32
	zone               uint8
	machineType        uint16
	cell               uint16
	build              int
	state              uint8 // as in endpoint lists: 0 gone, 1 ready, 2 draining
	size               float64
	startedAt          float64
	inFlight           int
	pausedUntil        float64
	errorRate          float64 // share of the attempts that end with an error
	slowdown           float64 // factor on the duration of attempts
	refusesConnections bool
}

type request struct {
	id       uint32
	opType   int
	deadline float64
	done     bool
	attempts []*attempt
}

type attempt struct {
	endpoint *endpoint
	sentAt   float64
	done     bool
}

type gateway struct {
	running     bool
	incarnation int
	subscribed  bool // discovery has answered a call and reports changes of the endpoint list
	requests    map[uint32]*request
	voteBuild   int
	lastVerdict uint8 // verdict of the last vote that counted, 0 after a promotion or rollback
}

// session simulates everything that a number of gateways communicate with.
type session struct {
	random                *rand.Rand
	now                   float64
	end                   float64
	events                schedule
	sequence              int
	gateways              []*gateway
	endpoints             []*endpoint
	opTypes               []opType
	settings              map[string]any
	pollDiscovery         bool // gateways call discovery; otherwise it pushes changes to all of them
	peerMessages          bool
	loadReports           bool
	keyCount              int     // bounds the draws of request keys; 0 if requests have no keys
	rate                  float64 // requests per second at each gateway
	lastRequestID         uint32
	lastEndpointID        uint32
	revision              int
	discoveryUp           bool
	peerMessagesLostUntil float64 // messages between gateways are lost until this time

	build, stage                            int
	phase                                   uint8 // as on the wire: 0 canary, 1 rolling back, 2 released, 3 rolled back
	exposureCaps, stageShares               []float64
	statusSince                             float64 // time at which the stage or phase began
	promotionMode                           string
	promoteVotesNeeded, rollbackVotesNeeded int
	faultKind                               int     // fault of the newest build, see applyBuildFault
	faultSeverity                           float64 // from 0 to 1
	steady                                  bool    // mostly rollouts; other faults are rare

	output      interface{ Write([]byte) (int, error) } // digest of the replies
	actionCount int
}

func pick[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

func newSession(seed uint64) *session {
	s := &session{random: rand.New(rand.NewPCG(seed, 0x5eed)), now: sessionStart, discoveryUp: true, build: 1, phase: 2}
	rng := s.random
	s.end = s.now + 14000 + float64(rng.IntN(22000))
	if s.steady = seed%3 == 2; s.steady { // one rollout follows another, and other faults are five times rarer
		s.end += 16000
	}
	gateways := pick(rng, 1, 2, 3, 3, 4, 6, 8, 10)
	s.rate = float64(40+rng.IntN(260)) / float64(gateways)
	if s.steady {
		s.rate = float64(200+rng.IntN(300)) / float64(gateways)
	}
	s.pollDiscovery, s.peerMessages, s.loadReports = rng.IntN(2) == 0, rng.IntN(5) > 0, rng.IntN(6) > 0
	s.promotionMode = pick(rng, "any", "share", "timer")
	s.promoteVotesNeeded, s.rollbackVotesNeeded = 1, 1
	if s.promotionMode == "share" {
		s.promoteVotesNeeded, s.rollbackVotesNeeded = 1+rng.IntN(min(8, gateways)), 1+rng.IntN(min(5, gateways))
	}
	s.exposureCaps, s.stageShares = []float64{0.1, 0.4, 1}, []float64{0.1, 0.5, 1}
	switch rng.IntN(3) {
	case 0:
		s.exposureCaps, s.stageShares = []float64{0.05, 0.2, 0.6, 1}, []float64{0.05, 0.25, 0.6, 1}
	case 1:
		s.exposureCaps, s.stageShares = []float64{0.2, 0.6, 0.9, 1}, []float64{0.1, 0.45, 0.82, 1}
	}
	s.stage = len(s.stageShares) - 1
	stickyKeys := rng.IntN(3) == 0
	s.keyCount = pick(rng, 0, 40, 4000)
	s.faultKind = rng.IntN(6)
	for _, idempotency := range [][]string{{"repeatable"}, {"repeatable", "by_key", "once"}, {"by_key", "once"},
		{"repeatable", "once"}}[rng.IntN(4)] {
		s.opTypes = append(s.opTypes, opType{idempotency: idempotency, dedupScope: pick(rng, "all", "zone", "cell"),
			latencyObjective: float64(120 + rng.IntN(600)), clientTimeout: float64(700 + rng.IntN(2500)),
			work: float64(4 + rng.IntN(50)), dedupWindow: float64(400 + rng.IntN(2000)),
			lateValueShare: pick(rng, 0.0, 0.2, 0.8), priorityWeight: float64(1 + rng.IntN(4)),
			objectiveStretch: pick(rng, 0.0, 2.5)})
	}
	s.settings = s.drawSettings(gateways, stickyKeys)
	for i := range 6 + rng.IntN(18) {
		s.endpoints = append(s.endpoints, &endpoint{id: uint32(100 + i*7), zone: uint8(rng.IntN(2)),
			machineType: uint16(rng.IntN(2)), cell: uint16(rng.IntN(3)), build: 1, state: 1,
			size: pick(rng, 1.0, 2.0, 4.0), slowdown: 1})
	}
	s.lastEndpointID = 5000
	for range gateways {
		s.gateways = append(s.gateways, &gateway{requests: map[uint32]*request{}})
	}
	return s
}

// drawSettings draws the settings of all gateways. startGateway sets the rank and the locality of each gateway.
func (s *session) drawSettings(gateways int, stickyKeys bool) map[string]any {
	rng := s.random
	var lanes []any
	for i, c := range s.opTypes {
		lane := map[string]any{"name": fmt.Sprint("c", i), "aim_ms": c.latencyObjective, "give_up_ms": c.clientTimeout,
			"gain": c.priorityWeight, "repeat": c.idempotency, "late_worth": c.lateValueShare, "aim_stretch": c.objectiveStretch}
		if c.idempotency == "by_key" {
			lane["dedup_scope"], lane["window_ms"] = c.dedupScope, c.dedupWindow
		}
		lanes = append(lanes, lane)
	}
	orgs := []any{}
	if rng.IntN(2) == 0 {
		orgs = append(orgs, map[string]any{"quota_rps": s.rate}, map[string]any{"quota_rps": s.rate / 4})
	}
	mode := "push"
	if s.pollDiscovery {
		mode = "ask"
	}
	fields := []string{"utilization"}
	if !s.loadReports {
		fields = []string{}
	}
	harm := pick(rng, 2.0, 8.0)
	lag := pick(rng, 0.01, 0.3, 0.6, harm*(0.04+0.06*rng.Float64()), harm*(0.04+0.06*rng.Float64()))
	return map[string]any{"rank": 0, "balancers": gateways, "locality": 0, "period_ms": pick(rng, 5, 5, 20),
		"areas": []string{"a", "b"}, "host_types": []string{"m", "n"}, "lanes": lanes, "orgs": orgs,
		"limits": map[string]any{"max_attempts": 2 + rng.IntN(4), "second_copies": false, "may_cancel": rng.IntN(4) > 0,
			"probes": false, "retry_after": rng.IntN(4) > 0, "max_retry_after_ms": 300 + rng.IntN(600),
			"peer_messages": s.peerMessages},
		"prices": map[string]any{"cross_zone": pick(rng, 0.0, 0.04, 0.2), "waste": 0},
		"invariants": map[string]any{"cold_from": pick(rng, 0.2, 0.31, 0.5), "cold_ms": 1500 + rng.IntN(4000),
			"fall_multiple": pick(rng, 1.5, 2.0, 3.0), "fall_ms": 1000 + rng.IntN(2500), "ask_within_ms": 9000},
		"registry_mode": mode,
		"family_info": map[string]any{"window_ms": 1500 + rng.IntN(3000), "allowance": pick(rng, 1.0, 2.0, 3.5),
			"per": pick(rng, "all", "class"), "closed_stages": pick(rng, 0, 0, 1), "one_way": stickyKeys,
			"exposure_caps": s.exposureCaps, "decided_by": s.promotionMode,
			"ayes_needed": s.promoteVotesNeeded, "votes_to_revert": s.rollbackVotesNeeded,
			"steps": s.stageShares, "lag_fee": lag, "damage_price": harm, "least_stage_ms": 1000,
			"vote_ttl_ms": 3000 + rng.IntN(4000), "api_timeout_ms": 1000, "api_rate": 100, "replace_mode": "in_place"},
		"feedback": map[string]any{"fields": fields}}
}

// encodeRecord encodes one record. The codes that callers pass are listed in codes.go.
func encodeRecord(code uint8, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, f := range fields {
		if err := binary.Write(&b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func (s *session) addEvent(e *scheduledEvent) {
	e.sequence = s.sequence
	s.sequence++
	e.at = math.Ceil(e.at/clockStep) * clockStep
	heap.Push(&s.events, e)
}

// runAfter schedules a function to run after a delay.
func (s *session) runAfter(delay float64, run func()) {
	s.addEvent(&scheduledEvent{at: s.now + delay, gateway: -1, run: run})
}

// send schedules a record to reach a gateway after a delay, unless the gateway stops or restarts before.
func (s *session) send(i int, delay float64, record []byte) {
	s.addEvent(&scheduledEvent{at: s.now + delay, gateway: i, incarnation: s.gateways[i].incarnation, record: record})
}

func playSession(seed uint64) (string, error) {
	s := newSession(seed)
	toServer, in := io.Pipe()
	out, fromServer := io.Pipe()
	served := make(chan error, 1)
	go func() {
		err := simulatoradapter.Serve(toServer, fromServer)
		toServer.CloseWithError(io.ErrClosedPipe)
		fromServer.Close()
		served <- err
	}()
	digest := sha256.New()
	s.output = digest
	replies := bufio.NewReaderSize(out, 1<<16)
	s.scheduleInitialEvents()
	var failure error
	for s.now < s.end && len(s.events) > 0 && failure == nil {
		failure = s.playBatch(in, replies)
	}
	in.Close()
	if err := <-served; failure == nil {
		failure = err
	}
	return fmt.Sprintf("%d %d %x", seed, s.actionCount, digest.Sum(nil)[:16]), failure
}

// playBatch handles the events at the next scheduled time: it sends one batch with their records and carries out the
// reply.
func (s *session) playBatch(in io.Writer, replies *bufio.Reader) error {
	at := s.events[0].at
	s.now = max(s.now, at)
	records := make([][]byte, len(s.gateways))
	for len(s.events) > 0 && s.events[0].at <= at {
		e := heap.Pop(&s.events).(*scheduledEvent)
		switch {
		case e.run != nil:
			e.run()
		case s.gateways[e.gateway].incarnation == e.incarnation:
			records[e.gateway] = append(records[e.gateway], e.record...)
		}
	}
	var body []byte
	for i, gatewayRecords := range records {
		if len(gatewayRecords) > 0 {
			body = append(append(body, encodeRecord(15, uint16(i))...), gatewayRecords...)
		}
	}
	header := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	header = binary.LittleEndian.AppendUint64(header, math.Float64bits(s.now))
	if _, err := in.Write(append(header, body...)); err != nil {
		return err
	}
	var reply [8]byte
	if _, err := io.ReadFull(replies, reply[:]); err != nil {
		return err
	}
	data := make([]byte, binary.LittleEndian.Uint32(reply[4:]))
	if _, err := io.ReadFull(replies, data); err != nil {
		return err
	}
	s.output.Write(reply[:])
	s.output.Write(data)
	s.actionCount += int(binary.LittleEndian.Uint32(reply[:]))
	s.applyActions(data)
	return nil
}

// actionReader reads the fields of actions.
type actionReader struct{ data []byte }

func (f *actionReader) next(n int) []byte {
	b := f.data[:n]
	f.data = f.data[n:]
	return b
}
func (f *actionReader) u8() uint8   { return f.next(1)[0] }
func (f *actionReader) u16() uint16 { return binary.LittleEndian.Uint16(f.next(2)) }
func (f *actionReader) u32() uint32 { return binary.LittleEndian.Uint32(f.next(4)) }
func (f *actionReader) u64() uint64 { return binary.LittleEndian.Uint64(f.next(8)) }
func (f *actionReader) ms() float64 { return math.Float64frombits(f.u64()) }

// applyActions carries out the actions of a reply.
func (s *session) applyActions(data []byte) {
	f := &actionReader{data}
	gateway := 0
	for len(f.data) > 0 {
		switch code := f.u8(); code {
		case 68: // BY
			gateway = int(f.u16())
		case 73: // PLACE
			s.attemptStarted(gateway, f.u32(), f.u32(), f.ms())
		case 76: // DECLINE
			id := f.u32()
			f.ms()
			s.requestFinished(gateway, id)
		case 66: // END_FAILED
			s.requestFinished(gateway, f.u32())
		case 71: // CALL_OFF
			id, number := f.u32(), f.u8()
			if r := s.gateways[gateway].requests[id]; r != nil && !r.attempts[number].done {
				s.finishAttempt(gateway, r, int(number), 5, 1, nil)
			}
		case 74: // FOLLOW
			f.u8()
			s.discoveryPolled(gateway)
		case 75: // TIMER
			delay, handle := f.ms(), f.u64()
			s.send(gateway, max(delay, clockStep), encodeRecord(7, handle))
		case 67: // OPINION
			s.voteCast(gateway, int(f.u16()), int(f.u8()), f.u8())
		case 77: // POST
			to := f.u16()
			datagram := bytes.Clone(f.next(int(f.u16())))
			s.peerMessageSent(gateway, to, datagram)
		default:
			panic(fmt.Sprint("unknown action ", code))
		}
	}
}

func (s *session) requestFinished(gateway int, id uint32) {
	if r := s.gateways[gateway].requests[id]; r != nil {
		r.done = true
	}
}

func (s *session) peerMessageSent(sender int, to uint16, datagram []byte) {
	if s.now < s.peerMessagesLostUntil {
		return
	}
	for i := range s.gateways {
		if i != sender && (to == 0xffff || int(to) == i) && s.random.IntN(20) > 0 {
			s.send(i, 5+float64(s.random.IntN(40)), append(encodeRecord(9, uint32(sender), uint16(len(datagram))), datagram...))
		}
	}
}

// attemptStarted runs an attempt at an endpoint and schedules its end.
func (s *session) attemptStarted(gateway int, id, endpointID uint32, timeout float64) {
	r := s.gateways[gateway].requests[id]
	var ep *endpoint
	for _, candidate := range s.endpoints {
		if candidate.id == endpointID {
			ep = candidate
		}
	}
	number := len(r.attempts)
	a := &attempt{endpoint: ep, sentAt: s.now}
	r.attempts = append(r.attempts, a)
	limit := min(timeout, r.deadline-s.now)
	switch {
	case ep == nil || ep.state == 0 || ep.refusesConnections:
		s.finishAttempt(gateway, r, number, min(limit, 30), 14, nil)
		return
	case ep.state == 2 && s.random.IntN(2) == 0:
		s.finishAttempt(gateway, r, number, 5, 8, nil)
		return
	}
	ep.inFlight++
	op := s.opTypes[r.opType]
	capacity := ep.size * 6
	duration := op.work * ep.slowdown * (0.5 + s.random.Float64()) * max(1, float64(ep.inFlight)/capacity) *
		[]float64{1, 1.4}[ep.machineType]
	if age := s.now - ep.startedAt; ep.startedAt > 0 && age < 2500 {
		duration *= 3 - 2*age/2500
	}
	duration += max(0, ep.pausedUntil-s.now)
	outcome := uint8(0)
	switch {
	case float64(ep.inFlight) > 4*capacity:
		duration, outcome = 5, 8
	case s.random.Float64() < ep.errorRate:
		duration, outcome = duration/4, 13
	case s.random.IntN(300) == 0:
		outcome = 10
	}
	if duration > limit {
		s.runAfter(duration, func() { ep.inFlight-- })
		s.finishTimedOutAttempt(gateway, r, number, limit, 4, nil)
		return
	}
	s.runAfter(duration, func() { ep.inFlight-- })
	if outcome == 0 && duration > 60 && s.random.IntN(12) == 0 { // the response arrives in parts
		s.send(gateway, duration/2, encodeRecord(4, id, uint8(number), ep.id, duration/2))
	}
	s.finishAttempt(gateway, r, number, duration, outcome, ep)
}

// finishTimedOutAttempt ends an attempt at its timeout, at once if the timeout has passed already.
func (s *session) finishTimedOutAttempt(gateway int, r *request, number int, delay float64, outcome uint8,
	ep *endpoint) {
	s.finishAttempt(gateway, r, number, max(delay, 0), outcome, ep)
}

// finishAttempt reports an outcome of an attempt to its gateway after a delay, unless the attempt has ended before. The
// outcomes are codes of codes.go, and 13 is an error. The endpoint ep is nil if there is no load report.
func (s *session) finishAttempt(gateway int, r *request, number int, delay float64, outcome uint8, ep *endpoint) {
	a, incarnation := r.attempts[number], s.gateways[gateway].incarnation
	s.runAfter(delay, func() {
		g := s.gateways[gateway]
		if a.done || g.incarnation != incarnation {
			return
		}
		a.done = true
		requestCompleted := uint8(0)
		if r.done || outcome == 0 {
			r.done, requestCompleted = true, 1
		}
		report := encodeRecord(0)
		if ep != nil && s.loadReports && s.random.IntN(5) > 0 {
			report = encodeRecord(1, float32(min(1, float64(ep.inFlight)/(ep.size*6))))
		}
		id := uint32(0)
		if a.endpoint != nil {
			id = a.endpoint.id
		}
		s.send(gateway, 0,
			append(encodeRecord(5, r.id, uint8(number), id, outcome, s.now-a.sentAt, requestCompleted), report...))
		if outcome == 0 && ep != nil && ep.build > 1 && s.faultKind == 4 && s.random.IntN(6) == 0 {
			s.send(gateway, 200, encodeRecord(13, s.now+200-a.sentAt, uint8(r.opType), ep.id))
		}
	})
}

// discoveryPolled answers a gateway's call to discovery.
func (s *session) discoveryPolled(gateway int) {
	g := s.gateways[gateway]
	if !s.discoveryUp || s.random.IntN(12) == 0 {
		s.send(gateway, 50+float64(s.random.IntN(600)), encodeRecord(2, uint8(1), uint32(0), uint32(0)))
		return
	}
	g.subscribed = true
	s.send(gateway, 20+float64(s.random.IntN(80)), s.encodeEndpointList(2, s.endpoints))
}

// encodeEndpointList encodes the definition of an endpoint list and the update that refers to it. Endpoints that are
// gone are listed only in updates of changes (kind 0).
func (s *session) encodeEndpointList(kind uint8, listed []*endpoint) []byte {
	s.revision++
	number := uint32(s.revision % 16)
	encoded := encodeRecord(14, number, uint32(0))
	count := 0
	for _, ep := range listed {
		if kind != 0 && ep.state == 0 {
			continue
		}
		count++
		encoded = append(encoded, encodeRecord(0, ep.id, ep.zone, ep.machineType, ep.cell, float32(ep.build), ep.state,
			float32(ep.size), ep.startedAt)[1:]...)
	}
	binary.LittleEndian.PutUint32(encoded[5:], uint32(count))
	return append(encoded, encodeRecord(2, kind, uint32(s.revision), number)...)
}

// endpointsChanged reports changed endpoints to the gateways that receive changes from discovery.
func (s *session) endpointsChanged(changed ...*endpoint) {
	if !s.discoveryUp {
		return
	}
	for i, g := range s.gateways {
		if g.running && (g.subscribed || !s.pollDiscovery) {
			s.send(i, 10+float64(s.random.IntN(200)),
				s.encodeEndpointList(uint8(pick(s.random, 0, 0, 0, 2)), updatedEndpoints(s, changed)))
		}
	}
}

// updatedEndpoints returns the changed endpoints, or all endpoints if none are given.
func updatedEndpoints(s *session, changed []*endpoint) []*endpoint {
	if len(changed) == 0 {
		return s.endpoints
	}
	return changed
}

// encodeRolloutStatus encodes the rollout status of the newest build.
func (s *session) encodeRolloutStatus(source, outcome uint8) []byte {
	exposureCap := 0.0
	if s.phase == 0 || s.phase == 2 {
		exposureCap = s.exposureCaps[min(s.stage, len(s.exposureCaps)-1)]
	}
	return encodeRecord(11, uint16(s.build), uint8(s.stage), s.phase, source, outcome, float32(exposureCap),
		s.now-s.statusSince)
}

func (s *session) broadcastRolloutStatus() {
	for i, g := range s.gateways {
		if g.running {
			s.send(i, 5+float64(s.random.IntN(150)), s.encodeRolloutStatus(0, 0))
		}
	}
}

// voteCast counts a vote and promotes the build or rolls it back if there are enough votes.
func (s *session) voteCast(gateway, build, stage int, verdict uint8) {
	if s.random.IntN(10) == 0 {
		s.send(gateway, 100+float64(s.random.IntN(900)), s.encodeRolloutStatus(1, pick[uint8](s.random, 4, 8, 13)))
		return
	}
	if build != s.build || verdict == 1 && stage != s.stage || s.phase == 1 || s.phase == 3 {
		s.send(gateway, 20, s.encodeRolloutStatus(1, 9))
		return
	}
	g := s.gateways[gateway]
	g.voteBuild, g.lastVerdict = build, verdict
	promoteVotes, rollbackVotes := 0, 0
	for _, other := range s.gateways {
		if other.voteBuild == s.build && other.lastVerdict == 1 {
			promoteVotes++
		} else if other.voteBuild == s.build && other.lastVerdict == 3 {
			rollbackVotes++
		}
	}
	switch {
	case rollbackVotes >= s.rollbackVotesNeeded:
		s.rollBack()
	case s.phase == 0 && s.promotionMode != "timer" && promoteVotes >= s.promoteVotesNeeded && s.now-s.statusSince >= 1000:
		s.promote()
	}
	s.send(gateway, 20, s.encodeRolloutStatus(1, 0))
}

func (s *session) promote() {
	for _, g := range s.gateways {
		g.lastVerdict = 0
	}
	s.statusSince = s.now
	if s.stage++; s.stage >= len(s.stageShares) {
		s.stage, s.phase = len(s.stageShares)-1, 2
	}
	s.deployNewestBuild()
	s.broadcastRolloutStatus()
}

func (s *session) rollBack() {
	for _, g := range s.gateways {
		g.lastVerdict = 0
	}
	s.phase, s.statusSince = 1, s.now
	s.broadcastRolloutStatus()
	s.runAfter(600, func() {
		for _, ep := range s.endpoints {
			if ep.build == s.build && ep.state == 1 {
				s.restartEndpoint(ep, s.build-1)
			}
		}
		s.phase, s.statusSince = 3, s.now
		s.broadcastRolloutStatus()
	})
}

// deployNewestBuild restarts endpoints with the newest build until the share of its stage runs it.
func (s *session) deployNewestBuild() {
	want := int(math.Ceil(s.stageShares[s.stage] * float64(len(s.endpoints))))
	for _, ep := range s.endpoints {
		if ep.build == s.build {
			want--
		}
	}
	for _, ep := range s.endpoints {
		if want > 0 && ep.build < s.build && ep.state == 1 {
			want--
			s.runAfter(float64(s.random.IntN(700)), func() { s.restartEndpoint(ep, s.build) })
		}
	}
}

// restartEndpoint drains an endpoint and starts it again with the given build.
func (s *session) restartEndpoint(ep *endpoint, build int) {
	if ep.state != 1 {
		return
	}
	ep.state = 2
	s.endpointsChanged(ep)
	s.runAfter(300+float64(s.random.IntN(500)), func() {
		ep.build, ep.state, ep.startedAt = build, 1, s.now
		ep.slowdown, ep.errorRate, ep.refusesConnections = 1, 0, false
		if build == s.build && build > 1 {
			s.applyBuildFault(ep)
		}
		s.endpointsChanged(ep)
	})
}

// applyBuildFault gives an endpoint the fault of the newest build. Kind 0 is no fault. Kind 4, wrong answers, is left
// to finishAttempt.
func (s *session) applyBuildFault(ep *endpoint) {
	switch s.faultKind {
	case 1:
		ep.errorRate = 0.1 * s.faultSeverity
	case 2:
		ep.slowdown = 1.1 + s.faultSeverity
	case 3:
		s.runAfter(2500, func() { ep.errorRate = 0.5 * s.faultSeverity })
	case 5:
		ep.errorRate = 0.005 + 0.03*s.faultSeverity
	}
}

func (s *session) startGateway(i int, seed uint64, restarted bool) {
	g := s.gateways[i]
	g.incarnation++
	g.running, g.subscribed, g.requests = true, false, map[uint32]*request{}
	settings := map[string]any{}
	for name, value := range s.settings {
		settings[name] = value
	}
	settings["rank"], settings["locality"] = i, i%2
	text, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	var records []byte
	if restarted {
		records = encodeRecord(10)
	}
	records = append(records, append(encodeRecord(1, seed, uint32(len(text))), text...)...)
	records = append(records, s.encodeEndpointList(3, s.endpoints)...)
	s.send(i, 0, append(records, s.encodeRolloutStatus(0, 0)...))
}

// scheduleInitialEvents starts the gateways and schedules the first of each series of events.
func (s *session) scheduleInitialEvents() {
	rng := s.random
	for i := range s.gateways {
		s.startGateway(i, rng.Uint64(), false)
		s.scheduleArrivals(i)
	}
	s.runAfter(3000+float64(rng.IntN(5000)), s.startRollout)
	if s.promotionMode == "timer" {
		s.runAfter(4000, s.promoteOnTimer)
	}
	s.runAfter(2000, func() { s.repeatRolloutStatus() })
	s.runAfter(500, s.injectFault)
}

func (s *session) startRollout() {
	s.faultSeverity = s.random.Float64()
	s.build, s.stage, s.phase, s.statusSince = s.build+1, 0, 0, s.now
	s.deployNewestBuild()
	s.broadcastRolloutStatus()
}

// promoteOnTimer promotes the newest build from stage to stage by time.
func (s *session) promoteOnTimer() {
	if s.phase == 0 && s.now-s.statusSince > 4000 {
		s.promote()
	}
	s.runAfter(500, s.promoteOnTimer)
}

// repeatRolloutStatus sends the rollout status again every two seconds and sometimes starts the rollout of a new build
// after the last one has ended.
func (s *session) repeatRolloutStatus() {
	s.broadcastRolloutStatus()
	if s.phase >= 2 && s.build > 1 && (s.steady || s.random.IntN(5) == 0) {
		s.faultKind = s.random.IntN(6)
		s.startRollout()
	}
	s.runAfter(2000, s.repeatRolloutStatus)
}

func (s *session) scheduleArrivals(i int) {
	g := s.gateways[i]
	if g.running {
		s.requestArrives(i)
	}
	rate := s.rate
	if offset := math.Mod(s.now, 9000); offset > 7000 {
		rate *= 3 // a burst in the last 2 of every 9 seconds
	}
	s.runAfter(s.random.ExpFloat64()*1000/rate, func() { s.scheduleArrivals(i) })
}

func (s *session) requestArrives(i int) {
	g := s.gateways[i]
	s.lastRequestID++
	opTypeIndex := s.random.IntN(len(s.opTypes))
	op := s.opTypes[opTypeIndex]
	remaining := op.clientTimeout * (0.3 + 0.7*s.random.Float64())
	r := &request{id: s.lastRequestID, opType: opTypeIndex, deadline: s.now + remaining}
	g.requests[r.id] = r
	key := uint64(0)
	if s.keyCount > 0 && s.random.IntN(4) > 0 {
		key = 1 + uint64(s.random.IntN(s.keyCount))*uint64(s.random.IntN(s.keyCount)+1)
	}
	options := uint16(s.random.IntN(2))
	tenant := uint32(s.random.IntN(2) * s.random.IntN(2))
	s.send(i, 0, encodeRecord(3, r.id, tenant, uint8(opTypeIndex), op.work, options, remaining, key))
	if s.random.IntN(25) == 0 {
		incarnation := g.incarnation
		s.runAfter(remaining*s.random.Float64(), func() {
			if !r.done && g.incarnation == incarnation {
				r.done = true
				s.send(i, 0, encodeRecord(6, r.id))
			}
		})
	}
}

// injectFault injects a random fault, if any, and schedules its next call.
func (s *session) injectFault() {
	rng := s.random
	ep := s.endpoints[rng.IntN(len(s.endpoints))]
	switch rng.IntN(13) {
	case 0:
		ep.pausedUntil = s.now + 500 + float64(rng.IntN(4000))
	case 1:
		ep.errorRate = 0.5 + rng.Float64()/2
		s.runAfter(3000, func() { ep.errorRate = 0 })
	case 2:
		ep.slowdown = 4
		s.runAfter(4000, func() { ep.slowdown = 1 })
	case 3:
		ep.refusesConnections = true
		s.runAfter(2500, func() { ep.refusesConnections = false })
	case 4:
		s.restartEndpoint(ep, ep.build)
	case 5: // an endpoint disappears and another replaces it
		ep.state = 0
		s.endpointsChanged(ep)
		s.lastEndpointID++
		replacement := &endpoint{id: s.lastEndpointID, zone: ep.zone, machineType: ep.machineType, cell: ep.cell,
			build: ep.build, state: 1, size: ep.size, slowdown: 1}
		s.runAfter(800, func() {
			replacement.startedAt = s.now
			s.endpoints = append(s.endpoints, replacement)
			s.endpointsChanged(replacement)
		})
	case 6: // discovery is down for 2 to 5 seconds
		s.discoveryUp = false
		for i, g := range s.gateways {
			if g.subscribed {
				g.subscribed = false
				s.send(i, float64(rng.IntN(100)), encodeRecord(2, uint8(1), uint32(0), uint32(0)))
			}
		}
		s.runAfter(2000+float64(rng.IntN(3000)), func() { s.discoveryUp = true; s.endpointsChanged() })
	case 7: // a gateway is killed and restarted
		i := rng.IntN(len(s.gateways))
		s.gateways[i].running = false
		s.gateways[i].incarnation++
		s.runAfter(300+float64(rng.IntN(2000)), func() { s.startGateway(i, rng.Uint64(), true) })
	case 8: // all endpoints of a zone refuse connections for 1.5 seconds
		for _, other := range s.endpoints {
			if other.zone == ep.zone {
				other.refusesConnections = true
			}
		}
		s.runAfter(1500, func() {
			for _, other := range s.endpoints {
				other.refusesConnections = false
			}
		})
	case 9: // all endpoints pause for 300 ms
		for _, other := range s.endpoints {
			other.pausedUntil = s.now + 300
		}
	case 10: // messages between gateways are lost for 1.5 to 10.5 seconds
		s.peerMessagesLostUntil = s.now + 1500 + float64(rng.IntN(9000))
	}
	delay := 600 + float64(rng.IntN(1800))
	if s.steady {
		delay *= 5
	}
	s.runAfter(delay, s.injectFault)
}
