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
	argCommand = iota
	argKey
	argID
	argAttributes
	argBody
)

// The faults of a request, as the client is told them.
var (
	errArgumentCount     = errors.New("wrong number of words")
	errInvalidRequestID  = errors.New("no id")
	errUnknownOpType     = errors.New("unknown op type")
	errInvalidTimeout    = errors.New("d is no time")
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
func ParseRequest(args [][]byte, opTypes map[string]*decision.OpType) (Request, error) {
	command, count := string(args[argCommand]), argBody
	if command == commandWrite {
		count = argBody + 1
	}
	if len(args) != count {
		return Request{}, errArgumentCount
	}
	id := string(args[argID])
	if id == "" || len(id) > maxRequestIDSize {
		return Request{}, errInvalidRequestID
	}
	attributes, err := parseAttributes(string(args[argAttributes]), command, opTypes)
	if err != nil {
		return Request{}, err
	}
	return Request{
		OpType:    attributes.opType,
		Key:       hashKey(args[argKey]),
		ID:        id,
		Remaining: attributes.remaining,
		Encode:    func(wait time.Duration) []byte { return encodeRequest(args, attributes, wait) },
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
	opType                      *decision.OpType
	remaining                   time.Duration
	beforeTimeout, afterTimeout string // the text around the value of d
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
			if !ok || parsed.beforeTimeout != "" {
				return attributes{}, errInvalidTimeout
			}
			parsed.remaining = remaining
			parsed.beforeTimeout, parsed.afterTimeout = text[:start+len("d=")], text[start+len(attribute):]
		}
		start += len(attribute) + len(",")
	}
	if parsed.opType == nil || parsed.beforeTimeout == "" {
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
func encodeRequest(args [][]byte, parsed attributes, wait time.Duration) []byte {
	attributeList := parsed.beforeTimeout + strconv.FormatInt(max(1, wait.Milliseconds()), 10) + parsed.afterTimeout
	size := 64 + len(args[argKey]) + len(args[argID]) + len(attributeList) + len(args[len(args)-1])
	b := make([]byte, 0, size)
	b = redcon.AppendArray(b, len(args))
	b = redcon.AppendBulk(b, args[argCommand])
	b = redcon.AppendBulk(b, args[argKey])
	b = redcon.AppendBulk(b, args[argID])
	b = redcon.AppendBulkString(b, attributeList)
	if len(args) > argBody {
		b = redcon.AppendBulk(b, args[argBody])
	}
	return b
}
