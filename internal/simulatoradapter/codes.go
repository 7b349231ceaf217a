package simulatoradapter

import "laurelring/decision"

// Event codes on the wire, each with the event's name in the simulator's protocol.
const (
	eventStarted         = 1  // PROVISION
	eventEndpointList    = 2  // DIRECTORY_UPDATE
	eventRequest         = 3  // INBOUND
	eventResponseStarted = 4  // FLOWING
	eventAttemptFinished = 5  // ANSWER
	eventClientGone      = 6  // CLIENT_GONE
	eventTimer           = 7  // DEADLINE_HIT
	eventProbeAnswered   = 8  // PONG
	eventPeerMessage     = 9  // HEARD
	eventKilled          = 10 // POWER_OFF
	eventRolloutStatus   = 11 // ROLLOUT_STATE
	eventAttemptCounts   = 12 // PERIOD_SUMS
	eventWrongAnswer     = 13 // REPORTED_WRONG
	eventListDefinition  = 14 // DEFINE_LIST
	eventGatewaySelected = 15 // SWITCH_TO
)

const (
	attemptCountsSize        = 2 + 1 + 4 + 4 + 8 + 8 // bytes
	listEntrySize            = 26                    // bytes
	optionWorkKnown          = 1                     // bit of a request's options: the request's work is known
	rolloutStatusAnswersVote = 1                     // source of a rollout status: the answer to a vote; 0 if unsolicited
	lastPhase                = uint8(decision.PhaseRolledBack)
)

// Action codes on the wire, each with the action's name in the simulator's protocol.
const (
	actionFail            = 66 // END_FAILED
	actionVote            = 67 // OPINION
	actionGatewaySelected = 68 // BY
	actionCancelAttempt   = 71 // CALL_OFF
	actionStartAttempt    = 73 // PLACE
	actionPollDiscovery   = 74 // FOLLOW
	actionSetTimer        = 75 // TIMER
	actionReject          = 76 // DECLINE
	actionSendToPeer      = 77 // POST

	allPeers = 0xffff // addresses all peers, in place of the number of one gateway
)

// Kinds of updates of the endpoint list.
const (
	listChanges  = 0
	listFailed   = 1 // a call to discovery failed, or its watch broke
	listComplete = 2
	listCached   = 3 // complete, but may be stale
)

// States of an entry of the endpoint list.
const (
	endpointGone     = 0
	endpointReady    = 1
	endpointDraining = 2
)

// Outcome codes on the wire.
const (
	outcomeOK            = 0
	outcomeCanceled      = 1
	outcomeTimeout       = 4
	outcomeRejected      = 8
	outcomeNotSent       = 9
	outcomeReset         = 10
	outcomeConnectFailed = 14
)

// decodeOutcome returns OutcomeError for an unknown code, because that outcome does not prove that the request was not
// executed.
func decodeOutcome(code uint8) decision.Outcome {
	switch code {
	case outcomeOK:
		return decision.OutcomeSuccess
	case outcomeRejected:
		return decision.OutcomeRejected
	case outcomeTimeout:
		return decision.OutcomeTimeout
	case outcomeConnectFailed:
		return decision.OutcomeConnectFailed
	case outcomeReset:
		return decision.OutcomeConnectionLost
	case outcomeCanceled:
		return decision.OutcomeCanceled
	case outcomeNotSent:
		return decision.OutcomeNotSent
	}
	return decision.OutcomeError
}
