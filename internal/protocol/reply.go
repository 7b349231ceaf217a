package protocol

import (
	"math"
	"strconv"
	"time"
)

// A value is sent to a client in three parts: BulkStringHeader, the unchanged value, and BulkStringEnd. This avoids a
// copy of the value.

// BulkStringHeader returns the RESP header of a value of size bytes.
func BulkStringHeader(size int) []byte { return []byte("$" + strconv.Itoa(size) + lineEnd) }

// BulkStringEnd is the line end after a value.
var BulkStringEnd = []byte(lineEnd)

// FailedMessage is the error sent to a client for a failed request that may have executed.
const FailedMessage = "ERR failed"

// RejectedMessage returns the error sent to a client for a rejected request. If retryAfter is above 0, the error ends
// with it, rounded up to whole milliseconds.
func RejectedMessage(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return "BUSY"
	}
	return "BUSY " + strconv.FormatInt(int64(math.Ceil(float64(retryAfter)/1e6)), 10)
}
