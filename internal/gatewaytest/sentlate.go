package gatewaytest

import (
	"os"
	"strings"
	"time"
)

// heldUpLimit is how long the protocol page has a gateway be held up between its clock and a write.
const heldUpLimit = 150 * time.Millisecond

// SentAttempt names an attempt by its request and its endpoint.
type SentAttempt struct{ RequestID, Endpoint string }

// SentLate returns the attempts of which a gateway's log says that the process was held up for longer than the page has it
// between the last look at the time and the write.
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
		if span, err := time.ParseDuration(fields["duration"]); err == nil && span > heldUpLimit {
			late[SentAttempt{RequestID: fields["request_id"], Endpoint: fields["endpoint"]}] = true
		}
	}
	return late
}

// ArrivalsAfter returns the attempts that arrived at any of the endpoints after a moment, without those given.
func ArrivalsAfter(endpoints []*Endpoint, moment time.Time, without map[SentAttempt]bool) (arrived, leftOut []SentAttempt) {
	for _, endpoint := range endpoints {
		for _, arrival := range endpoint.Arrivals() {
			if !arrival.At.After(moment) {
				continue
			}
			attempt := SentAttempt{RequestID: arrival.ID, Endpoint: endpoint.Record.ID}
			if without[attempt] {
				leftOut = append(leftOut, attempt)
			} else {
				arrived = append(arrived, attempt)
			}
		}
	}
	return arrived, leftOut
}
