package simulatoradapter

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"
)

// BenchmarkDecisionPath plays one request on the simulator's wire: it comes, is placed and is answered.
func BenchmarkDecisionPath(b *testing.B) {
	in, out := bytes.NewBuffer(batch(turn, provision(settings), oneThere)), io.Discard
	for i := range b.N {
		id := uint32(i + 1)
		in.Write(batch(turn, inbound(id)))
		in.Write(batch(turn, rec(5, id, uint8(0), uint32(9), uint8(0), 5.0, uint8(1), uint8(1), float32(0.3))))
	}
	b.ReportAllocs()
	b.ResetTimer()
	if err := Serve(in, out); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkFleetDecision is the same with thirty endpoints of two builds, one of them a canary.
func BenchmarkFleetDecision(b *testing.B) {
	list := rec(14, uint32(0), uint32(30))
	for i := range uint32(30) {
		list = append(list, rec(0, i+9, uint8(i%2), uint16(0), uint16(0), float32(1+i/25), uint8(1), float32(2), 0.0)[1:]...)
	}
	many := append(list, rec(2, uint8(3), uint32(1), uint32(0))...)
	many = append(many, rec(11, uint16(2), uint8(0), uint8(0), uint8(0), uint8(0), float32(0.1), 0.0)...)
	in := bytes.NewBuffer(batch(turn, provision(settings), many))
	var placed bytes.Buffer
	for i := range b.N {
		in.Write(batch(turn, inbound(uint32(i+1))))
		in.Write(batch(turn, rec(5, uint32(i+1), uint8(0), uint32(9), uint8(0), 5.0, uint8(1), uint8(1), float32(0.3))))
	}
	b.ReportAllocs()
	b.ResetTimer()
	if err := Serve(in, &placed); err != nil {
		b.Fatal(err)
	}
	if placed.Len() < 8 || binary.LittleEndian.Uint32(placed.Bytes()) == 0 {
		b.Fatal("nothing was placed")
	}
}
