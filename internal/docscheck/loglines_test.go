package docscheck

import (
	"go/ast"
	"go/constant"
	"go/types"
	"slices"
	"sync"
	"testing"

	"golang.org/x/tools/go/packages"
	"golang.org/x/tools/go/types/typeutil"
)

// programPatterns are the packages whose log lines the pages describe. Examples are excluded, because they
// write logs of their own.
var programPatterns = []string{"./cmd/...", "./decision/...", "./internal/..."}

// slogFunctions are the functions of log/slog that write a log line.
var slogFunctions = map[string]logFunction{
	"Debug":        {level: "debug", message: 0},
	"Info":         {level: "info", message: 0},
	"Warn":         {level: "warn", message: 0},
	"Error":        {level: "error", message: 0},
	"DebugContext": {level: "debug", message: 1},
	"InfoContext":  {level: "info", message: 1},
	"WarnContext":  {level: "warn", message: 1},
	"ErrorContext": {level: "error", message: 1},
}

// unsupportedSlogFunctions are functions of log/slog with which the level or the keys of a log line cannot be read from
// the source.
var unsupportedSlogFunctions = []string{"Log", "LogAttrs", "WithGroup", "Group", "GroupAttrs", "WithAttrs", "Record"}

// logFunction describes a function that writes a log line: one of log/slog, or one of this project that passes its
// message on to such a function.
type logFunction struct {
	level   string
	message int      // index of the message among the arguments
	keys    []string // keys that the function adds to those of its caller
}

// logLine is one log message with its level and keys, from the code or from a page.
type logLine struct {
	message  string
	level    string
	keys     []string // sorted
	position string
}

// program holds the log lines and error texts found in the code.
type program struct {
	packages   []*packages.Package
	wrappers   map[string]logFunction // functions of this project that log a message of their caller, by full name
	lines      []logLine
	baseKeys   []string // keys that With adds to each line of a logger
	errorTexts []string
	problems   []string // descriptions of code that cannot be analyzed
}

var loadProgram = sync.OnceValues(func() (*program, error) {
	config := &packages.Config{
		Dir:  root,
		Mode: packages.NeedName | packages.NeedFiles | packages.NeedImports | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo,
	}
	loaded, err := packages.Load(config, programPatterns...)
	if err != nil {
		return nil, err
	}
	p := &program{packages: loaded, wrappers: map[string]logFunction{}}
	for p.findWrappers() { // repeat until no further wrapper is found
	}
	for _, pkg := range p.packages {
		p.scanPackage(pkg)
	}
	return p, nil
})

// readProgram returns the log lines and error texts of the code. The test fails if some of the code cannot be analyzed.
func readProgram(t *testing.T) *program {
	t.Helper()
	p, err := loadProgram()
	if err != nil {
		t.Fatal(err)
	}
	for _, problem := range p.problems {
		t.Error(problem)
	}
	if len(p.lines) == 0 || len(p.errorTexts) == 0 {
		t.Fatal("got no log lines or no error texts: the test reads the wrong packages")
	}
	return p
}

func (p *program) hasMessage(message string) bool {
	return slices.ContainsFunc(p.lines, func(line logLine) bool { return line.message == message })
}

func (p *program) usesKey(key string) bool {
	return slices.ContainsFunc(p.lines, func(line logLine) bool { return slices.Contains(line.keys, key) })
}

// findWrappers adds the functions that log a message passed to them to wrappers, and reports whether it found a new
// one.
func (p *program) findWrappers() bool {
	found := false
	for _, pkg := range p.packages {
		for _, file := range pkg.Syntax {
			for _, declaration := range file.Decls {
				function, ok := declaration.(*ast.FuncDecl)
				if !ok || function.Body == nil {
					continue
				}
				name := pkg.TypesInfo.Defs[function.Name].(*types.Func).FullName()
				if _, known := p.wrappers[name]; known {
					continue
				}
				if wrapper, ok := p.asWrapper(pkg, function); ok {
					p.wrappers[name] = wrapper
					found = true
				}
			}
		}
	}
	return found
}

// asWrapper reports whether a function logs one of its parameters as the message, and describes it if so.
func (p *program) asWrapper(pkg *packages.Package, function *ast.FuncDecl) (wrapper logFunction, found bool) {
	ast.Inspect(function.Body, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		logs, ok := p.logFunctionOf(pkg, call)
		if !ok {
			return true
		}
		if index := parameterIndex(pkg, function, call.Args[logs.message]); index >= 0 {
			keys := append(slices.Clone(logs.keys), p.keysOf(pkg, call, logs.message+1)...)
			wrapper, found = logFunction{level: logs.level, message: index, keys: keys}, true
		}
		return true
	})
	return wrapper, found
}

// parameterIndex returns the index of an expression among a function's parameters, or -1 if it is none of them.
func parameterIndex(pkg *packages.Package, function *ast.FuncDecl, expression ast.Expr) int {
	name, ok := expression.(*ast.Ident)
	if !ok {
		return -1
	}
	parameters := pkg.TypesInfo.Defs[function.Name].(*types.Func).Signature().Params()
	for i := range parameters.Len() {
		if parameters.At(i) == pkg.TypesInfo.Uses[name] {
			return i
		}
	}
	return -1
}

