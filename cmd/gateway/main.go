// Command gateway is one gateway on real sockets.
//
// It starts from the configuration file that RELAY_CONFIG names, and from an operator's file for signed metadata if
// RELAY_TRUST names one. RELAY_LOG_LEVEL sets from which level on it logs to standard error. SIGHUP has it read both files
// again; on SIGTERM or SIGINT it answers what it has accepted and ends with status 0. A fault that ends it is printed in
// one line, with status 1.
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
	shutdown, reload := make(chan os.Signal, 1), make(chan os.Signal, 1) // before all else: a signal may come at once
	signal.Notify(shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	if err := runFile(os.Getenv("RELAY_CONFIG"), shutdown, reload); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

// runFile runs a gateway from a configuration file.
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

// run runs a gateway from the text of a configuration until it has shut down. It calls reread for the text as it is by
// then each time it is to reload.
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
