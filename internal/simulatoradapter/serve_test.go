package simulatoradapter

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settings = `{"rank":0,"balancers":2,"locality":0,"period_ms":5,"lanes":[{"aim_ms":500,
"give_up_ms":2000,"gain":1,"repeat":"repeatable","name":"read","unheard_of":1}],"orgs":[],
"limits":{"max_attempts":3,"second_copies":false,"may_cancel":true,
"probes":false,"retry_after":true,"max_retry_after_ms":500,"peer_messages":true},"prices":{
"cross_zone":0,"waste":0},"invariants":{"cold_from":0.4,"cold_ms":4000,"fall_multiple":2,"fall_ms":2000,
"ask_within_ms":9000},"registry_mode":"push","family_info":{"window_ms":4000,
"allowance":2,"per":"all","closed_stages":0,
"one_way":false,"exposure_caps":[0.1,1],"decided_by":"any",
"ayes_needed":1,"votes_to_revert":1,"steps":[0.1,1],
"lag_fee":0.3,"damage_price":4,
"least_stage_ms":1000,"vote_ttl_ms":6000,"api_timeout_ms":1000,"api_rate":10,"replace_mode":"in_place"},
"feedback":{"fields":["utilization"]}}`

func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint64(head, math.Float64bits(1000)), body...)
}

func rec(code uint8, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, f := range fields {
		binary.Write(&b, binary.LittleEndian, f)
	}
	return b.Bytes()
}

func provision(text string) []byte {
	return append(rec(1, uint64(7), uint32(len(text))), text...)
}

func inbound(id uint32) []byte {
	return rec(3, id, uint32(0), uint8(0), 0.0, uint16(0), 2000.0, uint64(0))
}

var (
	turn     = rec(15, uint16(3))
	oneThere = bytes.Join([][]byte{
		rec(14, uint32(0), uint32(1), uint32(9), uint8(0), uint16(0), uint16(0), float32(1), uint8(1), float32(2),
			0.0),
		rec(2, uint8(3), uint32(1), uint32(0)),
		rec(11, uint16(1), uint8(0), uint8(2), uint8(0), uint8(0), float32(1), 0.0)}, nil)
)

func serve(in ...[]byte) (string, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(bytes.Join(in, nil)), &out)
	return out.String(), err
}

func TestPlacesACommand(t *testing.T) {
	out, err := serve(batch(), batch(turn, provision(settings), oneThere), batch(turn, inbound(5)))
	if err != nil {
		t.Fatal(err)
	}
	if want := string(rec(73, uint32(5), uint32(9), 2000.0)); !strings.Contains(out, want) {
		t.Errorf("no PLACE in %x", out)
	}
	// What is no longer held is passed over, and a restart within a batch leaves nothing behind.
	answer := rec(5, uint32(5), uint8(0), uint32(9), uint8(10), 5.0, uint8(0), uint8(0))
	out, err = serve(batch(turn, provision(settings), oneThere, inbound(5)),
		batch(turn, rec(10), provision(settings), oneThere, answer, rec(6, uint32(99)), rec(7, uint64(1))))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(out, string(rec(73, uint32(5)))) != 1 {
		t.Errorf("a delivery from before the restart was acted on: %x", out)
	}
}

func TestBadInput(t *testing.T) {
	whole := batch(turn, provision(settings), oneThere, inbound(5))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"header":  {whole[:7], "truncated batch header at byte 7"},
		"frame":   {whole[:100], "ends at byte 88"},
		"code":    {batch(turn, []byte{200}), "unknown code 200 in record 200 at byte 3"},
		"field":   {batch(turn, provision(settings), rec(3, uint32(1))), "in record 3 at byte"},
		"list":    {batch(rec(14, uint32(0), uint32(1<<30))), "run past the frame in record 14 at byte 9"},
		"text":    {batch(turn, rec(1, uint64(1), uint32(50))), "50 bytes wanted, 0 left in record 1"},
		"json":    {batch(turn, provision("{")), "settings are not JSON"},
		"lacking": {batch(turn, provision(strings.Replace(settings, `"rank":0,`, "", 1))), `setting "rank" is missing`},
		"wrong":   {batch(turn, provision(strings.Replace(settings, `"rank":0`, `"rank":"a"`, 1))), "wrong type"},
		"op type": {batch(turn, provision(settings),
			rec(3, uint32(1), uint32(0), uint8(9), 0.0, uint16(0), 1.0, uint64(0))), "op type 9"},
		"op kinds": {batch(turn, provision(strings.Replace(settings, "repeatable", "thrice", 1))), "unknown kind"},
	} {
		out, err := serve(c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
		if out != "" {
			t.Errorf("%s: half a reply was written", name)
		}
	}
	if _, err := serve(batch(rec(15, uint16(8)), inbound(1),
		rec(5, uint32(1), uint8(0), uint32(9), uint8(0), 1.0, uint8(1), uint8(0)))); err != nil {
		t.Errorf("events of an instance never started: %v", err)
	}
}

// FuzzServe feeds damaged frames: an error or a whole reply, never a panic.
func FuzzServe(f *testing.F) {
	whole := batch(turn, provision(settings), oneThere, inbound(5))
	for i := 0; i < len(whole); i += 7 {
		hurt := append([]byte(nil), whole...)
		hurt[i] ^= 0xff
		f.Add(hurt)
		f.Add(whole[:i])
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		out, _ := serve(in)
		for rest := []byte(out); len(rest) > 0; {
			if len(rest) < 8 || len(rest) < 8+int(binary.LittleEndian.Uint32(rest[4:])) {
				t.Fatal("half a reply")
			}
			rest = rest[8+binary.LittleEndian.Uint32(rest[4:]):]
		}
	})
}
