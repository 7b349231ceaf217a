package main

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"

	"laurelring/internal/gatewaytest"
)

// If newGateway fails, it closes the sockets that it has opened, so that their addresses are free.
func TestNewGatewayClosesSocketsOnError(t *testing.T) {
	peers, taken := gatewaytest.ListenPacket(t), gatewaytest.Listen(t)
	peers.Close()
	valid := testConfiguration()
	valid.PeerListen = peers.LocalAddr().String()
	occupied := valid
	occupied.Listen = taken.Addr().String()
	for _, test := range []struct{ name, text, want string }{
		{"invalid rollout status", strings.Replace(valid.Text(), `"mode":"live"`, `"mode":"odd"`, 1), `field "pipeline.news": `},
		{"listen address in use", occupied.Text(), "address already in use"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := mustParseConfiguration(t, test.text)
			_, err := newGateway(t.Context(), c, slog.New(slog.DiscardHandler))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one with %s", err, test.want)
			}
			socket, err := net.ListenPacket("udp", valid.PeerListen)
			if err != nil {
				t.Fatal("peer socket was left open:", err)
			}
			socket.Close()
		})
	}
}

// newGateway opens the listener, so that clients can connect before the gateway is started.
func TestNewGatewayOpensListener(t *testing.T) {
	g, err := newGateway(context.Background(), mustParseConfiguration(t, testConfiguration().Text()), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", g.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	g.close()
	if conn, err := net.Dial("tcp", g.listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("listener was left open")
	}
}

func TestCloseRunsClosersInReverseOrder(t *testing.T) {
	var g gateway
	var calls []string
	for _, name := range []string{"first", "second", "third"} {
		g.addCloser(func() { calls = append(calls, name) })
	}
	g.close()
	g.close() // nothing is closed twice
	if want := []string{"third", "second", "first"}; !slices.Equal(calls, want) {
		t.Errorf("got calls %v, want %v", calls, want)
	}
}
