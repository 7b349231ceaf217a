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
	softMemoryLimitShare = 0.7  // the Go runtime's soft limit, near which it collects garbage more often
	requestBytesShare    = 0.25 // for requests received or in flight, whose response values may take as much again
)

// configuration is the validated configuration of a gateway, from its configuration file and the environment.
type configuration struct {
	file           *protocol.GatewayConfiguration
	settings       *protocol.GatewaySettings
	balancerConfig decision.Config
	balancer       *decision.Balancer
	opTypes        map[string]*decision.OpType // by their names in client requests
	endpointList   *protocol.EndpointList      // the list that the gateway starts with
	logLevel       slog.Level
	operatorFile   string // path of the operator's file for signed metadata, empty if RELAY_TRUST is not set
}

// parseConfiguration parses the text of a configuration file and reads the environment. It opens no files or sockets.
func parseConfiguration(text []byte) (*configuration, error) {
	file, err := protocol.ParseGatewayConfiguration(text)
	if err != nil {
		return nil, err
	}
	settings, err := protocol.ParseGatewaySettings(file.Settings)
	if err != nil {
		return nil, err
	}
	c := &configuration{file: file, settings: settings, balancerConfig: settings.BalancerConfig(file.Seed)}
	if c.balancer, err = decision.New(c.balancerConfig); err != nil {
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

// opTypesByName maps request names to op types. Both slices must be in the same order.
func opTypesByName(names []string, opTypes []*decision.OpType) map[string]*decision.OpType {
	byName := make(map[string]*decision.OpType, len(names))
	for i, name := range names {
		byName[name] = opTypes[i]
	}
	return byName
}

// parseEndpointList parses an endpoint list, with the zones and machine types of the settings.
func (c *configuration) parseEndpointList(text []byte) (*protocol.EndpointList, error) {
	return protocol.ParseEndpointList(text, c.settings.Zones, c.settings.MachineTypes)
}

// exchangesMessages reports whether this gateway exchanges messages with other gateways: it has a peer listen address,
// the settings allow peer messages, and there is more than one gateway.
func (c *configuration) exchangesMessages() bool {
	return c.file.Peers.Listen != "" && c.balancerConfig.Rollout.PeerMessages && c.balancerConfig.Gateways > 1
}

// maxRequestBytes returns the limit on the memory that requests take, in bytes.
func (c *configuration) maxRequestBytes() int64 {
	return int64(requestBytesShare * float64(c.file.Limits.MemoryBytes))
}

// configureProcess sets the processor and memory limits of the process and the default logger, which it returns.
func configureProcess(c *configuration) *slog.Logger {
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: c.logLevel})
	log := slog.New(handler).With("gateway", c.file.Name)
	slog.SetDefault(log)
	runtime.GOMAXPROCS(int(math.Ceil(c.file.Limits.Cores)))
	debug.SetMemoryLimit(int64(softMemoryLimitShare * float64(c.file.Limits.MemoryBytes)))
	return log
}

// logLevel parses the minimum level of the log: debug, info, warn or error. Empty text means info.
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
