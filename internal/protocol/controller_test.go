package protocol

import (
	"testing"

	"laurelring/decision"
)

func TestEncodesCallsToRolloutController(t *testing.T) {
	if got, want := string(EncodeListen(1)), `{"id":1,"jsonrpc":"2.0","method":"listen"}`+"\n"; got != want {
		t.Errorf("listen: got %s, want %s", got, want)
	}
	vote := decision.Vote{Build: 42, Stage: 0, Verdict: decision.VerdictRollBack}
	want := `{"id":2,"jsonrpc":"2.0","method":"verdict","params":{"release":42,"ruling":"abort","tranche":0}}` + "\n"
	if got := string(EncodeVote(2, vote)); got != want {
		t.Errorf("vote: got %s, want %s", got, want)
	}
}
