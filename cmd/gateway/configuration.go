package main

import (
	"fmt"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// Shares of the memory limit.
const (
	collectShare = 0.7  // where the runtime begins to collect garbage in earnest
	requestShare = 0.25 // of requests in flight, whose values may be as large again
)

// configuration is all that a gateway starts from, checked.
type configuration struct {
	file         *protocol.GatewayConfiguration
	settings     *protocol.GatewaySettings
	decisions    decision.Config
	balancer     *decision.Balancer
	opTypes      map[string]*decision.OpType // by the names under which clients ask for them
	endpointList *protocol.EndpointList      // as it was last held
	logLevel     slog.Level
	operatorFile string // for signed metadata; empty where the operator has none
}

// parseConfiguration reads a configuration file and the environment. It opens nothing.
func parseConfiguration(text []byte) (*configuration, error) {
	file, err := protocol.ParseGatewayConfiguration(text)
	if err != nil {
		return nil, err
	}
	settings, err := protocol.ParseGatewaySettings(file.Settings)
	if err != nil {
		return nil, err
	}
	c := &configuration{file: file, settings: settings, decisions: settings.BalancerConfig(file.Seed)}
	if c.balancer, err = decision.New(c.decisions); err != nil {
		return nil, err
	}
	c.opTypes = opTypesByName(settings.RequestNames, c.balancer.OpTypes())
	if c.endpointList, err = c.parseEndpointList(file.EndpointList); err != nil {
		return nil, fmt.Errorf(`field "known": %w`, err)
	}
	if c.logLevel, err = logLevel(os.Getenv("RELAY_LOG_LEVEL")); err != nil {
		return nil, err
	}
	c.operatorFile = os.Getenv("RELAY_TRUST")
	return c, nil
}

// opTypesByName maps the names under which clients ask for op types to these; both are in the same order.
func opTypesByName(names []string, opTypes []*decision.OpType) map[string]*decision.OpType {
	byName := make(map[string]*decision.OpType, len(names))
	for i, name := range names {
		byName[name] = opTypes[i]
	}
	return byName
}

// parseEndpointList reads an endpoint list by the zones and machine types of the settings.
func (c *configuration) parseEndpointList(text []byte) (*protocol.EndpointList, error) {
	return protocol.ParseEndpointList(text, c.settings.Zones, c.settings.MachineTypes)
}

// exchangesMessages reports whether there are other gateways that this one may send messages to.
func (c *configuration) exchangesMessages() bool {
	return c.file.Peers.Listen != "" && c.decisions.Rollout.PeerMessages && c.decisions.Gateways > 1
}

// maxRequestBytes bounds the requests in flight.
func (c *configuration) maxRequestBytes() int64 {
	return int64(requestShare * float64(c.file.Limits.MemoryBytes))
}

// configureProcess sets the limits of the process and its log, and returns the log.
func configureProcess(c *configuration) *slog.Logger {
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: c.logLevel})
	log := slog.New(handler).With("gateway", c.file.Name)
	slog.SetDefault(log)
	runtime.GOMAXPROCS(int(math.Ceil(c.file.Limits.Cores)))
	debug.SetMemoryLimit(int64(collectShare * float64(c.file.Limits.MemoryBytes)))
	return log
}

// logLevel parses the level from which on lines are logged: debug, info, warn or error; empty text is info.
func logLevel(text string) (slog.Level, error) {
	var level slog.Level
	if text == "" {
		return slog.LevelInfo, nil
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return level, fmt.Errorf("RELAY_LOG_LEVEL: %w", err)
	}
	return level, nil
}
