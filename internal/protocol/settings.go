package protocol

import (
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"

	"laurelring/decision"
)

// Facts reads JSON by the names of its fields and keeps the first that is missing or wrong; unknown ones are
// not looked at.
type Settings struct {
	root gjson.Result
	what string // what is read, for the message on a fault
	err  error
}

// ReadSettings opens the object that an instance is handed at its start.
func ParseSettings(text []byte) (*Settings, error) { return read("setting", text) }

func read(what string, text []byte) (*Settings, error) {
	if !gjson.ValidBytes(text) {
		return nil, fmt.Errorf("the %ss are not JSON", what)
	}
	root := gjson.ParseBytes(text)
	if !root.IsObject() {
		return nil, fmt.Errorf("the %ss are not a JSON object", what)
	}
	return &Settings{root: root, what: what}, nil
}

// Err is the first fault met so far.
func (f *Settings) Err() error { return f.err }

func (f *Settings) fault(path, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s %q %s", f.what, path, why)
	}
}

func (f *Settings) get(from gjson.Result, path string, kind gjson.Type) gjson.Result {
	v := from.Get(path)
	if !v.Exists() {
		f.fault(path, "is missing")
	} else if v.Type != kind && !(kind == gjson.True && v.Type == gjson.False) {
		f.fault(path, "is of the wrong type")
	}
	return v
}

func (f *Settings) num(path string) float64       { return f.get(f.root, path, gjson.Number).Num }
func (f *Settings) count(path string) int         { return int(f.num(path)) }
func (f *Settings) ns(path string) time.Duration  { return durationFromMs(f.num(path)) }
func (f *Settings) is(path string) bool           { return f.get(f.root, path, gjson.True).Bool() }
func (f *Settings) word(path string) string       { return f.get(f.root, path, gjson.String).Str }
func (f *Settings) list(path string) gjson.Result { return f.get(f.root, path, gjson.JSON) }

func (f *Settings) nums(path string) []float64 {
	var all []float64
	for _, v := range f.list(path).Array() {
		all = append(all, v.Num)
	}
	return all
}

func (f *Settings) words(path string) []string {
	var all []string
	for _, v := range f.list(path).Array() {
		all = append(all, v.Str)
	}
	return all
}

func durationFromMs(ms float64) time.Duration {
	return time.Duration(math.Round(max(-4e12, min(4e12, ms)) * 1e6))
}

func parseIdempotency(word string) (decision.Idempotency, bool) {
	switch word {
	case "repeatable":
		return decision.Idempotent, true
	case "by_key":
		return decision.IdempotentByKey, true
	}
	return decision.NonIdempotent, word == "once"
}

func parseDeduplicationScope(word string) (decision.DeduplicationScope, bool) {
	switch word {
	case "zone":
		return decision.ScopeZone, true
	case "cell":
		return decision.ScopeCell, true
	}
	return decision.ScopeAll, word == "" || word == "all"
}

func parsePromotionMode(word string) (decision.PromotionMode, bool) {
	switch word {
	case "any":
		return decision.PromoteByAnyVote, true
	case "share":
		return decision.PromoteByQuorum, true
	}
	return decision.PromoteByTimer, word == "timer"
}

// BalancerConfig reads what a balancer is made from, with its op types and tenants in their order. Faults are told by Err.
func (f *Settings) BalancerConfig(seed uint64) decision.Config {
	config := decision.Config{
		Seed:     seed,
		Rank:     f.count("rank"),
		Gateways: f.count("balancers"),
		Zone:     f.count("locality"),
		Tick:     f.ns("period_ms"),
	}
	for i, lane := range f.list("lanes").Array() {
		config.OpTypes = append(config.OpTypes, f.opType(i, lane))
	}
	for _, org := range f.list("orgs").Array() {
		config.Tenants = append(config.Tenants, decision.TenantConfig{QuotaRate: f.get(org, "quota_rps", gjson.Number).Num})
	}
	config.Attempts = f.attempts()
	config.Costs = decision.CostConfig{
		CrossZone: f.num("prices.cross_zone"),
		Lag:       f.num("family_info.lag_fee"),
		Harm:      f.num("family_info.damage_price"),
	}
	config.SlowStart = decision.SlowStartConfig{
		InitialCapacity:  f.num("invariants.cold_from"),
		WarmUp:           f.ns("invariants.cold_ms"),
		OverloadMultiple: f.num("invariants.fall_multiple"),
		OverloadSpan:     f.ns("invariants.fall_ms"),
	}
	config.PollDiscovery = f.MustAsk()
	config.Exposure = decision.ExposureConfig{
		Window:       f.ns("family_info.window_ms"),
		Allowance:    f.num("family_info.allowance"),
		PerOpType:    f.word("family_info.per") == "class",
		ClosedStages: f.count("family_info.closed_stages"),
		StickyKeys:   f.is("family_info.one_way"),
		StageCaps:    f.nums("family_info.exposure_caps"),
	}
	config.Rollout = f.rollout()
	return config
}