// logFunctionOf returns the log function that a call calls, and whether the call writes a log line.
func (p *program) logFunctionOf(pkg *packages.Package, call *ast.CallExpr) (logFunction, bool) {
	called, ok := typeutil.Callee(pkg.TypesInfo, call).(*types.Func)
	if !ok {
		return logFunction{}, false
	}
	if logs, ok := p.wrappers[called.Origin().FullName()]; ok {
		return logs, true
	}
	if !isSlogFunction(called) {
		return logFunction{}, false
	}
	logs, ok := slogFunctions[called.Name()]
	return logs, ok && len(call.Args) > logs.message // an Error method of an error has no arguments
}

func isSlogFunction(function *types.Func) bool {
	return function.Pkg() != nil && function.Pkg().Path() == "log/slog"
}

// scanPackage collects the log lines and error texts of one package.
func (p *program) scanPackage(pkg *packages.Package) {
	for _, loadError := range pkg.Errors {
		p.problems = append(p.problems, loadError.Error())
	}
	if pkg.Imports["log"] != nil {
		p.problems = append(p.problems, pkg.PkgPath+" logs with package log instead of log/slog")
	}
	for _, file := range pkg.Syntax {
		for _, declaration := range file.Decls {
			function, _ := declaration.(*ast.FuncDecl)
			ast.Inspect(declaration, func(node ast.Node) bool {
				if call, ok := node.(*ast.CallExpr); ok {
					p.scanCall(pkg, function, call)
				}
				return true
			})
		}
	}
}

// scanCall collects the log line, the base keys or the error text of a call. The function is the one that contains the
// call, or nil outside of functions.
func (p *program) scanCall(pkg *packages.Package, function *ast.FuncDecl, call *ast.CallExpr) {
	called, ok := typeutil.Callee(pkg.TypesInfo, call).(*types.Func)
	if !ok {
		return
	}
	position := pkg.Fset.Position(call.Pos()).String()
	switch name := called.FullName(); {
	case name == "errors.New" || name == "fmt.Errorf":
		if text, ok := constantText(pkg, call.Args[0]); ok {
			p.errorTexts = append(p.errorTexts, text)
		}
	case isSlogFunction(called) && slices.Contains(unsupportedSlogFunctions, called.Name()):
		p.problems = append(p.problems, position+": "+name+" hides the level or the keys of the log line")
	case isSlogFunction(called) && called.Name() == "With":
		p.baseKeys = append(p.baseKeys, p.keysOf(pkg, call, 0)...)
	}
	logs, ok := p.logFunctionOf(pkg, call)
	if !ok {
		return
	}
	message, ok := constantText(pkg, call.Args[logs.message])
	if !ok {
		if function == nil || parameterIndex(pkg, function, call.Args[logs.message]) < 0 {
			p.problems = append(p.problems, position+": log message is not a constant string")
		}
		return
	}
	keys := append(slices.Clone(logs.keys), p.keysOf(pkg, call, logs.message+1)...)
	slices.Sort(keys)
	p.lines = append(p.lines, logLine{message: message, level: logs.level, keys: slices.Compact(keys), position: position})
}

// keysOf returns the log keys among a call's arguments, starting at the argument with the index first.
func (p *program) keysOf(pkg *packages.Package, call *ast.CallExpr, first int) []string {
	if first >= len(call.Args) {
		return nil
	}
	arguments := call.Args[first:]
	if call.Ellipsis.IsValid() {
		last := arguments[len(arguments)-1]
		arguments = slices.Clone(arguments[:len(arguments)-1])
		// The slice that is passed on comes from the caller, where its keys are read. Only elements appended to it are
		// read here.
		if appended, ok := last.(*ast.CallExpr); ok && isAppend(pkg, appended) {
			arguments = append(arguments, appended.Args[1:]...)
		} else if _, ok := last.(*ast.Ident); !ok {
			p.problems = append(p.problems, pkg.Fset.Position(last.Pos()).String()+": log keys cannot be read from this expression")
		}
	}
	var keys []string
	for len(arguments) > 0 {
		if key, ok := attributeKey(pkg, arguments[0]); ok {
			keys, arguments = append(keys, key), arguments[1:]
			continue
		}
		key, ok := constantText(pkg, arguments[0])
		if !ok || len(arguments) < 2 {
			p.problems = append(p.problems, pkg.Fset.Position(arguments[0].Pos()).String()+": argument is not a constant log key followed by a value")
			break
		}
		keys, arguments = append(keys, key), arguments[2:]
	}
	return keys
}

// attributeKey returns the key of an argument that is a call constructing a slog.Attr.
func attributeKey(pkg *packages.Package, expression ast.Expr) (string, bool) {
	call, ok := expression.(*ast.CallExpr)
	if !ok {
		return "", false
	}
	constructor, ok := typeutil.Callee(pkg.TypesInfo, call).(*types.Func)
	if !ok || !isSlogFunction(constructor) || len(call.Args) == 0 {
		return "", false
	}
	return constantText(pkg, call.Args[0])
}

func isAppend(pkg *packages.Package, call *ast.CallExpr) bool {
	builtin, ok := typeutil.Callee(pkg.TypesInfo, call).(*types.Builtin)
	return ok && builtin.Name() == "append"
}

// constantText returns the value of an expression if it is a constant string.
func constantText(pkg *packages.Package, expression ast.Expr) (string, bool) {
	value := pkg.TypesInfo.Types[expression].Value
	if value == nil || value.Kind() != constant.String {
		return "", false
	}
	return constant.StringVal(value), true
}
