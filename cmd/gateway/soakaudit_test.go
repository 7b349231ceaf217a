package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
)

// Bounds of the rules. They come from the protocol page.
const (
	answerSlack       = 550 * time.Millisecond // up to 500 ms late, an answer only has no value; each bound adds 50 ms
	drainSlack        = 50 * time.Millisecond
	sendDelaySlack    = 150 * time.Millisecond // a gateway may be held up between reading its clock and a write
	capBindingDelay   = 200 * time.Millisecond // a lower cap takes effect after 150 ms; each bound adds 50 ms
	capExtraAttempts  = 2                      // tolerated attempts above the cap
	capExtraShare     = 0.04                   // tolerated share above the cap
	exposureWindow    = 4 * time.Second        // window_ms of the settings
	exposureAllowance = 3                      // allowance of the settings
)

// history is what the clients, the endpoints, discovery and the rollout controller of one soak run observed. It
// contains nothing that the gateway reports about itself.
type history struct {
	requests      []clientRequest
	attempts      []endpointAttempt
	drains        []drain
	caps          []capChange
	processes     []processLifetime
	sigterms      []time.Time // when SIGTERM was sent
	stops         []interval
	processorWait []processorWait
	kill          interval // from the call of a kill without notice until the process has ended, zero if there was none
}

// clientRequest is a request as observed by its client.
type clientRequest struct {
	id       string
	write    bool // not idempotent
	sentAt   time.Time
	timeout  time.Duration // how long the client waits
	answer   string        // the first line of the answer, empty if there was none
	answerAt time.Time     // when the answer arrived or the client gave up
	openedAt time.Time     // when its connection was opened, the last one if there were two
	err      error         // how its connection ended, if there was no answer
	excused  bool          // never accepted, or held by a process that was killed without notice
}

// endpointAttempt is an attempt as observed by an endpoint.
type endpointAttempt struct {
	gatewaytest.Arrival
	endpoint string
	canary   bool
}

// drain is a drain of an endpoint, as discovery wrote it.
type drain struct {
	endpoint  string
	writtenAt []time.Time // when it was first written to each gateway process that received it
	readyAt   time.Time   // when the endpoint was listed as ready again, zero if it was not
}

// capChange is a change of the exposure cap, as the rollout controller set it.
type capChange struct {
	at     time.Time
	share  float64
	status string // the rollout status with this cap, as written
}

// processLifetime is the lifetime of one gateway process.
type processLifetime struct{ began, ended time.Time }

// interval is an interval of time, such as a stop of the gateway process.
type interval struct{ from, to time.Time }

// processorWait is the longest time that one thread of the gateway waited for a processor during an interval, by the
// kernel's schedstat.
type processorWait struct {
	interval
	longest time.Duration
}

// audit returns all violations of the rules, each with the name of its rule as prefix.
func (h *history) audit() (broken []string) {
	broken = append(broken, h.auditAnswers()...)
	broken = append(broken, h.auditEffects()...)
	broken = append(broken, h.auditDrains()...)
	return append(broken, h.auditCap()...)
}

// excuseKilledRequests excuses the requests that a kill without notice left unanswered: requests that were sent before
// the process had ended and whose connections ended after the call of the kill.
func (h *history) excuseKilledRequests() {
	for i := range h.requests {
		request := &h.requests[i]
		if request.answer == "" && request.sentAt.Before(h.kill.to) && request.answerAt.After(h.kill.from) {
			request.excused = true
		}
	}
}

