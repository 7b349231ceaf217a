// Command gateway runs one gateway on real sockets.
//
// It reads the configuration file that RELAY_CONFIG names and, if RELAY_TRUST is set, the operator's file for signed
// metadata that RELAY_TRUST names. RELAY_LOG_LEVEL sets the minimum level of the log on standard error. On SIGHUP it
// reads both files again. On SIGTERM or SIGINT it answers the requests that it has accepted and exits with status 0. It
// prints a fatal error in one line and exits with status 1.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	shutdown, reload := make(chan os.Signal, 1), make(chan os.Signal, 1) // first, as a signal may arrive at any time
	signal.Notify(shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	if err := runFile(os.Getenv("RELAY_CONFIG"), shutdown, reload); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

// runFile runs a gateway from the configuration file at path until it has shut down.
func runFile(path string, shutdown, reload <-chan os.Signal) error {
	if path == "" {
		return errors.New("RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return run(text, func() ([]byte, error) { return os.ReadFile(path) }, shutdown, reload)
}

// run runs a gateway from the text of a configuration until it has shut down. On each reload it calls reread for the
// current text.
func run(text []byte, reread func() ([]byte, error), shutdown, reload <-chan os.Signal) error {
	config, err := parseConfiguration(text)
	if err != nil {
		return err
	}
	log := configureProcess(config)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, err := newGateway(ctx, config, log)
	if err != nil {
		return err
	}
	defer g.close()
	if err := g.start(ctx, stop); err != nil {
		return err
	}
	return g.handleSignals(reread, shutdown, reload)
}
