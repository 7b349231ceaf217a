// Package docscheck holds tests that keep the pages under docs in step with the code.
package docscheck

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	root             = "../.."
	onCallPage       = root + "/docs/on-call.md"
	architecturePage = root + "/docs/architecture.md"
	logTableHeading  = "## What a gateway logs"
	keyTableHeading  = "### Keys of log lines"
	errorTextLevel   = "error text" // in the level column: the row explains an error's text, not a line
)

func TestOnCallPageListsEveryLogLine(t *testing.T) {
	documented := map[string]logLine{}
	for _, line := range readLogTable(t) {
		documented[line.message] = line
	}
	for _, line := range readProgram(t).lines {
		row, found := documented[line.message]
		if !found {
			t.Errorf("%s: the message %q is missing from %s", line.position, line.message, onCallPage)
			continue
		}
		if row.level != line.level {
			t.Errorf("%s: %q has level %s, the page says %s", line.position, line.message, line.level, row.level)
		}
		if !slices.Equal(row.keys, line.keys) {
			t.Errorf("%s: %q has keys %v, the page says %v", line.position, line.message, line.keys, row.keys)
		}
	}
}

func TestOnCallPageListsNoUnknownLogLine(t *testing.T) {
	code := readProgram(t)
	for _, line := range readLogTable(t) {
		known := code.logs(line.message)
		if line.level == errorTextLevel {
			known = slices.Contains(code.errorTexts, line.message)
		}
		if !known {
			t.Errorf("%s: no code writes %q (%s)", onCallPage, line.message, line.level)
		}
	}
}

// The table of what is seen names log lines and keys too.
func TestOnCallTroubleTableNamesKnownLogLines(t *testing.T) {
	code := readProgram(t)
	troubles, _ := cutAtHeading(t, onCallPage, logTableHeading)
	for _, row := range tableRows(troubles) {
		for _, name := range backquoted(strings.Join(row, " ")) {
			if !code.logs(name) && !code.usesKey(name) {
				t.Errorf("%s: %q is neither a log line nor a key of one", onCallPage, name)
			}
		}
	}
}

func TestArchitecturePageListsEveryLogKey(t *testing.T) {
	code := readProgram(t)
	listed := readKeyTable(t)
	for _, line := range code.lines {
		for _, key := range line.keys {
			if !slices.Contains(listed, key) {
				t.Errorf("%s: the key %q of %q is missing from %s", line.position, key, line.message, architecturePage)
			}
		}
	}
	for _, key := range code.baseKeys {
		if !slices.Contains(listed, key) {
			t.Errorf("the key %q that a logger adds is missing from %s", key, architecturePage)
		}
	}
}

// readLogTable reads the table of log lines. A row may name several messages that have the same level and keys.
func readLogTable(t *testing.T) []logLine {
	t.Helper()
	_, section := cutAtHeading(t, onCallPage, logTableHeading)
	var lines []logLine
	for _, row := range tableRows(section) {
		if len(row) != 5 {
			t.Fatalf("%s: the row %q has %d cells, want 5", onCallPage, row, len(row))
		}
		messages := backquoted(row[0])
		if len(messages) == 0 {
			t.Errorf("%s: the row %q names no line", onCallPage, row)
		}
		keys := backquoted(row[2])
		slices.Sort(keys)
		for _, message := range messages {
			if slices.ContainsFunc(lines, func(line logLine) bool { return line.message == message }) {
				t.Errorf("%s has two rows for %q", onCallPage, message)
			}
			lines = append(lines, logLine{message: message, level: row[1], keys: keys, position: onCallPage})
		}
	}
	if len(lines) == 0 {
		t.Fatalf("%s has no table below %q", onCallPage, logTableHeading)
	}
	return lines
}

// readKeyTable reads the keys that the architecture page lists.
func readKeyTable(t *testing.T) []string {
	t.Helper()
	_, section := cutAtHeading(t, architecturePage, keyTableHeading)
	var keys []string
	for _, row := range tableRows(section) {
		keys = append(keys, backquoted(row[0])...)
	}
	if len(keys) == 0 {
		t.Fatalf("%s has no table below %q", architecturePage, keyTableHeading)
	}
	return keys
}

// cutAtHeading gives the text of a page before and after a heading.
func cutAtHeading(t *testing.T, page, heading string) (before, after string) {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, after, found := strings.Cut(string(text), "\n"+heading+"\n")
	if !found {
		t.Fatalf("%s has no heading %q", page, heading)
	}
	return before, after
}

// tableRows gives the cells of each row of the tables in a text, up to the next heading, without the tables' heads.
func tableRows(text string) [][]string {
	var rows [][]string
	for line := range strings.SplitSeq(text, "\n") {
		switch {
		case strings.HasPrefix(line, "#") && len(rows) > 0:
			return rows
		case strings.HasPrefix(line, "| ---") && len(rows) > 0:
			rows = rows[:len(rows)-1] // the row before it was the head
		case strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| ---"):
			cells := strings.Split(strings.TrimSuffix(strings.TrimPrefix(line, "|"), "|"), "|")
			for i := range cells {
				cells[i] = strings.TrimSpace(cells[i])
			}
			rows = append(rows, cells)
		}
	}
	return rows
}

var quotation = regexp.MustCompile("`([^`]+)`")

// backquoted gives what stands between backquotes in a text.
func backquoted(text string) []string {
	var all []string
	for _, match := range quotation.FindAllStringSubmatch(text, -1) {
		all = append(all, match[1])
	}
	return all
}
