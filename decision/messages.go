package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

// Outcome is how an attempt, or the call that casts a vote, ended.
type Outcome uint8

const (
	OutcomeSuccess        Outcome = iota // an answer arrived
	OutcomeError                         // an answer arrived and is an error
	OutcomeRejected                      // the endpoint refused the request and did not execute it
	OutcomeTimeout                       // no answer arrived in time
	OutcomeConnectFailed                 // no connection was made, so the request did not execute
	OutcomeConnectionLost                // the connection broke before the answer
	OutcomeCanceled                      // the gateway stopped waiting for the answer
	OutcomeNotSent                       // nothing was sent, so the request did not execute
)

// provesNotExecuted reports whether the outcome proves that the endpoint did not execute the request.
func (o Outcome) provesNotExecuted() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotSent
}

// PromotionMode is the rule by which a build moves from stage to stage.
type PromotionMode uint8

const (
	PromoteByAnyVote PromotionMode = iota // one vote promotes
	PromoteByQuorum                       // a required number of gateways must vote
	PromoteByTimer                        // stages advance with time, and votes only roll back
)

// String returns the name of the mode for logs and errors.
func (m PromotionMode) String() string { return [...]string{"any vote", "quorum", "timer"}[m] }

// RolloutPhase is the phase of the rollout of a build.
type RolloutPhase uint8

const (
	PhaseCanary      RolloutPhase = iota // a share of the endpoints, which grows by stage, runs the build
	PhaseRollingBack                     // endpoints return to the previous build
	PhaseReleased                        // the build is no longer a canary build
	PhaseRolledBack                      // no endpoint runs the build any more
)

// Verdict is what a vote asks the rollout controller to do with a build.
type Verdict uint8

const (
	VerdictNone Verdict = iota
	VerdictPromote
	VerdictPause
	VerdictRollBack
)

// Action is what the caller must do with a request now.
type Action uint8

const (
	ActionNone    Action = iota // nothing: the request is completed, or has an attempt in flight
	ActionQueue                 // nothing yet: DueWork.Requests lists the request when it is to be routed again
	ActionForward               // start Decision.Attempt
	ActionReject                // answer that the client may send the request again
	ActionFail                  // answer that the request failed and may have been executed
)

// String returns the name of the action for logs.
func (a Action) String() string {
	return [...]string{"none", "queue", "forward", "reject", "fail"}[a]
}

// RejectReason is why a request gets a final answer that does not come from an endpoint.
type RejectReason uint8

const (
	ReasonNone              RejectReason = iota // the decision is not a final answer
	ReasonDeadlineTooClose                      // less time is left than an attempt is expected to take
	ReasonAttemptsExhausted                     // the request has had the largest number of attempts allowed
	ReasonMayHaveExecuted                       // an attempt may have executed, and no other attempt may follow
	ReasonAttemptsStopped                       // the client may leave unnoticed, see StopAttempts
)

// Decision is what happens to a request: the attempt to start, or the final answer for the client.
type Decision struct {
	Action     Action
	Reason     RejectReason  // set with ActionReject and ActionFail
	Attempt    *Attempt      // set with ActionForward
	Endpoint   *Endpoint     // endpoint of the attempt
	Timeout    time.Duration // timeout of the attempt
	RetryAfter time.Duration // how long the client should wait after ActionReject; 0 for no advice
	// KeyBound is set if the answer has bound the request's sticky key to a later build than before. Attempts for the key
	// that have not been sent may no longer be allowed; see AttemptAllowed.
	KeyBound bool
}

// Vote is a vote to cast at the rollout controller.
type Vote struct {
	Build, Stage int
	Verdict      Verdict
}

// DueWork is the work that Tick asks the caller to do.
type DueWork struct {
	Requests           []*Request      // queued requests for which Route must be called again, in this order
	Votes              []Vote          // contains at most one vote
	EvidenceReport     *EvidenceReport // report to send to the gateways in EvidenceRecipients; nil if none is due
	EvidenceRecipients []int           // ranks of the gateways that receive EvidenceReport
	VoterReport        *VoterReport    // report to send to all other gateways; nil if none is due
	PollDiscovery      bool            // discovery must be polled for changes of the endpoint list, or their watch opened
	CancelAttempts     []*Attempt      // attempts that the caller must stop waiting for
}

// EvidenceReport is the evidence that one gateway has counted since it first saw a build, as sent to the voters.
type EvidenceReport struct {
	Sender       int            // rank of the sender
	CountedAt    monotonic.Time // when the evidence was counted; only the latest report of a sender counts
	Build        int
	Counters     []uint32 // running totals as laid out by rollout.Table.Encode
	Observations []Observation
}

// Observation is what a gateway has observed of one endpoint since its last report.
type Observation struct {
	Endpoint          *Endpoint
	Utilization       float64 // utilization that the endpoint reported, below 0 if it reported none
	Successes, Losses int     // numbers of attempts, see endpointResults
}

// VoterReport is what a voter concludes from the pooled evidence, as sent to the gateways that follow its verdict.
type VoterReport struct {
	Sender       int
	FoundAt      monotonic.Time // when the voter concluded this; only the latest report of a sender counts
	Build        int
	Stage        int
	Verdict      Verdict
	Outliers     []*Endpoint // endpoints at which the gateways together lose far more attempts than at others
	BaselineCost float64     // cost of a request to the fleet while no canary build runs; 0 if unknown

	receivedAt monotonic.Time
}

// String returns the name of the phase for logs.
func (p RolloutPhase) String() string {
	return [...]string{"canary", "rolling back", "released", "rolled back"}[p]
}

// String returns the name of the reason for logs.
func (r RejectReason) String() string {
	return [...]string{"none", "deadline too close", "attempts exhausted", "may have executed", "attempts stopped"}[r]
}

// String returns the name of the verdict for logs.
func (v Verdict) String() string { return [...]string{"none", "promote", "pause", "roll back"}[v] }

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"success", "error", "rejected", "timeout", "connect failed", "connection lost", "canceled", "not sent"}[o]
}
