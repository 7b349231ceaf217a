package mirrorpool

// AttemptOutcome is the result of an attempt at one mirror, or of a whole fetch.
type AttemptOutcome uint8

// The outcomes of attempts and fetches. Their texts are used as metric labels and in the output of gatewayctl.
const (
	OutcomeCompleted   AttemptOutcome = iota // the whole file was received and verified
	OutcomeNotFound                          // the mirror does not have the file
	OutcomeUnverified                        // the contents failed verification
	OutcomeTooLarge                          // the mirror sent more bytes than the file may have
	OutcomeStalled                           // no byte arrived for Limits.StallTimeout
	OutcomeTooSlow                           // the average rate was below Limits.MinBytesPerSecond
	OutcomeClosedEarly                       // the connection ended before the end of the file
	OutcomeRefused                           // connecting failed, or the HTTP status was not a success
	OutcomeRedirected                        // the mirror sent a redirect, which is not followed
	OutcomeTimedOut                          // Limits.AttemptTimeout or the deadline of the fetch passed
	OutcomeCanceled                          // the caller canceled the fetch
)

var outcomeTexts = [...]string{"brought", "missing", "bad", "too large", "stalled", "too slow", "closed early", "refused",
	"redirected", "took too long", "called off"}

// String returns the text of the outcome. The texts are stable.
func (o AttemptOutcome) String() string { return outcomeTexts[o] }
