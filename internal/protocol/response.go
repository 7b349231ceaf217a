package protocol

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"laurelring/decision"
)

// MaxValueSize is the size of the largest value.
const MaxValueSize = 64 << 10

const (
	maxErrorLineSize  = 4 << 10
	maxHeaderSize     = 32 // of the line before an array or a bulk string
	maxLoadReportSize = 4 << 10

	lineEnd             = "\r\n"
	responseArrayHeader = "*3"
	nullBulkString      = "$-1"
)

// MaxResponseSize is the size of the longest response, and of the buffer that holds it.
const MaxResponseSize = MaxValueSize + maxLoadReportSize + 4*maxHeaderSize

var errMalformedResponse = errors.New("malformed response")

// responsePart is what may come next of a response: an array of the value, a null, and the load report or a null.
type responsePart uint8

const (
	responseArray responsePart = iota
	responseValue
	responseNull
	responseLoadReport
)

// ResponseReader reads an endpoint's responses one after the other: arrays, or error lines. Anything else is malformed.
type ResponseReader struct {
	scanned    int // bytes of the present response that are understood
	nextPart   responsePart
	value      span
	loadReport span
}

// span is where a bulk string stands in the buffer; it is empty for a null.
type span struct{ start, end int }

func (s span) isNull() bool { return s.start == 0 }

// Response is how an attempt ended, with what the endpoint sent.
type Response struct {
	Outcome    decision.Outcome
	Value      []byte // nil where none came
	LoadReport []byte // empty where none came
}

// Next reads on in the buffer. A complete response is copied and removed from the buffer. After an error nothing that
// follows can be understood.
func (r *ResponseReader) Next(b *Buffer) (response Response, complete bool, err error) {
	for {
		data := b.Bytes()
		line, size, err := scanResponseLine(data[r.scanned:])
		if err != nil || size == 0 {
			return Response{}, false, err
		}
		if r.nextPart == responseArray {
			if line[0] == '-' {
				return r.finishError(b, line, size)
			}
			if string(line) != responseArrayHeader {
				return Response{}, false, errMalformedResponse
			}
			r.nextPart, r.scanned = responseValue, size
			continue
		}
		complete, err := r.scanPart(data, line, size)
		if err != nil || !complete {
			return Response{}, false, err
		}
		if r.nextPart == responseLoadReport {
			return r.finish(b), true, nil
		}
		r.nextPart++
	}
}

// scanPart takes in the present part, once it is complete. Its header is a line of a size in the buffer.
func (r *ResponseReader) scanPart(data, line []byte, size int) (complete bool, err error) {
	if r.nextPart == responseNull && string(line) != nullBulkString {
		return false, errMalformedResponse
	}
	length, ok := parseBulkStringHeader(line)
	if !ok || length > MaxValueSize || r.nextPart == responseLoadReport && length > maxLoadReportSize {
		return false, errMalformedResponse
	}
	end := r.scanned + size
	var content span
	if length >= 0 {
		content = span{end, end + length}
		end += length + len(lineEnd)
		if len(data) < end {
			return false, nil
		}
		if string(data[content.end:end]) != lineEnd {
			return false, errMalformedResponse
		}
	}
	r.scanned = end
	switch r.nextPart {
	case responseValue:
		r.value = content
	case responseLoadReport:
		r.loadReport = content
	}
	return true, nil
}

// finish returns the complete response and removes it from the buffer. An endpoint that gives no value has failed.
func (r *ResponseReader) finish(b *Buffer) Response {
	data := b.Bytes()
	response := Response{
		Outcome:    decision.OutcomeError,
		LoadReport: bytes.Clone(data[r.loadReport.start:r.loadReport.end]),
	}
	if !r.value.isNull() {
		response.Outcome = decision.OutcomeSuccess
		response.Value = bytes.Clone(data[r.value.start:r.value.end])
	}
	r.reset(b, r.scanned)
	return response
}

// finishError returns the response that is an error line and removes it from the buffer.
func (r *ResponseReader) finishError(b *Buffer, line []byte, size int) (Response, bool, error) {
	outcome, loadReport, err := parseErrorLine(string(line[1:]))
	r.reset(b, size)
	return Response{Outcome: outcome, LoadReport: loadReport}, err == nil, err
}

func (r *ResponseReader) reset(b *Buffer, size int) {
	b.Discard(size)
	*r = ResponseReader{}
}

// parseBulkStringHeader reads a header such as "$5". The length is -1 for a null.
func parseBulkStringHeader(line []byte) (length int, ok bool) {
	if line[0] != '$' {
		return 0, false
	}
	if string(line[1:]) == nullBulkStringLength {
		return -1, true
	}
	return parseLength(line[1:])
}

// nullBulkStringLength stands for the length of a null.
const nullBulkStringLength = "-1"

// scanResponseLine returns the line that the data begins with, without its end, and its size with it. The size is 0
// while the line is not complete.
func scanResponseLine(data []byte) (line []byte, size int, err error) {
	if len(data) == 0 {
		return nil, 0, nil
	}
	var maxSize int
	switch data[0] {
	case '-':
		maxSize = maxErrorLineSize
	case '*', '$':
		maxSize = maxHeaderSize
	default:
		return nil, 0, errMalformedResponse
	}
	end := bytes.IndexByte(data[:min(len(data), maxSize)], '\n')
	switch {
	case end < 0 && len(data) >= maxSize:
		return nil, 0, errMalformedResponse
	case end < 0:
		return nil, 0, nil
	case end < 3 || data[end-1] != '\r':
		return nil, 0, errMalformedResponse
	}
	return data[:end-1], end + 1, nil
}

// parseErrorLine reads an error without its "-". Only BUSY proves that the request never executed. A load report may
// stand last. No endpoint sends an error that begins otherwise.
func parseErrorLine(line string) (outcome decision.Outcome, loadReport []byte, err error) {
	code, _, _ := strings.Cut(line, " ")
	switch code {
	case "BUSY":
		outcome = decision.OutcomeRejected
	case "ERR", "SYNTAX", "NOPERM":
		outcome = decision.OutcomeError
	default:
		return 0, nil, errMalformedResponse
	}
	last := line[strings.LastIndexByte(line, ' ')+1:]
	if strings.Contains(last, "=") {
		loadReport = []byte(last)
	}
	return outcome, loadReport, nil
}

// maxUtilization is above any figure that an endpoint could mean.
const maxUtilization = 1e6

// ParseUtilization returns the value of a field in a load report, if there is a usable one.
func ParseUtilization(report []byte, field string) (utilization float64, ok bool) {
	if len(report) == 0 || field == "" {
		return 0, false
	}
	for entry := range strings.SplitSeq(string(report), ",") {
		if name, text, _ := strings.Cut(entry, "="); name == field {
			value, err := strconv.ParseFloat(text, 64)
			return value, err == nil && value >= 0 && value < maxUtilization
		}
	}
	return 0, false
}
