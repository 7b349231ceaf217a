package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

const (
	canaryShareSpan   = 4 * time.Second // over which a trial instance's share is counted
	canaryShareFactor = 1.1             // of a trial instance's share of our commands that it gets at most
	maxCountedKeys    = 200000          // keys counted before their counts are begun anew
	stickyCapShare    = 0.6             // of the cap: pinned keys may ask for this much of it before no further key is pinned
)

// onTrial: a build is on trial unless it is told to be released; one not yet announced is.
func (lb *Balancer) isCanary(build int) bool {
	canary := &lb.canary
	return build > canary.build || build == canary.build && canary.phase != PhaseReleased
}

// exposed: the cap on a build on trial, the stages closed to effects, and keys that move forward only. A
// lower cap is applied at once, to deliveries made before it as well: the grace is never used.
func (lb *Balancer) withinExposureCap(request *Request, endpoint *Endpoint, now monotonic.Time) bool {
	canary := &lb.canary
	if canary.stickyKeys && request.key != 0 && endpoint.build < canary.stickyBuilds[request.key] {
		return false
	}
	if !lb.isCanary(endpoint.build) {
		return true
	}
	stage, most := 0, 0.0
	if len(canary.stageCaps) > 0 {
		most = canary.stageCaps[0]
	}
	if endpoint.build == canary.build {
		stage, most = canary.stage, canary.cap
	}
	if most <= 0 || stage < canary.closedStages && request.opType.idempotency != Idempotent {
		return false
	}
	taken := &canary.arrivals
	if canary.perOpType {
		taken = &request.opType.arrivals
	}
	sent := lb.canaryAttempts(endpoint.build, request.opType).count(now - canary.window - lb.tick)
	return float64(sent+1) <= canary.allowance+most*float64(taken.count(now-canary.window+lb.tick))
}

// headroom: a trial instance gets little more than its size's share of our commands, even where the cap
// allows more: a machine that is slow because it is overloaded would speak against its build.
func (lb *Balancer) withinCanaryShare(endpoint *Endpoint, open, power float64, now monotonic.Time) bool {
	push := canaryShareFactor * lb.slowStart.shortage
	if !lb.withinBudget(push*lb.requestShare(endpoint, canaryShareSpan, now), endpoint, canaryShareSpan, now) {
		return false
	}
	// Nor a burst when it is first listed: it holds no more of ours than the others for their power.
	return power == 0 || float64(len(endpoint.inFlight)) < 1+push*open/power*lb.power(endpoint)
}

// mayPin keeps one-way keys from outgrowing the cap: a key that the trial answers must stay there, so rare
// keys go first, and none while the pinned ones already ask for most of the cap.
func (lb *Balancer) mayStick(request *Request) bool {
	canary := &lb.canary
	if !canary.stickyKeys || request.key == 0 || canary.cap >= 1 || canary.stickyBuilds[request.key] >= lb.rollout.build {
		return true
	}
	return float64(canary.stickyRequests) <= stickyCapShare*canary.cap*float64(canary.keyedRequests) &&
		float64(canary.keyCounts[request.key]-1) <= 0.1*canary.cap*float64(canary.keyedRequests)
}

// pin keeps a key that a build has answered from going to an earlier one, on trial and after a release.
func (lb *Balancer) stick(key uint64, build int) {
	canary := &lb.canary
	stands := build > canary.build || build == canary.build && (canary.phase == PhaseCanary || canary.phase == PhaseReleased)
	if !canary.stickyKeys || key == 0 || build <= canary.stickyBuilds[key] || !stands {
		return
	}
	if build == lb.rollout.build {
		canary.stickyRequests += canary.keyCounts[key]
	}
	canary.stickyBuilds[key] = build
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
	canary.build, canary.stage, canary.phase, canary.cap = status.Build, status.Stage, status.Phase, status.ExposureCap
	if status.Phase == PhaseRollingBack || status.Phase == PhaseRolledBack {
		for key, pin := range canary.stickyBuilds {
			if pin >= status.Build {
				delete(canary.stickyBuilds, key)
			}
		}
		canary.stickyRequests = 0
	}
	lb.beginCanary(status.Build, now)
	rollout.statusReceived = true
}

// trialWindow is where deliveries to a build on trial are counted, by op type where the cap is.
func (lb *Balancer) canaryAttempts(build int, op *OpType) *slidingWindow {
	canary := &lb.canary
	if canary.attemptsByBuild[build] == nil {
		canary.attemptsByBuild[build] = make([]slidingWindow, len(lb.opTypes))
	}
	if canary.perOpType {
		return &canary.attemptsByBuild[build][op.index]
	}
	return &canary.attemptsByBuild[build][0]
}

// openElsewhere is what machines not on trial hold of ours, and their power.
func (lb *Balancer) stableInFlight() (open, power float64) {
	for _, endpoint := range lb.endpoints {
		if endpoint.ready && !lb.isCanary(endpoint.build) {
			open += float64(len(endpoint.inFlight))
			power += lb.power(endpoint)
		}
	}
	return open, power
}

// countKey counts how often a key comes; old counts tell little of that.
func (lb *Balancer) countKey(key uint64) {
	canary := &lb.canary
	if len(canary.keyCounts) > maxCountedKeys {
		canary.keyCounts, canary.keyedRequests, canary.stickyRequests = map[uint64]int{}, 0, 0
	}
	canary.keyCounts[key]++
	canary.keyedRequests++
	if canary.stickyBuilds[key] >= lb.rollout.build {
		canary.stickyRequests++
	}
}

// exposure bounds deliveries to a build on trial.
type canaryState struct {
	window       time.Duration
	allowance    float64
	perOpType    bool
	closedStages int
	stickyKeys   bool
	stageCaps    []float64

	build           int
	stage           int
	phase           RolloutPhase
	cap             float64
	arrivals        slidingWindow
	attemptsByBuild map[int][]slidingWindow // by build, then by op type (or one for all)
	stickyBuilds    map[uint64]int          // a key to the newest build that has answered it
	keyCounts       map[uint64]int          // how often a key has come
	keyedRequests   int                     // commands with a key
	stickyRequests  int                     // those of them with a pinned key
}