// applyCapDelivery moves the time of each change to a lower cap to its delivery: when it was first written to the
// gateway, or earlier, when a process started that was configured with it. written returns when a status was first
// written to the gateway and whether it was. The result is the longest delay from a change to its delivery.
func (h *history) applyCapDelivery(written func(status string) (time.Time, bool)) (longestDelay time.Duration) {
	for i := range h.caps {
		change := &h.caps[i]
		if i == 0 || change.share >= h.caps[i-1].share {
			continue
		}
		deliveredAt, ok := written(change.status)
		for _, process := range h.processes {
			if process.began.After(change.at) && (!ok || process.began.Before(deliveredAt)) {
				deliveredAt, ok = process.began, true
			}
		}
		if ok && deliveredAt.After(change.at) {
			longestDelay = max(longestDelay, deliveredAt.Sub(change.at))
			change.at = deliveredAt
		}
	}
	return longestDelay
}

// auditAnswers checks that each request got one final answer within its client's timeout and answerSlack. The time for
// which the process was stopped is added, as it cannot answer then, and so is the time that a thread of it is known to
// have waited for a processor.
func (h *history) auditAnswers() (broken []string) {
	for _, request := range h.requests {
		waited := request.answerAt.Sub(request.sentAt) - h.stoppedDuring(request.sentAt, request.answerAt)
		switch {
		case request.excused:
		case request.answer == "":
			broken = append(broken, fmt.Sprintf("answer: request %s got no answer within %v: %v; its connection was opened %v before the request and %v after SIGTERM",
				request.id, waited, request.err, request.sentAt.Sub(request.openedAt), h.sinceSIGTERM(request.openedAt)))
		case waited > request.timeout+answerSlack+h.longestProcessorWait(request.sentAt, request.answerAt):
			broken = append(broken, fmt.Sprintf("answer: request %s was answered after %v, with a timeout of %v", request.id, waited, request.timeout))
		}
	}
	return broken
}

// longestProcessorWait returns the longest time that a thread of the gateway waited for a processor in any measured
// interval that overlaps the given one.
func (h *history) longestProcessorWait(from, to time.Time) (longest time.Duration) {
	for _, wait := range h.processorWait {
		if wait.from.Before(to) && wait.to.After(from) {
			longest = max(longest, wait.longest)
		}
	}
	return longest
}

// lateByProcessorWait returns the number of answers that pass the audit only because of the added processor wait.
func (h *history) lateByProcessorWait() (late int) {
	strict := *h
	strict.processorWait = nil
	return len(strict.auditAnswers()) - len(h.auditAnswers())
}

// sinceSIGTERM returns the time from the last SIGTERM before a moment to that moment, or 0 if there was none.
func (h *history) sinceSIGTERM(at time.Time) time.Duration {
	for _, term := range slices.Backward(h.sigterms) {
		if at.After(term) {
			return at.Sub(term)
		}
	}
	return 0
}

// stoppedDuring returns for how long the process was stopped between two moments.
func (h *history) stoppedDuring(from, to time.Time) (stopped time.Duration) {
	for _, stop := range h.stops {
		begin, end := stop.from, stop.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		stopped += max(0, end.Sub(begin))
	}
	return stopped
}

// auditEffects checks that no non-idempotent request ran twice, and that no non-idempotent request that was rejected
// with -BUSY, which promises that it did not run, ran at all.
func (h *history) auditEffects() (broken []string) {
	executions := map[string]int{}
	for _, attempt := range h.attempts {
		if attempt.Write && attempt.Executed {
			executions[attempt.ID]++
		}
	}
	for _, request := range h.requests {
		if n := executions[request.id]; n > 1 {
			broken = append(broken, fmt.Sprintf("effect: request %s ran %d times", request.id, n))
		} else if n > 0 && len(request.answer) >= 5 && request.answer[:5] == "-BUSY" {
			broken = append(broken, fmt.Sprintf("effect: request %s was rejected with -BUSY but ran", request.id))
		}
	}
	return broken
}

