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

// programPatterns name the code whose log lines the pages describe; examples log for themselves.
var programPatterns = []string{"./cmd/...", "./decision/...", "./internal/..."}

// slogFunctions are the functions of log/slog that write a line.
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

// unreadableSlogFunctions hide the level or the keys of a line from a reader of the source.
var unreadableSlogFunctions = []string{"Log", "LogAttrs", "WithGroup", "Group", "GroupAttrs", "WithAttrs", "Record"}

// logFunction is a function that writes a log line: one of log/slog, or one of ours that hands its message on to it.
type logFunction struct {
	level   string
	message int      // place of the message among the arguments
	keys    []string // that the function adds to those of its caller
}

// logLine is one message with its level and keys, as the code or the page has it.
type logLine struct {
	message  string
	level    string
	keys     []string // sorted
	position string
}

// program is what the code says of its log lines.
type program struct {
	packages   []*packages.Package
	wrappers   map[string]logFunction // functions of ours that log a message of their caller, by full name
	lines      []logLine
	baseKeys   []string // that With adds to every line of a logger
	errorTexts []string
	faults     []string // code that this reader can't follow
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
	for p.findWrappers() { // until no further function turns out to hand its message on
	}
	for _, pkg := range p.packages {
		p.scanPackage(pkg)
	}
	return p, nil
})

// readProgram gives the log lines of the program's code. Code that it can't follow fails the test.
func readProgram(t *testing.T) *program {
	t.Helper()
	p, err := loadProgram()
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range p.faults {
		t.Error(fault)
	}
	if len(p.lines) == 0 || len(p.errorTexts) == 0 {
		t.Fatal("the code has no log lines or no error texts: the test looks in the wrong place")
	}
	return p
}

func (p *program) logs(message string) bool {
	return slices.ContainsFunc(p.lines, func(line logLine) bool { return line.message == message })
}

func (p *program) usesKey(key string) bool {
	return slices.ContainsFunc(p.lines, func(line logLine) bool { return slices.Contains(line.keys, key) })
}

// findWrappers looks for functions that log a message that they were given, and tells whether it found a new one.
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

// asWrapper tells whether a function logs one of its parameters as the message.
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
		if at := parameterIndex(pkg, function, call.Args[logs.message]); at >= 0 {
			keys := append(slices.Clone(logs.keys), p.keysOf(pkg, call, logs.message+1)...)
			wrapper, found = logFunction{level: logs.level, message: at, keys: keys}, true
		}
		return true
	})
	return wrapper, found
}

// parameterIndex gives the place of an expression among a function's parameters, or -1 if it is none of them.
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

// logFunctionOf tells whether a call writes a log line, and by which function.
func (p *program) logFunctionOf(pkg *packages.Package, call *ast.CallExpr) (logFunction, bool) {
	called, ok := typeutil.Callee(pkg.TypesInfo, call).(*types.Func)
	if !ok {
		return logFunction{}, false
	}
	if logs, ok := p.wrappers[called.Origin().FullName()]; ok {
		return logs, true
	}
	if !isOfSlog(called) {
		return logFunction{}, false
	}
	logs, ok := slogFunctions[called.Name()]
	return logs, ok && len(call.Args) > logs.message // an error's Error has no arguments
}

func isOfSlog(function *types.Func) bool {
	return function.Pkg() != nil && function.Pkg().Path() == "log/slog"
}

// scanPackage collects the log lines and error texts of one package.
func (p *program) scanPackage(pkg *packages.Package) {
	for _, fault := range pkg.Errors {
		p.faults = append(p.faults, fault.Error())
	}
	if pkg.Imports["log"] != nil {
		p.faults = append(p.faults, pkg.PkgPath+" logs by package log, not log/slog")
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

// scanCall collects what a call logs. The function is the one that it stands in, nil outside of any.
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
	case isOfSlog(called) && slices.Contains(unreadableSlogFunctions, called.Name()):
		p.faults = append(p.faults, position+": "+name+" hides the level or the keys of a line")
	case isOfSlog(called) && called.Name() == "With":
		p.baseKeys = append(p.baseKeys, p.keysOf(pkg, call, 0)...)
	}
	logs, ok := p.logFunctionOf(pkg, call)
	if !ok {
		return
	}
	message, ok := constantText(pkg, call.Args[logs.message])
	if !ok {
		if function == nil || parameterIndex(pkg, function, call.Args[logs.message]) < 0 {
			p.faults = append(p.faults, position+": the message is no constant text")
		}
		return
	}
	keys := append(slices.Clone(logs.keys), p.keysOf(pkg, call, logs.message+1)...)
	slices.Sort(keys)
	p.lines = append(p.lines, logLine{message: message, level: logs.level, keys: slices.Compact(keys), position: position})
}

// keysOf reads the keys among a call's arguments from the one at a place on.
func (p *program) keysOf(pkg *packages.Package, call *ast.CallExpr, from int) []string {
	if from >= len(call.Args) {
		return nil
	}
	arguments := call.Args[from:]
	if call.Ellipsis.IsValid() {
		last := arguments[len(arguments)-1]
		arguments = slices.Clone(arguments[:len(arguments)-1])
		// The slice that is handed on is the caller's, whose keys are read there; what is appended to it counts here.
		if appended, ok := last.(*ast.CallExpr); ok && isAppend(pkg, appended) {
			arguments = append(arguments, appended.Args[1:]...)
		} else if _, ok := last.(*ast.Ident); !ok {
			p.faults = append(p.faults, pkg.Fset.Position(last.Pos()).String()+": the keys can't be read")
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
			p.faults = append(p.faults, pkg.Fset.Position(arguments[0].Pos()).String()+": no constant key with a value")
			break
		}
		keys, arguments = append(keys, key), arguments[2:]
	}
	return keys
}

// attributeKey gives the key of a slog.Attr that is made in place.
func attributeKey(pkg *packages.Package, expression ast.Expr) (string, bool) {
	call, ok := expression.(*ast.CallExpr)
	if !ok {
		return "", false
	}
	made, ok := typeutil.Callee(pkg.TypesInfo, call).(*types.Func)
	if !ok || !isOfSlog(made) || len(call.Args) == 0 {
		return "", false
	}
	return constantText(pkg, call.Args[0])
}

func isAppend(pkg *packages.Package, call *ast.CallExpr) bool {
	builtin, ok := typeutil.Callee(pkg.TypesInfo, call).(*types.Builtin)
	return ok && builtin.Name() == "append"
}

// constantText gives the value of an expression that is a constant string.
func constantText(pkg *packages.Package, expression ast.Expr) (string, bool) {
	value := pkg.TypesInfo.Types[expression].Value
	if value == nil || value.Kind() != constant.String {
		return "", false
	}
	return constant.StringVal(value), true
}
