package protocol

import (
	"bytes"
	"errors"
	"testing"

	"github.com/tidwall/redcon"

	"laurelring/decision"
)

func TestEncodeReplacesOnlyRemainingTime(t *testing.T) {
	write := &decision.OpType{}
	opTypes := map[string]*decision.OpType{"API.READ look": {}, "API.WRITE book": write}
	request, err := ParseRequest(split("API.WRITE key id r=1,c=book,d=480,k=7 body"), opTypes)
	if err != nil || request.OpType != write || request.Key == 0 || request.ID != "id" || request.Remaining != 480e6 {
		t.Fatalf("%v %d %d %v", request.OpType, request.Key, request.Remaining, err)
	}
	command, err := redcon.NewReader(bytes.NewReader(request.Encode(25_700_000))).ReadCommand()
	if text := bytes.Join(command.Args, []byte(" ")); err != nil || string(text) != "API.WRITE key id r=1,c=book,d=25,k=7 body" {
		t.Errorf("forwarded as %q, %v", text, err)
	}
}

// split returns the words of a text as the arguments of a request.
func split(text string) [][]byte { return bytes.Split([]byte(text), []byte(" ")) }

func TestRejectsInvalidRequests(t *testing.T) {
	opTypes := map[string]*decision.OpType{"API.READ look": {}, "API.WRITE book": {}}
	for text, want := range map[string]error{
		"API.READ":                          errArgumentCount,
		"API.READ key id c=look,d=5 body":   errArgumentCount,
		"API.WRITE key id c=look,d=5":       errArgumentCount,
		"API.READ key  c=look,d=5":          errInvalidRequestID,
		"API.READ key id c=look":            errMissingAttributes,
		"API.READ key id d=5":               errMissingAttributes,
		"API.READ key id c=none,d=5":        errUnknownOpType,
		"API.READ key id c=book,d=5":        errUnknownOpType,
		"API.WRITE key id c=look,d=5 body":  errUnknownOpType,
		"api.read key id c=look,d=5":        errUnknownOpType,
		"API.READ key id c=look,c=look,d=5": errUnknownOpType,
		"API.READ key id c=look,d=-5":       errInvalidTimeout,
		"API.READ key id c=look,d=NaN":      errInvalidTimeout,
		"API.READ key id c=look,d=Inf":      errInvalidTimeout,
		"API.READ key id c=look,d=0x1p4":    errInvalidTimeout,
		"API.READ key id c=look,d=5,d=6":    errInvalidTimeout,
	} {
		if _, err := ParseRequest(split(text), opTypes); !errors.Is(err, want) {
			t.Errorf("%q: got error %v, want %v", text, err, want)
		}
	}
}

func TestRejectedMessageRoundsRetryAfterUp(t *testing.T) {
	if a, b := RejectedMessage(0), RejectedMessage(1_200_000); a != "BUSY" || b != "BUSY 2" {
		t.Errorf("got %q and %q, want BUSY and BUSY 2", a, b)
	}
}
