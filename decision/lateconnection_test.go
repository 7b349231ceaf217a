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
	if !gateway.balancer.MaySend(repeat, windowEnd-2*gateway.balancer.tick) {
		t.Error("a repeat may not be sent although endpoints still drop repeats")
	}
	if gateway.balancer.MaySend(repeat, windowEnd) {
		t.Error("a repeat may be sent although endpoints no longer drop repeats")
	}
}
