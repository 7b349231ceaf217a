package reclaim

import (
	"slices"
	"testing"
	"time"
)

var (
	usual       = Connection{Activity: Resting, Idle: time.Second, Answered: true}
	usualBusy   = Connection{Activity: Busy, Pending: 1, Answered: true}
	newBusy     = Connection{Activity: Busy, Pending: 1}
	pipelining  = Connection{Activity: Busy, Pending: 2, Answered: true}
	misbehaving = Connection{Activity: Resting, Misbehaving: true}
	stalled     = Connection{Activity: Stalled}
	silent      = Connection{Activity: Silent, Idle: FirstRequestTimeout}
	silentShort = Connection{Activity: Silent, Idle: 2 * MinIdle}
)

// Misbehaving clients make room first, and usual ones only while they hold most of the slots.
func TestCandidates(t *testing.T) {
	slots := Slots{Count: 4, MinResting: MinIdle, KeepUsual: true}
	recent := usual
	recent.Idle = MinIdle - 1
	for _, test := range []struct {
		name        string
		connections []Connection
		slots       Slots
		want        []int
	}{
		{"order", []Connection{usual, stalled, silent, misbehaving}, Slots{Count: 9, KeepUsual: true}, []int{3, 2, 1, 0}},
		{"usual clients alone", []Connection{usual, usualBusy, usual, recent}, slots, []int{0, 2}},
		{"usual clients hold most slots", []Connection{usual, usualBusy, usual, newBusy}, slots, []int{0, 2}},
		{"others hold half of the slots", []Connection{usual, usualBusy, pipelining, newBusy}, slots, nil},
		{"a misbehaving one rests", []Connection{usual, misbehaving, pipelining, newBusy}, slots, []int{1}},
		{"usual clients are not kept", []Connection{usual, usualBusy, pipelining, newBusy}, Slots{Count: 4}, []int{0}},
		{"no silent crowd", []Connection{silentShort, usualBusy, usualBusy, usualBusy}, slots, nil},
		{"silent crowd", []Connection{silentShort, silentShort, usualBusy, usual}, slots, []int{0, 1}},
		{"slow crowd", []Connection{silentShort, silentShort, usualBusy, usual},
			Slots{Count: 4, KeepUsual: true, FirstRequestDelay: 3 * MinIdle}, nil},
	} {
		var got []int
		for _, candidate := range Candidates(test.connections, test.slots) {
			got = append(got, candidate.Index)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got candidates %v, want %v", test.name, got, test.want)
		}
	}
}

// Only connections that rest count, and misbehaving ones go first.
func TestExcessResting(t *testing.T) {
	connections := []Connection{usualBusy, usual, pipelining, usual, misbehaving, silent}
	for limit, want := range [][]int{{4, 1, 3}, {4, 1}, {4}, nil, nil} {
		if got := ExcessResting(connections, limit); !slices.Equal(got, want) {
			t.Errorf("limit %d: got %v, want %v", limit, got, want)
		}
	}
}

// Slow clients extend the time of new connections for a while, within a bound.
func TestFirstRequestDelay(t *testing.T) {
	var delay FirstRequestDelay
	now := time.Unix(1, 0)
	if got := delay.Bound(now); got != 0 {
		t.Errorf("got a bound of %v before any delay was recorded, want 0", got)
	}
	delay.Record(100*time.Millisecond, now)
	delay.Record(10*time.Millisecond, now)
	if got, want := delay.Bound(now), 200*time.Millisecond; got != want {
		t.Errorf("got a bound of %v, want %v: twice the longest", got, want)
	}
	delay.Record(time.Second, now)
	if got := delay.Bound(now); got != maxFirstRequestDelay {
		t.Errorf("got a bound of %v, want at most %v", got, maxFirstRequestDelay)
	}
	if got := delay.Bound(now.Add(firstRequestMemory + 1)); got != 0 {
		t.Errorf("got a bound of %v after the delays were outdated, want 0", got)
	}
}
