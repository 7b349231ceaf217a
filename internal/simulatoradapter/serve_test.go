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

// batch encodes a batch of records. The simulator's clock is at one second.
func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	header := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint64(header, math.Float64bits(1000)), body...)
}

// record encodes one record. Callers pass codes as literals and not as the constants of the package, so that the tests
// check the constants too.
func record(code uint8, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, field := range fields {
		if err := binary.Write(&b, binary.LittleEndian, field); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func startRecord(settings string) []byte {
	return append(record(1, uint64(7), uint32(len(settings))), settings...)
}

func requestRecord(id uint32) []byte {
	return record(3, id, uint32(0), uint8(0), 0.0, uint16(0), 2000.0, uint64(0))
}

// attemptFinishedRecord encodes the end of the first attempt of a request, at endpoint 9.
func attemptFinishedRecord(request uint32, outcome, requestCompleted uint8, loadReport ...any) []byte {
	fields := []any{request, uint8(0), uint32(9), outcome, 5.0, requestCompleted, uint8(len(loadReport))}
	return record(5, append(fields, loadReport...)...)
}

var (
	selectGateway = record(15, uint16(3))
	oneEndpoint   = bytes.Join([][]byte{ // endpoint 9 is ready and build 1 is released
		record(14, uint32(0), uint32(1), uint32(9), uint8(0), uint16(0), uint16(0), float32(1), uint8(1), float32(2), 0.0),
		record(2, uint8(3), uint32(1), uint32(0)),
		record(11, uint16(1), uint8(0), uint8(2), uint8(0), uint8(0), float32(1), 0.0)}, nil)
)

func serve(in ...[]byte) (string, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(bytes.Join(in, nil)), &out)
	return out.String(), err
}

func TestForwardsRequestToReadyEndpoint(t *testing.T) {
	out, err := serve(batch(), batch(selectGateway, startRecord(settings), oneEndpoint),
		batch(selectGateway, requestRecord(5)))
	if err != nil {
		t.Fatal(err)
	}
	if want := string(record(73, uint32(5), uint32(9), 2000.0)); !strings.Contains(out, want) {
		t.Errorf("reply starts no attempt at endpoint 9: %x", out)
	}
}

func TestRestartWithinBatchDiscardsOldState(t *testing.T) {
	stale := bytes.Join([][]byte{attemptFinishedRecord(5, 10, 0), record(6, uint32(99)), record(7, uint64(1))}, nil)
	out, err := serve(batch(selectGateway, startRecord(settings), oneEndpoint, requestRecord(5)),
		batch(selectGateway, record(10), startRecord(settings), oneEndpoint, stale))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(out, string(record(73, uint32(5)))) != 1 {
		t.Errorf("want one attempt for request 5, and none after the restart: %x", out)
	}
}

func TestIgnoresEventsForGatewayNotStarted(t *testing.T) {
	if _, err := serve(batch(record(15, uint16(8)), requestRecord(1), attemptFinishedRecord(1, 0, 1))); err != nil {
		t.Error(err)
	}
}

func TestInvalidInputReturnsErrorWithoutReply(t *testing.T) {
	startWith := func(old, replacement string) []byte {
		return startRecord(strings.Replace(settings, old, replacement, 1))
	}
	good := batch(selectGateway, startRecord(settings), oneEndpoint, requestRecord(5))
	for name, test := range map[string]struct {
		in   []byte
		want string
	}{
		"truncated header":           {good[:7], "truncated batch header at byte 7"},
		"truncated frame":            {good[:100], "ends at byte 88"},
		"unknown event code":         {batch(selectGateway, []byte{200}), "unknown event code 200 (record code 200, byte 3 of"},
		"truncated record":           {batch(selectGateway, startRecord(settings), record(3, uint32(1))), "(record code 3, byte"},
		"list longer than the frame": {batch(record(14, uint32(0), uint32(1<<30))), "exceeds the frame (record code 14, byte 9 of"},
		"text longer than the frame": {batch(selectGateway, record(1, uint64(1), uint32(50))), "needs 50 bytes, 0 left (record code 1,"},
		"settings that are not JSON": {batch(selectGateway, startRecord("{")), "settings are not JSON"},
		"missing setting":            {batch(selectGateway, startWith(`"rank":0,`, "")), `setting "rank" is missing`},
		"setting of the wrong type":  {batch(selectGateway, startWith(`"rank":0`, `"rank":"a"`)), "wrong type"},
		"unknown op type": {batch(selectGateway, startRecord(settings),
			record(3, uint32(1), uint32(0), uint8(9), 0.0, uint16(0), 1.0, uint64(0))), "op type 9"},
		"unknown idempotency": {batch(selectGateway, startWith("repeatable", "thrice")), "unknown kind"},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := serve(test.in)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want %q", err, test.want)
			}
			if out != "" {
				t.Error("reply was written despite the error")
			}
		})
	}
}

// FuzzServe passes corrupted and truncated batches to Serve, which must write only complete replies and never panic.
func FuzzServe(f *testing.F) {
	good := batch(selectGateway, startRecord(settings), oneEndpoint, requestRecord(5))
	for i := 0; i < len(good); i += 7 {
		damaged := append([]byte(nil), good...)
		damaged[i] ^= 0xff
		f.Add(damaged)
		f.Add(good[:i])
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		out, _ := serve(in)
		for rest := []byte(out); len(rest) > 0; {
			if len(rest) < 8 || len(rest) < 8+int(binary.LittleEndian.Uint32(rest[4:])) {
				t.Fatal("partial reply was written")
			}
			rest = rest[8+binary.LittleEndian.Uint32(rest[4:]):]
		}
	})
}
