package main

import (
	"bufio"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
	"laurelring/internal/protocol"
)

// On SIGHUP the gateway switches to the addresses of discovery and the rollout controller in the current configuration
// file. Requests in flight continue, and an invalid file changes nothing.
func TestReloadMovesDiscoveryAndRolloutController(t *testing.T) {
	gateway := startGateway(t, 1024)
	rollout, rolloutLines := gatewaytest.Listen(t), make(chan string, 99)
	go gatewaytest.Serve(rollout, func(conn net.Conn) {
		for in := bufio.NewScanner(conn); in.Scan(); {
			rolloutLines <- in.Text()
		}
	})
	discovery, listRequests := gateway.secondDiscovery()
	original := gateway.configurationText()
	inFlight := make(chan string, 1)
	go func() { inFlight <- gateway.ask(900*time.Millisecond, gatewaytest.WriteRequest("slow", "kept")) }()
	time.Sleep(50 * time.Millisecond)
	for _, text := range []string{
		`{"name":"n0"`,
		gatewaytest.WithAddress(original, "discovery", "nowhere"),
		gatewaytest.WithAddress(gatewaytest.WithAddress(original, "address", rollout.Addr().String()), "discovery", discovery),
	} {
		gateway.configuration.Store(text)
		for range 2 { // the second signal may arrive before the first is handled
			gateway.reload <- syscall.SIGHUP
		}
		time.Sleep(100 * time.Millisecond)
	}
	for want, lines := range map[string]chan string{"/discovery/hosts?after=1": listRequests, `"listen"`: rolloutLines} {
		select {
		case line := <-lines:
			if !strings.Contains(line, want) {
				t.Errorf("got call %q, want one with %q", line, want)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("no call with %s at the new address", want)
		}
	}
	gateway.discovery.Lists <- gatewaytest.EndpointList{Revision: 2,
		Endpoints: []gatewaytest.EndpointRecord{gatewaytest.ReadyEndpoint("s-1", gateway.endpoint.Listen())}}.Text()
	if answer := <-inFlight; answer != "$4\r\nkept\r\n" {
		t.Errorf("request in flight during the reload: got %q, want its value", answer)
	}
	if after := gateway.ask(300*time.Millisecond, gatewaytest.WriteRequest("a", "after")); after != "$5\r\nafter\r\n" {
		t.Errorf("request after the reload: got %q, want its value", after)
	}
}

// On SIGHUP during the shutdown, a gateway that still serves polls discovery at its new address.
func TestReloadDuringShutdown(t *testing.T) {
	gateway := startGateway(t, 1024)
	gateway.shutdown <- syscall.SIGTERM
	listRequests := gateway.moveDiscovery()
	time.Sleep(50 * time.Millisecond)
	gateway.reload <- syscall.SIGHUP
	select {
	case <-listRequests:
	case <-time.After(500 * time.Millisecond):
		t.Error("no call for the endpoint list at the new address")
	}
	if got := gateway.ask(300*time.Millisecond, "PING"); got != "+PONG\r\n" {
		t.Errorf("PING during the shutdown: got %q, want PONG", got)
	}
	gateway.awaitShutdown(10 * time.Second)
}

// On SIGHUP and SIGTERM at the same time, in either order, the gateway reads the configuration file and shuts down
// within 2 s.
func TestReloadAndShutdownAtOnce(t *testing.T) {
	gateway := startGateway(t, 1024)
	listRequests := gateway.moveDiscovery()
	gateway.reload <- syscall.SIGHUP
	gateway.shutdown <- syscall.SIGTERM
	gateway.reload <- syscall.SIGHUP
	signaled := time.Now()
	if got := gateway.ask(300*time.Millisecond, gatewaytest.WriteRequest("a", "x")); got != "$1\r\nx\r\n" {
		t.Errorf("request during the shutdown: got %q, want its value", got)
	}
	gateway.awaitShutdown(10 * time.Second)
	if time.Since(signaled) > 2*time.Second || len(listRequests) == 0 {
		t.Errorf("shutdown took %v with %d calls for the list at the new address, want 2 s at most and a call", time.Since(signaled), len(listRequests))
	}
}

func TestReadAddressesReportsFault(t *testing.T) {
	valid := testConfiguration().Text()
	for _, test := range []struct {
		name, text string
		err        error
		want       string
	}{
		{"missing file", "", os.ErrNotExist, os.ErrNotExist.Error()},
		{"invalid JSON", "{", nil, "JSON"},
		{"invalid address", gatewaytest.WithAddress(valid, "discovery", "nowhere"), nil, `field "discovery"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := readAddresses(func() ([]byte, error) { return []byte(test.text), test.err })
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one with %s", err, test.want)
			}
		})
	}
	addresses, err := readAddresses(func() ([]byte, error) { return []byte(valid), nil })
	if want := (protocol.Addresses{Discovery: "127.0.0.1:1", RolloutController: "127.0.0.1:2"}); err != nil || addresses != want {
		t.Errorf("got addresses %v and error %v, want %v", addresses, err, want)
	}
}
