package protocol

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"laurelring/decision"
)

const testSettings = `{"rank":1,"balancers":3,"locality":1,"period_ms":5,
"lanes":[{"name":"look","aim_ms":500,"give_up_ms":2000,"gain":1,"repeat":"repeatable"},
{"name":"book","aim_ms":400,"aim_stretch":2.5,"late_worth":0.3,"give_up_ms":3000,"gain":2,"repeat":"by_key",
"dedup_scope":"cell","window_ms":700}],"orgs":[{"quota_rps":50}],"areas":["a","b"],"host_types":["m"],
"limits":{"max_attempts":3,"may_cancel":true,"connect_timeout_ms":250,"idle_close_ms":30000,"retry_after":true,
"max_retry_after_ms":500,"peer_messages":true},"prices":{"cross_zone":0.04},
"invariants":{"cold_from":0.4,"cold_ms":4000,"fall_multiple":2,"fall_ms":2000,"ask_within_ms":9000,"drain_grace_ms":300},"registry_mode":"ask",
"family_info":{"window_ms":4000,"allowance":2,"per":"class","closed_stages":1,"one_way":true,"exposure_caps":[0.1,1],
"decided_by":"share","ayes_needed":2,"votes_to_revert":1,"steps":[0.2,1],"lag_fee":0.3,"damage_price":4,
"vote_ttl_ms":6000,"api_timeout_ms":1000},"feedback":{"fields":["backlog","utilization"]}}`

func TestParsesGatewaySettings(t *testing.T) {
	got, err := ParseGatewaySettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	want := &GatewaySettings{
		Settings: Settings{
			balancer: decision.Config{
				Rank: 1, Gateways: 3, Zone: 1, Tick: 5 * time.Millisecond,
				OpTypes: []decision.OpTypeConfig{
					{LatencyObjective: 500 * time.Millisecond, ClientTimeout: 2 * time.Second, PriorityWeight: 1},
					{LatencyObjective: 400 * time.Millisecond, ObjectiveStretch: 2.5, ClientTimeout: 3 * time.Second,
						PriorityWeight: 2, LateValueShare: 0.3, Idempotency: decision.IdempotentByKey,
						DedupScope: decision.ScopeCell, DedupWindow: 700 * time.Millisecond},
				},
				Tenants:  []decision.TenantConfig{{QuotaRate: 50}},
				Attempts: decision.AttemptConfig{Max: 3, MayCancel: true, MaxRetryAfter: 500 * time.Millisecond},
				Costs:    decision.CostConfig{CrossZone: 0.04, Lag: 0.3, Harm: 4},
				SlowStart: decision.SlowStartConfig{InitialCapacity: 0.4, WarmUp: 4 * time.Second, OverloadMultiple: 2,
					OverloadSpan: 2 * time.Second},
				Exposure: decision.ExposureConfig{Window: 4 * time.Second, Allowance: 2, PerOpType: true, ClosedStages: 1,
					StickyKeys: true, StageCaps: []float64{0.1, 1}},
				Rollout: decision.RolloutConfig{Mode: decision.PromoteByQuorum, PromoteVotes: 2, RollbackVotes: 1,
					StageShares: []float64{0.2, 1}, VoteTTL: 6 * time.Second, AnswerTimeout: time.Second, PeerMessages: true},
				PollDiscovery: true,
				DrainGrace:    300 * time.Millisecond,
			},
			UtilizationField: "utilization",
			UtilizationIndex: 1,
		},
		RequestNames:     []string{"API.READ look", "API.WRITE book"},
		Zones:            []string{"a", "b"},
		MachineTypes:     []string{"m"},
		ConnectTimeout:   250 * time.Millisecond,
		IdleTimeout:      30 * time.Second,
		VoteTimeout:      time.Second,
		PollInterval:     9 * time.Second,
		MaxClientTimeout: 3 * time.Second,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if seed := got.BalancerConfig(7).Seed; seed != 7 {
		t.Errorf("got seed %d, want 7", seed)
	}
}

func TestDrainGraceIsASecondUnlessSet(t *testing.T) {
	settings, err := ParseSettings([]byte(strings.Replace(testSettings, `,"drain_grace_ms":300`, "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if got := settings.BalancerConfig(1).DrainGrace; got != time.Second {
		t.Errorf("got a grace period of %v, want 1s", got)
	}
}

func TestSettingsErrorNamesFirstFaultyField(t *testing.T) {
	for name, test := range map[string]struct {
		replacements []string // old and new text, in pairs
		field        string
		reason       string
	}{
		"missing setting":               {[]string{`"locality":1,`, ""}, "locality", "is missing"},
		"setting of the wrong type":     {[]string{`"may_cancel":true`, `"may_cancel":1`}, "limits.may_cancel", "is of the wrong type"},
		"unknown idempotency":           {[]string{`"by_key"`, `"thrice"`}, "lanes.1", `has an unknown kind of "repeat" or "dedup_scope"`},
		"unknown deduplication scope":   {[]string{`"cell"`, `"room"`}, "lanes.1", `has an unknown kind of "repeat" or "dedup_scope"`},
		"negative grace period":         {[]string{`"drain_grace_ms":300`, `"drain_grace_ms":-1`}, "invariants.drain_grace_ms", "is negative"},
		"grace period is a text":        {[]string{`"drain_grace_ms":300`, `"drain_grace_ms":"300"`}, "invariants.drain_grace_ms", "is of the wrong type"},
		"unknown promotion mode":        {[]string{`"share"`, `"lot"`}, "family_info.decided_by", "is not a known promotion mode"},
		"first of two missing settings": {[]string{`"lag_fee":0.3,`, "", `"cross_zone":0.04`, ""}, "prices.cross_zone", "is missing"},
		"setting read by gateways only": {[]string{`"areas":["a","b"],`, "", `"feedback"`, `"other"`}, "areas", "is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.NewReplacer(test.replacements...).Replace(testSettings)
			_, err := ParseGatewaySettings([]byte(text))
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != test.field || fieldError.Reason != test.reason || fieldError.Kind != "setting" {
				t.Errorf("got error %v, want %q %s", err, test.field, test.reason)
			}
		})
	}
}
