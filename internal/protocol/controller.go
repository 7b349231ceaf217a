package protocol

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/tidwall/gjson"

	"laurelring/decision"
)

// MaxLineSize is the maximum size of a line between the rollout controller and the gateway, in bytes.
const MaxLineSize = 8 << 10

var (
	errLineTooLong      = errors.New("line is too long")
	errLineNotJSON      = errors.New("line is not JSON")
	errUnknownMethod    = errors.New("the line is of an unknown kind")
	errAnswerWithoutID  = errors.New("answer has no id")
	errUnknownCallError = errors.New("the answer holds an unknown error")
)

// Names of verdicts and phases on the wire, indexed by decision.Verdict and decision.RolloutPhase.
var (
	verdictNames = []string{"abstain", "promote", "pause", "abort"}
	phaseNames   = []string{"testing", "recalling", "live", "recalled"}
)

// NextLine removes the next complete line from the buffer and returns it without its line end. It returns nil if the
// buffer has no complete line, and an error if it holds MaxLineSize bytes without a line end. The line is valid until
// the next call of Buffer.Space.
func NextLine(b *Buffer) ([]byte, error) {
	data := b.Bytes()
	end := bytes.IndexByte(data, '\n')
	switch {
	case end >= 0:
		b.Discard(end + 1)
		return data[:end], nil
	case len(data) >= MaxLineSize:
		return nil, errLineTooLong
	}
	return nil, nil
}

// controllerCall is a JSON-RPC call to the rollout controller.
type controllerCall struct {
	ID      int         `json:"id"`
	Version string      `json:"jsonrpc"`
	Method  string      `json:"method"`
	Params  *voteParams `json:"params,omitempty"`
}

type voteParams struct {
	Build   int    `json:"release"`
	Verdict string `json:"ruling"`
	Stage   int    `json:"tranche"`
}

// EncodeListen encodes the call that subscribes to the rollout status and its changes.
func EncodeListen(id int) []byte {
	return controllerCall{ID: id, Method: "listen"}.encode()
}

// EncodeVote encodes the call that casts a vote.
func EncodeVote(id int, vote decision.Vote) []byte {
	params := &voteParams{Build: vote.Build, Verdict: verdictNames[vote.Verdict], Stage: vote.Stage}
	return controllerCall{ID: id, Method: "verdict", Params: params}.encode()
}

func (c controllerCall) encode() []byte {
	c.Version = "2.0"
	text, _ := json.Marshal(c) // cannot fail for a struct of strings and integers
	return append(text, '\n')
}

// ControllerCallbacks holds the callbacks for the content of a line from the rollout controller.
type ControllerCallbacks struct {
	Status func(decision.RolloutStatus)           // called for a status that was pushed or answers a call
	Answer func(id int, outcome decision.Outcome) // called for the answer to the call with this ID
}

// ParseControllerLine parses a line from the rollout controller and calls the callbacks for its content. For an answer
// that contains a status, Answer is called before Status. A heartbeat causes no callback.
func ParseControllerLine(line []byte, callbacks ControllerCallbacks) error {
	if !gjson.ValidBytes(line) {
		return errLineNotJSON
	}
	root := gjson.ParseBytes(line)
	switch method := root.Get("method"); {
	case method.Str == "news":
		status, err := parseRolloutStatus(root.Get("params"))
		if err != nil {
			return err
		}
		callbacks.Status(status)
		return nil
	case method.Str == "ping":
		return nil
	case method.Exists():
		return errUnknownMethod
	}
	return parseAnswer(root, callbacks)
}

func parseAnswer(root gjson.Result, callbacks ControllerCallbacks) error {
	idField := root.Get("id")
	if idField.Type != gjson.Number {
		return errAnswerWithoutID
	}
	id := int(idField.Num)
	if callError := root.Get("error"); callError.Exists() {
		outcome, err := parseCallError(callError.Get("message").Str)
		if err != nil {
			return err
		}
		callbacks.Answer(id, outcome)
		return nil
	}
	result := root.Get("result")
	if result.Type == gjson.True {
		callbacks.Answer(id, decision.OutcomeSuccess)
		return nil
	}
	status, err := parseRolloutStatus(result)
	if err != nil {
		return err
	}
	callbacks.Answer(id, decision.OutcomeSuccess)
	callbacks.Status(status)
	return nil
}

// parseCallError returns the outcome of a call that the rollout controller answered with this error message.
func parseCallError(message string) (decision.Outcome, error) {
	switch message {
	case "Throttling":
		return decision.OutcomeRejected, nil
	case "ConditionFailed":
		return decision.OutcomeNotSent, nil
	case "InternalFailure", "ValidationError":
		return decision.OutcomeError, nil
	}
	return 0, errUnknownCallError
}

// ParseRolloutStatus parses a JSON object with the rollout status of the newest build. The error is a *FieldError.
func ParseRolloutStatus(text []byte) (decision.RolloutStatus, error) {
	return parseRolloutStatus(gjson.ParseBytes(text))
}

func parseRolloutStatus(object gjson.Result) (decision.RolloutStatus, error) {
	for _, name := range []string{"release", "tranche", "exposure", "old_ms"} {
		if object.Get(name).Type != gjson.Number {
			return decision.RolloutStatus{}, rolloutFieldError(name)
		}
	}
	phase := indexOrCount(phaseNames, object.Get("mode").Str)
	if phase == len(phaseNames) {
		return decision.RolloutStatus{}, rolloutFieldError("mode")
	}
	return decision.RolloutStatus{
		Build:       int(object.Get("release").Num),
		Stage:       int(object.Get("tranche").Num),
		Phase:       decision.RolloutPhase(phase),
		ExposureCap: object.Get("exposure").Num,
		Age:         durationFromMs(object.Get("old_ms").Num),
	}, nil
}

func rolloutFieldError(name string) error {
	return &FieldError{Kind: "rollout status field", Field: name, Reason: "is missing or invalid"}
}
