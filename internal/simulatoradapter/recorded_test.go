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

// This file holds the decisions as they are: seeded sessions are played on the simulator's wire, and the digest of all
// bytes that come back is compared with the recorded one. It knows nothing of the packages behind the wire, so that
// it stays as it is while they are renamed and reshaped.

const (
	recordedSessions = 320
	recordedFile     = "testdata/recorded.txt"
)

var record = flag.Bool("record", false, "write the digests of the recorded sessions anew")

// TestRecordedSessions plays every recorded session and compares its output with the recording.
func TestRecordedSessions(t *testing.T) {
	digests := playAll(t)
	if *record {
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
		t.Fatalf("%d sessions are recorded, %d were played", len(want), len(digests))
	}
	differing := 0
	for i, digest := range digests {
		if digest != want[i] {
			if differing++; differing <= 5 {
				t.Errorf("session %d: %s, recorded %s", i, digest, want[i])
			}
		}
	}
	if differing > 0 {
		t.Errorf("%d of %d sessions differ from the recording", differing, len(want))
	}
}

// playAll plays the sessions, some at a time, and gives their digests in order.
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

// times are milliseconds of the session's clock.
const (
	sessionStart = 1000.0
	stepOf       = 5.0
)

// event is bytes that reach a gateway at a moment, or something that happens in the session itself.
type event struct {
	at      float64
	order   int
	gateway int // its life must be the same still
	life    int
	record  []byte
	happens func()
}

