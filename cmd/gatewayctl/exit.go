package main

import (
	"errors"

	"laurelring/internal/verifiedmetadata"
)

// The exit statuses.
const (
	exitOK          = 0
	exitUsage       = 1 // the command line or the operator's file
	exitNotTrusted  = 2
	exitUnavailable = 3 // no mirror delivered it in time
	exitStore       = 4 // the store is in use, or fails
)

// exitError is an error with an exit status.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// statusOf returns the exit status of an error; one without a status is of the command line.
func statusOf(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return exitUsage
}

// verificationError gives an error of a client its exit status.
func verificationError(err error) error {
	status := exitNotTrusted
	if verifiedmetadata.ReasonOf(err) == verifiedmetadata.ReasonUnavailable {
		status = exitUnavailable
	}
	return &exitError{status: status, err: err}
}
