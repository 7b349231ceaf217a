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

// Config configures a balancer: the gateway's place in its fleet, and the parameters of its deployment. It does not
// change during the life of a balancer.
type Config struct {
	Seed     uint64        // seed of all random numbers
	Rank     int           // this gateway's number, starting at 0
	Gateways int           // number of gateways in the fleet
	Zone     int           // zone of this gateway
	Tick     time.Duration // shortest time between two calls of Tick; at least a millisecond

	OpTypes   []OpTypeConfig
	Tenants   []TenantConfig
	Attempts  AttemptConfig
	Costs     CostConfig
	SlowStart SlowStartConfig
	Exposure  ExposureConfig
	Rollout   RolloutConfig

	PollDiscovery bool // discovery does not push changes of the endpoint list and has to be polled for them
	// DrainGrace is how long attempts at an endpoint may still start after the gateway is notified that the endpoint drains
	// or is gone.
	DrainGrace time.Duration
}

// OpTypeConfig describes one type of operation.
type OpTypeConfig struct {
	LatencyObjective time.Duration
	ObjectiveStretch float64       // a request's expected work, times this, is added to its latency objective
	ClientTimeout    time.Duration // longest time that a client waits
	PriorityWeight   float64       // value of a timely answer
	LateValueShare   float64       // value of an answer after the objective, as a share of PriorityWeight
	Idempotency      Idempotency
	DedupScope       DeduplicationScope // endpoints that drop repeats, for IdempotentByKey
	DedupWindow      time.Duration      // how long they drop repeats
}

// TenantConfig is one tenant's quota.
type TenantConfig struct {
	QuotaRate float64 // requests a second, over all gateways
}

// AttemptConfig limits the attempts of a request.
type AttemptConfig struct {
	Max           int
	MayCancel     bool          // an attempt may be canceled while it is in flight
	MaxRetryAfter time.Duration // longest Retry-After that clients honor; 0 if none is sent
}

// CostConfig holds the costs of the kinds of loss in a deployment, in the unit of the priority weights.
type CostConfig struct {
	CrossZone float64 // cost of a request that leaves its zone
	Lag       float64 // cost of serving all requests with an earlier build
	Harm      float64 // cost of failing all effects because of a bad build
}

// SlowStartConfig says how endpoints warm up, and which load is too much for a warming endpoint.
type SlowStartConfig struct {
	InitialCapacity  float64       // share of its full capacity that an endpoint has when it starts
	WarmUp           time.Duration // time from the start of an endpoint until it has its full capacity
	OverloadMultiple float64       // an endpoint with load above this multiple of its current capacity is overloaded
	OverloadSpan     time.Duration // time over which the load is counted for OverloadMultiple
}

// ExposureConfig limits the attempts at a canary build.
type ExposureConfig struct {
	Window       time.Duration // time over which requests and attempts are counted
	Allowance    float64       // number of attempts allowed beyond the cap's share of the requests
	PerOpType    bool          // the cap applies to each op type separately
	ClosedStages int           // number of stages, from the first, in which the build gets idempotent requests only
	StickyKeys   bool          // a key that a build has answered must not go to an earlier build
	StageCaps    []float64     // exposure cap as a share of the requests, by stage
}

// RolloutConfig says how votes promote and roll back a build.
type RolloutConfig struct {
	Mode          PromotionMode
	PromoteVotes  int           // number of gateways that must vote for a promotion
	RollbackVotes int           // number of gateways that must vote for a rollback
	StageShares   []float64     // share of the endpoints that run the build, by stage
	VoteTTL       time.Duration // how long a vote counts
	AnswerTimeout time.Duration // timeout of a call to the rollout controller
	PeerMessages  bool          // gateways may send each other messages
}

// ErrConfig is wrapped by each error that New returns.
var ErrConfig = errors.New("invalid balancer configuration")

// validate rejects values that are invalid in any deployment. It does not check whether the other values are plausible.
func (c *Config) validate() error {
	switch {
	case c.Rank < 0:
		return fmt.Errorf("%w: rank %d is below 0", ErrConfig, c.Rank)
	case c.Zone < 0:
		return fmt.Errorf("%w: zone %d is below 0", ErrConfig, c.Zone)
	case c.DrainGrace < 0:
		return fmt.Errorf("%w: the grace period of a drain, %v, is below 0", ErrConfig, c.DrainGrace)
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

// New returns the balancer of one gateway. Each error that it returns wraps ErrConfig.
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
	lb.endpointList.terms = discovery.Terms{DrainGrace: config.DrainGrace, Pushed: !config.PollDiscovery}
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

// attemptLimits holds the limits and costs of attempts in this deployment.
type attemptLimits struct {
	maxAttempts   int
	mayCancel     bool
	maxRetryAfter time.Duration // longest Retry-After that clients honor; 0 if none is sent
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
