package transport

import (
	"net"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/internal/protocol"
)

// PendingResponse is the response to one request, created when the request is read. The first call of Respond, Reject
// or Fail sets the response, and further calls do nothing. No method blocks, and each may be called from any goroutine.
type PendingResponse struct {
	once    sync.Once
	done    chan struct{} // closed when payload is set
	payload net.Buffers
	memory  int64 // bytes of the request memory that the request takes until the response is written
}

func newPendingResponse(memory int64) *PendingResponse {
	return &PendingResponse{done: make(chan struct{}), memory: memory}
}

// Respond responds with the value that an endpoint returned.
func (r *PendingResponse) Respond(value []byte) {
	r.complete(protocol.BulkStringHeader(len(value)), value, protocol.BulkStringEnd)
}

// Reject responds that the request was not executed and may be retried, after the given time if that is not 0.
func (r *PendingResponse) Reject(after time.Duration) {
	r.complete(redcon.AppendError(nil, protocol.RejectedMessage(after)))
}

// Fail responds that the request may or may not have been executed.
func (r *PendingResponse) Fail() { r.complete(redcon.AppendError(nil, protocol.FailedMessage)) }

func (r *PendingResponse) complete(parts ...[]byte) {
	r.once.Do(func() {
		r.payload = parts
		close(r.done)
	})
}

func (r *PendingResponse) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}
