package main

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
)

var (
	soakSeeds     = flag.Int("soak.seeds", 12, "number of seeds that TestSoak runs")
	soakFirstSeed = flag.Uint64("soak.first", 1, "first seed that TestSoak runs")
)

const soakParallel = 4 // number of runs at a time

// TestSoak runs a gateway process under seeded disturbances: series of signals, stops, drains, a canary build that is
// rolled back, a burst of connections, a kill at the earliest time that the protocol page allows or without notice, and
// a restart at the same address, while clients keep using their connections. The audit checks each run only by what
// clients, endpoints, discovery and the rollout controller observed. `make soak SEEDS=50` runs more seeds.
func TestSoak(t *testing.T) {
	var mu sync.Mutex
	total := soakCounts{Broken: map[string]int{}}
	t.Run("seeds", func(t *testing.T) {
		limit := make(chan struct{}, soakParallel)
		for i := range *soakSeeds {
			seed := *soakFirstSeed + uint64(i)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				limit <- struct{}{}
				defer func() { <-limit }()
				run := newSoakRun(t, seed)
				run.execute()
				broken := run.history.audit()
				for _, broken := range broken {
					t.Errorf("seed %d: %s (go test ./cmd/gateway -run 'TestSoak$' -soak.seeds=1 -soak.first=%d)", seed, broken, seed)
				}
				run.fleet.LogIfFailed(1)
				mu.Lock()
				defer mu.Unlock()
				total.add(run.counts(broken))
			})
		}
	})
	t.Logf("%d seeds: %+v", *soakSeeds, total)
	t.Logf("broken rules: answer %d, effect %d, drain %d, cap %d", total.Broken["answer"], total.Broken["effect"],
		total.Broken["drain"], total.Broken["cap"])
	t.Logf("%d answers were late by no more than a gateway thread waited for a processor", total.LateByMachine)
	t.Logf("the gateway processes ran for %v and waited for a processor for %v, one thread for %v; the fake endpoints read a request up to %v after its arrival",
		total.Processor.Ran, total.Processor.Waited, total.LongestWait, total.EndpointLag)
	played := total.Seeds // without the seeds that -run excludes
	if played == 0 || total.Answered < 100*played || total.Attempts == 0 || total.Signals < 2*played || total.Restarts < played {
		t.Errorf("too few requests, attempts, signals or restarts: %+v", total)
	}
}

// soakCounts counts the events of soak runs and the results of their audits.
type soakCounts struct {
	Seeds, Signals, Stops, Restarts, Crowds     int // Crowds counts the connection bursts
	Requests, Answered, Served, Refused, Failed int
	Excused, Attempts, CanaryAttempts, Drains   int

	Broken      map[string]int         // number of violations by rule
	Processor   gatewaytest.ThreadTime // of the gateway processes, read just before they are ended
	LongestWait time.Duration          // longest total time that one thread waited for a processor
	// LateByMachine is the number of answers during connection bursts that were late by no more than the time that a
	// thread of the gateway waited for a processor.
	LateByMachine    int
	CapDeliveryDelay time.Duration // longest time from a lower cap's change to its delivery, as the gateway did not listen
	EndpointLag      time.Duration // longest time from an attempt's arrival at an endpoint until the endpoint read it
}

func (c *soakCounts) add(o soakCounts) {
	c.Seeds += o.Seeds
	c.Signals, c.Stops, c.Restarts, c.Crowds = c.Signals+o.Signals, c.Stops+o.Stops, c.Restarts+o.Restarts, c.Crowds+o.Crowds
	c.Requests, c.Answered, c.Served = c.Requests+o.Requests, c.Answered+o.Answered, c.Served+o.Served
	c.Refused, c.Failed, c.Excused = c.Refused+o.Refused, c.Failed+o.Failed, c.Excused+o.Excused
	c.Attempts, c.CanaryAttempts, c.Drains = c.Attempts+o.Attempts, c.CanaryAttempts+o.CanaryAttempts, c.Drains+o.Drains
	for rule, n := range o.Broken { // the order does not matter, as each rule has its own sum
		c.Broken[rule] += n
	}
	c.Processor.Ran += o.Processor.Ran
	c.Processor.Waited += o.Processor.Waited
	c.LongestWait = max(c.LongestWait, o.LongestWait)
	c.LateByMachine += o.LateByMachine
	c.CapDeliveryDelay = max(c.CapDeliveryDelay, o.CapDeliveryDelay)
	c.EndpointLag = max(c.EndpointLag, o.EndpointLag)
}

// counts returns the counts of a run, with its violations by rule.
func (run *soakRun) counts(broken []string) soakCounts {
	c := soakCounts{Seeds: 1, Broken: map[string]int{}, Processor: run.processorTime.Sum(), LongestWait: run.processorTime.LongestWait(),
		LateByMachine: run.history.lateByProcessorWait(), CapDeliveryDelay: run.capDeliveryDelay, Signals: run.signals, Stops: len(run.history.stops), Restarts: len(run.history.processes) - 1, Crowds: run.bursts,
		Requests: len(run.history.requests), Attempts: len(run.history.attempts), Drains: len(run.history.drains)}
	for _, request := range run.history.requests {
		switch {
		case request.excused:
			c.Excused++
			continue
		case strings.HasPrefix(request.answer, "$"):
			c.Served++
		case strings.HasPrefix(request.answer, "-BUSY"):
			c.Refused++
		default:
			c.Failed++
		}
		c.Answered++
	}
	for _, attempt := range run.history.attempts {
		if attempt.canary {
			c.CanaryAttempts++
		}
		c.EndpointLag = max(c.EndpointLag, attempt.HandledAt.Sub(attempt.At))
	}
	for _, text := range broken {
		rule, _, _ := strings.Cut(text, ":")
		c.Broken[rule]++
	}
	return c
}
