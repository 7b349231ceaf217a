// Package simulatoradapter runs balancers on the simulator's protocol: it reads batches of events, turns ids into objects
// and milliseconds into durations, keeps timers and open requests, and writes the balancers' decisions as actions. It
// decides nothing.
package simulatoradapter

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"laurelring/decision/monotonic"
)

const (
	batchHeaderSize = 4 + 8 // bytes: the length of the frame, the clock
	replyHeaderSize = 4 + 4 // bytes: the number of records, the length of the frame
	streamBuffer    = 1 << 20
)

// server is one process: gateways that share nothing but the lists defined for all of them.
type server struct {
	gateways map[uint16]*gateway
	lists    map[uint32][]listEntry
	batch    int      // counts batches
	active   []uint16 // gateways that have had an event in the present batch, in the order of their first
}

// Serve answers batches until the input ends. The error is a *RecordError where a record cannot be understood.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, streamBuffer), bufio.NewWriterSize(w, streamBuffer)
	s := &server{gateways: map[uint16]*gateway{}, lists: map[uint32][]listEntry{}}
	var frame bytes.Buffer
	for {
		now, err := readBatch(in, &frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.handleBatch(&recordReader{data: frame.Bytes()}, now); err != nil {
			return err
		}
		if err := s.reply(out, now); err != nil {
			return err
		}
	}
}

// readBatch reads the records of a batch into frame and returns its clock, or io.EOF where the input ends between batches.
func readBatch(in io.Reader, frame *bytes.Buffer) (now monotonic.Time, err error) {
	var header [batchHeaderSize]byte
	n, err := io.ReadFull(in, header[:])
	if errors.Is(err, io.EOF) {
		return 0, io.EOF
	}
	if err != nil {
		return 0, fmt.Errorf("truncated batch header at byte %d", n)
	}
	frame.Reset()
	length := int64(binary.LittleEndian.Uint32(header[:]))
	if got, err := io.CopyN(frame, in, length); err != nil {
		return 0, fmt.Errorf("truncated frame: %d bytes announced, ends at byte %d", length, got)
	}
	clock := recordReader{data: header[4:]}
	return clock.duration(), nil
}

// selection is the gateway that the next events of a batch are about. The gateway is nil while it is not running.
type selection struct {
	number  uint16
	gateway *gateway
}

// handleBatch passes every event on to its gateway.
func (s *server) handleBatch(r *recordReader, now monotonic.Time) error {
	s.batch++
	s.active = s.active[:0]
	var selected selection
	for r.more() {
		switch r.next() {
		case eventGatewaySelected:
			number := r.uint16()
			selected = selection{number: number, gateway: s.gateways[number]}
			s.markActive(selected)
		case eventListDefinition:
			number, entries := readListDefinition(r)
			if r.err == nil {
				s.lists[number] = entries
			}
		case eventStarted:
			s.startGateway(r, &selected)
		case eventKilled:
			s.removeGateway(&selected)
		default:
			handleEvent(r, s.lists, selected.gateway, now)
		}
	}
	return r.err
}

// markActive has a running gateway take part in the reply to the batch.
func (s *server) markActive(selected selection) {
	if g := selected.gateway; g != nil && g.lastBatch != s.batch {
		g.lastBatch = s.batch
		s.active = append(s.active, selected.number)
	}
}

// startGateway replaces the selected gateway by a new one.
func (s *server) startGateway(r *recordReader, selected *selection) {
	seed := r.uint64()
	settings := r.bytes(uint64(r.uint32()))
	if r.err != nil {
		return
	}
	started, err := newGateway(seed, settings)
	if err != nil {
		r.fail(err)
		return
	}
	if previous := selected.gateway; previous != nil {
		started.lastBatch = previous.lastBatch // it stands among the active ones already
	}
	selected.gateway = started
	s.gateways[selected.number] = started
	s.markActive(*selected)
}

// removeGateway discards the selected gateway with all its state.
func (s *server) removeGateway(selected *selection) {
	delete(s.gateways, selected.number)
	selected.gateway = nil
	if i := slices.Index(s.active, selected.number); i >= 0 {
		s.active = slices.Delete(s.active, i, i+1)
	}
}

// reply ends the batch for each gateway that had an event and writes their actions.
func (s *server) reply(out *bufio.Writer, now monotonic.Time) error {
	var actions actionWriter
	for _, number := range s.active {
		g := s.gateways[number]
		g.runDueWork(now)
		if g.actions.count > 0 {
			actions.append(number, &g.actions)
		}
		g.actions.reset()
	}
	var header [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(header[:], actions.count)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(actions.data)))
	if _, err := out.Write(header[:]); err != nil {
		return err
	}
	if _, err := out.Write(actions.data); err != nil {
		return err
	}
	return out.Flush()
}
