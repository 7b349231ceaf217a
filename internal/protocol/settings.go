package protocol

import (
	"errors"
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"laurelring/decision"
)

// defaultDrainGrace is the grace period of a drain if the settings do not name one.
const defaultDrainGrace = time.Second

// Settings holds the settings that every gateway is given when it starts, both on sockets and in the simulator.
type Settings struct {
	balancer decision.Config // without the seed

	// UtilizationField is the name of the field of a load report that holds the endpoint's utilization, or "" if load
	// reports have no such field.
	UtilizationField string
	// UtilizationIndex is the index of that field among the fields of a load report, or -1.
	UtilizationIndex int
}

// BalancerConfig returns the configuration of a balancer with the given seed for its random numbers.
func (s *Settings) BalancerConfig(seed uint64) decision.Config {
	config := s.balancer
	config.Seed = seed
	return config
}

// GatewaySettings holds the settings of a gateway on sockets, which needs more settings than one in the simulator.
type GatewaySettings struct {
	Settings
	RequestNames     []string // names of the op types for ParseRequest, in the order of the op types
	Zones            []string
	MachineTypes     []string
	ConnectTimeout   time.Duration // limit for connecting to an endpoint
	IdleTimeout      time.Duration // time after which an endpoint closes an idle connection
	VoteTimeout      time.Duration // limit for a call to the rollout controller
	PollInterval     time.Duration // maximum time between two calls to discovery
	MaxClientTimeout time.Duration // longest client timeout of all op types
}

// ParseSettings parses and validates the settings. The error is a *FieldError if a field is missing or invalid.
func ParseSettings(text []byte) (*Settings, error) {
	r, err := newSettingsReader(text)
	if err != nil {
		return nil, err
	}
	settings := &Settings{balancer: r.balancerConfig()}
	settings.UtilizationField, settings.UtilizationIndex = r.utilization()
	if r.err != nil {
		return nil, r.err
	}
	return settings, nil
}

// ParseGatewaySettings parses and validates the settings of a gateway on sockets. The error is a *FieldError if a field
// is missing or invalid.
func ParseGatewaySettings(text []byte) (*GatewaySettings, error) {
	r, err := newSettingsReader(text)
	if err != nil {
		return nil, err
	}
	settings := &GatewaySettings{Settings: Settings{balancer: r.balancerConfig()}}
	settings.RequestNames = r.requestNames()
	settings.Zones = r.texts("areas")
	settings.MachineTypes = r.texts("host_types")
	settings.UtilizationField, settings.UtilizationIndex = r.utilization()
	settings.ConnectTimeout = r.duration("limits.connect_timeout_ms")
	settings.IdleTimeout = r.duration("limits.idle_close_ms")
	settings.VoteTimeout = r.duration("family_info.api_timeout_ms")
	settings.PollInterval = r.duration("invariants.ask_within_ms")
	for _, opType := range settings.balancer.OpTypes {
		settings.MaxClientTimeout = max(settings.MaxClientTimeout, opType.ClientTimeout)
	}
	if r.err != nil {
		return nil, r.err
	}
	return settings, nil
}

// settingsReader reads the settings in a fixed order, so that the error for settings with several invalid fields always
// names the same field.
type settingsReader struct{ fieldReader }

func newSettingsReader(text []byte) (*settingsReader, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("settings are not JSON")
	}
	root := gjson.ParseBytes(text)
	if !root.IsObject() {
		return nil, errors.New("settings are not a JSON object")
	}
	return &settingsReader{fieldReader{root: root, kind: "setting"}}, nil
}

func (r *settingsReader) balancerConfig() decision.Config {
	config := decision.Config{
		Rank:     r.integer("rank"),
		Gateways: r.integer("balancers"),
		Zone:     r.integer("locality"),
		Tick:     r.duration("period_ms"),
	}
	for i, opTypeObject := range r.list("lanes") {
		config.OpTypes = append(config.OpTypes, r.opType(i, opTypeObject))
	}
	for _, tenantObject := range r.list("orgs") {
		quota := r.get(tenantObject, "quota_rps", gjson.Number).Num
		config.Tenants = append(config.Tenants, decision.TenantConfig{QuotaRate: quota})
	}
	config.Attempts = r.attempts()
	config.Costs = decision.CostConfig{
		CrossZone: r.number("prices.cross_zone"),
		Lag:       r.number("family_info.lag_fee"),
		Harm:      r.number("family_info.damage_price"),
	}
	config.SlowStart = decision.SlowStartConfig{
		InitialCapacity:  r.number("invariants.cold_from"),
		WarmUp:           r.duration("invariants.cold_ms"),
		OverloadMultiple: r.number("invariants.fall_multiple"),
		OverloadSpan:     r.duration("invariants.fall_ms"),
	}
	config.PollDiscovery = r.text("registry_mode") == "ask"
	config.DrainGrace = r.drainGrace()
	config.Exposure = r.exposure()
	config.Rollout = r.rollout()
	return config
}

