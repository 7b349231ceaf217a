// Package simulatoradapter connects balancers to the simulator's protocol: it reads batches of events, turns ids into
// objects and milliseconds into durations, keeps timers and open requests, and writes the balancers' decisions as
// actions. It makes no decisions of its own.
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
	batchHeaderSize  = 4 + 8   // bytes: length of the frame, clock
	replyHeaderSize  = 4 + 4   // bytes: number of records, length of the frame
	streamBufferSize = 1 << 20 // bytes
)

// server holds the gateways of one process. They share nothing but the endpoint lists.
type server struct {
	gateways map[uint16]*gateway
	lists    map[uint32][]listEntry
	batch    int      // number of the current batch
	active   []uint16 // numbers of the gateways with an event in the current batch, ordered by their first event
}

// Serve answers batches until the input ends. The error is a *RecordError if a record is malformed or holds an invalid
// value.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, streamBufferSize), bufio.NewWriterSize(w, streamBufferSize)
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

// readBatch reads the records of the next batch into frame and returns the batch's clock, or io.EOF if the input ends
// between batches.
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

// selection is the gateway that the following events of a batch apply to. The gateway is nil if it is not running.
type selection struct {
	number  uint16
	gateway *gateway
}

// handleBatch passes the events of a batch to their gateways, up to the first invalid record.
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

// markActive adds a running gateway to those that take part in the reply to the batch.
func (s *server) markActive(selected selection) {
	if g := selected.gateway; g != nil && g.lastBatch != s.batch {
		g.lastBatch = s.batch
		s.active = append(s.active, selected.number)
	}
}

// startGateway reads a seed and settings and replaces the selected gateway by a new one that uses them.
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
		started.lastBatch = previous.lastBatch // its number is in s.active already
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

// reply does the due work of each gateway that had an event in the batch and writes the actions of these gateways.
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
