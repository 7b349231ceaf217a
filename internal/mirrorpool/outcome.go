package mirrorpool

// AttemptOutcome is how an attempt at a mirror ended, or a fetch.
type AttemptOutcome uint8

// The outcomes. Their texts are labels of metrics and part of what gatewayctl prints.
const (
	OutcomeCompleted   AttemptOutcome = iota // the whole file, verified
	OutcomeNotFound                          // the mirror does not have the file
	OutcomeUnverified                        // the contents were refused
	OutcomeTooLarge                          // more bytes than the file may have
	OutcomeStalled                           // no byte for Limits.StallTimeout
	OutcomeTooSlow                           // below Limits.MinBytesPerSecond
	OutcomeClosedEarly                       // the connection ended before the file did
	OutcomeRefused                           // no connection, or a status that is no success
	OutcomeRedirected                        // mirrors must serve by themselves
	OutcomeTimedOut                          // beyond Limits.AttemptTimeout or the fetch's deadline
	OutcomeCanceled                          // by the caller
)

var outcomeTexts = [...]string{"brought", "missing", "bad", "too large", "stalled", "too slow", "closed early", "refused",
	"redirected", "took too long", "called off"}

// String returns the outcome's text, which is stable.
func (o AttemptOutcome) String() string { return outcomeTexts[o] }
