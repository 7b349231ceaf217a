package gatewaytest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports of gateways and fakes are taken from below the kernel's ephemeral port range. A gateway opens its ports some
// time after they were reserved, in a separate process. By then, a port from the ephemeral range may belong to another
// test, whose fakes would receive this test's requests. A released port is not reserved again until this process has
// tried all other ports, because a client may still be calling it.
const (
	firstReservedPort = 20_000
	reservedPorts     = 12_000
	portStride        = 37 // between the first ports that processes with consecutive ids try
)

// portsTried is the number of ports that this process has tried to reserve.
var portsTried atomic.Int64

// ReserveAddress returns a loopback address at which both a TCP listener and a UDP socket can be opened. No other test
// in any process can reserve its port until this test ends. Neither socket is left open.
func ReserveAddress(t testing.TB) string {
	t.Helper()
	return reserveAddress(t, canOpen)
}

// reserveAddress returns a loopback address for which open succeeds. No other test in any process can reserve its port
// until this test ends.
func reserveAddress(t testing.TB, open func(address string) bool) string {
	t.Helper()
	start := os.Getpid() * portStride
	for range reservedPorts {
		port := firstReservedPort + (start+int(portsTried.Add(1)))%reservedPorts
		lock, err := net.Listen("unix", fmt.Sprintf("@laurelring-test-port-%d", port)) // abstract: ends with its process
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !open(address) {
			lock.Close()
			continue
		}
		t.Cleanup(func() { lock.Close() })
		return address
	}
	t.Fatal("all ports for tests are reserved or in use")
	return ""
}

// canOpen reports whether both a TCP listener and a UDP socket can be opened at an address.
func canOpen(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	socket.Close()
	return true
}
