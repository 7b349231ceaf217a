package protocol

import (
	"testing"

	"github.com/tidwall/redcon"

	"laurelring/decision"
)

const benchRequest = "*4\r\n$8\r\nAPI.READ\r\n$7\r\ncourt-7\r\n$6\r\nreq-12\r\n$13\r\nc=look,d=1500\r\n"

// BenchmarkRequest measures scanning and parsing one request of a client.
func BenchmarkRequest(b *testing.B) {
	opTypes := map[string]*decision.OpType{"API.READ look": {}}
	buffer, scanner := NewBuffer(MaxRequestSize), RequestScanner{}
	b.ReportAllocs()
	for range b.N {
		buffer.Commit(copy(buffer.Space(), benchRequest))
		size, _, err := scanner.Next(buffer)
		if err != nil || size == 0 {
			b.Fatal(size, err)
		}
		cmd, err := redcon.Parse(append([]byte(nil), buffer.Bytes()[:size]...))
		if err != nil {
			b.Fatal(err)
		}
		buffer.Discard(size)
		if _, err := ParseRequest(cmd.Args, opTypes); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkResponse measures reading one response of an endpoint.
func BenchmarkResponse(b *testing.B) {
	const text = "*3\r\n$5\r\nvalue\r\n$-1\r\n$15\r\nutilization=0.4\r\n"
	buffer, reader := NewBuffer(MaxResponseSize), ResponseReader{}
	b.ReportAllocs()
	for range b.N {
		buffer.Commit(copy(buffer.Space(), text))
		response, complete, err := reader.Next(buffer)
		if err != nil || !complete {
			b.Fatal(complete, err)
		}
		if _, ok := ParseUtilization(response.LoadReport, "utilization"); !ok {
			b.Fatal("no utilization")
		}
	}
}
