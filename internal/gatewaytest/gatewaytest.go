// Package gatewaytest provides helpers for tests of the gateway program: fake endpoints, a fake discovery service, a
// fake rollout controller, clients, configurations, and fleets of gateway processes. All of them listen on loopback
// addresses.
package gatewaytest

import (
	"net"
	"testing"
)

// Listen opens a listener on a loopback port that no other test uses. It is closed when the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	var listener net.Listener
	// The first listener that opens is returned, instead of being closed and opened again. A closed listener stays open
	// in any child process that is being started, until the child has run exec.
	reserveAddress(t, func(address string) bool {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	})
	t.Cleanup(func() { listener.Close() })
	return listener
}

// ListenPacket opens a UDP socket on a free loopback port. It is closed when the test ends.
func ListenPacket(t *testing.T) net.PacketConn {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return socket
}

// ReceiveDatagrams opens a UDP socket, returns its address and sends the size of each datagram received to sizes.
func ReceiveDatagrams(t *testing.T, sizes chan<- int) string {
	t.Helper()
	socket := ListenPacket(t)
	go func() {
		for buffer := make([]byte, 1<<10); ; {
			size, _, err := socket.ReadFrom(buffer)
			if err != nil {
				return
			}
			sizes <- size
		}
	}()
	return socket.LocalAddr().String()
}

// Serve accepts connections and serves each on its own goroutine, until the listener is closed.
func Serve(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}
