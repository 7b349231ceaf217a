package decision

import (
	"time"

	"laurelring/decision/exposure"
	"laurelring/decision/monotonic"
)

const (
	canaryShareSpan   = 4 * time.Second // over which the attempts at a canary endpoint are held to its share
	canaryShareFactor = 1.1             // of a canary endpoint's share of the requests: the most that it gets
)

// canaryState is where the newest build stands, and what bounds the requests that meet a canary build.
type canaryState struct {
	closedStages int       // in stages below this one only idempotent requests may go to the canary build
	stageCaps    []float64 // share of the requests, by stage

	build       int // the newest build that the rollout controller has named, -1 before that
	stage       int
	phase       RolloutPhase
	exposureCap float64 // share of the requests that may go to the build

	heldUntil monotonic.Time // no attempt at a canary build starts until then

	exposure   exposure.Limiter
	stickyKeys *exposure.StickyKeys // nil where the deployment has none
}

func newCanaryState(config ExposureConfig, opTypes int, tick time.Duration) canaryState {
	canary := canaryState{
		closedStages: config.ClosedStages,
		stageCaps:    config.StageCaps,
		build:        -1,
		exposure: exposure.NewLimiter(exposure.Config{
			Window:    config.Window,
			Allowance: config.Allowance,
			PerOpType: config.PerOpType,
			OpTypes:   opTypes,
			Margin:    tick,
		}),
	}
	if config.StickyKeys {
		canary.stickyKeys = exposure.NewStickyKeys()
	}
	return canary
}

// CanaryExposed reports whether requests may go to the newest build, which is not released.
func (lb *Balancer) CanaryExposed() bool {
	return lb.canary.phase == PhaseCanary && lb.canary.exposureCap > 0
}

// HoldCanary has no attempt at a canary build start for a moment, as something that may lower its cap is unread.
func (lb *Balancer) HoldCanary(now monotonic.Time) { lb.canary.heldUntil = now + lb.tick }

// isCanary reports whether a build is a canary build: one that is not known to be released, announced or not.
func (lb *Balancer) isCanary(build int) bool {
	canary := &lb.canary
	return build > canary.build || build == canary.build && canary.phase != PhaseReleased
}

// stageAndCap returns the stage and the exposure cap of a canary build. One that is not announced yet is held to the first
// stage's cap.
func (canary *canaryState) stageAndCap(build int) (stage int, limit float64) {
	if build == canary.build {
		return canary.stage, canary.exposureCap
	}
	if len(canary.stageCaps) > 0 {
		return 0, canary.stageCaps[0]
	}
	return 0, 0
}

// withinExposureCap reports whether an attempt keeps within the cap on a canary build, the stages that are closed to
// requests with effects, and the sticky keys.
func (lb *Balancer) withinExposureCap(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	canary := &lb.canary
	if !canary.stickyKeys.Allows(request.key, endpoint.build) {
		return false
	}
	if !lb.isCanary(endpoint.build) {
		return true
	}
	if now < canary.heldUntil {
		return false
	}
	stage, limit := canary.stageAndCap(endpoint.build)
	if limit <= 0 || stage < canary.closedStages && request.opType.idempotency != Idempotent {
		return false
	}
	return canary.exposure.Allows(endpoint.build, request.opType.index, limit, now)
}

// withinCanaryShare reports whether a canary endpoint has had little more than its share of the requests, or less, by its
// size, which binds even where the cap allows more: an endpoint that is slow because it is overloaded would speak against
// its build. stableInFlight and stablePower are of the endpoints of other builds.
func (lb *Balancer) withinCanaryShare(endpoint *Endpoint, stableInFlight, stablePower float64, now monotonic.Time) bool {
	push := canaryShareFactor * lb.slowStart.shortage
	if !lb.withinBudget(push*lb.requestShare(endpoint, canaryShareSpan, now), endpoint, canaryShareSpan, now) {
		return false
	}
	// No burst when it is first listed: it has no more attempts in flight than the others for their power.
	return stablePower == 0 || float64(len(endpoint.inFlight)) < 1+push*stableInFlight/stablePower*lb.power(endpoint)
}

// bindKey keeps a key that a build has answered from going to an earlier one, during the canary phase and after the
// release.
func (lb *Balancer) bindKey(key uint64, build int) {
	canary := &lb.canary
	if build > canary.build || build == canary.build && (canary.phase == PhaseCanary || canary.phase == PhaseReleased) {
		canary.stickyKeys.RecordAnswer(key, build, lb.rollout.build)
	}
}

// RolloutStatus is where the newest build stands, as the rollout controller says.
type RolloutStatus struct {
	Build       int
	Stage       int // from 0 on
	Phase       RolloutPhase
	ExposureCap float64       // share of the requests that may go to the build, 0 to 1
	Age         time.Duration // since this status began
}

// RolloutChanged takes in where the newest build stands. A status of an earlier build changes nothing.
func (lb *Balancer) RolloutChanged(status RolloutStatus, now monotonic.Time) {
	canary, rollout := &lb.canary, &lb.rollout
	if status.Build < canary.build {
		return
	}
	if status.Build != canary.build || status.Stage != canary.stage || status.Phase != canary.phase {
		rollout.startStage(now-status.Age, status.Phase)
	}
	canary.build, canary.stage, canary.phase, canary.exposureCap = status.Build, status.Stage, status.Phase, status.ExposureCap
	if status.Phase == PhaseRollingBack || status.Phase == PhaseRolledBack {
		canary.stickyKeys.RolledBack(status.Build)
	}
	lb.beginCanary(status.Build, now)
	rollout.statusReceived = true
}

// stableInFlight returns how many attempts are in flight at ready endpoints of other builds than a canary one, and
// the power of those.
func (lb *Balancer) stableInFlight() (inFlight, power float64) {
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && !lb.isCanary(endpoint.build) {
			inFlight += float64(len(endpoint.inFlight))
			power += lb.power(endpoint)
		}
	}
	return inFlight, power
}
