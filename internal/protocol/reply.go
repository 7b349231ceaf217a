package protocol

import (
	"math"
	"strconv"
	"time"
)

// A value is sent to a client as a header, the value as it came, and BulkStringEnd: it is not copied.

// BulkStringHeader returns what precedes a value of a size in bytes.
func BulkStringHeader(size int) []byte { return []byte("$" + strconv.Itoa(size) + lineEnd) }

// BulkStringEnd follows a value.
var BulkStringEnd = []byte(lineEnd)

// FailedMessage is the error that a client gets for a request that may have executed.
const FailedMessage = "ERR failed"

// RejectedMessage returns the error that a client gets for a request that was rejected. It says in whole milliseconds
// when to retry, where that is above 0.
func RejectedMessage(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return "BUSY"
	}
	return "BUSY " + strconv.FormatInt(int64(math.Ceil(float64(retryAfter)/1e6)), 10)
}
