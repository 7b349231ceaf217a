package transport

import (
	"log/slog"
	"sync"
	"time"
)

// RateLimitedLog logs bad input, each kind of it once in a while at most.
type RateLimitedLog struct {
	mu         sync.Mutex
	loggedAt   map[string]time.Time
	suppressed map[string]int // not logged since
}

const repeatInterval = 5 * time.Second

// Warn logs what was wrong with what a party sent.
func (c *RateLimitedLog) Warn(kind string, about ...any) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loggedAt == nil {
		c.loggedAt, c.suppressed = map[string]time.Time{}, map[string]int{}
	}
	if now.Sub(c.loggedAt[kind]) < repeatInterval {
		c.suppressed[kind]++
		return
	}
	slog.Warn(kind, append(about, "like it since the last", c.suppressed[kind])...)
	c.loggedAt[kind], c.suppressed[kind] = now, 0
}
