package decision

import (
	"testing"
)

func TestFinalAnswerFollowsWhetherTheRequestMayHaveExecuted(t *testing.T) {
	gateway := withEndpoints(newTestGateway(1, PromoteByAnyVote), 3)
	// An at-most-once command that may have run fails; one that proves unrun goes out again, and is nacked at
	// the end.
	once := gateway.send(2, 0)
	gateway.finish(once.attempts[0], OutcomeConnectionLost)
	if !once.completed || gateway.lastDecision.Action != ActionFail {
		t.Fatalf("a broken at-most-once delivery gave %v, want a failure", gateway.lastDecision.Action)
	}
	again := gateway.send(2, 0)
	gateway.finish(again.attempts[0], OutcomeRejected)
	if again.completed || gateway.lastDecision.Action != ActionForward {
		t.Fatalf("an at-most-once delivery that never ran gave %v, want another", gateway.lastDecision.Action)
	}
	// A further delivery only if the time left exceeds the time it is expected to take.
	late := gateway.send(0, 0)
	gateway.now = late.deadline - 20*millisecond
	gateway.finish(late.attempts[0], OutcomeError)
	if !late.completed || gateway.lastDecision.Action != ActionReject || gateway.lastDecision.RetryAfter <= 0 {
		t.Fatalf("a command without time gave %v, want a nack with a time to come back", gateway.lastDecision)
	}
}
