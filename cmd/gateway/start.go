package main

import (
	"context"
	"os"

	"laurelring/internal/routing"
)

// start starts the components, which run until ctx ends, and begins to serve clients. The stop function must cancel ctx:
// close calls it where a component has to end before a resource that it uses is closed.
func (g *gateway) start(ctx context.Context, stop context.CancelFunc) error {
	c := g.configuration
	go g.router.Run(ctx)
	// The list comes before all other events, so that the first requests find endpoints.
	if err := g.router.EndpointListReceived(routing.EndpointListUpdate{List: c.endpointList, Cached: true}); err != nil {
		return err
	}
	if !c.balancerConfig.PollDiscovery {
		g.router.WatchPushedList()
	}
	go g.rollout.Run(ctx)
	if g.agent != nil {
		g.startMetadataAgent(ctx, stop)
	}
	if g.peers != nil {
		go g.peers.Run(g.router.DatagramReceived, g.limitedLog)
	}
	go func() { g.serveErr <- g.clients.Serve(g.listener) }()
	limits := c.file.Limits
	g.log.Info("serving", "address", c.file.Listen, "memory_bytes", limits.MemoryBytes, "descriptors", limits.Descriptors)
	return nil
}

// startMetadataAgent runs the agent. As the agent uses the store, close waits for it to end before it closes the store.
func (g *gateway) startMetadataAgent(ctx context.Context, stop context.CancelFunc) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.agent.Run(ctx)
	}()
	g.addCloser(func() {
		stop()
		<-ended
	})
}

// handleSignals reloads the configuration and shuts the gateway down on signals. It returns once the gateway has shut
// down, or with the error of its listener.
func (g *gateway) handleSignals(reread func() ([]byte, error), shutdown, reload <-chan os.Signal) error {
	var finished <-chan int // nil until the shutdown begins
	for {
		select {
		case err := <-g.serveErr:
			return err
		case <-reload: // also during shutdown, as discovery and the rollout controller may still move
			g.reload(reread)
		case signal := <-shutdown:
			if finished == nil {
				finished = g.beginShutdown(signal)
			}
		case connections := <-finished:
			if connections > 0 {
				g.log.Warn("client connections left open at shutdown", "connections", connections)
			}
			g.log.Info("shutdown complete")
			return nil
		}
	}
}
