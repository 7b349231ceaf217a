package protocol

import (
	"bytes"
	"errors"
	"hash/fnv"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/decision"
)

const (
	maxRequestParts  = 8           // words of a command
	maxRequestIDSize = 256         // bytes of an id
	maxSkippedSize   = 1 << 20     // a larger word is not skipped: the connection is closed
	maxInlineSize    = 512         // a command typed as a line
	requestMargin    = 8 * 1 << 10 // of a command, beside its value
)

// CommandMost is what a buffer needs to hold one command.
const MaxRequestSize = MaxValueSize + requestMargin

var errFramingLost = errors.New("framing is lost")

// Commands finds the whole commands in what clients send, and keeps from the parser behind it what that
// could not bear: it trusts lengths, and keeps a word of any size in memory.
type RequestScanner struct {
	at    int  // bytes of the present command that are understood
	words int  // of it still to come
	begun bool // its head has been read
	large bool // it is too large, and only skipped
	skip  int  // bytes to skip
}

// Begun tells whether a command has begun of which nothing may be left in the buffer.
func (c *RequestScanner) Started() bool { return c.begun }

// Next gives the size of the whole command that the buffer begins with, 0 if there is none yet. One that is
// too large has been taken out of the buffer by then. An error says that the framing is lost.
func (c *RequestScanner) Next(b *Buffer) (size int, large bool, err error) {
	for {
		if c.skip > 0 {
			n := min(c.skip, len(b.Bytes()))
			b.Discard(n)
			if c.skip -= n; c.skip > 0 {
				return 0, false, nil
			}
		}
		if c.begun && c.words == 0 {
			size, large = c.at, c.large
			*c = RequestScanner{}
			return size, large, nil
		}
		rest := b.Bytes()[c.at:]
		if len(rest) == 0 {
			return 0, false, nil
		}
		if !c.begun && rest[0] != '*' {
			return c.inline(b)
		}
		end := bytes.IndexByte(rest[:min(len(rest), maxHeaderSize)], '\n')
		if end < 0 {
			if len(rest) >= maxHeaderSize {
				return 0, false, errFramingLost
			}
			return 0, false, nil
		}
		if end < 3 || rest[end-1] != '\r' {
			return 0, false, errFramingLost
		}
		n, err := strconv.Atoi(string(rest[1 : end-1]))
		if err != nil || n < 0 {
			return 0, false, errFramingLost
		}
		switch {
		case !c.begun && (n < 1 || n > maxRequestParts):
			return 0, false, errFramingLost
		case !c.begun:
			c.begun, c.words, c.at = true, n, c.at+end+1
		case rest[0] != '$' || n > maxSkippedSize:
			return 0, false, errFramingLost
		default:
			whole := end + 1 + n + 2
			if c.large || c.at+whole > MaxRequestSize || n > MaxValueSize {
				b.Discard(c.at)
				c.large, c.at, c.skip = true, 0, whole
			} else if len(rest) < whole {
				return 0, false, nil
			} else if rest[whole-2] != '\r' || rest[whole-1] != '\n' {
				return 0, false, errFramingLost
			} else {
				c.at += whole
			}
			c.words--
		}
	}
}

// inline passes on a command typed as a plain line.
func (c *RequestScanner) inline(b *Buffer) (int, bool, error) {
	data := b.Bytes()
	end := bytes.IndexByte(data, '\n')
	if end < 0 && len(data) < maxInlineSize {
		return 0, false, nil
	}
	if end < 0 || end >= maxInlineSize || bytes.ContainsAny(data[:end], "\"'\\") {
		return 0, false, errFramingLost
	}
	return end + 1, false, nil
}

// The commands that carry requests.
const (
	commandRead  = "API.READ"
	commandWrite = "API.WRITE"
)

// requestName is what clients ask for an op type by.
func requestName(command, opType string) string { return command + " " + opType }

// Request is a request as a client sent it.
type Request struct {
	OpType    *decision.OpType
	Key       uint64 // 0 for none
	ID        string
	Remaining time.Duration // until the client gives up
	// Encode words the request for an endpoint that is told how long the gateway waits for the answer.
	Encode func(wait time.Duration) []byte
}

// ParseRequest reads a client's request. Op types are found by the words that ask for them. What no endpoint could use is an
// error.
func ParseRequest(args [][]byte, ops map[string]*decision.OpType) (Request, error) {
	var request Request
	no := func(why string) (Request, error) { return Request{}, errors.New(why) }
	most := 4
	if string(args[0]) == commandWrite {
		most = 5
	}
	if len(args) != most {
		return no("wrong number of words")
	}
	if request.ID = string(args[2]); request.ID == "" || len(request.ID) > maxRequestIDSize {
		return no("no id")
	}
	var before, after strings.Builder // what stands around the time in the list of names and values
	into := &before
	for i, one := range strings.Split(string(args[3]), ",") {
		if i > 0 {
			into.WriteByte(',')
		}
		name, value, _ := strings.Cut(one, "=")
		switch name {
		case "c":
			had := request.OpType
			if request.OpType = ops[requestName(string(args[0]), value)]; request.OpType == nil || had != nil {
				return no("unknown op type")
			}
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms > 0) || strings.Trim(value, "0123456789.") != "" || into == &after {
				return no("d is no time")
			}
			request.Remaining = durationFromMs(ms)
			into.WriteString("d=")
			into = &after
			continue
		}
		into.WriteString(one)
	}
	if request.OpType == nil || into == &before {
		return no("c or d is missing")
	}
	if len(args[1]) > 0 {
		h := fnv.New64a()
		h.Write(args[1])
		request.Key = max(h.Sum64(), 1)
	}
	request.Encode = func(wait time.Duration) []byte {
		list := before.String() + strconv.FormatInt(max(1, wait.Milliseconds()), 10) + after.String()
		b := make([]byte, 0, 64+len(args[1])+len(args[2])+len(list)+len(args[most-1]))
		b = redcon.AppendArray(b, most)
		b = redcon.AppendBulk(b, args[0])
		b = redcon.AppendBulk(b, args[1])
		b = redcon.AppendBulk(b, args[2])
		b = redcon.AppendBulkString(b, list)
		if most == 5 {
			b = redcon.AppendBulk(b, args[4])
		}
		return b
	}
	return request, nil
}

// BulkHead and End stand around a value.
func BulkStringHeader(size int) []byte { return []byte("$" + strconv.Itoa(size) + "\r\n") }

// End ends a value.
var BulkStringEnd = []byte("\r\n")

// Refused words a refusal, with the time to come back if there is one.
func RejectedMessage(after time.Duration) string {
	if after <= 0 {
		return "BUSY"
	}
	return "BUSY " + strconv.FormatInt(int64(math.Ceil(float64(after)/1e6)), 10)
}

// Failed words a failure.
const FailedMessage = "ERR failed"
