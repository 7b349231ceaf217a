package gatewaytest

import (
	"os"
	"strings"
	"time"
)

// maxSendDelay is the delay that the protocol page allows a gateway between its last clock reading and the write of an
// attempt.
const maxSendDelay = 150 * time.Millisecond

// SentAttempt identifies an attempt by its request and endpoint.
type SentAttempt struct{ RequestID, Endpoint string }

// SentLate returns the attempts that a gateway's log reports as sent late, with a delay between the last clock reading
// and the write that is longer than maxSendDelay.
func (f *Fleet) SentLate(gateway int) map[SentAttempt]bool {
	f.t.Helper()
	text, err := os.ReadFile(logPath(f.configurations[gateway]))
	if err != nil {
		f.t.Fatal(err)
	}
	return parseSentLate(string(text))
}

func parseSentLate(log string) map[SentAttempt]bool {
	late := map[SentAttempt]bool{}
	for line := range strings.Lines(log) {
		if !strings.Contains(line, `msg="attempt sent late"`) {
			continue
		}
		fields := map[string]string{}
		for _, field := range strings.Fields(line) {
			key, value, _ := strings.Cut(field, "=")
			fields[key] = value
		}
		if span, err := time.ParseDuration(fields["duration"]); err == nil && span > maxSendDelay {
			late[SentAttempt{RequestID: fields["request_id"], Endpoint: fields["endpoint"]}] = true
		}
	}
	return late
}

// ArrivalsAfter returns the attempts that arrived at any of the endpoints after the given time. Attempts in excluded
// are returned separately.
func ArrivalsAfter(endpoints []*Endpoint, moment time.Time, excluded map[SentAttempt]bool) (arrived, skipped []SentAttempt) {
	for _, endpoint := range endpoints {
		for _, arrival := range endpoint.Arrivals() {
			if !arrival.At.After(moment) {
				continue
			}
			attempt := SentAttempt{RequestID: arrival.ID, Endpoint: endpoint.Record.ID}
			if excluded[attempt] {
				skipped = append(skipped, attempt)
			} else {
				arrived = append(arrived, attempt)
			}
		}
	}
	return arrived, skipped
}
