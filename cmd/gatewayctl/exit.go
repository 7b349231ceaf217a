package main

import (
	"errors"

	"laurelring/internal/verifiedmetadata"
)

// Exit statuses.
const (
	exitOK          = 0
	exitUsage       = 1 // an error in the command line or the operator's file
	exitNotTrusted  = 2 // verification failed
	exitUnavailable = 3 // no mirror delivered the file in time
	exitStore       = 4 // the store is in use by another process, or failed
)

// exitError is an error with an exit status.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// statusOf returns the exit status of an error. An error without a status counts as a command-line error.
func statusOf(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return exitUsage
}

// verificationError wraps an error of the metadata client with its exit status.
func verificationError(err error) error {
	status := exitNotTrusted
	if verifiedmetadata.ReasonOf(err) == verifiedmetadata.ReasonUnavailable {
		status = exitUnavailable
	}
	return &exitError{status: status, err: err}
}
