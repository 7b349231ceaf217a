package simulatoradapter

import "laurelring/decision"

// The codes of events, with their names in the simulator's protocol.
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
	attemptCountsSize = 2 + 1 + 4 + 4 + 8 + 8 // bytes
	listEntrySize     = 26                    // bytes
	workGiven         = 1                     // bit of a request's options
	statusAnswersVote = 1                     // of a rollout status; 0 for one that is sent unasked
	lastPhase         = uint8(decision.PhaseRolledBack)
)

// The codes of actions, with their names in the simulator's protocol.
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

	allPeers = 0xffff // in place of the number of one gateway
)

// The kinds of updates of the endpoint list.
const (
	listChanges  = 0
	listFailed   = 1 // a call to discovery, or its watch
	listComplete = 2
	listCached   = 3 // complete, but may be stale
)

// The states of an entry of the endpoint list.
const (
	endpointGone     = 0
	endpointReady    = 1
	endpointDraining = 2
)

// The codes of outcomes.
const (
	outcomeOK            = 0
	outcomeCanceled      = 1
	outcomeTimeout       = 4
	outcomeRejected      = 8
	outcomeNotSent       = 9
	outcomeReset         = 10
	outcomeConnectFailed = 14
)

// decodeOutcome takes an unknown code for an error, which proves nothing.
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
