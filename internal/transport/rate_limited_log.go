package transport

import (
	"log/slog"
	"sync"
	"time"
)

// minRepeatInterval is the shortest time between two log lines with the same message.
const minRepeatInterval = 5 * time.Second

// RateLimitedLog logs malformed input from other programs, each message at most once per minRepeatInterval, because the
// sender decides how often it occurs. The zero value is ready for use.
type RateLimitedLog struct {
	mu         sync.Mutex
	loggedAt   map[string]time.Time // time of the last line by message
	suppressed map[string]int       // calls since the last line by message
}

// Warn logs a message with its attributes and the number of calls with the same message suppressed since its last line.
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
