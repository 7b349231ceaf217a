package decision

import (
	"testing"
)

// Late answers of full endpoints must limit the attempts in flight at a gateway. Late answers of other endpoints must
// not, as they may be caused by the path. Found by the simulator benchmark, deployment rolls-east, day overload.
func TestLateAnswersOfFullEndpointsNarrowTheWindow(t *testing.T) {
	for _, utilization := range []float64{0.5, 1} {
		gateway := withEndpoints(newFleetGateway(5, PromoteByQuorum, 0, 100, 30), 8)
		for i := 0; i < 40; i++ {
			gateway.now += 500 * millisecond
			gateway.send(0, 0)
			for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
				gateway.balancer.LoadReported(attempt.endpoint, utilization, gateway.now)
			}
			gateway.answerAfter(900 * millisecond)
			gateway.tick()
		}
		gateway.answerAfter(0)
		gateway.send(0, 0)
		gateway.send(0, 0)
		if paused := len(gateway.inFlight) == 0; paused != (utilization == 1) {
			t.Errorf("late answers at utilization %v: got paused %v, want a pause only at utilization 1", utilization, paused)
		}
	}
}

// Guards against clients that send hundreds of requests at once and leave no capacity to those that send one at a time,
// as their requests have the higher weight: over half of the requests of the latter were rejected. Found by the second review.
func TestRequestsThatGoLastWaitBehindOthers(t *testing.T) {
	gateway := withEndpoints(newTestGateway(1, PromoteByAnyVote), 3)
	admit := func(op int, goesLast bool) *Request {
		return gateway.balancer.Admit(Arrival{OpType: gateway.opTypes[op], Remaining: second, GoesLast: goesLast}, gateway.now)
	}
	for weighty := range gateway.opTypes {
		last := admit(weighty, true)
		gateway.balancer.enqueue(last)
		for op := range gateway.opTypes {
			other := admit(op, false)
			gateway.balancer.enqueue(other)
			if got := gateway.balancer.admission.queue.At(0); got != other {
				t.Errorf("op types %d and %d: the request that goes last goes first", weighty, op)
			}
			gateway.balancer.dequeue(other)
		}
		gateway.balancer.dequeue(last)
	}
}
