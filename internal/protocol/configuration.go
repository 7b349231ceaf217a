package protocol

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/tidwall/gjson"
)

// Addresses are the parties of a gateway that may move while it runs.
type Addresses struct {
	Discovery         string
	RolloutController string
}

// GatewayConfiguration is what a gateway on sockets starts from.
type GatewayConfiguration struct {
	Name   string
	Listen string // for clients
	Addresses
	Seed          uint64 // of all random draws
	EndpointList  []byte // as it was last held, for ParseEndpointList
	RolloutStatus []byte // at the gateway's start, for ParseRolloutStatus
	Limits        ResourceLimits
	Peers         PeerAddresses
	Settings      []byte // for ParseGatewaySettings
}

// ResourceLimits are what the gateway's process may use; all are above 0.
type ResourceLimits struct {
	Cores       float64
	MemoryBytes int64
	Descriptors int
}

// PeerAddresses are for datagrams between gateways; all are empty where there are none.
type PeerAddresses struct {
	Listen    string
	Each      []string // of the gateways, by rank
	Broadcast string   // reaches all of them; may be empty
}

// ParseGatewayConfiguration reads and validates a configuration. The error is a *FieldError where a field is at fault.
// What the fields hold for other parsers is not looked into.
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
	configuration.Settings = []byte(r.root.Get("settings").Raw) // ParseGatewaySettings says what is wrong with it
	if r.err != nil {
		return nil, r.err
	}
	return configuration, nil
}

// ParseAddresses reads from a configuration only what a running gateway takes over from it.
func ParseAddresses(text []byte) (Addresses, error) {
	r, err := newConfigurationReader(text)
	if err != nil {
		return Addresses{}, err
	}
	addresses := r.addresses()
	return addresses, r.err
}

// configurationReader reads a configuration in a fixed order, so that of several faults the same is always named.
type configurationReader struct{ fieldReader }

func newConfigurationReader(text []byte) (*configurationReader, error) {
	if !gjson.ValidBytes(text) || !gjson.ParseBytes(text).IsObject() {
		return nil, errors.New("configuration is no JSON object")
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
		r.fail("seed", "is no hexadecimal number")
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
		r.fail("limits", "must be above 0")
	}
	return limits
}

func (r *configurationReader) peers() PeerAddresses {
	var peers PeerAddresses
	if !r.root.Get("peer_listen").Exists() {
		return peers
	}
	for i := range r.list("peers") {
		peers.Each = append(peers.Each, r.address(fmt.Sprintf("peers.%d", i)))
	}
	if r.root.Get("peers_all").Exists() {
		peers.Broadcast = r.address("peers_all")
	}
	peers.Listen = r.address("peer_listen")
	return peers
}

func (r *configurationReader) address(path string) string {
	text := r.text(path)
	if _, err := netip.ParseAddrPort(text); err != nil {
		r.fail(path, "is no address and port")
	}
	return text
}
