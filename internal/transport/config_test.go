package transport

import (
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
	"laurelring/internal/seededrand"
)

// checkConfig checks that a constructor accepts a valid configuration and rejects the configuration after each of the
// invalid changes.
func checkConfig[Config any](t *testing.T, valid Config, construct func(Config) error, invalid map[string]func(*Config)) {
	t.Helper()
	if err := construct(valid); err != nil {
		t.Errorf("valid configuration: got error %v, want none", err)
	}
	for name, change := range invalid {
		t.Run(name, func(t *testing.T) {
			config := valid
			if change(&config); construct(config) == nil {
				t.Error("got no error for an invalid configuration")
			}
		})
	}
}

func TestClientServerRejectsInvalidConfiguration(t *testing.T) {
	checkConfig(t, ClientServerConfig{
		Budget: NewDescriptorBudget(reservedDescriptors + minOverflowClients + 4), Log: &RateLimitedLog{},
		MaxRequestBytes: 1, MaxRemaining: time.Second,
		OnRequest:        func(protocol.Request, *PendingResponse) {},
		OnDisconnect:     func(*PendingResponse) {},
		OnReadingStopped: func(*PendingResponse) {},
	}, func(config ClientServerConfig) error {
		_, err := NewClientServer(config)
		return err
	}, map[string]func(*ClientServerConfig){
		"no budget":                          func(c *ClientServerConfig) { c.Budget = nil },
		"no log":                             func(c *ClientServerConfig) { c.Log = nil },
		"negative request bytes":             func(c *ClientServerConfig) { c.MaxRequestBytes = -1 },
		"negative remaining time":            func(c *ClientServerConfig) { c.MaxRemaining = -1 },
		"no callback for requests":           func(c *ClientServerConfig) { c.OnRequest = nil },
		"no callback for disconnection":      func(c *ClientServerConfig) { c.OnDisconnect = nil },
		"no callback for the end of reading": func(c *ClientServerConfig) { c.OnReadingStopped = nil },
	})
}

func TestEndpointPoolRejectsInvalidConfiguration(t *testing.T) {
	checkConfig(t, EndpointPoolConfig{
		Budget: NewDescriptorBudget(reservedDescriptors + minOverflowClients + 4), Log: &RateLimitedLog{}, Clock: testClock,
		ConnectTimeout: time.Second, IdleTimeout: time.Second,
	}, func(config EndpointPoolConfig) error {
		_, err := NewEndpointPool(config)
		return err
	}, map[string]func(*EndpointPoolConfig){
		"no budget":                func(c *EndpointPoolConfig) { c.Budget = nil },
		"no log":                   func(c *EndpointPoolConfig) { c.Log = nil },
		"no clock":                 func(c *EndpointPoolConfig) { c.Clock = nil },
		"negative connect timeout": func(c *EndpointPoolConfig) { c.ConnectTimeout = -1 },
		"negative idle timeout":    func(c *EndpointPoolConfig) { c.IdleTimeout = -1 },
	})
}

func TestDiscoveryClientRejectsInvalidConfiguration(t *testing.T) {
	checkConfig(t, DiscoveryClientConfig{
		MaxWait: time.Second, Random: seededrand.New(1),
		OnListStart: func() {},
		OnList:      func([]byte, bool) (int64, error) { return 0, nil },
		OnFailure:   func(error) {},
	}, func(config DiscoveryClientConfig) error {
		_, err := NewDiscoveryClient(config)
		return err
	}, map[string]func(*DiscoveryClientConfig){
		"negative wait":            func(c *DiscoveryClientConfig) { c.MaxWait = -1 },
		"no random numbers":        func(c *DiscoveryClientConfig) { c.Random = nil },
		"no callback for starts":   func(c *DiscoveryClientConfig) { c.OnListStart = nil },
		"no callback for lists":    func(c *DiscoveryClientConfig) { c.OnList = nil },
		"no callback for failures": func(c *DiscoveryClientConfig) { c.OnFailure = nil },
	})
}

func TestRolloutClientRejectsInvalidConfiguration(t *testing.T) {
	checkConfig(t, RolloutClientConfig{
		VoteTimeout: time.Second, Clock: testClock, Random: seededrand.New(1),
		OnStatus:       func(decision.RolloutStatus) {},
		OnVoteResult:   func(decision.Outcome) {},
		OnConnected:    func(string) {},
		OnDisconnected: func(string, error) {},
	}, func(config RolloutClientConfig) error {
		_, err := NewRolloutClient(config)
		return err
	}, map[string]func(*RolloutClientConfig){
		"no clock":                      func(c *RolloutClientConfig) { c.Clock = nil },
		"negative vote timeout":         func(c *RolloutClientConfig) { c.VoteTimeout = -1 },
		"no random numbers":             func(c *RolloutClientConfig) { c.Random = nil },
		"no callback for statuses":      func(c *RolloutClientConfig) { c.OnStatus = nil },
		"no callback for vote results":  func(c *RolloutClientConfig) { c.OnVoteResult = nil },
		"no callback for connections":   func(c *RolloutClientConfig) { c.OnConnected = nil },
		"no callback for disconnection": func(c *RolloutClientConfig) { c.OnDisconnected = nil },
	})
}
