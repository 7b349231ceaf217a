package decision

import (
	"testing"
)

func TestFinalAnswerDependsOnWhetherRequestMayHaveExecuted(t *testing.T) {
	gateway := withEndpoints(newTestGateway(1, PromoteByAnyVote), 3)
	// A non-idempotent request fails if it may have executed. If it certainly has not executed, it is retried, and
	// rejected at the end.
	lost := gateway.send(2, 0)
	gateway.finish(lost.attempts[0], OutcomeConnectionLost)
	if !lost.completed || gateway.lastDecision.Action != ActionFail {
		t.Fatalf("non-idempotent request with a lost connection: got action %v, want fail", gateway.lastDecision.Action)
	}
	rejected := gateway.send(2, 0)
	gateway.finish(rejected.attempts[0], OutcomeRejected)
	if rejected.completed || gateway.lastDecision.Action != ActionForward {
		t.Fatalf("non-idempotent request, not executed: got action %v, want forward", gateway.lastDecision.Action)
	}
	// A request is retried only if the remaining time exceeds the expected duration of the retry.
	tooLate := gateway.send(0, 0)
	gateway.now = tooLate.deadline - 20*millisecond
	gateway.finish(tooLate.attempts[0], OutcomeError)
	if !tooLate.completed || gateway.lastDecision.Action != ActionReject || gateway.lastDecision.RetryAfter <= 0 {
		t.Fatalf("request with too little time left: got %v, want reject with a Retry-After", gateway.lastDecision)
	}
}

// Guards against attempts that begin after their client has left unnoticed: once its connection is not read any further,
// a request gets no attempt, neither from the queue, nor as a retry, nor one that waits for its connection.
func TestStopAttempts(t *testing.T) {
	gateway := withEndpoints(newTestGateway(1, PromoteByAnyVote), 3)
	retried := gateway.send(0, 0)
	if got := gateway.balancer.StopAttempts(retried, gateway.now); got.Action != ActionNone {
		t.Errorf("attempt in flight: got action %v, want none", got.Action)
	}
	if gateway.balancer.AttemptAllowed(retried.attempts[0], gateway.now) {
		t.Error("an attempt that waits for its connection may be sent")
	}
	gateway.finish(retried.attempts[0], OutcomeConnectFailed)
	if got := gateway.lastDecision; got.Action != ActionReject || got.Reason != ReasonAttemptsStopped {
		t.Errorf("after a failed attempt: got %v, want a rejection", got)
	}
	waiting := gateway.balancer.Admit(Arrival{OpType: gateway.opTypes[0], Remaining: second}, gateway.now)
	gateway.balancer.enqueue(waiting)
	if got := gateway.balancer.StopAttempts(waiting, gateway.now); got.Action != ActionReject || gateway.balancer.QueueLength() > 0 {
		t.Errorf("queued request: got %v and %d queued, want a rejection and 0", got, gateway.balancer.QueueLength())
	}
}
