package main

import (
	"log/slog"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
)

// A gateway that restarts while neither discovery nor the rollout controller responds is ready at once and serves from
// the endpoint list of its configuration. A SIGTERM that arrives before it is ready shuts it down.
func TestStartsWithoutDiscoveryOrRolloutController(t *testing.T) {
	first := startGateway(t, 1024)
	silent, listener := gatewaytest.Listen(t), gatewaytest.Listen(t) // silent's connections are established by the kernel and never answered
	listener.Close()
	address := listener.Addr().String()
	text := first.configurationText()
	for field, value := range map[string]string{"discovery": silent.Addr().String(), "address": silent.Addr().String(),
		"listen": address, "peer_listen": "127.0.0.1:0"} {
		text = gatewaytest.WithAddress(text, field, value)
	}
	shutdown, finished := make(chan os.Signal, 1), make(chan error, 1)
	go func() { finished <- run([]byte(text), nil, shutdown, nil) }()
	started := time.Now()
	for gatewaytest.SendRequests(address, 100*time.Millisecond, "PING") != "+PONG\r\n" {
		if time.Since(started) > 2*time.Second {
			t.Fatal("gateway was not ready within 2 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got := gatewaytest.SendRequests(address, 300*time.Millisecond, gatewaytest.WriteRequest("a", "x")); got != "$1\r\nx\r\n" {
		t.Errorf("got %q from the configured endpoint list, want the value x", got)
	}
	shutdown <- syscall.SIGTERM
	if err := <-finished; err != nil {
		t.Error(err)
	}
	// Start again at the same address, where connections of the first run remain, as after a kill right after an
	// accept.
	shutdown <- syscall.SIGTERM
	started = time.Now()
	if err := run([]byte(text), nil, shutdown, nil); err != nil || time.Since(started) > 3*time.Second {
		t.Errorf("shutdown before the gateway was ready: got error %v after %v, want none within 3 s", err, time.Since(started))
	}
}

// An invalid configuration is reported in one line, before the gateway listens.
func TestConfigurationErrorIsOneLine(t *testing.T) {
	for text, want := range map[string]string{"{": "JSON", "{}": `field "name" is missing`} {
		err := run([]byte(text), nil, nil, nil)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line that names the fault", text, err)
		}
	}
}

// Known log levels are parsed, and an unknown one is an error that names the environment variable.
func TestLogLevel(t *testing.T) {
	for text, want := range map[string]slog.Level{"": slog.LevelInfo, "debug": slog.LevelDebug, "error": slog.LevelError} {
		if level, err := logLevel(text); err != nil || level != want {
			t.Errorf("%q: got level %v and error %v", text, level, err)
		}
	}
	if _, err := logLevel("loud"); err == nil || !strings.Contains(err.Error(), "RELAY_LOG_LEVEL") {
		t.Errorf("unknown level: got error %v, want one with RELAY_LOG_LEVEL", err)
	}
}
