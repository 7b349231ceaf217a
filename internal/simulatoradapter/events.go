package simulatoradapter

import (
	"fmt"
	"time"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// event is a decoded record of the simulator that applies to one gateway.
type event interface {
	apply(g *gateway, now monotonic.Time) error
}

// handleEvent reads an event and applies it to a gateway. The map lists holds the endpoint lists defined so far, by
// their numbers.
func handleEvent(r *recordReader, lists map[uint32][]listEntry, g *gateway, now monotonic.Time) {
	switch r.code {
	case eventEndpointList:
		applyEvent(r, readEndpointListUpdate(r, lists), g, now)
	case eventRequest:
		applyEvent(r, readRequestArrived(r), g, now)
	case eventResponseStarted:
		applyEvent(r, readResponseStarted(r), g, now)
	case eventAttemptFinished:
		applyEvent(r, readAttemptFinished(r), g, now)
	case eventClientGone:
		applyEvent(r, clientGone{requestID: r.uint32()}, g, now)
	case eventTimer:
		applyEvent(r, timerFired{handle: r.uint64()}, g, now)
	case eventProbeAnswered:
		applyEvent(r, readProbeAnswered(r), g, now)
	case eventPeerMessage:
		applyEvent(r, readPeerMessage(r), g, now)
	case eventRolloutStatus:
		applyEvent(r, readRolloutStatus(r), g, now)
	case eventAttemptCounts:
		r.skip(attemptCountsSize) // unused: gateways evaluate builds by their own measurements
	case eventWrongAnswer:
		applyEvent(r, readWrongAnswer(r), g, now)
	default:
		r.offset-- // the error is at the code, which has already been read
		r.fail(fmt.Errorf("unknown event code %d", r.code))
	}
}

// applyEvent applies an event to a running gateway. An event that is truncated, or whose gateway is not running,
// changes nothing. The type parameter keeps events off the heap.
func applyEvent[E event](r *recordReader, e E, g *gateway, now monotonic.Time) {
	if r.err != nil || g == nil {
		return
	}
	if err := e.apply(g, now); err != nil {
		r.fail(err)
	}
}

type requestArrived struct {
	id        uint32
	tenant    uint32
	opType    uint8
	work      time.Duration // 0 if unknown
	remaining time.Duration
	key       uint64
}

func readRequestArrived(r *recordReader) requestArrived {
	e := requestArrived{id: r.uint32(), tenant: r.uint32(), opType: r.uint8(), work: r.duration()}
	if options := r.uint16(); options&optionWorkKnown == 0 {
		e.work = 0
	}
	e.remaining = r.duration()
	e.key = r.uint64()
	return e
}

func (e requestArrived) apply(g *gateway, now monotonic.Time) error {
	if int(e.opType) >= len(g.opTypes) {
		return fmt.Errorf("op type %d is not in the settings", e.opType)
	}
	var tenant *decision.Tenant
	if int(e.tenant) < len(g.tenants) {
		tenant = g.tenants[e.tenant]
	}
	request := g.balancer.Admit(decision.Arrival{
		OpType:    g.opTypes[e.opType],
		Tenant:    tenant,
		Key:       e.key,
		Work:      e.work,
		Remaining: e.remaining,
	}, now)
	open := &openRequest{id: e.id, request: request}
	g.requestsByID[e.id], g.openRequests[request] = open, open
	g.writeDecision(open, g.balancer.Route(request, now))
	return nil
}

type responseStarted struct {
	requestID uint32
	attempt   uint8
}

func readResponseStarted(r *recordReader) responseStarted {
	e := responseStarted{requestID: r.uint32(), attempt: r.uint8()}
	r.skip(4) // endpoint
	r.skip(8) // time since the attempt was sent
	return e
}

func (e responseStarted) apply(g *gateway, now monotonic.Time) error {
	if attempt := g.attempt(e.requestID, e.attempt); attempt != nil {
		g.balancer.ResponseStarted(attempt, now)
	}
	return nil
}

type attemptFinished struct {
	requestID  uint32
	attempt    uint8
	result     decision.AttemptResult
	loadReport []float64
}

func readAttemptFinished(r *recordReader) attemptFinished {
	e := attemptFinished{requestID: r.uint32(), attempt: r.uint8()}
	r.skip(4) // endpoint
	e.result.Outcome = decodeOutcome(r.uint8())
	e.result.Duration = r.duration()
	e.result.RequestCompleted = r.uint8() != 0
	e.loadReport = r.loadReport()
	return e
}

func (e attemptFinished) apply(g *gateway, now monotonic.Time) error {
	attempt := g.attempt(e.requestID, e.attempt)
	if attempt == nil || attempt.Done() {
		return nil
	}
	g.reportLoad(attempt.Endpoint(), e.loadReport, now)
	g.writeDecision(g.requestsByID[e.requestID], g.balancer.FinishAttempt(attempt, e.result, now))
	return nil
}

type clientGone struct{ requestID uint32 }

func (e clientGone) apply(g *gateway, _ monotonic.Time) error {
	if open := g.requestsByID[e.requestID]; open != nil {
		g.balancer.ClientGone(open.request)
		g.removeIfFinished(open)
	}
	return nil
}

type timerFired struct{ handle uint64 }

// apply ignores a timer that has been superseded by one that fires earlier.
func (e timerFired) apply(g *gateway, _ monotonic.Time) error {
	if e.handle == g.timerHandle {
		g.timerAt = 0
	}
	return nil
}

type probeAnswered struct {
	endpointID uint32
	loadReport []float64
}

func readProbeAnswered(r *recordReader) probeAnswered {
	e := probeAnswered{endpointID: r.uint32()}
	r.skip(1) // outcome of the probe
	r.skip(8) // time since the probe was sent
	e.loadReport = r.loadReport()
	return e
}

func (e probeAnswered) apply(g *gateway, now monotonic.Time) error {
	if endpoint := g.endpoints[e.endpointID]; endpoint != nil {
		g.reportLoad(endpoint, e.loadReport, now)
	}
	return nil
}

type peerMessage struct {
	sender   int
	datagram []byte
}

func readPeerMessage(r *recordReader) peerMessage {
	sender := int(r.uint32())
	return peerMessage{sender: sender, datagram: r.bytes(uint64(r.uint16()))}
}

func (e peerMessage) apply(g *gateway, now monotonic.Time) error {
	if report := protocol.DecodeEvidenceReport(e.datagram, e.sender, g.endpoint); report != nil {
		g.balancer.EvidenceReceived(report, now)
	} else if report := protocol.DecodeVoterReport(e.datagram, e.sender, g.endpoint); report != nil {
		g.balancer.VoterReportReceived(report, now)
	}
	return nil
}

type rolloutStatus struct {
	status      decision.RolloutStatus
	answersVote bool
	outcome     uint8 // the status is valid only if this is outcomeOK
}

func readRolloutStatus(r *recordReader) rolloutStatus {
	var e rolloutStatus
	e.status.Build = int(r.uint16())
	e.status.Stage = int(r.uint8())
	e.status.Phase = decision.RolloutPhase(min(r.uint8(), lastPhase))
	e.answersVote = r.uint8() == rolloutStatusAnswersVote
	e.outcome = r.uint8()
	e.status.ExposureCap = r.float32()
	e.status.Age = r.duration()
	return e
}

func (e rolloutStatus) apply(g *gateway, now monotonic.Time) error {
	if e.answersVote {
		g.balancer.VoteAnswered(decodeOutcome(e.outcome), now)
	}
	if e.outcome == outcomeOK {
		g.balancer.RolloutChanged(e.status, now)
	}
	return nil
}

type wrongAnswer struct {
	age        time.Duration // time since the attempt was sent
	opType     uint8
	endpointID uint32
}

func readWrongAnswer(r *recordReader) wrongAnswer {
	return wrongAnswer{age: r.duration(), opType: r.uint8(), endpointID: r.uint32()}
}

func (e wrongAnswer) apply(g *gateway, now monotonic.Time) error {
	endpoint := g.endpoints[e.endpointID]
	if endpoint != nil && int(e.opType) < len(g.opTypes) {
		g.balancer.WrongAnswerReported(endpoint, g.opTypes[e.opType], now-e.age)
	}
	return nil
}
