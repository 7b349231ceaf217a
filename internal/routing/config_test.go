package routing

import (
	"testing"

	"laurelring/decision"
	"laurelring/decision/monotonic"
)

// New returns an error if any required field is missing.
func TestNewRejectsIncompleteConfig(t *testing.T) {
	complete := func() Config {
		return Config{Balancer: &decision.Balancer{}, Clock: func() monotonic.Time { return 0 }, Drivers: Drivers{
			StartAttempt:         func(AttemptRequest) AttemptHandle { return nil },
			CloseIdleConnections: func(string) {},
			SendDatagram:         func(int, []byte, monotonic.Time) {},
			CastVote:             func(decision.Vote, monotonic.Time) {},
			PollDiscovery:        func() {},
		}}
	}
	if _, err := New(complete()); err != nil {
		t.Fatal(err)
	}
	for name, remove := range map[string]func(*Config){
		"balancer":               func(c *Config) { c.Balancer = nil },
		"clock":                  func(c *Config) { c.Clock = nil },
		"start attempt":          func(c *Config) { c.Drivers.StartAttempt = nil },
		"close idle connections": func(c *Config) { c.Drivers.CloseIdleConnections = nil },
		"send datagram":          func(c *Config) { c.Drivers.SendDatagram = nil },
		"cast vote":              func(c *Config) { c.Drivers.CastVote = nil },
		"poll discovery":         func(c *Config) { c.Drivers.PollDiscovery = nil },
	} {
		t.Run(name, func(t *testing.T) {
			config := complete()
			remove(&config)
			if _, err := New(config); err == nil {
				t.Error("New accepted a configuration without a required field")
			}
		})
	}
}
