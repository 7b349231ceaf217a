// Command gateway is one gateway on real sockets.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
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

const (
	servesOn = 700 * time.Millisecond // after SIGTERM: clients may still connect for 0.4 s
	// The platform kills a program that is to end no sooner than so long after servesOn, or than a client waits if
	// that is less: what it finds unanswered is lost. All is answered a little before.
	killedAfter = 3 * time.Second
	killMargin  = 300 * time.Millisecond
	memoryShare = 0.7  // of the limit: where the runtime begins to collect in earnest
	handShare   = 0.25 // of the limit: commands in hand, whose values may be as large again
)

func main() {
	ended, again := make(chan os.Signal, 1), make(chan os.Signal, 1) // before all else: a signal may come at once
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(again, syscall.SIGHUP)
	path := os.Getenv("RELAY_CONFIG")
	text, err := os.ReadFile(path)
	if path == "" {
		err = errors.New("RELAY_CONFIG is not set")
	}
	if err == nil {
		err = run(text, func() ([]byte, error) { return os.ReadFile(path) }, ended, again)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

// run is one gateway from its configuration until it has ended as it was asked to. It reads the configuration
// anew each time it is asked again.
func run(text []byte, reread func() ([]byte, error), ended, again <-chan os.Signal) error {
	configuration, err := protocol.ParseGatewayConfiguration(text)
	if err != nil {
		return err
	}
	settings, err := protocol.ParseGatewaySettings(configuration.Settings)
	if err != nil {
		return err
	}
	seed, limits, peerAddresses := configuration.Seed, configuration.Limits, configuration.Peers
	config := settings.BalancerConfig(seed)
	gateway, err := decision.New(config)
	if err != nil {
		return err
	}
	named := map[string]*decision.OpType{}
	for i, one := range settings.RequestNames {
		named[one] = gateway.OpTypes()[i]
	}
	startList, err := protocol.ParseEndpointList(configuration.EndpointList, settings.Zones, settings.MachineTypes)
	if err != nil {
		return fmt.Errorf(`field "known": %w`, err)
	}

	level, err := logLevel(os.Getenv("RELAY_LOG_LEVEL"))
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("gateway", configuration.Name)
	slog.SetDefault(log)
	runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)))
	debug.SetMemoryLimit(int64(memoryShare * float64(limits.MemoryBytes)))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	begun := time.Now()
	clock := func() monotonic.Time { return time.Duration(begun.UnixNano()) + time.Since(begun) }
	budget := transport.NewDescriptorBudget(limits.Descriptors)
	complaints, lots := &transport.RateLimitedLog{}, seededrand.New(seed)
	endpoints, err := transport.NewEndpointPool(transport.EndpointPoolConfig{
		Budget: budget, Log: complaints, ConnectTimeout: settings.ConnectTimeout, IdleTimeout: settings.IdleTimeout / 2})
	if err != nil {
		return err
	}
	post := func(int, []byte) {}
	var r *routing.Router
	var peers *transport.PeerSocket
	if peerAddresses.Listen != "" {
		if peers, err = transport.NewPeerSocket(peerAddresses.Listen, peerAddresses.Each, peerAddresses.Broadcast); err != nil {
			return err
		}
		defer peers.Close()
		post = peers.Send
	}
	var build func(int)
	var agent *tuf.Agent
	trustFile := os.Getenv("RELAY_TRUST") // an operator's own: not set in run
	if trustFile != "" {
		operator, err := tuf.LoadOperatorConfig(trustFile)
		if err != nil {
			return err
		}
		client, kept, err := operator.NewClient(seed, func() int64 { return time.Now().UnixNano() }, nil)
		if err != nil {
			return err
		}
		defer kept.Close()
		defer client.Close()
		agent = tuf.NewAgent(operator, client, seed, func() bool { return r.HasQueuedRequests() }, func(build int, so bool) { r.BuildVerified(build, so) })
		if operator.BuildTarget != "" {
			gateway.RequireVerifiedBuilds()
			build = agent.CheckBuild
		}
	}
	var discovery *transport.DiscoveryClient
	var rolloutClient *transport.RolloutClient
	var exchange *gossip.Exchange
	if peers != nil && config.Rollout.PeerMessages && config.Gateways > 1 {
		exchange = gossip.NewExchange(gossip.Config{Rank: config.Rank, Gateways: config.Gateways, Revision: startList.Revision,
			Random: seededrand.New(seed).Int64N}, clock())
	}
	drivers := routing.Drivers{
		StartAttempt: func(attempt routing.AttemptRequest) routing.AttemptHandle {
			return endpoints.Send(attempt.Address, attempt.Deadline, attempt.Encode, attempt.Finished)
		},
		CloseIdleConnections: endpoints.CloseIdleTo,
		SendDatagram:         post,
		CastVote:             func(v decision.Vote) { rolloutClient.Vote(v) },
		PollDiscovery:        func() { discovery.StartWatch(ctx) },
		VerifyBuild:          build,
	}
	r, err = routing.New(routing.Config{Balancer: gateway, UtilizationField: settings.UtilizationField, Clock: clock, Drivers: drivers,
		Gossip: exchange})
	if err != nil {
		return err
	}
	rolloutClient, err = transport.NewRolloutClient(transport.RolloutClientConfig{
		Address: configuration.RolloutController, VoteTimeout: settings.VoteTimeout, Random: lots, OnStatus: r.RolloutStatusReceived, OnVoteResult: r.VoteAnswered,
		OnConnected: func(address string) { log.Info("rollout controller connected", "address", address) },
		OnDisconnected: func(address string, err error) {
			log.Warn("rollout controller disconnected", "address", address, "error", err)
		},
	})
	if err != nil {
		return err
	}
	gateway.StartLease(clock())
	status, err := protocol.ParseRolloutStatus(configuration.RolloutStatus)
	if err != nil {
		return fmt.Errorf(`field "pipeline.news": %w`, err)
	}
	r.RolloutStatusReceived(status)
	discovery, err = transport.NewDiscoveryClient(transport.DiscoveryClientConfig{
		Address: configuration.Discovery, MaxWait: settings.PollInterval, Revision: startList.Revision, Random: lots,
		OnListStart: r.DiscoveryResponseStarted,
		OnList: func(text []byte, full bool) (int64, error) {
			list, err := protocol.ParseEndpointList(text, settings.Zones, settings.MachineTypes)
			if err != nil {
				return 0, err
			}
			return list.Revision, r.EndpointListReceived(routing.EndpointListUpdate{List: list, Full: full})
		},
		OnFailure: r.DiscoveryFailed,
	})
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", configuration.Listen)
	if err != nil {
		return err
	}
	defer ln.Close()
	clients, err := transport.NewClientServer(transport.ClientServerConfig{
		Budget: budget, Log: complaints, MaxRequestBytes: int64(handShare * float64(limits.MemoryBytes)),
		MaxRemaining: settings.MaxClientTimeout,
		OpTypes:      named,
		OnRequest: func(request protocol.Request, response *transport.PendingResponse) {
			r.RequestArrived(request, response)
		},
		OnDisconnect: func(response *transport.PendingResponse) { r.ClientDisconnected(response) },
	})
	if err != nil {
		return err
	}
	go r.Run(ctx)
	if err := r.EndpointListReceived(routing.EndpointListUpdate{List: startList, Cached: true}); err != nil {
		return err
	}
	go rolloutClient.Run(ctx)
	if agent != nil {
		background := make(chan struct{}) // it holds the store until it has ended
		go func() { defer close(background); agent.Run(ctx) }()
		defer func() { stop(); <-background }()
	}
	if !config.PollDiscovery {
		go discovery.KeepWatching(ctx)
	}
	if peers != nil {
		go peers.Run(r.DatagramReceived, complaints)
	}
	failed := make(chan error, 1)
	go func() { failed <- clients.Serve(ln) }()
	log.Info("serving", "address", configuration.Listen, "memory", limits.MemoryBytes, "descriptors", limits.Descriptors)
	var rested chan int
	for {
		select {
		case err := <-failed:
			return err
		case <-again: // while ending too: the list and the platform may move then as at any time
			if moved, err := addresses(reread); err != nil {
				log.Error("the configuration stays as it was", "cause", err)
			} else {
				log.Info("the configuration is read again", "discovery", moved.Discovery, "platform", moved.RolloutController)
				if discovery.SetAddress(moved.Discovery) {
					r.DiscoveryMoved()
				}
				rolloutClient.SetAddress(moved.RolloutController)
			}
			if agent != nil {
				if err := agent.Reload(trustFile); err != nil {
					log.Error("the operator's file stays as it was", "cause", err)
				}
			}
		case got := <-ended:
			if rested != nil {
				continue // it ends already
			}
			log.Info("ending", "signal", got.String())
			rested = make(chan int, 1)
			answered := min(settings.MaxClientTimeout, killedAfter) - killMargin
			r.ShutdownWithin(servesOn + answered)
			go func() {
				time.Sleep(servesOn)
				clients.Drain()
				rested <- clients.AwaitDisconnects(answered + 2*killMargin)
			}()
		case n := <-rested:
			if n > 0 {
				log.Warn("clients are left", "connections", n)
			}
			log.Info("ended")
			return nil
		}
	}
}

// logLevel reads from which level on lines are logged: debug, info, warn or error, or info where nothing is said.
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

// addresses reads what a configuration that is read again may change: where the list and the platform are.
func addresses(reread func() ([]byte, error)) (protocol.Addresses, error) {
	text, err := reread()
	if err != nil {
		return protocol.Addresses{}, err
	}
	return protocol.ParseAddresses(text)
}
