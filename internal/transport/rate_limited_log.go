package transport

import (
	"log/slog"
	"sync"
	"time"
)

// RateLimitedLog logs bad input, each kind of it once in a while at most.
type RateLimitedLog struct {
	mu   sync.Mutex
	last map[string]time.Time
	kept map[string]int // not logged since
}

const complainEvery = 5 * time.Second

// Warn logs what was wrong with what a party sent.
func (c *RateLimitedLog) Warn(kind string, about ...any) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last, c.kept = map[string]time.Time{}, map[string]int{}
	}
	if now.Sub(c.last[kind]) < complainEvery {
		c.kept[kind]++
		return
	}
	slog.Warn(kind, append(about, "like it since the last", c.kept[kind])...)
	c.last[kind], c.kept[kind] = now, 0
}
