package protocol

import (
	"encoding/binary"
	"math"
	"time"

	"laurelring/decision"
)

// MaxDatagramSize is the maximum size of a datagram between gateways, in bytes.
const MaxDatagramSize = 256

// Tags of the types of datagrams. The tag is the first byte of a datagram. A datagram with another tag is ignored.
const (
	evidenceReportTag = 1
	voterReportTag    = 2
	gossipQueryTag    = 3
	gossipViewTag     = 4
)

// Layout of an evidence report, little-endian: the tag (1 byte), the time at which the evidence was counted (8), the
// build (2), the number of counters (1), the number of observations (1), the counters (varints), the observations. An
// observation is the endpoint's number (4), its utilization in percent (1), successes (1) and losses (1).
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

	noUtilization         = 255 // encodes that the endpoint reported no utilization
	maxEncodedUtilization = 2   // a higher utilization is encoded as this one
)

// Layout of a voter report, little-endian: the tag (1 byte), the time of the voter's conclusion (8), the build (2), the
// stage (1), the verdict (1), the baseline cost of a request (4, floating point), the numbers of the outliers (4 each).
const (
	voterFoundAtOffset      = 1
	voterBuildOffset        = 9
	voterStageOffset        = 11
	voterVerdictOffset      = 12
	voterBaselineCostOffset = 13
	voterHeaderSize         = 17

	endpointNumberSize = 4
)

// EncodeEvidenceReport encodes a gateway's evidence as a datagram. The last observations are left out if they do not
// fit, so the balancer lists those with losses first. Counts of successes and losses above 255 are encoded as 255.
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

// DecodeEvidenceReport decodes a datagram from a sender. It returns nil if the datagram is not a valid evidence report.
// Observations of endpoints that this gateway does not know are left out.
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

// decodeCounters decodes the given number of counters and returns the rest of the data. ok is false if the data is too
// short or a counter exceeds 32 bits.
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

// encodeUtilization rounds a utilization to whole percent. A utilization below 0 means that none was reported.
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

// EncodeVoterReport encodes a voter's report as a datagram.
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

// DecodeVoterReport decodes a datagram from a sender. It returns nil if the datagram is not a valid voter report or its
// cost is negative or not finite. Outliers that this gateway does not know are left out.
func DecodeVoterReport(data []byte, sender int, endpointByNumber func(number uint32) *decision.Endpoint) *decision.VoterReport {
	if len(data) < voterHeaderSize || (len(data)-voterHeaderSize)%endpointNumberSize != 0 || data[0] != voterReportTag {
		return nil
	}
	verdict := decision.Verdict(data[voterVerdictOffset])
	cost := float64(math.Float32frombits(binary.LittleEndian.Uint32(data[voterBaselineCostOffset:])))
	// If a cost that is not finite were accepted, every later cost smoothed from it would not be finite either.
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
