package decision

import (
	"errors"
	"fmt"
	"math"
	"time"

	"laurelring/decision/admission"
	"laurelring/decision/discovery"
	"laurelring/decision/seeded"
)

// Config is what a balancer is made from: the gateway's place in its fleet, and the figures of its deployment. None of it
// changes later.
type Config struct {
	Seed     uint64        // of all random draws
	Rank     int           // this gateway's number, from 0 on
	Gateways int           // in the fleet
	Zone     int           // this gateway's own
	Tick     time.Duration // the shortest time between two calls of Tick; at least a millisecond

	OpTypes   []OpTypeConfig
	Tenants   []TenantConfig
	Attempts  AttemptConfig
	Costs     CostConfig
	SlowStart SlowStartConfig
	Exposure  ExposureConfig
	Rollout   RolloutConfig

	PollDiscovery bool // changes of the endpoint list have to be asked for
}

// OpTypeConfig describes one type of operation.
type OpTypeConfig struct {
	LatencyObjective time.Duration
	ObjectiveStretch float64       // by how much of a request's expected work its objective is longer
	ClientTimeout    time.Duration // the longest that a client waits
	PriorityWeight   float64       // what a timely answer is worth
	LateValueShare   float64       // of the weight: what an answer after the objective is still worth
	Idempotency      Idempotency
	DedupScope       DeduplicationScope // which endpoints drop repeats, where it is idempotent by key
	DedupWindow      time.Duration      // and for how long
}

// TenantConfig is one tenant's quota.
type TenantConfig struct {
	QuotaRate float64 // requests a second, over all gateways
}

// AttemptConfig bounds the attempts of a request.
type AttemptConfig struct {
	Max           int
	MayCancel     bool          // an attempt may be cancelled while it is out
	MaxRetryAfter time.Duration // the longest Retry-After that a client honours; 0 where none is sent
}

// CostConfig is what the deployment puts on each kind of loss, in the unit of the priority weights.
type CostConfig struct {
	CrossZone float64 // of a request that leaves its zone
	Lag       float64 // of serving all requests by an earlier build
	Harm      float64 // of failing all effects by a bad build
}

// SlowStartConfig says how endpoints warm up, and what overloads one that does.
type SlowStartConfig struct {
	InitialCapacity  float64       // share of its capacity that an endpoint has at its start
	WarmUp           time.Duration // until it has all of it
	OverloadMultiple float64       // of its present capacity: it is overloaded once it gets more
	OverloadSpan     time.Duration // within this span
}

// ExposureConfig bounds the attempts at a canary build.
type ExposureConfig struct {
	Window       time.Duration // over which attempts are counted
	Allowance    float64       // attempts beyond the cap's share of the requests
	PerOpType    bool          // the cap holds for each op type by itself
	ClosedStages int           // stages in which only idempotent requests may go to the build
	StickyKeys   bool          // a key that a build has answered must not go to an earlier one
	StageCaps    []float64     // share of the requests, by stage
}

// RolloutConfig says how votes move a build.
type RolloutConfig struct {
	Mode          PromotionMode
	PromoteVotes  int           // gateways that must vote for a promotion
	RollbackVotes int           // and for a rollback
	StageShares   []float64     // share of the endpoints that run the build, by stage
	VoteTTL       time.Duration // for which a vote counts
	AnswerTimeout time.Duration // of a call to the rollout controller
	PeerMessages  bool          // gateways may send one another messages
}

// ErrConfig is wrapped by each error that New returns.
var ErrConfig = errors.New("invalid balancer configuration")

// validate refuses figures that no deployment can mean. It does not check whether they are plausible.
func (c *Config) validate() error {
	switch {
	case c.Rank < 0:
		return fmt.Errorf("%w: rank %d is below 0", ErrConfig, c.Rank)
	case c.Zone < 0:
		return fmt.Errorf("%w: zone %d is below 0", ErrConfig, c.Zone)
	case math.IsNaN(c.Exposure.Allowance):
		return fmt.Errorf("%w: the exposure allowance is not a number", ErrConfig)
	}
	for i, opType := range c.OpTypes {
		if opType.Idempotency > NonIdempotent || opType.DedupScope > ScopeCell {
			return fmt.Errorf("%w: op type %d has an unknown idempotency or deduplication scope", ErrConfig, i)
		}
	}
	return nil
}

// New returns the balancer of one gateway. An error wraps ErrConfig.
func New(config Config) (*Balancer, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	gateways := max(config.Gateways, 1)
	lb := &Balancer{
		random:    seeded.New(config.Seed),
		rank:      config.Rank,
		gateways:  gateways,
		zone:      config.Zone,
		tick:      max(config.Tick, time.Millisecond),
		machines:  machineTypes{meanRelativeLatency: 1},
		admission: admissionState{window: admission.NewConcurrencyWindow()},
		attemptLimits: attemptLimits{
			maxAttempts:   config.Attempts.Max,
			mayCancel:     config.Attempts.MayCancel,
			maxRetryAfter: config.Attempts.MaxRetryAfter,
			crossZoneCost: config.Costs.CrossZone,
		},
		canary:    newCanaryState(config.Exposure, len(config.OpTypes), max(config.Tick, time.Millisecond)),
		slowStart: newSlowStartState(config.SlowStart),
		rollout:   newRolloutState(config.Rollout, config.Costs, gateways),
	}
	if config.PollDiscovery {
		lb.endpointList.polling = discovery.NewPacing()
	}
	for _, opType := range config.OpTypes {
		lb.opTypes = append(lb.opTypes, newOpType(len(lb.opTypes), opType))
	}
	for _, tenant := range config.Tenants {
		lb.admission.quotas.Add(tenant.QuotaRate)
	}
	return lb, nil
}

// OpTypes returns the op types in the order of the configuration.
func (lb *Balancer) OpTypes() []*OpType { return lb.opTypes }

// Tenants returns the tenants in the order of the configuration.
func (lb *Balancer) Tenants() []*Tenant { return lb.admission.quotas.Tenants() }

// attemptLimits is what this deployment permits of attempts.
type attemptLimits struct {
	maxAttempts   int
	mayCancel     bool
	maxRetryAfter time.Duration // the longest Retry-After that a client honours; 0 where none is sent
	crossZoneCost float64
}

func newOpType(index int, config OpTypeConfig) *OpType {
	return &OpType{
		index:            index,
		latencyObjective: config.LatencyObjective,
		objectiveStretch: config.ObjectiveStretch,
		clientTimeout:    config.ClientTimeout,
		priorityWeight:   config.PriorityWeight,
		lateValueShare:   config.LateValueShare,
		idempotency:      config.Idempotency,
		dedupScope:       config.DedupScope,
		dedupWindow:      config.DedupWindow,
		meanLatency:      initialMeanLatencyShare * float64(config.LatencyObjective),
	}
}
