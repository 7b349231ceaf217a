package protocol

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/tidwall/gjson"

	"laurelring/decision"
)

// MaxLineSize is the size of the longest line that the rollout controller and the gateway send each other.
const MaxLineSize = 8 << 10

var (
	errLineTooLong      = errors.New("line is too long")
	errLineNotJSON      = errors.New("line is not JSON")
	errUnknownMethod    = errors.New("the line is of an unknown kind")
	errAnswerWithoutID  = errors.New("answer has no id")
	errUnknownCallError = errors.New("the answer holds an unknown error")
)

// The names of verdicts and phases on the wire, by their numbers.
var (
	verdictNames = []string{"abstain", "promote", "pause", "abort"}
	phaseNames   = []string{"testing", "recalling", "live", "recalled"}
)

// NextLine removes the next complete line from the buffer and returns it without its end, or nil while there is none.
// The line is valid until the next call of Space.
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

// controllerCall is a call to the rollout controller.
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

// EncodeListen returns the call that asks for the rollout status and its changes.
func EncodeListen(id int) []byte {
	return controllerCall{ID: id, Method: "listen"}.encode()
}

// EncodeVote returns the call that casts a vote.
func EncodeVote(id int, vote decision.Vote) []byte {
	params := &voteParams{Build: vote.Build, Verdict: verdictNames[vote.Verdict], Stage: vote.Stage}
	return controllerCall{ID: id, Method: "verdict", Params: params}.encode()
}

func (c controllerCall) encode() []byte {
	c.Version = "2.0"
	text, _ := json.Marshal(c) // strings and integers alone cannot fail
	return append(text, '\n')
}

// ControllerEvents receive what a line of the rollout controller holds.
type ControllerEvents struct {
	Status   func(decision.RolloutStatus)           // sent unasked, or as the answer to a call
	Answered func(id int, outcome decision.Outcome) // the call with this id
}

// ParseControllerLine parses a line of the rollout controller. The answer to a call comes before the status that it
// holds. A heartbeat gives no event.
func ParseControllerLine(line []byte, events ControllerEvents) error {
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
		events.Status(status)
		return nil
	case method.Str == "ping":
		return nil
	case method.Exists():
		return errUnknownMethod
	}
	return parseAnswer(root, events)
}

func parseAnswer(root gjson.Result, events ControllerEvents) error {
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
		events.Answered(id, outcome)
		return nil
	}
	result := root.Get("result")
	if result.Type == gjson.True {
		events.Answered(id, decision.OutcomeSuccess)
		return nil
	}
	status, err := parseRolloutStatus(result)
	if err != nil {
		return err
	}
	events.Answered(id, decision.OutcomeSuccess)
	events.Status(status)
	return nil
}

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

// ParseRolloutStatus parses a JSON object that says where the newest build stands. The error is a *FieldError.
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
	return &FieldError{Kind: "rollout status field", Field: name, Reason: "is missing or unusable"}
}
