package protocol

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"laurelring/decision"
)

// MaxValueSize is the maximum size of a value in a request or response, in bytes.
const MaxValueSize = 64 << 10

const (
	maxErrorLineSize  = 4 << 10
	maxHeaderSize     = 32 // header line of an array or a bulk string, including its line end
	maxLoadReportSize = 4 << 10

	lineEnd             = "\r\n"
	responseArrayHeader = "*3"
	nullBulkString      = "$-1"
)

// MaxResponseSize is the maximum size of a response in bytes, and of the buffer that it is read into.
const MaxResponseSize = MaxValueSize + maxLoadReportSize + 4*maxHeaderSize

var errMalformedResponse = errors.New("malformed response")

// responsePart is a part of a response. A response is an array of a value, a null, and a load report. The value and the
// load report may also be null.
type responsePart uint8

const (
	responseArray responsePart = iota
	responseValue
	responseNull
	responseLoadReport
)

// ResponseReader reads an endpoint's responses one after the other. Each is an array or an error line, and any other
// input is malformed.
type ResponseReader struct {
	scanned    int // bytes of the current response that have been scanned
	nextPart   responsePart
	value      span
	loadReport span
}

// span is the range of a bulk string's content in the buffer. It is the zero value for a null.
type span struct{ start, end int }

// isNull reports whether the bulk string is null. The content of any other starts after a header, never at 0.
func (s span) isNull() bool { return s.start == 0 }

// Response is the response of an endpoint to an attempt.
type Response struct {
	Outcome    decision.Outcome
	Value      []byte // nil if the response has no value
	LoadReport []byte // empty if the response has no load report
	Malformed  bool   // a response arrived that could not be parsed
}

// Next continues to scan the response at the start of the buffer. If the response is complete, Next copies it and
// removes it from the buffer. After an error the rest of the input cannot be parsed.
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

// scanPart scans the next part and reports whether it is complete. line is the part's header line without its end, and
// size the size of the line with its end.
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

// finish returns the complete response and removes it from the buffer. The outcome is OutcomeError if the endpoint sent
// no value.
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

// finishError returns the response for an error line and removes the line from the buffer.
func (r *ResponseReader) finishError(b *Buffer, line []byte, size int) (Response, bool, error) {
	outcome, loadReport, err := parseErrorLine(string(line[1:]))
	r.reset(b, size)
	return Response{Outcome: outcome, LoadReport: loadReport}, err == nil, err
}

// reset removes the current response, of the given size, from the buffer and prepares for the next one.
func (r *ResponseReader) reset(b *Buffer, size int) {
	b.Discard(size)
	*r = ResponseReader{}
}

// parseBulkStringHeader parses a header such as "$5". The length is -1 for a null.
func parseBulkStringHeader(line []byte) (length int, ok bool) {
	if line[0] != '$' {
		return 0, false
	}
	if string(line[1:]) == nullBulkStringLength {
		return -1, true
	}
	return parseLength(line[1:])
}

// nullBulkStringLength is the length in the header of a null.
const nullBulkStringLength = "-1"

// scanResponseLine returns the line at the start of data without its end, and the size of the line with its end. The
// size is 0 if the line is not complete.
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

// parseErrorLine parses an error line without its "-". Of the error codes, only BUSY proves that the request was not
// executed. The last word may be a load report. A line with any other code is malformed, as no endpoint sends one.
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

// maxUtilization is the exclusive upper bound of a valid utilization. It is above any value that an endpoint could
// mean.
const maxUtilization = 1e6

// ParseUtilization returns the value of the named field in a load report. It returns false if the report has no such
// field or its value is invalid.
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
