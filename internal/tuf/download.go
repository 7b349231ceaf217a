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

// destination receives the bytes of a file from the attempts of a download.
type destination interface {
	// The Write method receives the bytes of an attempt in order. An error ends the attempt: a *storageError if the
	// bytes could not be stored, any other error if they do not verify.
	io.Writer
	// begin prepares for the bytes of an attempt, which start at an offset of the file. Its errors are those of Write.
	begin(offset int64) error
	// verifiedBytes returns how many bytes from the start of the file are verified already.
	verifiedBytes() int64
	// finish verifies the whole file.
	finish() error
}

// download executes the steps of a mirrorpool.Fetch for one file.
type download struct {
	client      *Client
	fetch       *mirrorpool.Fetch
	path        string // relative to a mirror's URL
	destination destination
	usage       *Usage
	verifyErr   error // result of verifying the last attempt that delivered a complete file
	storageErr  error // the destination could not store the file; no mirror is at fault
}

// run executes the steps of the fetch until it has an outcome.
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

// nextStep updates which mirrors drain and returns the next step of the fetch.
func (d *download) nextStep() mirrorpool.Step {
	d.client.applyDraining()
	return d.fetch.NextStep(d.client.elapsed())
}

// attempt requests the file from one mirror and returns the outcome. A watchdog timer cancels the request at the
// fetch's next check unless bytes arrive before.
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
		return d.transferErrorOutcome(ctx, mirrorpool.OutcomeRefused)
	}
	defer response.Body.Close()
	offset, outcome := contentOffset(response, step.Offset)
	if outcome != mirrorpool.OutcomeCompleted {
		return outcome
	}
	if err := d.destination.begin(offset); err != nil {
		return d.writeErrorOutcome(err)
	}
	return d.receive(ctx, response.Body, watchdog)
}

// contentOffset returns the offset in the file of a response's first byte and OutcomeCompleted, or the outcome of a
// response that does not contain the file.
func contentOffset(response *http.Response, requested int64) (int64, mirrorpool.AttemptOutcome) {
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		return 0, mirrorpool.OutcomeCompleted // the whole file, even if a range was requested
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

// receive copies the body to the destination until the file is complete or the pool ends the attempt.
func (d *download) receive(ctx context.Context, body io.Reader, watchdog *time.Timer) mirrorpool.AttemptOutcome {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		d.usage.Bytes += int64(n)
		if n > 0 {
			if _, writeErr := d.destination.Write(buffer[:n]); writeErr != nil {
				return d.writeErrorOutcome(writeErr)
			}
			if d.fetch.IsComplete(d.destination.verifiedBytes()) {
				return mirrorpool.OutcomeCompleted // any further bytes are not part of the file
			}
			if !d.fetch.Received(int64(n), d.destination.verifiedBytes(), d.client.elapsed()) {
				outcome, _ := d.fetch.LastAttempt()
				return outcome
			}
			watchdog.Reset(d.client.remaining(d.fetch.NextCheck()))
		}
		switch {
		case errors.Is(err, io.EOF):
			return mirrorpool.OutcomeCompleted
		case err != nil:
			return d.transferErrorOutcome(ctx, mirrorpool.OutcomeClosedEarly)
		}
	}
}

// writeErrorOutcome returns the outcome of an attempt that ended with an error of the destination. If the destination
// could not store the bytes, for example on a full disk, the outcome is OutcomeCanceled, which ends the fetch: bytes of
// another mirror could not be stored either. Otherwise the bytes did not verify.
func (d *download) writeErrorOutcome(err error) mirrorpool.AttemptOutcome {
	var storage *storageError
	if errors.As(err, &storage) {
		d.storageErr = storage.err
		return mirrorpool.OutcomeCanceled
	}
	return mirrorpool.OutcomeUnverified
}

// storageError reports that the store could not write bytes.
type storageError struct{ err error }

func (e *storageError) Error() string { return e.err.Error() }

// wrapStorageError returns an error of the store as a *storageError, or nil for nil.
func wrapStorageError(err error) error {
	if err == nil {
		return nil
	}
	return &storageError{err}
}

// transferErrorOutcome returns the outcome of an attempt whose request or body read failed. It is the given outcome,
// unless the context was canceled and the pool then ends the attempt with an outcome of its own, such as a stall.
func (d *download) transferErrorOutcome(ctx context.Context, outcome mirrorpool.AttemptOutcome) mirrorpool.AttemptOutcome {
	if ctx.Err() == nil || d.fetch.CheckAttempt(d.client.elapsed()) {
		return outcome
	}
	last, _ := d.fetch.LastAttempt()
	return last
}
