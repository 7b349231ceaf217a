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
	evidenceCountedAtOffset        = 1
	evidenceBuildOffset            = 9
	evidenceCounterCountOffset     = 11
	evidenceObservationCountOffset = 12
	evidenceHeaderSize             = 13

	observationSize              = 7
	observationUtilizationOffset = 4
	observationSuccessesOffset   = 5
	observationLossesOffset      = 6

	noUtilization         = 255 // in place of a percentage
	maxEncodedUtilization = 2   // larger ones are cut
)

// Layout of a voter report, little-endian: the tag, when it was found (8 bytes), the build (2), the stage (1), the
// verdict (1), the cost of the baseline (4, floating point), the numbers of the outliers (4 each).
const (
	voterFoundAtOffset      = 1
	voterBuildOffset        = 9
	voterStageOffset        = 11
	voterVerdictOffset      = 12
	voterBaselineCostOffset = 13
	voterHeaderSize         = 17

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
		b[evidenceObservationCountOffset]++
	}
	return b
}

// DecodeEvidenceReport reads a datagram of a sender; nil if it holds no evidence report. Observations of endpoints that
// are unknown here are left out.
func DecodeEvidenceReport(data []byte, sender int, endpointByNumber func(number uint32) *decision.Endpoint) *decision.EvidenceReport {
	if len(data) < evidenceHeaderSize || data[0] != evidenceReportTag {
		return nil
	}
	counters, rest, ok := decodeCounters(data[evidenceHeaderSize:], int(data[evidenceCounterCountOffset]))
	if !ok || len(rest) != observationSize*int(data[evidenceObservationCountOffset]) {
		return nil
	}
	report := &decision.EvidenceReport{
		Sender:    sender,
		CountedAt: time.Duration(binary.LittleEndian.Uint64(data[evidenceCountedAtOffset:])),
		Build:     int(binary.LittleEndian.Uint16(data[evidenceBuildOffset:])),
		Counters:  counters,
	}
	for ; len(rest) > 0; rest = rest[observationSize:] {
		if endpoint := endpointByNumber(binary.LittleEndian.Uint32(rest)); endpoint != nil {
			report.Observations = append(report.Observations, decision.Observation{
				Endpoint:    endpoint,
				Utilization: decodeUtilization(rest[observationUtilizationOffset]),
				Successes:   int(rest[observationSuccessesOffset]),
				Losses:      int(rest[observationLossesOffset]),
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
func DecodeVoterReport(data []byte, sender int, endpointByNumber func(number uint32) *decision.Endpoint) *decision.VoterReport {
	if len(data) < voterHeaderSize || (len(data)-voterHeaderSize)%endpointNumberSize != 0 || data[0] != voterReportTag {
		return nil
	}
	verdict := decision.Verdict(data[voterVerdictOffset])
	cost := float64(math.Float32frombits(binary.LittleEndian.Uint32(data[voterBaselineCostOffset:])))
	// A cost that is no finite number would make every later figure that is smoothed from it none either.
	if verdict > decision.VerdictRollBack || math.IsNaN(cost) || math.IsInf(cost, 0) || cost < 0 {
		return nil
	}
	report := &decision.VoterReport{
		Sender:       sender,
		FoundAt:      time.Duration(binary.LittleEndian.Uint64(data[voterFoundAtOffset:])),
		Build:        int(binary.LittleEndian.Uint16(data[voterBuildOffset:])),
		Stage:        int(data[voterStageOffset]),
		Verdict:      verdict,
		BaselineCost: cost,
	}
	for rest := data[voterHeaderSize:]; len(rest) > 0; rest = rest[endpointNumberSize:] {
		if endpoint := endpointByNumber(binary.LittleEndian.Uint32(rest)); endpoint != nil {
			report.Outliers = append(report.Outliers, endpoint)
		}
	}
	return report
}
