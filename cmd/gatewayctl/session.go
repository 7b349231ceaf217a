package main

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"laurelring/internal/store"
	"laurelring/internal/tuf"
	"laurelring/internal/tuf/tufmetrics"
	"laurelring/internal/verifiedmetadata"
)

// session holds the open client and store that one command runs on.
type session struct {
	line     *commandLine
	config   *tuf.OperatorConfig
	client   *tuf.Client
	store    *store.Store
	registry *prometheus.Registry
	output   output
	now      func() int64
}

// openSession opens the client and the store that the operator's file describes. The caller must close the session.
func openSession(line *commandLine, output output, now func() int64) (*session, error) {
	config, err := tuf.LoadOperatorConfig(line.Tuf.File)
	if err != nil {
		return nil, &exitError{status: exitUsage, err: err}
	}
	registry := prometheus.NewRegistry()
	client, opened, err := config.NewClient(uint64(now()), now, tufmetrics.New(registry))
	if err != nil {
		var verification *verifiedmetadata.VerificationError
		if errors.As(err, &verification) {
			return nil, verificationError(verification)
		}
		return nil, &exitError{status: exitStore, err: err}
	}
	return &session{line, config, client, opened, registry, output, now}, nil
}

// close closes the client and the store, and writes the metrics if a metrics file is set. It returns the first error.
func (s *session) close() error {
	var firstErr error
	s.client.Close()
	if err := s.store.Close(); err != nil {
		firstErr = &exitError{status: exitStore, err: err}
	}
	if s.line.Tuf.Metrics == "" {
		return firstErr
	}
	s.client.Status() // sets the gauges
	if err := prometheus.WriteToTextfile(s.line.Tuf.Metrics, s.registry); err != nil && firstErr == nil {
		firstErr = &exitError{status: exitUsage, err: err}
	}
	return firstErr
}

func (s *session) runCommand(ctx context.Context, command string) error {
	switch command {
	case commandRefresh:
		return s.refresh(ctx)
	case commandFetch:
		return s.fetch(ctx, s.line.Tuf.Fetch.Name)
	case commandStatus:
		status := s.client.Status()
		return s.output.print(statusResult{OK: true, Status: status, now: s.now})
	}
	return s.verify(s.line.Tuf.Verify.Name)
}

func (s *session) refresh(ctx context.Context) error {
	usage, err := s.client.Refresh(ctx, s.config.RefreshTimeout())
	if err != nil {
		return verificationError(err)
	}
	return s.output.print(refreshResult{OK: true, Roles: s.client.Status().Roles, Usage: usage})
}

func (s *session) fetch(ctx context.Context, path string) error {
	if err := s.ensureValid(ctx); err != nil {
		return err
	}
	target, usage, err := s.client.FetchTarget(ctx, path, s.config.FetchTimeout())
	if err != nil {
		return verificationError(err)
	}
	return s.output.print(fetchResult{Length: target.Length, OK: true, Role: target.Role, Usage: usage, Target: target.Path})
}

// ensureValid refreshes the metadata if the stored metadata is not valid now. It always refreshes if the store is in
// memory.
func (s *session) ensureValid(ctx context.Context) error {
	if !s.store.InMemory() && s.client.Status().Trust == tuf.StatusTrusted {
		return nil
	}
	if _, err := s.client.Refresh(ctx, s.config.RefreshTimeout()); err != nil {
		return verificationError(err)
	}
	return nil
}

// verify compares one fetched target, or all fetched targets if path is empty, with the trusted metadata. If several
// targets fail, it returns the error of the last one.
func (s *session) verify(path string) error {
	paths := []string{path}
	if path == "" {
		paths = s.store.TargetPaths()
	}
	var lastErr error
	targets := map[string]string{}
	for _, path := range paths {
		targets[path] = "trusted"
		if err := s.client.VerifyTarget(path); err != nil {
			targets[path], lastErr = err.Error(), err
		}
	}
	if err := s.output.print(verifyResult{OK: lastErr == nil, Targets: targets, paths: paths}); err != nil {
		return err
	}
	if lastErr != nil {
		return &exitError{status: exitNotTrusted, err: lastErr}
	}
	return nil
}
