package decision

import (
	"testing"
	"time"
)

func TestRetryIsAllowedIfEffectHappensAtMostOnce(t *testing.T) {
	const window = 2 * second
	sentAt := 1000 * second
	for name, c := range map[string]struct {
		idempotency Idempotency
		scope       DeduplicationScope
		executed    bool          // the earlier attempt may have executed
		zone, cell  int           // zone and cell of the endpoint of the retry; both are 1 for the earlier attempt
		age         time.Duration // time since the earlier attempt was sent
		want        bool
	}{
		"idempotent":                       {Idempotent, ScopeAll, true, 2, 2, 9 * second, true},
		"non-idempotent, executed":         {NonIdempotent, ScopeAll, true, 1, 1, 0, false},
		"non-idempotent, not executed":     {NonIdempotent, ScopeAll, false, 1, 1, 0, true},
		"by key, all endpoints":            {IdempotentByKey, ScopeAll, true, 2, 2, 1 * second, true},
		"by key, after the window":         {IdempotentByKey, ScopeAll, true, 1, 1, 2 * second, false},
		"by key, not executed, other cell": {IdempotentByKey, ScopeCell, false, 2, 2, 9 * second, true},
		"by key, same zone":                {IdempotentByKey, ScopeZone, true, 1, 2, 1 * second, true},
		"by key, other zone":               {IdempotentByKey, ScopeZone, true, 2, 1, 1 * second, false},
		"by key, same cell":                {IdempotentByKey, ScopeCell, true, 2, 1, 1 * second, true},
		"by key, other cell":               {IdempotentByKey, ScopeCell, true, 1, 2, 1 * second, false},
	} {
		t.Run(name, func(t *testing.T) {
			balancer := newTestGateway(1, PromoteByAnyVote).balancer
			request := &Request{opType: &OpType{idempotency: c.idempotency, dedupScope: c.scope, dedupWindow: window}}
			request.attempts = []*Attempt{{request: request, sentAt: sentAt, zone: 1, cell: 1, mayHaveExecuted: c.executed}}
			endpoint := &Endpoint{}
			endpoint.zone, endpoint.cell = c.zone, c.cell
			if got := balancer.repeatAllowed(request.opType, request.attempts, endpoint, sentAt+c.age); got != c.want {
				t.Errorf("repeatAllowed: got %t, want %t", got, c.want)
			}
		})
	}
}
