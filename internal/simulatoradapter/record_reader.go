package simulatoradapter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// RecordError reports a record of the simulator that is malformed or holds an invalid value.
type RecordError struct {
	Code   uint8 // code of the record
	Offset int   // offset of the error in the frame, in bytes
	Err    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("%v (record code %d, byte %d of the frame)", e.Err, e.Code, e.Offset)
}

// Unwrap returns the underlying error.
func (e *RecordError) Unwrap() error { return e.Err }

// recordReader reads the records of a frame field by field. Every read returns a value: err keeps the first error, and
// all reads after it return zero values.
type recordReader struct {
	data   []byte
	offset int
	code   uint8 // code of the current record
	err    error
}

// next starts the next record and returns its code. It must be called only if more returns true.
func (r *recordReader) next() uint8 {
	r.code = r.data[r.offset]
	r.offset++
	return r.code
}

// more reports whether another record can be read.
func (r *recordReader) more() bool { return r.err == nil && r.offset < len(r.data) }

func (r *recordReader) fail(err error) {
	if r.err == nil {
		r.err = &RecordError{Code: r.code, Offset: r.offset, Err: err}
	}
}

// bytes returns the next n bytes. They share the memory of the frame and stay valid until the next batch is read.
func (r *recordReader) bytes(n uint64) []byte {
	if r.err != nil {
		return nil
	}
	if left := len(r.data) - r.offset; n > uint64(left) {
		r.fail(fmt.Errorf("field needs %d bytes, %d left", n, left))
		return nil
	}
	b := r.data[r.offset : r.offset+int(n)]
	r.offset += int(n)
	return b
}

func (r *recordReader) skip(n uint64) { r.bytes(n) }

func (r *recordReader) uint8() uint8 {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *recordReader) uint16() uint16 {
	if b := r.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *recordReader) uint32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *recordReader) uint64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *recordReader) float32() float64 { return float64(math.Float32frombits(r.uint32())) }

// duration reads a 64-bit floating-point number of milliseconds.
func (r *recordReader) duration() time.Duration {
	return durationFromMs(math.Float64frombits(r.uint64()))
}

// maxMs limits durations that are read, in milliseconds (about 127 years). Larger ones would overflow time.Duration.
const maxMs = 4e12

func durationFromMs(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(math.Round(max(-maxMs, min(maxMs, ms)) * 1e6))
}

// loadReport reads the values of a load report. It returns nil if no report is attached.
func (r *recordReader) loadReport() []float64 {
	n := int(r.uint8())
	b := r.bytes(uint64(n) * 4)
	if len(b) == 0 {
		return nil
	}
	values := make([]float64, n)
	for i := range values {
		values[i] = float64(math.Float32frombits(binary.LittleEndian.Uint32(b[4*i:])))
	}
	return values
}
