package decision

import (
	"time"

	"laurelring/decision/monotonic"
)

// Kind says how often a command of an op type may run.
type Idempotency uint8

// The three kinds of op type.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// Group names the instances that drop repeats of a deduplicated command.
type DeduplicationScope uint8

// The groups that drop repeats.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// Outcome says how a delivery, a vote or a probe ended.
type Outcome uint8

// The outcomes. Rejected, Unconnected and Unsent prove that the command never ran.
const (
	OutcomeSuccess Outcome = iota
	OutcomeError
	OutcomeRejected
	OutcomeTimeout
	OutcomeConnectFailed
	OutcomeConnectionLost
	OutcomeCanceled
	OutcomeNotSent
)

// Control says how votes move a build.
type PromotionMode uint8

// The ways votes act: one vote is enough, a number of gateways is needed, or a clock moves stages on.
const (
	PromoteByAnyVote PromotionMode = iota
	PromoteByQuorum
	PromoteByTimer
)

// Phase is where a build stands.
type RolloutPhase uint8

// The phases of a build.
const (
	PhaseCanary RolloutPhase = iota
	PhaseRollingBack
	PhaseReleased
	PhaseRolledBack
)

// Verdict is a vote's word on a build.
type Verdict uint8

// The verdicts.
const (
	VerdictNone Verdict = iota
	VerdictPromote
	VerdictPause
	VerdictRollBack
)

// Act is what the caller is to do with a command now.
type Action uint8

// Nothing: the command is over or a delivery is out. Hold: not yet; Chores.Ready names it when its turn has
// come. Send: deliver to To, for at most For. Nack and Fail are final answers; After tells the client when
// to come back.
const (
	ActionNone Action = iota
	ActionQueue
	ActionForward
	ActionReject
	ActionFail
)

// Reason says why a command got a final answer that is not an instance's.
type RejectReason uint8

// The reasons. NoReason goes with decisions that are no final answer.
const (
	ReasonNone              RejectReason = iota
	ReasonDeadlineTooClose               // the time left is shorter than a delivery is expected to take
	ReasonAttemptsExhausted              // it has had as many deliveries as a command may have
	ReasonMayHaveExecuted                // a delivery may have run, and the command must not run twice
)

// Decision answers "where to send this command" and "what to do after this outcome".
type Decision struct {
	Action     Action
	Reason     RejectReason // of a Nack or a Fail
	Endpoint   *Endpoint
	Timeout    time.Duration // ns; the delivery's own time-out
	RetryAfter time.Duration // ns; advice to the client with a Nack, 0 for none
	Attempt    *Attempt
}

// Vote is due to be cast.
type Vote struct {
	Build, Stage int
	Verdict      Verdict
}

// Chores are what is due besides commands: they come back with the wait.
type DueWork struct {
	Requests           []*Request      // held commands to ask about again, in this order
	Votes              []Vote          // at most one
	EvidenceReport     *EvidenceReport // to be sent to the gateways in Voters
	EvidenceRecipients []int           // numbers of gateways
	VoterReport        *VoterReport    // to be told to all other gateways
	PollDiscovery      bool            // ask the list for its changes
	CancelAttempts     []*Attempt      // deliveries to call off
}

// Totals is one gateway's running evidence on a build, as sent to the voters: plain counters, laid out by
// the module.
type EvidenceReport struct {
	Sender       int            // the sender's number
	CountedAt    monotonic.Time // ns; when it was counted: the latest stands
	Build        int
	Counters     []uint32
	Observations []Observation
}

// Sight is what a gateway saw of one machine since it last told.
type Observation struct {
	Endpoint          *Endpoint
	Utilization       float64 // the machine's own figure, below 0 for none
	Successes, Losses int
}

// Finding is what a voter made of the pooled totals, as told to the gateways that do not vote by their own.
type VoterReport struct {
	Sender       int
	FoundAt      monotonic.Time // ns; when it was found: the latest stands
	Build        int
	Stage        int
	Verdict      Verdict
	Outliers     []*Endpoint // machines that most gateways lose deliveries at
	BaselineCost float64     // what a command costs the fleet while no build is on trial

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
