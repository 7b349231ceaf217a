package routing

import (
	"context"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// Guards against goroutines that block forever after the router has ended. A sender that waits until its event is
// processed, as with an endpoint list, blocked at once, and any other sender when the queue was full. A request that
// arrived after the end was never answered. The process of a gateway ends soon after its router, but a program that
// embeds the library keeps the blocked goroutines.
func TestEventsAfterRouterEndDoNotBlock(t *testing.T) {
	env := newFixture(t, 1)
	ended, stop := context.WithCancel(context.Background())
	stop()
	env.router.Run(ended)
	client := &testClient{env: env, deadline: env.now + time.Second}
	for name, post := range map[string]func(){
		"endpoint list":    func() { env.router.EndpointListReceived(EndpointListUpdate{List: &protocol.EndpointList{}}) },
		"rollout status":   func() { env.router.RolloutStatusReceived(decision.RolloutStatus{}) },
		"vote answered":    func() { env.router.VoteAnswered(decision.OutcomeSuccess) },
		"datagram":         func() { env.router.DatagramReceived(1, nil) },
		"discovery failed": func() { env.router.DiscoveryFailed(nil) },
		"response started": func() { env.router.DiscoveryResponseStarted() },
		"discovery moved":  func() { env.router.DiscoveryMoved() },
		"build verified":   func() { env.router.BuildVerified(1, true) },
		"shutdown":         func() { env.router.ShutdownWithin(time.Second) },
		"disconnected":     func() { env.router.ClientDisconnected(client) },
		"request": func() {
			env.router.RequestArrived(protocol.Request{OpType: env.opTypes[0]}, &testClient{env: env, deadline: env.now})
		},
	} {
		if !returnsInTime(func() {
			for range eventQueueSize + 1 {
				post()
			}
		}) {
			t.Errorf("%s: posting the event blocks", name)
		}
	}
	late := protocol.Request{OpType: env.opTypes[0]}
	if !returnsInTime(func() { env.router.RequestArrived(late, client) }) || client.answers != 1 {
		t.Errorf("request after the router has ended: got %d answers, want 1", client.answers)
	}
}

// returnsInTime reports whether a function returns within 2 s.
func returnsInTime(function func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		function()
	}()
	select {
	case <-done:
		return true
	case <-time.After(2 * time.Second):
		return false
	}
}
