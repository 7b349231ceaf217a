package protocol

import (
	"encoding/binary"
	"math"
	"time"

	"laurelring/decision"
)

// The first byte of a message between gateways tells what it is; others are passed over.
const (
	evidenceReportTag = 1
	voterReportTag    = 2
	noUtilization     = 255
	observationSize   = 7
)

// DatagramMost is the longest message that gateways may send one another.
const MaxDatagramSize = 256

// PackTotals lays a gateway's running totals and sights out as a message to its peers. Sights beyond the
// longest message are left out: those with losses come first.
func EncodeEvidenceReport(t *decision.EvidenceReport, id func(*decision.Endpoint) uint32) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{evidenceReportTag}, uint64(t.CountedAt))
	b = binary.LittleEndian.AppendUint16(b, uint16(t.Build))
	b = append(b, uint8(len(t.Counters)), 0)
	told := len(b) - 1
	for _, n := range t.Counters {
		b = binary.AppendUvarint(b, uint64(n))
	}
	for _, one := range t.Observations {
		if len(b)+observationSize > MaxDatagramSize {
			break
		}
		load := uint8(noUtilization)
		if one.Utilization >= 0 {
			load = uint8(math.Round(min(one.Utilization, 2) * 100))
		}
		b = binary.LittleEndian.AppendUint32(b, id(one.Endpoint))
		b = append(b, load, uint8(min(one.Successes, 255)), uint8(min(one.Losses, 255)))
		b[told]++
	}
	return b
}

// UnpackTotals reads such a message; nil for anything else. Sights of machines not listed here are left out.
func DecodeEvidenceReport(text []byte, from int, named func(uint32) *decision.Endpoint) *decision.EvidenceReport {
	if len(text) < 13 || text[0] != evidenceReportTag {
		return nil
	}
	t := &decision.EvidenceReport{Sender: from, CountedAt: time.Duration(binary.LittleEndian.Uint64(text[1:])),
		Build: int(binary.LittleEndian.Uint16(text[9:])), Counters: make([]uint32, text[11])}
	rest, sights := text[13:], int(text[12])
	for i := range t.Counters {
		n, used := binary.Uvarint(rest)
		if used <= 0 || n > 1<<32-1 {
			return nil
		}
		t.Counters[i], rest = uint32(n), rest[used:]
	}
	if len(rest) != observationSize*sights {
		return nil
	}
	for ; len(rest) > 0; rest = rest[observationSize:] {
		one := decision.Observation{Endpoint: named(binary.LittleEndian.Uint32(rest)), Utilization: float64(rest[4]) / 100,
			Successes: int(rest[5]), Losses: int(rest[6])}
		if rest[4] == noUtilization {
			one.Utilization = -1
		}
		if one.Endpoint != nil {
			t.Observations = append(t.Observations, one)
		}
	}
	return t
}

// PackFinding lays out what a voter tells the others.
func EncodeVoterReport(f *decision.VoterReport, id func(*decision.Endpoint) uint32) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{voterReportTag}, uint64(f.FoundAt))
	b = binary.LittleEndian.AppendUint16(b, uint16(f.Build))
	b = append(b, uint8(f.Stage), uint8(f.Verdict))
	b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(f.BaselineCost)))
	for _, it := range f.Outliers {
		b = binary.LittleEndian.AppendUint32(b, id(it))
	}
	return b
}

// UnpackFinding reads such a message; nil for anything else.
func DecodeVoterReport(text []byte, from int, named func(uint32) *decision.Endpoint) *decision.VoterReport {
	if len(text) < 17 || len(text)%4 != 1 || text[0] != voterReportTag ||
		decision.Verdict(text[12]) > decision.VerdictRollBack {
		return nil
	}
	f := &decision.VoterReport{Sender: from, FoundAt: time.Duration(binary.LittleEndian.Uint64(text[1:])),
		Build: int(binary.LittleEndian.Uint16(text[9:])), Stage: int(text[11]), Verdict: decision.Verdict(text[12]),
		BaselineCost: float64(math.Float32frombits(binary.LittleEndian.Uint32(text[13:])))}
	for rest := text[17:]; len(rest) > 0; rest = rest[4:] {
		if it := named(binary.LittleEndian.Uint32(rest)); it != nil {
			f.Outliers = append(f.Outliers, it)
		}
	}
	return f
}
