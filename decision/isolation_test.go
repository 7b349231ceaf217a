package decision_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// pureImports lists the packages that code under decision may import. None of them does I/O.
var pureImports = []string{"cmp", "container/heap", "encoding/binary", "errors", "fmt", "hash/fnv", "maps", "math", "slices", "sort",
	"strconv", "time"}

// clockFunctions lists the functions of package time that read a clock, wait, or start a goroutine.
var clockFunctions = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}

// decisionFiles returns the parsed Go files under this folder by path, without tests.
func decisionFiles(t *testing.T) map[string]*ast.File {
	t.Helper()
	files := map[string]*ast.File{}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files[path], err = parser.ParseFile(token.NewFileSet(), path, nil, 0)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestDecisionPackagesDoNoIOAndReadNoClock(t *testing.T) {
	for path, file := range decisionFiles(t) {
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasPrefix(imported, "laurelring/decision") && !slices.Contains(pureImports, imported) {
				t.Errorf("%s imports %s", path, imported)
			}
		}
		ast.Inspect(file, func(node ast.Node) bool {
			switch n := node.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", path)
			case *ast.SelectorExpr:
				if base, ok := n.X.(*ast.Ident); ok && base.Name == "time" && slices.Contains(clockFunctions, n.Sel.Name) {
					t.Errorf("%s calls time.%s", path, n.Sel.Name)
				}
			case *ast.CallExpr:
				if called, ok := n.Fun.(*ast.SelectorExpr); ok {
					if base, ok := called.X.(*ast.Ident); ok && base.Name == "fmt" && strings.HasPrefix(called.Sel.Name, "Print") {
						t.Errorf("%s prints", path)
					}
				}
			}
			return true
		})
	}
}

// The policy list in deploy/balancer.toml must name every non-test file of the decision packages, and no other file.
func TestDeployFileNamesEveryDecisionFile(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, found := strings.Cut(string(text), "\npolicy = [")
	list, _, closed := strings.Cut(list, "]")
	if !found || !closed {
		t.Fatal("deploy/balancer.toml has no policy list")
	}
	var named []string
	for _, quoted := range strings.Split(list, ",") {
		path, err := strconv.Unquote(strings.TrimSpace(quoted))
		if err != nil {
			t.Fatal(err)
		}
		named = append(named, path)
	}
	var want []string
	for path := range decisionFiles(t) {
		want = append(want, filepath.ToSlash(filepath.Join("decision", path)))
	}
	slices.Sort(named)
	slices.Sort(want)
	if !slices.Equal(named, want) {
		t.Errorf("policy list in deploy/balancer.toml: got %v, want %v", named, want)
	}
}
