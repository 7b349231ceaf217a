package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// currentPages describe the code as it is; incidents and the journal stay as they were written.
var currentPages = []string{
	"README.md", "docs/ROADMAP.md", "docs/architecture.md", "docs/design.md", "docs/on-call.md",
	"docs/sockets.md", "docs/standing.md", "docs/tuf.md",
}

// repositoryPath matches the name of a file or folder of this repository, by its place from the root.
var repositoryPath = regexp.MustCompile(`^(cmd|decision|deploy|docs|examples|internal|journal)(/[\w.-]+)*/?$`)

// pageName matches a file that is named by its place from the page.
var pageName = regexp.MustCompile(`^[\w/.-]+\.md$`)

// testName matches a test function.
var testName = regexp.MustCompile(`^Test[A-Z]\w*$`)

func TestPagesNameExistingFiles(t *testing.T) {
	named := 0
	for _, page := range currentPages {
		for _, name := range namesOnPage(t, page) {
			folder := root
			name = strings.TrimSuffix(name, "/...") // a pattern of packages
			if !repositoryPath.MatchString(name) {
				if !pageName.MatchString(name) {
					continue
				}
				folder = filepath.Join(root, filepath.Dir(page))
			}
			named++
			if _, err := os.Stat(filepath.Join(folder, name)); err != nil {
				t.Errorf("%s names %s: %v", page, name, err)
			}
		}
	}
	if named == 0 {
		t.Error("no page names a file: the test looks in the wrong place")
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
				t.Errorf("%s names the test %s, which is not there", page, name)
			}
		}
	}
	if named == 0 {
		t.Error("no page names a test: the test looks in the wrong place")
	}
}

// namesOnPage gives what stands between backquotes on a page.
func namesOnPage(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	return backquoted(string(text))
}

var testDeclaration = regexp.MustCompile(`(?m)^func (Test[A-Z]\w*)\(`)

// declaredTests gives the names of all test functions of the repository.
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
