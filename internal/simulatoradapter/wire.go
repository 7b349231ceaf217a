// Package simulatoradapter puts the decision module on the simulator's wire: it frames, turns ids into objects and
// units into nanoseconds, and keeps timers and the commands in hand. It decides nothing.
package simulatoradapter

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"laurelring/decision/monotonic"
)

// cursor reads a frame's fields in order and keeps the first fault it met.
type cursor struct {
	data []byte
	at   int
	what string // the record being read
	from int    // where that record began
	err  error
}

func (c *cursor) begin(what string) { c.what, c.from = what, c.at }

func (c *cursor) fault(why string) {
	if c.err == nil {
		c.err = fmt.Errorf("%s in record %s at byte %d of the frame", why, c.what, c.at)
	}
}

func (c *cursor) take(n uint64) []byte {
	if c.err != nil {
		return nil
	}
	if n > uint64(len(c.data)-c.at) {
		c.fault(fmt.Sprintf("%d bytes wanted, %d left", n, len(c.data)-c.at))
		return nil
	}
	b := c.data[c.at : c.at+int(n)]
	c.at += int(n)
	return b
}

func (c *cursor) u8() uint8 {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if b := c.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if b := c.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if b := c.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }

// ns reads a time in milliseconds; what is no time at all reads as none.
func (c *cursor) ns() time.Duration {
	ms := math.Float64frombits(c.u64())
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(math.Round(max(-4e12, min(4e12, ms)) * 1e6))
}

// gauge reads a load report's values; nil where none was attached.
func (c *cursor) gauge() []float64 {
	n := int(c.u8())
	b := c.take(uint64(n) * 4)
	if len(b) == 0 {
		return nil
	}
	values := make([]float64, n)
	for i := range values {
		values[i] = float64(math.Float32frombits(binary.LittleEndian.Uint32(b[4*i:])))
	}
	return values
}

// reply gathers one instance's actions.
type reply struct {
	data  []byte
	count uint32
}

func (r *reply) record(code uint8)   { r.data, r.count = append(r.data, code), r.count+1 }
func (r *reply) u8(v uint8)          { r.data = append(r.data, v) }
func (r *reply) u16(v uint16)        { r.data = binary.LittleEndian.AppendUint16(r.data, v) }
func (r *reply) u32(v uint32)        { r.data = binary.LittleEndian.AppendUint32(r.data, v) }
func (r *reply) u64(v uint64)        { r.data = binary.LittleEndian.AppendUint64(r.data, v) }
func (r *reply) ms(ns time.Duration) { r.u64(math.Float64bits(float64(ns) / 1e6)) }

// frame reads one batch into buf: its clock, or io.EOF at a clean end of input.
func frame(in io.Reader, buf *bytes.Buffer) (now monotonic.Time, err error) {
	var head [12]byte
	n, err := io.ReadFull(in, head[:])
	if errors.Is(err, io.EOF) {
		return 0, io.EOF
	}
	if err != nil {
		return 0, fmt.Errorf("truncated batch header at byte %d", n)
	}
	buf.Reset()
	length := int64(binary.LittleEndian.Uint32(head[:]))
	if got, err := io.CopyN(buf, in, length); err != nil {
		return 0, fmt.Errorf("truncated frame: %d bytes told, it ends at byte %d", length, got)
	}
	clock := cursor{data: head[4:], what: "batch header"}
	return clock.ns(), nil
}
