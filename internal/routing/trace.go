package routing

import (
	"context"
	"log/slog"
	"time"

	"laurelring/decision"
)

// trace writes what happens to each request to the log, at level debug: when it came, each delivery with the list it
// was sent by, how each ended, and the final answer with its reason. It costs nothing at other levels.
type trace struct{ on bool }

func newTrace() trace {
	return trace{on: slog.Default().Enabled(context.Background(), slog.LevelDebug)}
}

func (t trace) taken(id string, left time.Duration) {
	if t.on {
		slog.Debug("a request is taken", "id", id, "left", time.Duration(left))
	}
}

func (t trace) sent(id string, to *instance, revision int64, number int) {
	if t.on {
		slog.Debug("a delivery is sent", "id", id, "instance", to.listed.ID, "number", number, "revision", revision)
	}
}

func (t trace) ended(id string, to *instance, how decision.Outcome, took time.Duration) {
	if t.on {
		name := ""
		if to != nil { // it may have been forgotten meanwhile
			name = to.listed.ID
		}
		slog.Debug("a delivery has ended", "id", id, "instance", name, "outcome", how, "took", time.Duration(took))
	}
}

func (t trace) answered(id, how string, why decision.RejectReason) {
	if t.on {
		slog.Debug("a request has its final answer", "id", id, "answer", how, "reason", why)
	}
}

func (t trace) left(id string) {
	if t.on {
		slog.Debug("a client has left", "id", id)
	}
}
