package main

import (
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
)

// TestMain runs the gateway instead of the tests if a test has started this program as a gateway of its fleet.
func TestMain(m *testing.M) {
	if gatewaytest.IsGatewayProcess() {
		main()
		return
	}
	os.Exit(m.Run())
}

// testGateway is a gateway in this process with fakes of all that it connects to on loopback: one endpoint, discovery,
// the rollout controller and one other gateway.
type testGateway struct {
	t         *testing.T
	address   string
	endpoint  *gatewaytest.KeyedEndpoint
	discovery *gatewaytest.ScriptedDiscovery
	rollout   *gatewaytest.RolloutController
	datagrams chan int // sizes of the datagrams that it sends to the other gateway

	configuration    atomic.Value // the text of the configuration file
	shutdown, reload chan os.Signal
	finished         chan error
	stopped          bool // no cleanup is needed
}

// startGateway starts a gateway with the given descriptor limit and waits until it accepts connections.
func startGateway(t *testing.T, descriptors int) *testGateway {
	t.Helper()
	return startGatewayWith(t, descriptors, gatewaytest.Settings)
}

func startGatewayWith(t *testing.T, descriptors int, settings string) *testGateway {
	t.Helper()
	discovery := &gatewaytest.ScriptedDiscovery{Lists: make(chan string, 9)}
	g := startGatewayAt(t, descriptors, settings, discovery.Listen(t))
	g.discovery = discovery
	return g
}

// startGatewayAt starts a gateway that calls discovery at the given address. The field discovery of the result is nil.
func startGatewayAt(t *testing.T, descriptors int, settings, discovery string) *testGateway {
	t.Helper()
	g := &testGateway{t: t, endpoint: gatewaytest.NewKeyedEndpoint(t), datagrams: make(chan int, 99),
		shutdown: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), finished: make(chan error, 1)}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	var rollout string
	g.rollout, rollout = gatewaytest.NewRolloutController(t)
	other := gatewaytest.ReceiveDatagrams(t, g.datagrams)
	g.address = gatewaytest.ReserveAddress(t)
	text := gatewaytest.Configuration{
		Name:              "n0",
		Listen:            g.address,
		Discovery:         discovery,
		RolloutController: rollout,
		Seed:              0x8c1f30d27a5be964,
		Descriptors:       descriptors,
		PeerListen:        g.address,
		Peers:             []string{g.address, other},
		Endpoints:         []gatewaytest.EndpointRecord{gatewaytest.ReadyEndpoint("s-1", g.endpoint.Listen())},
		Settings:          settings,
	}.Text()
	g.configuration.Store(text)
	reread := func() ([]byte, error) { return []byte(g.configuration.Load().(string)), nil }
	go func() { g.finished <- run([]byte(text), reread, g.shutdown, g.reload) }()
	g.awaitListening()
	t.Cleanup(func() {
		if !g.stopped {
			g.shutdown <- syscall.SIGTERM
			<-g.finished
		}
	})
	return g
}

// awaitListening waits until the gateway accepts connections.
func (g *testGateway) awaitListening() {
	g.t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", g.address); err == nil {
			conn.Close()
			return
		}
		if time.Now().After(end) {
			g.t.Fatal("gateway did not accept connections within 5 s")
		}
	}
}

// shutdownLimit is how long awaitShutdown usually waits.
const shutdownLimit = 2 * time.Second

// awaitShutdown waits until the gateway has shut down, for the given time at most.
func (g *testGateway) awaitShutdown(limit time.Duration) {
	g.t.Helper()
	g.stopped = true
	select {
	case err := <-g.finished:
		if err != nil {
			g.t.Error(err)
		}
	case <-time.After(limit):
		g.t.Error("gateway did not shut down in time")
	}
}

// ask sends requests on one connection and returns all that it receives until the connection ends or the wait is over.
func (g *testGateway) ask(wait time.Duration, requests ...string) string {
	return gatewaytest.SendRequests(g.address, wait, requests...)
}

// dial opens a connection that is closed when the test ends.
func (g *testGateway) dial() net.Conn {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { conn.Close() })
	return conn
}

// configurationText returns the current text of the configuration file.
func (g *testGateway) configurationText() string { return g.configuration.Load().(string) }

// moveDiscovery starts another discovery service, writes its address to the configuration file and returns the requests
// that it receives.
func (g *testGateway) moveDiscovery() (requests chan string) {
	address, requests := g.secondDiscovery()
	g.configuration.Store(gatewaytest.WithAddress(g.configurationText(), "discovery", address))
	return requests
}

// secondDiscovery starts another discovery service with the same responses. It returns its address and the requests
// that it receives.
func (g *testGateway) secondDiscovery() (address string, requests chan string) {
	g.t.Helper()
	second := &gatewaytest.ScriptedDiscovery{Lists: g.discovery.Lists, Requests: make(chan string, 99)}
	return second.Listen(g.t), second.Requests
}
