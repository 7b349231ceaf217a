package simulatoradapter

import (
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// gateway is one simulated gateway: its balancer, and the objects that the simulator's ids and handles refer to.
type gateway struct {
	balancer         *decision.Balancer
	opTypes          []*decision.OpType
	tenants          []*decision.Tenant
	utilizationIndex int // index of the utilization in a load report, -1 if reports do not contain it

	endpoints    map[uint32]*decision.Endpoint
	endpointIDs  map[*decision.Endpoint]uint32
	requestsByID map[uint32]*openRequest
	openRequests map[*decision.Request]*openRequest
	timerAt      monotonic.Time // time at which the earliest timer fires, 0 if no timer is set
	timerHandle  uint64         // handle of the earliest timer
	actions      actionWriter
	lastBatch    int // number of the last batch that had an event for this gateway
}

// openRequest is a request that has no final answer yet or still has an attempt in flight.
type openRequest struct {
	id      uint32
	request *decision.Request
}

func newGateway(seed uint64, settingsText []byte) (*gateway, error) {
	settings, err := protocol.ParseSettings(settingsText)
	if err != nil {
		return nil, err
	}
	balancer, err := decision.New(settings.BalancerConfig(seed))
	if err != nil {
		return nil, err
	}
	return &gateway{
		balancer:         balancer,
		opTypes:          balancer.OpTypes(),
		tenants:          balancer.Tenants(),
		utilizationIndex: settings.UtilizationIndex,
		endpoints:        map[uint32]*decision.Endpoint{},
		endpointIDs:      map[*decision.Endpoint]uint32{},
		requestsByID:     map[uint32]*openRequest{},
		openRequests:     map[*decision.Request]*openRequest{},
	}, nil
}

func (g *gateway) endpointID(endpoint *decision.Endpoint) uint32 { return g.endpointIDs[endpoint] }
func (g *gateway) endpoint(id uint32) *decision.Endpoint         { return g.endpoints[id] }

// attempt returns an attempt of an open request, or nil if the request or the attempt is no longer known.
func (g *gateway) attempt(requestID uint32, number uint8) *decision.Attempt {
	open := g.requestsByID[requestID]
	if open == nil {
		return nil
	}
	return open.request.Attempt(int(number))
}

// reportLoad passes the utilization in a load report to the balancer, if the report contains it.
func (g *gateway) reportLoad(endpoint *decision.Endpoint, values []float64, now monotonic.Time) {
	if g.utilizationIndex >= 0 && g.utilizationIndex < len(values) {
		g.balancer.LoadReported(endpoint, values[g.utilizationIndex], now)
	}
}

// runDueWork does the balancer's due work at the end of a batch and sets a timer for the next due work.
func (g *gateway) runDueWork(now monotonic.Time) {
	wait, due := g.balancer.Tick(now)
	for _, request := range due.Requests {
		g.writeDecision(g.openRequests[request], g.balancer.Route(request, now))
	}
	if due.PollDiscovery {
		g.actions.pollDiscovery()
	}
	for _, attempt := range due.CancelAttempts {
		if open := g.openRequests[attempt.Request()]; open != nil {
			g.actions.cancelAttempt(open.id, attempt.Number())
		}
	}
	g.sendReports(due)
	for _, vote := range due.Votes {
		g.actions.vote(vote)
	}
	g.setTimer(wait, now)
}

func (g *gateway) sendReports(due decision.DueWork) {
	if due.EvidenceReport != nil {
		datagram := protocol.EncodeEvidenceReport(due.EvidenceReport, g.endpointID)
		for _, voter := range due.EvidenceRecipients {
			g.actions.sendToPeer(uint16(voter), datagram)
		}
	}
	if due.VoterReport != nil {
		g.actions.sendToPeer(allPeers, protocol.EncodeVoterReport(due.VoterReport, g.endpointID))
	}
}

// setTimer sets a timer unless one that fires no later is already set. A timer cannot be canceled once it is set.
func (g *gateway) setTimer(wait time.Duration, now monotonic.Time) {
	if wait <= 0 || g.timerAt != 0 && now+wait >= g.timerAt {
		return
	}
	g.timerAt = now + wait
	g.timerHandle++
	g.actions.setTimer(wait, g.timerHandle)
}

// writeDecision writes the action that a decision on a request calls for.
func (g *gateway) writeDecision(open *openRequest, d decision.Decision) {
	if open == nil {
		return
	}
	switch d.Action {
	case decision.ActionForward:
		g.actions.startAttempt(open.id, g.endpointIDs[d.Endpoint], d.Timeout)
	case decision.ActionReject:
		g.actions.reject(open.id, d.RetryAfter)
	case decision.ActionFail:
		g.actions.fail(open.id)
	}
	g.removeIfFinished(open)
}

// removeIfFinished removes a request that has its final answer and no attempt in flight.
func (g *gateway) removeIfFinished(open *openRequest) {
	if open.request.Completed() && !open.request.AttemptInFlight() {
		delete(g.requestsByID, open.id)
		delete(g.openRequests, open.request)
	}
}
