package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"laurelring/internal/store"
	"laurelring/internal/tuftest"
)

// Each call against mirrors on loopback: what people and programs are told, and the exit status.
func TestTuf(t *testing.T) {
	repo := tuftest.NewRepository(true, time.Now)
	body := bytes.Repeat([]byte("drop 7\n"), 900)
	repo.AddTarget(metadata.TARGETS, "builds/7.json", body, 512)
	repo.Publish()
	m := tuftest.NewMirror(repo.Files)
	defer m.Close()
	folder := t.TempDir()
	file := filepath.Join(folder, "trust.json")
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("root.json", string(repo.InitialRoot()))
	write("trust.json", fmt.Sprintf(`{"root":"root.json","store":"kept","mirrors":[%q],"refresh_within_ms":3000,"attempts":2,"stall_ms":200}`, m.URL))
	ahead := time.Duration(0)
	call := func(args ...string) (status int, out, complaints string) {
		var o, c bytes.Buffer
		status = run(context.Background(), append([]string{"tuf", args[0], "--file", file}, args[1:]...), &o, &c,
			func() int64 { return time.Now().Add(ahead).UnixNano() })
		return status, o.String(), c.String()
	}
	for _, c := range []struct {
		name   string
		do     func()
		args   []string
		status int
		says   string // part of what is told
	}{
		{"before a refresh", nil, []string{"status"}, fine, "never refreshed"},
		{"nothing to verify", nil, []string{"verify", "builds/7.json"}, refused, "never refreshed"},
		{"a refresh", nil, []string{"refresh"}, fine, "fresh, by"},
		{"for programs", nil, []string{"refresh", "--json"}, fine, `"ok":true`},
		{"a fetch", nil, []string{"fetch", "builds/7.json"}, fine, "6300 bytes, listed by targets"},
		{"what is trusted", nil, []string{"status"}, fine, "fetched: builds/7.json"},
		{"as it was fetched", nil, []string{"verify"}, fine, "builds/7.json: trusted"},
		{"nobody lists it", nil, []string{"fetch", "builds/8.json", "--json"}, refused, `"reason":"not listed"`},
		{"out of its folder", nil, []string{"fetch", "../x"}, refused, "unsafe path"},
		{"an unknown call", nil, []string{"forget"}, misused, "unexpected argument"},
		{"without a name", nil, []string{"fetch"}, misused, "expected"},
		{"altered on disk", func() { write("kept/targets/builds/7.json", "x") }, []string{"verify"}, refused, "wrong length"},
		{"a bad mirror", func() { m.SetFault(tuftest.Corrupt) }, []string{"refresh"}, refused, "timestamp"},
		{"no mirror", func() { m.SetFault(tuftest.FailRequest) }, []string{"refresh", "--json"}, unavailable, `"reason":"unavailable"`},
		{"long after", func() { ahead = 3 * time.Hour }, []string{"verify", "builds/7.json"}, refused, "expired"},
		{"another process", func() {
			ahead = 0
			s, err := store.Open(filepath.Join(folder, "kept"))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { s.Close() })
		}, []string{"status"}, storeFault, "another process"},
	} {
		if c.do != nil {
			c.do()
		}
		status, out, complaints := call(c.args...)
		if status != c.status || !strings.Contains(out+complaints, c.says) {
			t.Errorf("%s: status %d, want %d, with %q: %q %q", c.name, status, c.status, c.says, out, complaints)
		}
		if len(c.args) > 1 && c.args[len(c.args)-1] == "--json" && !json.Valid([]byte(out)) {
			t.Errorf("%s: no JSON: %q", c.name, out)
		}
	}
}

// A file with a fault is rejected whole, with file, field and reason.
func TestOperatorsFile(t *testing.T) {
	at := filepath.Join(t.TempDir(), "trust.json")
	for text, want := range map[string]string{
		`{`:                                   "it is not JSON",
		`{"mirrors":["http://127.0.0.1:1/"]}`: `field "root": is missing`,
		`{"root":"r","mirrors":[]}`:           `field "mirrors"`,
		`{"root":"r","mirrors":["http://127.0.0.1:1"]}`:                                           `field "mirrors.0"`,
		`{"root":"r","mirrors":["http://127.0.0.1:1/"],"refresh_every":5}`:                        `field "refresh_every": is not known`,
		`{"root":"r","mirrors":["http://127.0.0.1:1/"],"refresh_every_ms":5}`:                     `field "refresh_every_ms"`,
		`{"root":"r","mirrors":["http://127.0.0.1:1/"],"bytes":{"root":"1"}}`:                     `field "bytes.root"`,
		`{"root":"r","mirrors":["http://127.0.0.1:1/"],"builds":"../{build}"}`:                    `field "builds": the target's path could leave`,
		`{"root":"r","mirrors":["http://127.0.0.1:1/"],"builds":"one"}`:                           `field "builds"`,
		`{"root":"none.json","mirrors":["http://127.0.0.1:1/"],"store":"kept"}`:                   `field "root": open`,
		`{"root":"r","mirrors":["http://127.0.0.1:1/","http://127.0.0.1:1/"],"clock_slack_ms":0}`: `field "mirrors"`,
	} {
		if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, complaints bytes.Buffer
		status := run(context.Background(), []string{"tuf", "status", "--file", at}, &out, &complaints, func() int64 { return 0 })
		if got := complaints.String(); status != misused || !strings.Contains(got, want) || !strings.Contains(got, at) || strings.Count(got, "\n") != 1 {
			t.Errorf("%s: status %d, %q; want %q", text, status, got, want)
		}
	}
}

// Metrics tell how attempts at mirrors ended and how long the roles last.
func TestMetrics(t *testing.T) {
	repo := tuftest.NewRepository(true, time.Now)
	good, bad := tuftest.NewMirror(repo.Files), tuftest.NewMirror(repo.Files)
	defer good.Close()
	defer bad.Close()
	bad.SetFault(tuftest.FailRequest)
	folder := t.TempDir()
	os.WriteFile(filepath.Join(folder, "root.json"), repo.InitialRoot(), 0o600)
	os.WriteFile(filepath.Join(folder, "trust.json"), fmt.Appendf(nil, `{"root":"root.json","mirrors":[%q,%q]}`, good.URL, bad.URL), 0o600)
	at := filepath.Join(folder, "metrics")
	var out bytes.Buffer
	if status := run(context.Background(), []string{"tuf", "refresh", "--file", filepath.Join(folder, "trust.json"), "--metrics", at},
		&out, &out, func() int64 { return time.Now().UnixNano() }); status != fine {
		t.Fatal(out.String())
	}
	text, err := os.ReadFile(at)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`laurelring_tuf_refreshes_total{reason="trusted"} 1`, `how="brought"`,
		`laurelring_tuf_role_lasts_seconds{role="timestamp"} 3`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
}
