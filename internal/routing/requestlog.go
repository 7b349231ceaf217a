package routing

import (
	"context"
	"log/slog"
	"time"

	"laurelring/decision"
)

// trace writes what happens to each request to the log, at level debug: when it came, each delivery with the list it
// was sent by, how each ended, and the final answer with its reason. It costs nothing at other levels.
type requestLog struct{ enabled bool }

func newRequestLog() requestLog {
	return requestLog{enabled: slog.Default().Enabled(context.Background(), slog.LevelDebug)}
}

func (t requestLog) accepted(id string, left time.Duration) {
	if t.enabled {
		slog.Debug("a request is taken", "id", id, "left", time.Duration(left))
	}
}

func (t requestLog) attemptStarted(id string, to *endpointRecord, revision int64, number int) {
	if t.enabled {
		slog.Debug("a delivery is sent", "id", id, "instance", to.listed.ID, "number", number, "revision", revision)
	}
}

func (t requestLog) attemptFinished(id string, to *endpointRecord, how decision.Outcome, took time.Duration) {
	if t.enabled {
		name := ""
		if to != nil { // it may have been forgotten meanwhile
			name = to.listed.ID
		}
		slog.Debug("a delivery has ended", "id", id, "instance", name, "outcome", how, "took", time.Duration(took))
	}
}

func (t requestLog) answered(id, how string, why decision.RejectReason) {
	if t.enabled {
		slog.Debug("a request has its final answer", "id", id, "answer", how, "reason", why)
	}
}

func (t requestLog) clientDisconnected(id string) {
	if t.enabled {
		slog.Debug("a client has left", "id", id)
	}
}
