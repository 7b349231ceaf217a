// Command gatewayctl is the operator's command-line tool for signed metadata.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// commandLine holds the arguments that kong parses. Kong derives the names of commands and flags from its field names.
type commandLine struct {
	Tuf struct {
		File    string `help:"The operator's file." default:"deploy/trust.json" type:"path"`
		JSON    bool   `help:"Answer in JSON, for programs." name:"json"`
		Metrics string `help:"Write metrics to this file at the end." type:"path"`

		Refresh struct{} `cmd:"" help:"Bring the metadata up to date."`
		Fetch   struct {
			Name string `arg:"" help:"The target's path."`
		} `cmd:"" help:"Fetch a target into the store, whole and trusted, or not at all."`
		Status struct{} `cmd:"" help:"Tell what is trusted, and how the mirrors and the store are."`
		Verify struct {
			Name string `arg:"" optional:"" help:"The target's path; all that were fetched without it."`
		} `cmd:"" help:"Hold what was fetched against what is listed now."`
	} `cmd:"" help:"What the release desk has signed."`
}

// The names of the commands, as kong reports them.
const (
	commandRefresh = "tuf refresh"
	commandFetch   = "tuf fetch <name>"
	commandStatus  = "tuf status"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr, func() int64 { return time.Now().UnixNano() }))
}

// run executes one command line and returns the exit status. now returns the wall-clock time in ns since the Unix
// epoch.
func run(ctx context.Context, args []string, out, errorOut io.Writer, now func() int64) int {
	var line commandLine
	command, err := parse(&line, args, out, errorOut)
	if errors.Is(err, errHelpPrinted) {
		return exitOK
	}
	output := output{out: out, errorOut: errorOut, json: line.Tuf.JSON}
	if err == nil {
		err = execute(ctx, &line, command, output, now)
	}
	if err == nil {
		return exitOK
	}
	return output.printError(err)
}

// errHelpPrinted stops parsing after the help text was printed.
var errHelpPrinted = errors.New("help printed")

// parse parses the arguments into line and returns the name of the command, or errHelpPrinted.
func parse(line *commandLine, args []string, out, errorOut io.Writer) (command string, err error) {
	printHelp := func(options kong.HelpOptions, ctx *kong.Context) error {
		if err := kong.DefaultHelpPrinter(options, ctx); err != nil {
			return err
		}
		return errHelpPrinted
	}
	parser, err := kong.New(line,
		kong.Name("gatewayctl"),
		kong.Description("The operator's command line of laurelring."),
		kong.Writers(out, errorOut),
		kong.Help(printHelp))
	if err != nil {
		return "", err
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return "", err
	}
	return parsed.Command(), nil
}

// execute runs a command in a session on the operator's file. An error of the command takes precedence over an error of
// closing the session.
func execute(ctx context.Context, line *commandLine, command string, output output, now func() int64) error {
	s, err := openSession(line, output, now)
	if err != nil {
		return err
	}
	commandErr := s.runCommand(ctx, command)
	closeErr := s.close()
	if commandErr != nil {
		return commandErr
	}
	return closeErr
}
