package protocol

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/tidwall/gjson"
)

// Addresses holds the addresses that can be changed while the gateway runs. Each is an IP address and a port.
type Addresses struct {
	Discovery         string
	RolloutController string
}

// GatewayConfiguration is the startup configuration of a gateway that uses sockets.
type GatewayConfiguration struct {
	Name   string
	Listen string // address for clients
	Addresses
	Seed          uint64 // seed of all random numbers
	EndpointList  []byte // most recent known endpoint list, for ParseEndpointList
	RolloutStatus []byte // rollout status when the gateway starts, for ParseRolloutStatus
	Limits        ResourceLimits
	Peers         PeerAddresses
	Settings      []byte // for ParseGatewaySettings
}

// ResourceLimits limits the resources that the gateway's process may use. All limits are above 0.
type ResourceLimits struct {
	Cores       float64
	MemoryBytes int64
	Descriptors int
}

// PeerAddresses holds the addresses for datagrams between gateways. All are empty if gateways exchange no datagrams.
type PeerAddresses struct {
	Listen    string
	ByRank    []string // addresses of the gateways, by rank
	Broadcast string   // address that reaches all gateways; may be empty
}

// ParseGatewayConfiguration parses and validates a configuration. The error is a *FieldError if a field is missing or
// invalid. The fields that are left for other parsers are not validated.
func ParseGatewayConfiguration(text []byte) (*GatewayConfiguration, error) {
	r, err := newConfigurationReader(text)
	if err != nil {
		return nil, err
	}
	configuration := &GatewayConfiguration{Name: r.text("name")}
	configuration.Listen = r.address("listen")
	configuration.Addresses = r.addresses()
	configuration.Seed = r.seed()
	configuration.EndpointList = []byte(r.json("known").Raw)
	configuration.RolloutStatus = []byte(r.json("pipeline.news").Raw)
	configuration.Limits = r.limits()
	configuration.Peers = r.peers()
	configuration.Settings = []byte(r.root.Get("settings").Raw) // validated by ParseGatewaySettings
	if r.err != nil {
		return nil, r.err
	}
	return configuration, nil
}

// ParseAddresses parses only the addresses of a configuration, which are all that a running gateway applies from a
// changed configuration.
func ParseAddresses(text []byte) (Addresses, error) {
	r, err := newConfigurationReader(text)
	if err != nil {
		return Addresses{}, err
	}
	addresses := r.addresses()
	return addresses, r.err
}

// configurationReader reads the fields of a configuration in a fixed order, so that the error for a configuration with
// several invalid fields always names the same field.
type configurationReader struct{ fieldReader }

func newConfigurationReader(text []byte) (*configurationReader, error) {
	if !gjson.ValidBytes(text) || !gjson.ParseBytes(text).IsObject() {
		return nil, errors.New("configuration is not a JSON object")
	}
	return &configurationReader{fieldReader{root: gjson.ParseBytes(text), kind: "field"}}, nil
}

func (r *configurationReader) addresses() Addresses {
	discovery := r.address("discovery")
	return Addresses{Discovery: discovery, RolloutController: r.address("pipeline.address")}
}

func (r *configurationReader) seed() uint64 {
	seed, err := strconv.ParseUint(r.text("seed"), 16, 64)
	if err != nil {
		r.fail("seed", "is not a 64-bit hexadecimal number")
	}
	return seed
}

func (r *configurationReader) limits() ResourceLimits {
	limits := ResourceLimits{
		Cores:       r.number("limits.cores"),
		MemoryBytes: int64(r.number("limits.memory_mb")) << 20,
		Descriptors: r.integer("limits.sockets"),
	}
	if limits.Cores <= 0 || limits.MemoryBytes <= 0 || limits.Descriptors <= 0 {
		r.fail("limits", "must contain only values above 0")
	}
	return limits
}

// peers reads the addresses for datagrams between gateways. A configuration without peer_listen has none.
func (r *configurationReader) peers() PeerAddresses {
	var peers PeerAddresses
	if !r.root.Get("peer_listen").Exists() {
		return peers
	}
	for i := range r.list("peers") {
		peers.ByRank = append(peers.ByRank, r.address(fmt.Sprintf("peers.%d", i)))
	}
	if r.root.Get("peers_all").Exists() {
		peers.Broadcast = r.address("peers_all")
	}
	peers.Listen = r.address("peer_listen")
	return peers
}

// address reads an IP address and a port.
func (r *configurationReader) address(path string) string {
	text := r.text(path)
	if _, err := netip.ParseAddrPort(text); err != nil {
		r.fail(path, "is not an IP address and port")
	}
	return text
}
