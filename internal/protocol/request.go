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

// The RESP commands of requests.
const (
	commandRead  = "API.READ"
	commandWrite = "API.WRITE"
)

// The positions of a request's arguments, starting with the command itself. Only a write has a body.
const (
	argCommand = iota
	argKey
	argID
	argAttributes
	argBody
)

// Errors for invalid requests. Their texts are sent to the client.
var (
	errArgumentCount     = errors.New("wrong number of words")
	errInvalidRequestID  = errors.New("no id")
	errUnknownOpType     = errors.New("unknown op type")
	errInvalidTimeout    = errors.New("d is no time")
	errMissingAttributes = errors.New("c or d is missing")
)

// Request is a parsed request of a client.
type Request struct {
	OpType    *decision.OpType
	Key       uint64 // hash of the key, 0 if the request has none
	ID        string
	Remaining time.Duration // time until the client gives up
	GoesLast  bool          // its turn comes after all other requests
	// Encode returns the request as sent to an endpoint. It tells the endpoint how long the gateway waits for the
	// response, in whole milliseconds and at least 1.
	Encode func(wait time.Duration) []byte
}

// requestName returns the name of an op type in requests, such as "API.READ look".
func requestName(command, opType string) string { return command + " " + opType }

// ParseRequest parses a client's request. The result keeps using args, which must not be empty. The keys of opTypes are
// the names in GatewaySettings.RequestNames. ParseRequest returns an error, whose text is meant for the client, for a
// request that no endpoint could execute.
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

// hashKey returns a hash of a key. It is 0 for an empty key and never 0 for any other.
func hashKey(key []byte) uint64 {
	if len(key) == 0 {
		return 0
	}
	hash := fnv.New64a()
	hash.Write(key)
	return max(hash.Sum64(), 1)
}

// attributes are the parsed attributes of a request, such as "c=look,d=1500": c is the op type, and d the client's
// remaining time in milliseconds.
type attributes struct {
	opType                      *decision.OpType
	remaining                   time.Duration
	beforeTimeout, afterTimeout string // attribute text before and after the value of d
}

func parseAttributes(text, command string, opTypes map[string]*decision.OpType) (attributes, error) {
	var parsed attributes
	start, rest, more := 0, text, true // start is the offset of the current attribute in text
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

// parseClientTimeout parses a positive number of milliseconds. Only digits and a decimal point are accepted: no sign,
// exponent, hexadecimal number, infinity or NaN.
func parseClientTimeout(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	return durationFromMs(ms), true
}

// encodeRequest encodes a request unchanged, except that the value of d is replaced by wait in whole milliseconds, at
// least 1.
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
