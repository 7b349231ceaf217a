package transport

import (
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
	"laurelring/internal/seededrand"
)

func TestRejectsIncompleteConfiguration(t *testing.T) {
	budget, log, random := NewDescriptorBudget(reservedDescriptors+4), &RateLimitedLog{}, seededrand.New(1)
	server := func(change func(*ClientServerConfig)) error {
		config := ClientServerConfig{Budget: budget, Log: log, MaxRequestBytes: 1, MaxRemaining: time.Second,
			OnRequest: func(protocol.Request, *PendingResponse) {}, OnDisconnect: func(*PendingResponse) {}}
		change(&config)
		_, err := NewClientServer(config)
		return err
	}
	pool := func(change func(*EndpointPoolConfig)) error {
		config := EndpointPoolConfig{Budget: budget, Log: log, ConnectTimeout: time.Second, IdleTimeout: time.Second}
		change(&config)
		_, err := NewEndpointPool(config)
		return err
	}
	discovery := func(change func(*DiscoveryClientConfig)) error {
		config := DiscoveryClientConfig{MaxWait: time.Second, Random: random, OnListStart: func() {},
			OnList: func([]byte, bool) (int64, error) { return 0, nil }, OnFailure: func(error) {}}
		change(&config)
		_, err := NewDiscoveryClient(config)
		return err
	}
	rollout := func(change func(*RolloutClientConfig)) error {
		config := RolloutClientConfig{VoteTimeout: time.Second, Random: random,
			OnStatus: func(decision.RolloutStatus) {}, OnVoteResult: func(decision.Outcome) {},
			OnConnected: func(string) {}, OnDisconnected: func(string, error) {}}
		change(&config)
		_, err := NewRolloutClient(config)
		return err
	}
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"complete server":           {server(func(*ClientServerConfig) {}), false},
		"server without budget":     {server(func(c *ClientServerConfig) { c.Budget = nil }), true},
		"server without callback":   {server(func(c *ClientServerConfig) { c.OnRequest = nil }), true},
		"server, negative limit":    {server(func(c *ClientServerConfig) { c.MaxRequestBytes = -1 }), true},
		"complete pool":             {pool(func(*EndpointPoolConfig) {}), false},
		"pool without log":          {pool(func(c *EndpointPoolConfig) { c.Log = nil }), true},
		"pool, negative timeout":    {pool(func(c *EndpointPoolConfig) { c.IdleTimeout = -1 }), true},
		"complete discovery client": {discovery(func(*DiscoveryClientConfig) {}), false},
		"discovery without random":  {discovery(func(c *DiscoveryClientConfig) { c.Random = nil }), true},
		"discovery, negative wait":  {discovery(func(c *DiscoveryClientConfig) { c.MaxWait = -1 }), true},
		"discovery, no callback":    {discovery(func(c *DiscoveryClientConfig) { c.OnList = nil }), true},
		"complete rollout client":   {rollout(func(*RolloutClientConfig) {}), false},
		"rollout without callback":  {rollout(func(c *RolloutClientConfig) { c.OnVoteResult = nil }), true},
		"rollout, negative timeout": {rollout(func(c *RolloutClientConfig) { c.VoteTimeout = -1 }), true},
	} {
		t.Run(name, func(t *testing.T) {
			if (test.err != nil) != test.want {
				t.Errorf("got error %v, want one: %t", test.err, test.want)
			}
		})
	}
}