// auditDrains checks that no attempt arrived at a draining endpoint after the grace period, counted from when discovery
// wrote the drain to the process that sent the attempt.
func (h *history) auditDrains() (broken []string) {
	for _, drain := range h.drains {
		for _, writtenAt := range drain.writtenAt {
			bound := writtenAt.Add(drainGrace + drainSlack + sendDelaySlack)
			for _, attempt := range h.attempts {
				if attempt.endpoint == drain.endpoint && attempt.At.After(bound) && h.processAt(attempt.At) == h.processAt(writtenAt) &&
					(drain.readyAt.IsZero() || attempt.At.Before(drain.readyAt)) {
					broken = append(broken, fmt.Sprintf("drain: request %s arrived at %s at %v, %v after the drain was written, and was handled %v later",
						attempt.ID, attempt.endpoint, attempt.At.Format(time.StampMicro), attempt.At.Sub(writtenAt), attempt.HandledAt.Sub(attempt.At)))
				}
			}
		}
	}
	return broken
}

// processAt returns the index of the last process that was started by a moment, or -1 if there was none.
func (h *history) processAt(at time.Time) int {
	for i, process := range slices.Backward(h.processes) {
		if !at.Before(process.began) {
			return i
		}
	}
	return -1
}

// auditCap checks that in each window the number of attempts at the canary build is at most the highest cap of the
// window times the number of requests, plus the tolerances, and that none arrives while the cap is 0.
func (h *history) auditCap() (broken []string) {
	for _, last := range h.attempts {
		if !last.canary {
			continue
		}
		began := last.At.Add(-exposureWindow)
		if process := h.processes[max(0, h.processAt(last.At))]; began.Before(process.began) {
			began = process.began
		}
		attempts, requests := 0, 0
		for _, attempt := range h.attempts {
			if attempt.canary && !attempt.At.Before(began) && !attempt.At.After(last.At) {
				attempts++
			}
		}
		for _, request := range h.requests {
			if !request.sentAt.Before(began) && !request.sentAt.After(last.At) {
				requests++
			}
		}
		share := h.highestCap(began, last.At)
		allowed := exposureAllowance + capExtraAttempts + (share+capExtraShare)*float64(requests)
		if h.highestCap(last.At.Add(-capBindingDelay-h.stoppedDuring(last.At.Add(-time.Second), last.At)), last.At) <= 0 {
			broken = append(broken, fmt.Sprintf("cap: request %s arrived at the canary build while the cap was 0, at %v, %v after the last cap change, and was handled %v later",
				last.ID, last.At.Format(time.StampMicro), last.At.Sub(h.caps[len(h.caps)-1].at), last.HandledAt.Sub(last.At)))
		} else if float64(attempts) > allowed {
			broken = append(broken, fmt.Sprintf("cap: %d attempts at the canary build for %d requests, at most %.0f allowed",
				attempts, requests, allowed))
		}
	}
	return broken
}

// highestCap returns the highest cap that was in effect at any moment between two.
func (h *history) highestCap(from, to time.Time) (share float64) {
	for i, change := range h.caps {
		over := i+1 < len(h.caps) && !h.caps[i+1].at.After(from)
		if !over && !change.at.After(to) {
			share = max(share, change.share)
		}
	}
	return share
}

