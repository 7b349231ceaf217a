package main

import (
	"context"
	"os"

	"laurelring/internal/routing"
)

// start runs the parts, until the context ends, and begins to serve clients. close calls stop, which has to end the
// context, where something must end before what it uses is closed.
func (g *gateway) start(ctx context.Context, stop context.CancelFunc) error {
	c := g.configuration
	go g.router.Run(ctx)
	// Before anybody else brings an event: the first requests find endpoints.
	if err := g.router.EndpointListReceived(routing.EndpointListUpdate{List: c.endpointList, Cached: true}); err != nil {
		return err
	}
	go g.rollout.Run(ctx)
	if g.agent != nil {
		g.startMetadataAgent(ctx, stop)
	}
	if !c.decisions.PollDiscovery {
		go g.discovery.KeepWatching(ctx)
	}
	if g.peers != nil {
		go g.peers.Run(g.router.DatagramReceived, g.limitedLog)
	}
	go func() { g.clientsFailed <- g.clients.Serve(g.listener) }()
	limits := c.file.Limits
	g.log.Info("serving", "address", c.file.Listen, "memory_bytes", limits.MemoryBytes, "descriptors", limits.Descriptors)
	return nil
}

// startMetadataAgent runs the agent, which uses the store until it has ended.
func (g *gateway) startMetadataAgent(ctx context.Context, stop context.CancelFunc) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.agent.Run(ctx)
	}()
	g.onClose(func() {
		stop()
		<-ended
	})
}

// handleSignals reloads and shuts down as signals ask for it, until the gateway has shut down or its listener failed.
func (g *gateway) handleSignals(reread func() ([]byte, error), shutdown, reload <-chan os.Signal) error {
	var finished <-chan int // nil until a signal has begun the shutdown
	for {
		select {
		case err := <-g.clientsFailed:
			return err
		case <-reload: // during the shutdown too: discovery and the rollout controller may move then as at any time
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