// drainGrace reads the grace period of a drain. Settings without it get defaultDrainGrace.
func (r *settingsReader) drainGrace() time.Duration {
	const path = "invariants.drain_grace_ms"
	if !r.root.Get(path).Exists() {
		return defaultDrainGrace
	}
	grace := r.duration(path)
	if grace < 0 {
		r.fail(path, "is negative")
	}
	return grace
}

func (r *settingsReader) opType(index int, object gjson.Result) decision.OpTypeConfig {
	idempotency, knownIdempotency := parseIdempotency(r.get(object, "repeat", gjson.String).Str)
	scope, knownScope := parseDeduplicationScope(object.Get("dedup_scope").Str)
	if !knownIdempotency || !knownScope {
		r.fail(fmt.Sprintf("lanes.%d", index), `has an unknown kind of "repeat" or "dedup_scope"`)
	}
	return decision.OpTypeConfig{
		LatencyObjective: durationFromMs(r.get(object, "aim_ms", gjson.Number).Num),
		ObjectiveStretch: object.Get("aim_stretch").Num,
		ClientTimeout:    durationFromMs(r.get(object, "give_up_ms", gjson.Number).Num),
		PriorityWeight:   r.get(object, "gain", gjson.Number).Num,
		LateValueShare:   object.Get("late_worth").Num,
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      durationFromMs(object.Get("window_ms").Num),
	}
}

func (r *settingsReader) attempts() decision.AttemptConfig {
	config := decision.AttemptConfig{
		Max:       r.integer("limits.max_attempts"),
		MayCancel: r.boolean("limits.may_cancel"),
	}
	sendRetryAfter := r.boolean("limits.retry_after")
	maxRetryAfter := r.duration("limits.max_retry_after_ms")
	if sendRetryAfter {
		config.MaxRetryAfter = maxRetryAfter
	}
	return config
}

func (r *settingsReader) exposure() decision.ExposureConfig {
	return decision.ExposureConfig{
		Window:       r.duration("family_info.window_ms"),
		Allowance:    r.number("family_info.allowance"),
		PerOpType:    r.text("family_info.per") == "class",
		ClosedStages: r.integer("family_info.closed_stages"),
		StickyKeys:   r.boolean("family_info.one_way"),
		StageCaps:    r.numbers("family_info.exposure_caps"),
	}
}

func (r *settingsReader) rollout() decision.RolloutConfig {
	mode, known := parsePromotionMode(r.text("family_info.decided_by"))
	if !known {
		r.fail("family_info.decided_by", "is not a known promotion mode")
	}
	return decision.RolloutConfig{
		Mode:          mode,
		PromoteVotes:  r.integer("family_info.ayes_needed"),
		RollbackVotes: r.integer("family_info.votes_to_revert"),
		StageShares:   r.numbers("family_info.steps"),
		VoteTTL:       r.duration("family_info.vote_ttl_ms"),
		AnswerTimeout: r.duration("family_info.api_timeout_ms"),
		PeerMessages:  r.boolean("limits.peer_messages"),
	}
}

// requestNames returns the names of the op types in requests. Idempotent op types use the read command, all others the
// write command.
func (r *settingsReader) requestNames() []string {
	var names []string
	for _, opTypeObject := range r.list("lanes") {
		command := commandWrite
		if idempotency, _ := parseIdempotency(opTypeObject.Get("repeat").Str); idempotency == decision.Idempotent {
			command = commandRead
		}
		names = append(names, requestName(command, r.get(opTypeObject, "name", gjson.String).Str))
	}
	return names
}

// utilization returns the name and the index of the utilization field of load reports, or "" and -1 if there is none.
func (r *settingsReader) utilization() (field string, index int) {
	for i, field := range r.texts("feedback.fields") {
		if field == "utilization" {
			return field, i
		}
	}
	return "", -1
}

func parseIdempotency(text string) (idempotency decision.Idempotency, known bool) {
	switch text {
	case "repeatable":
		return decision.Idempotent, true
	case "by_key":
		return decision.IdempotentByKey, true
	}
	return decision.NonIdempotent, text == "once"
}

func parseDeduplicationScope(text string) (scope decision.DeduplicationScope, known bool) {
	switch text {
	case "zone":
		return decision.ScopeZone, true
	case "cell":
		return decision.ScopeCell, true
	}
	return decision.ScopeAll, text == "" || text == "all"
}

func parsePromotionMode(text string) (mode decision.PromotionMode, known bool) {
	switch text {
	case "any":
		return decision.PromoteByAnyVote, true
	case "share":
		return decision.PromoteByQuorum, true
	}
	return decision.PromoteByTimer, text == "timer"
}
