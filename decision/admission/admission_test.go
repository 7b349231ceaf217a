package admission

import (
	"math"
	"slices"
	"testing"
	"time"
)

const start = 100 * time.Second

func queued(queue *Queue[string]) (order []string) {
	for place := range queue.Len() {
		order = append(order, queue.At(place))
	}
	return order
}

func TestQueueOrdersByPriorityAndNewestFirst(t *testing.T) {
	var queue Queue[string]
	queue.Add("low", 1)
	queue.Add("high, oldest", 2)
	queue.Add("high, newest", 2)
	if got, want := queued(&queue), []string{"high, newest", "high, oldest", "low"}; !slices.Equal(got, want) {
		t.Errorf("queued are %q, want %q", got, want)
	}
	queue.Remove("high, oldest")
	queue.Remove("never queued")
	if got, want := queued(&queue), []string{"high, newest", "low"}; !slices.Equal(got, want) || queue.Len() != 2 {
		t.Errorf("queued are %q, want %q", got, want)
	}
}

func TestTenantIsOverItsQuotaByItsShareOfTheRequests(t *testing.T) {
	var quotas Quotas
	quotas.Add(10)
	quotas.Add(30)
	small, large := quotas.Tenants()[0], quotas.Tenants()[1]
	over := map[*Tenant]int{}
	for range 100 { // as many of both, of quotas of one quarter and three
		for _, tenant := range quotas.Tenants() {
			if quotas.RecordRequest(tenant, start) {
				over[tenant]++
			}
		}
	}
	if over[small] != 90 || over[large] != 0 {
		t.Errorf("%d and %d of 100 requests are over the quota, want all but the first 10 of the small tenant", over[small], over[large])
	}
	if quotas.RecordRequest(small, start+time.Minute) {
		t.Error("requests of a minute ago still count")
	}
}

func TestArrivalRateIsThatSinceTheStartAtFirst(t *testing.T) {
	var rate ArrivalRate
	rate.Start(start)
	for now := start; now < start+2*time.Second; now += 10 * time.Millisecond {
		rate.Record(now)
	}
	if got := rate.PerSecond(start + 2*time.Second); math.Abs(got-100) > 5 {
		t.Errorf("%.1f requests a second after 2 s, want 100", got)
	}
	if got := rate.PerSecond(start + 62*time.Second); got > 1 {
		t.Errorf("%.1f requests a second after a minute without any", got)
	}
}

func TestWindowHoldsTwiceTheObjectiveAtTheRateOfRequests(t *testing.T) {
	demand := Demand{RequestsPerSecond: 10, LatencyObjective: 500 * time.Millisecond, MeanLatency: float64(100 * time.Millisecond)}
	window := NewConcurrencyWindow()
	started := 0
	for ; window.Allows(demand, start); started++ {
		window.AttemptStarted()
	}
	if started != 10 {
		t.Errorf("%d attempts at once, want 10", started)
	}
	if window.AttemptAbandoned(); !window.Allows(demand, start) {
		t.Error("the place of an attempt that has ended is not free")
	}
}

func TestWindowBelowOneAttemptMakesAPause(t *testing.T) {
	demand := Demand{RequestsPerSecond: 1, LatencyObjective: 500 * time.Millisecond, MeanLatency: float64(100 * time.Millisecond)}
	window := NewConcurrencyWindow()
	window.Allows(demand, start)
	for range 20 {
		window.Decrease()
	}
	window.AttemptFinished(start)
	pause := 150 * time.Millisecond // the floor of 0.4 of an attempt: 1/0.4-1 mean latencies
	if window.Allows(demand, start+pause-time.Millisecond) || !window.Allows(demand, start+pause+time.Millisecond) {
		t.Error("no pause of one and a half mean latencies at the floor")
	}
	for range 10 {
		window.Increase()
	}
	if !window.Allows(demand, start) {
		t.Error("the window does not grow with answers in time")
	}
}
