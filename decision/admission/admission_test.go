package admission

import (
	"math"
	"slices"
	"testing"
	"time"
)

const start = 100 * time.Second

// queueOrder returns the queued requests in the order of the queue.
func queueOrder(queue *Queue[string]) (order []string) {
	for index := range queue.Len() {
		order = append(order, queue.At(index))
	}
	return order
}

func TestQueueOrdersByPriorityAndNewestFirst(t *testing.T) {
	var queue Queue[string]
	queue.Add("low", 1)
	queue.Add("high, oldest", 2)
	queue.Add("high, newest", 2)
	if got, want := queueOrder(&queue), []string{"high, newest", "high, oldest", "low"}; !slices.Equal(got, want) {
		t.Errorf("got queue %q, want %q", got, want)
	}
	queue.Remove("high, oldest")
	queue.Remove("never queued")
	if got, want := queueOrder(&queue), []string{"high, newest", "low"}; !slices.Equal(got, want) || queue.Len() != 2 {
		t.Errorf("got queue %q after removal, want %q", got, want)
	}
}

func TestTenantIsOverQuotaByItsShareOfRequests(t *testing.T) {
	var quotas Quotas
	quotas.Add(10)
	quotas.Add(30)
	small, large := quotas.Tenants()[0], quotas.Tenants()[1]
	over := map[*Tenant]int{}
	for range 100 { // equally many requests of both, with one and three quarters of the quotas
		for _, tenant := range quotas.Tenants() {
			if quotas.RecordRequest(tenant, start) {
				over[tenant]++
			}
		}
	}
	if over[small] != 90 || over[large] != 0 {
		t.Errorf("got %d and %d of 100 requests over quota, want 90 and 0: all but the first 10 of the small tenant", over[small], over[large])
	}
	if quotas.RecordRequest(small, start+time.Minute) {
		t.Error("requests still count after a minute")
	}
}

func TestArrivalRateIsAveragedSinceStartAtFirst(t *testing.T) {
	var rate ArrivalRate
	rate.Start(start)
	for now := start; now < start+2*time.Second; now += 10 * time.Millisecond {
		rate.Record(now)
	}
	if got := rate.PerSecond(start + 2*time.Second); math.Abs(got-100) > 5 {
		t.Errorf("got %.1f requests per second after 2 s, want 95 to 105", got)
	}
	if got := rate.PerSecond(start + 62*time.Second); got > 1 {
		t.Errorf("got %.1f requests per second after a minute without requests, want at most 1", got)
	}
}

func TestWindowCeilingIsTwiceTheObjectiveTimesTheRequestRate(t *testing.T) {
	demand := Demand{RequestsPerSecond: 10, LatencyObjective: 500 * time.Millisecond, MeanLatency: float64(100 * time.Millisecond)}
	window := NewConcurrencyWindow()
	started := 0
	for ; window.Allows(demand, start); started++ {
		window.AttemptStarted()
	}
	if started != 10 {
		t.Errorf("got %d attempts at once, want 10", started)
	}
	if window.AttemptAbandoned(); !window.Allows(demand, start) {
		t.Error("the window does not allow another attempt after one has ended")
	}
}

func TestWindowBelowOneAttemptPausesBetweenAttempts(t *testing.T) {
	demand := Demand{RequestsPerSecond: 1, LatencyObjective: 500 * time.Millisecond, MeanLatency: float64(100 * time.Millisecond)}
	window := NewConcurrencyWindow()
	window.Allows(demand, start)
	for range 20 {
		window.Decrease()
	}
	window.AttemptFinished(start)
	pause := 150 * time.Millisecond // the floor of 0.4 of an attempt: 1/0.4-1 mean latencies
	if window.Allows(demand, start+pause-time.Millisecond) || !window.Allows(demand, start+pause+time.Millisecond) {
		t.Error("the pause at the floor is not one and a half mean latencies")
	}
	for range 10 {
		window.Increase()
	}
	if !window.Allows(demand, start) {
		t.Error("the window does not grow after timely answers")
	}
}
