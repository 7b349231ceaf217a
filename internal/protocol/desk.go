package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tidwall/gjson"

	"laurelring/decision"
)

// LineMost is the longest line that the platform and the gateway send each other.
const LineMost = 8 << 10

var errLine = errors.New("the line is too long")

// Line takes the next whole line out of the buffer; it stands until the next Room. None is left if it is
// nil.
func Line(b *Buffer) ([]byte, error) {
	data := b.Bytes()
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		if len(data) >= LineMost {
			return nil, errLine
		}
		return nil, nil
	}
	b.Drop(end + 1)
	return data[:end], nil
}

// The words of votes and phases, by their numbers in the module.
var (
	rulings = []string{"abstain", "promote", "pause", "abort"}
	modes   = []string{"testing", "recalling", "live", "recalled"}
)

// Listen is the call that asks for what the platform tells unasked.
func Listen(id int) []byte { return call(id, "listen", nil) }

// Ballot is the call that casts a vote.
func Ballot(id int, v decision.Vote) []byte {
	return call(id, "verdict", map[string]any{"release": v.Build, "tranche": v.Stage, "ruling": rulings[v.Verdict]})
}

func call(id int, method string, params map[string]any) []byte {
	all := map[string]any{"jsonrpc": "2.0", "id": id, "method": method}
	if params != nil {
		all["params"] = params
	}
	text, _ := json.Marshal(all) // words and numbers alone
	return append(text, '\n')
}

// Desk reads a line of the platform. News, or the state that answers a vote, goes to told; the answer to
// the call with an id goes to answered, before its state. What cannot be read is an error; a sign of life
// is nothing.
func Desk(line []byte, told func(build, stage int, phase decision.Phase, most float64, since int64),
	answered func(id int, how decision.Outcome)) error {
	if !gjson.ValidBytes(line) {
		return errors.New("the line is not JSON")
	}
	root := gjson.ParseBytes(line)
	switch method := root.Get("method"); {
	case method.Str == "news":
		return News(root.Get("params"), told)
	case method.Str == "ping":
		return nil
	case method.Exists():
		return errors.New("the line is of an unknown kind")
	}
	id := root.Get("id")
	if id.Type != gjson.Number {
		return errors.New("the answer has no id")
	}
	if fault := root.Get("error"); fault.Exists() {
		how := decision.Errored
		switch fault.Get("message").Str {
		case "Throttling":
			how = decision.Rejected
		case "ConditionFailed":
			how = decision.Unsent
		case "InternalFailure", "ValidationError":
		default:
			return errors.New("the answer holds an unknown error")
		}
		answered(int(id.Num), how)
		return nil
	}
	result := root.Get("result")
	if result.Type == gjson.True {
		answered(int(id.Num), decision.Acked)
		return nil
	}
	var state func()
	if err := News(result, func(build, stage int, phase decision.Phase, most float64, since int64) {
		state = func() { told(build, stage, phase, most, since) }
	}); err != nil {
		return err
	}
	answered(int(id.Num), decision.Acked)
	state()
	return nil
}

// News reads where the newest build stands.
func News(v gjson.Result, told func(build, stage int, phase decision.Phase, most float64, since int64)) error {
	for _, name := range []string{"release", "tranche", "exposure", "old_ms"} {
		if v.Get(name).Type != gjson.Number {
			return fmt.Errorf("the news lack %q", name)
		}
	}
	phase := place(modes, v.Get("mode").Str)
	if phase == len(modes) {
		return errors.New(`the news lack "mode"`)
	}
	told(int(v.Get("release").Num), int(v.Get("tranche").Num), decision.Phase(phase), v.Get("exposure").Num,
		asNs(v.Get("old_ms").Num))
	return nil
}