func (f *Settings) opType(index int, lane gjson.Result) decision.OpTypeConfig {
	idempotency, known := parseIdempotency(f.get(lane, "repeat", gjson.String).Str)
	scope, in := parseDeduplicationScope(lane.Get("dedup_scope").Str)
	if !known || !in {
		f.fault(fmt.Sprintf("lanes.%d", index), "has an unknown kind or group")
	}
	return decision.OpTypeConfig{
		LatencyObjective: durationFromMs(f.get(lane, "aim_ms", gjson.Number).Num),
		ObjectiveStretch: lane.Get("aim_stretch").Num,
		ClientTimeout:    durationFromMs(f.get(lane, "give_up_ms", gjson.Number).Num),
		PriorityWeight:   f.get(lane, "gain", gjson.Number).Num,
		LateValueShare:   lane.Get("late_worth").Num,
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      durationFromMs(lane.Get("window_ms").Num),
	}
}

func (f *Settings) attempts() decision.AttemptConfig {
	config := decision.AttemptConfig{Max: f.count("limits.max_attempts"), MayCancel: f.is("limits.may_cancel")}
	honoured, longest := f.is("limits.retry_after"), f.ns("limits.max_retry_after_ms")
	if honoured {
		config.MaxRetryAfter = longest
	}
	return config
}

func (f *Settings) rollout() decision.RolloutConfig {
	mode, ok := parsePromotionMode(f.word("family_info.decided_by"))
	if !ok {
		f.fault("family_info.decided_by", "names no known way")
	}
	return decision.RolloutConfig{
		Mode:          mode,
		PromoteVotes:  f.count("family_info.ayes_needed"),
		RollbackVotes: f.count("family_info.votes_to_revert"),
		StageShares:   f.nums("family_info.steps"),
		VoteTTL:       f.ns("family_info.vote_ttl_ms"),
		AnswerTimeout: f.ns("family_info.api_timeout_ms"),
		PeerMessages:  f.is("limits.peer_messages"),
	}
}

// Asked gives the words by which clients ask for the op types, in their order: those that may be repeated are
// read, the others written.
func (f *Settings) Asked() []string {
	var all []string
	for _, lane := range f.list("lanes").Array() {
		command := "API.WRITE"
		if kind, _ := parseIdempotency(lane.Get("repeat").Str); kind == decision.Idempotent {
			command = "API.READ"
		}
		all = append(all, asks(command, f.get(lane, "name", gjson.String).Str))
	}
	return all
}

func asks(command, name string) string { return command + " " + name }

// Zones names the zones in their order.
func (f *Settings) Zones() []string { return f.words("areas") }

// Models names the kinds of machine in their order.
func (f *Settings) Models() []string { return f.words("host_types") }

// Rank is the gateway's number and how many gateways there are. It is read after Gateway, which tells of faults.
func (f *Settings) Rank() (rank, gateways int) { return f.count("rank"), f.count("balancers") }

// Messages tells whether gateways may send one another messages.
func (f *Settings) Messages() bool { return f.is("limits.peer_messages") }

// MustAsk tells whether the list of instances must be asked for its changes.
func (f *Settings) MustAsk() bool { return f.word("registry_mode") == "ask" }

// Longest is the longest time that a client waits.
func (f *Settings) Longest() time.Duration {
	longest := time.Duration(0)
	for _, lane := range f.list("lanes").Array() {
		longest = max(longest, durationFromMs(lane.Get("give_up_ms").Num))
	}
	return longest
}

// ConnectWithin is how long a connection to an endpoint may take to come up.
func (f *Settings) ConnectWithin() time.Duration { return f.ns("limits.connect_timeout_ms") }

// IdleFor is how long an idle connection to an instance may stand.
func (f *Settings) IdleFor() time.Duration { return f.ns("limits.idle_close_ms") }

// VoteWithin is how long the answer to a vote is waited for.
func (f *Settings) VoteWithin() time.Duration { return f.ns("family_info.api_timeout_ms") }

// AskWithin is how long the list may go unasked before its changes count as told.
func (f *Settings) AskWithin() time.Duration { return f.ns("invariants.ask_within_ms") }

// Busy names the field of a load report that tells how busy an instance is, and its position among the
// fields; the position is -1 where there is none.
func (f *Settings) Busy() (string, int) {
	for i, field := range f.words("feedback.fields") {
		if field == "utilization" {
			return field, i
		}
	}
	return "", -1
}
