package transport

import (
	"log/slog"
	"sync"
	"time"
)

// minRepeatInterval is the shortest time between two lines of one message.
const minRepeatInterval = 5 * time.Second

// RateLimitedLog logs malformed input of others, each message once in a while at most: the peer decides how often it
// occurs. The zero value is ready for use.
type RateLimitedLog struct {
	mu         sync.Mutex
	loggedAt   map[string]time.Time
	suppressed map[string]int // calls by message since the last line
}

// Warn logs a message with its attributes, and how many like it were suppressed since the last.
func (l *RateLimitedLog) Warn(message string, attributes ...any) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loggedAt == nil {
		l.loggedAt, l.suppressed = map[string]time.Time{}, map[string]int{}
	}
	if now.Sub(l.loggedAt[message]) < minRepeatInterval {
		l.suppressed[message]++
		return
	}
	slog.Warn(message, append(attributes, "suppressed", l.suppressed[message])...)
	l.loggedAt[message], l.suppressed[message] = now, 0
}
