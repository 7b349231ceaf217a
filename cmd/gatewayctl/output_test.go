package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	storeFixture   = "../../internal/store/testdata/store-84f12dd" // see internal/store/fixture_test.go
	recordedOutput = "testdata/output-88d4011.txt"
)

// The text and JSON output and the exit statuses are those recorded at commit 88d4011 for the same stored state. Only
// the help texts in the recorded file have been reworded since.
func TestOutputMatchesEarlierVersion(t *testing.T) {
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(storeFixture)); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(folder, "trust.json")
	settings := `{"root":"1.root.json","store":"store","mirrors":["http://127.0.0.1:1/","http://127.0.0.1:2/"]}`
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	now := func() int64 { return time.Unix(2_000_000_060, 0).UnixNano() }
	var got bytes.Buffer
	for _, args := range [][]string{
		{"tuf", "status", "--file", file},
		{"tuf", "status", "--file", file, "--json"},
		{"tuf", "verify", "--file", file},
		{"tuf", "verify", "--file", file, "--json"},
		{"tuf", "fetch", "east/2", "--file", file},
		{"tuf", "fetch", "east/2", "--file", file, "--json"},
		{"tuf", "fetch", "../x", "--file", file, "--json"},
		{"tuf", "fetch", "--file", file, "--json"},
		{"tuf", "status", "--file", filepath.Join(folder, "none.json"), "--json"},
		{"--help"},
		{"tuf", "--help"},
		{"tuf", "fetch", "--help"},
		{"tuf", "fetch", "--help", "--json", "--file", file},
		{},
		{"tuf"},
	} {
		var out, errors bytes.Buffer
		status := run(context.Background(), args, &out, &errors, now)
		fmt.Fprintf(&got, "$ gatewayctl %s\n%s%sexit status %d\n\n", strings.Join(args, " "), &out, &errors, status)
	}
	want, err := os.ReadFile(recordedOutput)
	if err != nil {
		t.Fatal(err)
	}
	if text := strings.ReplaceAll(got.String(), folder, "FOLDER"); text != string(want) {
		t.Errorf("output differs from %s, got:\n%s", recordedOutput, text)
	}
}
