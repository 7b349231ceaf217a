package routing

import (
	"context"
	"log/slog"
	"time"

	"laurelring/decision"
)

// requestLog logs the life of each request at level debug: its arrival, each attempt with the revision of the endpoint
// list that was held, each outcome, and the final answer with its reason. At other log levels it does nothing.
type requestLog struct{ enabled bool }

// Values of the log key answer: the kinds of final answers.
const (
	answerServed   = "served"
	answerRejected = "rejected"
	answerFailed   = "failed"
)

func newRequestLog() requestLog {
	return requestLog{enabled: slog.Default().Enabled(context.Background(), slog.LevelDebug)}
}

func (l requestLog) accepted(id string, key uint64, remaining time.Duration) {
	if l.enabled {
		slog.Debug("request accepted", "request_id", id, "key", key, "remaining", remaining)
	}
}

func (l requestLog) attemptStarted(id string, endpoint *endpointRecord, revision int64, number int) {
	if l.enabled {
		slog.Debug("attempt started", "request_id", id, "endpoint", endpoint.listed.ID, "attempt", number,
			"build", endpoint.listed.Build, "revision", revision)
	}
}

// attemptConnected logs that a connection has been established for an attempt, how long the attempt has waited since it
// was decided, and whether it may still be sent.
func (l requestLog) attemptConnected(id string, number int, waited time.Duration, allowed bool) {
	if l.enabled {
		slog.Debug("attempt connected", "request_id", id, "attempt", number, "duration", waited, "allowed", allowed)
	}
}

// attemptFinished logs the outcome of an attempt. The endpoint is nil if its record has been deleted in the meantime.
func (l requestLog) attemptFinished(id string, endpoint *endpointRecord, outcome decision.Outcome, duration time.Duration) {
	if !l.enabled {
		return
	}
	name := ""
	if endpoint != nil {
		name = endpoint.listed.ID
	}
	slog.Debug("attempt finished", "request_id", id, "endpoint", name, "outcome", outcome, "duration", duration)
}

func (l requestLog) answered(id, answer string, reason decision.RejectReason) {
	if l.enabled {
		slog.Debug("request answered", "request_id", id, "answer", answer, "reason", reason)
	}
}

func (l requestLog) clientDisconnected(id string) {
	if l.enabled {
		slog.Debug("client disconnected", "request_id", id)
	}
}
