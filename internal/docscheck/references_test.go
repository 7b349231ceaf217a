package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// currentPages are the pages that describe the current code. Incident reports and the journal are not checked, because
// they stay as they were written.
var currentPages = []string{
	"README.md", "docs/ROADMAP.md", "docs/architecture.md", "docs/capacity.md", "docs/design.md", "docs/on-call.md",
	"docs/sockets.md", "docs/standing.md", "docs/tuf.md",
}

// repositoryPath matches the path of a file or folder of this repository, relative to the root.
var repositoryPath = regexp.MustCompile(`^(cmd|decision|deploy|docs|examples|internal|journal)(/[\w.-]+)*/?$`)

// pageName matches the path of a page, relative to the page that names it.
var pageName = regexp.MustCompile(`^[\w/.-]+\.md$`)

// testName matches the name of a test function.
var testName = regexp.MustCompile(`^Test[A-Z]\w*$`)

func TestPagesNameExistingFiles(t *testing.T) {
	named := 0
	for _, page := range currentPages {
		for _, name := range namesOnPage(t, page) {
			folder := root
			name = strings.TrimSuffix(name, "/...") // a package pattern
			if !repositoryPath.MatchString(name) {
				if !pageName.MatchString(name) {
					continue
				}
				folder = filepath.Join(root, filepath.Dir(page))
			}
			named++
			if _, err := os.Stat(filepath.Join(folder, name)); err != nil {
				t.Errorf("%s names the file %s: %v", page, name, err)
			}
		}
	}
	if named == 0 {
		t.Error("got no page that names a file: the test reads the wrong pages or patterns")
	}
}

func TestPagesNameExistingTests(t *testing.T) {
	declared := declaredTests(t)
	named := 0
	for _, page := range currentPages {
		for _, name := range namesOnPage(t, page) {
			if !testName.MatchString(name) {
				continue
			}
			named++
			if !slices.Contains(declared, name) {
				t.Errorf("%s names the test %s, which does not exist", page, name)
			}
		}
	}
	if named == 0 {
		t.Error("got no page that names a test: the test reads the wrong pages or patterns")
	}
}

// namesOnPage returns the strings between backquotes on a page.
func namesOnPage(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	return backquoted(string(text))
}

var testDeclaration = regexp.MustCompile(`(?m)^func (Test[A-Z]\w*)\(`)

// declaredTests returns the names of all test functions in the repository.
func declaredTests(t *testing.T) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range testDeclaration.FindAllStringSubmatch(string(text), -1) {
			names = append(names, match[1])
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
