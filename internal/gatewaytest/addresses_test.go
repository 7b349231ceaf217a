package gatewaytest

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
)

// Reserved ports must be unique and outside the ephemeral range. They used to come from that range, and were reserved
// and released again before the gateway processes opened them. As a result, TestNoAttemptToDrainedEndpointAfterStall
// failed in one of nine whole runs with 34 attempts at draining endpoints, spread over its whole observation period.
// This looked like discovery not answering, but logs of both sides of each call show that both gateways were answered
// within 3 ms of the change and continued with the new list. The requests belonged to another test. Its gateway found
// its port taken ("bind: address already in use") by an endpoint of the failing test, which then received the requests
// of that gateway's client, 25 a second (313 in all where it was the gateway with nine clients).
func TestReservedAddressesAreExclusive(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	var first, last uint16 // ports of the ephemeral range
	if _, err := fmt.Sscan(strings.TrimSpace(string(text)), &first, &last); err != nil {
		t.Fatal(err)
	}
	reserved := map[string]bool{}
	for range 200 {
		address := ReserveAddress(t)
		if reserved[address] {
			t.Fatalf("%s was reserved twice", address)
		}
		reserved[address] = true
		if port := netip.MustParseAddrPort(address).Port(); port >= first && port <= last {
			t.Fatalf("got port %d, want one outside the ephemeral range %d to %d", port, first, last)
		}
	}
}
