package protocol

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds of requests, in bytes except for maxRequestArguments.
const (
	maxRequestArguments    = 8       // arguments of one request, including the command
	maxRequestIDSize       = 256     // ID of a request
	maxSkippedArgumentSize = 1 << 20 // argument that is skipped; the input after a larger one is not parsed
	maxInlineRequestSize   = 512     // inline request, including its line end
	maxRequestOverhead     = 8 << 10 // all of a request except its value
)

// MaxRequestSize is the maximum size of a request in bytes, and of the buffer that it is read into.
const MaxRequestSize = MaxValueSize + maxRequestOverhead

// errFramingLost is the error for input in which the end of the current request cannot be found.
var errFramingLost = errors.New("request framing lost")

// RequestScanner finds complete RESP requests in the input from a client. It protects the parser that receives them,
// which does not check lengths and would hold an argument of any size in memory.
type RequestScanner struct {
	scanned       int  // bytes of the current request that have been scanned and are still in the buffer
	remainingArgs int  // arguments of the current request that have not been scanned
	started       bool // the array header of the current request has been scanned
	skipping      bool // the current request is too large, or Skip was called, and its bytes are removed as they arrive
	bytesToSkip   int  // bytes of the current argument that are still to be skipped
}

// Started reports whether the current request has started. The buffer may be empty then, as skipped bytes are removed.
func (s *RequestScanner) Started() bool { return s.started }

// Skip removes what has arrived of the current request from the buffer, and makes Next remove the rest as it arrives. It
// may be called only if Started returns true.
func (s *RequestScanner) Skip(b *Buffer) {
	b.Discard(s.scanned)
	s.scanned, s.skipping = 0, true
}

// BytesToSkip returns how many of the next bytes are removed as soon as they arrive. The buffer is empty if it is above 0.
func (s *RequestScanner) BytesToSkip() int { return s.bytesToSkip }

// SkippedOutside records that n of the bytes to be skipped were read and dropped without passing through the buffer.
func (s *RequestScanner) SkippedOutside(n int) { s.bytesToSkip -= n }

// Next returns the size of the complete request at the start of the buffer, or 0 if the request is not complete yet.
// For a request that is skipped, because it is too large or by Skip, it returns size 0 and skipped once all of the
// request has been removed from the buffer. After an error the rest of the input cannot be parsed.
func (s *RequestScanner) Next(b *Buffer) (size int, skipped bool, err error) {
	for {
		if s.removeSkipped(b); s.bytesToSkip > 0 {
			return 0, false, nil
		}
		if s.started && s.remainingArgs == 0 {
			size, skipped = s.scanned, s.skipping
			*s = RequestScanner{}
			return size, skipped, nil
		}
		rest := b.Bytes()[s.scanned:]
		if len(rest) == 0 {
			return 0, false, nil
		}
		if !s.started && rest[0] != '*' {
			size, err = scanInline(rest)
			return size, false, err
		}
		header, err := scanRequestHeader(rest)
		if err != nil || header.size == 0 {
			return 0, false, err
		}
		if !s.started {
			if err := s.startRequest(header); err != nil {
				return 0, false, err
			}
			continue
		}
		complete, err := s.scanArgument(b, header)
		if err != nil || !complete {
			return 0, false, err
		}
	}
}

// removeSkipped removes the bytes to be skipped from the buffer, as far as they have arrived.
func (s *RequestScanner) removeSkipped(b *Buffer) {
	n := min(s.bytesToSkip, len(b.Bytes()))
	b.Discard(n)
	s.bytesToSkip -= n
}

// startRequest starts a request at its array header.
func (s *RequestScanner) startRequest(header requestHeader) error {
	if header.length < 1 || header.length > maxRequestArguments {
		return errFramingLost
	}
	s.started, s.remainingArgs = true, header.length
	s.scanned += header.size
	return nil
}

// scanArgument scans the argument with this header. It reports false while the argument is not complete, except that an
// argument of a skipped request does not have to be complete, as its bytes are removed later.
func (s *RequestScanner) scanArgument(b *Buffer, header requestHeader) (complete bool, err error) {
	if header.prefix != '$' || header.length > maxSkippedArgumentSize {
		return false, errFramingLost
	}
	rest := b.Bytes()[s.scanned:]
	size := header.size + header.length + len(lineEnd)
	switch {
	case s.skipping || s.scanned+size > MaxRequestSize || header.length > MaxValueSize:
		s.Skip(b)
		s.bytesToSkip = size
	case len(rest) < size:
		return false, nil
	case string(rest[size-len(lineEnd):size]) != lineEnd:
		return false, errFramingLost
	default:
		s.scanned += size
	}
	s.remainingArgs--
	return true, nil
}

// requestHeader is the header line of an array or a bulk string, such as "*4" or "$12".
type requestHeader struct {
	prefix byte
	length int // number of arguments of an array, or of bytes of a bulk string
	size   int // size of the line with its end, 0 if the line is not complete
}

func scanRequestHeader(data []byte) (requestHeader, error) {
	end := bytes.IndexByte(data[:min(len(data), maxHeaderSize)], '\n')
	switch {
	case end < 0 && len(data) >= maxHeaderSize:
		return requestHeader{}, errFramingLost
	case end < 0:
		return requestHeader{}, nil
	case end < 3 || data[end-1] != '\r':
		return requestHeader{}, errFramingLost
	}
	length, ok := parseLength(data[1 : end-1])
	if !ok {
		return requestHeader{}, errFramingLost
	}
	return requestHeader{prefix: data[0], length: length, size: end + 1}, nil
}

// parseLength parses a length. Only digits are accepted, as strconv.Atoi would also accept a sign.
func parseLength(text []byte) (length int, ok bool) {
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
	}
	length, err := strconv.Atoi(string(text))
	return length, err == nil
}

// scanInline returns the size of an inline request, which is a plain line, or 0 if the line is not complete yet. Lines
// with quotes or backslashes are not accepted.
func scanInline(data []byte) (size int, err error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 && len(data) < maxInlineRequestSize {
		return 0, nil
	}
	if end < 0 || end >= maxInlineRequestSize || bytes.ContainsAny(data[:end], "\"'\\") {
		return 0, errFramingLost
	}
	return end + 1, nil
}
