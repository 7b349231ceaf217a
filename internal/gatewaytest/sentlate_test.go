package gatewaytest

import (
	"slices"
	"testing"
	"time"
)

// A late attempt is excluded only if the gateway's log reports exactly this request and endpoint as sent late, with a
// delay above the protocol page's limit.
func TestArrivalsAfterExcludesOnlyAttemptsLoggedAsLate(t *testing.T) {
	const log = `time=2026-12-03T10:00:00Z level=WARN msg="attempt sent late" gateway=n0 request_id=1 endpoint=s-1 duration=1.5s total=1
time=2026-12-03T10:00:00Z level=WARN msg="attempt sent late" gateway=n0 request_id=2 endpoint=s-1 duration=140ms total=2
time=2026-12-03T10:00:00Z level=WARN msg="attempt sent late" gateway=n0 request_id=3 endpoint=s-2 duration=1.5s total=3
time=2026-12-03T10:00:00Z level=WARN msg="process stalled" gateway=n0 request_id=4 endpoint=s-1 duration=1.5s
`
	moment := time.Now()
	endpoint := &Endpoint{Record: EndpointRecord{ID: "s-1"}}
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		endpoint.arrivals = append(endpoint.arrivals, Arrival{At: moment.Add(time.Millisecond), ID: id})
	}
	endpoint.arrivals = append(endpoint.arrivals, Arrival{At: moment, ID: "6"})
	arrived, excluded := ArrivalsAfter([]*Endpoint{endpoint}, moment, parseSentLate(log))
	if want := []SentAttempt{{"2", "s-1"}, {"3", "s-1"}, {"4", "s-1"}, {"5", "s-1"}}; !slices.Equal(arrived, want) {
		t.Errorf("got arrivals %v, want %v", arrived, want)
	}
	if want := []SentAttempt{{"1", "s-1"}}; !slices.Equal(excluded, want) {
		t.Errorf("got excluded arrivals %v, want %v", excluded, want)
	}
}
