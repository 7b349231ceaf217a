package decision

import (
	"time"

	"laurelring/decision/exposure"
	"laurelring/decision/monotonic"
)

const (
	// canaryShareSpan is the time span over which the attempts at a canary endpoint are limited to its share of the
	// requests.
	canaryShareSpan = 4 * time.Second
	// canaryShareFactor limits the attempts at a canary endpoint, as a multiple of its share of the requests.
	canaryShareFactor = 1.1
)

// canaryState is the rollout status of the newest build and the state that limits requests to canary builds.
type canaryState struct {
	closedStages int       // the first closedStages stages are closed to requests that are not idempotent
	stageCaps    []float64 // exposure cap by stage, as a share of the requests

	build int // the newest build that the rollout controller has announced, -1 before the first announcement
	stage int
	phase RolloutPhase
	cap   float64 // share of the requests that may go to the build

	heldUntil monotonic.Time // no attempt at a canary build starts before this time

	exposure   exposure.Limiter
	stickyKeys *exposure.StickyKeys // nil if the deployment has no sticky keys
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

// CanaryExposed reports whether the newest build is in its canary phase with an exposure cap above 0.
func (lb *Balancer) CanaryExposed() bool { return lb.canary.phase == PhaseCanary && lb.canary.cap > 0 }

// HoldCanary lets no attempt at a canary build start for one tick. The caller uses it while messages that may lower the
// exposure cap have arrived and are not yet processed.
func (lb *Balancer) HoldCanary(now monotonic.Time) { lb.canary.heldUntil = now + lb.tick }

// isCanary reports whether a build is a canary build: a build later than the newest announced one, or the newest
// announced build while it is not released.
func (lb *Balancer) isCanary(build int) bool {
	canary := &lb.canary
	return build > canary.build || build == canary.build && canary.phase != PhaseReleased
}

// stageAndCap returns the stage and the exposure cap of a canary build. The exposure cap of the first stage applies to
// a build that is not announced yet.
func (canary *canaryState) stageAndCap(build int) (stage int, exposureCap float64) {
	if build == canary.build {
		return canary.stage, canary.cap
	}
	if len(canary.stageCaps) > 0 {
		return 0, canary.stageCaps[0]
	}
	return 0, 0
}

// withinExposureCap reports whether an attempt is allowed by the exposure cap of a canary build, by the stages that are
// closed to requests that are not idempotent, and by the sticky keys.
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
	stage, exposureCap := canary.stageAndCap(endpoint.build)
	if exposureCap <= 0 || stage < canary.closedStages && request.opType.idempotency != Idempotent {
		return false
	}
	return canary.exposure.Allows(endpoint.build, request.opType.index, exposureCap, now)
}

// countExposure counts an attempt against the exposure cap if it is at a canary build.
func (lb *Balancer) countExposure(attempt *Attempt, now monotonic.Time) {
	if lb.isCanary(attempt.build) {
		lb.canary.exposure.RecordAttempt(attempt.build, attempt.request.opType.index, now)
		attempt.exposedAt = now
	}
}

// discountExposure reverts countExposure for an attempt of which nothing has been sent.
func (lb *Balancer) discountExposure(attempt *Attempt) {
	if attempt.exposedAt > 0 {
		lb.canary.exposure.RemoveAttempt(attempt.build, attempt.request.opType.index, attempt.exposedAt)
		attempt.exposedAt = 0
	}
}

// withinCanaryShare reports whether a canary endpoint may get one more attempt within canaryShareFactor times its share
// of the requests, by its relative capacity. shortageFactor raises this limit while other endpoints are missing or
// warming up. The limit applies even if the exposure cap allows more: an endpoint that is slow because it is overloaded
// would count as evidence against its build. stableInFlight and stableCapacity are the attempts in flight at the ready
// endpoints of stable builds, and the total relative capacity of these endpoints.
func (lb *Balancer) withinCanaryShare(endpoint *Endpoint, stableInFlight, stableCapacity float64, now monotonic.Time) bool {
	limitFactor := canaryShareFactor * lb.slowStart.shortageFactor
	if !lb.withinBudget(limitFactor*lb.requestShare(endpoint, canaryShareSpan, now), endpoint, canaryShareSpan, now) {
		return false
	}
	// An endpoint that was just listed gets no burst: relative to its capacity, it may have no more attempts in flight
	// than the stable endpoints, apart from the first attempt and the margin of limitFactor.
	return stableCapacity == 0 || float64(len(endpoint.inFlight)) < 1+limitFactor*stableInFlight/stableCapacity*lb.relativeCapacity(endpoint)
}

// bindsKeys reports whether a sticky key goes to no earlier build once a build has answered it: the newest build in its
// canary phase or after its release, and builds that are not announced yet.
func (lb *Balancer) bindsKeys(build int) bool {
	canary := &lb.canary
	return build > canary.build || build == canary.build && (canary.phase == PhaseCanary || canary.phase == PhaseReleased)
}

// holdKey keeps the sticky key of an attempt from earlier builds until the attempt ends, as its answer may be on its
// way.
func (lb *Balancer) holdKey(attempt *Attempt) {
	if lb.bindsKeys(attempt.build) {
		lb.canary.stickyKeys.Hold(attempt.request.key, attempt.build)
	}
}

// releaseKey ends holdKey.
func (lb *Balancer) releaseKey(attempt *Attempt) {
	lb.canary.stickyKeys.Release(attempt.request.key, attempt.build)
}

// bindKey binds a sticky key to the build that answered it, or may have, so that the key goes to no earlier build. It
// reports whether the key was not bound to the build or a later one before.
func (lb *Balancer) bindKey(key uint64, build int) (bound bool) {
	return lb.bindsKeys(build) && lb.canary.stickyKeys.RecordAnswer(key, build, lb.rollout.build)
}

// RolloutStatus is the status of the newest build as reported by the rollout controller.
type RolloutStatus struct {
	Build       int
	Stage       int // counted from 0
	Phase       RolloutPhase
	ExposureCap float64       // share of the requests that may go to the build, 0 to 1
	Age         time.Duration // time since this status began
}

// RolloutChanged applies a rollout status. A status of an earlier build than the newest announced one is ignored.
func (lb *Balancer) RolloutChanged(status RolloutStatus, now monotonic.Time) {
	canary, rollout := &lb.canary, &lb.rollout
	if status.Build < canary.build {
		return
	}
	if status.Build != canary.build || status.Stage != canary.stage || status.Phase != canary.phase {
		rollout.startStage(now-status.Age, status.Phase)
	}
	canary.build, canary.stage, canary.phase, canary.cap = status.Build, status.Stage, status.Phase, status.ExposureCap
	if status.Phase == PhaseRollingBack || status.Phase == PhaseRolledBack {
		canary.stickyKeys.RolledBack(status.Build)
	}
	lb.startEvaluation(status.Build, now)
	rollout.statusReceived = true
}

// stableInFlight returns the number of attempts in flight at the ready endpoints of stable builds, and the total
// relative capacity of these endpoints.
func (lb *Balancer) stableInFlight() (inFlight, relativeCapacity float64) {
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && !lb.isCanary(endpoint.build) {
			inFlight += float64(len(endpoint.inFlight))
			relativeCapacity += lb.relativeCapacity(endpoint)
		}
	}
	return inFlight, relativeCapacity
}