// A history without faults passes the audit, and a fault that is injected into it is reported as a violation of its
// rule.
func TestAuditDetectsInjectedFaults(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	attempt := func(id, endpoint string, arrival int, canary bool) endpointAttempt {
		return endpointAttempt{endpoint: endpoint, canary: canary,
			Arrival: gatewaytest.Arrival{At: at(arrival), ID: id, Write: true, Executed: true}}
	}
	valid := func() *history {
		return &history{
			requests:  []clientRequest{{id: "1", write: true, sentAt: at(0), timeout: 300 * time.Millisecond, answer: "$1\r\n", answerAt: at(200)}},
			attempts:  []endpointAttempt{attempt("1", "s-1", 10, false)},
			drains:    []drain{{endpoint: "s-2", writtenAt: []time.Time{at(100)}}},
			caps:      []capChange{{at: at(-10), share: 0.5}, {at: at(1000), share: 0, status: "recalled"}},
			processes: []processLifetime{{began: at(-20)}},
		}
	}
	if broken := valid().audit(); len(broken) > 0 {
		t.Errorf("valid history: got violations %v, want none", broken)
	}
	for _, test := range []struct {
		name, want string
		inject     func(h *history)
	}{
		{"no answer", "answer", func(h *history) { h.requests[0].answer = "" }},
		{"late answer", "answer", func(h *history) { h.requests[0].answerAt = at(900) }},
		{"request executed twice", "effect", func(h *history) { h.attempts = append(h.attempts, attempt("1", "s-1", 50, false)) }},
		{"rejected request that ran", "effect", func(h *history) { h.requests[0].answer = "-BUSY 100\r\n" }},
		{"attempt after a drain", "drain", func(h *history) { h.attempts = append(h.attempts, attempt("2", "s-2", 1400, false)) }},
		{"attempt at a cap of 0", "cap", func(h *history) { h.attempts = append(h.attempts, attempt("2", "s-3", 1300, true)) }},
		{"attempts above the cap", "cap", func(h *history) {
			for i := range 7 {
				h.attempts = append(h.attempts, attempt(fmt.Sprint(10+i), "s-3", 20+i, true))
			}
		}},
	} {
		injected := valid()
		test.inject(injected)
		broken := injected.audit()
		if len(broken) == 0 || !strings.HasPrefix(broken[0], test.want+":") {
			t.Errorf("%s: got violations %v, want one of its rule", test.name, broken)
		}
	}
	for _, test := range []struct {
		name          string
		sentAt, endAt int
		excused       bool
	}{
		{"lost 1 ms before the call of the kill", 0, 199, false},
		{"lost while the process is killed", 0, 205, true},
		{"sent and lost before the process has ended", 215, 218, true},
		{"sent after the process has ended", 221, 223, false},
	} {
		killed := valid()
		killed.requests[0].answer, killed.requests[0].sentAt, killed.requests[0].answerAt = "", at(test.sentAt), at(test.endAt)
		killed.kill = interval{at(200), at(220)}
		killed.excuseKilledRequests()
		if excused := len(killed.audit()) == 0; excused != test.excused {
			t.Errorf("%s: got excused %t, want the opposite", test.name, excused)
		}
	}
	for _, test := range []struct {
		name          string
		processorWait processorWait
		passes        bool
	}{
		{"late by less than the processor wait", processorWait{interval{at(100), at(700)}, 60 * time.Millisecond}, true},
		{"late by more than the processor wait", processorWait{interval{at(100), at(700)}, 40 * time.Millisecond}, false},
		{"late outside the interval of the processor wait", processorWait{interval{at(901), at(1700)}, 60 * time.Millisecond}, false},
	} {
		late := valid()
		late.requests[0].answerAt = at(900)
		late.processorWait = []processorWait{test.processorWait}
		if passes := len(late.audit()) == 0; passes != test.passes || passes != (late.lateByProcessorWait() == 1) {
			t.Errorf("%s: passes %t with %d answers late by processor wait", test.name, passes, late.lateByProcessorWait())
		}
	}
	for _, test := range []struct {
		name    string
		arrival int
		passes  bool
	}{{"attempt before a cap of 0 is delivered", 1400, true}, {"attempt after a cap of 0 is delivered", 1800, false}} {
		late := valid()
		late.applyCapDelivery(func(string) (time.Time, bool) { return at(1500), true })
		late.attempts = append(late.attempts, attempt("2", "s-3", test.arrival, true))
		if passes := len(late.audit()) == 0; passes != test.passes {
			t.Errorf("%s: got passes %t, want the opposite", test.name, passes)
		}
	}
	stopped := valid()
	stopped.requests[0].answerAt = at(900)
	stopped.stops = []interval{{at(250), at(350)}}
	if broken := stopped.audit(); len(broken) > 0 {
		t.Errorf("answer that is late because of a stop: got violations %v, want none", broken)
	}
}
