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
		File    string `help:"The operator's configuration file." default:"deploy/trust.json" type:"path"`
		JSON    bool   `help:"Print the result as JSON." name:"json"`
		Metrics string `help:"Write metrics to this file at the end." type:"path"`

		Refresh struct{} `cmd:"" help:"Refresh the metadata from the mirrors."`
		Fetch   struct {
			Name string `arg:"" help:"Path of the target."`
		} `cmd:"" help:"Fetch a target and store it once it is complete and verified."`
		Status struct{} `cmd:"" help:"Show the trusted metadata, the mirrors and the store."`
		Verify struct {
			Name string `arg:"" optional:"" help:"Path of the target. Default: all fetched targets."`
		} `cmd:"" help:"Verify fetched targets against the trusted metadata."`
	} `cmd:"" help:"Signed metadata and targets (TUF)."`
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
		kong.Description("Command-line tool for operators of laurelring."),
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