type schedule []*event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(a, b int) bool {
	return s[a].at < s[b].at || s[a].at == s[b].at && s[a].order < s[b].order
}
func (s schedule) Swap(a, b int) { s[a], s[b] = s[b], s[a] }
func (s *schedule) Push(e any)   { *s = append(*s, e.(*event)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	*s = (*s)[:last]
	return e
}

type class struct {
	repeat, scope       string
	aim, patience, work float64
	window              float64
	lateWorth, gain     float64
	stretch             float64
}

type machine struct {
	id          uint32
	zone        uint8
	model       uint16
	cell        uint16
	build       int
	state       uint8
	size        float64
	startedAt   float64
	inFlight    int
	pausedUntil float64
	failing     float64
	slowness    float64
	refusing    bool
}

type request struct {
	id       uint32
	class    int
	deadline float64
	over     bool
	attempts []*attempt
}

type attempt struct {
	machine *machine
	sentAt  float64
	over    bool
}

type gateway struct {
	on        bool
	life      int
	follows   bool
	requests  map[uint32]*request
	voteBuild int
	vote      uint8
}

// session is one closed world around some gateways.
type session struct {
	dice      *rand.Rand
	now       float64
	end       float64
	due       schedule
	order     int
	gateways  []*gateway
	machines  []*machine
	classes   []class
	settings  map[string]any
	ask       bool
	messages  bool
	loads     bool
	keys      int
	rate      float64
	nextID    uint32
	nextID2   uint32
	gen       int
	discovery bool    // it answers
	lostUntil float64 // messages between gateways are lost

	build, stage int
	course       uint8
	caps, steps  []float64
	stageSince   float64
	control      string
	ayes, backs  int
	badKind      int     // what is wrong with the newest build
	badness      float64 // how much, from 0 to 1
	steady       bool
	hash         interface{ Write([]byte) (int, error) }
	actions      int
}

func pick[T any](dice *rand.Rand, some ...T) T { return some[dice.IntN(len(some))] }

func newSession(seed uint64) *session {
	s := &session{dice: rand.New(rand.NewPCG(seed, 0x5eed)), now: sessionStart, discovery: true, build: 1, course: 2}
	d := s.dice
	s.end = s.now + 14000 + float64(d.IntN(22000))
	if s.steady = seed%3 == 2; s.steady { // little but releases happens, and builds are bad by little
		s.end += 16000
	}
	gateways := pick(d, 1, 2, 3, 3, 4, 6, 8, 10)
	s.rate = float64(40+d.IntN(260)) / float64(gateways)
	if s.steady {
		s.rate = float64(200+d.IntN(300)) / float64(gateways)
	}
	s.ask, s.messages, s.loads = d.IntN(2) == 0, d.IntN(5) > 0, d.IntN(6) > 0
	s.control = pick(d, "any", "share", "timer")
	s.ayes, s.backs = 1, 1
	if s.control == "share" {
		s.ayes, s.backs = 1+d.IntN(min(8, gateways)), 1+d.IntN(min(5, gateways))
	}
	s.caps, s.steps = []float64{0.1, 0.4, 1}, []float64{0.1, 0.5, 1}
	switch d.IntN(3) {
	case 0:
		s.caps, s.steps = []float64{0.05, 0.2, 0.6, 1}, []float64{0.05, 0.25, 0.6, 1}
	case 1:
		s.caps, s.steps = []float64{0.2, 0.6, 0.9, 1}, []float64{0.1, 0.45, 0.82, 1}
	}
	s.stage = len(s.steps) - 1
	oneWay := d.IntN(3) == 0
	s.keys = pick(d, 0, 40, 4000)
	s.badKind = d.IntN(6)
	for _, repeat := range [][]string{{"repeatable"}, {"repeatable", "by_key", "once"}, {"by_key", "once"},
		{"repeatable", "once"}}[d.IntN(4)] {
		s.classes = append(s.classes, class{repeat: repeat, scope: pick(d, "all", "zone", "cell"),
			aim: float64(120 + d.IntN(600)), patience: float64(700 + d.IntN(2500)), work: float64(4 + d.IntN(50)),
			window: float64(400 + d.IntN(2000)), lateWorth: pick(d, 0.0, 0.2, 0.8), gain: float64(1 + d.IntN(4)),
			stretch: pick(d, 0.0, 2.5)})
	}
	s.settings = s.describe(gateways, oneWay)
	for i := range 6 + d.IntN(18) {
		s.machines = append(s.machines, &machine{id: uint32(100 + i*7), zone: uint8(d.IntN(2)), model: uint16(d.IntN(2)),
			cell: uint16(d.IntN(3)), build: 1, state: 1, size: pick(d, 1.0, 2.0, 4.0), slowness: 1})
	}
	s.nextID2 = 5000
	for range gateways {
		s.gateways = append(s.gateways, &gateway{requests: map[uint32]*request{}})
	}
	return s
}

// describe draws the settings that every gateway gets; the rank is put in for each.
func (s *session) describe(gateways int, oneWay bool) map[string]any {
	d := s.dice
	var lanes []any
	for i, c := range s.classes {
		lane := map[string]any{"name": fmt.Sprint("c", i), "aim_ms": c.aim, "give_up_ms": c.patience, "gain": c.gain,
			"repeat": c.repeat, "late_worth": c.lateWorth, "aim_stretch": c.stretch}
		if c.repeat == "by_key" {
			lane["dedup_scope"], lane["window_ms"] = c.scope, c.window
		}
		lanes = append(lanes, lane)
	}
	orgs := []any{}
	if d.IntN(2) == 0 {
		orgs = append(orgs, map[string]any{"quota_rps": s.rate}, map[string]any{"quota_rps": s.rate / 4})
	}
	mode := "push"
	if s.ask {
		mode = "ask"
	}
	fields := []string{"utilization"}
	if !s.loads {
		fields = []string{}
	}
	harm := pick(d, 2.0, 8.0)
	lag := pick(d, 0.01, 0.3, 0.6, harm*(0.04+0.06*d.Float64()), harm*(0.04+0.06*d.Float64()))
	return map[string]any{"rank": 0, "balancers": gateways, "locality": 0, "period_ms": pick(d, 5, 5, 20),
		"areas": []string{"a", "b"}, "host_types": []string{"m", "n"}, "lanes": lanes, "orgs": orgs,
		"limits": map[string]any{"max_attempts": 2 + d.IntN(4), "second_copies": false, "may_cancel": d.IntN(4) > 0,
			"probes": false, "retry_after": d.IntN(4) > 0, "max_retry_after_ms": 300 + d.IntN(600),
			"peer_messages": s.messages},
		"prices": map[string]any{"cross_zone": pick(d, 0.0, 0.04, 0.2), "waste": 0},
		"invariants": map[string]any{"cold_from": pick(d, 0.2, 0.31, 0.5), "cold_ms": 1500 + d.IntN(4000),
			"fall_multiple": pick(d, 1.5, 2.0, 3.0), "fall_ms": 1000 + d.IntN(2500), "ask_within_ms": 9000},
		"registry_mode": mode,
		"family_info": map[string]any{"window_ms": 1500 + d.IntN(3000), "allowance": pick(d, 1.0, 2.0, 3.5),
			"per": pick(d, "all", "class"), "closed_stages": pick(d, 0, 0, 1), "one_way": oneWay,
			"exposure_caps": s.caps, "decided_by": s.control, "ayes_needed": s.ayes, "votes_to_revert": s.backs,
			"steps": s.steps, "lag_fee": lag, "damage_price": harm, "least_stage_ms": 1000,
			"vote_ttl_ms": 3000 + d.IntN(4000), "api_timeout_ms": 1000, "api_rate": 100, "replace_mode": "in_place"},
		"feedback": map[string]any{"fields": fields}}
}

// rec lays out one record.
func rec(code uint8, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, f := range fields {
		if err := binary.Write(&b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func (s *session) add(e *event) {
	e.order = s.order
	s.order++
	e.at = math.Ceil(e.at/stepOf) * stepOf
	heap.Push(&s.due, e)
}

// later has something happen after a time.
func (s *session) later(after float64, happens func()) {
	s.add(&event{at: s.now + after, gateway: -1, happens: happens})
}

// tell has a record reach a gateway after a time, if it still lives the same life.
func (s *session) tell(i int, after float64, record []byte) {
	s.add(&event{at: s.now + after, gateway: i, life: s.gateways[i].life, record: record})
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
	s.hash = digest
	replies := bufio.NewReaderSize(out, 1<<16)
	s.script()
	var failed error
	for s.now < s.end && len(s.due) > 0 && failed == nil {
		failed = s.turn(in, replies)
	}
	in.Close()
	if err := <-served; failed == nil {
		failed = err
	}
	return fmt.Sprintf("%d %d %x", seed, s.actions, digest.Sum(nil)[:16]), failed
}

// turn carries out what is due at the next moment: one batch, and its reply.
func (s *session) turn(in io.Writer, replies *bufio.Reader) error {
	at := s.due[0].at
	s.now = max(s.now, at)
	records := make([][]byte, len(s.gateways))
	for len(s.due) > 0 && s.due[0].at <= at {
		e := heap.Pop(&s.due).(*event)
		switch {
		case e.happens != nil:
			e.happens()
		case s.gateways[e.gateway].life == e.life:
			records[e.gateway] = append(records[e.gateway], e.record...)
		}
	}
	var body []byte
	for i, some := range records {
		if len(some) > 0 {
			body = append(append(body, rec(15, uint16(i))...), some...)
		}
	}
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	head = binary.LittleEndian.AppendUint64(head, math.Float64bits(s.now))
	if _, err := in.Write(append(head, body...)); err != nil {
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
	s.hash.Write(reply[:])
	s.hash.Write(data)
	s.actions += int(binary.LittleEndian.Uint32(reply[:]))
	s.obey(data)
	return nil
}

// fields reads the fields of an action.
type fields struct{ data []byte }

func (f *fields) next(n int) []byte {
	b := f.data[:n]
	f.data = f.data[n:]
	return b
}
func (f *fields) u8() uint8   { return f.next(1)[0] }
func (f *fields) u16() uint16 { return binary.LittleEndian.Uint16(f.next(2)) }
func (f *fields) u32() uint32 { return binary.LittleEndian.Uint32(f.next(4)) }
func (f *fields) u64() uint64 { return binary.LittleEndian.Uint64(f.next(8)) }
func (f *fields) ms() float64 { return math.Float64frombits(f.u64()) }

// obey carries out the actions of a reply.
func (s *session) obey(data []byte) {
	f := &fields{data}
	self := 0
	for len(f.data) > 0 {
		switch code := f.u8(); code {
		case 68:
			self = int(f.u16())
		case 73:
			s.placed(self, f.u32(), f.u32(), f.ms())
		case 76:
			id := f.u32()
			f.ms()
			s.settled(self, id)
		case 66:
			s.settled(self, f.u32())
		case 71:
			id, hop := f.u32(), f.u8()
			if r := s.gateways[self].requests[id]; r != nil && !r.attempts[hop].over {
				s.answer(self, r, int(hop), 5, 1, nil)
			}
		case 74:
			f.u8()
			s.followed(self)
		case 75:
			after, handle := f.ms(), f.u64()
			s.tell(self, max(after, stepOf), rec(7, handle))
		case 67:
			s.voted(self, int(f.u16()), int(f.u8()), f.u8())
		case 77:
			to := f.u16()
			text := bytes.Clone(f.next(int(f.u16())))
			s.posted(self, to, text)
		default:
			panic(fmt.Sprint("unknown action ", code))
		}
	}
}

func (s *session) settled(self int, id uint32) {
	if r := s.gateways[self].requests[id]; r != nil {
		r.over = true
	}
}

func (s *session) posted(self int, to uint16, text []byte) {
	if s.now < s.lostUntil {
		return
	}
	for i := range s.gateways {
		if i != self && (to == 0xffff || int(to) == i) && s.dice.IntN(20) > 0 {
			s.tell(i, 5+float64(s.dice.IntN(40)), append(rec(9, uint32(self), uint16(len(text))), text...))
		}
	}
}

// placed has an attempt run at a machine.
func (s *session) placed(self int, id, to uint32, tryFor float64) {
	r := s.gateways[self].requests[id]
	var m *machine
	for _, one := range s.machines {
		if one.id == to {
			m = one
		}
	}
	hop := len(r.attempts)
	a := &attempt{machine: m, sentAt: s.now}
	r.attempts = append(r.attempts, a)
	limit := min(tryFor, r.deadline-s.now)
	switch {
	case m == nil || m.state == 0 || m.refusing:
		s.answer(self, r, hop, min(limit, 30), 14, nil)
		return
	case m.state == 2 && s.dice.IntN(2) == 0:
		s.answer(self, r, hop, 5, 8, nil)
		return
	}
	m.inFlight++
	c := s.classes[r.class]
	room := m.size * 6
	took := c.work * m.slowness * (0.5 + s.dice.Float64()) * max(1, float64(m.inFlight)/room) * []float64{1, 1.4}[m.model]
	if age := s.now - m.startedAt; m.startedAt > 0 && age < 2500 {
		took *= 3 - 2*age/2500
	}
	took += max(0, m.pausedUntil-s.now)
	how := uint8(0)
	switch {
	case float64(m.inFlight) > 4*room:
		took, how = 5, 8
	case s.dice.Float64() < m.failing:
		took, how = took/4, 13
	case s.dice.IntN(300) == 0:
		how = 10
	}
	if took > limit {
		s.later(took, func() { m.inFlight-- })
		s.answerLess(self, r, hop, limit, 4, nil)
		return
	}
	s.later(took, func() { m.inFlight-- })
	if how == 0 && took > 60 && s.dice.IntN(12) == 0 { // it streams
		s.tell(self, took/2, rec(4, id, uint8(hop), m.id, took/2))
	}
	s.answer(self, r, hop, took, how, m)
}

func (s *session) answerLess(self int, r *request, hop int, after float64, how uint8, m *machine) {
	s.answer(self, r, hop, max(after, 0), how, m)
}

// answer brings the outcome of an attempt to its gateway after a time, unless another came first.
func (s *session) answer(self int, r *request, hop int, after float64, how uint8, m *machine) {
	a, life := r.attempts[hop], s.gateways[self].life
	s.later(after, func() {
		g := s.gateways[self]
		if a.over || g.life != life {
			return
		}
		a.over = true
		settled := uint8(0)
		if r.over || how == 0 {
			r.over, settled = true, 1
		}
		report := rec(0)
		if m != nil && s.loads && s.dice.IntN(5) > 0 {
			report = rec(1, float32(min(1, float64(m.inFlight)/(m.size*6))))
		}
		id := uint32(0)
		if a.machine != nil {
			id = a.machine.id
		}
		s.tell(self, 0, append(rec(5, r.id, uint8(hop), id, how, s.now-a.sentAt, settled), report...))
		if how == 0 && m != nil && m.build > 1 && s.badKind == 4 && s.dice.IntN(6) == 0 {
			s.tell(self, 200, rec(13, s.now+200-a.sentAt, uint8(r.class), m.id))
		}
	})
}

// followed answers a call to discovery.
func (s *session) followed(self int) {
	g := s.gateways[self]
	if !s.discovery || s.dice.IntN(12) == 0 {
		s.tell(self, 50+float64(s.dice.IntN(600)), rec(2, uint8(1), uint32(0), uint32(0)))
		return
	}
	g.follows = true
	s.tell(self, 20+float64(s.dice.IntN(80)), s.list(2, s.machines))
}

// list lays out machines, and the update that brings them.
func (s *session) list(how uint8, some []*machine) []byte {
	s.gen++
	number := uint32(s.gen % 16)
	text := rec(14, number, uint32(0))
	n := 0
	for _, m := range some {
		if how != 0 && m.state == 0 {
			continue
		}
		n++
		text = append(text, rec(0, m.id, m.zone, m.model, m.cell, float32(m.build), m.state, float32(m.size), m.startedAt)[1:]...)
	}
	binary.LittleEndian.PutUint32(text[5:], uint32(n))
	return append(text, rec(2, how, uint32(s.gen), number)...)
}

// changed tells a change of machines to whoever is told of changes.
func (s *session) changed(some ...*machine) {
	if !s.discovery {
		return
	}
	for i, g := range s.gateways {
		if g.on && (g.follows || !s.ask) {
			s.tell(i, 10+float64(s.dice.IntN(200)), s.list(uint8(pick(s.dice, 0, 0, 0, 2)), some4(s, some)))
		}
	}
}

// some4 is the whole list where that is told, as list leaves out nothing else.
func some4(s *session, some []*machine) []*machine {
	if len(some) == 0 {
		return s.machines
	}
	return some
}

// state lays out where the newest build stands.
func (s *session) state(sense, how uint8) []byte {
	share := 0.0
	if s.course == 0 || s.course == 2 {
		share = s.caps[min(s.stage, len(s.caps)-1)]
	}
	return rec(11, uint16(s.build), uint8(s.stage), s.course, sense, how, float32(share), s.now-s.stageSince)
}

func (s *session) news() {
	for i, g := range s.gateways {
		if g.on {
			s.tell(i, 5+float64(s.dice.IntN(150)), s.state(0, 0))
		}
	}
}

// voted counts a vote and moves the build.
func (s *session) voted(self, build, stage int, verdict uint8) {
	if s.dice.IntN(10) == 0 {
		s.tell(self, 100+float64(s.dice.IntN(900)), s.state(1, pick[uint8](s.dice, 4, 8, 13)))
		return
	}
	if build != s.build || verdict == 1 && stage != s.stage || s.course == 1 || s.course == 3 {
		s.tell(self, 20, s.state(1, 9))
		return
	}
	g := s.gateways[self]
	g.voteBuild, g.vote = build, verdict
	on, back := 0, 0
	for _, one := range s.gateways {
		if one.voteBuild == s.build && one.vote == 1 {
			on++
		} else if one.voteBuild == s.build && one.vote == 3 {
			back++
		}
	}
	switch {
	case back >= s.backs:
		s.backOff()
	case s.course == 0 && s.control != "timer" && on >= s.ayes && s.now-s.stageSince >= 1000:
		s.moveOn()
	}
	s.tell(self, 20, s.state(1, 0))
}

func (s *session) moveOn() {
	for _, g := range s.gateways {
		g.vote = 0
	}
	s.stageSince = s.now
	if s.stage++; s.stage >= len(s.steps) {
		s.stage, s.course = len(s.steps)-1, 2
	}
	s.replace()
	s.news()
}

func (s *session) backOff() {
	for _, g := range s.gateways {
		g.vote = 0
	}
	s.course, s.stageSince = 1, s.now
	s.news()
	s.later(600, func() {
		for _, m := range s.machines {
			if m.build == s.build && m.state == 1 {
				s.restart(m, s.build-1)
			}
		}
		s.course, s.stageSince = 3, s.now
		s.news()
	})
}

// replace has as many machines run the newest build as its stage wants.
func (s *session) replace() {
	want := int(math.Ceil(s.steps[s.stage] * float64(len(s.machines))))
	for _, m := range s.machines {
		if m.build == s.build {
			want--
		}
	}
	for _, m := range s.machines {
		if want > 0 && m.build < s.build && m.state == 1 {
			want--
			s.later(float64(s.dice.IntN(700)), func() { s.restart(m, s.build) })
		}
	}
}

// restart drains a machine and has it come back with a build.
func (s *session) restart(m *machine, build int) {
	if m.state != 1 {
		return
	}
	m.state = 2
	s.changed(m)
	s.later(300+float64(s.dice.IntN(500)), func() {
		m.build, m.state, m.startedAt = build, 1, s.now
		m.slowness, m.failing, m.refusing = 1, 0, false
		if build == s.build && build > 1 {
			s.spoil(m)
		}
		s.changed(m)
	})
}

// spoil makes a machine of the newest build as bad as that build is.
func (s *session) spoil(m *machine) {
	switch s.badKind {
	case 1:
		m.failing = 0.1 * s.badness
	case 2:
		m.slowness = 1.1 + s.badness
	case 3:
		s.later(2500, func() { m.failing = 0.5 * s.badness })
	case 5:
		m.failing = 0.005 + 0.03*s.badness
	}
}

func (s *session) start(i int, seed uint64, restarted bool) {
	g := s.gateways[i]
	g.life++
	g.on, g.follows, g.requests = true, false, map[uint32]*request{}
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
		records = rec(10)
	}
	records = append(records, append(rec(1, seed, uint32(len(text))), text...)...)
	records = append(records, s.list(3, s.machines)...)
	s.tell(i, 0, append(records, s.state(0, 0)...))
}

// script draws what happens in the session.
func (s *session) script() {
	d := s.dice
	for i := range s.gateways {
		s.start(i, d.Uint64(), false)
		s.arrivals(i)
	}
	s.later(3000+float64(d.IntN(5000)), s.announce)
	if s.control == "timer" {
		s.later(4000, s.clock)
	}
	s.later(2000, func() { s.beat() })
	s.later(500, s.trouble)
}

func (s *session) announce() {
	s.badness = s.dice.Float64()
	s.build, s.stage, s.course, s.stageSince = s.build+1, 0, 0, s.now
	s.replace()
	s.news()
}

// clock moves stages on by time.
func (s *session) clock() {
	if s.course == 0 && s.now-s.stageSince > 4000 {
		s.moveOn()
	}
	s.later(500, s.clock)
}

// beat repeats the news, and announces a further build once in a while.
func (s *session) beat() {
	s.news()
	if s.course >= 2 && s.build > 1 && (s.steady || s.dice.IntN(5) == 0) {
		s.badKind = s.dice.IntN(6)
		s.announce()
	}
	s.later(2000, s.beat)
}

func (s *session) arrivals(i int) {
	g := s.gateways[i]
	if g.on {
		s.arrive(i)
	}
	rate := s.rate
	if phase := math.Mod(s.now, 9000); phase > 7000 {
		rate *= 3 // a burst
	}
	s.later(s.dice.ExpFloat64()*1000/rate, func() { s.arrivals(i) })
}

func (s *session) arrive(i int) {
	g := s.gateways[i]
	s.nextID++
	n := s.dice.IntN(len(s.classes))
	c := s.classes[n]
	left := c.patience * (0.3 + 0.7*s.dice.Float64())
	r := &request{id: s.nextID, class: n, deadline: s.now + left}
	g.requests[r.id] = r
	key := uint64(0)
	if s.keys > 0 && s.dice.IntN(4) > 0 {
		key = 1 + uint64(s.dice.IntN(s.keys))*uint64(s.dice.IntN(s.keys)+1)
	}
	opts := uint16(s.dice.IntN(2))
	owner := uint32(s.dice.IntN(2) * s.dice.IntN(2))
	s.tell(i, 0, rec(3, r.id, owner, uint8(n), c.work, opts, left, key))
	if s.dice.IntN(25) == 0 {
		life := g.life
		s.later(left*s.dice.Float64(), func() {
			if !r.over && g.life == life {
				r.over = true
				s.tell(i, 0, rec(6, r.id))
			}
		})
	}
}

// trouble brings one trouble after another.
func (s *session) trouble() {
	d := s.dice
	m := s.machines[d.IntN(len(s.machines))]
	switch d.IntN(13) {
	case 0:
		m.pausedUntil = s.now + 500 + float64(d.IntN(4000))
	case 1:
		m.failing = 0.5 + d.Float64()/2
		s.later(3000, func() { m.failing = 0 })
	case 2:
		m.slowness = 4
		s.later(4000, func() { m.slowness = 1 })
	case 3:
		m.refusing = true
		s.later(2500, func() { m.refusing = false })
	case 4:
		s.restart(m, m.build)
	case 5: // it is gone, and another comes
		m.state = 0
		s.changed(m)
		s.nextID2++
		fresh := &machine{id: s.nextID2, zone: m.zone, model: m.model, cell: m.cell, build: m.build, state: 1,
			size: m.size, slowness: 1}
		s.later(800, func() {
			fresh.startedAt = s.now
			s.machines = append(s.machines, fresh)
			s.changed(fresh)
		})
	case 6: // discovery is down
		s.discovery = false
		for i, g := range s.gateways {
			if g.follows {
				g.follows = false
				s.tell(i, float64(d.IntN(100)), rec(2, uint8(1), uint32(0), uint32(0)))
			}
		}
		s.later(2000+float64(d.IntN(3000)), func() { s.discovery = true; s.changed() })
	case 7: // a gateway is killed and comes back
		i := d.IntN(len(s.gateways))
		s.gateways[i].on = false
		s.gateways[i].life++
		s.later(300+float64(d.IntN(2000)), func() { s.start(i, d.Uint64(), true) })
	case 8: // a zone is lost
		for _, one := range s.machines {
			if one.zone == m.zone {
				one.refusing = true
			}
		}
		s.later(1500, func() {
			for _, one := range s.machines {
				one.refusing = false
			}
		})
	case 9:
		for _, one := range s.machines {
			one.pausedUntil = s.now + 300
		}
	case 10: // messages between gateways are lost
		s.lostUntil = s.now + 1500 + float64(d.IntN(9000))
	}
	pause := 600 + float64(d.IntN(1800))
	if s.steady {
		pause *= 5
	}
	s.later(pause, s.trouble)
}
