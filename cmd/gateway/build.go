package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"laurelring/decision"
	"laurelring/decision/gossip"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
	"laurelring/internal/routing"
	"laurelring/internal/seededrand"
	"laurelring/internal/transport"
	"laurelring/internal/tuf"
)

// gateway holds the components of one gateway.
type gateway struct {
	configuration *configuration
	log           *slog.Logger

	// Shared by the components.
	clock      func() monotonic.Time
	random     *seededrand.Source // jitter for polls and reconnects, so that those of a fleet spread out
	budget     *transport.DescriptorBudget
	limitedLog *transport.RateLimitedLog

	router    *routing.Router
	endpoints *transport.EndpointPool
	clients   *transport.ClientServer
	listener  net.Listener // for client connections
	discovery *transport.DiscoveryClient
	rollout   *transport.RolloutClient
	peers     *transport.PeerSocket // nil if the configuration has no peer listen address
	agent     *tuf.Agent            // nil without an operator's file

	serveErr chan error // receives the error with which serving clients ends
	closers  []func()   // called by close, the last one first
}

// newGateway builds the components and opens their sockets. It starts no component.
func newGateway(ctx context.Context, c *configuration, log *slog.Logger) (*gateway, error) {
	g := &gateway{
		configuration: c,
		log:           log,
		clock:         newClock(),
		random:        seededrand.New(c.file.Seed),
		budget:        transport.NewDescriptorBudget(c.file.Limits.Descriptors),
		limitedLog:    &transport.RateLimitedLog{},
		serveErr:      make(chan error, 1),
	}
	if err := g.build(ctx); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// newClock returns the gateway's monotonic clock. It starts at the current wall-clock time and does not follow later
// changes of the wall clock.
func newClock() func() monotonic.Time {
	started := time.Now()
	return func() monotonic.Time { return time.Duration(started.UnixNano()) + time.Since(started) }
}

// build creates the components in the order of their dependencies.
func (g *gateway) build(ctx context.Context) error {
	if err := g.buildEndpointPool(); err != nil {
		return err
	}
	if err := g.openPeerSocket(); err != nil {
		return err
	}
	verifyBuild, err := g.buildMetadataAgent()
	if err != nil {
		return err
	}
	if err := g.buildRouter(ctx, verifyBuild); err != nil {
		return err
	}
	if err := g.buildRolloutClient(); err != nil {
		return err
	}
	g.configuration.balancer.StartLease(g.clock())
	status, err := protocol.ParseRolloutStatus(g.configuration.file.RolloutStatus)
	if err != nil {
		return fmt.Errorf(`field "pipeline.news": %w`, err)
	}
	g.router.RolloutStatusReceived(status)
	if err := g.buildDiscoveryClient(); err != nil {
		return err
	}
	return g.buildClientServer()
}

func (g *gateway) buildEndpointPool() (err error) {
	g.endpoints, err = transport.NewEndpointPool(transport.EndpointPoolConfig{
		Budget:         g.budget,
		Log:            g.limitedLog,
		Clock:          g.clock,
		ConnectTimeout: g.configuration.settings.ConnectTimeout,
		IdleTimeout:    g.configuration.settings.IdleTimeout / 2, // to close connections before the endpoint does
	})
	return err
}

func (g *gateway) openPeerSocket() error {
	addresses := g.configuration.file.Peers
	if addresses.Listen == "" {
		return nil
	}
	peers, err := transport.NewPeerSocket(transport.PeerSocketConfig{
		Listen:    addresses.Listen,
		Peers:     addresses.ByRank,
		Broadcast: addresses.Broadcast,
		Clock:     g.clock,
	})
	if err != nil {
		return err
	}
	g.peers = peers
	g.addCloser(peers.Close)
	return nil
}

// buildMetadataAgent creates the agent that keeps signed metadata fresh if an operator's file is configured. It returns
// the driver that verifies builds, or nil if builds need no verification.
func (g *gateway) buildMetadataAgent() (verifyBuild func(build int), err error) {
	if g.configuration.operatorFile == "" {
		return nil, nil
	}
	operator, err := tuf.LoadOperatorConfig(g.configuration.operatorFile)
	if err != nil {
		return nil, err
	}
	seed := g.configuration.file.Seed
	client, store, err := operator.NewClient(seed, func() int64 { return time.Now().UnixNano() }, nil)
	if err != nil {
		return nil, err
	}
	g.addCloser(func() { store.Close() })
	g.addCloser(func() { client.Close() })
	g.agent = tuf.NewAgent(operator, client, seed,
		func() bool { return g.router.HasQueuedRequests() },
		func(build int, verified bool) { g.router.BuildVerified(build, verified) })
	if operator.BuildTarget == "" {
		return nil, nil
	}
	g.configuration.balancer.RequireVerifiedBuilds()
	return g.agent.CheckBuild, nil
}

// buildRouter creates the router. Its drivers refer to clients that are built later, as the router calls them only once
// it runs.
func (g *gateway) buildRouter(ctx context.Context, verifyBuild func(build int)) (err error) {
	sendDatagram := func(int, []byte, monotonic.Time) {}
	if g.peers != nil {
		sendDatagram = g.peers.Send
	}
	g.router, err = routing.New(routing.Config{
		Balancer:         g.configuration.balancer,
		UtilizationField: g.configuration.settings.UtilizationField,
		Clock:            g.clock,
		Gossip:           g.newGossipExchange(),
		Drivers: routing.Drivers{
			StartAttempt: func(attempt routing.AttemptRequest) routing.AttemptHandle {
				return g.endpoints.Send(transport.AttemptRequest(attempt))
			},
			CloseIdleConnections: g.endpoints.CloseIdleTo,
			SendDatagram:         sendDatagram,
			CastVote:             func(vote decision.Vote, decidedAt monotonic.Time) { g.rollout.Vote(vote, decidedAt) },
			PollDiscovery:        func() { g.discovery.StartWatch(ctx) },
			HasUnhandledNotice:   func() bool { return g.discovery.HasUnhandledInput() || g.rollout.HasUnhandledInput() },
			VerifyBuild:          verifyBuild,
		},
	})
	return err
}

// newGossipExchange creates the exchange of endpoint list views with other gateways, or returns nil if there are no
// gateways to exchange messages with.
func (g *gateway) newGossipExchange() *gossip.Exchange {
	c := g.configuration
	if !c.exchangesMessages() {
		return nil
	}
	return gossip.NewExchange(gossip.Config{
		Rank:     c.balancerConfig.Rank,
		Gateways: c.balancerConfig.Gateways,
		Revision: c.endpointList.Revision,
		Random:   seededrand.New(c.file.Seed).Int64N,
	}, g.clock())
}

func (g *gateway) buildRolloutClient() (err error) {
	g.rollout, err = transport.NewRolloutClient(transport.RolloutClientConfig{
		Address:      g.configuration.file.RolloutController,
		VoteTimeout:  g.configuration.settings.VoteTimeout,
		Clock:        g.clock,
		Random:       g.random,
		OnStatus:     g.router.RolloutStatusReceived,
		OnVoteResult: g.router.VoteAnswered,
		OnConnected: func(address string) {
			g.log.Info("rollout controller connected", "address", address)
		},
		OnDisconnected: func(address string, err error) {
			g.log.Warn("rollout controller disconnected", "address", address, "error", err)
		},
	})
	return err
}

func (g *gateway) buildDiscoveryClient() (err error) {
	g.discovery, err = transport.NewDiscoveryClient(transport.DiscoveryClientConfig{
		Address:     g.configuration.file.Discovery,
		MaxWait:     g.configuration.settings.PollInterval,
		Revision:    g.configuration.endpointList.Revision,
		Random:      g.random,
		OnListStart: g.router.DiscoveryResponseStarted,
		OnList:      g.receiveEndpointList,
		OnFailure:   g.router.DiscoveryFailed,
	})
	return err
}

// receiveEndpointList passes an endpoint list from discovery on to the router and returns its revision. full is true if
// discovery was asked for the full list rather than for changes after a revision.
func (g *gateway) receiveEndpointList(text []byte, full bool) (revision int64, err error) {
	list, err := g.configuration.parseEndpointList(text)
	if err != nil {
		return 0, err
	}
	return list.Revision, g.router.EndpointListReceived(routing.EndpointListUpdate{List: list, Full: full})
}

// buildClientServer opens the client listener and creates the server. Clients can connect from then on and are served
// once the gateway has started.
func (g *gateway) buildClientServer() error {
	listener, err := net.Listen("tcp", g.configuration.file.Listen)
	if err != nil {
		return err
	}
	g.listener = listener
	g.addCloser(func() { listener.Close() })
	g.clients, err = transport.NewClientServer(transport.ClientServerConfig{
		Budget:          g.budget,
		Log:             g.limitedLog,
		MaxRequestBytes: g.configuration.maxRequestBytes(),
		RetryAfter:      g.configuration.balancerConfig.Attempts.MaxRetryAfter,
		MaxRemaining:    g.configuration.settings.MaxClientTimeout,
		OpTypes:         g.configuration.opTypes,
		OnRequest: func(request protocol.Request, response *transport.PendingResponse) {
			g.router.RequestArrived(request, response)
		},
		OnDisconnect:     func(response *transport.PendingResponse) { g.router.ClientDisconnected(response) },
		OnReadingStopped: func(response *transport.PendingResponse) { g.router.StopAttempts(response) },
	})
	return err
}

// addCloser registers a function that close calls before the functions registered earlier.
func (g *gateway) addCloser(closer func()) { g.closers = append(g.closers, closer) }

// close calls the registered closers, the last one first, each of them once.
func (g *gateway) close() {
	for len(g.closers) > 0 {
		last := len(g.closers) - 1
		closer := g.closers[last]
		g.closers = g.closers[:last]
		closer()
	}
}
