package tuf

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"laurelring/internal/mirrorpool"
)

const readBufferBytes = 16 << 10

// destination takes the bytes of a file from the attempts of a download.
type destination interface {
	// Writer takes the bytes of an attempt. An error ends the attempt: a *storageError where they could not be kept, else the
	// contents do not verify.
	io.Writer
	// begin prepares for the bytes of an attempt, which start at an offset of the file. Its errors are as of Write.
	begin(offset int64) error
	// verified returns how many bytes of the file are verified already, from its start on.
	verified() int64
	// finish verifies the whole file.
	finish() error
}

// download fetches one file, as the mirror pool decides.
type download struct {
	client      *Client
	fetch       *mirrorpool.Fetch
	path        string // below a mirror's URL
	destination destination
	usage       *Usage
	verifyErr   error // of the last attempt that delivered the file to its end
	storageErr  error // why the destination could not take the file: no mirror is at fault
}

// run executes the pool's steps until the fetch has its outcome.
func (d *download) run(ctx context.Context) mirrorpool.AttemptOutcome {
	for {
		if ctx.Err() != nil {
			d.fetch.Cancel(d.client.elapsed())
		}
		switch step := d.nextStep().(type) {
		case mirrorpool.DoneStep:
			return step.Outcome
		case mirrorpool.WaitStep:
			select {
			case <-time.After(d.client.remaining(step.Until)):
			case <-ctx.Done():
			}
		case mirrorpool.AttemptStep:
			d.usage.Attempts++
			outcome := d.attempt(ctx, step)
			if outcome == mirrorpool.OutcomeCompleted {
				if d.verifyErr = d.destination.finish(); d.verifyErr != nil {
					outcome = mirrorpool.OutcomeUnverified
				}
			}
			d.fetch.FinishAttempt(outcome, d.client.elapsed())
			d.client.observer.AttemptFinished(step.Mirror.Name, outcome)
		}
	}
}

// nextStep asks the pool for the next step, by the mirrors that drain now.
func (d *download) nextStep() mirrorpool.Step {
	d.client.applyDraining()
	return d.fetch.NextStep(d.client.elapsed())
}

// attempt requests the file from one mirror.
func (d *download) attempt(ctx context.Context, step mirrorpool.AttemptStep) mirrorpool.AttemptOutcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(d.client.remaining(d.fetch.NextCheck()), cancel)
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, step.Mirror.Name+d.path, nil)
	if err != nil {
		return mirrorpool.OutcomeRefused
	}
	if step.Offset > 0 {
		request.Header.Set("Range", fmt.Sprintf("bytes=%d-", step.Offset))
	}
	response, err := d.client.http.Do(request)
	if err != nil {
		return d.interrupted(ctx, mirrorpool.OutcomeRefused)
	}
	defer response.Body.Close()
	offset, outcome := contentOffset(response, step.Offset)
	if outcome != mirrorpool.OutcomeCompleted {
		return outcome
	}
	if err := d.destination.begin(offset); err != nil {
		return d.refused(err)
	}
	return d.receive(ctx, response.Body, watchdog)
}

// contentOffset returns the offset of a response's first byte in the file, or the outcome of a response that does not
// carry the file.
func contentOffset(response *http.Response, requested int64) (int64, mirrorpool.AttemptOutcome) {
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		return 0, mirrorpool.OutcomeCompleted // the whole file, also where a range was requested
	case code == http.StatusPartialContent && requested > 0 &&
		strings.HasPrefix(response.Header.Get("Content-Range"), fmt.Sprintf("bytes %d-", requested)):
		return requested, mirrorpool.OutcomeCompleted
	case code == http.StatusNotFound || code == http.StatusGone:
		return 0, mirrorpool.OutcomeNotFound
	case code >= http.StatusMultipleChoices && code < http.StatusBadRequest:
		return 0, mirrorpool.OutcomeRedirected
	}
	return 0, mirrorpool.OutcomeRefused
}

// receive carries the body to the destination until the file is complete or the pool ends the attempt.
func (d *download) receive(ctx context.Context, body io.Reader, watchdog *time.Timer) mirrorpool.AttemptOutcome {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		d.usage.Bytes += int64(n)
		if n > 0 {
			if _, writeErr := d.destination.Write(buffer[:n]); writeErr != nil {
				return d.refused(writeErr)
			}
			if d.fetch.IsComplete(d.destination.verified()) {
				return mirrorpool.OutcomeCompleted // whatever may follow is no part of the file
			}
			if !d.fetch.Received(int64(n), d.destination.verified(), d.client.elapsed()) {
				outcome, _ := d.fetch.LastAttempt()
				return outcome
			}
			watchdog.Reset(d.client.remaining(d.fetch.NextCheck()))
		}
		switch {
		case errors.Is(err, io.EOF):
			return mirrorpool.OutcomeCompleted
		case err != nil:
			return d.interrupted(ctx, mirrorpool.OutcomeClosedEarly)
		}
	}
}

// refused returns how an attempt ended whose bytes the destination did not take: for what they are, or because it could not
// keep them, as on a full disk. That ends the fetch, as another mirror's would not be kept either.
func (d *download) refused(err error) mirrorpool.AttemptOutcome {
	var storage *storageError
	if errors.As(err, &storage) {
		d.storageErr = storage.err
		return mirrorpool.OutcomeCanceled
	}
	return mirrorpool.OutcomeUnverified
}

// storageError says that bytes could not be kept.
type storageError struct{ err error }

func (e *storageError) Error() string { return e.err.Error() }

// asStorageError wraps an error of the store, if there is one.
func asStorageError(err error) error {
	if err == nil {
		return nil
	}
	return &storageError{err}
}

// interrupted returns how an attempt ended that broke off: as given, unless the watchdog canceled it and the pool has a
// reason for that.
func (d *download) interrupted(ctx context.Context, outcome mirrorpool.AttemptOutcome) mirrorpool.AttemptOutcome {
	if ctx.Err() == nil || d.fetch.CheckAttempt(d.client.elapsed()) {
		return outcome
	}
	last, _ := d.fetch.LastAttempt()
	return last
}
