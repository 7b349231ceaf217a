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

// Runs each command against a mirror on loopback and checks its text or JSON output and its exit status.
func TestCommandsPrintResultsAndExitStatuses(t *testing.T) {
	repo := tuftest.NewRepository(true, time.Now)
	body := bytes.Repeat([]byte("drop 7\n"), 900)
	repo.AddTarget(metadata.TARGETS, "builds/7.json", body, 512)
	repo.Publish()
	mirror := tuftest.NewMirror(repo.Files)
	defer mirror.Close()
	folder := t.TempDir()
	file := filepath.Join(folder, "trust.json")
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("root.json", string(repo.InitialRoot()))
	write("trust.json", fmt.Sprintf(`{"root":"root.json","store":"kept","mirrors":[%q],"refresh_within_ms":3000,"attempts":2,"stall_ms":200}`, mirror.URL))
	clockOffset := time.Duration(0)
	call := func(args ...string) (status int, out, errorOut string) {
		var stdout, stderr bytes.Buffer
		status = run(context.Background(), append([]string{"tuf", args[0], "--file", file}, args[1:]...), &stdout, &stderr,
			func() int64 { return time.Now().Add(clockOffset).UnixNano() })
		return status, stdout.String(), stderr.String()
	}
	for _, c := range []struct {
		name   string
		change func()
		args   []string
		status int
		prints string // expected part of the output
	}{
		{"status before the first refresh", nil, []string{"status"}, exitOK, "never refreshed"},
		{"verify before the first refresh", nil, []string{"verify", "builds/7.json"}, exitNotTrusted, "never refreshed"},
		{"refresh", nil, []string{"refresh"}, exitOK, "fresh, by"},
		{"refresh with JSON output", nil, []string{"refresh", "--json"}, exitOK, `"ok":true`},
		{"fetch", nil, []string{"fetch", "builds/7.json"}, exitOK, "6300 bytes, listed by targets"},
		{"status after a fetch", nil, []string{"status"}, exitOK, "fetched: builds/7.json"},
		{"verify after a fetch", nil, []string{"verify"}, exitOK, "builds/7.json: trusted"},
		{"fetch of an unlisted target", nil, []string{"fetch", "builds/8.json", "--json"}, exitNotTrusted, `"reason":"not listed"`},
		{"fetch of an unsafe path", nil, []string{"fetch", "../x"}, exitNotTrusted, "unsafe path"},
		{"unknown command", nil, []string{"forget"}, exitUsage, "unexpected argument"},
		{"fetch without a name", nil, []string{"fetch"}, exitUsage, "expected"},
		{"verify of a target altered on disk", func() { write("kept/targets/builds/7.json", "x") }, []string{"verify"}, exitNotTrusted, "wrong length"},
		{"refresh from a corrupt mirror", func() { mirror.SetFault(tuftest.Corrupt) }, []string{"refresh"}, exitNotTrusted, "timestamp"},
		{"refresh from a failing mirror", func() { mirror.SetFault(tuftest.FailRequest) }, []string{"refresh", "--json"}, exitUnavailable, `"reason":"unavailable"`},
		{"verify with expired metadata", func() { clockOffset = 3 * time.Hour }, []string{"verify", "builds/7.json"}, exitNotTrusted, "expired"},
		{"store in use by another process", func() {
			clockOffset = 0
			s, err := store.Open(filepath.Join(folder, "kept"))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { s.Close() })
		}, []string{"status"}, exitStore, "another process"},
	} {
		if c.change != nil {
			c.change()
		}
		status, out, errorOut := call(c.args...)
		if status != c.status || !strings.Contains(out+errorOut, c.prints) {
			t.Errorf("%s: got status %d, want %d with output %q; got output %q and error output %q", c.name, status, c.status, c.prints, out, errorOut)
		}
		if len(c.args) > 1 && c.args[len(c.args)-1] == "--json" && !json.Valid([]byte(out)) {
			t.Errorf("%s: got output %q, want JSON", c.name, out)
		}
	}
}

// An invalid operator's file is rejected as a whole, with an error that names the file, the field and the reason.
func TestFaultyOperatorFileIsRejected(t *testing.T) {
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
		var out, errorOut bytes.Buffer
		status := run(context.Background(), []string{"tuf", "status", "--file", at}, &out, &errorOut, func() int64 { return 0 })
		if got := errorOut.String(); status != exitUsage || !strings.Contains(got, want) || !strings.Contains(got, at) || strings.Count(got, "\n") != 1 {
			t.Errorf("%s: got status %d and error %q, want one line with %q and the file", text, status, got, want)
		}
	}
}

func TestMetricsReportAttemptsAndRoleLifetimes(t *testing.T) {
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
		&out, &out, func() int64 { return time.Now().UnixNano() }); status != exitOK {
		t.Fatal(out.String())
	}
	text, err := os.ReadFile(at)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`laurelring_tuf_refreshes_total{reason="trusted"} 1`, `how="brought"`,
		`laurelring_tuf_role_lasts_seconds{role="timestamp"} 3`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("metrics do not contain %s", want)
		}
	}
}
