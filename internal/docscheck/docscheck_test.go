// Package docscheck contains tests that check the pages under docs against the code.
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
	errorTextLevel   = "error text" // value of the level column in rows that explain an error text instead of a log line
)

func TestOnCallPageListsEveryLogLine(t *testing.T) {
	documented := map[string]logLine{}
	for _, line := range readLogTable(t) {
		documented[line.message] = line
	}
	for _, line := range readProgram(t).lines {
		row, found := documented[line.message]
		if !found {
			t.Errorf("%s: the log message %q is not documented in %s", line.position, line.message, onCallPage)
			continue
		}
		if row.level != line.level {
			t.Errorf("%s: %q has level %s, but the page says %s", line.position, line.message, line.level, row.level)
		}
		if !slices.Equal(row.keys, line.keys) {
			t.Errorf("%s: %q has keys %v, but the page says %v", line.position, line.message, line.keys, row.keys)
		}
	}
}

func TestOnCallPageListsNoUnknownLogLine(t *testing.T) {
	code := readProgram(t)
	for _, line := range readLogTable(t) {
		known := code.hasMessage(line.message)
		if line.level == errorTextLevel {
			known = slices.Contains(code.errorTexts, line.message)
		}
		if !known {
			t.Errorf("%s: the code contains no log message or error text %q (level %s)", onCallPage, line.message, line.level)
		}
	}
}

// The table of symptoms, before the table of log lines, may only name log lines and keys that exist.
func TestOnCallTroubleshootingTableNamesKnownLogLines(t *testing.T) {
	code := readProgram(t)
	troubleshooting, _ := cutAtHeading(t, onCallPage, logTableHeading)
	for _, row := range tableRows(troubleshooting) {
		for _, name := range backquoted(strings.Join(row, " ")) {
			if !code.hasMessage(name) && !code.usesKey(name) {
				t.Errorf("%s: %q is neither a log message nor a log key", onCallPage, name)
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
				t.Errorf("%s: the log key %q of %q is not documented in %s", line.position, key, line.message, architecturePage)
			}
		}
	}
	for _, key := range code.baseKeys {
		if !slices.Contains(listed, key) {
			t.Errorf("the log key %q, which a logger adds to each line, is not documented in %s", key, architecturePage)
		}
	}
}

// readLogTable reads the table of log lines. A row may name several messages with the same level and keys.
func readLogTable(t *testing.T) []logLine {
	t.Helper()
	_, section := cutAtHeading(t, onCallPage, logTableHeading)
	var lines []logLine
	for _, row := range tableRows(section) {
		if len(row) != 5 {
			t.Fatalf("%s: the row %q: got %d cells, want 5", onCallPage, row, len(row))
		}
		messages := backquoted(row[0])
		if len(messages) == 0 {
			t.Errorf("%s: the row %q names no log message", onCallPage, row)
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

// readKeyTable reads the log keys that the architecture page lists.
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

// cutAtHeading returns the text of a page before and after a heading.
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

// tableRows returns the cells of each table row in a text, without header rows, up to the first heading after a table.
func tableRows(text string) [][]string {
	var rows [][]string
	for line := range strings.SplitSeq(text, "\n") {
		switch {
		case strings.HasPrefix(line, "#") && len(rows) > 0:
			return rows
		case strings.HasPrefix(line, "| ---") && len(rows) > 0:
			rows = rows[:len(rows)-1] // the previous row was the header
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

var backquotedText = regexp.MustCompile("`([^`]+)`")

// backquoted returns the strings between backquotes in a text.
func backquoted(text string) []string {
	var all []string
	for _, match := range backquotedText.FindAllStringSubmatch(text, -1) {
		all = append(all, match[1])
	}
	return all
}
