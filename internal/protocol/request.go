package protocol

import (
	"errors"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/decision"
)

// The commands that carry requests.
const (
	commandRead  = "API.READ"
	commandWrite = "API.WRITE"
)

// The positions of a request's parts. Only a write has a body.
const (
	partCommand = iota
	partKey
	partID
	partAttributes
	partBody
)

// The faults of a request, as the client is told them.
var (
	errPartCount         = errors.New("wrong number of words")
	errRequestID         = errors.New("no id")
	errUnknownOpType     = errors.New("unknown op type")
	errClientTimeout     = errors.New("d is no time")
	errMissingAttributes = errors.New("c or d is missing")
)

// Request is a request as a client sent it.
type Request struct {
	OpType    *decision.OpType
	Key       uint64 // 0 for none
	ID        string
	Remaining time.Duration // until the client gives up
	// Encode returns the request for an endpoint, which learns from it how long the gateway waits for the response.
	Encode func(wait time.Duration) []byte
}

// requestName is how clients name an op type.
func requestName(command, opType string) string { return command + " " + opType }

// ParseRequest parses a client's request, whose parts stay in use. Op types are found by GatewaySettings.RequestNames.
// What no endpoint could use is an error, whose text is meant for the client.
func ParseRequest(parts [][]byte, opTypes map[string]*decision.OpType) (Request, error) {
	command, count := string(parts[partCommand]), partBody
	if command == commandWrite {
		count = partBody + 1
	}
	if len(parts) != count {
		return Request{}, errPartCount
	}
	id := string(parts[partID])
	if id == "" || len(id) > maxRequestIDSize {
		return Request{}, errRequestID
	}
	attributes, err := parseAttributes(string(parts[partAttributes]), command, opTypes)
	if err != nil {
		return Request{}, err
	}
	return Request{
		OpType:    attributes.opType,
		Key:       hashKey(parts[partKey]),
		ID:        id,
		Remaining: attributes.remaining,
		Encode:    func(wait time.Duration) []byte { return encodeRequest(parts, attributes, wait) },
	}, nil
}

// hashKey is never 0 for a key that a client gave.
func hashKey(key []byte) uint64 {
	if len(key) == 0 {
		return 0
	}
	hash := fnv.New64a()
	hash.Write(key)
	return max(hash.Sum64(), 1)
}

// attributes are a request's names and values, such as "c=look,d=1500".
type attributes struct {
	opType                *decision.OpType
	remaining             time.Duration
	beforeTime, afterTime string // the text around the value of d
}

func parseAttributes(text, command string, opTypes map[string]*decision.OpType) (attributes, error) {
	var parsed attributes
	start, rest, more := 0, text, true // start is where the present attribute begins in the text
	for more {
		var attribute string
		attribute, rest, more = strings.Cut(rest, ",")
		name, value, _ := strings.Cut(attribute, "=")
		switch name {
		case "c":
			opType := opTypes[requestName(command, value)]
			if opType == nil || parsed.opType != nil {
				return attributes{}, errUnknownOpType
			}
			parsed.opType = opType
		case "d":
			remaining, ok := parseClientTimeout(value)
			if !ok || parsed.beforeTime != "" {
				return attributes{}, errClientTimeout
			}
			parsed.remaining = remaining
			parsed.beforeTime, parsed.afterTime = text[:start+len("d=")], text[start+len(attribute):]
		}
		start += len(attribute) + len(",")
	}
	if parsed.opType == nil || parsed.beforeTime == "" {
		return attributes{}, errMissingAttributes
	}
	return parsed, nil
}

// parseClientTimeout reads milliseconds in plain digits.
func parseClientTimeout(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	return durationFromMs(ms), true
}

// encodeRequest returns a request as it came, but for its time.
func encodeRequest(parts [][]byte, parsed attributes, wait time.Duration) []byte {
	list := parsed.beforeTime + strconv.FormatInt(max(1, wait.Milliseconds()), 10) + parsed.afterTime
	size := 64 + len(parts[partKey]) + len(parts[partID]) + len(list) + len(parts[len(parts)-1])
	b := make([]byte, 0, size)
	b = redcon.AppendArray(b, len(parts))
	b = redcon.AppendBulk(b, parts[partCommand])
	b = redcon.AppendBulk(b, parts[partKey])
	b = redcon.AppendBulk(b, parts[partID])
	b = redcon.AppendBulkString(b, list)
	if len(parts) > partBody {
		b = redcon.AppendBulk(b, parts[partBody])
	}
	return b
}
