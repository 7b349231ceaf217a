package protocol

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds of requests, in bytes but for the first.
const (
	maxRequestArguments    = 8       // of one request
	maxRequestIDSize       = 256     // of a request's id
	maxSkippedArgumentSize = 1 << 20 // of a part that is skipped: the connection is not read on behind a larger one
	maxInlineRequestSize   = 512     // of a request that is typed as a line
	maxRequestOverhead     = 8 << 10 // of a request beside its value
)

// MaxRequestSize is the size of the longest request, and of the buffer that holds it.
const MaxRequestSize = MaxValueSize + maxRequestOverhead

var errFramingLost = errors.New("framing is lost")

// RequestScanner finds complete RESP requests in what a client sends. It guards the parser behind it, which trusts
// lengths and keeps a part of any size in memory.
type RequestScanner struct {
	scanned       int  // bytes of the present request in the buffer that are understood
	remainingArgs int  // of the present request still to come
	started       bool // its array header was read
	tooLarge      bool // it is skipped
	bytesToSkip   int  // bytes still to be skipped
}

// Started reports whether a request has started, of which the buffer may hold nothing any more.
func (s *RequestScanner) Started() bool { return s.started }

// Next returns the size of the complete request that the buffer begins with, 0 while there is none. A request that is
// too large has been removed from the buffer. After an error nothing that follows can be understood.
func (s *RequestScanner) Next(b *Buffer) (size int, tooLarge bool, err error) {
	for {
		if s.skip(b); s.bytesToSkip > 0 {
			return 0, false, nil
		}
		if s.started && s.remainingArgs == 0 {
			size, tooLarge = s.scanned, s.tooLarge
			*s = RequestScanner{}
			return size, tooLarge, nil
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

// skip removes bytes of a request that is too large.
func (s *RequestScanner) skip(b *Buffer) {
	n := min(s.bytesToSkip, len(b.Bytes()))
	b.Discard(n)
	s.bytesToSkip -= n
}

// startRequest takes in the header of the array that is a request.
func (s *RequestScanner) startRequest(header requestHeader) error {
	if header.length < 1 || header.length > maxRequestArguments {
		return errFramingLost
	}
	s.started, s.remainingArgs = true, header.length
	s.scanned += header.size
	return nil
}

// scanArgument takes in a part whose header has been read, once it is complete.
func (s *RequestScanner) scanArgument(b *Buffer, header requestHeader) (complete bool, err error) {
	if header.prefix != '$' || header.length > maxSkippedArgumentSize {
		return false, errFramingLost
	}
	rest := b.Bytes()[s.scanned:]
	size := header.size + header.length + len(lineEnd)
	switch {
	case s.tooLarge || s.scanned+size > MaxRequestSize || header.length > MaxValueSize:
		b.Discard(s.scanned)
		s.tooLarge, s.scanned, s.bytesToSkip = true, 0, size
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

// requestHeader is the line before an array or a part: "*4" or "$12".
type requestHeader struct {
	prefix byte
	length int // of parts, or of bytes
	size   int // of the line with its end; 0 while it is not complete
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

// parseLength parses a length, which has digits alone: no sign, as the number parser of the language would take.
func parseLength(text []byte) (length int, ok bool) {
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
	}
	length, err := strconv.Atoi(string(text))
	return length, err == nil
}

// scanInline returns the size of a request that is typed as a plain line, 0 while it is not complete.
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
