package tuf

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"laurelring/internal/tuftest"
)

// largePath is a target of 4 MiB in blocks of 64 KiB.
const largePath = "drops/large"

func newLargeFixture(t *testing.T) *fixture {
	f := newFixture(t, true)
	data := make([]byte, 4<<20)
	for i := range data {
		data[i] = byte(i * i >> 7)
	}
	f.repo.AddTarget(metadata.TARGETS, largePath, data, 64<<10)
	f.repo.Publish()
	f.syncMirrors()
	return f
}

// A mirror that stalls in the middle of a target delays the fetch by the stall timeout and wastes part of one block,
// compared with three healthy mirrors.
func TestStalledMirrorDelaysFetchByStallTimeout(t *testing.T) {
	f := newLargeFixture(t)
	var totalDuration [2]time.Duration
	var totalBytes [2]int64
	stalledFetches := 0
	for i, fault := range []tuftest.Fault{nil, tuftest.StallAfter(2 << 20)} {
		f.mirrors[0].SetFault(tuftest.OnlyFor("large", orNoFault(fault)))
		for seed := range uint64(12) {
			c := f.newClient(seed)
			if got := f.refresh(c); got != 0 {
				t.Fatal(got)
			}
			_, usage, err := c.FetchTarget(context.Background(), largePath, 10*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			totalDuration[i] += usage.Duration
			totalBytes[i] += usage.Bytes
			if i == 1 && usage.Attempts > 1 {
				stalledFetches++
			}
		}
	}
	extraPerFetch := time.Duration(0)
	if stalledFetches > 0 {
		extraPerFetch = (totalDuration[1] - totalDuration[0]) / time.Duration(stalledFetches)
	}
	t.Logf("12 fetches of 4 MiB from 3 healthy mirrors: %v, %d bytes each; with one mirror that stalls at 2 MiB, used by %d fetches: %v and %d bytes more per affected fetch",
		(totalDuration[0] / 12).Round(time.Millisecond), totalBytes[0]/12, stalledFetches, extraPerFetch.Round(time.Millisecond), (totalBytes[1]-totalBytes[0])/int64(max(stalledFetches, 1)))
	if stalledFetches == 0 || extraPerFetch > f.poolLimits.StallTimeout+400*time.Millisecond || totalBytes[1]-totalBytes[0] > int64(stalledFetches)*(128<<10) {
		t.Errorf("%d fetches used the stalling mirror, want some; %v more per affected fetch, %d bytes more in total", stalledFetches, extraPerFetch, totalBytes[1]-totalBytes[0])
	}
}

// orNoFault returns the given fault, or for nil one that lets the mirror respond.
func orNoFault(fault tuftest.Fault) tuftest.Fault {
	if fault == nil {
		return func(http.ResponseWriter, *http.Request, string, []byte) bool { return false }
	}
	return fault
}

// Clients that refresh at the same time request few files: each requests all files at its first refresh, and only a
// root and a timestamp at the next.
func TestFleetLoadOnMirrors(t *testing.T) {
	const clients = 40
	f := newFixture(t, true)
	// Pauses of a busy machine must not count as stalls.
	f.poolLimits.StallTimeout, f.poolLimits.RateGracePeriod = 2*time.Second, 2*time.Second
	var fleet []*Client
	for i := range clients {
		fleet = append(fleet, f.newClient(uint64(i)))
	}
	// Round 0 fetches the timestamp, the snapshot and the targets, round 1 only the timestamp. Both request the next root,
	// which does not exist, from two mirrors: that makes 5 and 3 requests per client. The limit below is one more than
	// filesPerClient.
	for round, filesPerClient := range []int64{5, 2} {
		var requests, bytes, highest int64
		for _, m := range f.mirrors {
			requests, bytes = requests-m.Requests.Load(), bytes-m.BytesSent.Load()
		}
		var wait sync.WaitGroup
		start := time.Now()
		for _, c := range fleet {
			wait.Go(func() {
				if _, err := c.Refresh(context.Background(), 10*time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		took := time.Since(start)
		for _, m := range f.mirrors {
			requests, bytes = requests+m.Requests.Load(), bytes+m.BytesSent.Load()
			highest = max(highest, m.Requests.Load())
		}
		t.Logf("round %d: %d clients, %d requests, %d bytes, %v; the busiest mirror has had %d requests", round, clients, requests, bytes, took.Round(time.Millisecond), highest)
		if requests > filesPerClient*clients+clients {
			t.Errorf("round %d: got %d requests from %d clients, want at most 6 per client in round 0 and 3 in round 1", round, requests, clients)
		}
	}
}
