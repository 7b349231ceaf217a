package protocol

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"laurelring/decision"
)

// ValueMost is the size of the largest value.
const MaxValueSize = 64 << 10

const (
	maxErrorLineSize  = 4 << 10 // the longest line that tells of an error
	maxHeaderSize     = 32      // the longest line that frames
	maxLoadReportSize = 4 << 10 // the longest load report
)

// ReplyMost is what a buffer needs to hold one reply.
const MaxResponseSize = MaxValueSize + maxLoadReportSize + 4*maxHeaderSize

var errMalformedResponse = errors.New("damaged reply")

// Reply reads the replies of an instance, one after the other: an array of the value, a null and the load
// report or a null, or an error line. Whatever else comes is damage.
type ResponseReader struct {
	at    int // bytes of the present reply that are understood
	part  int // parts of its array that are understood, its head among them
	value span
	load  span
}

// span is a part of the buffer that holds a word; a null has no start.
type span struct{ from, to int }

// Response is how an attempt ended, with what an endpoint sent.
type Response struct {
	Outcome    decision.Outcome
	Value      []byte // nil where none came
	LoadReport []byte // empty where none came
}

// Next reads on in what the buffer holds. Once a response is complete it is given, copied, and dropped from the buffer. An
// error is damage: nothing that follows can be trusted.
func (r *ResponseReader) Next(b *Buffer) (response Response, done bool, err error) {
	for {
		data := b.Bytes()
		line, size, err := lineOf(data[r.at:])
		if err != nil || size == 0 {
			return Response{}, false, err
		}
		switch {
		case r.part == 0 && line[0] == '-':
			how, load, err := refusal(string(line[1:]))
			r.end(b, size)
			return Response{Outcome: how, LoadReport: load}, err == nil, err
		case r.part == 0 && string(line) == "*3":
			r.part, r.at = 1, size
			continue
		case r.part == 0 || r.part == 2 && string(line) != "$-1":
			return Response{}, false, errMalformedResponse
		}
		n, ok := sizeOf(line)
		if !ok || n > MaxValueSize || r.part == 3 && n > maxLoadReportSize {
			return Response{}, false, errMalformedResponse
		}
		whole, word := size, span{}
		if n >= 0 {
			if whole = size + n + 2; len(data)-r.at < whole {
				return Response{}, false, nil
			}
			if data[r.at+whole-2] != '\r' || data[r.at+whole-1] != '\n' {
				return Response{}, false, errMalformedResponse
			}
			word = span{r.at + size, r.at + whole - 2}
		}
		switch r.at += whole; r.part {
		case 1:
			r.value = word
		case 3:
			r.load = word
			return r.done(b), true, nil
		}
		r.part++
	}
}

// done gives a complete response and drops it from the buffer. A null is no value.
func (r *ResponseReader) done(b *Buffer) Response {
	data := b.Bytes()
	response := Response{Outcome: decision.OutcomeError, LoadReport: bytes.Clone(data[r.load.from:r.load.to])}
	if r.value.from > 0 {
		response.Outcome = decision.OutcomeSuccess
		response.Value = bytes.Clone(data[r.value.from:r.value.to])
	}
	r.end(b, 0)
	return response
}

func (r *ResponseReader) end(b *Buffer, more int) {
	b.Discard(r.at + more)
	*r = ResponseReader{}
}

// sizeOf reads the head of a word: "$5", or "$-1" for a null.
func sizeOf(line []byte) (int, bool) {
	if line[0] != '$' || len(line) > 1 && line[1] == '+' {
		return 0, false
	}
	n, err := strconv.Atoi(string(line[1:]))
	return n, err == nil && n >= -1
}

// lineOf gives the line that the data begins with, without its end, and its size with it; 0 while it is not
// whole.
func lineOf(data []byte) ([]byte, int, error) {
	if len(data) == 0 {
		return nil, 0, nil
	}
	most := maxHeaderSize
	if data[0] == '-' {
		most = maxErrorLineSize
	} else if data[0] != '*' && data[0] != '$' {
		return nil, 0, errMalformedResponse
	}
	at := bytes.IndexByte(data[:min(len(data), most)], '\n')
	switch {
	case at < 0 && len(data) >= most:
		return nil, 0, errMalformedResponse
	case at < 0:
		return nil, 0, nil
	case at < 3 || data[at-1] != '\r':
		return nil, 0, errMalformedResponse
	}
	return data[:at-1], at + 1, nil
}

// refusal reads an error line: only one that says busy proves that the command never ran. A load report may
// stand last. A line that begins otherwise is no instance's.
func refusal(line string) (decision.Outcome, []byte, error) {
	word, _, _ := strings.Cut(line, " ")
	how := decision.OutcomeError
	switch word {
	case "BUSY":
		how = decision.OutcomeRejected
	case "ERR", "SYNTAX", "NOPERM":
	default:
		return 0, nil, errMalformedResponse
	}
	if last := line[strings.LastIndexByte(line, ' ')+1:]; strings.Contains(last, "=") {
		return how, []byte(last), nil
	}
	return how, nil, nil
}

// Load finds a field's figure in a load report.
func ParseUtilization(report []byte, field string) (float64, bool) {
	if len(report) == 0 || field == "" {
		return 0, false
	}
	for _, one := range strings.Split(string(report), ",") {
		if name, text, _ := strings.Cut(one, "="); name == field {
			v, err := strconv.ParseFloat(text, 64)
			return v, err == nil && v >= 0 && v < 1e6
		}
	}
	return 0, false
}
