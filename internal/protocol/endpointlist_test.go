package protocol

import (
	"fmt"
	"strings"
	"testing"
)

func TestEndpointListIsParsedCompletelyOrRejected(t *testing.T) {
	member := `{"id":"s-1","host_port":"127.0.0.1:1","locality":"b","flavor":"m","cell":3,"phase":"up","size":2,"up_since_ms":5,"build":41}`
	for text, want := range map[string]string{
		`{"revision":41,"complete":true,"members":[` + member + `]}`:                       "s-1 127.0.0.1:1 true true 41 1 1 3 2 5000000;",
		`{"revision":41,"members":[{"id":"s-1","phase":"removed"}]}`:                       "s-1  false false 0 2 1 0 1 0;",
		`{"revision":41,"members":[` + member + `,{"id":"s-2"}]}`:                          "error",
		`{"revision":41,"members":[` + member:                                              "error",
		`{"members":[]}`:                                                                   "error",
		`{"revision":42,"members":[` + strings.Replace(member, "up", "\x01\x02", 1) + `]}`: "error", // must not be taken for a removed endpoint
		`{"revision":42,"members":[` + strings.Replace(member, "127", "xxx", 1) + `]}`:     "error",
	} {
		got := ""
		list, err := ParseEndpointList([]byte(text), []string{"a", "b"}, []string{"n"})
		if err != nil {
			got += "error"
		} else {
			for _, m := range list.Entries {
				got += fmt.Sprintln(m.ID, m.Address, m.Ready, m.Present, m.Build, m.Zone, m.MachineType, m.Cell, m.Size, m.StartedAt.Nanoseconds())
			}
		}
		if strings.ReplaceAll(got, "\n", ";") != want {
			t.Errorf("%s parsed as %q, want %q", text, got, want)
		}
	}
}
