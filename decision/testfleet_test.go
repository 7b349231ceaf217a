package decision

import (
	"fmt"
	"slices"
	"time"
)

// testFleet simulates a fleet of gateways with the same endpoints. Each gateway has its own Endpoint objects, and
// messages between gateways may be lost. It checks that all gateways together do not overload a warming endpoint.
type testFleet struct {
	gateways           []*testGateway
	now                time.Duration
	lostMessagePercent int     // share of the messages that are lost
	canaryErrorPercent int     // share of the attempts at a canary build that fail
	utilization        float64 // utilization that all endpoints report
	violation          string
	verdicts           map[Verdict]map[int]bool // ranks of the gateways that have voted for a verdict
}

func newTestFleet(seed uint64, mode PromotionMode, gateways, endpoints int) *testFleet {
	fleet := &testFleet{now: 1000 * second, utilization: 0.5, verdicts: map[Verdict]map[int]bool{VerdictPromote: {}, VerdictRollBack: {}}}
	for i := 0; i < gateways; i++ {
		gateway := newFleetGateway(seed*1000+uint64(i), mode, i, gateways, gateways/2)
		fleet.gateways = append(fleet.gateways, withEndpoints(gateway, endpoints))
	}
	return fleet
}

// restart replaces a gateway with a new one that receives the current rollout status and endpoint list.
func (fleet *testFleet) restart(i, build, stage int, exposureCap float64) {
	old := fleet.gateways[i]
	gateway := newFleetGateway(old.seed+500, old.balancer.rollout.settings.mode, i, len(fleet.gateways), len(fleet.gateways)/2)
	gateway.now = fleet.now
	gateway.balancer.RolloutChanged(RolloutStatus{Build: build, Stage: stage, Phase: PhaseCanary, ExposureCap: exposureCap}, fleet.now)
	for _, endpoint := range old.endpoints {
		gateway.addEndpoints(1, endpoint.startedAt, endpoint.build)
	}
	gateway.balancer.CommitEndpointList(true, fleet.now)
	gateway.exposureCap, fleet.gateways[i] = exposureCap, gateway
}

func (fleet *testFleet) addEndpoints(n int, startedAt time.Duration, build int) {
	for _, gateway := range fleet.gateways {
		gateway.addEndpoints(n, startedAt, build)
	}
}

func (fleet *testFleet) changeStage(build, stage int, phase RolloutPhase, exposureCap float64) {
	for _, gateway := range fleet.gateways {
		gateway.exposureCap = exposureCap
		gateway.balancer.RolloutChanged(RolloutStatus{Build: build, Stage: stage, Phase: phase, ExposureCap: exposureCap}, gateway.now)
	}
}

// step simulates 10 ms, with a rate of requests per second at each gateway.
func (fleet *testFleet) step(rate int) {
	fleet.now += 10 * millisecond
	for i, gateway := range fleet.gateways {
		if gateway.now = fleet.now; gateway.draw(1000) < rate*10 {
			gateway.send(gateway.draw(3), 0)
		}
		for _, attempt := range append([]*Attempt(nil), gateway.inFlight...) {
			switch {
			case attempt.done || gateway.now-attempt.sentAt < time.Duration(30+gateway.draw(60))*millisecond:
			case attempt.build > 1 && gateway.draw(100) < fleet.canaryErrorPercent:
				gateway.finish(attempt, OutcomeError)
			default:
				gateway.balancer.LoadReported(attempt.endpoint, fleet.utilization, gateway.now)
				gateway.finish(attempt, OutcomeSuccess)
			}
		}
		due := gateway.tick()
		for _, v := range due.Votes {
			if fleet.verdicts[v.Verdict] != nil {
				fleet.verdicts[v.Verdict][i] = true
			}
			gateway.balancer.VoteAnswered(OutcomeSuccess, gateway.now)
		}
		fleet.deliver(gateway, due)
		fleet.violation += gateway.violation
	}
	// All gateways together must not overload a warming endpoint. Warm endpoints have a utilization of about 0.7 at
	// most in these tests.
	for m, endpoint := range fleet.gateways[0].endpoints {
		age, sent := fleet.now-endpoint.startedAt, 0
		for _, gateway := range fleet.gateways {
			sent += countAfter(gateway.warmUpAttempts[gateway.endpoints[m]], fleet.now-testOverloadSpan)
		}
		capacity := (0.4 + 0.6*float64(age)/float64(4*second)) * float64(2*rate*len(fleet.gateways))
		if age <= 4*second && float64(sent*len(fleet.gateways[0].endpoints)) > 4*capacity+40 {
			fleet.violation = fmt.Sprintf("endpoint %d got %d attempts in 1.5 s at an age of %.0f s", m, sent, float64(age)/1e9)
		}
	}
}

// deliver passes a gateway's messages to their receivers, with the endpoints replaced by the receiver's own Endpoint
// objects.
func (fleet *testFleet) deliver(from *testGateway, due DueWork) {
	ownEndpoint := func(to *testGateway, endpoint *Endpoint) *Endpoint {
		return to.endpoints[slices.Index(from.endpoints, endpoint)]
	}
	if due.EvidenceReport != nil {
		for _, v := range due.EvidenceRecipients {
			report := *due.EvidenceReport
			report.Observations = nil
			for _, observation := range due.EvidenceReport.Observations {
				observation.Endpoint = ownEndpoint(fleet.gateways[v], observation.Endpoint)
				report.Observations = append(report.Observations, observation)
			}
			if from.draw(100) >= fleet.lostMessagePercent {
				fleet.gateways[v].balancer.EvidenceReceived(&report, fleet.now)
			}
		}
	}
	for _, to := range fleet.gateways {
		if due.VoterReport != nil && to != from && from.draw(100) >= fleet.lostMessagePercent {
			voterReport := *due.VoterReport
			voterReport.Outliers = nil
			for _, endpoint := range due.VoterReport.Outliers {
				voterReport.Outliers = append(voterReport.Outliers, ownEndpoint(to, endpoint))
			}
			to.balancer.VoterReportReceived(&voterReport, fleet.now)
		}
	}
}

func (fleet *testFleet) run(span time.Duration, rate int) {
	for end := fleet.now + span; fleet.now < end; {
		fleet.step(rate)
	}
}
