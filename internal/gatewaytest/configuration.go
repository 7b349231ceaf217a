package gatewaytest

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Settings is the settings object of the gateway of rank 0 in a fleet of two. Its op types are look, which is
// idempotent, and book, which is not.
const Settings = `{"rank":0,"balancers":2,"locality":0,"period_ms":5,"areas":["a"],"host_types":["m"],"lanes":[
{"name":"look","aim_ms":500,"give_up_ms":2000,"gain":1,"repeat":"repeatable"},
{"name":"book","aim_ms":500,"give_up_ms":1500,"gain":3,"repeat":"once"}],"orgs":[],
"limits":{"max_attempts":5,"may_cancel":true,"retry_after":true,"max_retry_after_ms":500,"peer_messages":true,
"connect_timeout_ms":250,"idle_close_ms":30000},
"prices":{"cross_zone":0.04},"invariants":{"cold_from":0.31,"cold_ms":4400,"fall_multiple":2,"fall_ms":3000,
"ask_within_ms":10000},
"registry_mode":"ask","family_info":{"window_ms":4000,"allowance":3,"per":"all","closed_stages":0,
"one_way":false,"exposure_caps":[0.1,0.5,1],"decided_by":"share","ayes_needed":1,"votes_to_revert":1,
"steps":[0.1,0.5,1],"lag_fee":0.3,"damage_price":8,"vote_ttl_ms":6000,"api_timeout_ms":2000},
"feedback":{"how":"inline","fields":["utilization"]}}`

// FleetSettings returns Settings for the gateway of a given rank in a fleet, with or without messages between gateways.
func FleetSettings(rank, gateways int, messages bool) string {
	text := strings.Replace(Settings, `"rank":0,"balancers":2`, fmt.Sprintf(`"rank":%d,"balancers":%d`, rank, gateways), 1)
	if !messages {
		text = strings.Replace(text, `"peer_messages":true`, `"peer_messages":false`, 1)
	}
	return text
}

// ReleasedStatus is the rollout status of a released build.
const ReleasedStatus = `{"release":1,"tranche":2,"mode":"live","exposure":1,"old_ms":0}`

// Configuration is the variable part of a gateway's configuration file: addresses, and the values that differ between
// tests. Text adds the rest, which is the same for all tests.
type Configuration struct {
	Name              string
	Listen            string
	Discovery         string
	RolloutController string
	Seed              uint64
	Descriptors       int
	PeerListen        string // empty disables messages between gateways
	Peers             []string
	Endpoints         []EndpointRecord // the initial endpoint list, revision 1
	Settings          string
}

// Text returns the text of the configuration file.
func (c Configuration) Text() string {
	var peers string
	if c.PeerListen != "" {
		var quoted []string
		for _, peer := range c.Peers {
			quoted = append(quoted, strconv.Quote(peer))
		}
		peers = fmt.Sprintf(`"peer_listen":%q,"peers":[%s],`, c.PeerListen, strings.Join(quoted, ","))
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},%s
"pipeline":{"address":%q,"news":%s},
"known":%s,"settings":%s}`, c.Name, c.Listen, c.Discovery, c.Seed, c.Descriptors, peers,
		c.RolloutController, ReleasedStatus, EndpointList{Revision: 1, Complete: true, Endpoints: c.Endpoints}.Text(), c.Settings)
}

// WithAddress returns the text of a configuration with the first field of the given name set to another address.
func WithAddress(text, field, address string) string {
	head, tail, _ := strings.Cut(text, field+`":"`)
	return head + field + `":"` + address + tail[strings.Index(tail, `"`):]
}

// EndpointRecord is one endpoint in discovery's list.
type EndpointRecord struct {
	ID          string `json:"id"`
	Address     string `json:"host_port"`
	Zone        string `json:"locality"`
	MachineType string `json:"flavor"`
	Cell        int    `json:"cell"`
	Phase       string `json:"phase"`
	Size        int    `json:"size"`
	UpSince     int64  `json:"up_since_ms"`
	Build       int    `json:"build"`
}

// ReadyEndpoint returns the record of an endpoint of build 1 that is up.
func ReadyEndpoint(id, address string) EndpointRecord {
	return EndpointRecord{ID: id, Address: address, Zone: "a", MachineType: "m", Phase: "up", Size: 4, Build: 1}
}

// EndpointList is a response of discovery.
type EndpointList struct {
	Complete  bool             `json:"complete,omitempty"`
	Endpoints []EndpointRecord `json:"members"`
	Revision  int64            `json:"revision"`
}

// Text returns the list as discovery writes it.
func (l EndpointList) Text() string {
	text, _ := json.Marshal(l) // cannot fail: the fields are only strings, numbers and booleans
	return string(text)
}
