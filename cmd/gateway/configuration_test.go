package main

import (
	"log/slog"
	"strings"
	"testing"

	"laurelring/decision"
	"laurelring/internal/gatewaytest"
)

// testConfiguration returns a configuration with addresses at which nothing listens.
func testConfiguration() gatewaytest.Configuration {
	return gatewaytest.Configuration{
		Name:              "n0",
		Listen:            "127.0.0.1:0",
		Discovery:         "127.0.0.1:1",
		RolloutController: "127.0.0.1:2",
		Seed:              1,
		Descriptors:       256,
		PeerListen:        "127.0.0.1:0",
		Peers:             []string{"127.0.0.1:3", "127.0.0.1:4"},
		Endpoints:         []gatewaytest.EndpointRecord{gatewaytest.ReadyEndpoint("s-1", "127.0.0.1:5")},
		Settings:          gatewaytest.Settings,
	}
}

func mustParseConfiguration(t *testing.T, text string) *configuration {
	t.Helper()
	c, err := parseConfiguration([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestParseConfigurationMapsOpTypesByRequestName(t *testing.T) {
	c := mustParseConfiguration(t, testConfiguration().Text())
	if len(c.opTypes) != 2 || c.opTypes["API.READ look"] != c.balancer.OpTypes()[0] ||
		c.opTypes["API.WRITE book"] != c.balancer.OpTypes()[1] {
		t.Errorf("got op types %v by name, want those of %v in order", c.opTypes, c.balancer.OpTypes())
	}
	if c.endpointList.Revision != 1 {
		t.Errorf("got revision %d of the endpoint list, want 1", c.endpointList.Revision)
	}
}

func TestParseConfigurationNamesFault(t *testing.T) {
	text := testConfiguration().Text()
	for _, test := range []struct{ name, old, replacement, logLevel, want string }{
		{"invalid field", `"sockets":256`, `"sockets":0`, "", `field "limits"`},
		{"invalid setting", `"max_attempts":5`, `"max_attempts":"5"`, "", `setting "limits.max_attempts"`},
		{"invalid endpoint list", `"phase":"up"`, `"phase":"odd"`, "", `field "known": `},
		{"unknown log level", "", "", "loud", "RELAY_LOG_LEVEL"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Setenv("RELAY_LOG_LEVEL", test.logLevel)
			_, err := parseConfiguration([]byte(strings.Replace(text, test.old, test.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one with %s", err, test.want)
			}
		})
	}
}

func TestParseConfigurationReadsEnvironment(t *testing.T) {
	t.Setenv("RELAY_LOG_LEVEL", "warn")
	t.Setenv("RELAY_TRUST", "trust.json")
	c := mustParseConfiguration(t, testConfiguration().Text())
	if c.logLevel != slog.LevelWarn || c.operatorFile != "trust.json" {
		t.Errorf("got log level %v and operator's file %q, want WARN and \"trust.json\"", c.logLevel, c.operatorFile)
	}
}

func TestMessagesAreExchangedOnlyWithOtherGateways(t *testing.T) {
	for _, test := range []struct {
		name     string
		listen   string
		gateways int
		messages bool
		want     bool
	}{
		{"two gateways", "127.0.0.1:0", 2, true, true},
		{"one gateway", "127.0.0.1:0", 1, true, false},
		{"messages switched off", "127.0.0.1:0", 2, false, false},
		{"no address", "", 2, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := testConfiguration()
			text.PeerListen, text.Settings = test.listen, gatewaytest.FleetSettings(0, test.gateways, test.messages)
			if got := mustParseConfiguration(t, text.Text()).exchangesMessages(); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestOpTypesByNameKeepsOrder(t *testing.T) {
	first, second := new(decision.OpType), new(decision.OpType)
	byName := opTypesByName([]string{"b", "a"}, []*decision.OpType{first, second})
	if byName["b"] != first || byName["a"] != second || len(byName) != 2 {
		t.Errorf("got %v, want a and b mapped in order", byName)
	}
}
