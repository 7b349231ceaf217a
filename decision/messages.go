package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

// Outcome says how an attempt, or the call for a vote, ended.
type Outcome uint8

const (
	OutcomeSuccess        Outcome = iota // answered
	OutcomeError                         // answered with an error
	OutcomeRejected                      // the endpoint refused it: it did not execute
	OutcomeTimeout                       // no answer in time
	OutcomeConnectFailed                 // no connection: it did not execute
	OutcomeConnectionLost                // the connection broke before the answer
	OutcomeCanceled                      // the gateway stopped waiting for it
	OutcomeNotSent                       // nothing of it went out: it did not execute
)

// provesNotExecuted reports whether the endpoint certainly did not execute the request.
func (o Outcome) provesNotExecuted() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotSent
}

// PromotionMode says how votes move a build from stage to stage.
type PromotionMode uint8

const (
	PromoteByAnyVote PromotionMode = iota // one vote is enough
	PromoteByQuorum                       // a number of gateways must vote
	PromoteByTimer                        // stages follow one another by a clock; votes only roll back
)

// String returns the name for a log or an error.
func (m PromotionMode) String() string { return [...]string{"any vote", "quorum", "timer"}[m] }

// RolloutPhase is where a build stands.
type RolloutPhase uint8

const (
	PhaseCanary      RolloutPhase = iota // a share of the endpoints runs it, by stage
	PhaseRollingBack                     // endpoints return to the build before
	PhaseReleased                        // it is no canary build any more
	PhaseRolledBack                      // no endpoint runs it any more
)

// Verdict is what a vote asks for a build.
type Verdict uint8

const (
	VerdictNone Verdict = iota
	VerdictPromote
	VerdictPause
	VerdictRollBack
)

// Action is what the caller is to do with a request now.
type Action uint8

const (
	ActionNone    Action = iota // nothing: the request is completed, or an attempt of it is in flight
	ActionQueue                 // nothing yet: DueWork.Requests names it when its turn has come
	ActionForward               // start Decision.Attempt
	ActionReject                // answer that the client may try again
	ActionFail                  // answer that the request failed and may have been executed
)

// String returns the name for the log.
func (a Action) String() string {
	return [...]string{"none", "queue", "forward", "reject", "fail"}[a]
}

// RejectReason says why a request got a final answer that is not an endpoint's.
type RejectReason uint8

const (
	ReasonNone              RejectReason = iota // the decision is no final answer
	ReasonDeadlineTooClose                      // less time is left than an attempt is expected to take
	ReasonAttemptsExhausted                     // it has had as many attempts as a request may have
	ReasonMayHaveExecuted                       // an attempt may have executed, and none may follow it
)

// Decision says what becomes of a request: where an attempt goes, or which final answer the client gets.
type Decision struct {
	Action     Action
	Reason     RejectReason  // with ActionReject and ActionFail
	Attempt    *Attempt      // with ActionForward
	Endpoint   *Endpoint     // of the attempt
	Timeout    time.Duration // of the attempt
	RetryAfter time.Duration // advice to the client with ActionReject; 0 for none
}

// Vote is to be cast at the rollout controller.
type Vote struct {
	Build, Stage int
	Verdict      Verdict
}

// DueWork is what Tick asks the caller to do.
type DueWork struct {
	Requests           []*Request      // queued requests to call Route for again, in this order
	Votes              []Vote          // at most one
	EvidenceReport     *EvidenceReport // to be sent to the gateways in EvidenceRecipients; nil for none
	EvidenceRecipients []int           // ranks of gateways
	VoterReport        *VoterReport    // to be sent to all other gateways; nil for none
	PollDiscovery      bool            // ask discovery for changes of the endpoint list
	CancelAttempts     []*Attempt      // attempts to stop waiting for
}

// EvidenceReport is one gateway's evidence on a build since it first saw the build, as sent to the voters.
type EvidenceReport struct {
	Sender       int            // the sender's rank
	CountedAt    monotonic.Time // when it was counted: the latest one of a sender counts
	Build        int
	Counters     []uint32 // running counters, whose layout is the package's own
	Observations []Observation
}

// Observation is what a gateway saw of one endpoint since its last report.
type Observation struct {
	Endpoint          *Endpoint
	Utilization       float64 // as the endpoint reported it, below 0 for none
	Successes, Losses int
}

// VoterReport is what a voter concluded from the pooled evidence, as sent to the gateways that follow it.
type VoterReport struct {
	Sender       int
	FoundAt      monotonic.Time // the latest one of a sender counts
	Build        int
	Stage        int
	Verdict      Verdict
	Outliers     []*Endpoint // endpoints at which most gateways lose attempts
	BaselineCost float64     // what a request costs the fleet while no canary build runs; 0 where it is not known

	receivedAt monotonic.Time
}

// String names a phase for the log.
func (p RolloutPhase) String() string {
	return [...]string{"canary", "rolling back", "released", "rolled back"}[p]
}

// String names a reason for the log.
func (r RejectReason) String() string {
	return [...]string{"none", "deadline too close", "attempts exhausted", "may have executed"}[r]
}

// String names a verdict for the log.
func (v Verdict) String() string { return [...]string{"none", "promote", "pause", "roll back"}[v] }

// String names an outcome for the log.
func (o Outcome) String() string {
	return [...]string{"success", "error", "rejected", "timeout", "connect failed", "connection lost", "canceled", "not sent"}[o]
}
