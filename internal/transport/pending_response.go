package transport

import (
	"net"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"laurelring/internal/protocol"
)

// PendingResponse is the response to one request, from the moment the request is read. The first of its methods that
// is called decides it; none of them blocks, and each may be called from any goroutine.
type PendingResponse struct {
	once         sync.Once
	done         chan struct{} // closed when payload is set
	payload      net.Buffers
	requestBytes int64 // size of its request
}

func newPendingResponse(requestBytes int) *PendingResponse {
	return &PendingResponse{done: make(chan struct{}), requestBytes: int64(requestBytes)}
}

// Respond responds with the value that an endpoint gave.
func (r *PendingResponse) Respond(value []byte) {
	r.complete(protocol.BulkStringHeader(len(value)), value, protocol.BulkStringEnd)
}

// Reject responds that the request did not run and may be sent again, after the given time if it is not 0.
func (r *PendingResponse) Reject(after time.Duration) {
	r.complete(redcon.AppendError(nil, protocol.RejectedMessage(after)))
}

// Fail responds that the request may have run or not.
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
