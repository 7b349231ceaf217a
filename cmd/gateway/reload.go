package main

import "laurelring/internal/protocol"

// reload takes over what may change while the gateway runs: the addresses of discovery and of the rollout controller from
// the configuration, and which mirrors drain from the operator's file. A file with a fault changes nothing.
func (g *gateway) reload(reread func() ([]byte, error)) {
	if addresses, err := readAddresses(reread); err != nil {
		g.log.Error("configuration reload failed", "error", err)
	} else {
		g.moveTo(addresses)
	}
	if g.agent != nil {
		if err := g.agent.Reload(g.configuration.operatorFile); err != nil {
			g.log.Error("operator file reload failed", "error", err)
		}
	}
}

// moveTo points the clients of discovery and of the rollout controller to these addresses.
func (g *gateway) moveTo(addresses protocol.Addresses) {
	g.log.Info("configuration reloaded", "discovery", addresses.Discovery, "rollout_controller", addresses.RolloutController)
	if moved := g.discovery.SetAddress(addresses.Discovery); moved {
		g.router.DiscoveryMoved()
	}
	g.rollout.SetAddress(addresses.RolloutController)
}

// readAddresses reads the configuration again, and from it only the addresses that may change.
func readAddresses(reread func() ([]byte, error)) (protocol.Addresses, error) {
	text, err := reread()
	if err != nil {
		return protocol.Addresses{}, err
	}
	return protocol.ParseAddresses(text)
}
