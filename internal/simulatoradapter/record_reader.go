package simulatoradapter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// RecordError is a record of the simulator that cannot be understood.
type RecordError struct {
	Code   uint8 // of the record
	Offset int   // of the fault in the frame, in bytes
	Err    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("%v in record %d at byte %d of the frame", e.Err, e.Code, e.Offset)
}

// Unwrap returns the fault.
func (e *RecordError) Unwrap() error { return e.Err }

// recordReader reads the records of a frame field by field. Every read gives a value; the first fault stays in err, and
// reads after it give zero.
type recordReader struct {
	data   []byte
	offset int
	code   uint8 // of the present record
	err    error
}

// next begins the next record and returns its code.
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

// bytes returns the next n bytes, which stay valid for the batch.
func (r *recordReader) bytes(n uint64) []byte {
	if r.err != nil {
		return nil
	}
	if left := len(r.data) - r.offset; n > uint64(left) {
		r.fail(fmt.Errorf("%d bytes wanted, %d left", n, left))
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

// duration reads milliseconds.
func (r *recordReader) duration() time.Duration {
	return durationFromMs(math.Float64frombits(r.uint64()))
}

// maxMs bounds what is read as a duration, about 127 years: more would not fit into one.
const maxMs = 4e12

func durationFromMs(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(math.Round(max(-maxMs, min(maxMs, ms)) * 1e6))
}

// loadReport reads the values of a load report, nil where none is attached.
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
