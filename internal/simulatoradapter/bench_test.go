package simulatoradapter

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"
)

// BenchmarkDecisionPath measures one request that arrives, is forwarded and is answered.
func BenchmarkDecisionPath(b *testing.B) {
	in, out := bytes.NewBuffer(batch(selectGateway, startRecord(settings), oneEndpoint)), io.Discard
	for i := range b.N {
		id := uint32(i + 1)
		in.Write(batch(selectGateway, requestRecord(id)))
		in.Write(batch(selectGateway, attemptFinishedRecord(id, 0, 1, float32(0.3))))
	}
	b.ReportAllocs()
	b.ResetTimer()
	if err := Serve(in, out); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkFleetDecision measures the same with thirty endpoints, five of which run a canary build.
func BenchmarkFleetDecision(b *testing.B) {
	list := record(14, uint32(0), uint32(30))
	for i := range uint32(30) {
		list = append(list, record(0, i+9, uint8(i%2), uint16(0), uint16(0), float32(1+i/25), uint8(1), float32(2), 0.0)[1:]...)
	}
	fleet := append(list, record(2, uint8(3), uint32(1), uint32(0))...)
	fleet = append(fleet, record(11, uint16(2), uint8(0), uint8(0), uint8(0), uint8(0), float32(0.1), 0.0)...)
	in := bytes.NewBuffer(batch(selectGateway, startRecord(settings), fleet))
	var out bytes.Buffer
	for i := range b.N {
		in.Write(batch(selectGateway, requestRecord(uint32(i+1))))
		in.Write(batch(selectGateway, attemptFinishedRecord(uint32(i+1), 0, 1, float32(0.3))))
	}
	b.ReportAllocs()
	b.ResetTimer()
	if err := Serve(in, &out); err != nil {
		b.Fatal(err)
	}
	if out.Len() < 8 || binary.LittleEndian.Uint32(out.Bytes()) == 0 {
		b.Fatal("first reply contains no actions")
	}
}
