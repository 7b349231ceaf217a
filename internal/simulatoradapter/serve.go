package simulatoradapter

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// held is a command in hand with the id the wire knows it by.
type held struct {
	id  uint32
	cmd *decision.Request
}

// host is one gateway with what its side of the wire needs.
type host struct {
	gateway   *decision.Balancer
	instances map[uint32]*decision.Endpoint
	ids       map[*decision.Endpoint]uint32
	commands  map[uint32]*held
	inHand    map[*decision.Request]*held
	ops       []*decision.OpType
	tenants   []*decision.Tenant
	busyAt    int            // the position of the load figure in a report, -1 for none
	armed     monotonic.Time // when the nearest timer falls, 0 for none
	handle    uint64         // the nearest timer's
	out       reply
	turn      int // the batch it last had an event in
}

type entry struct {
	id          uint32
	zone, state uint8
	model, cell uint16
	build, size float64
	startedAt   monotonic.Time
}

// server is one process: many gateways that share nothing, and the lists defined for them.
type server struct {
	hosts map[uint16]*host
	lists map[uint32][]entry
	turn  int
	order []uint16
}

// open starts a gateway from its settings.
func open(seed uint64, text []byte) (*host, error) {
	settings, err := protocol.ParseSettings(text)
	if err != nil {
		return nil, err
	}
	h := &host{instances: map[uint32]*decision.Endpoint{}, ids: map[*decision.Endpoint]uint32{},
		commands: map[uint32]*held{}, inHand: map[*decision.Request]*held{}}
	h.busyAt = settings.UtilizationIndex
	if h.gateway, err = decision.New(settings.BalancerConfig(seed)); err != nil {
		return nil, err
	}
	h.ops, h.tenants = h.gateway.OpTypes(), h.gateway.Tenants()
	return h, nil
}

func (h *host) id(of *decision.Endpoint) uint32    { return h.ids[of] }
func (h *host) named(id uint32) *decision.Endpoint { return h.instances[id] }

// Serve answers batches until the input ends; an error is a fault in what came in.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<20), bufio.NewWriterSize(w, 1<<20)
	s := &server{hosts: map[uint16]*host{}, lists: map[uint32][]entry{}}
	var buf bytes.Buffer
	for {
		now, err := frame(in, &buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		c := &cursor{data: buf.Bytes()}
		if err := s.batch(c, now); err != nil {
			return err
		}
		if err := s.answer(out, now); err != nil {
			return err
		}
	}
}

// answer ends the batch for each gateway that had an event and writes the reply.
func (s *server) answer(out *bufio.Writer, now monotonic.Time) error {
	var all reply
	for _, i := range s.order {
		h := s.hosts[i]
		if h == nil {
			continue
		}
		h.chores(now)
		if h.out.count > 0 {
			all.record(68)
			all.u16(i)
			all.data = append(all.data, h.out.data...)
			all.count += h.out.count
		}
		h.out = reply{data: h.out.data[:0]}
	}
	var head [8]byte
	binary.LittleEndian.PutUint32(head[:], all.count)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(all.data)))
	if _, err := out.Write(head[:]); err != nil {
		return err
	}
	if _, err := out.Write(all.data); err != nil {
		return err
	}
	return out.Flush()
}

// chores carries out what is due and sets the timer for the next time.
func (h *host) chores(now monotonic.Time) {
	until, due := h.gateway.Tick(now)
	for _, cmd := range due.Requests {
		h.obey(h.inHand[cmd], h.gateway.Route(cmd, now))
	}
	if due.PollDiscovery {
		h.out.record(74)
		h.out.u8(1)
	}
	for _, dl := range due.CancelAttempts {
		if it := h.inHand[dl.Request]; it != nil {
			h.out.record(71)
			h.out.u32(it.id)
			h.out.u8(uint8(dl.Number()))
		}
	}
	if due.EvidenceReport != nil {
		text := protocol.EncodeEvidenceReport(due.EvidenceReport, h.id)
		for _, to := range due.EvidenceRecipients {
			h.post(uint16(to), text)
		}
	}
	if due.VoterReport != nil {
		h.post(0xffff, protocol.EncodeVoterReport(due.VoterReport, h.id)) // all others
	}
	for _, v := range due.Votes {
		h.out.record(67)
		h.out.u16(uint16(v.Build))
		h.out.u8(uint8(v.Stage))
		h.out.u8(uint8(v.Verdict))
	}
	if until > 0 && (h.armed == 0 || now+until < h.armed) {
		h.armed = now + until
		h.handle++
		h.out.record(75)
		h.out.ms(until)
		h.out.u64(h.handle)
	}
}

// post sends a message to one gateway, or to all.
func (h *host) post(to uint16, text []byte) {
	h.out.record(77)
	h.out.u16(to)
	h.out.u16(uint16(len(text)))
	h.out.data = append(h.out.data, text...)
}

// obey writes what was decided on a command.
func (h *host) obey(it *held, d decision.Decision) {
	if it == nil {
		return
	}
	switch d.Action {
	case decision.ActionForward:
		h.out.record(73)
		h.out.u32(it.id)
		h.out.u32(h.ids[d.Endpoint])
		h.out.ms(d.Timeout)
	case decision.ActionReject:
		h.out.record(76)
		h.out.u32(it.id)
		h.out.ms(d.RetryAfter)
	case decision.ActionFail:
		h.out.record(66)
		h.out.u32(it.id)
	}
	h.tidy(it)
}

// tidy lets go of a command that is over with nothing of it still out.
func (h *host) tidy(it *held) {
	if it.cmd.Completed() && !it.cmd.AttemptInFlight() {
		delete(h.commands, it.id)
		delete(h.inHand, it.cmd)
	}
}
