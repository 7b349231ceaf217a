package gatewaytest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports of gateways and fakes are drawn from below the range from which the kernel gives ports to those who ask for any, as
// connections do. A gateway opens its ports a while after they were reserved, in a process of its own: one from that range
// may belong to another test by then, whose fakes get this test's requests. A port that was given back is not reserved
// again until all others of the process were: somebody may still be calling it.
const (
	firstReservedPort = 20_000
	reservedPorts     = 12_000
	portStride        = 37 // between the first ports that two processes try
)

// portsTried counts the ports that this process has tried to reserve.
var portsTried atomic.Int64

// ReserveAddress finds a loopback address whose port no other test of any process reserves until this test ends, and at
// which both a listener and a datagram socket can be opened. Nothing is open there.
func ReserveAddress(t testing.TB) string {
	t.Helper()
	return reserve(t, canOpen)
}

// reserve finds a loopback address whose port no other test of any process reserves until this test ends, and at which a
// function succeeds that opens what is to be opened there.
func reserve(t testing.TB, open func(address string) bool) string {
	t.Helper()
	start := os.Getpid() * portStride
	for range reservedPorts {
		port := firstReservedPort + (start+int(portsTried.Add(1)))%reservedPorts
		lock, err := net.Listen("unix", fmt.Sprintf("@laurelring-test-port-%d", port)) // abstract: it ends with its process
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
	t.Fatal("no port is free")
	return ""
}

// canOpen reports whether both a listener and a datagram socket can be opened at an address.
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
