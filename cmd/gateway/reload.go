package main

import "laurelring/internal/protocol"

// reload applies the settings that may change while the gateway runs: the addresses of discovery and the rollout
// controller from the configuration file, and which mirrors drain from the operator's file. An invalid file changes
// nothing.
func (g *gateway) reload(reread func() ([]byte, error)) {
	if addresses, err := readAddresses(reread); err != nil {
		g.log.Error("configuration reload failed", "error", err)
	} else {
		g.applyAddresses(addresses)
	}
	if g.agent != nil {
		if err := g.agent.Reload(g.configuration.operatorFile); err != nil {
			g.log.Error("operator file reload failed", "error", err)
		}
	}
}

// applyAddresses switches the discovery and rollout controller clients to the given addresses.
func (g *gateway) applyAddresses(addresses protocol.Addresses) {
	g.log.Info("configuration reloaded", "discovery", addresses.Discovery, "rollout_controller", addresses.RolloutController)
	if moved := g.discovery.SetAddress(addresses.Discovery); moved {
		g.router.DiscoveryMoved()
	}
	g.rollout.SetAddress(addresses.RolloutController)
}

// readAddresses reads the configuration again and parses only the addresses that may change.
func readAddresses(reread func() ([]byte, error)) (protocol.Addresses, error) {
	text, err := reread()
	if err != nil {
		return protocol.Addresses{}, err
	}
	return protocol.ParseAddresses(text)
}
