package decision

import (
	"testing"
)

// A repeat of a request that is idempotent by key waits for its connection until endpoints have begun to forget the
// first attempt. Guards against an effect that happens twice: the deduplication window was looked at only before the
// wait.
func TestWaitingRepeatIsNotSentAfterDeduplicationWindow(t *testing.T) {
	gateway := newTestGateway(5, PromoteByAnyVote)
	gateway.addEndpoints(1, 0, 1)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 1, Phase: PhaseReleased, ExposureCap: 1}, gateway.now)
	request := gateway.send(1, 0)
	firstSentAt := gateway.now
	gateway.now += 200 * millisecond
	gateway.finish(request.Attempt(0), OutcomeConnectionLost)
	for i := 0; i < 100 && request.Attempt(1) == nil; i++ {
		gateway.now += 5 * millisecond
		gateway.tick()
	}
	repeat := request.Attempt(1)
	if repeat == nil {
		t.Fatal("the request was not repeated")
	}
	windowEnd := firstSentAt + request.opType.dedupWindow
	if !gateway.balancer.AttemptConnected(repeat, windowEnd-2*gateway.balancer.tick) {
		t.Error("a repeat may not be sent although endpoints still drop repeats")
	}
	if gateway.balancer.AttemptConnected(repeat, windowEnd) {
		t.Error("a repeat may be sent although endpoints no longer drop repeats")
	}
}

// Attempts at the canary build wait for their connections and are then sent together. Guards against an exposure above
// the cap: attempts were counted from their decision, so the window forgot them before the endpoint's did.
func TestAttemptCountsAgainstExposureCapFromWhenItIsSent(t *testing.T) {
	const requests, exposureCap, wait = 20, 0.5, 400 * millisecond
	gateway := newTestGateway(5, PromoteByAnyVote)
	gateway.addEndpoints(4, 0, 1)
	gateway.addEndpoints(1, 0, 2)
	gateway.balancer.RolloutChanged(RolloutStatus{Build: 2, Stage: 1, Phase: PhaseCanary, ExposureCap: exposureCap}, gateway.now)
	startAttempts := func() (started []*Attempt) {
		for range requests {
			request := gateway.balancer.Admit(Arrival{OpType: gateway.opTypes[0], Remaining: 3 * second}, gateway.now)
			if decided := gateway.balancer.startAttempt(request, gateway.endpoints[4], gateway.now); decided.Action == ActionForward {
				started = append(started, decided.Attempt)
			}
		}
		return started
	}
	decidedAt := gateway.now
	waiting := startAttempts()
	if limit := testAllowance + exposureCap*requests; len(waiting) != int(limit) {
		t.Fatalf("got %d attempts, want the %v that the cap allows", len(waiting), limit)
	}
	gateway.now = decidedAt + wait
	sent := 0
	for _, attempt := range waiting {
		if gateway.balancer.AttemptConnected(attempt, gateway.now) {
			sent++
		}
	}
	if sent != len(waiting) {
		t.Errorf("%d of %d attempts were sent after their wait, want all", sent, len(waiting))
	}
	gateway.now = decidedAt + testWindow + 2*gateway.balancer.tick // the window still holds the attempts, but no request from their time
	sent += len(startAttempts())
	if limit := testAllowance + exposureCap*requests; sent > int(limit) {
		t.Errorf("%d attempts were sent within the window, want at most %v", sent, limit)
	}
}

// An endpoint restarts, with its build, while an attempt waits for its connection. Guards against more requests at an
// endpoint that has just started than slow start allows: the attempt was decided, and counted, for the earlier process.
func TestWaitingAttemptIsNotAllowedAfterRestartOfItsEndpoint(t *testing.T) {
	gateway := withEndpoints(newTestGateway(5, PromoteByAnyVote), 1)
	attempt := gateway.send(0, 0).Attempt(0)
	gateway.now += 100 * millisecond
	if !gateway.balancer.AttemptAllowed(attempt, gateway.now) {
		t.Fatal("a waiting attempt is not allowed although nothing has changed")
	}
	gateway.balancer.UpdateEndpoint(gateway.endpoints[0],
		EndpointStatus{Ready: true, Present: true, Build: 1, Size: 2, StartedAt: gateway.now}, gateway.now)
	gateway.balancer.CommitEndpointList(false, gateway.now)
	if gateway.balancer.AttemptAllowed(attempt, gateway.now) {
		t.Error("a waiting attempt is allowed although its endpoint has restarted")
	}
}
