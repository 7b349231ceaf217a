package protocol

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/tidwall/gjson"
)

// Launch reads the configuration that a gateway starts from.
type GatewayConfiguration struct{ *Settings }

// ReadLaunch opens a configuration.
func ParseGatewayConfiguration(text []byte) (*GatewayConfiguration, error) {
	f, err := read("field", text)
	if err != nil {
		return nil, fmt.Errorf("the configuration is no JSON object")
	}
	return &GatewayConfiguration{f}, nil
}

// Name is the gateway's name.
func (l *GatewayConfiguration) Name() string { return l.word("name") }

// Listen is where clients connect.
func (l *GatewayConfiguration) Listen() string { return l.address("listen") }

// Discovery is where the list of instances is asked for.
func (l *GatewayConfiguration) Discovery() string { return l.address("discovery") }

// Desk is the platform's address.
func (l *GatewayConfiguration) Desk() string { return l.address("pipeline.address") }

// Seed is what the gateway's chance comes from.
func (l *GatewayConfiguration) Seed() uint64 {
	seed, err := strconv.ParseUint(l.word("seed"), 16, 64)
	if err != nil {
		l.fault("seed", "is no hexadecimal number")
	}
	return seed
}

// Limits are the cores, the bytes of memory and the descriptors that the gateway may hold.
func (l *GatewayConfiguration) Limits() (cores float64, memory int64, descriptors int) {
	cores, memory, descriptors = l.num("limits.cores"), int64(l.num("limits.memory_mb"))<<20, l.count("limits.sockets")
	if cores <= 0 || memory <= 0 || descriptors <= 0 {
		l.fault("limits", "must be above 0")
	}
	return cores, memory, descriptors
}

// Peers are where messages of other gateways arrive, the gateways' addresses by their numbers, and the
// address of all of them, if there is one.
func (l *GatewayConfiguration) Peers() (listen string, each []string, all string) {
	if !l.root.Get("peer_listen").Exists() {
		return "", nil, ""
	}
	for i := range l.list("peers").Array() {
		each = append(each, l.address(fmt.Sprintf("peers.%d", i)))
	}
	if l.root.Get("peers_all").Exists() {
		all = l.address("peers_all")
	}
	return l.address("peer_listen"), each, all
}

// News is where the newest build stood when the gateway was started.
func (l *GatewayConfiguration) News() gjson.Result { return l.list("pipeline.news") }

// Known is the list of instances as it was last held.
func (l *GatewayConfiguration) Known() []byte { return []byte(l.list("known").Raw) }

// SettingsText is the object that an instance is handed at its start.
func (l *GatewayConfiguration) SettingsText() []byte { return []byte(l.list("settings").Raw) }

func (l *GatewayConfiguration) address(path string) string {
	text := l.word(path)
	if _, err := netip.ParseAddrPort(text); err != nil {
		l.fault(path, "is no address and port")
	}
	return text
}
