package protocol

import (
	"encoding/binary"
	"math"
	"time"

	"laurelring/decision"
)

// MaxDatagramSize is the size of the longest datagram between gateways, in bytes.
const MaxDatagramSize = 256

// The first byte of a datagram is the tag of its type; others are ignored.
const (
	evidenceReportTag = 1
	voterReportTag    = 2
	gossipQueryTag    = 3
	gossipViewTag     = 4
)

// Layout of an evidence report, little-endian: the tag, when it was counted (8 bytes), the build (2), the number of
// counters (1), the number of observations (1), the counters (varints), the observations. An observation is the
// endpoint's number (4), its utilization in percent (1), successes (1) and losses (1).
const (
	evidenceCountedAt        = 1
	evidenceBuild            = 9
	evidenceCounterCount     = 11
	evidenceObservationCount = 12
	evidenceHeaderSize       = 13

	observationSize        = 7
	observationUtilization = 4
	observationSuccesses   = 5
	observationLosses      = 6

	noUtilization         = 255 // in place of a percentage
	maxEncodedUtilization = 2   // larger ones are cut
)

// Layout of a voter report, little-endian: the tag, when it was found (8 bytes), the build (2), the stage (1), the
// verdict (1), the cost of the baseline (4, floating point), the numbers of the outliers (4 each).
const (
	voterFoundAt      = 1
	voterBuild        = 9
	voterStage        = 11
	voterVerdict      = 12
	voterBaselineCost = 13
	voterHeaderSize   = 17

	endpointNumberSize = 4
)

// EncodeEvidenceReport returns a gateway's evidence as a datagram. Observations that do not fit are left out: those with
// losses come first.
func EncodeEvidenceReport(report *decision.EvidenceReport, numberOf func(*decision.Endpoint) uint32) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{evidenceReportTag}, uint64(report.CountedAt))
	b = binary.LittleEndian.AppendUint16(b, uint16(report.Build))
	b = append(b, uint8(len(report.Counters)), 0)
	for _, n := range report.Counters {
		b = binary.AppendUvarint(b, uint64(n))
	}
	for _, observation := range report.Observations {
		if len(b)+observationSize > MaxDatagramSize {
			break
		}
		b = binary.LittleEndian.AppendUint32(b, numberOf(observation.Endpoint))
		b = append(b, encodeUtilization(observation.Utilization),
			uint8(min(observation.Successes, 255)), uint8(min(observation.Losses, 255)))
		b[evidenceObservationCount]++
	}
	return b
}

// DecodeEvidenceReport reads a datagram of a sender; nil if it holds no evidence report. Observations of endpoints that
// are unknown here are left out.
func DecodeEvidenceReport(data []byte, sender int, endpoint func(number uint32) *decision.Endpoint) *decision.EvidenceReport {
	if len(data) < evidenceHeaderSize || data[0] != evidenceReportTag {
		return nil
	}
	counters, rest, ok := decodeCounters(data[evidenceHeaderSize:], int(data[evidenceCounterCount]))
	if !ok || len(rest) != observationSize*int(data[evidenceObservationCount]) {
		return nil
	}
	report := &decision.EvidenceReport{
		Sender:    sender,
		CountedAt: time.Duration(binary.LittleEndian.Uint64(data[evidenceCountedAt:])),
		Build:     int(binary.LittleEndian.Uint16(data[evidenceBuild:])),
		Counters:  counters,
	}
	for ; len(rest) > 0; rest = rest[observationSize:] {
		if it := endpoint(binary.LittleEndian.Uint32(rest)); it != nil {
			report.Observations = append(report.Observations, decision.Observation{
				Endpoint:    it,
				Utilization: decodeUtilization(rest[observationUtilization]),
				Successes:   int(rest[observationSuccesses]),
				Losses:      int(rest[observationLosses]),
			})
		}
	}
	return report
}

func decodeCounters(data []byte, count int) (counters []uint32, rest []byte, ok bool) {
	counters = make([]uint32, count)
	for i := range counters {
		n, size := binary.Uvarint(data)
		if size <= 0 || n > math.MaxUint32 {
			return nil, nil, false
		}
		counters[i], data = uint32(n), data[size:]
	}
	return counters, data, true
}

// encodeUtilization keeps whole percent. A utilization below 0 stands for none.
func encodeUtilization(utilization float64) uint8 {
	if utilization >= 0 {
		return uint8(math.Round(min(utilization, maxEncodedUtilization) * 100))
	}
	return noUtilization
}

func decodeUtilization(code uint8) float64 {
	if code == noUtilization {
		return -1
	}
	return float64(code) / 100
}

// EncodeVoterReport returns a voter's report as a datagram.
func EncodeVoterReport(report *decision.VoterReport, numberOf func(*decision.Endpoint) uint32) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{voterReportTag}, uint64(report.FoundAt))
	b = binary.LittleEndian.AppendUint16(b, uint16(report.Build))
	b = append(b, uint8(report.Stage), uint8(report.Verdict))
	b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(report.BaselineCost)))
	for _, outlier := range report.Outliers {
		b = binary.LittleEndian.AppendUint32(b, numberOf(outlier))
	}
	return b
}

// DecodeVoterReport reads a datagram of a sender; nil if it holds no voter report, or one with a cost that cannot be.
// Outliers that are unknown here are left out.
func DecodeVoterReport(data []byte, sender int, endpoint func(number uint32) *decision.Endpoint) *decision.VoterReport {
	if len(data) < voterHeaderSize || (len(data)-voterHeaderSize)%endpointNumberSize != 0 || data[0] != voterReportTag {
		return nil
	}
	verdict := decision.Verdict(data[voterVerdict])
	cost := float64(math.Float32frombits(binary.LittleEndian.Uint32(data[voterBaselineCost:])))
	// A cost that is no finite number would make every later figure that is smoothed from it none either.
	if verdict > decision.VerdictRollBack || math.IsNaN(cost) || math.IsInf(cost, 0) || cost < 0 {
		return nil
	}
	report := &decision.VoterReport{
		Sender:       sender,
		FoundAt:      time.Duration(binary.LittleEndian.Uint64(data[voterFoundAt:])),
		Build:        int(binary.LittleEndian.Uint16(data[voterBuild:])),
		Stage:        int(data[voterStage]),
		Verdict:      verdict,
		BaselineCost: cost,
	}
	for rest := data[voterHeaderSize:]; len(rest) > 0; rest = rest[endpointNumberSize:] {
		if it := endpoint(binary.LittleEndian.Uint32(rest)); it != nil {
			report.Outliers = append(report.Outliers, it)
		}
	}
	return report
}
